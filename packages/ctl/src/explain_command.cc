#include "explain_command.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "explain.h"

namespace basilsill::ctl {
namespace {

constexpr char kStandardInput[] = "-";

std::optional<NodeLog> Read(const std::string& path) {
  if (path == kStandardInput) {
    return ReadNodeLog("standard input", std::cin);
  }
  std::ifstream input(path);
  if (!input) {
    std::cerr << path << ": can't be opened\n";
    return std::nullopt;
  }
  return ReadNodeLog(std::filesystem::path(path).stem(), input);
}

}  // namespace

ExitStatus RunExplain(const CommandArguments& arguments) {
  TCLAP::CmdLine line("Shows the course of one request from the logs of VMs",
                      ' ', BASILSILL_VERSION);
  TCLAP::UnlabeledValueArg<std::string> id("id", "ID of the request", true, "",
                                           "ID", line);
  TCLAP::UnlabeledMultiArg<std::string> files(
      "log", "Log file of a VM; - is standard input", true, "LOG", line);
  if (const auto status = ParseArguments(line, arguments)) {
    return *status;
  }
  std::vector<NodeLog> logs;
  for (const std::string& path : files.getValue()) {
    auto log = Read(path);
    if (!log) {
      return ExitStatus::kUsage;
    }
    logs.push_back(*std::move(log));
  }
  const std::vector<std::string> output = Explain(id.getValue(), logs);
  for (const std::string& text : output) {
    std::cout << text << '\n';
  }
  if (output.empty()) {
    std::cerr
        << "no log line of request " << id.getValue()
        << "; it may have reached another VM, or its lines were suppressed\n";
    return ExitStatus::kFailed;
  }
  return ExitStatus::kOk;
}

}  // namespace basilsill::ctl

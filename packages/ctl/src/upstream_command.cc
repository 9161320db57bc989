#include "upstream_command.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <memory>
#include <utility>
#include <vector>

#include <tclap/CmdLine.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "basilsill/base/endpoint.h"
#include "basilsill/ctl/upstream.h"
#include "upstream_json.h"

namespace basilsill::ctl {
namespace {

using FieldArgument = TCLAP::ValueArg<std::string>;

std::string FlagOf(const UpstreamField& field) {
  std::string flag(field.name);
  std::replace(flag.begin(), flag.end(), '_', '-');
  return flag;
}

Result<void> ReadListen(const std::string& text, UpstreamOptions& options) {
  const Result<Endpoint> endpoint = ParseEndpoint(text, "--listen");
  if (!endpoint) {
    return endpoint.error();
  }
  options.address = endpoint.value().address;
  options.port = endpoint.value().port;
  return boost::outcome_v2::success();
}

// Reads the flags that were given into `behaviour`. Prints every error and
// returns false if there is one.
bool ReadFields(const std::vector<std::unique_ptr<FieldArgument>>& arguments,
                UpstreamBehaviour& behaviour) {
  bool good = true;
  for (size_t i = 0; i < arguments.size(); ++i) {
    if (!arguments[i]->isSet()) {
      continue;
    }
    const auto outcome = SetUpstreamField(AllUpstreamFields()[i],
                                          arguments[i]->getValue(), behaviour);
    if (outcome.has_error()) {
      std::cerr << ToString(outcome.error()) << '\n';
      good = false;
    }
  }
  return good;
}

ExitStatus Serve(const UpstreamOptions& options) {
  // The handlers are installed before the first line is printed, because its
  // reader may send a signal at once.
  boost::asio::io_context io;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([](const auto&, int) {});
  const auto upstreams = EmulatedUpstreams::Create(options);
  if (upstreams.has_error()) {
    std::cerr << ToString(upstreams.error()) << '\n';
    return upstreams.error().kind == FailureKind::kOutOfRange
               ? ExitStatus::kUsage
               : ExitStatus::kFailed;
  }
  for (const auto& endpoint : upstreams.value()->endpoints()) {
    std::cout << "listening " << endpoint.name << ' ' << endpoint.address << ':'
              << endpoint.port << '\n';
  }
  std::cout.flush();
  io.run();
  return ExitStatus::kOk;
}

}  // namespace

ExitStatus RunUpstream(const CommandArguments& arguments) {
  UpstreamOptions options;
  TCLAP::CmdLine line("Emulated upstream instances.", ' ', BASILSILL_VERSION);
  TCLAP::ValueArg<std::string> listen("", "listen",
                                      "Endpoint of the first instance; with "
                                      "port 0 the kernel chooses the ports.",
                                      false, "127.0.0.1:0", "ADDRESS:PORT",
                                      line);
  TCLAP::ValueArg<size_t> count("", "count", "Number of instances.", false,
                                options.count, "N", line);
  TCLAP::ValueArg<size_t> threads("", "threads",
                                  "Number of threads that the instances share.",
                                  false, options.threads, "N", line);
  TCLAP::ValueArg<std::string> name(
      "", "name", "Name of the instance, or name prefix of several.", false,
      options.name, "NAME", line);
  TCLAP::ValueArg<uint64_t> seed("", "seed",
                                 "Random seed of the service times.", false,
                                 options.seed, "S", line);
  std::vector<std::unique_ptr<FieldArgument>> fields;
  for (const UpstreamField& field : AllUpstreamFields()) {
    fields.push_back(std::make_unique<FieldArgument>(
        "", FlagOf(field), std::string(field.help), false, "", "VALUE", line));
  }
  if (const auto status = ParseArguments(line, arguments)) {
    return *status;
  }
  options.count = count.getValue();
  options.threads = threads.getValue();
  options.name = name.getValue();
  options.seed = seed.getValue();
  const auto endpoint = ReadListen(listen.getValue(), options);
  if (endpoint.has_error()) {
    std::cerr << ToString(endpoint.error()) << '\n';
  }
  if (!ReadFields(fields, options.behaviour) || endpoint.has_error()) {
    return ExitStatus::kUsage;
  }
  return Serve(options);
}

}  // namespace basilsill::ctl

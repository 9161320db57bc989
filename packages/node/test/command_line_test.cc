// Tests of the node's command line and of its signal handling.

#include "command_line.h"

#include <csignal>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "signals.h"

#include <CppUTest/TestHarness.h>

namespace {

using basilsill::Command;
using basilsill::CommandLine;
using basilsill::Result;

Result<CommandLine> Parse(std::vector<const char*> arguments) {
  arguments.insert(arguments.begin(), "basilsill");
  return basilsill::ParseCommandLine(static_cast<int>(arguments.size()),
                                     arguments.data());
}

}  // namespace

TEST_GROUP(CommandLine){};

TEST(CommandLine, Parse_SettingsFile_RunsTheNode) {
  const CommandLine line = Parse({"--settings", "a.json"}).value();
  CHECK(line.command == Command::kRun);
  STRCMP_EQUAL("a.json", line.settings_file.c_str());
}

TEST(CommandLine, Parse_Switches_ChooseTheCommand) {
  CHECK(Parse({"--settings", "a", "--check"}).value().command ==
        Command::kCheckSettings);
  CHECK(Parse({"--print-settings", "--settings", "a"}).value().command ==
        Command::kPrintSettings);
}

TEST(CommandLine, Parse_HelpAndVersion_ReturnText) {
  const CommandLine help = Parse({"--help"}).value();
  CHECK(help.command == Command::kPrintText);
  for (const char* name : {"--settings", "--check", "--print-settings",
                           "--version", "Exit status"}) {
    STRCMP_CONTAINS(name, help.text.c_str());
  }
  STRCMP_EQUAL("basilsill " BASILSILL_VERSION "\n",
               Parse({"--version"}).value().text.c_str());
}

TEST(CommandLine, Parse_BadUsage_IsAFailure) {
  const std::vector<std::vector<const char*>> cases = {
      {},
      {"--check"},
      {"--settings"},
      {"--settings", "a", "--unknown"},
      {"--settings", "a", "extra"},
      {"--settings", "a", "--settings", "b"},
      {"--settings", "a", "--check", "--print-settings"},
  };
  for (const auto& arguments : cases) {
    const Result<CommandLine> line = Parse(arguments);
    CHECK_FALSE(line.has_value());
    CHECK(line.error().kind == basilsill::FailureKind::kSyntax);
    CHECK_FALSE(line.error().detail.empty());
  }
}

TEST_GROUP(ShutdownSignals) {
  boost::asio::io_context context{1};
  int graceful = 0;
  int forced = 0;
  std::unique_ptr<basilsill::ShutdownSignals> signals =
      basilsill::ShutdownSignals::Create(
          this->context,
          {[this] { ++this->graceful; }, [this] { ++this->forced; }});

  void Raise(int number) {
    const int before = this->graceful + this->forced;
    std::raise(number);
    // The io_context also runs internal handlers for a signal.
    while (this->graceful + this->forced == before) {
      this->context.run_one();
    }
  }
};

TEST(ShutdownSignals, Signal_First_IsGracefulAndLaterOnesForce) {
  this->Raise(SIGTERM);
  CHECK_EQUAL(1, this->graceful);
  CHECK_EQUAL(0, this->forced);
  this->Raise(SIGINT);
  this->Raise(SIGTERM);
  CHECK_EQUAL(1, this->graceful);
  CHECK_EQUAL(2, this->forced);
}

TEST(ShutdownSignals, Cancel_WhileWaiting_LetsTheContextEnd) {
  this->signals->Cancel();
  this->context.run();
  CHECK_EQUAL(0, this->graceful);
}

TEST(ShutdownSignals, Cancel_SignalPending_CallsNoHandler) {
  std::raise(SIGTERM);
  this->signals.reset();
  this->context.run();
  CHECK_EQUAL(0, this->graceful);
}

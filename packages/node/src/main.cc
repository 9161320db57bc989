// Entry point of the node.

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "basilsill/adapter/adapter.h"
#include "basilsill/node/log.h"
#include "basilsill/node/settings.h"
#include "command_line.h"
#include "node.h"
#include "settings_watch.h"
#include "signals.h"

namespace {

using basilsill::Event;
using basilsill::Log;

int ReportFaults(const std::vector<basilsill::Failure>& faults) {
  for (const basilsill::Failure& fault : faults) {
    std::cerr << basilsill::ToString(fault) << '\n';
  }
  return basilsill::kExitUsage;
}

using basilsill::adapter::Setup;
using LoadSetup = std::function<basilsill::CheckedResult<Setup>()>;

void LogRejected(const std::vector<basilsill::Failure>& faults) {
  for (const basilsill::Failure& fault : faults) {
    Log(Event::kSettingsRejected, {{"failure", fault.kind},
                                   {"field", fault.path},
                                   {"detail", fault.detail}});
  }
}

// A file with any fault is rejected; the node keeps its present settings.
void Reload(basilsill::Node& node, const LoadSetup& load) {
  const basilsill::CheckedResult<Setup> setup = load();
  if (!setup) {
    LogRejected(setup.error());
    return;
  }
  node.Reload(setup.value().settings);
  Log(Event::kSettingsReloaded, {{"vm", setup.value().settings.vm.name}});
}

int Run(const Setup& setup, const LoadSetup& load) {
  const basilsill::Settings& settings = setup.settings;
  basilsill::LogOptions log_options{settings.log.level, settings.log.file,
                                    settings.log.events_per_second};
  log_options.to_standard_output = setup.installation.log_to_standard_output;
  auto logging = basilsill::Logging::Start(log_options);
  if (!logging) {
    return ReportFaults({logging.error()});
  }
  basilsill::IgnoreBrokenPipes();
  boost::asio::io_context context(1);
  auto created = basilsill::Node::Create(context, settings, setup.installation);
  if (!created) {
    return ReportFaults({created.error()});
  }
  basilsill::Node& node = *created.value();
  int status = basilsill::kExitSuccess;
  const auto stop = [&](bool is_clean) {
    status = is_clean ? basilsill::kExitSuccess : basilsill::kExitFailure;
    context.stop();
  };
  const auto signals = basilsill::ShutdownSignals::Create(
      context, {[&] { node.Drain(stop); }, [&] { stop(false); },
                [&] { Reload(node, load); }});
  basilsill::SettingsWatch watch(context, setup.file,
                                 [&] { Reload(node, load); });
  watch.Start();
  Log(Event::kNodeStarting, {{"vm", settings.vm.name},
                             {"callers", node.callers_endpoint().port},
                             {"control", node.control().endpoint().port},
                             {"admin", node.admin_port()}});
  const std::string off = basilsill::NamesOff(setup.installation.features);
  if (!off.empty()) {
    Log(Event::kMechanismsOff, {{"without", off}});
  }
  node.Start();
  context.run();
  const int64_t cut_off = node.CountPeerRequests();
  node.Stop();
  Log(Event::kNodeStopped, {{"vm", settings.vm.name},
                            {"status", status},
                            {"peer_requests_cut_off", cut_off}});
  return status;
}

// Disables the mechanisms that the settings or the command line name.
basilsill::CheckedResult<Setup> WithoutMechanisms(
    basilsill::CheckedResult<Setup> setup,
    const std::string& without) {
  if (!setup) {
    return setup;
  }
  std::string names = setup.value().settings.policy.without;
  names += names.empty() || without.empty() ? "" : ",";
  names += without;
  const auto features = basilsill::FeaturesWithout(names);
  if (!features) {
    return std::vector{features.error()};
  }
  setup.value().installation.features = features.value();
  return setup;
}

LoadSetup MakeSetupLoader(const basilsill::CommandLine& command_line) {
  if (command_line.adapter) {
    return [without = command_line.without] {
      return WithoutMechanisms(basilsill::adapter::SetUpFromEnvironment(),
                               without);
    };
  }
  return [path = command_line.settings_file,
          without = command_line.without]() -> basilsill::CheckedResult<Setup> {
    auto settings = basilsill::LoadSettings(path);
    if (!settings) {
      return settings.error();
    }
    return WithoutMechanisms(Setup{std::move(settings).value(), {}, path},
                             without);
  };
}

int RunCommand(const basilsill::CommandLine& command_line) {
  const LoadSetup load = MakeSetupLoader(command_line);
  const basilsill::CheckedResult<Setup> setup = load();
  if (!setup) {
    return ReportFaults(setup.error());
  }
  switch (command_line.command) {
    case basilsill::Command::kCheckSettings:
      return basilsill::kExitSuccess;
    case basilsill::Command::kPrintSettings:
      std::cout << basilsill::PrintSettings(setup.value().settings);
      return basilsill::kExitSuccess;
    default:
      return Run(setup.value(), load);
  }
}

// Failure: all work has ended, but the process stays until it is killed, since
// static objects of a library wait for their threads. Each planned restart then
// takes three seconds longer. All output has been written by now, so exiting
// without destroying static objects loses nothing.
[[noreturn]] void ExitWithoutCleanup(int status) {
  std::cout.flush();
  std::fflush(nullptr);
  std::_Exit(status);
}

}  // namespace

int main(int argc, char** argv) {
  const auto command_line = basilsill::ParseCommandLine(argc, argv);
  if (!command_line) {
    return ReportFaults({command_line.error()});
  }
  if (command_line.value().command == basilsill::Command::kPrintText) {
    std::cout << command_line.value().text;
    return basilsill::kExitSuccess;
  }
  ExitWithoutCleanup(RunCommand(command_line.value()));
}

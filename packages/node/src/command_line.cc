#include "command_line.h"

#include <algorithm>
#include <list>
#include <string>

#include <tclap/CmdLine.h>

#include "basilsill/decision/mechanism.h"

namespace basilsill {
namespace {

constexpr char kDescription[] = "Node of the basilsill load balancer.";
constexpr size_t kNameColumn = 24;

/// Collects what TCLAP would print, so that the caller decides where it goes.
class TextOutput : public TCLAP::CmdLineOutput {
 public:
  void usage(TCLAP::CmdLineInterface& line) override {  // NOLINT: TCLAP's name
    this->text = "usage: " + line.getProgramName() +
                 " --settings FILE | --adapter\n\n" + line.getMessage() +
                 "\n\n";
    std::list<TCLAP::Arg*> arguments = line.getArgList();
    arguments.reverse();  // TCLAP lists the last added argument first.
    for (const TCLAP::Arg* argument : arguments) {
      std::string name = "  " + argument->longID();
      name.resize(std::max(name.size() + 1, kNameColumn), ' ');
      this->text += name + argument->getDescription() + "\n";
    }
    this->text +=
        "\nExit status: 0 done, 1 failed while running, 2 bad command line or "
        "settings.\n";
  }

  void version(TCLAP::CmdLineInterface& line) override {  // NOLINT
    this->text = "basilsill " + line.getVersion() + "\n";
  }

  void failure(TCLAP::CmdLineInterface&,  // NOLINT
               TCLAP::ArgException&) override {}

  std::string text;
};

/// @returns the fault and the argument that caused it, if known.
std::string Describe(const TCLAP::ArgException& fault) {
  const std::string argument = fault.argId();
  return argument == " " ? fault.error() : fault.error() + ", " + argument;
}

Result<Command> ChooseCommand(bool check, bool print) {
  if (check && print) {
    return Failure{FailureKind::kSyntax, "--print-settings",
                   "found together with --check, allowed is one of them"};
  }
  if (check) {
    return Command::kCheckSettings;
  }
  return print ? Command::kPrintSettings : Command::kRun;
}

}  // namespace

Result<CommandLine> ParseCommandLine(int argc, const char* const* argv) {
  TextOutput output;
  TCLAP::CmdLine line(kDescription, ' ', BASILSILL_VERSION);
  line.setOutput(&output);
  line.setExceptionHandling(false);
  TCLAP::ValueArg<std::string> settings("", "settings",
                                        "Settings file (docs/SETTINGS.md).",
                                        false, "", "FILE", line);
  TCLAP::SwitchArg adapter("", "adapter",
                           "Take the settings from the users' platform "
                           "(platform/).",
                           line);
  TCLAP::ValueArg<std::string> without(
      "", "without", "Switch mechanisms off (docs/SETTINGS.md).", false, "",
      "NAME[,NAME]", line);
  TCLAP::SwitchArg check("", "check",
                         "Only check the settings: report every fault.", line);
  TCLAP::SwitchArg print("", "print-settings",
                         "Print the effective settings, each with its source.",
                         line);
  try {
    line.parse(argc, argv);
  } catch (const TCLAP::ArgException& fault) {
    return Failure{FailureKind::kSyntax, "command line", Describe(fault)};
  } catch (const TCLAP::ExitException&) {
    return CommandLine{Command::kPrintText, "", false, "", output.text};
  }
  if (settings.isSet() == adapter.getValue()) {
    return Failure{FailureKind::kSyntax, "command line",
                   "either --settings or --adapter must be given"};
  }
  const Result<Command> command =
      ChooseCommand(check.getValue(), print.getValue());
  if (!command) {
    return command.error();
  }
  const Result<PolicyFeatures> features = FeaturesWithout(without.getValue());
  if (!features) {
    return features.error();
  }
  return CommandLine{command.value(), settings.getValue(), adapter.getValue(),
                     without.getValue(), ""};
}

}  // namespace basilsill

#include "command.h"

#include <algorithm>
#include <iostream>

#include <tclap/CmdLine.h>

namespace basilsill::ctl {
namespace {

constexpr int kNameColumn = 12;

void PrintCommands(std::ostream& out) {
  out << "usage: basilsillctl SUBCOMMAND [ARGUMENTS]\n\n";
  for (const Command& command : AllCommands()) {
    std::string name(command.name);
    name.resize(std::max<size_t>(name.size(), kNameColumn), ' ');
    out << "  " << name << ' ' << command.summary << '\n';
  }
  out << "\n'basilsillctl SUBCOMMAND --help' shows its arguments.\n"
         "Exit status: 0 done, 1 failed, 2 usage, 3 conflict, 4 rejected, "
         "5 unavailable or unresolved.\n";
}

// Splits "--name=value" into two arguments. TCLAP supports only one delimiter
// between a name and its value, and `basilsillctl` sets it to a space.
CommandArguments SplitValues(const CommandArguments& arguments) {
  CommandArguments split;
  bool is_name_allowed = true;
  for (const std::string& argument : arguments) {
    const size_t equals = argument.find('=');
    is_name_allowed = is_name_allowed && argument != "--";
    if (is_name_allowed && argument.starts_with("--") &&
        equals != std::string::npos) {
      split.push_back(argument.substr(0, equals));
      split.push_back(argument.substr(equals + 1));
    } else {
      split.push_back(argument);
    }
  }
  return split;
}

}  // namespace

int RunTool(const CommandArguments& arguments) {
  if (arguments.size() < 2) {
    PrintCommands(std::cerr);
    return static_cast<int>(ExitStatus::kUsage);
  }
  const std::string& name = arguments[1];
  if (name == "--help" || name == "-h" || name == "help") {
    PrintCommands(std::cout);
    return static_cast<int>(ExitStatus::kOk);
  }
  for (const Command& command : AllCommands()) {
    if (command.name == name) {
      CommandArguments own(arguments.begin() + 1, arguments.end());
      own.front() = "basilsillctl " + name;
      return static_cast<int>(command.run(own));
    }
  }
  std::cerr << "basilsillctl: unknown subcommand '" << name << "'\n";
  PrintCommands(std::cerr);
  return static_cast<int>(ExitStatus::kUsage);
}

std::optional<ExitStatus> ParseArguments(TCLAP::CmdLine& line,
                                         const CommandArguments& arguments) {
  line.setExceptionHandling(false);
  CommandArguments copy = SplitValues(arguments);
  try {
    line.parse(copy);
  } catch (const TCLAP::ArgException& fault) {
    std::cerr << arguments.front() << ": " << fault.error() << ' '
              << fault.argId() << "\nsee " << arguments.front() << " --help\n";
    return ExitStatus::kUsage;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus() == 0 ? ExitStatus::kOk : ExitStatus::kUsage;
  }
  return std::nullopt;
}

}  // namespace basilsill::ctl

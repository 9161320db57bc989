#ifndef BASILSILL_NODE_COMMAND_LINE_H_
#define BASILSILL_NODE_COMMAND_LINE_H_

#include <string>

#include "basilsill/base/error.h"

/// The command line of the node.

namespace basilsill {

/// Exit status of a run or check without failure.
inline constexpr int kExitSuccess = 0;
/// Exit status of a node that failed while running.
inline constexpr int kExitFailure = 1;
/// Exit status for a bad command line or bad settings.
inline constexpr int kExitUsage = 2;

enum class Command {
  kRun,
  kCheckSettings,
  kPrintSettings,
  kPrintText,  ///< Prints `text`: the help or the version.
  kCount
};

struct CommandLine {
  Command command = Command::kRun;
  std::string settings_file;
  /// Takes the settings from the users' platform, through the adapter.
  bool adapter = false;
  /// Names of mechanisms to disable, separated by commas. They are valid.
  std::string without{};
  std::string text;
};

/// @returns the command to run, or kSyntax with a readable detail; the process
/// should then exit with kExitUsage. Prints nothing and does not exit.
Result<CommandLine> ParseCommandLine(int argc, const char* const* argv);

}  // namespace basilsill

#endif  // BASILSILL_NODE_COMMAND_LINE_H_

#ifndef BASILSILL_NODE_COMMAND_LINE_H_
#define BASILSILL_NODE_COMMAND_LINE_H_

#include <string>

#include "basilsill/base/error.h"

/// The command line of the node.

namespace basilsill {

/// Exit status of a run or check that ended well.
inline constexpr int kExitSuccess = 0;
/// Exit status of a node that failed while running.
inline constexpr int kExitFailure = 1;
/// Exit status for a bad command line or bad settings.
inline constexpr int kExitUsage = 2;

enum class Command {
  kRun,
  kCheckSettings,
  kPrintSettings,
  kPrintText,  ///< `text` has the help or the version.
  kCount
};

struct CommandLine {
  Command command = Command::kRun;
  std::string settings_file;
  /// Settings come from the platform's own file, through the adapter.
  bool adapter = false;
  /// Names of mechanisms to switch off, separated by commas; checked.
  std::string without{};
  std::string text;
};

/// @returns what the process shall do, or kSyntax with a detail for people
/// (kExitUsage is due then). Writes nothing and ends nothing itself.
Result<CommandLine> ParseCommandLine(int argc, const char* const* argv);

}  // namespace basilsill

#endif  // BASILSILL_NODE_COMMAND_LINE_H_

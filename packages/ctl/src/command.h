#ifndef BASILSILL_CTL_COMMAND_H_
#define BASILSILL_CTL_COMMAND_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// The subcommands of `basilsillctl` and their common code.

namespace TCLAP {  // NOLINT: the library's name.
class CmdLine;
}

namespace basilsill::ctl {

/// Exit status of every subcommand; part of the public interface.
enum class ExitStatus : int {
  kOk = 0,
  kFailed = 1,       ///< Any other failure.
  kUsage = 2,        ///< The command line or an input file is invalid.
  kConflict = 3,     ///< The change is based on an outdated version.
  kRejected = 4,     ///< The node rejected the content of the request.
  kUnavailable = 5,  ///< No node answered, or the outcome is unknown.
};

/// Arguments of a subcommand; the first is the program name for its help.
using CommandArguments = std::vector<std::string>;

/// One row of the subcommand table.
struct Command {
  std::string_view name;
  std::string_view summary;  ///< One line in the list of subcommands.
  ExitStatus (*run)(const CommandArguments& arguments);
};

/// @returns all subcommands in the order of the help text.
std::span<const Command> AllCommands();

/// Runs the subcommand named by `arguments[1]`.
/// @param arguments All arguments of main().
/// @returns the exit status of the process.
int RunTool(const CommandArguments& arguments);

/// Parses `arguments` into the TCLAP arguments that were added to `line`.
/// Prints help, version and usage errors.
/// @returns the exit status if the subcommand has to end here, or std::nullopt
/// if it continues.
std::optional<ExitStatus> ParseArguments(TCLAP::CmdLine& line,
                                         const CommandArguments& arguments);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_COMMAND_H_

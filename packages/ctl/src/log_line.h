#ifndef BASILSILL_CTL_LOG_LINE_H_
#define BASILSILL_CTL_LOG_LINE_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// Reads the lines that nodes write to their logs.

namespace basilsill::ctl {

struct LogLine {
  std::chrono::milliseconds time{0};  ///< Of the day, UTC.
  std::string clock;                  ///< The same, as the line has it.
  int event = 0;                      ///< Its number.
  std::string name;
  std::map<std::string, std::string, std::less<>> fields;
  std::string text;  ///< From the name on, as it was written.

  /// @returns the value of a field, empty if it is not there.
  std::string_view Field(std::string_view field) const;
};

/// @returns the line, or nothing if a node did not write it.
std::optional<LogLine> ParseLogLine(std::string_view text);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_LOG_LINE_H_

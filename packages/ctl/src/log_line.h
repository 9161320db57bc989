#ifndef BASILSILL_CTL_LOG_LINE_H_
#define BASILSILL_CTL_LOG_LINE_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// Parser of the log lines of nodes.

namespace basilsill::ctl {

struct LogLine {
  std::chrono::milliseconds time{0};  ///< Time of day, UTC.
  std::string time_text;              ///< The same as text, HH:MM:SS.mmm.
  int event = 0;                      ///< Number of the event.
  std::string name;                   ///< Name of the event.
  std::map<std::string, std::string, std::less<>> fields;
  std::string text;  ///< The rest of the line, from the name on.

  /// @returns the value of a field, or an empty string if it is absent.
  std::string_view Field(std::string_view field) const;
};

/// @returns the line, or std::nullopt if it is not in the format of nodes.
std::optional<LogLine> ParseLogLine(std::string_view text);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_LOG_LINE_H_

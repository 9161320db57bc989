#include "log_line.h"

#include <array>

#include "basilsill/base/text.h"

namespace basilsill::ctl {
namespace {

using std::chrono::milliseconds;

// Position of the time of day in a timestamp: `2026-01-31T23:59:59.999Z`.
constexpr size_t kTimeOffset = 11;
constexpr size_t kTimeSize = 12;
constexpr size_t kTimestampSize = 24;

// Removes the first word from `rest`.
// @returns the word.
std::string_view ConsumeWord(std::string_view& rest) {
  const size_t end = std::min(rest.find(' '), rest.size());
  const std::string_view word = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return word;
}

// Removes the first value from `rest`: a word, or a quoted string.
// @returns the value without quotes and escapes.
std::string ConsumeValue(std::string_view& rest) {
  if (!rest.starts_with('"')) {
    return std::string(ConsumeWord(rest));
  }
  std::string value;
  size_t position = 1;
  while (position < rest.size() && rest[position] != '"') {
    position += rest[position] == '\\' && position + 1 < rest.size() ? 1 : 0;
    value += rest[position++];
  }
  rest.remove_prefix(std::min(position + 2, rest.size()));
  return value;
}

std::optional<milliseconds> ParseTimeOfDay(std::string_view text) {
  struct Part {
    size_t offset;
    size_t size;
    milliseconds unit;
  };
  constexpr std::array<Part, 4> parts = {{{0, 2, std::chrono::hours(1)},
                                          {3, 2, std::chrono::minutes(1)},
                                          {6, 2, std::chrono::seconds(1)},
                                          {9, 3, milliseconds(1)}}};
  milliseconds time{0};
  for (const Part& part : parts) {
    const auto number =
        ParseNumber<int64_t>(text.substr(part.offset, part.size));
    if (!number) {
      return std::nullopt;
    }
    time += *number * part.unit;
  }
  return time;
}

}  // namespace

std::string_view LogLine::Field(std::string_view field) const {
  const auto found = this->fields.find(field);
  return found == this->fields.end() ? std::string_view() : found->second;
}

std::optional<LogLine> ParseLogLine(std::string_view text) {
  std::string_view rest = text;
  const std::string_view timestamp = ConsumeWord(rest);
  ConsumeWord(rest);  // Skips the severity: the event number implies it.
  const auto number = ParseNumber<int>(ConsumeWord(rest));
  if (timestamp.size() != kTimestampSize || !number) {
    return std::nullopt;
  }
  const std::string_view time_text = timestamp.substr(kTimeOffset, kTimeSize);
  const auto time = ParseTimeOfDay(time_text);
  if (!time) {
    return std::nullopt;
  }
  LogLine line;
  line.time = *time;
  line.time_text = time_text;
  line.event = *number;
  line.text = rest;
  line.name = ConsumeWord(rest);
  while (!rest.empty()) {
    const size_t equals = rest.find('=');
    if (equals == std::string_view::npos) {
      break;
    }
    const std::string field(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    line.fields[field] = ConsumeValue(rest);
  }
  return line;
}

}  // namespace basilsill::ctl

#include "log_line.h"

#include <array>

#include "basilsill/base/text.h"

namespace basilsill::ctl {
namespace {

using std::chrono::milliseconds;

// `2026-01-31T23:59:59.999Z`: where the parts of the time of day stand.
constexpr size_t kTimeAt = 11;
constexpr size_t kTimeSize = 12;
constexpr size_t kStampSize = 24;

// Takes the first word off `rest`.
std::string_view TakeWord(std::string_view& rest) {
  const size_t end = std::min(rest.find(' '), rest.size());
  const std::string_view word = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return word;
}

// Takes a value off `rest`: a plain word, or text in quotes.
std::string TakeValue(std::string_view& rest) {
  if (!rest.starts_with('"')) {
    return std::string(TakeWord(rest));
  }
  std::string value;
  size_t at = 1;
  while (at < rest.size() && rest[at] != '"') {
    at += rest[at] == '\\' && at + 1 < rest.size() ? 1 : 0;
    value += rest[at++];
  }
  rest.remove_prefix(std::min(at + 2, rest.size()));
  return value;
}

std::optional<milliseconds> ReadTimeOfDay(std::string_view text) {
  struct Part {
    size_t at;
    size_t size;
    milliseconds unit;
  };
  constexpr std::array<Part, 4> parts = {{{0, 2, std::chrono::hours(1)},
                                          {3, 2, std::chrono::minutes(1)},
                                          {6, 2, std::chrono::seconds(1)},
                                          {9, 3, milliseconds(1)}}};
  milliseconds time{0};
  for (const Part& part : parts) {
    const auto number = ParseNumber<int64_t>(text.substr(part.at, part.size));
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
  const std::string_view stamp = TakeWord(rest);
  TakeWord(rest);  // The severity says nothing that the number does not.
  const auto number = ParseNumber<int>(TakeWord(rest));
  if (stamp.size() != kStampSize || !number) {
    return std::nullopt;
  }
  const std::string_view clock = stamp.substr(kTimeAt, kTimeSize);
  const auto time = ReadTimeOfDay(clock);
  if (!time) {
    return std::nullopt;
  }
  LogLine line;
  line.time = *time;
  line.clock = clock;
  line.event = *number;
  line.text = rest;
  line.name = TakeWord(rest);
  while (!rest.empty()) {
    const size_t equals = rest.find('=');
    if (equals == std::string_view::npos) {
      break;
    }
    const std::string field(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    line.fields[field] = TakeValue(rest);
  }
  return line;
}

}  // namespace basilsill::ctl

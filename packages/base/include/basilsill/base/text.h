#ifndef BASILSILL_BASE_TEXT_H_
#define BASILSILL_BASE_TEXT_H_

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

/// Small steps of reading text that formats of several packages have in common.

namespace basilsill {

/// @returns the number that the whole of `text` is, without sign for unsigned
/// types and without blanks; nothing if it is none or out of range.
template <typename Number, typename... Form>
std::optional<Number> ParseNumber(std::string_view text, Form... form) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number, form...);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

/// @returns `text` without the characters of `blanks` at its ends.
std::string_view Trimmed(std::string_view text, std::string_view blanks);

/// @returns `text` with the letters A to Z in lower case, as names of hosts
/// are compared.
std::string ToLowerAscii(std::string_view text);

}  // namespace basilsill

#endif  // BASILSILL_BASE_TEXT_H_

#ifndef BASILSILL_BASE_TEXT_H_
#define BASILSILL_BASE_TEXT_H_

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

/// Text parsing helpers shared by several packages.

namespace basilsill {

/// @returns the number that `text` as a whole represents, or nothing if it is
/// not a number or out of range. Blanks are not allowed, nor is a sign for
/// unsigned types.
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

/// @returns `text` without leading and trailing characters of `blanks`.
std::string_view Trimmed(std::string_view text, std::string_view blanks);

/// @returns `text` with the letters A to Z in lower case, the form in which
/// host names are compared.
std::string ToLowerAscii(std::string_view text);

}  // namespace basilsill

#endif  // BASILSILL_BASE_TEXT_H_

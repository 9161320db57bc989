#include "basilsill/base/text.h"

#include <algorithm>

namespace basilsill {

std::string_view Trimmed(std::string_view text, std::string_view blanks) {
  const size_t begin = text.find_first_not_of(blanks);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

std::string ToLowerAscii(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return lower;
}

}  // namespace basilsill

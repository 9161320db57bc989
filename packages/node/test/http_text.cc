#include "http_text.h"

namespace basilsill::test {

std::string FieldOf(std::string_view message, const std::string& name) {
  const std::string start = "\r\n" + name + ": ";
  const size_t found = message.find(start);
  if (found == std::string_view::npos) {
    return "";
  }
  const size_t from = found + start.size();
  return std::string(message.substr(from, message.find("\r\n", from) - from));
}

}  // namespace basilsill::test

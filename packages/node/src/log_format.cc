#include "log_format.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string_view>
#include <variant>

namespace basilsill {
namespace {

constexpr std::string_view kTruncationMark = "...";
constexpr std::string_view kHexDigits = "0123456789abcdef";

/// Appends to a buffer of fixed size. Reserves space for the truncation mark
/// and ignores all text after the first that does not fit.
class LineWriter {
 public:
  explicit LineWriter(std::span<char> line) : line(line) {}

  void Put(std::string_view text) {
    const size_t room = this->line.size() - kTruncationMark.size() - this->used;
    this->truncated = this->truncated || text.size() > room;
    if (this->truncated) {
      return;
    }
    std::copy(text.begin(), text.end(), this->line.begin() + this->used);
    this->used += text.size();
  }

  template <typename Number>
  void PutNumber(Number number) {
    std::array<char, 32> digits{};
    const auto end = std::to_chars(digits.begin(), digits.end(), number);
    this->Put({digits.begin(), end.ptr});
  }

  std::string_view Finish() {
    if (this->truncated) {
      std::copy(kTruncationMark.begin(), kTruncationMark.end(),
                this->line.begin() + this->used);
      this->used += kTruncationMark.size();
    }
    return {this->line.data(), this->used};
  }

 private:
  std::span<char> line;
  size_t used = 0;
  bool truncated = false;
};

bool IsPlain(char c) {
  return c > ' ' && c < '\x7f' && c != '"' && c != '\\' && c != '=';
}

void PutEscaped(LineWriter& writer, char c) {
  const auto byte = static_cast<uint8_t>(c);
  if (c == '"' || c == '\\') {
    const std::array<char, 2> escaped = {'\\', c};
    writer.Put({escaped.data(), escaped.size()});
  } else if (byte < ' ' || byte >= 0x7f) {
    const std::array<char, 4> escaped = {'\\', 'x', kHexDigits[byte >> 4],
                                         kHexDigits[byte & 0xf]};
    writer.Put({escaped.data(), escaped.size()});
  } else {
    writer.Put({&c, 1});
  }
}

void PutText(LineWriter& writer, std::string_view text) {
  if (!text.empty() && std::all_of(text.begin(), text.end(), IsPlain)) {
    writer.Put(text);
    return;
  }
  writer.Put("\"");
  for (const char c : text) {
    PutEscaped(writer, c);
  }
  writer.Put("\"");
}

struct PutValue {
  LineWriter& writer;

  void operator()(std::string_view text) const { PutText(this->writer, text); }
  void operator()(bool flag) const {
    this->writer.Put(flag ? "true" : "false");
  }
  template <typename Number>
  void operator()(Number number) const {
    this->writer.PutNumber(number);
  }
};

}  // namespace

std::string_view FormatLogLine(Event event,
                               std::span<const LogField> fields,
                               std::span<char, kMaxLogLineBytes> line) {
  LineWriter writer(line);
  writer.PutNumber(static_cast<unsigned>(event));
  writer.Put(" ");
  writer.Put(InfoOf(event).name);
  for (const LogField& field : fields) {
    writer.Put(" ");
    writer.Put(field.name);
    writer.Put("=");
    std::visit(PutValue{writer}, field.value);
  }
  return writer.Finish();
}

}  // namespace basilsill

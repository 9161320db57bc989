#include "basilsill/wire/header_list.h"

#include <algorithm>
#include <utility>

namespace basilsill::wire {
namespace {

char LowerCase(char letter) {
  const bool upper = letter >= 'A' && letter <= 'Z';
  return upper ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(
      left.begin(), left.end(), right.begin(), right.end(),
      [](char a, char b) { return LowerCase(a) == LowerCase(b); });
}

}  // namespace

bool HeaderList::Assign(std::string_view text, std::vector<uint32_t> ends) {
  this->Clear();
  const size_t covered = ends.empty() ? 0 : ends.back();
  if (ends.size() % 2 != 0 || covered != text.size() ||
      !std::is_sorted(ends.begin(), ends.end())) {
    return false;
  }
  this->field_text.assign(text);
  this->field_ends = std::move(ends);
  return true;
}

void HeaderList::Append(std::string_view name, std::string_view value) {
  this->field_text.append(name);
  this->field_ends.push_back(static_cast<uint32_t>(this->field_text.size()));
  this->field_text.append(value);
  this->field_ends.push_back(static_cast<uint32_t>(this->field_text.size()));
}

void HeaderList::Clear() {
  this->field_text.clear();
  this->field_ends.clear();
}

std::string_view HeaderList::Find(std::string_view name) const {
  for (const HeaderView field : *this) {
    if (EqualsIgnoringCase(field.name, name)) {
      return field.value;
    }
  }
  return {};
}

HeaderView HeaderList::operator[](size_t position) const {
  const std::string_view all = this->field_text;
  const size_t start = position == 0 ? 0 : this->field_ends[2 * position - 1];
  const size_t name_end = this->field_ends[2 * position];
  const size_t value_end = this->field_ends[2 * position + 1];
  return {all.substr(start, name_end - start),
          all.substr(name_end, value_end - name_end)};
}

}  // namespace basilsill::wire

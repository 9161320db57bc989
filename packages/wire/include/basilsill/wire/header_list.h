#ifndef BASILSILL_WIRE_HEADER_LIST_H_
#define BASILSILL_WIRE_HEADER_LIST_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Header fields of a request or answer, stored in two flat arrays, so that any
/// number of them needs only two allocations.

namespace basilsill::wire {

/// One header field. The views are valid until the list changes.
struct HeaderView {
  std::string_view name;
  std::string_view value;

  friend bool operator==(const HeaderView&, const HeaderView&) = default;
};

/// Header fields in the order in which they were received. A name may occur
/// more than once.
class HeaderList {
 public:
  /// Iterates over the fields in order.
  class Iterator {
   public:
    Iterator(const HeaderList* list, size_t position)
        : list(list), position(position) {}

    HeaderView operator*() const { return (*this->list)[this->position]; }
    Iterator& operator++() {
      ++this->position;
      return *this;
    }
    friend bool operator==(const Iterator&, const Iterator&) = default;

   private:
    const HeaderList* list;
    size_t position;
  };

  /// Replaces the list by one in the flat form in which frames contain it.
  /// @param text All names and values, concatenated without separators.
  /// @param ends Position in `text` at which each name and each value ends: two
  /// per field, in ascending order, the last one equal to the size of `text`.
  /// @returns false if `text` and `ends` are inconsistent; the list is then
  /// empty.
  bool Assign(std::string_view text, std::vector<uint32_t> ends);

  void Append(std::string_view name, std::string_view value);
  void Clear();

  /// @returns the value of the first field whose name is `name`, ignoring ASCII
  /// case; empty if there is none.
  std::string_view Find(std::string_view name) const;

  HeaderView operator[](size_t position) const;
  size_t size() const { return this->field_ends.size() / 2; }
  bool empty() const { return this->field_ends.empty(); }
  Iterator begin() const { return {this, 0}; }
  Iterator end() const { return {this, this->size()}; }

  const std::string& text() const { return this->field_text; }
  const std::vector<uint32_t>& ends() const { return this->field_ends; }

  friend bool operator==(const HeaderList&, const HeaderList&) = default;

 private:
  std::string field_text;
  std::vector<uint32_t> field_ends;
};

}  // namespace basilsill::wire

#endif  // BASILSILL_WIRE_HEADER_LIST_H_

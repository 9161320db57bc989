#ifndef BASILSILL_DECISION_SRC_NAME_TABLE_H_
#define BASILSILL_DECISION_SRC_NAME_TABLE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "basilsill/base/handle.h"

/// Handles for entities that are identified by name.

namespace basilsill {

/// Assigns each name a handle that stays valid while the name is in use.
template <typename Tag>
class NameTable {
 public:
  explicit NameTable(size_t capacity) : table(capacity) {}

  /// Frees the handles of all names for which `is_used(name)` is false. Must be
  /// called before Take, so that unused names do not keep new ones out of a
  /// full table.
  template <typename IsUsed>
  void Retain(IsUsed&& is_used) {
    std::erase_if(this->handles, [this, &is_used](const auto& known) {
      return !is_used(known.first) && this->table.Destroy(known.second);
    });
  }

  /// @returns the handle of `name`, which is added if it has none; invalid if
  /// the table is full.
  Handle<Tag> Take(std::string_view name) {
    const auto known = this->handles.find(name);
    if (known != this->handles.end()) {
      return known->second;
    }
    const Handle<Tag> handle = this->table.Create({});
    if (IsValid(handle)) {
      this->handles.emplace(name, handle);
    }
    return handle;
  }

  /// @returns the handle of `name`, invalid if it has none.
  Handle<Tag> Find(std::string_view name) const {
    const auto known = this->handles.find(name);
    return known == this->handles.end() ? Handle<Tag>{} : known->second;
  }

 private:
  struct NoValue {};

  HandleTable<NoValue, Tag> table;
  std::map<std::string, Handle<Tag>, std::less<>> handles;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SRC_NAME_TABLE_H_

#ifndef BASILSILL_BASE_HANDLE_H_
#define BASILSILL_BASE_HANDLE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

/// Typed handles with a generation, and the fixed-capacity table that allocates
/// them. Entities are always referred to by handle, never by pointer.

namespace basilsill {

/// Refers to one entity of a table.
/// @tparam Tag Empty type that distinguishes handles of different tables.
template <typename Tag>
struct Handle {
  static constexpr uint32_t kInvalidIndex = UINT32_MAX;

  uint32_t index = kInvalidIndex;
  uint32_t generation = 0;

  friend auto operator<=>(const Handle&, const Handle&) = default;
};

/// @returns true if `handle` refers to an entity, which may have been destroyed
/// since.
template <typename Tag>
constexpr bool IsValid(Handle<Tag> handle) {
  return handle.index != Handle<Tag>::kInvalidIndex;
}

/// Fixed-capacity table of entities with a free list.
/// Create and Destroy are O(1) and do not allocate once the table exists.
/// @remarks Not thread safe: a table belongs to one thread.
template <typename T, typename Tag>
class HandleTable {
 public:
  using HandleType = Handle<Tag>;

  /// @param capacity Maximum number of entities alive at once.
  explicit HandleTable(size_t capacity) : slots(capacity) {
    this->free_indices.reserve(capacity);
    for (size_t i = capacity; i > 0; --i) {
      this->free_indices.push_back(static_cast<uint32_t>(i - 1));
    }
  }

  /// @returns the new entity's handle, or an invalid one if the table is full.
  HandleType Create(T value) {
    if (this->free_indices.empty()) {
      return {};
    }
    const uint32_t index = this->free_indices.back();
    this->free_indices.pop_back();
    Slot& slot = this->slots[index];
    slot.value = std::move(value);
    slot.alive = true;
    ++this->count;
    return {index, slot.generation};
  }

  /// Destroys the entity; a stale or invalid handle is ignored.
  /// @returns true if an entity was destroyed.
  bool Destroy(HandleType handle) {
    if (!this->Contains(handle)) {
      return false;
    }
    Slot& slot = this->slots[handle.index];
    slot.value = T();
    slot.alive = false;
    ++slot.generation;
    this->free_indices.push_back(handle.index);
    --this->count;
    return true;
  }

  /// @returns true if `handle` refers to an entity that is still alive.
  bool Contains(HandleType handle) const {
    return handle.index < this->slots.size() &&
           this->slots[handle.index].alive &&
           this->slots[handle.index].generation == handle.generation;
  }

  /// @returns the entity, or nullptr for a stale or invalid handle. The pointer
  /// is valid until the entity is destroyed.
  T* Find(HandleType handle) {
    return this->Contains(handle) ? &this->slots[handle.index].value : nullptr;
  }
  const T* Find(HandleType handle) const {
    return this->Contains(handle) ? &this->slots[handle.index].value : nullptr;
  }

  /// @returns the handle of the entity at `index`, or an invalid one if none is
  /// alive there.
  HandleType HandleAt(uint32_t index) const {
    if (index >= this->slots.size() || !this->slots[index].alive) {
      return {};
    }
    return {index, this->slots[index].generation};
  }

  /// Calls `visit(handle, value)` for each live entity in index order.
  template <typename Visit>
  void ForEach(Visit&& visit) {
    for (uint32_t i = 0; i < this->slots.size(); ++i) {
      if (this->slots[i].alive) {
        visit(HandleType{i, this->slots[i].generation}, this->slots[i].value);
      }
    }
  }
  template <typename Visit>
  void ForEach(Visit&& visit) const {
    for (uint32_t i = 0; i < this->slots.size(); ++i) {
      if (this->slots[i].alive) {
        visit(HandleType{i, this->slots[i].generation}, this->slots[i].value);
      }
    }
  }

  size_t size() const { return this->count; }
  size_t capacity() const { return this->slots.size(); }

 private:
  struct Slot {
    T value{};
    uint32_t generation = 0;
    bool alive = false;
  };

  std::vector<Slot> slots;
  std::vector<uint32_t> free_indices;
  size_t count = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_BASE_HANDLE_H_

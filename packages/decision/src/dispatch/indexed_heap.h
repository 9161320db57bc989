#ifndef BASILSILL_DECISION_INDEXED_HEAP_H_
#define BASILSILL_DECISION_INDEXED_HEAP_H_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

/// Binary min-heap of table rows in which any row can be moved or removed. Each
/// row stores its own position in the heap, so the heap needs no index and does
/// not allocate beyond its reserved capacity.

namespace basilsill {

inline constexpr uint32_t kNotInHeap = UINT32_MAX;

/// @tparam Key Ordered by `<`.
/// The parameter `positions` of the methods is a callable
/// `uint32_t& operator()(uint32_t row)` that returns the stored position of
/// `row`; kNotInHeap if it is not in the heap.
template <typename Key>
class IndexedHeap {
 public:
  struct Item {
    Key key;
    uint32_t row;
  };

  void Reserve(size_t capacity) { this->items.reserve(capacity); }
  bool empty() const { return this->items.empty(); }
  size_t size() const { return this->items.size(); }
  const Item& top() const { return this->items.front(); }
  const std::vector<Item>& all() const { return this->items; }

  /// Inserts `row`, or changes its key if it is already in the heap.
  template <typename Positions>
  void Set(uint32_t row, Key key, Positions&& positions) {
    uint32_t position = positions(row);
    if (position == kNotInHeap) {
      position = static_cast<uint32_t>(this->items.size());
      this->items.push_back({key, row});
      positions(row) = position;
    }
    this->items[position].key = key;
    this->SiftDown(this->SiftUp(position, positions), positions);
  }

  /// Removes `row`; has no effect if `row` is not in the heap.
  template <typename Positions>
  void Remove(uint32_t row, Positions&& positions) {
    const uint32_t position = positions(row);
    if (position == kNotInHeap) {
      return;
    }
    positions(row) = kNotInHeap;
    const Item last = this->items.back();
    this->items.pop_back();
    if (position < this->items.size()) {
      this->items[position] = last;
      positions(last.row) = position;
      this->SiftDown(this->SiftUp(position, positions), positions);
    }
  }

 private:
  template <typename Positions>
  uint32_t SiftUp(uint32_t position, Positions& positions) {
    while (position > 0) {
      const uint32_t parent = (position - 1) / 2;
      if (!(this->items[position].key < this->items[parent].key)) {
        break;
      }
      this->Swap(position, parent, positions);
      position = parent;
    }
    return position;
  }

  template <typename Positions>
  void SiftDown(uint32_t position, Positions& positions) {
    const auto size = static_cast<uint32_t>(this->items.size());
    for (;;) {
      uint32_t least = position;
      for (uint32_t child = 2 * position + 1;
           child < size && child <= 2 * position + 2; ++child) {
        if (this->items[child].key < this->items[least].key) {
          least = child;
        }
      }
      if (least == position) {
        return;
      }
      this->Swap(position, least, positions);
      position = least;
    }
  }

  template <typename Positions>
  void Swap(uint32_t a, uint32_t b, Positions& positions) {
    std::swap(this->items[a], this->items[b]);
    positions(this->items[a].row) = a;
    positions(this->items[b].row) = b;
  }

  std::vector<Item> items;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_INDEXED_HEAP_H_

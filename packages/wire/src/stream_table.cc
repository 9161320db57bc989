#include "stream_table.h"

#include "stream_id.h"

namespace basilsill::wire {
namespace {

/// Generations wrap around. A generation is newer if it is ahead by at most
/// half of their range.
bool IsNewer(uint32_t generation, uint32_t than) {
  const uint32_t ahead = (generation - than) & kMaxGeneration;
  return ahead != 0 && ahead <= kMaxGeneration / 2;
}

}  // namespace

Stream* StreamTable::Create() {
  StreamId id{this->opener, 0, 0};
  if (!this->free_indices.empty()) {
    id.index = this->free_indices.back();
    this->free_indices.pop_back();
  } else if (this->slots.size() < limits::kMaxStreamsPerLink) {
    id.index = static_cast<uint32_t>(this->slots.size());
    this->slots.emplace_back();
  } else {
    return nullptr;
  }
  Slot& slot = this->slots[id.index];
  slot.created = true;
  id.generation = (slot.generation + 1) & kMaxGeneration;
  return this->Occupy(id);
}

Stream* StreamTable::Adopt(const StreamId& id) {
  if (id.index >= this->slots.size()) {
    this->slots.resize(id.index + 1);
  }
  const Slot& slot = this->slots[id.index];
  if (slot.stream != nullptr ||
      (slot.used && !IsNewer(id.generation, slot.generation))) {
    return nullptr;
  }
  return this->Occupy(id);
}

Stream* StreamTable::Occupy(const StreamId& id) {
  Slot& slot = this->slots[id.index];
  slot.stream = std::make_unique<Stream>();
  slot.stream->id = id;
  slot.generation = id.generation;
  slot.used = true;
  ++this->count;
  return slot.stream.get();
}

void StreamTable::Destroy(const StreamId& id) {
  // Copies the index, because `id` may be a member of the destroyed stream.
  const uint32_t index = id.index;
  Slot& slot = this->slots[index];
  slot.stream.reset();
  if (slot.created) {
    this->free_indices.push_back(index);
  }
  --this->count;
}

Stream* StreamTable::Find(const StreamId& id) const {
  if (id.index >= this->slots.size()) {
    return nullptr;
  }
  const Slot& slot = this->slots[id.index];
  return slot.generation == id.generation ? slot.stream.get() : nullptr;
}

bool StreamTable::WasOpened(const StreamId& id) const {
  if (id.index >= this->slots.size()) {
    return false;
  }
  const Slot& slot = this->slots[id.index];
  return slot.used && !IsNewer(id.generation, slot.generation);
}

}  // namespace basilsill::wire

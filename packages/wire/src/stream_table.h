#ifndef BASILSILL_WIRE_SRC_STREAM_TABLE_H_
#define BASILSILL_WIRE_SRC_STREAM_TABLE_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "stream.h"

/// Open streams of a link that were opened by one of its sides. That side calls
/// Create, the other one calls Adopt. Unlike HandleTable, the table grows on
/// demand, because a node has many links and most of them have few streams.

namespace basilsill::wire {

class StreamTable {
 public:
  explicit StreamTable(LinkSide opener) : opener(opener) {}

  /// Creates a stream with a free id.
  /// @returns the stream, or nullptr if limits::kMaxStreamsPerLink are open.
  Stream* Create();

  /// Creates a stream with the id that the peer has chosen.
  /// @returns the stream, or nullptr if the index is in use or the generation
  /// is not newer than the last one of the index.
  Stream* Adopt(const StreamId& id);

  void Destroy(const StreamId& id);

  /// @returns the stream, or nullptr if no stream with this id is open.
  Stream* Find(const StreamId& id) const;

  /// @returns true if a stream with this id is or was open.
  bool WasOpened(const StreamId& id) const;

  /// Calls `visit(stream)` for each open stream. `visit` may destroy the
  /// stream.
  template <typename Visit>
  void ForEach(Visit&& visit) {
    for (const Slot& slot : this->slots) {
      if (slot.stream != nullptr) {
        visit(*slot.stream);
      }
    }
  }

  size_t size() const { return this->count; }

 private:
  struct Slot {
    std::unique_ptr<Stream> stream;
    uint32_t generation = 0;  ///< Of the newest stream with this index.
    bool used = false;        ///< A stream with this index was opened.
    bool created = false;     ///< This side chose the id.
  };

  Stream* Occupy(const StreamId& id);

  LinkSide opener;
  std::vector<Slot> slots;
  std::vector<uint32_t> free_indices;  ///< Only of streams made by Create.
  size_t count = 0;
};

}  // namespace basilsill::wire

#endif  // BASILSILL_WIRE_SRC_STREAM_TABLE_H_

#ifndef BASILSILL_NODE_SEND_RECORD_H_
#define BASILSILL_NODE_SEND_RECORD_H_

#include <cstdint>

/// What this VM knows of the sends of one request.

namespace basilsill {

/// Counts the sends of a request that may have run it. Whoever sends it, to an
/// upstream or to another VM's dispatcher, records the send before its first
/// byte; only the proof that this very send did not run it takes it off again.
class SendRecord {
 public:
  void Begin() { ++this->count; }

  /// One of the sends is proven not to have run the request.
  void EndAsNotRun() { --this->count; }

  /// @returns the number of sends that may have run the request.
  uint32_t unsettled() const { return this->count; }

 private:
  uint32_t count = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_SEND_RECORD_H_

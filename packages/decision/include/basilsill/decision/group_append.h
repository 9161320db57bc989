#ifndef BASILSILL_DECISION_GROUP_APPEND_H_
#define BASILSILL_DECISION_GROUP_APPEND_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/topic_records.h"
#include "basilsill/decision/view.h"

/// Group commit of small records. A VM writes the records of other VMs together
/// with its own, with one append call in flight at a time; records that arrive
/// during a call go into the next one. This class does no I/O: the host makes
/// the calls.
///
/// The platform serialises the appends to a topic, takes some milliseconds for
/// each and charges for each. When a fleet of 300 VMs starts, the last of 300
/// separate appends would finish after a second; grouped, all records are
/// written in a few appends.

namespace basilsill {

/// A record to append, and the VM that waits for the result.
struct AppendRequest {
  VmHandle from;        ///< VM to answer; invalid: this VM itself.
  uint64_t number = 0;  ///< Request number, counted by the sender.
  KeyedRecord record;
};

class GroupAppend {
 public:
  /// Queues a record.
  /// @returns false if the queue is full; the record is then not written.
  bool Add(TimePoint now, AppendRequest request);

  /// @returns when the next call is due; kNever while a call is in flight or if
  /// the queue is empty.
  TimePoint due() const;

  /// Starts a call.
  /// @returns the records to write: the newest record of each key.
  std::vector<KeyedRecord> Begin();

  /// Ends the call.
  /// @returns all requests that the call covered.
  std::vector<AppendRequest> End();

 private:
  std::vector<AppendRequest> waiting;
  std::vector<AppendRequest> in_flight;
  bool call_in_flight = false;
  TimePoint oldest_added_at{};
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_GROUP_APPEND_H_

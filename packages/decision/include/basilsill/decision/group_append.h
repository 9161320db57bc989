#ifndef BASILSILL_DECISION_GROUP_APPEND_H_
#define BASILSILL_DECISION_GROUP_APPEND_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/topic_records.h"
#include "basilsill/decision/view.h"

/// Group commit of small records: a VM writes those of others with its own, one
/// call at a time, and what comes while one is on its way goes with the next.
/// Pure; the shell makes the calls.
///
/// The platform takes one append of a topic after the other, some milliseconds
/// each, and charges each. Of a fleet of 300 that starts the last one's own
/// append would come after a second; in groups all are written in a few.

namespace basilsill {

/// A record that somebody waits for.
struct AppendRequest {
  VmHandle from;        ///< Who is to be answered; invalid: this VM itself.
  uint64_t number = 0;  ///< Of the request, as its sender counts.
  KeyedRecord record;
};

class GroupAppend {
 public:
  /// @returns false if too much waits already: it is not written.
  bool Add(TimePoint now, AppendRequest request);

  /// @returns when the next call is due; kNever while one is on its way, or if
  /// nothing waits.
  TimePoint due() const;

  /// The call begins. @returns what it writes: one record a key, the last word
  /// of each.
  std::vector<KeyedRecord> Begin();

  /// The call has ended. @returns all requests that it was for.
  std::vector<AppendRequest> End();

 private:
  std::vector<AppendRequest> waiting;
  std::vector<AppendRequest> on_the_way;
  bool busy = false;
  TimePoint first_at{};
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_GROUP_APPEND_H_

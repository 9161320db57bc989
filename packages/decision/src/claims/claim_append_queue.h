#ifndef BASILSILL_DECISION_CLAIM_APPEND_QUEUE_H_
#define BASILSILL_DECISION_CLAIM_APPEND_QUEUE_H_

#include <deque>
#include <map>

#include "basilsill/base/handle.h"
#include "basilsill/base/time.h"
#include "basilsill/decision/claims.h"

/// Records of one stream that wait to be appended, queued by team. Teams are
/// served round-robin, one record a turn, so a team with thousands of claims
/// delays another team's claim by no more than one record a turn.

namespace basilsill {

struct ClaimEndTag;
using ClaimEndHandle = Handle<ClaimEndTag>;

/// A record to append: the claim of a waiting request, or the end of an
/// attempt. It is encoded when its append is sent, and skipped if the request
/// or the end no longer exists by then.
struct QueuedClaimRecord {
  ClaimHandle claim;
  ClaimEndHandle end;
  TimePoint due;        ///< Appended from then on, even if the budget is low.
  bool urgent = false;  ///< A caller waits for it.
};

/// Records of one team. Records that callers wait for have a separate queue;
/// each queue is ordered by due time.
class ClaimTeamQueue {
 public:
  void PushBack(const QueuedClaimRecord& record) {
    this->QueueOf(record).push_back(record);
  }
  void PushFront(const QueuedClaimRecord& record) {
    this->QueueOf(record).push_front(record);
  }
  const QueuedClaimRecord& front() const {
    return this->UrgentIsNext() ? this->urgent.front() : this->rest.front();
  }
  void PopFront() {
    (this->UrgentIsNext() ? this->urgent : this->rest).pop_front();
  }
  bool empty() const { return this->urgent.empty() && this->rest.empty(); }

 private:
  std::deque<QueuedClaimRecord>& QueueOf(const QueuedClaimRecord& record) {
    return record.urgent ? this->urgent : this->rest;
  }
  bool UrgentIsNext() const {
    return this->rest.empty() ||
           (!this->urgent.empty() &&
            this->urgent.front().due <= this->rest.front().due);
  }

  std::deque<QueuedClaimRecord> urgent;
  std::deque<QueuedClaimRecord> rest;
};

class ClaimAppendQueue {
 public:
  void PushBack(TeamKey team, const QueuedClaimRecord& record) {
    this->queues[team].PushBack(record);
  }
  void PushFront(TeamKey team, const QueuedClaimRecord& record) {
    this->queues[team].PushFront(record);
  }

  bool empty() const { return this->queues.empty(); }

  /// Non-empty queues by team.
  const std::map<TeamKey, ClaimTeamQueue>& teams() const {
    return this->queues;
  }

  /// Passes records to `visit` round-robin over the teams, one a turn and
  /// starting with `team`, and removes them. Stops when `visit` returns false;
  /// that record stays in the queue.
  template <typename Visit>
  void Take(TeamKey team, Visit&& visit) {
    auto turn = this->queues.lower_bound(team);
    while (!this->queues.empty()) {
      if (turn == this->queues.end()) {
        turn = this->queues.begin();
      }
      if (!visit(turn->second.front())) {
        return;
      }
      turn->second.PopFront();
      turn = turn->second.empty() ? this->queues.erase(turn) : std::next(turn);
    }
  }

 private:
  std::map<TeamKey, ClaimTeamQueue> queues;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CLAIM_APPEND_QUEUE_H_

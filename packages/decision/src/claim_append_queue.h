#ifndef BASILSILL_DECISION_CLAIM_APPEND_QUEUE_H_
#define BASILSILL_DECISION_CLAIM_APPEND_QUEUE_H_

#include <deque>
#include <map>

#include "basilsill/base/handle.h"
#include "basilsill/base/time.h"
#include "basilsill/decision/claims.h"

/// Records of one stream that wait for their append, queued by team. Teams
/// take turns record by record, so a team with thousands of claims delays
/// another team's claim by no more than one record a turn.

namespace basilsill {

struct ClaimEndTag;
using ClaimEndHandle = Handle<ClaimEndTag>;

/// A record to come: the claim of a waiting request, or the end of an
/// attempt. Encoded when its append is sent, skipped if it is gone by then.
struct QueuedClaimRecord {
  ClaimHandle claim;
  ClaimEndHandle end;
  TimePoint due;        ///< When it is worth an append of its own.
  bool urgent = false;  ///< A caller waits for it.
};

/// Records of one team: what callers wait for apart from the rest, each in
/// the order of due times.
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

  /// Queues by team, none of them empty.
  const std::map<TeamKey, ClaimTeamQueue>& teams() const {
    return this->queues;
  }

  /// Hands records to `visit` in turns of one a team, beginning with `team`,
  /// until `visit` returns false: it has then not taken the record.
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

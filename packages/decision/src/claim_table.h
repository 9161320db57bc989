#ifndef BASILSILL_DECISION_CLAIM_TABLE_H_
#define BASILSILL_DECISION_CLAIM_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "basilsill/decision/claims.h"
#include "claim_append_queue.h"
#include "claim_guards.h"
#include "claim_ledger.h"
#include "claim_log_throttle.h"
#include "claim_record.h"

/// The state behind ClaimTable, its methods in four files: claims.cc (calls
/// of the shell), claim_judge.cc (what becomes of a request),
/// claim_append.cc and claim_read.cc (the log).

namespace basilsill {

/// A request that waits for a grant.
struct WaitingClaim {
  ClaimRequest request;
  ClaimKeyId id;
  ClaimStream stream;
  TimePoint decide_by;
  bool queued = false;         ///< Its claim is in the outbox or beyond.
  uint64_t in_flight = 0;      ///< The append that carries its claim.
  bool may_be_in_log = false;  ///< An append of its claim may take effect.
};

/// The end of an attempt, until the log has it.
struct UnrecordedEnd {
  ClaimEnd end;
  ClaimKeyId id;
  ClaimStream stream;
  bool notify = false;  ///< The holder waits for kRecorded.
};

/// All that concerns one stream.
struct StreamWork {
  explicit StreamWork(const ClaimGuards& guards) : ledger(guards) {}

  ClaimLedger ledger;
  ClaimAppendQueue outbox;
  std::set<ClaimHandle> waiting;
  /// Attempts whose release is in the log, but was not read yet.
  std::set<ClaimAttempt> released;
  uint64_t append_call = 0;  ///< At most one append in flight.
  TimePoint append_after;
  uint64_t read_call = 0;  ///< At most one read in flight.
  bool caught_up = false;  ///< The last read came to the end.
  bool pinned = false;     ///< Read all the time: this VM owns it.
  TimePoint last_used;
};

/// An append in flight.
struct AppendCall {
  ClaimStream stream;
  TimePoint sent_at;
  std::vector<QueuedClaimRecord> records;
  /// Releases of claims that only this append can have put into the log:
  /// needed unless the platform says that it had no effect.
  std::vector<ClaimEndHandle> releases;
};

/// A read in flight: the next records of a stream, or the answer of a key.
struct ReadCall {
  ClaimStream stream;
  bool fetch = false;
  uint64_t offset = 0;  ///< For a fetch.
};

enum class ClaimDecision : uint8_t {
  kWait,
  kClaim,   ///< Append a claim.
  kGrant,   ///< Its claim is the first live one.
  kRefuse,  ///< With `refusal`.
  kReplay,  ///< With `answer`.
  kFetch,   ///< Read the answer at `offset` first.
  kCount
};

struct ClaimEvaluation {
  ClaimDecision decision = ClaimDecision::kWait;
  Refusal refusal = Refusal::kNone;
  const StoredResponse* answer = nullptr;
  uint64_t offset = 0;
};

class ClaimTableImpl final : public ClaimTable {
 public:
  ClaimTableImpl(const ClaimOptions& options, const ClaimGuards& guards);

  ClaimHandle Request(TimePoint now,
                      WallTime wall_now,
                      const ClaimRequest& request) override;
  void Cancel(TimePoint now, ClaimHandle claim) override;
  void Finish(TimePoint now, const ClaimEnd& end) override;
  void OnAppend(TimePoint now, uint64_t call, AppendOutcome outcome) override;
  void OnRead(TimePoint now, uint64_t call, const ClaimRead& read) override;
  void ApplyFleet(TimePoint now, const ClaimFleet& fleet) override;
  void Tick(TimePoint now, WallTime wall_now) override;
  TimePoint NextTick(TimePoint now) override;
  bool IsIdle() const override;
  const ClaimCounters& counters() const override { return this->counts; }
  const std::vector<ClaimAction>& actions() const override {
    return this->pending_actions;
  }
  void ClearActions() override { this->pending_actions.clear(); }

 private:
  // claims.cc
  Refusal CheckRoom(TeamKey team) const;
  ClaimHandle AddWaiting(TimePoint now, const ClaimRequest& request);
  void EraseWaiting(ClaimHandle handle);
  bool AddEnd(TimePoint now, const ClaimEnd& end, bool notify);
  StreamWork& Open(TimePoint now, const ClaimStream& stream);
  void PinOwned(TimePoint now, WallTime wall_now);
  void DropIdle(TimePoint now);
  void RefuseOverdue(TimePoint now);

  // claim_judge.cc
  ClaimEvaluation Judge(TimePoint now, const WaitingClaim& waiting) const;
  ClaimEvaluation JudgeFree(const WaitingClaim& waiting,
                            const StreamWork& work,
                            const ClaimKeyState* state) const;
  ClaimEvaluation JudgeClaimed(TimePoint now,
                               const WaitingClaim& waiting,
                               const StreamWork& work,
                               const ClaimKeyState& state) const;
  ClaimEvaluation JudgeEnded(const WaitingClaim& waiting,
                             const ClaimEnd& end) const;
  bool IsRunning(TimePoint now, const ClaimKeyState& state) const;
  bool IsLogDown(TimePoint now);
  bool IsOutpaced(TimePoint now, const WaitingClaim& waiting) const;
  Refusal LateRefusal(TimePoint now, const WaitingClaim& waiting) const;
  void Decide(TimePoint now, ClaimHandle handle);
  void DecideKey(TimePoint now, const ClaimKeyId& key);
  void DecideStream(TimePoint now, const StreamWork& work);
  void QueueClaim(TimePoint now, ClaimHandle handle);
  void Grant(ClaimHandle handle);
  void Refuse(TimePoint now, ClaimHandle handle, Refusal refusal);
  void RefuseAtOnce(const ClaimRequest& request, Refusal refusal);
  void Replay(ClaimHandle handle, const StoredResponse& answer);
  void Fetch(const ClaimStream& stream, uint64_t offset);
  void GiveUp(TimePoint now, const WaitingClaim& waiting);

  // claim_append.cc
  struct Pick {
    ClaimStream stream;
    TeamKey team = 0;
  };
  void Pump(TimePoint now);
  void PumpAppends(TimePoint now);
  bool IsProbing() const;
  bool IsFlushable(TimePoint now, const StreamWork& work) const;
  std::optional<Pick> PickAppend(TimePoint now);
  bool Flush(TimePoint now, const Pick& pick);
  void Carry(TimePoint now,
             const QueuedClaimRecord& out,
             uint64_t id,
             AppendCall& call,
             ClaimAction& action);
  std::string EncodeClaim(TimePoint now, const WaitingClaim& waiting) const;
  std::string EncodeEnd(const UnrecordedEnd& open) const;
  void OnAppended(const AppendCall& call);
  void OnNotAppended(TimePoint now, const AppendCall& call, bool doubtful);
  void Requeue(StreamWork& work, const QueuedClaimRecord& out);
  void NoteReleased(ClaimEndHandle handle);
  void Recorded(ClaimEndHandle handle);
  void EraseEnd(ClaimEndHandle handle);

  // claim_read.cc
  void PumpReads(TimePoint now);
  void OnFetched(TimePoint now, const ReadCall& call, const ClaimRead& read);
  void OnStreamRead(TimePoint now, StreamWork& work, const ClaimRead& read);
  void FoldRecords(TimePoint now, StreamWork& work, const ClaimRead& read);
  void AfterFold(TimePoint now, const ClaimRecord& record);
  void BoundMemory(StreamWork& work);

  ClaimOptions options;
  ClaimGuards guards;
  uint64_t origin;
  ClaimFleet fleet;
  std::unordered_set<uint64_t> live_origins;
  AppendBudget budget;
  LogHealth append_health;
  LogHealth read_health;
  uint64_t last_call = 0;
  TeamKey last_team = 0;

  std::map<ClaimStream, StreamWork> streams;
  HandleTable<WaitingClaim, ClaimTag> waiting_claims;
  HandleTable<UnrecordedEnd, ClaimEndTag> open_ends;
  std::unordered_map<ClaimAttempt, ClaimHandle, ClaimAttemptHash> by_attempt;
  std::unordered_multimap<ClaimKeyId, ClaimHandle, ClaimKeyIdHash> by_key;
  std::unordered_map<ClaimAttempt, ClaimEndHandle, ClaimAttemptHash> end_of;
  std::unordered_map<TeamKey, size_t> team_waiting;
  std::set<std::pair<TimePoint, ClaimHandle>> deadlines;
  std::map<uint64_t, AppendCall> append_calls;
  std::map<uint64_t, ReadCall> read_calls;

  ClaimCounters counts;
  std::vector<ClaimAction> pending_actions;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CLAIM_TABLE_H_

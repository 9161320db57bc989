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

/// Implementation of ClaimTable. Its methods are in four files: claims.cc
/// (calls of the host), claim_decision.cc (decisions on waiting requests),
/// claim_append.cc (appends to the log) and claim_read.cc (reads of the log).

namespace basilsill {

/// A request that waits for a grant.
struct WaitingClaim {
  ClaimRequest request;
  ClaimKeyId id;
  ClaimStream stream;
  TimePoint decide_by;
  bool queued = false;         ///< Its claim has been queued for an append.
  uint64_t in_flight = 0;      ///< The append that carries its claim, or 0.
  bool may_be_in_log = false;  ///< An append of its claim may take effect.
};

/// The end of an attempt that is not yet in the log.
struct UnrecordedEnd {
  ClaimEnd end;
  ClaimKeyId id;
  ClaimStream stream;
  bool notify = false;  ///< The holder waits for kRecorded.
};

/// State of one stream.
struct StreamWork {
  explicit StreamWork(const ClaimGuards& guards) : ledger(guards) {}

  ClaimLedger ledger;
  ClaimAppendQueue append_queue;
  std::set<ClaimHandle> waiting;
  /// Attempts whose release is in the log but has not been read yet.
  std::set<ClaimAttempt> released;
  uint64_t append_call = 0;  ///< The one append in flight, or 0.
  TimePoint append_after;
  uint64_t read_call = 0;  ///< The one read in flight, or 0.
  bool caught_up = false;  ///< The last read reached the end.
  bool pinned = false;     ///< This VM owns it and reads it continuously.
  TimePoint last_used;
};

/// An append in flight.
struct AppendCall {
  ClaimStream stream;
  TimePoint sent_at;
  std::vector<QueuedClaimRecord> records;
  /// Releases of claims that no other append can have written to the log. They
  /// are dropped if the platform confirms that this append had no effect.
  std::vector<ClaimEndHandle> releases;
};

/// A read in flight: the next records of a stream, or the response of a key.
struct ReadCall {
  ClaimStream stream;
  bool fetch = false;   ///< Reads the response of a key.
  uint64_t offset = 0;  ///< Of the response.
};

enum class ClaimDecision : uint8_t {
  kWait,
  kClaim,   ///< Append a claim.
  kGrant,   ///< Its claim is the first live one.
  kRefuse,  ///< With `refusal`.
  kReplay,  ///< With `answer`.
  kFetch,   ///< Read the response at `offset` first.
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
  Refusal CheckCapacity(TeamKey team) const;
  ClaimHandle AddWaiting(TimePoint now, const ClaimRequest& request);
  void EraseWaiting(ClaimHandle handle);
  bool AddEnd(TimePoint now, const ClaimEnd& end, bool notify);
  StreamWork& Open(TimePoint now, const ClaimStream& stream);
  void PinOwned(TimePoint now, WallTime wall_now);
  void DropIdle(TimePoint now);
  void RefuseOverdue(TimePoint now);

  // claim_decision.cc
  ClaimEvaluation Evaluate(TimePoint now, const WaitingClaim& waiting) const;
  ClaimEvaluation EvaluateFree(const WaitingClaim& waiting,
                               const StreamWork& work,
                               const ClaimKeyState* state) const;
  ClaimEvaluation EvaluateClaimed(TimePoint now,
                                  const WaitingClaim& waiting,
                                  const StreamWork& work,
                                  const ClaimKeyState& state) const;
  ClaimEvaluation EvaluateEnded(const WaitingClaim& waiting,
                                const ClaimEnd& end) const;
  bool IsRunning(TimePoint now, const ClaimKeyState& state) const;
  bool IsLogDown(TimePoint now);
  bool WouldMissDeadline(TimePoint now, const WaitingClaim& waiting) const;
  Refusal RefusalIfUndecided(TimePoint now, const WaitingClaim& waiting) const;
  void Decide(TimePoint now, ClaimHandle handle);
  void DecideKey(TimePoint now, const ClaimKeyId& key);
  void DecideStream(TimePoint now, const StreamWork& work);
  void QueueClaim(TimePoint now, ClaimHandle handle);
  void Grant(ClaimHandle handle);
  void Refuse(TimePoint now, ClaimHandle handle, Refusal refusal);
  void RefuseAtOnce(const ClaimRequest& request, Refusal refusal);
  void Replay(ClaimHandle handle, const StoredResponse& answer);
  void Fetch(const ClaimStream& stream, uint64_t offset);
  void AbandonClaim(TimePoint now, const WaitingClaim& waiting);

  // claim_append.cc
  struct AppendTarget {
    ClaimStream stream;
    TeamKey team = 0;
  };
  void Pump(TimePoint now);
  void PumpAppends(TimePoint now);
  bool IsProbing() const;
  bool CanAppend(TimePoint now, const StreamWork& work) const;
  std::optional<AppendTarget> ChooseAppend(TimePoint now);
  bool SendAppend(TimePoint now, const AppendTarget& target);
  void AddToAppend(TimePoint now,
                   const QueuedClaimRecord& out,
                   uint64_t id,
                   AppendCall& call,
                   ClaimAction& action);
  std::string EncodeClaim(TimePoint now, const WaitingClaim& waiting) const;
  std::string EncodeEnd(const UnrecordedEnd& unrecorded) const;
  void OnAppended(const AppendCall& call);
  void OnNotAppended(TimePoint now,
                     const AppendCall& call,
                     bool may_have_taken_effect);
  void Requeue(StreamWork& work, const QueuedClaimRecord& out);
  void TrackRelease(ClaimEndHandle handle);
  void OnRecorded(ClaimEndHandle handle);
  void EraseEnd(ClaimEndHandle handle);

  // claim_read.cc
  void PumpReads(TimePoint now);
  void OnFetched(TimePoint now, const ReadCall& call, const ClaimRead& read);
  void OnStreamRead(TimePoint now, StreamWork& work, const ClaimRead& read);
  void ApplyRecords(TimePoint now, StreamWork& work, const ClaimRead& read);
  void OnRecordApplied(TimePoint now, const ClaimRecord& record);
  void EnforceKeyLimit(StreamWork& work);

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
  HandleTable<UnrecordedEnd, ClaimEndTag> unrecorded_ends;
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

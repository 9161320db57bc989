#ifndef BASILSILL_DECISION_CHANGE_TABLE_H_
#define BASILSILL_DECISION_CHANGE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilsill/base/handle.h"
#include "basilsill/base/time.h"
#include "basilsill/decision/configuration.h"
#include "basilsill/decision/follower.h"

/// Tracks configuration changes from an operator's request to an outcome.
///
/// A change is validated and appended to the log; its outcome is decided only
/// by reading its record back. An append whose answer is lost may take effect
/// at any later time. So the table first reads to the end of the log and
/// appends the same record again only if it is not there. The first copy in the
/// log counts; all VMs ignore the others. When the operator's deadline passes,
/// the change is reported as `unresolved` and the table appends a withdrawal;
/// whichever of the two records comes first in the log decides. A change
/// therefore ends soon after the log answers again, and never takes effect
/// after that.

namespace basilsill {

struct ChangeTag;
using ChangeHandle = Handle<ChangeTag>;

/// Status of a change as reported to the operator.
enum class ChangeStatus : uint8_t {
  kAccepted,    ///< In the log; in force on every VM, now or soon.
  kConflict,    ///< Lost to another change; never takes effect.
  kRejected,    ///< Not valid; never takes effect.
  kVoid,        ///< Not appended, withdrawn or expired; never takes effect.
  kUnresolved,  ///< May or may not take effect; a final status follows.
  /// This VM cannot determine the outcome: it does not follow the log at
  /// present, or it skipped the records in question. Another VM may know.
  kUnknown,
  kCount
};

/// @returns the stable name of `status`.
std::string_view NameOf(ChangeStatus status);

/// Every status except kUnresolved is final.
struct ChangeOutcome {
  ChangeStatus status = ChangeStatus::kCount;
  std::string change_id;
  uint64_t cookie = 0;
  /// If accepted: the offset of the record, which is the version of the
  /// resource unless the change deleted it. If in conflict: the current
  /// version; absent if the resource does not exist.
  std::optional<uint64_t> version;
  std::vector<Failure> failures;
};

struct ChangeRequest {
  Change change;  ///< The table sets `seen`.
  TimePoint deadline = kNever;
  uint64_t cookie = 0;  ///< Opaque to the table; copied into the outcome.
  /// The client supplied the change id, so another VM may be handling the same
  /// change. It is then rejected only by a record in the log, which binds the
  /// other VM too. False only if this VM generated the id for this request.
  bool may_be_resend = true;
};

/// Result of one append call.
enum class AppendResult : uint8_t {
  kAnswered,  ///< The record was appended.
  kNoEffect,  ///< The append was refused and never takes effect.
  kUnknown,   ///< No answer; the record may be appended at any time or never.
  kCount
};

enum class ChangeActionKind : uint8_t {
  kAppend,   ///< Append `record`, then call OnAppend.
  kReadNow,  ///< Read the log without waiting for new records; see
             ///< read_ticket().
  kReply,    ///< Send `outcome` to the operator.
  kCount
};

struct ChangeAction {
  ChangeActionKind kind = ChangeActionKind::kCount;
  ChangeHandle change;
  std::string record;
  ChangeOutcome outcome;
};

/// Used by the control thread only. Calls that take a follower expect that it
/// has processed every answer of the log so far.
class ChangeTable {
 public:
  ChangeTable();

  /// Starts to handle a change.
  /// @returns its handle; invalid if the outcome is already among the actions.
  ChangeHandle Propose(TimePoint now,
                       const ChangeRequest& request,
                       const ConfigurationFollower& follower);

  void OnAppend(TimePoint now, ChangeHandle change, AppendResult append_result);

  /// To be called after the follower has processed an answer of the log or a
  /// snapshot.
  void OnFollow(const FollowResult& result,
                const ConfigurationFollower& follower);

  /// @returns the number to store when a read is sent, for OnCaughtUp.
  uint64_t read_ticket() const { return this->ticket; }

  /// To be called after OnFollow when a read has reached the end of the log.
  /// @param sent_at_ticket Value of read_ticket() when the read was sent.
  void OnCaughtUp(TimePoint now,
                  uint64_t sent_at_ticket,
                  const ConfigurationFollower& follower);

  /// Handles passed deadlines and appends that are due for a retry.
  void Tick(TimePoint now, const ConfigurationFollower& follower);

  /// @returns the number of changes without a final outcome.
  size_t size() const { return this->pending.size(); }

  /// @returns true if this VM is handling the change `id`.
  bool IsPending(std::string_view id) const { return this->by_id.contains(id); }

  /// Actions since the last call of `ClearActions`, in order.
  const std::vector<ChangeAction>& actions() const { return this->queue; }
  void ClearActions() { this->queue.clear(); }

 private:
  enum class Phase : uint8_t {
    kConfirming,  // A check failed; it is repeated at the end of the log.
    kAppending,   // An append is in flight.
    kWaiting,     // An append had no effect; the next is due at `retry_at`.
    kReading,     // The record may be in the log; a read to the end is due.
    kCount
  };

  struct Pending {
    Change change;
    uint64_t cookie = 0;
    TimePoint deadline = kNever;
    Phase phase = Phase::kConfirming;
    // kConfirming, kReading: lowest read ticket that counts.
    uint64_t ticket = 0;
    TimePoint retry_at{};  // kWaiting only.
    Duration backoff{0};
    bool may_be_in_log = false;  // Possibly appended, by any VM.
    // Operators know the id and may resend the change.
    bool may_be_appended_elsewhere = false;
    bool is_withdrawing = false;
    std::string record;  // Empty until the first append.
  };

  template <typename IsWanted>
  std::vector<ChangeHandle> Select(IsWanted&& is_wanted) const;
  static bool IsExpired(const Pending& entry, const ConfigurationState& state);
  void RefuseWithoutAppend(const ChangeRequest& request, Failure failure);
  void ReplyImmediately(const ChangeRequest& request,
                        ChangeStatus status,
                        std::vector<Failure> failures);
  bool ReplyIfDecided(const ChangeRequest& request,
                      const ConfigurationState& state);
  void Finish(ChangeHandle handle,
              ChangeStatus status,
              std::optional<uint64_t> version,
              std::vector<Failure> failures);
  void FinishDecided(ChangeHandle handle,
                     const DecidedChange& decided,
                     const ConfigurationState& state);
  void FinishChecked(ChangeHandle handle,
                     std::vector<Failure> failures,
                     const ConfigurationState& state);

  void Append(ChangeHandle handle, Pending& entry, uint64_t seen);
  void RequestRead(Pending& entry, Phase phase);
  void OnRecord(const RecordOutcome& outcome);
  void OnStateReplaced(const ConfigurationState& state);
  void OnDeadline(ChangeHandle handle, Pending& entry);
  void FinishExpiredChanges(const ConfigurationState& state);
  void FinishExpired(ChangeHandle handle);

  HandleTable<Pending, ChangeTag> pending;
  std::map<std::string, ChangeHandle, std::less<>> by_id;
  uint64_t ticket = 0;
  std::vector<ChangeAction> queue;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CHANGE_TABLE_H_

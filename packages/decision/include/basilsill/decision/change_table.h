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

/// Changes on their way from an operator's request to an outcome.
///
/// A change is checked, appended, and decided by nothing but reading its
/// record back. An append whose answer is lost may take effect late, however
/// long ago it was; so the table first reads on to the end of the log, and
/// only if the record is not there appends the same text again: of several
/// copies the first counts, and all VMs ignore the others. When the
/// operator's time is up the change is `unresolved`; the table then appends a
/// withdrawal, and whichever of the two stands first in the log decides. So a
/// change ends by itself soon after the log answers again, and never takes
/// effect after that.

namespace basilsill {

struct ChangeTag;
using ChangeHandle = Handle<ChangeTag>;

/// What an operator may be told of a change.
enum class ChangeStatus : uint8_t {
  kAccepted,    ///< In the log; it is or comes into force on every VM.
  kConflict,    ///< Another change came first. It will not take effect.
  kRejected,    ///< Not valid. It will not take effect.
  kVoid,        ///< Not accepted. It will not take effect.
  kUnresolved,  ///< May or may not take effect; a final status follows.
  /// This VM can't tell: it does not follow the log now, or had to skip the
  /// records in question. Another VM may know.
  kUnknown,
  kCount
};

/// @returns the stable name of `status`.
std::string_view NameOf(ChangeStatus status);

/// All statuses are final but kUnresolved.
struct ChangeOutcome {
  ChangeStatus status = ChangeStatus::kCount;
  std::string change_id;
  uint64_t cookie = 0;
  /// Accepted: the record's offset, which is the resource's version unless it
  /// was deleted. Conflict: the current version, absent if there is none.
  std::optional<uint64_t> version;
  std::vector<Failure> failures;
};

struct ChangeRequest {
  Change change;  ///< `seen` is the table's to set.
  TimePoint deadline = kNever;
  uint64_t cookie = 0;  ///< The shell's own name for the request.
  /// The id came with the request, so the same change may be on its way at
  /// another VM. It is then refused by a record in the log alone, which binds
  /// the other VM too. False only if this VM made the id for this request.
  bool may_be_resend = true;
};

/// What the answer to an append says.
enum class AppendResult : uint8_t {
  kAnswered,  ///< It took effect.
  kNoEffect,  ///< It was refused, and never takes effect.
  kUnknown,   ///< No answer: it took effect, or will, or won't.
  kCount
};

enum class ChangeActionKind : uint8_t {
  kAppend,   ///< Append `record`, then call OnAppend.
  kReadNow,  ///< Read without waiting for new records; see read_ticket().
  kReply,    ///< Tell the operator `outcome`.
  kCount
};

struct ChangeAction {
  ChangeActionKind kind = ChangeActionKind::kCount;
  ChangeHandle change;
  std::string record;
  ChangeOutcome outcome;
};

/// Belongs to the control thread. Calls that take a follower expect it to
/// have been given all that the log has answered so far.
class ChangeTable {
 public:
  ChangeTable();

  /// Takes in a change.
  /// @returns its handle; invalid if its outcome is told at once.
  ChangeHandle Propose(TimePoint now,
                       const ChangeRequest& request,
                       const ConfigurationFollower& follower);

  void OnAppend(TimePoint now, ChangeHandle change, AppendResult end);

  /// The follower took in an answer of the log, or a snapshot.
  void OnFollow(const FollowResult& result,
                const ConfigurationFollower& follower);

  /// Number to note when a read is sent.
  uint64_t read_ticket() const { return this->ticket; }

  /// A read that was sent at read_ticket() `sent_at_ticket` went to the end
  /// of the log, and OnFollow was called for it.
  void OnCaughtUp(TimePoint now,
                  uint64_t sent_at_ticket,
                  const ConfigurationFollower& follower);

  /// Deadlines and appends that are due again.
  void Tick(TimePoint now, const ConfigurationFollower& follower);

  /// @returns changes without a final outcome.
  size_t size() const { return this->pending.size(); }

  /// @returns true if the change `id` is under way here.
  bool IsPending(std::string_view id) const { return this->by_id.contains(id); }

  /// Actions since the last call of `ClearActions`, in order.
  const std::vector<ChangeAction>& actions() const { return this->queue; }
  void ClearActions() { this->queue.clear(); }

 private:
  enum class Phase : uint8_t {
    kConfirming,  // A check failed here; the log's end may say otherwise.
    kAppending,   // An append is on its way.
    kWaiting,     // An append had no effect; the next is due at `retry_at`.
    kReading,     // The record should be in the log; reading on will tell.
    kCount
  };

  struct Pending {
    Change change;
    uint64_t cookie = 0;
    TimePoint deadline = kNever;
    Phase phase = Phase::kConfirming;
    uint64_t ticket = 0;   // kConfirming, kReading: a read sent then or later.
    TimePoint retry_at{};  // kWaiting.
    Duration backoff{0};
    bool may_stand_in_log = false;  // By whichever VM.
    bool may_be_elsewhere = false;  // Operators know the id.
    bool is_withdrawing = false;
    std::string record;  // Empty until the first append.
  };

  template <typename IsWanted>
  std::vector<ChangeHandle> Select(IsWanted&& is_wanted) const;
  static bool IsLapsed(const Pending& entry, const ConfigurationState& state);
  void RefuseUnseen(const ChangeRequest& request, Failure failure);
  void TellAtOnce(const ChangeRequest& request,
                  ChangeStatus status,
                  std::vector<Failure> failures);
  bool TellIfDecided(const ChangeRequest& request,
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
  void ReadOn(Pending& entry, Phase phase);
  void OnRecord(const RecordOutcome& outcome);
  void OnJump(const ConfigurationState& state);
  void OnDeadline(ChangeHandle handle, Pending& entry);
  void EndLapsed(const ConfigurationState& state);
  void FinishLapsed(ChangeHandle handle);

  HandleTable<Pending, ChangeTag> pending;
  std::map<std::string, ChangeHandle, std::less<>> by_id;
  uint64_t ticket = 0;
  std::vector<ChangeAction> queue;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CHANGE_TABLE_H_

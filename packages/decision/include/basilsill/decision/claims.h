#ifndef BASILSILL_DECISION_CLAIMS_H_
#define BASILSILL_DECISION_CLAIMS_H_

#include <array>
#include <bitset>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "basilsill/base/handle.h"
#include "basilsill/base/limits.h"
#include "basilsill/base/log_record.h"
#include "basilsill/base/reason.h"
#include "basilsill/base/time.h"
#include "basilsill/decision/claim_key.h"

/// Claims on requests that must not repeat. A request runs only after its
/// claim was read back from the log as the first live one of its key; the
/// order of the log's records arbitrates between VMs. Pure: belongs to the
/// control thread, time comes in as an argument, effects go out as actions.
///
/// Who may do what:
/// - The holder of an attempt is whoever asked for it. It alone dispatches,
///   and only after kGrant; after a grant it alone ends the attempt, once.
/// - Before the grant the table may give the attempt up by itself (deadline,
///   log not answering). It then answers kRefuse, never grants the attempt
///   any more, and releases a claim that may still land in the log.
/// - An attempt is never used again, neither after a refusal nor at another
///   VM. A holder that lost the VM it asked makes a new attempt and names
///   the old one in `supersedes`; a grant for the old one that arrives late
///   is dropped.

namespace basilsill {

struct ClaimTag;
using ClaimHandle = Handle<ClaimTag>;  ///< A request that waits for a grant.

/// One sending of a request, unique for ever. Its origin is one process.
struct ClaimAttempt {
  uint64_t origin = 0;    ///< See MakeClaimOrigin.
  uint64_t sequence = 0;  ///< Counted by the origin, never used twice.

  friend auto operator<=>(const ClaimAttempt&, const ClaimAttempt&) = default;
};

/// @returns the origin of attempts of one process: a VM's name and its
/// incarnation.
uint64_t MakeClaimOrigin(std::string_view vm, uint64_t incarnation);

struct StoredHeader {
  std::string name;
  std::string value;

  friend bool operator==(const StoredHeader&, const StoredHeader&) = default;
};

/// An upstream's answer as the log keeps it for resends.
struct StoredResponse {
  uint16_t status = 0;
  bool whole = true;  ///< False: too long to keep, only the status is known.
  std::vector<StoredHeader> headers;
  std::string body;

  friend bool operator==(const StoredResponse&,
                         const StoredResponse&) = default;
};

/// @returns the bytes of `answer` that count against kMaxKeptAnswerBytes.
size_t StoredSizeOf(const StoredResponse& answer);

struct ClaimRequest {
  ClaimKey key;
  Digest body;  ///< Of method, target and body; a resend must have the same.
  ClaimAttempt attempt;
  std::optional<ClaimAttempt> supersedes;  ///< Given up by its holder.
  TimePoint deadline = kNever;  ///< When the decision is of no use any more.
  uint64_t cookie = 0;          ///< The shell's own name for the request.
};

/// How a granted attempt ended.
enum class ClaimOutcome : uint8_t {
  kDone,      ///< An upstream answered; resends get the same answer.
  kUnknown,   ///< It may have run; resends are told so.
  kReleased,  ///< No byte of it reached an upstream; the key is free again.
  kCount
};

/// The end of an attempt, told by its holder to any VM that works for the
/// key. Telling it twice, or to two VMs, does no harm if it says the same.
struct ClaimEnd {
  ClaimKey key;
  Digest body;
  ClaimAttempt attempt;
  ClaimOutcome outcome = ClaimOutcome::kCount;
  StoredResponse answer;  ///< For kDone.
  uint64_t cookie = 0;    ///< Comes back with kRecorded.
};

enum class ClaimActionKind : uint8_t {
  kAppend,    ///< Append `records` to `stream`; answer with OnAppend(call).
  kRead,      ///< Read `stream` from `from`; answer with OnRead(call).
  kGrant,     ///< The holder of `attempt` may dispatch it, now and once.
  kRefuse,    ///< Answer with `refusal`; `attempt` must never be dispatched.
  kReplay,    ///< Answer with `answer`, which the key's request had.
  kRecorded,  ///< The end given with `cookie` is in the log.
  kCount
};

struct ClaimAction {
  ClaimActionKind kind = ClaimActionKind::kCount;
  uint64_t call = 0;                  ///< Names an append or a read.
  std::string stream;                 ///< kAppend, kRead.
  std::vector<std::string> records;   ///< kAppend.
  uint64_t from = 0;                  ///< kRead.
  size_t max = 0;                     ///< kRead.
  std::chrono::milliseconds wait{0};  ///< kRead: for a record, if none.
  uint64_t cookie = 0;
  ClaimAttempt attempt;
  Refusal refusal = Refusal::kNone;
  Duration retry_after{0};
  StoredResponse answer;
};

enum class AppendOutcome : uint8_t {
  kAppended,    ///< The platform said so.
  kRejected,    ///< The platform said that the call had no effect.
  kUnresolved,  ///< No answer: it may have taken effect, or may yet.
  kCount
};

enum class ReadOutcome : uint8_t {
  kRecords,    ///< None if none came within the wait; that is no failure.
  kTrimmed,    ///< Records from `from` on are past retention.
  kBeyondEnd,  ///< The stream is shorter than it was.
  kFailed,     ///< No answer, or the log is down.
  kCount
};

struct ClaimRead {
  ReadOutcome outcome = ReadOutcome::kCount;
  uint64_t first = 0;  ///< Oldest offset retained.
  uint64_t next = 0;   ///< Where to read next.
  uint64_t end = 0;    ///< One past the newest record.
  std::vector<LogRecord> records;
};

/// What the table is told of the fleet.
struct ClaimFleet {
  std::vector<uint64_t> live_origins;  ///< Processes known to be running.
  size_t appenders = 1;                ///< VMs that share the appends budget.
  /// Partitions this VM is the owner of: read all the time.
  std::bitset<limits::kClaimPartitions> owned;
};

struct ClaimOptions {
  std::string vm;            ///< This VM's name, for readers of the log.
  uint64_t incarnation = 0;  ///< Of this process alone: see MakeIncarnation.
  double appends_per_second = 200;  ///< Of the whole fleet, for claims.
  Duration append_burst = std::chrono::milliseconds(500);
  Duration read_wait = std::chrono::seconds(5);
  /// A claim not decided by then is refused even if its deadline is later.
  Duration max_wait = std::chrono::seconds(5);
  Duration retry_after = std::chrono::seconds(2);  ///< While the log is down.
  size_t max_waiting = limits::kMaxRequestsPerWorker;
  size_t max_keys = 500'000;     ///< Kept in memory, of all streams.
  size_t max_open_ends = 16384;  ///< Ends not yet in the log.
};

struct ClaimCounters {
  uint64_t granted = 0;
  uint64_t replayed = 0;
  uint64_t refused = 0;
  uint64_t lost = 0;          ///< Another claim of the key came first.
  uint64_t given_up = 0;      ///< Refused while the claim may be in the log.
  uint64_t landed_late = 0;   ///< Claims that landed after being given up.
  uint64_t recorded = 0;      ///< Ends in the log.
  uint64_t ends_dropped = 0;  ///< No room: resends are told `unknown`.
  uint64_t appends = 0;
  uint64_t appends_rejected = 0;
  uint64_t appends_unresolved = 0;
  uint64_t records_sent = 0;
  uint64_t records_read = 0;
  uint64_t records_ignored = 0;  ///< Not understood; never counted as free.
  uint64_t broken_streams = 0;   ///< Streams whose history has a gap.
};

/// All claims that this VM works for.
class ClaimTable {
 public:
  static std::unique_ptr<ClaimTable> Create(const ClaimOptions& options);
  virtual ~ClaimTable() = default;

  /// Asks for the right to run a request. Ends in exactly one kGrant,
  /// kRefuse or kReplay with its cookie, unless it is cancelled. A key that
  /// is outside of the window by `wall_now` is refused.
  /// @returns its handle, invalid if it was decided at once.
  virtual ClaimHandle Request(TimePoint now,
                              WallTime wall_now,
                              const ClaimRequest& request) = 0;

  /// The holder does not wait any more: no grant comes, and a claim that may
  /// land is released.
  virtual void Cancel(TimePoint now, ClaimHandle claim) = 0;

  /// A granted attempt ended. Kept until it is in the log (kRecorded).
  virtual void Finish(TimePoint now, const ClaimEnd& end) = 0;

  /// The answer to a kAppend action.
  virtual void OnAppend(TimePoint now,
                        uint64_t call,
                        AppendOutcome outcome) = 0;

  /// The answer to a kRead action.
  virtual void OnRead(TimePoint now, uint64_t call, const ClaimRead& read) = 0;

  /// Membership or ownership of partitions changed.
  virtual void ApplyFleet(TimePoint now, const ClaimFleet& fleet) = 0;

  /// Deadlines, appends that became due, reads to start or stop.
  virtual void Tick(TimePoint now, WallTime wall_now) = 0;

  /// @returns when `Tick` has something to do next, if nothing happens before.
  virtual TimePoint NextTick(TimePoint now) = 0;

  /// @returns true if no request waits and all ends are in the log.
  virtual bool IsIdle() const = 0;

  virtual const ClaimCounters& counters() const = 0;

  /// Actions since the last call of `ClearActions`, in order.
  virtual const std::vector<ClaimAction>& actions() const = 0;
  virtual void ClearActions() = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CLAIMS_H_

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

/// Claims: locks in a shared log that make requests with an idempotency key run
/// at most once. A VM runs a request only after it has read the request's claim
/// back from the log as the first live claim of its key, so the order of the
/// records in the log decides between VMs. The table does no I/O and reads no
/// clock: it belongs to the control thread, receives the time as an argument
/// and returns its effects as actions.
///
/// Protocol:
/// - The holder of an attempt is the process that requested it. Only the holder
///   dispatches the request, and only after kGrant. After a grant, only the
///   holder ends the attempt, and it does so once.
/// - Before the grant, the table may abandon the attempt (deadline passed, log
///   not available). It then answers kRefuse, never grants the attempt later,
///   and releases the claim if that may still reach the log.
/// - An attempt is never reused, neither after a refusal nor at another VM. A
///   holder that loses the connection to the VM that handles its attempt makes
///   a new attempt and names the old one in `supersedes`; it drops a late grant
///   for the old one.

namespace basilsill {

struct ClaimTag;
using ClaimHandle = Handle<ClaimTag>;  ///< A request that waits for a grant.

/// Globally unique identifier of one attempt to run a request.
struct ClaimAttempt {
  uint64_t origin = 0;    ///< Identifies the process; see MakeClaimOrigin.
  uint64_t sequence = 0;  ///< Counted by the origin, never used twice.

  friend auto operator<=>(const ClaimAttempt&, const ClaimAttempt&) = default;
};

/// @returns the identifier of a process, a hash of the VM's name and its
/// incarnation.
uint64_t MakeClaimOrigin(std::string_view vm, uint64_t incarnation);

struct StoredHeader {
  std::string name;
  std::string value;

  friend bool operator==(const StoredHeader&, const StoredHeader&) = default;
};

/// An upstream's response as the log stores it, to be replayed to retries.
struct StoredResponse {
  uint16_t status = 0;
  bool whole = true;  ///< False: too long to store, only the status is known.
  std::vector<StoredHeader> headers;
  std::string body;

  friend bool operator==(const StoredResponse&,
                         const StoredResponse&) = default;
};

/// @returns the bytes of `answer` that count against kMaxStoredResponseBytes.
size_t StoredSizeOf(const StoredResponse& answer);

struct ClaimRequest {
  ClaimKey key;
  Digest body;  ///< Of method, target and body; a retry must have the same.
  ClaimAttempt attempt;
  std::optional<ClaimAttempt> supersedes;  ///< Abandoned by its holder.
  TimePoint deadline = kNever;             ///< A later decision is of no use.
  uint64_t cookie = 0;  ///< Identifies the request to the host.
};

/// How a granted attempt ended.
enum class ClaimOutcome : uint8_t {
  kDone,      ///< An upstream responded; retries get the same response.
  kUnknown,   ///< The request may have run; retries are refused.
  kReleased,  ///< No byte of it reached an upstream; the key is free again.
  kCount
};

/// The end of an attempt. Its holder reports it to any VM that serves the key.
/// Reporting the same outcome again, or to a second VM, is idempotent.
struct ClaimEnd {
  ClaimKey key;
  Digest body;
  ClaimAttempt attempt;
  ClaimOutcome outcome = ClaimOutcome::kCount;
  StoredResponse answer;  ///< For kDone.
  uint64_t cookie = 0;    ///< Returned with kRecorded.
};

enum class ClaimActionKind : uint8_t {
  kAppend,    ///< Append `records` to `stream`; answer with OnAppend(call).
  kRead,      ///< Read `stream` from `from`; answer with OnRead(call).
  kGrant,     ///< The holder of `attempt` may dispatch it, now and once.
  kRefuse,    ///< Answer with `refusal`; `attempt` must never be dispatched.
  kReplay,    ///< Answer with `answer`, the stored response of the key.
  kRecorded,  ///< The end that was passed with `cookie` is in the log.
  kCount
};

struct ClaimAction {
  ClaimActionKind kind = ClaimActionKind::kCount;
  uint64_t call = 0;                  ///< Identifies an append or a read.
  std::string stream;                 ///< kAppend, kRead.
  std::vector<std::string> records;   ///< kAppend.
  uint64_t from = 0;                  ///< kRead.
  size_t max = 0;                     ///< kRead.
  std::chrono::milliseconds wait{0};  ///< kRead: long-poll time if no record.
  uint64_t cookie = 0;
  ClaimAttempt attempt;
  Refusal refusal = Refusal::kNone;
  Duration retry_after{0};
  StoredResponse answer;
};

enum class AppendOutcome : uint8_t {
  kAppended,    ///< The platform confirmed the append.
  kRejected,    ///< The platform confirmed that the call had no effect.
  kUnresolved,  ///< No answer: the append may take effect, even later.
  kCount
};

enum class ReadOutcome : uint8_t {
  kRecords,    ///< Success; without records if none arrived within the wait.
  kTrimmed,    ///< `from` is older than the oldest retained record.
  kBeyondEnd,  ///< `from` is beyond the end: the stream became shorter.
  kFailed,     ///< No answer, or the log is down.
  kCount
};

struct ClaimRead {
  ReadOutcome outcome = ReadOutcome::kCount;
  uint64_t first = 0;  ///< Oldest retained offset.
  uint64_t next = 0;   ///< Offset of the next read.
  uint64_t end = 0;    ///< One past the newest record.
  std::vector<LogRecord> records;
};

/// The fleet membership as the table needs it.
struct ClaimFleet {
  std::vector<uint64_t> live_origins;  ///< Processes known to be running.
  size_t appenders = 1;                ///< VMs that share the append budget.
  /// Partitions that this VM owns; it reads them continuously.
  std::bitset<limits::kClaimPartitions> owned;
};

struct ClaimOptions {
  std::string vm;            ///< This VM's name, written into the records.
  uint64_t incarnation = 0;  ///< Unique to this process; see MakeIncarnation.
  double appends_per_second = 200;  ///< Budget of the whole fleet for claims.
  Duration append_burst = std::chrono::milliseconds(500);
  Duration read_wait = std::chrono::seconds(5);
  /// A claim that is undecided after this time is refused, even if its deadline
  /// is later.
  Duration max_wait = std::chrono::seconds(5);
  Duration retry_after = std::chrono::seconds(2);  ///< While the log is down.
  size_t max_waiting = limits::kMaxRequestsPerWorker;
  size_t max_keys = 500'000;     ///< Keys in memory, over all streams.
  size_t max_open_ends = 16384;  ///< Ends that are not yet in the log.
};

struct ClaimCounters {
  uint64_t granted = 0;
  uint64_t replayed = 0;
  uint64_t refused = 0;
  uint64_t lost = 0;       ///< Another claim of the key came first.
  uint64_t abandoned = 0;  ///< Abandoned while the claim may be in the log.
  uint64_t read_after_abandonment =
      0;                      ///< Claims read from the log after abandonment.
  uint64_t recorded = 0;      ///< Ends in the log.
  uint64_t ends_dropped = 0;  ///< Table full: retries are refused as `unknown`.
  uint64_t appends = 0;
  uint64_t appends_rejected = 0;
  uint64_t appends_unresolved = 0;
  uint64_t records_sent = 0;
  uint64_t records_read = 0;
  uint64_t records_ignored = 0;  ///< Not understood; they break the stream.
  uint64_t broken_streams = 0;   ///< Streams with an incomplete history.
};

/// All claims that this VM serves.
class ClaimTable {
 public:
  static std::unique_ptr<ClaimTable> Create(const ClaimOptions& options);
  virtual ~ClaimTable() = default;

  /// Requests the right to run a request. Results in exactly one kGrant,
  /// kRefuse or kReplay with its cookie, unless it is cancelled. A key whose
  /// creation time is outside of the window around `wall_now` is refused.
  /// @returns the handle of the waiting request; invalid if the request was
  /// decided immediately.
  virtual ClaimHandle Request(TimePoint now,
                              WallTime wall_now,
                              const ClaimRequest& request) = 0;

  /// The holder stops waiting. The table does not grant the attempt, and
  /// releases the claim if it may reach the log.
  virtual void Cancel(TimePoint now, ClaimHandle claim) = 0;

  /// Reports the end of a granted attempt. The table appends it until it is in
  /// the log (kRecorded).
  virtual void Finish(TimePoint now, const ClaimEnd& end) = 0;

  /// Reports the result of a kAppend action.
  virtual void OnAppend(TimePoint now,
                        uint64_t call,
                        AppendOutcome outcome) = 0;

  /// Reports the result of a kRead action.
  virtual void OnRead(TimePoint now, uint64_t call, const ClaimRead& read) = 0;

  /// Applies a change of membership or of partition ownership.
  virtual void ApplyFleet(TimePoint now, const ClaimFleet& fleet) = 0;

  /// Refuses overdue requests, sends due appends, and starts or stops reads.
  virtual void Tick(TimePoint now, WallTime wall_now) = 0;

  /// @returns when `Tick` must run next if no other call comes first.
  virtual TimePoint NextTick(TimePoint now) = 0;

  /// @returns true if no request is waiting and all ends are in the log.
  virtual bool IsIdle() const = 0;

  virtual const ClaimCounters& counters() const = 0;

  /// Actions since the last `ClearActions` call, in order.
  virtual const std::vector<ClaimAction>& actions() const = 0;
  virtual void ClearActions() = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CLAIMS_H_

#ifndef BASILSILL_DECISION_QUOTA_LEASE_H_
#define BASILSILL_DECISION_QUOTA_LEASE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "basilsill/base/log_position.h"
#include "basilsill/base/time.h"

/// The lease for one share of all quotas, kept in the platform's store. The
/// newest record of a log names the holder. Each write states the end of the
/// log on which it is based, so the first of two concurrent writes wins and the
/// second fails. A holder relies on its lease for one term, counted from when
/// it began the write. Another VM takes the share over once it has seen the
/// same record for that long. Both measure only durations, so clocks need not
/// agree. A process that finds an earlier process of its own VM in the record
/// takes the share over at once, since that process has ended.
///
/// A new holder knows for how long at least nobody can have lent the share, and
/// how many others have begun to lend it within a window, which the record
/// counts. Pure: the host makes the calls.
///
/// If the store is restored from a copy, the record of a valid lease may be
/// lost. So a record of an earlier era, or none, frees the share only once the
/// store has been in its era for a term; the holder writes its record again.

namespace basilsill {

/// The newest record of a share in the store.
struct QuotaLeaseRecord {
  std::string holder;    ///< Name of the VM; empty if the lease was released.
  uint64_t process = 0;  ///< Incarnation of that VM's process.
  /// How many processes began to lend the share within the last
  /// QuotaLease::kStartWindow, at most; absent if not known, as in records of
  /// earlier versions.
  std::optional<uint32_t> recent_starts{};
  /// Era of the log for which it was written; 0 also in records of earlier
  /// versions.
  uint64_t era = 0;

  friend bool operator==(const QuotaLeaseRecord&,
                         const QuotaLeaseRecord&) = default;
};

/// What is known about earlier lending of a share when a lease begins.
struct QuotaShareHistory {
  enum class Kind : uint8_t {
    kUnknown,  ///< Another process may have lent until `unlent_since`.
    kUnused,   ///< The share was never lent.
    kOwn,      ///< No other process has lent since this one did.
    kCount
  };
  Kind kind = Kind::kUnknown;
  /// Nobody has lent since then. For kUnknown.
  LeaseTime unlent_since = LeaseTime::max();
  /// QuotaLeaseRecord::recent_starts of the predecessor. For kUnknown.
  std::optional<uint32_t> recent_starts{};
};

/// @returns the name of `kind` for the log.
std::string_view NameOf(QuotaShareHistory::Kind kind);

enum class QuotaLeaseCall : uint8_t {
  kNone,
  kRead,
  kWrite,  ///< Write `QuotaLease::record()` at `QuotaLease::end()`.
  kCount
};

class QuotaLease {
 public:
  /// Duration of a lease. A VM's suspension counts as elapsed time, since the
  /// host measures by LeaseClock.
  static constexpr std::chrono::milliseconds kTerm{3500};

  /// Longest time between the grants of credits that are used within one window
  /// of a quota: the window of 5 s and twice the lifetime of a credit, with a
  /// margin for clocks of different speeds.
  static constexpr std::chrono::milliseconds kStartWindow{6000};

  /// @param started When the process started, or later.
  QuotaLease(std::string vm, uint64_t process, LeaseTime started);

  /// A lender is needed. The first candidate takes a free share at once, the
  /// others only if the need has lasted for a while.
  void OnNeeded(LeaseTime now, bool is_first);

  /// Another VM can't lend the share and asks this one to look at the record:
  /// it may name an earlier process of this VM, or a holder whose lease will
  /// expire.
  void OnAsked() { this->is_asked = true; }

  /// The holder of the record at `end` lends for at most `left` unless another
  /// record follows.
  void OnPromise(LeaseTime now, LogPosition end, Duration left);

  /// Another VM has read a record at `end`: this one's may be older.
  void OnNewerRecord(LogPosition end);

  /// Releases the lease as soon as the call in flight has ended, so that
  /// another VM may take it. This VM does not take it for a while.
  void Release() { this->must_release = true; }

  /// Releases the lease as soon as the call in flight has ended.
  void GiveUp() { this->given_up = true; }

  /// @returns the call to make now. No other call is due before its result.
  QuotaLeaseCall NextCall(LeaseTime now);

  /// Results of the call in flight. `end` is the end of the log.
  /// @param era_since When this VM, or another one that told it, first got an
  /// answer of the store in the era of `end`. Ignored if the era is 0.
  void OnRead(LeaseTime now,
              const std::optional<QuotaLeaseRecord>& record,
              LogPosition end,
              LeaseTime era_since = LeaseTime::min());
  void OnWritten(LeaseTime now, LogPosition end);
  /// Another record was appended first, so the write failed.
  void OnConflict(LeaseTime now);
  void OnFailed(LeaseTime now);

  /// @returns how long the lease is valid; 0 if it is not held.
  Duration TimeLeft(LeaseTime now) const;

  bool Holds(LeaseTime now) const { return now < this->held_until; }

  /// @returns what was known when the present lease began.
  const QuotaShareHistory& history() const { return this->begun_with; }

  const QuotaLeaseRecord& record() const { return this->to_write; }
  LogPosition end() const { return this->log_end; }

 private:
  bool IsFree(LeaseTime now) const;
  bool IsOfEarlierEra() const;
  bool IsWanted(LeaseTime now) const;
  bool IsOwn(const std::optional<QuotaLeaseRecord>& record) const;
  bool IsOfEarlierProcess() const;
  bool MustRead(LeaseTime now) const;
  bool HasPromise() const;
  QuotaLeaseCall BeginRelease(LeaseTime now);
  QuotaShareHistory HistoryOfRecord(LeaseTime now) const;
  std::optional<uint32_t> RecentStarts(LeaseTime now) const;
  void PrepareWrite(LeaseTime now);
  QuotaLeaseCall Begin(LeaseTime now, QuotaLeaseCall call);

  QuotaLeaseRecord self;
  QuotaLeaseRecord to_write;
  std::optional<QuotaLeaseRecord> known_record;
  LogPosition log_end;
  LeaseTime era_since = LeaseTime::min();  ///< Of the era of `log_end`.
  bool is_known = false;        ///< `known_record` and `log_end` were read.
  bool must_reread = false;     ///< They may have changed since.
  LeaseTime unchanged_since{};  ///< When the record was first seen as it is.
  LeaseTime read_at = LeaseTime::min();
  bool is_asked = false;
  LeaseTime started;
  LeaseTime needed_since{};
  LeaseTime needed_at = LeaseTime::min();
  bool needed_first = false;
  LeaseTime held_until = LeaseTime::min();
  LeaseTime call_begun{};
  LeaseTime next_call_at{};
  QuotaLeaseCall call_in_flight = QuotaLeaseCall::kNone;
  LogPosition promised_end;
  /// When the holder of the record at `promised_end` has ended to lend.
  LeaseTime promised_free_at{};
  bool must_release = false;
  bool given_up = false;
  LeaseTime held_since{};
  /// What the newest record of another process told when this process first
  /// tried to replace it; kOwn once this process has held the lease since.
  QuotaShareHistory known_history;
  QuotaShareHistory begun_with;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_QUOTA_LEASE_H_

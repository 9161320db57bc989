#ifndef BASILSILL_DECISION_QUOTA_LEASE_H_
#define BASILSILL_DECISION_QUOTA_LEASE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "basilsill/base/time.h"

/// The lease for one share of all quotas, kept in the platform's store. The
/// newest record of a log names the holder. Each write states the end of the
/// log on which it is based, so the first of two concurrent writes wins and the
/// second fails. A holder relies on its lease for one term, counted from when
/// it began the write. Another VM takes the share over once it has seen the
/// same record for that long. Both measure only durations, so clocks need not
/// agree. Pure: the host makes the calls.

namespace basilsill {

/// The newest record of a share in the store.
struct QuotaLeaseRecord {
  std::string holder;    ///< Name of the VM; empty if the lease was released.
  uint64_t process = 0;  ///< Incarnation of that VM's process.

  friend bool operator==(const QuotaLeaseRecord&,
                         const QuotaLeaseRecord&) = default;
};

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

  QuotaLease(std::string vm, uint64_t process);

  /// A lender is needed. The first candidate takes a free share at once, the
  /// others only if the need has lasted for a while.
  void OnNeeded(LeaseTime now, bool is_first);

  /// Releases the lease as soon as the call in flight has ended.
  void GiveUp() { this->given_up = true; }

  /// @returns the call to make now. No other call is due before its result.
  QuotaLeaseCall NextCall(LeaseTime now);

  /// Results of the call in flight. `end` is the end of the log.
  void OnRead(LeaseTime now,
              const std::optional<QuotaLeaseRecord>& record,
              uint64_t end);
  void OnWritten(LeaseTime now, uint64_t end);
  /// Another record was appended first, so the write failed.
  void OnConflict(LeaseTime now);
  void OnFailed(LeaseTime now);

  bool Holds(LeaseTime now) const { return now < this->held_until; }

  /// @returns true if no VM had ever held the share before this lease.
  bool was_unused() const { return this->unused; }

  /// @returns true if this process was also the previous holder.
  bool was_own() const { return this->own; }

  const QuotaLeaseRecord& record() const { return this->to_write; }
  uint64_t end() const { return this->log_end; }

 private:
  bool IsFree(LeaseTime now) const;
  bool IsWanted(LeaseTime now) const;
  QuotaLeaseCall Begin(LeaseTime now, QuotaLeaseCall call);

  QuotaLeaseRecord self;
  QuotaLeaseRecord to_write;
  std::optional<QuotaLeaseRecord> known_record;
  uint64_t log_end = 0;
  bool is_known = false;        ///< `known_record` and `log_end` were read.
  bool must_reread = false;     ///< They may have changed since.
  LeaseTime unchanged_since{};  ///< When the record was first seen as it is.
  LeaseTime needed_since{};
  LeaseTime needed_at = LeaseTime::min();
  bool needed_first = false;
  LeaseTime held_until = LeaseTime::min();
  LeaseTime call_begun{};
  LeaseTime next_call_at{};
  QuotaLeaseCall call_in_flight = QuotaLeaseCall::kNone;
  bool given_up = false;
  bool unused = false;
  bool own = false;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_QUOTA_LEASE_H_

#ifndef BASILSILL_DECISION_QUOTA_LEASE_H_
#define BASILSILL_DECISION_QUOTA_LEASE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "basilsill/base/time.h"

/// The lease of one share of all quotas, in the platform's store. A record says
/// who holds it, and each write of it names the end of the log that it was
/// based on, so of two that write the first wins. A holder goes by its lease
/// for a term from when it began the write; another VM takes the share over
/// once it has seen one record for as long. Both measure time spans only. Pure;
/// the shell makes the calls.

namespace basilsill {

/// A share's newest record, as it stands in the store.
struct QuotaLeaseRecord {
  std::string holder;    ///< Name of the VM; empty: nobody, it was given up.
  uint64_t process = 0;  ///< Of that VM, by incarnation.

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
  /// How long a lease lasts. The shell of a VM that is suspended measures it by
  /// LeaseClock.
  static constexpr std::chrono::milliseconds kTerm{3500};

  QuotaLease(std::string vm, uint64_t process);

  /// A lender is needed. The first candidate takes a free share at once, others
  /// when they go on being asked.
  void OnNeeded(LeaseTime now, bool is_first);

  /// Gives the share up, as soon as the call under way has ended.
  void GiveUp() { this->given_up = true; }

  /// @returns the call to make now; the next one comes after its result.
  QuotaLeaseCall NextCall(LeaseTime now);

  /// Results of the call under way.
  void OnRead(LeaseTime now,
              const std::optional<QuotaLeaseRecord>& record,
              uint64_t end);
  void OnWritten(LeaseTime now, uint64_t end);
  /// Another record came before the one that was written.
  void OnConflict(LeaseTime now);
  void OnFailed(LeaseTime now);

  bool Holds(LeaseTime now) const { return now < this->held_until; }

  /// @returns true if nobody ever held the share before this holding.
  bool was_unused() const { return this->unused; }

  /// @returns true if this process was the last to hold it before this holding.
  bool was_own() const { return this->own; }

  const QuotaLeaseRecord& record() const { return this->to_write; }
  uint64_t end() const { return this->log_end; }

 private:
  bool IsFree(LeaseTime now) const;
  bool IsWanted(LeaseTime now) const;
  QuotaLeaseCall Begin(LeaseTime now, QuotaLeaseCall call);

  QuotaLeaseRecord self;
  QuotaLeaseRecord to_write;
  std::optional<QuotaLeaseRecord> seen;
  uint64_t log_end = 0;
  bool is_known = false;     ///< `seen` and `log_end` were read.
  bool reads_again = false;  ///< They may have changed.
  LeaseTime seen_since{};    ///< The record has not changed since.
  LeaseTime needed_since{};
  LeaseTime needed_at = LeaseTime::min();
  bool needed_first = false;
  LeaseTime held_until = LeaseTime::min();
  LeaseTime call_begun{};
  LeaseTime next_call_at{};
  QuotaLeaseCall under_way = QuotaLeaseCall::kNone;
  bool given_up = false;
  bool unused = false;
  bool own = false;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_QUOTA_LEASE_H_

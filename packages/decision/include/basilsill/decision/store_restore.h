#ifndef BASILSILL_DECISION_STORE_RESTORE_H_
#define BASILSILL_DECISION_STORE_RESTORE_H_

#include <chrono>
#include <cstdint>

#include "basilsill/base/time.h"

/// Tracks restores of the platform's store from a copy. A restored store lacks
/// what was written since the copy was made, although that was acknowledged.
/// Its writers write it again, but until then a read of all records proves
/// nothing about what was acknowledged. Pure.

namespace basilsill {

/// Effect of the era in an answer or in a message of another VM.
enum class EraResult : uint8_t {
  kCurrent,
  kOutdated,  ///< A later era is known.
  kNew,       ///< The first one, or a later one than was known.
  kCount
};

class StoreRestore {
 public:
  /// Time in which the operator and upstreams write again what a restore lost:
  /// two seconds by the platform's contract, and half a second to read it.
  static constexpr std::chrono::milliseconds kRewriteTime{2500};

  /// Time in which the platform removes restored entries of upstreams that no
  /// longer exist: three heartbeats, and a margin.
  static constexpr std::chrono::milliseconds kExpiryTime{6000};

  EraResult OnEra(LeaseTime now, uint64_t era);

  /// A call to the store failed. If the first era becomes known only after
  /// that, the store may have been restored meanwhile.
  void OnCallFailed() { this->has_failed = true; }

  /// Another VM has seen a restore that may not be `IsRewritten` yet.
  void OnRestoreReported(LeaseTime now);

  /// @returns the latest era; 0 if none is known or the store has none.
  uint64_t era() const { return this->latest; }

  /// @returns when this VM first knew the era.
  LeaseTime era_since() const { return this->since; }

  /// @returns true if what a restore lost has been written again before `at`.
  bool IsRewritten(LeaseTime at) const;

 private:
  uint64_t latest = 0;
  LeaseTime since = LeaseTime::min();
  LeaseTime restored_at = LeaseTime::min();  ///< In this era; min(): not known.
  bool is_known = false;
  bool has_failed = false;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_STORE_RESTORE_H_

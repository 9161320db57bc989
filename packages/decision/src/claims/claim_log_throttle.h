#ifndef BASILSILL_DECISION_CLAIM_LOG_THROTTLE_H_
#define BASILSILL_DECISION_CLAIM_LOG_THROTTLE_H_

#include <cstdint>

#include "basilsill/base/time.h"

/// Rate limit for appends to the log, and back-off while the log fails.

namespace basilsill {

/// Token bucket for appends: this VM's share of the fleet-wide budget.
class AppendBudget {
 public:
  /// @param per_second Average number of appends a second.
  /// @param burst Time span whose tokens the bucket can hold.
  void SetRate(TimePoint now, double per_second, Duration burst);

  bool TryTake(TimePoint now);
  bool HasToken(TimePoint now);

  /// @returns true if the bucket is at least half full.
  bool IsAtLeastHalfFull(TimePoint now);

  /// @returns when the next token is available; `now` if there is one.
  TimePoint NextToken(TimePoint now);

 private:
  void Refill(TimePoint now);

  double rate = 1;
  double capacity = 4;
  double tokens = 4;
  TimePoint refilled;
};

/// Availability and latency of the log, derived from the most recent calls.
class LogHealth {
 public:
  void OnSuccess(Duration latency);
  void OnFailure(TimePoint now);

  /// @returns true if the last few calls all failed.
  bool IsFailing() const;

  /// @returns the earliest time of the next call, by exponential back-off.
  TimePoint next_try() const { return this->retry_at; }

  /// @returns true once each `interval`. While the log fails, that request
  /// serves as a probe and all other requests are refused immediately.
  bool TakeProbe(TimePoint now, Duration interval);

  /// Moving average of the time from a call to its answer.
  Duration latency() const { return this->smoothed; }

 private:
  uint32_t failures = 0;
  TimePoint retry_at;
  TimePoint probe_at;
  Duration smoothed{0};
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CLAIM_LOG_THROTTLE_H_

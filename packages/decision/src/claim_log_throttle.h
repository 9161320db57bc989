#ifndef BASILSILL_DECISION_CLAIM_LOG_THROTTLE_H_
#define BASILSILL_DECISION_CLAIM_LOG_THROTTLE_H_

#include <cstdint>

#include "basilsill/base/time.h"

/// How fast this VM may call the log, and how well the log answers.

namespace basilsill {

/// Token bucket of appends: this VM's part of the fleet's budget.
class AppendBudget {
 public:
  /// @param per_second Appends a second on average.
  /// @param burst Span whose appends may be used at once.
  void SetRate(TimePoint now, double per_second, Duration burst);

  bool TryTake(TimePoint now);
  bool HasToken(TimePoint now);

  /// @returns true if at least half of the burst is unused.
  bool IsAmple(TimePoint now);

  /// @returns when there will be a token.
  TimePoint NextToken(TimePoint now);

 private:
  void Refill(TimePoint now);

  double rate = 1;
  double capacity = 4;
  double tokens = 4;
  TimePoint refilled;
};

/// What the last calls say about the log.
class LogHealth {
 public:
  void OnSuccess(Duration latency);
  void OnFailure(TimePoint now);

  /// @returns true if the last calls failed one after the other.
  bool IsFailing() const;

  /// @returns when the next call may be tried.
  TimePoint next_try() const { return this->retry_at; }

  /// @returns true once each `interval` while the log fails: that request may
  /// find out whether it still does, all others are refused at once.
  bool TakeProbe(TimePoint now, Duration interval);

  /// Smoothed time from a call to its answer.
  Duration latency() const { return this->smoothed; }

 private:
  uint32_t failures = 0;
  TimePoint retry_at;
  TimePoint probe_at;
  Duration smoothed{0};
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CLAIM_LOG_THROTTLE_H_

#ifndef BASILSILL_DECISION_SRC_UPSTREAM_SPEED_H_
#define BASILSILL_DECISION_SRC_UPSTREAM_SPEED_H_

#include <cstdint>

#include "basilsill/decision/dispatch.h"

/// How slow an upstream is at this moment, as it says itself. Upstreams share
/// their machines with others and are several times slower for spells of some
/// hundred milliseconds. What is known of that is worthless soon, so it is
/// asked for just before a choice, and only of upstreams that may be chosen.

namespace basilsill {

/// What is thought of an upstream's speed.
enum class SpeedGrade : uint8_t {
  kFast,     ///< About as fast as usual, a moment ago.
  kSlow,     ///< Much slower than usual, a moment ago.
  kUnknown,  ///< Too long ago, or it did not answer.
  kCount
};

class ReportedSpeed {
 public:
  /// The upstream told its load, with an answer or when asked.
  void OnLoad(TimePoint now, const UpstreamLoad& load);

  /// It was asked, or did not answer.
  void OnQuery(TimePoint now);
  void OnNoAnswer() { this->query_pending = false; }

  SpeedGrade GradeAt(TimePoint now) const;

  /// @returns true if it said not long ago that it is slower than `limit`
  /// times its usual speed.
  bool IsSlowerThan(TimePoint now, double limit) const;

  /// @returns true if it was asked a moment ago and may still answer.
  bool IsQueryPending(TimePoint now) const;

  /// @returns true if asking it would tell something new.
  bool IsWorthQuerying(TimePoint now) const;

  /// @returns slots that are taken there by whoever sends to it, as far as is
  /// known of this moment; 0 if nothing is.
  uint16_t BusyAt(TimePoint now) const;

  double slowness() const { return this->reported_slowness; }

  /// @returns the age of what is known, negative if nothing ever was.
  Duration AgeAt(TimePoint now) const;

 private:
  TimePoint reported_at{};
  TimePoint queried_at{};
  float reported_slowness = 1;
  uint16_t reported_running = 0;
  bool known = false;
  bool query_pending = false;
};

/// @returns how long a request that takes `typical` may be held for a fast
/// upstream while only slow ones are free.
Duration MaxHold(Duration typical);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SRC_UPSTREAM_SPEED_H_

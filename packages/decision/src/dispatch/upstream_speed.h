#ifndef BASILSILL_DECISION_SRC_UPSTREAM_SPEED_H_
#define BASILSILL_DECISION_SRC_UPSTREAM_SPEED_H_

#include <cstdint>

#include "basilsill/decision/dispatch.h"

/// Momentary slowness of an upstream, as the upstream reports it. Upstreams
/// share their machines with other processes and are several times slower for
/// periods of a few hundred milliseconds. As reports are outdated soon, the
/// dispatcher queries upstreams just before a choice, and only those that may
/// be chosen.

namespace basilsill {

/// Speed of an upstream according to its last report.
enum class SpeedGrade : uint8_t {
  kFast,     ///< About as fast as usual, a moment ago.
  kSlow,     ///< Much slower than usual, a moment ago.
  kUnknown,  ///< No report, or the last one is too old.
  kCount
};

class ReportedSpeed {
 public:
  /// The upstream reported its load, with an answer or in a load query.
  void OnLoad(TimePoint now, const UpstreamLoad& load);

  /// A load query was sent, or ended without a report.
  void OnQuery(TimePoint now);
  void OnNoAnswer() { this->query_pending = false; }

  SpeedGrade GradeAt(TimePoint now) const;

  /// @returns true if a recent report had a slowness above `limit`. Reports
  /// count longer here than in `GradeAt`.
  bool IsSlowerThan(TimePoint now, double limit) const;

  /// @returns true if a load query is in flight and has not timed out.
  bool IsQueryPending(TimePoint now) const;

  /// @returns true if the speed is unknown and no load query is in flight.
  bool IsWorthQuerying(TimePoint now) const;

  /// @returns the number of requests running there, from all senders, by the
  /// last report; 0 if that is too old.
  uint16_t BusyAt(TimePoint now) const;

  double slowness() const { return this->reported_slowness; }

  /// @returns the age of the last report, negative if there is none.
  Duration AgeAt(TimePoint now) const;

 private:
  TimePoint reported_at{};
  TimePoint queried_at{};
  float reported_slowness = 1;
  uint16_t reported_running = 0;
  bool known = false;
  bool query_pending = false;
};

/// @returns how long a request that usually takes `typical` may be held for a
/// fast upstream while only slow ones are free.
Duration MaxHold(Duration typical);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SRC_UPSTREAM_SPEED_H_

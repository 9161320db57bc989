#include "upstream_speed.h"

#include <algorithm>

namespace basilsill {
namespace {

// Age up to which a report is used. Slow periods last about 150 ms, so a report
// of this age is wrong in at most a sixth of all cases.
constexpr Duration kReportLifetime = std::chrono::milliseconds(25);

// Upstreams answer load queries at once, within about 3 ms from another data
// centre. One that has not answered after this time is overloaded, unreachable
// or gone.
constexpr Duration kLoadQueryTimeout = std::chrono::milliseconds(20);

// Age up to which a report of a slowness above a limit is used. An upstream
// that is too slow for a deadline is not merely in a short slow period. It is
// queried again before this time is over.
constexpr Duration kSlowReportLifetime = std::chrono::milliseconds(250);

// Upstreams usually report a slowness of about 1 or about 5.
constexpr double kSlowFrom = 1.8;

// A slow period ends within a few hundred milliseconds. A request that starts
// in it takes longer by four times its typical duration; up to half of that may
// be spent on waiting.
constexpr int kHoldFactor = 2;
constexpr Duration kMinHold = std::chrono::milliseconds(60);

}  // namespace

void ReportedSpeed::OnLoad(TimePoint now, const UpstreamLoad& load) {
  if (!load.known) {
    return;
  }
  this->known = true;
  this->reported_slowness = static_cast<float>(load.slowness);
  this->reported_running = load.running;
  this->reported_at = now;
  this->query_pending = false;
}

void ReportedSpeed::OnQuery(TimePoint now) {
  this->query_pending = true;
  this->queried_at = now;
}

Duration ReportedSpeed::AgeAt(TimePoint now) const {
  return this->known ? now - this->reported_at : Duration(-1);
}

SpeedGrade ReportedSpeed::GradeAt(TimePoint now) const {
  if (!this->known || now - this->reported_at > kReportLifetime) {
    return SpeedGrade::kUnknown;
  }
  return this->reported_slowness < kSlowFrom ? SpeedGrade::kFast
                                             : SpeedGrade::kSlow;
}

bool ReportedSpeed::IsSlowerThan(TimePoint now, double limit) const {
  return this->known && this->reported_slowness > limit &&
         now - this->reported_at <= kSlowReportLifetime;
}

bool ReportedSpeed::IsQueryPending(TimePoint now) const {
  return this->query_pending && now - this->queried_at < kLoadQueryTimeout;
}

bool ReportedSpeed::IsWorthQuerying(TimePoint now) const {
  return this->GradeAt(now) == SpeedGrade::kUnknown &&
         now - this->queried_at >= kLoadQueryTimeout;
}

uint16_t ReportedSpeed::BusyAt(TimePoint now) const {
  return this->GradeAt(now) == SpeedGrade::kUnknown ? 0
                                                    : this->reported_running;
}

Duration MaxHold(Duration typical) {
  return std::max(kMinHold, typical * kHoldFactor);
}

}  // namespace basilsill

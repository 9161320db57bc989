#include "upstream_speed.h"

#include <algorithm>

namespace basilsill {
namespace {

// Spells of slowness last for about 150 ms where their length is known, so
// what was told this long ago is wrong in at most a sixth of all cases.
constexpr Duration kReportLifetime = std::chrono::milliseconds(25);

// Upstreams answer at once, from another data centre within some 3 ms. One
// that has not answered by now is busy, cut off or gone.
constexpr Duration kLoadQueryTimeout = std::chrono::milliseconds(20);

// What is slower by so much that nothing is answered in time has not merely met
// a spell, and is asked again before this has passed.
constexpr Duration kSlowReportLifetime = std::chrono::milliseconds(250);

// Where slowness is told, it is about 1 or about 5.
constexpr double kSlowFrom = 1.8;

// A slow spell ends within some hundred milliseconds and costs a request that
// begins in it four times its typical time, so half of that may be waited.
constexpr int kHoldFactor = 2;
constexpr Duration kMinHold = std::chrono::milliseconds(60);

}  // namespace

void ReportedSpeed::OnLoad(TimePoint now, const UpstreamLoad& told) {
  if (!told.known) {
    return;
  }
  this->known = true;
  this->reported_slowness = static_cast<float>(told.slowness);
  this->reported_running = told.running;
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

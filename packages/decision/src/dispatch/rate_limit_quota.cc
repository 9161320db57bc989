#include "rate_limit_quota.h"

#include <algorithm>
#include <cmath>

namespace basilsill {
namespace {

// A change of the limit by no more than this fraction of itself raises no
// event.
constexpr double kReportThreshold = 0.2;

// At least one request in ten seconds is allowed, whatever the limit.
constexpr double kMinPerSecond = 0.1;

// Time for which unused tokens accumulate. It lets a high limit be used fully
// although the queue is only scanned at intervals.
constexpr std::chrono::duration<double> kBurst{0.1};

constexpr Duration kStaleAfter = std::chrono::seconds(2);

}  // namespace

RateLimitChange RateLimitQuota::Update(TimePoint now,
                                       TimePoint request_sent_at,
                                       const AdvertisedRateLimit& advertised) {
  if (advertised.presence == RateLimitPresence::kNone && this->named &&
      request_sent_at > this->named_at) {
    this->named = false;
    return RateLimitChange::kEnded;
  }
  if (advertised.presence != RateLimitPresence::kNamed) {
    return RateLimitChange::kNone;
  }
  const bool is_new = !this->named;
  if (is_new) {
    this->counted_at = now;
    this->sent_at = request_sent_at;
  }
  this->named = true;
  this->named_at = now;
  this->per_second = advertised.requests_per_second;
  const double moved = std::abs(this->per_second - this->last_reported);
  if (!is_new && moved <= kReportThreshold * this->last_reported) {
    return RateLimitChange::kNone;
  }
  this->last_reported = this->per_second;
  return RateLimitChange::kNamed;
}

bool RateLimitQuota::MayStart(TimePoint now, double share) const {
  return this->TokensAt(now, share) >= 1;
}

Duration RateLimitQuota::UntilNext(TimePoint now, double share) const {
  const double missing = std::max(0.0, 1 - this->TokensAt(now, share));
  const std::chrono::duration<double> wait(missing / this->RateOf(share));
  // Rounded up, since the caller checks again only after this time.
  return std::chrono::ceil<Duration>(wait);
}

void RateLimitQuota::OnStart(TimePoint now, double share) {
  this->tokens = this->TokensAt(now, share) - 1;
  this->counted_at = now;
  this->sent_at = now;
}

bool RateLimitQuota::IsStale(TimePoint now) const {
  return now - this->sent_at >= kStaleAfter;
}

double RateLimitQuota::RateOf(double share) const {
  return std::max(kMinPerSecond, share * this->per_second);
}

double RateLimitQuota::TokensAt(TimePoint now, double share) const {
  const double rate = this->RateOf(share);
  const std::chrono::duration<double> passed = now - this->counted_at;
  const double most = 1 + kBurst.count() * rate;
  return std::min(most, this->tokens + rate * passed.count());
}

}  // namespace basilsill

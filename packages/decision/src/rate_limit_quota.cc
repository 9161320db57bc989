#include "rate_limit_quota.h"

#include <algorithm>
#include <cmath>

namespace basilsill {
namespace {

// A limit that moves by less than this part of itself is no news to anybody.
constexpr double kNoticeable = 0.2;

// One request in ten seconds, whatever the limit.
constexpr double kLeastPerSecond = 0.1;

// Of unused rate that may be made up for, so that a high limit is not lost
// between two looks at the queue.
constexpr std::chrono::duration<double> kBurst{0.1};

constexpr Duration kUnheardAfter = std::chrono::seconds(2);

}  // namespace

RateLimitChange RateLimitQuota::Update(TimePoint now,
                                       TimePoint asked_at,
                                       const AdvertisedRateLimit& told) {
  if (told.presence == RateLimitPresence::kNone && this->named &&
      asked_at > this->named_at) {
    this->named = false;
    return RateLimitChange::kEnded;
  }
  if (told.presence != RateLimitPresence::kNamed) {
    return RateLimitChange::kNone;
  }
  const bool is_new = !this->named;
  if (is_new) {
    this->counted_at = now;
    this->sent_at = asked_at;
  }
  this->named = true;
  this->named_at = now;
  this->per_second = told.requests_per_second;
  const double moved = std::abs(this->per_second - this->noted);
  if (!is_new && moved <= kNoticeable * this->noted) {
    return RateLimitChange::kNone;
  }
  this->noted = this->per_second;
  return RateLimitChange::kNamed;
}

bool RateLimitQuota::MayStart(TimePoint now, double share) const {
  return this->TokensAt(now, share) >= 1;
}

Duration RateLimitQuota::UntilNext(TimePoint now, double share) const {
  const double missing = std::max(0.0, 1 - this->TokensAt(now, share));
  const std::chrono::duration<double> wait(missing / this->RateOf(share));
  // Rounded up: it is asked for again when this has passed.
  return std::chrono::ceil<Duration>(wait);
}

void RateLimitQuota::OnStart(TimePoint now, double share) {
  this->tokens = this->TokensAt(now, share) - 1;
  this->counted_at = now;
  this->sent_at = now;
}

bool RateLimitQuota::IsStale(TimePoint now) const {
  return now - this->sent_at >= kUnheardAfter;
}

double RateLimitQuota::RateOf(double share) const {
  return std::max(kLeastPerSecond, share * this->per_second);
}

double RateLimitQuota::TokensAt(TimePoint now, double share) const {
  const double rate = this->RateOf(share);
  const std::chrono::duration<double> passed = now - this->counted_at;
  const double most = 1 + kBurst.count() * rate;
  return std::min(most, this->tokens + rate * passed.count());
}

}  // namespace basilsill

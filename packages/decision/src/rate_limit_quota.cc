#include "rate_limit_quota.h"

#include <cmath>

namespace basilsill {
namespace {

// A limit that moves by less than this part of itself is no news to anybody.
constexpr double kNoticeable = 0.2;

}  // namespace

RateLimitChange RateLimitQuota::OnTold(TimePoint now,
                                       TimePoint asked_at,
                                       const ToldRateLimit& told) {
  if (told.word == RateLimitWord::kNone && this->named &&
      asked_at >= this->named_at) {
    this->named = false;
    return RateLimitChange::kEnded;
  }
  if (told.word != RateLimitWord::kNamed) {
    return RateLimitChange::kNone;
  }
  const bool is_new = !this->named;
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

}  // namespace basilsill

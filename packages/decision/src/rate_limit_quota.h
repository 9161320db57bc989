#ifndef BASILSILL_DECISION_SRC_RATE_LIMIT_QUOTA_H_
#define BASILSILL_DECISION_SRC_RATE_LIMIT_QUOTA_H_

#include "basilsill/base/time.h"
#include "basilsill/decision/dispatch.h"

/// The rate limit that an upstream names, as one VM knows it. Pure.

namespace basilsill {

/// What an answer changed of what is known of a limit.
enum class RateLimitChange : uint8_t {
  kNone,   ///< Nothing that an operator would notice.
  kNamed,  ///< It is named, or another one than before.
  kEnded,
  kCount
};

class RateLimitQuota {
 public:
  /// An answer came.
  /// @param asked_at When what it answers was sent. One that was sent before
  /// the limit was named does not end it.
  RateLimitChange OnTold(TimePoint now,
                         TimePoint asked_at,
                         const ToldRateLimit& told);

  /// @returns requests a second that the upstream takes from all VMs together.
  double limit() const { return this->per_second; }

 private:
  bool named = false;
  double per_second = 0;
  double noted = 0;  ///< The limit as of the last kNamed.
  TimePoint named_at{};
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SRC_RATE_LIMIT_QUOTA_H_

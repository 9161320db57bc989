#ifndef BASILSILL_DECISION_SRC_RATE_LIMIT_QUOTA_H_
#define BASILSILL_DECISION_SRC_RATE_LIMIT_QUOTA_H_

#include "basilsill/base/time.h"
#include "basilsill/decision/dispatch.h"

/// What one VM may send to an upstream that names a rate limit. Pure. A token
/// bucket that is filled at this VM's share of the limit.

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
  RateLimitChange Update(TimePoint now,
                         TimePoint asked_at,
                         const AdvertisedRateLimit& told);

  /// @param share Of the limit, that this VM may use.
  bool MayStart(TimePoint now, double share) const;

  /// @returns how long until the next request may be sent.
  Duration UntilNext(TimePoint now, double share) const;

  /// Something is sent there, a request or a question.
  void OnStart(TimePoint now, double share);

  /// @returns true if nothing was sent there for so long that the limit may
  /// have ended without anybody noticing.
  bool IsStale(TimePoint now) const;

  /// @returns requests a second that this VM may send with `share`. Never
  /// quite none: an upstream that gets nothing can't say that it takes more.
  double RateOf(double share) const;

  /// @returns requests a second that the upstream takes from all VMs together.
  double limit() const { return this->per_second; }

 private:
  double TokensAt(TimePoint now, double share) const;

  bool named = false;
  double per_second = 0;
  double noted = 0;   ///< The limit as of the last kNamed.
  double tokens = 0;  ///< As of `counted_at`.
  TimePoint named_at{};
  TimePoint counted_at{};
  TimePoint sent_at{};
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SRC_RATE_LIMIT_QUOTA_H_

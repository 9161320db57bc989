#ifndef BASILSILL_DECISION_SRC_RATE_LIMIT_QUOTA_H_
#define BASILSILL_DECISION_SRC_RATE_LIMIT_QUOTA_H_

#include "basilsill/base/time.h"
#include "basilsill/decision/dispatch.h"

/// Limits what one VM sends to an upstream that advertises a rate limit: a
/// token bucket that refills at this VM's share of the limit. Pure.

namespace basilsill {

/// How an answer changed the known limit.
enum class RateLimitChange : uint8_t {
  kNone,   ///< No change, or one too small for an event.
  kNamed,  ///< A limit is advertised for the first time, or a different one.
  kEnded,
  kCount
};

class RateLimitQuota {
 public:
  /// Takes the limit that an answer advertises.
  /// @param request_sent_at When the request of this answer was sent. An answer
  /// to a request that was sent before the limit was advertised does not end
  /// the limit.
  RateLimitChange Update(TimePoint now,
                         TimePoint request_sent_at,
                         const AdvertisedRateLimit& advertised);

  /// @param share Fraction of the limit that this VM may use.
  bool MayStart(TimePoint now, double share) const;

  /// @returns the time until the next request may be sent.
  Duration UntilNext(TimePoint now, double share) const;

  /// A request or a load query is sent to the upstream.
  void OnStart(TimePoint now, double share);

  /// @returns true if nothing was sent to the upstream for so long that the
  /// limit may have ended unnoticed.
  bool IsStale(TimePoint now) const;

  /// @returns the requests per second that this VM may send with `share`. Never
  /// 0: an upstream that gets no requests can't advertise a higher limit.
  double RateOf(double share) const;

  /// @returns the limit for all VMs together, in requests per second.
  double limit() const { return this->per_second; }

 private:
  double TokensAt(TimePoint now, double share) const;

  bool named = false;
  double per_second = 0;
  double last_reported = 0;  ///< The limit as of the last kNamed.
  double tokens = 0;         ///< As of `counted_at`.
  TimePoint named_at{};
  TimePoint counted_at{};
  TimePoint sent_at{};
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SRC_RATE_LIMIT_QUOTA_H_

#ifndef BASILSILL_CTL_LOAD_RESEND_H_
#define BASILSILL_CTL_LOAD_RESEND_H_

#include <optional>

#include "basilsill/base/time.h"
#include "load_check.h"

/// Resend policy of the emulated callers.

namespace basilsill::ctl {

/// Inputs of the decision besides the result of the attempt.
struct LoadResendState {
  unsigned resends_done = 0;
  unsigned resends_allowed = 0;
  /// The request has a safe method or an idempotency key, so that sending it
  /// twice does no harm.
  bool repeatable = false;
};

/// @returns the delay before the request is sent again, or std::nullopt if
/// `result` is final.
/// @remarks If the request may have run, it is only sent again if it is
/// repeatable. A refusal with a 4xx status and without a retry delay is final,
/// since the request would be refused again (a bad request, an expired key).
/// Refusals with a 5xx status and without a retry delay, and exchanges that
/// failed, are followed by an exponential back-off.
std::optional<Duration> ResendDelay(const LoadAttemptResult& result,
                                    const LoadResendState& state);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_LOAD_RESEND_H_

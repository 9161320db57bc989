#include "load_resend.h"

#include <algorithm>

namespace basilsill::ctl {
namespace {

constexpr Duration kFirstBackoff = std::chrono::milliseconds(50);
constexpr unsigned kMaxDoublings = 6;
constexpr unsigned kFirstServerError = 500;

}  // namespace

std::optional<Duration> ResendDelay(const LoadAttemptResult& result,
                                    const LoadResendState& state) {
  if (state.resends_done >= state.resends_allowed) {
    return std::nullopt;
  }
  const Duration backoff =
      kFirstBackoff * (1U << std::min(state.resends_done, kMaxDoublings));
  const bool not_run = result.promise == Promise::kNotRun;
  if (ClassOf(result.verdict) == LoadVerdictClass::kRefused) {
    if (!not_run && !state.repeatable) {
      return std::nullopt;
    }
    if (result.retry_after) {
      return *result.retry_after;
    }
    return result.status >= kFirstServerError ? std::optional(backoff)
                                              : std::nullopt;
  }
  if (ClassOf(result.verdict) != LoadVerdictClass::kBroken) {
    return std::nullopt;
  }
  const bool never_sent = result.verdict == LoadVerdict::kConnectFailed;
  return never_sent || state.repeatable ? std::optional(backoff) : std::nullopt;
}

}  // namespace basilsill::ctl

#ifndef BASILSILL_BASE_REASON_H_
#define BASILSILL_BASE_REASON_H_

#include <cstdint>
#include <string_view>

/// Why a request was refused, and why one was tried again. One table gives
/// each reason its number, name, HTTP status and promise; counters, answers
/// and log events are all made from it.

namespace basilsill {

/// What a caller may conclude from an answer that the system itself made.
enum class Promise : uint8_t {
  kNotRun,   ///< No upstream ran the request; it is safe to send it again.
  kUnknown,  ///< An upstream may have run it, in part or whole.
  kCount
};

/// Why the system answered a request itself. Numbers are part of the API:
/// they are never used again for another meaning.
enum class Refusal : uint8_t {
  kNone = 0,
  kMalformedRequest,
  kHeaderTooLarge,
  kBodyTooLarge,
  kNoRoute,
  kNoConfiguration,
  kTooManyConnections,
  kTeamRateLimit,
  kTeamConcurrencyLimit,
  kTeamQueueLimit,
  kQueueFull,
  kDeadlineUnmeetable,
  kDeadlinePassedInQueue,
  kNoUpstream,
  kUpstreamConnectFailed,
  kUpstreamShed,
  kUpstreamDied,
  kUpstreamTimeout,
  kUpstreamMalformed,
  kPeerUnreachable,
  kPeerLost,
  kQuarantined,
  kKeyMissing,
  kKeyMalformed,
  kKeyExpired,
  kKeyBodyMismatch,
  kClaimUnavailable,
  kClaimRunning,
  kClaimOutcomeUnknown,
  kShuttingDown,
  kCallerGone,
  kMemoryLimit,
  kDrained,
  kUpstreamRateLimit,
  kApiKeyUnknown,
  kApiKeyMalformed,
  kApiKeysUnverified,
  kQuotaUnavailable,
  kCount
};

/// Why an attempt was made again, or was not although it could have been.
enum class Retry : uint8_t {
  kNone = 0,
  kConnectFailed,
  kStaleConnection,
  kShed,
  kPeerUnreachable,
  kHandedBack,
  kUpstreamDied,
  kPeerLost,
  kHedge,
  kUpstreamFailed,  ///< It answered that it failed.
  kDeniedBudget,
  kDeniedDeadline,
  kDeniedNotIdempotent,
  kDeniedBodyGone,  ///< Part of the body went to the attempt that failed.
  kCount
};

/// One row of the refusal table.
struct RefusalInfo {
  std::string_view name;  ///< Stable name for answers, counters and logs.
  uint16_t status;        ///< HTTP status of the answer.
  Promise promise;
  bool retry_after;  ///< The answer tells when to come back.
  bool retryable;    ///< The entry VM may try elsewhere by itself.
};

/// @returns the row of `reason`.
const RefusalInfo& InfoOf(Refusal reason);

/// @returns the stable name of `reason`.
std::string_view NameOf(Retry reason);

/// @returns true if `reason` says why there was no further attempt.
constexpr bool IsDenied(Retry reason) {
  return reason >= Retry::kDeniedBudget && reason < Retry::kCount;
}
std::string_view NameOf(Promise promise);

}  // namespace basilsill

#endif  // BASILSILL_BASE_REASON_H_

#ifndef BASILSILL_BASE_REASON_H_
#define BASILSILL_BASE_REASON_H_

#include <cstdint>
#include <string_view>

/// The reasons for which requests are refused or retried. One table defines the
/// number, name, HTTP status and promise of each refusal; counters, answers and
/// log events are derived from it.

namespace basilsill {

/// What an answer that the system itself generated promises to the caller.
enum class Promise : uint8_t {
  kNotRun,   ///< No upstream executed the request; it is safe to retry.
  kUnknown,  ///< An upstream may have executed it, partly or fully.
  kCount
};

/// Why the system answered a request itself. The numbers are part of the API
/// and are never reused for another meaning.
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
  kConfigurationUnverified,
  kUpstreamsUnreachable,  ///< The dispatcher's VM can't connect to them.
  kCount
};

/// Why a request was attempted again, or why a possible retry was denied.
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
  kUpstreamFailed,  ///< The upstream answered with a failure.
  kDeniedBudget,
  kDeniedDeadline,
  kDeniedNotIdempotent,
  kDeniedBodyGone,  ///< Part of the body was consumed by the failed attempt.
  kDeniedOverload,  ///< All upstreams are full, or the answer would be late.
  kCount
};

/// One row of the refusal table.
struct RefusalInfo {
  std::string_view name;  ///< Stable name for answers, counters and logs.
  uint16_t status;        ///< HTTP status of the answer.
  Promise promise;
  bool retry_after;  ///< The answer has a Retry-After field.
  bool retryable;    ///< The entry VM may retry elsewhere.
};

/// @returns the row of `reason`.
const RefusalInfo& InfoOf(Refusal reason);

/// @returns the stable name of `reason`.
std::string_view NameOf(Retry reason);

/// @returns true if `reason` is a reason for which a retry was denied.
constexpr bool IsDenied(Retry reason) {
  return reason >= Retry::kDeniedBudget && reason < Retry::kCount;
}
std::string_view NameOf(Promise promise);

/// Who refused a request.
enum class RefusalSource : uint8_t {
  kEntry,       ///< The VM that took it from its caller.
  kDispatcher,  ///< The VM that dispatches for the upstreams.
  kUpstream,    ///< The upstream that it was sent to last.
  kCount
};

/// @returns the name of `source` in logs and metric labels.
std::string_view NameOf(RefusalSource source);

/// @returns who gave a refusal that a dispatcher reports.
RefusalSource SourceAtDispatcher(Refusal refusal);

}  // namespace basilsill

#endif  // BASILSILL_BASE_REASON_H_

#include "basilsill/base/reason.h"

#include <array>
#include <cstddef>

namespace basilsill {
namespace {

constexpr Promise kNotRun = Promise::kNotRun;
constexpr Promise kUnknown = Promise::kUnknown;

// Rows in the order of the enum: name, status, promise, retry_after,
// retryable.
constexpr std::array<RefusalInfo, static_cast<size_t>(Refusal::kCount)>
    kRefusals = {{
        {"none", 200, kUnknown, false, false},
        {"malformed-request", 400, kNotRun, false, false},
        {"header-too-large", 431, kNotRun, false, false},
        {"body-too-large", 413, kNotRun, false, false},
        {"no-route", 404, kNotRun, false, false},
        {"no-configuration", 503, kNotRun, true, false},
        {"too-many-connections", 503, kNotRun, true, false},
        {"team-rate-limit", 429, kNotRun, true, false},
        {"team-concurrency-limit", 429, kNotRun, true, false},
        {"team-queue-limit", 429, kNotRun, true, false},
        {"queue-full", 503, kNotRun, true, true},
        {"deadline-unmeetable", 503, kNotRun, true, true},
        {"deadline-passed-in-queue", 504, kNotRun, true, false},
        {"no-upstream", 503, kNotRun, true, true},
        {"upstream-connect-failed", 502, kNotRun, true, true},
        {"upstream-shed", 503, kNotRun, true, true},
        {"upstream-died", 502, kUnknown, false, false},
        {"upstream-timeout", 504, kUnknown, false, false},
        {"upstream-malformed", 502, kUnknown, false, false},
        {"peer-unreachable", 503, kNotRun, true, true},
        {"peer-lost", 502, kUnknown, false, false},
        {"quarantined", 503, kNotRun, true, false},
        {"key-missing", 400, kNotRun, false, false},
        {"key-malformed", 400, kNotRun, false, false},
        {"key-expired", 409, kUnknown, false, false},
        {"key-body-mismatch", 422, kNotRun, false, false},
        {"claim-unavailable", 503, kNotRun, true, false},
        {"claim-running", 409, kUnknown, true, false},
        {"claim-outcome-unknown", 409, kUnknown, false, false},
        {"shutting-down", 503, kNotRun, true, true},
        {"caller-gone", 499, kUnknown, false, false},
        {"memory-limit", 503, kNotRun, true, false},
        {"drained", 503, kNotRun, true, false},
        {"upstream-rate-limit", 503, kNotRun, true, true},
        {"api-key-unknown", 401, kNotRun, false, false},
        {"api-key-malformed", 401, kNotRun, false, false},
        {"api-keys-unverified", 503, kNotRun, true, false},
        {"quota-unavailable", 503, kNotRun, true, false},
        {"configuration-unverified", 503, kNotRun, true, false},
        {"upstreams-unreachable", 503, kNotRun, true, true},
    }};

constexpr std::array<std::string_view, static_cast<size_t>(Retry::kCount)>
    kRetryNames = {
        "none",
        "connect-failed",
        "stale-connection",
        "shed",
        "peer-unreachable",
        "handed-back",
        "upstream-died",
        "peer-lost",
        "hedge",
        "upstream-failed",
        "denied-budget",
        "denied-deadline",
        "denied-not-idempotent",
        "denied-body-gone",
        "denied-overload",
};

constexpr std::array<std::string_view,
                     static_cast<size_t>(RefusalSource::kCount)>
    kSourceNames = {"entry", "dispatcher", "upstream"};

}  // namespace

const RefusalInfo& InfoOf(Refusal reason) {
  return kRefusals.at(static_cast<size_t>(reason));
}

std::string_view NameOf(Retry reason) {
  return kRetryNames.at(static_cast<size_t>(reason));
}

std::string_view NameOf(Promise promise) {
  return promise == Promise::kNotRun ? "not-run" : "unknown";
}

std::string_view NameOf(RefusalSource source) {
  return kSourceNames.at(static_cast<size_t>(source));
}

RefusalSource SourceAtDispatcher(Refusal refusal) {
  return refusal == Refusal::kUpstreamShed ? RefusalSource::kUpstream
                                           : RefusalSource::kDispatcher;
}

}  // namespace basilsill

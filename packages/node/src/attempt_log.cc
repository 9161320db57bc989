#include "attempt_log.h"

#include <chrono>
#include <optional>

#include "basilsill/node/log.h"

namespace basilsill {
namespace {

constexpr int kServerError = 500;

int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

std::optional<Event> EventOf(UpstreamEventKind kind) {
  switch (kind) {
    case UpstreamEventKind::kDraining:
      return Event::kUpstreamDraining;
    case UpstreamEventKind::kStraggling:
      return Event::kUpstreamStraggling;
    case UpstreamEventKind::kRecovered:
      return Event::kUpstreamRecovered;
    case UpstreamEventKind::kDied:
      return Event::kUpstreamDied;
    case UpstreamEventKind::kQuarantined:
      return Event::kFingerprintQuarantined;
    case UpstreamEventKind::kRateLimited:
      return Event::kUpstreamRateLimited;
    case UpstreamEventKind::kRateLimitEnded:
      return Event::kUpstreamRateLimitEnded;
    case UpstreamEventKind::kResting:
      return Event::kUpstreamResting;
    case UpstreamEventKind::kRestEnded:
      return Event::kUpstreamRestEnded;
    case UpstreamEventKind::kShedCase:
      return Event::kShedCaseChanged;
    default:
      return std::nullopt;
  }
}

}  // namespace

void LogAttempt(const EndedAttempt& attempt) {
  const AttemptReport& report = attempt.report;
  const bool good =
      report.end == AttemptEnd::kAnswered && report.status < kServerError;
  Log(good ? Event::kAttemptAnswered : Event::kAttemptFailed,
      {{"request", attempt.request_id},
       {"upstream", attempt.upstream},
       {"reason", attempt.action.retry},
       {"end", NameOf(report.end)},
       {"status", attempt.trace.status},
       {"proof", NameOf(attempt.trace.proof)},
       {"connection", attempt.trace.connection},
       {"carried", attempt.trace.carried},
       {"skipped", attempt.trace.skipped_answers},
       {"waited_ms", Millis(attempt.waited)},
       {"took_ms", Millis(attempt.took)},
       {"slowness", attempt.action.slowness},
       {"slowness_age_ms", Millis(attempt.action.slowness_age)},
       {"slowness_after", report.load.slowness},
       {"running_after", report.load.running},
       {"leaving", report.notice.leaving},
       {"rest_ms", Millis(report.notice.rest)}});
}

void LogUpstreamEvent(const UpstreamEvent& event, const Endpoint& upstream) {
  const std::optional<Event> logged = EventOf(event.kind);
  if (!logged) {
    return;
  }
  const std::string endpoint = ToString(upstream);
  if (event.kind == UpstreamEventKind::kQuarantined) {
    Log(*logged, {{"upstream", endpoint}, {"fingerprint", event.fingerprint}});
  } else if (event.kind == UpstreamEventKind::kRateLimited) {
    Log(*logged,
        {{"upstream", endpoint}, {"limit", event.requests_per_second}});
  } else if (event.kind == UpstreamEventKind::kResting) {
    Log(*logged, {{"upstream", endpoint}, {"rest_ms", Millis(event.rest)}});
  } else if (event.kind == UpstreamEventKind::kShedCase) {
    Log(*logged, {{"upstream", endpoint},
                  {"case", NameOf(event.shed_case)},
                  {"share", event.shed_share}});
  } else {
    Log(*logged, {{"upstream", endpoint}});
  }
}

}  // namespace basilsill

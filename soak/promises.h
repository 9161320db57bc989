#ifndef BASILSILL_SOAK_PROMISES_H_
#define BASILSILL_SOAK_PROMISES_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "observations.h"

/// Judges what was observed in a soak against the promises that the system
/// makes. Pure: it looks at tables only.

namespace basilsill::soak {

enum class Promise : uint8_t {
  kOwnAnswer,      ///< A success is the whole answer to one's own request.
  kOnce,           ///< What must not repeat runs once at most.
  kNotRun,         ///< What was refused as not run never runs.
  kLeaving,        ///< A leaving upstream gets nothing new after its bound.
  kShutdown,       ///< Ending a node cuts no request.
  kConfiguration,  ///< A configuration is in force everywhere in time.
  kNoReturn,       ///< A dropped route does not come back by itself.
  kRepeats,        ///< Repeats of the fleet stay within their budget.
  kRecovery,       ///< Service is back after all nodes were killed.
  kCallerGone,     ///< Nothing is begun for a caller that left.
  kTimeout,        ///< What is open at its timeout is answered then.
  kStaysUp,        ///< No node ends by itself.
  kDrained,        ///< A drained data centre gets nothing new.
  kCold,           ///< A cold upstream gets no more a second than its bound.
  kRateLimit,      ///< One that names a rate limit gets about that.
  kKeyRevoked,     ///< A key that was taken away is of no use any more.
  kTeamQuota,      ///< A team gets no more than its quota.
  kReadyTakes,     ///< A node that says ready takes new connections.
  kCount
};

std::string_view NameOf(Promise promise);

/// Bounds of the installation under test, as its settings have them, and what
/// the soak adds for itself.
struct Bounds {
  std::chrono::milliseconds stability{3000};
  std::chrono::milliseconds drain{2000};
  std::chrono::milliseconds apply{2000};
  /// A drained data centre gets nothing new so long after it was accepted.
  std::chrono::milliseconds drained{300};
  /// Requests to a cold upstream in any second, from all nodes.
  size_t cold_requests = 16;
  /// An upstream that names a rate limit gets, so long after it began and from
  /// all nodes, in any window no more than the excess times what it names for
  /// that time, and the slack.
  std::chrono::milliseconds rate_limit_heard{500};
  std::chrono::milliseconds rate_limit_window{4000};
  double rate_limit_excess = 1.5;
  double rate_limit_slack = 5;
  /// A key that was taken away is refused so long after, in touch or not.
  std::chrono::milliseconds revoke{3000};
  /// Of the team that has a quota: requests a second, and at once; what all
  /// nodes together may run in any window beyond that.
  double quota_rate = 6;
  double quota_burst = 6;
  double quota_excess = 1.1;
  double quota_slack = 20;
  std::chrono::milliseconds quota_window{5000};
  /// A node that says that it is ready has answered on a new connection so long
  /// after; one in a row may miss it, as its word is of a moment before.
  std::chrono::milliseconds taken{1000};
  std::chrono::milliseconds grace{6000};
  std::chrono::milliseconds loss_slack{200};
  std::chrono::milliseconds caller_gone{500};
  std::chrono::milliseconds timeout{1500};  ///< Of every route.
  std::chrono::milliseconds timeout_slack{500};
  /// Of requests that are sent so long after all nodes are back, a quarter or
  /// more is served.
  std::chrono::milliseconds recover{8000};
  double repeat_ratio = 0.2;
  double repeat_slack = 20;
  std::chrono::milliseconds repeat_window{10000};
  /// For the way between the soak's own parts; the observed lag is added.
  std::chrono::milliseconds tolerance{300};
};

struct Violation {
  Promise promise = Promise::kCount;
  std::vector<std::string> ids;  ///< Of requests.
  TimePoint at{};
  std::string detail;
};

/// @returns every promise that was broken, in the order of Promise.
std::vector<Violation> Judge(const Observations& seen, const Bounds& bounds);

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_PROMISES_H_

#ifndef BASILSILL_SOAK_PROMISES_H_
#define BASILSILL_SOAK_PROMISES_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "observations.h"

/// Checks the observations of a soak against the guarantees ("promises") of the
/// system. Depends on the tables only.

namespace basilsill::soak {

enum class Promise : uint8_t {
  kOwnAnswer,      ///< A success is the complete response to its request.
  kOnce,           ///< An unsafe request is executed at most once.
  kNotRun,         ///< A request refused as not executed never is.
  kLeaving,        ///< A draining upstream gets no new requests after a bound.
  kShutdown,       ///< A node shutdown cuts off no request.
  kConfiguration,  ///< A configuration is applied on all nodes in time.
  kNoReturn,       ///< No node goes back to an older configuration.
  kRepeats,        ///< Retries of the fleet stay within their budget.
  kRecovery,       ///< Service recovers after all nodes were killed.
  kCallerGone,     ///< No request starts after its caller disconnected.
  kTimeout,        ///< A request is answered no later than its timeout.
  kStaysUp,        ///< No node crashes.
  kDrained,        ///< A drained data centre gets no new requests.
  kCold,           ///< Requests per second to a cold upstream are bounded.
  kRateLimit,      ///< An advertised rate limit is kept approximately.
  kKeyRevoked,     ///< A revoked API key is refused.
  kTeamQuota,      ///< A team gets no more than its quota.
  kReadyTakes,     ///< A ready node accepts new connections.
  kLeavingSaid,    ///< An upstream that says that it leaves gets no requests.
  kRest,           ///< An upstream that asks for rest gets it.
  kCutServed,      ///< Callers of nodes that are cut from upstreams are served.
  kCount
};

std::string_view NameOf(Promise promise);

/// Bounds from the settings of the installation under test, and tolerances of
/// the soak.
struct Bounds {
  std::chrono::milliseconds stability{3000};
  std::chrono::milliseconds drain{2000};
  std::chrono::milliseconds apply{2000};
  /// Time from the accepted drain of a data centre until it gets no new
  /// requests.
  std::chrono::milliseconds drained{300};
  /// Maximum number of requests to a cold upstream in any second, from all
  /// nodes.
  size_t cold_requests = 16;
  /// After rate_limit_delay, an upstream that advertises a rate limit gets from
  /// all nodes, in any window, at most rate_limit_excess times the limit for
  /// that time, plus rate_limit_slack.
  std::chrono::milliseconds rate_limit_delay{500};
  std::chrono::milliseconds rate_limit_window{4000};
  double rate_limit_excess = 1.5;
  double rate_limit_slack = 5;
  /// Time from the accepted revocation of a key until every node refuses it,
  /// also nodes that can't reach the store or other nodes.
  std::chrono::milliseconds revoke{3000};
  /// Quota of the limited team, in requests per second and as a burst. In any
  /// window all nodes together may run quota_excess times the quota, plus
  /// quota_slack requests.
  double quota_rate = 6;
  double quota_burst = 6;
  double quota_excess = 1.1;
  double quota_slack = 20;
  std::chrono::milliseconds quota_window{5000};
  /// Time from a node's ready report to its response on a new connection. A
  /// single miss is allowed, as the node may have become unready since the
  /// report.
  std::chrono::milliseconds new_connection_answer{1000};
  /// Nodes of the installation. Each may send to an upstream that leaves or
  /// rests until an answer tells that node: notice_requests requests, from
  /// rest_delay after the first such answer or, for leaving, from the drain
  /// bound after it.
  size_t nodes = 4;
  size_t notice_requests = 2;
  std::chrono::milliseconds rest_delay{500};
  /// From cut_delay after the start of a cut, at most cut_excess times as large
  /// a part of the requests fails at a node that is cut from all upstreams as
  /// at the others, plus cut_failures and a fraction cut_part of its requests.
  std::chrono::milliseconds cut_delay{3000};
  double cut_excess = 4.0 / 3;
  double cut_failures = 10;
  double cut_part = 0.02;
  std::chrono::milliseconds grace{6000};
  std::chrono::milliseconds loss_slack{200};
  std::chrono::milliseconds caller_gone{500};
  std::chrono::milliseconds timeout{1500};  ///< Of every route.
  std::chrono::milliseconds timeout_slack{500};
  /// Time from the restart of all nodes until at least a quarter of the
  /// requests succeeds.
  std::chrono::milliseconds recover{8000};
  double repeat_ratio = 0.2;
  double repeat_slack = 20;
  std::chrono::milliseconds repeat_window{10000};
  /// Allowance for delays within the soak; the observed timer lag is added.
  std::chrono::milliseconds tolerance{300};
};

struct Violation {
  Promise promise = Promise::kCount;
  std::vector<std::string> ids;  ///< Of the requests concerned.
  TimePoint at{};
  std::string detail;
};

/// @returns all violations found, in the order of Promise.
std::vector<Violation> FindViolations(const Observations& observations,
                                      const Bounds& bounds);

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_PROMISES_H_

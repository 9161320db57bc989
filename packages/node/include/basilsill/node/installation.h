#ifndef BASILSILL_NODE_INSTALLATION_H_
#define BASILSILL_NODE_INSTALLATION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "basilsill/base/endpoint.h"
#include "basilsill/decision/mechanism.h"
#include "basilsill/decision/repeat_budget.h"
#include "basilsill/node/state_source.h"

/// What differs between installations apart from the settings: header names,
/// the readiness endpoint, the retry budget of the fleet and the source of
/// state.

namespace basilsill {

/// Names of the headers that a node interprets or sets. Headers with an empty
/// name are not used.
struct HeaderNames {
  std::string request_id = "X-Request-Id";
  std::string deadline = "Basilsill-Deadline-Ms";
  std::string promise = "Basilsill-Promise";
  std::string reason = "Basilsill-Reason";
  /// From an upstream: it refused the request before running it.
  std::string not_run = "Basilsill-Refused";
  /// From an upstream, in each of its answers: `1` if it is leaving.
  std::string leaving = "Basilsill-Draining";
  std::string idempotency_key = "Idempotency-Key";
  /// From an upstream, on each successful answer: a signature that is passed on
  /// to the caller.
  std::string seal;
  /// To an upstream: only the instance with this id may run the request.
  std::string expected_instance;
  /// From an upstream, on health checks: its instance id.
  std::string served_by;
  /// From an upstream: requests running, requests waiting, slots and speed.
  std::string load;
  /// From an upstream, on health checks: how many milliseconds it stays cold.
  std::string cold;
  /// From an upstream: its rate limit in requests per second, for all VMs
  /// together.
  std::string rate_limit = "Basilsill-Rate-Limit";
  /// From a caller: the API key of its team. Never passed on.
  std::string api_key = "Basilsill-Api-Key";
  /// To an upstream: the team whose API key the caller sent. Never accepted
  /// from a caller.
  std::string team = "Basilsill-Team";
  /// Upstreams repeat the request id in each answer to a request. An answer
  /// without it then belongs to no request.
  bool request_id_is_echoed = false;
  /// Callers take the statuses 408, 421, 429 and 503 for the promise that their
  /// request has not run, whoever gave them.
  bool promise_by_status = false;
  bool via = true;  ///< Adds `Via` to requests.
  /// Allows `Retry-After` to have a fraction.
  bool fractional_retry_after = false;
};

struct Installation {
  HeaderNames headers;
  /// Budget of the whole fleet, per service, for attempts beyond the first one
  /// of each request. If absent, each team has budgets of its own, as set by
  /// the policy.
  std::optional<RepeatBudgetOptions> repeats;
  /// API keys are relied on only while the configuration is known to be younger
  /// than this; 0 accepts a configuration of any age.
  std::chrono::milliseconds api_key_max_age{0};
  /// A request that matches no route is refused for good only while the
  /// configuration is known to be younger than this; 0: at any age.
  std::chrono::milliseconds route_max_age{0};
  /// Each start of an upstream has an id of its own.
  bool upstream_ids_are_unique = false;
  /// All data centres; each has an equal share of the teams' quotas. Used if
  /// the platform stores quota leases.
  std::vector<std::string> data_centres;
  /// Separate endpoint for readiness; with port 0, readiness is served on the
  /// admin port only.
  Endpoint readiness_endpoint{"", 0};
  std::string ready_path = "/readyz";
  /// No message is streamed: each one ends soon, so that it can be buffered
  /// until it is complete, and be sent or requested again.
  bool no_streaming = false;
  /// Writes logs to standard output instead of standard error.
  bool log_to_standard_output = false;
  /// Most open connections of the process, of all kinds; 0: unlimited.
  size_t max_connections = 0;
  /// Most requests in the process at once; memory for them is preallocated.
  size_t max_requests = 16384;
  /// Enabled mechanisms of the decision code.
  PolicyFeatures features;
  /// Creates the source of state. If empty, the node uses the log of
  /// basilsill's own platform and serves the resource API on the admin port.
  std::function<std::unique_ptr<StateSource>(boost::asio::io_context& context,
                                             const PolicyFeatures& features,
                                             const Endpoint& control)>
      make_source;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_INSTALLATION_H_

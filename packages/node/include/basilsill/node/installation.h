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

/// What differs from one installation to another beyond settings: the names
/// of headers that its callers and upstreams speak, where readiness is asked,
/// what the fleet may spend on repeats, and where state comes from.

namespace basilsill {

/// Names of headers with a meaning. An empty one is not used.
struct HeaderNames {
  std::string request_id = "X-Request-Id";
  std::string deadline = "Basilsill-Deadline-Ms";
  std::string promise = "Basilsill-Promise";
  std::string reason = "Basilsill-Reason";
  /// Of an upstream: it refused the request before running it.
  std::string not_run = "Basilsill-Refused";
  /// Of an upstream: it is leaving.
  std::string draining = "Basilsill-Draining";
  std::string idempotency_key = "Idempotency-Key";
  /// Of an upstream, on each good answer: a signature that goes to the caller.
  std::string seal;
  /// To an upstream: only the instance with this id may run the request.
  std::string expected_instance;
  /// Of an upstream, on health checks: its id.
  std::string served_by;
  /// Of an upstream: running, waiting, slots, and speed.
  std::string load;
  /// Of an upstream, on health checks: for how many milliseconds it is cold.
  std::string cold;
  /// Of an upstream: requests a second that it takes from all VMs together.
  std::string rate_limit = "Basilsill-Rate-Limit";
  /// Of a caller: its team's API key. Never passed on.
  std::string api_key = "Basilsill-Api-Key";
  /// To an upstream: the team whose key the caller gave. Never taken from a
  /// caller.
  std::string team = "Basilsill-Team";
  bool via = true;  ///< Whether `Via` is added to requests.
  /// Whether `Retry-After` may have a fraction.
  bool fractional_retry_after = false;
};

struct Installation {
  HeaderNames headers;
  /// What the whole fleet may do beyond the first attempt of each request, for
  /// one service. Absent: each team has budgets of its own, as the policy has
  /// them.
  std::optional<RepeatBudgetOptions> repeats;
  /// A caller's API key counts only while the configuration certainly is no
  /// older; 0: however old it is.
  std::chrono::milliseconds api_key_max_age{0};
  /// All data centres, which have equal shares of teams' quotas. Used where the
  /// platform keeps leases.
  std::vector<std::string> data_centres;
  /// Readiness on an endpoint of its own; port 0: only on the admin port.
  Endpoint readiness_endpoint{"", 0};
  std::string ready_path = "/readyz";
  /// Nothing is streamed: messages end soon, so that they can be held until
  /// they are whole, and be sent or asked for once more.
  bool no_streaming = false;
  /// Logs go there instead of to standard error.
  bool log_to_standard_output = false;
  /// Connections of all kinds that the process may have open; 0: not bounded.
  size_t max_connections = 0;
  /// Requests in the process at once; memory is set aside for so many.
  size_t max_requests = 16384;
  /// Mechanisms of the decision code that are on.
  PolicyFeatures features;
  /// Makes the source of state; empty: the log of basilsill's own platform,
  /// with the resource API on the admin port.
  std::function<std::unique_ptr<StateSource>(boost::asio::io_context& context,
                                             const PolicyFeatures& features,
                                             const Endpoint& control)>
      make_source;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_INSTALLATION_H_

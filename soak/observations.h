#ifndef BASILSILL_SOAK_OBSERVATIONS_H_
#define BASILSILL_SOAK_OBSERVATIONS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "basilsill/base/time.h"

/// Tables of what the callers, the upstreams and the operator of a soak
/// observed. The nodes under test contribute only what they sent to these
/// three.

namespace basilsill::soak {

enum class RequestKind : uint8_t {
  kSafe,
  kUnsafe,  ///< Must be executed at most once.
  kDownload,
  kCount
};

/// How a request ended from the point of view of its caller.
enum class RequestOutcome : uint8_t {
  kOpen,        ///< Has not ended.
  kAnswer,      ///< The caller received a complete response.
  kBroken,      ///< The connection ended without a complete response.
  kCallerLeft,  ///< The caller disconnected before a response.
  kTimeout,     ///< No response within the caller's deadline.
  kCount
};

/// One request of a caller, with a unique id.
struct RequestRow {
  std::string id;
  RequestKind kind = RequestKind::kSafe;
  std::string route;
  size_t service = 0;
  size_t team = 0;  ///< SoakTeam whose API key the request carries.
  size_t node = 0;
  TimePoint sent{};  ///< When the last byte of the request was written.
  TimePoint ended{};
  RequestOutcome outcome = RequestOutcome::kOpen;
  unsigned status = 0;
  /// The response is the complete one that an upstream sent to this request.
  bool is_own = false;
  bool is_pipelined = false;  ///< Sent while earlier requests were open.
};

/// An upstream started to execute a request.
struct RunRow {
  std::string id;
  size_t upstream = 0;
  size_t service = 0;
  TimePoint began{};
};

/// The store accepted the entry that declares an upstream as draining.
struct LeavingRow {
  size_t upstream = 0;
  TimePoint accepted{};
};

/// A request reached an upstream.
struct ArrivalRow {
  std::string id;
  size_t upstream = 0;
  size_t data_centre = 0;
  TimePoint at{};
};

/// The store accepted the drain of a data centre, and the operator later lifted
/// the drain.
struct DrainRow {
  size_t data_centre = 0;
  TimePoint accepted{};
  TimePoint lifted = TimePoint::max();
};

/// An upstream reported itself as cold.
struct ColdRow {
  size_t upstream = 0;
  TimePoint from{};
  TimePoint to{};
};

/// An upstream advertised a rate limit.
struct LimitRow {
  size_t upstream = 0;
  double requests_per_second = 0;
  TimePoint from{};
  TimePoint to{};
};

/// An upstream began to say in its answers that it leaves (while its entry did
/// not say so), or that it wants rest.
struct NoticeRow {
  size_t upstream = 0;
  TimePoint from{};
  TimePoint to{};
};

/// The store accepted a configuration that revokes a team's API key, and the
/// operator later restored the key.
struct KeyRow {
  size_t team = 0;
  TimePoint accepted{};
  TimePoint restored = TimePoint::max();
};

/// The store accepted a configuration that adds or removes a route.
struct RouteRow {
  std::string route;
  bool is_added = false;
  TimePoint sent{};
  TimePoint accepted{};
};

enum class DisturbanceKind : uint8_t {
  kNode,      ///< A node was killed, restarted or paused.
  kShutdown,  ///< A node was asked to shut down.
  kStore,
  kUpstream,  ///< Upstreams or the connections to them.
  kCount
};

/// A period with an injected fault.
struct Disturbance {
  DisturbanceKind kind = DisturbanceKind::kNode;
  std::optional<size_t> node;  ///< Absent: all nodes.
  TimePoint from{};
  TimePoint to{};
};

/// A node was cut from all upstreams.
struct CutRow {
  size_t node = 0;
  TimePoint from{};
  TimePoint to = TimePoint::max();
};

/// A node reported that it is ready, and a probe opened a new connection to it
/// immediately.
struct ConnectionRow {
  size_t node = 0;
  TimePoint at{};  ///< When the node reported ready.
  /// Time until the node answered a request on the connection;
  /// Duration::max() if it did not.
  Duration answered_after = Duration::max();
};

/// A node process exited without having been signalled.
struct UnexpectedExit {
  size_t node = 0;
  TimePoint at{};
};

/// The teams of a soak. The key of kRevoked is revoked and restored, kLimited
/// has a quota that its callers exceed, and kPlain has neither.
enum class SoakTeam : uint8_t { kPlain, kRevoked, kLimited, kCount };

struct Observations {
  /// Adds a disturbance that starts now and has no end yet.
  /// @returns its index, for EndDisturbance().
  size_t BeginDisturbance(DisturbanceKind kind, std::optional<size_t> node) {
    this->disturbances.push_back(
        {kind, node, MonotonicClock::now(), TimePoint::max()});
    return this->disturbances.size() - 1;
  }
  void EndDisturbance(size_t row) {
    this->disturbances[row].to = MonotonicClock::now();
  }

  std::vector<RequestRow> requests;
  std::vector<RunRow> runs;
  /// Executed requests that their upstreams answered with a status that
  /// promises the contrary, without proof: nodes answer that the outcome is
  /// unknown.
  std::set<std::string> unproven;
  std::vector<ArrivalRow> arrivals;
  std::vector<ArrivalRow> health_checks;  ///< Without ids.
  std::vector<LeavingRow> leaving;
  std::vector<DrainRow> drains;
  std::vector<ColdRow> cold_periods;
  std::vector<LimitRow> limits;
  std::vector<NoticeRow> said_leaving;
  std::vector<NoticeRow> rests;
  std::vector<KeyRow> keys;
  std::vector<RouteRow> routes;
  std::vector<CutRow> cuts;
  std::vector<Disturbance> disturbances;
  std::vector<UnexpectedExit> unexpected_exits;
  std::vector<ConnectionRow> connections;
  /// When all nodes were restarted after the latest kill of the whole fleet.
  std::optional<TimePoint> all_restarted;
  TimePoint ended{};
  /// Largest delay of the soak's own timers: how busy the machine was.
  Duration lag{0};
};

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_OBSERVATIONS_H_

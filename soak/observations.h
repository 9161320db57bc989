#ifndef BASILSILL_SOAK_OBSERVATIONS_H_
#define BASILSILL_SOAK_OBSERVATIONS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "basilsill/base/time.h"

/// What callers, upstreams and the operator of a soak saw, in tables. Nothing
/// here comes from the nodes under test but what they sent to these three.

namespace basilsill::soak {

enum class RequestKind : uint8_t {
  kSafe,
  kUnsafe,  ///< Must run at most once.
  kDownload,
  kCount
};

/// How a request ended at its caller.
enum class Ending : uint8_t {
  kOpen,     ///< It has not.
  kAnswer,   ///< A whole answer came.
  kBroken,   ///< Sent whole; the connection ended without a whole answer.
  kCaller,   ///< The caller left before an answer.
  kTimeout,  ///< No answer within the caller's patience.
  kCount
};

/// One attempt of a caller, with an id of its own.
struct RequestRow {
  std::string id;
  RequestKind kind = RequestKind::kSafe;
  std::string route;
  size_t service = 0;
  size_t team = 0;  ///< Whose key it carries, of TeamNames().
  size_t node = 0;
  TimePoint sent{};  ///< Its last octet was written.
  TimePoint ended{};
  Ending ending = Ending::kOpen;
  unsigned status = 0;
  /// The answer is the whole one that an upstream gave to this very request.
  bool is_own = false;
  bool behind_another = false;  ///< Pipelined: others before it were open.
};

/// An upstream began to work on a request.
struct RunRow {
  std::string id;
  size_t upstream = 0;
  size_t service = 0;
  TimePoint began{};
};

/// The platform accepted that an upstream leaves.
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

/// The platform accepted that a data centre is drained, and the operator then
/// took it back.
struct DrainRow {
  size_t data_centre = 0;
  TimePoint accepted{};
  TimePoint taken_back = TimePoint::max();
};

/// An upstream was cold.
struct ColdRow {
  size_t upstream = 0;
  TimePoint from{};
  TimePoint to{};
};

/// An upstream named a rate limit.
struct LimitRow {
  size_t upstream = 0;
  double requests_per_second = 0;
  TimePoint from{};
  TimePoint to{};
};

/// The platform accepted that a team's key is taken away, and the operator then
/// gave it back.
struct KeyRow {
  size_t team = 0;
  TimePoint accepted{};
  TimePoint given_back = TimePoint::max();
};

/// The platform accepted a configuration that adds or drops a route.
struct RouteRow {
  std::string route;
  bool is_added = false;
  TimePoint sent{};
  TimePoint accepted{};
};

enum class DisturbanceKind : uint8_t {
  kNode,      ///< A node was killed, paused, or cut from others.
  kShutdown,  ///< A node was told to end: planned.
  kStore,
  kUpstream,  ///< Upstreams, and connections to them.
  kCount
};

/// A time in which something was done from outside.
struct Disturbance {
  DisturbanceKind kind = DisturbanceKind::kNode;
  std::optional<size_t> node;  ///< Absent: all of them.
  TimePoint from{};
  TimePoint to{};
};

/// A node said that it is ready, and a new connection was opened to it at once.
struct ConnectionRow {
  size_t node = 0;
  TimePoint at{};  ///< Of its word.
  /// Until a request on the connection was answered; the longest there is if it
  /// was not.
  Duration taken_after = Duration::max();
};

/// A node ended without having been told to.
struct UnaskedEnd {
  size_t node = 0;
  TimePoint at{};
};

/// The teams of a soak. One has a key that is taken away and given back, one a
/// quota that its callers go beyond, and one neither.
enum class SoakTeam : uint8_t { kPlain, kRevoked, kLimited, kCount };

struct Observations {
  /// @returns the row of a disturbance that begins now, and is open.
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
  std::vector<ArrivalRow> arrivals;
  std::vector<ArrivalRow> questions;  ///< For their health; without ids.
  std::vector<LeavingRow> leaving;
  std::vector<DrainRow> drains;
  std::vector<ColdRow> colds;
  std::vector<LimitRow> limits;
  std::vector<KeyRow> keys;
  std::vector<RouteRow> routes;
  std::vector<Disturbance> disturbances;
  std::vector<UnaskedEnd> unasked_ends;
  std::vector<ConnectionRow> connections;
  /// Nodes were all back after the last time that all were killed.
  std::optional<TimePoint> all_back;
  TimePoint ended{};
  /// The latest that a timer of the soak itself came: the machine is busy.
  Duration lag{0};
};

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_OBSERVATIONS_H_

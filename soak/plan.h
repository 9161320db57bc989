#ifndef BASILSILL_SOAK_PLAN_H_
#define BASILSILL_SOAK_PLAN_H_

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

/// The schedule of faults of one soak, determined by its seed and options.

namespace basilsill::soak {

enum class Fault : uint8_t {
  kNodeKill,
  kNodeEnd,    ///< Asked to shut down, then restarted.
  kNodePause,  ///< Suspended for the duration.
  kNodeReload,
  kAllKill,
  kStoreDown,
  kStoreBusy,
  kStoreSilent,  ///< Accepts calls and answers none.
  kStoreSlow,
  kStoreRefusesSome,  ///< Refuses the connections of one node.
  kUpstreamCrash,
  kUpstreamLeave,  ///< Drains, stops, and is replaced.
  kUpstreamSlow,
  kUpstreamFails,  ///< Some of its responses are errors.
  kAnswersLost,    ///< Executes requests and closes the connection unanswered.
  kAnswersCut,
  kLinkSlow,
  kLinkReset,
  kLinkOneWay,  ///< Bytes from the upstream are held.
  kLinkSilent,  ///< Stays open and carries no bytes.
  kRouteChange,
  kDataCentreDrain,      ///< Drained for the duration.
  kUpstreamCold,         ///< Cold for the duration, without a restart.
  kUpstreamLimit,        ///< Advertises a rate limit for a while.
  kUpstreamSaysLeaving,  ///< In its answers; its entry does not say so.
  kUpstreamRests,        ///< Turns requests away and asks for rest.
  // Some nodes are cut from all upstreams for the duration and longer.
  kCutSilent,   ///< Connections stay open and carry no bytes.
  kCutReset,    ///< Connections are reset, also new ones.
  kCutRefuses,  ///< New connections are reset.
  kCount
};

std::string_view NameOf(Fault fault);

struct Step {
  Fault fault = Fault::kCount;
  std::chrono::milliseconds at{0};        ///< Since the start of traffic.
  std::chrono::milliseconds duration{0};  ///< Ignored by instantaneous faults.
  uint32_t target = 0;  ///< Index of the target, modulo their number.
};

struct Plan {
  uint64_t seed = 0;
  size_t nodes = 4;
  std::chrono::milliseconds duration{0};
  std::vector<Step> steps;  ///< In order of time.
};

/// Average time between two faults. Most faults last up to three seconds, so
/// that some of them overlap.
inline constexpr std::chrono::milliseconds kDefaultGap{1300};

/// The kinds of faults that a plan may have.
enum class FaultSet : uint8_t {
  kAll,
  /// Without cuts from all upstreams. For seeds found before there were cuts:
  /// their plans stay the same.
  kWithoutCuts,
  kCount
};

/// @param duration Duration of the traffic. A plan that kills all nodes extends
/// it until their recovery can be checked.
/// @param gap Average time between two faults.
Plan MakePlan(uint64_t seed,
              size_t nodes,
              std::chrono::milliseconds duration,
              std::chrono::milliseconds gap = kDefaultGap,
              FaultSet faults = FaultSet::kAll);

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_PLAN_H_

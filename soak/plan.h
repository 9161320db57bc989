#ifndef BASILSILL_SOAK_PLAN_H_
#define BASILSILL_SOAK_PLAN_H_

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

/// What is done in one soak, and when: drawn from a seed alone.

namespace basilsill::soak {

enum class Fault : uint8_t {
  kNodeKill,
  kNodeEnd,    ///< Told to end, then started again.
  kNodePause,  ///< Stopped for a while.
  kNodeReload,
  kAllKill,
  kStoreDown,
  kStoreBusy,
  kStoreSilent,  ///< Takes calls, answers none.
  kStoreSlow,
  kStoreRefusesSome,
  kUpstreamCrash,
  kUpstreamLeave,  ///< Says so, ends, and another takes its place.
  kUpstreamSlow,
  kUpstreamFails,  ///< Some of its answers are failures.
  kAnswersLost,    ///< It runs requests, and closes in place of an answer.
  kAnswersCut,
  kLinkSlow,
  kLinkReset,
  kLinkOneWay,  ///< Nothing comes back.
  kLinkSilent,  ///< Open, and nothing goes either way.
  kRouteChange,
  kDataCentreDrain,  ///< Drained, and taken back.
  kUpstreamCold,     ///< Cold for a while, without a new start.
  kUpstreamLimit,    ///< Names a rate limit for a while.
  kCount
};

std::string_view NameOf(Fault fault);

struct Step {
  Fault fault = Fault::kCount;
  std::chrono::milliseconds at{0};     ///< From the start of traffic.
  std::chrono::milliseconds lasts{0};  ///< For those that last.
  uint32_t target = 0;  ///< Which one, modulo how many there are.
};

struct Plan {
  uint64_t seed = 0;
  size_t nodes = 4;
  std::chrono::milliseconds lasts{0};
  std::vector<Step> steps;  ///< In the order of their times.
};

/// One fault in this time on average, so that some overlap: most of them last
/// up to three seconds.
inline constexpr std::chrono::milliseconds kUsualGap{1300};

/// @param lasts For how long there is traffic. Where all nodes are killed it
/// goes on until their recovery can be judged.
/// @param gap Between two faults, on average.
Plan MakePlan(uint64_t seed,
              size_t nodes,
              std::chrono::milliseconds lasts,
              std::chrono::milliseconds gap = kUsualGap);

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_PLAN_H_

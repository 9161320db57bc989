#ifndef BASILSILL_CTL_LOAD_SCHEDULE_H_
#define BASILSILL_CTL_LOAD_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include <pcg_random.hpp>

#include "basilsill/base/time.h"
#include "basilsill/ctl/load.h"

/// Determines which requests start when. The schedule does not depend on
/// responses: the latency of a delayed request counts from its scheduled start.

namespace basilsill::ctl {

/// One request with all its attempts.
struct LoadCall {
  TimePoint scheduled_start;  ///< Latency counts from here.
  LoadSide side = LoadSide::kThrough;
  size_t kind = 0;  ///< Index in the mix.
  unsigned resends = 0;
  std::string tag;  ///< The same for all attempts, like the body.
  std::string key;  ///< Idempotency key; empty if the request may run twice.
  /// At least one attempt ended without the promise that the request did not
  /// run.
  bool may_have_run = false;
};

struct LoadScheduleOptions {
  std::vector<LoadSide> sides;    ///< Requests alternate between them.
  std::vector<unsigned> weights;  ///< By kind.
  std::vector<bool> once;         ///< By kind: must not run twice.
  double rate = 1;  ///< Requests per second on all sides together.
  uint64_t seed = 1;
  /// Number of the worker; selects the random sequence and is part of tags.
  size_t worker = 0;
};

/// An endless sequence of requests with exponentially distributed gaps.
class LoadSchedule {
 public:
  explicit LoadSchedule(LoadScheduleOptions options);

  /// @returns the time between the last request and the next one.
  Duration NextGap();

  /// @param wall Creation time in the idempotency key.
  /// @returns the next request.
  LoadCall Next(TimePoint scheduled_start, WallTime wall);

 private:
  size_t DrawKind();
  std::string DrawKey(WallTime wall);

  LoadScheduleOptions settings;
  unsigned weight_sum = 0;
  uint64_t number = 0;
  pcg64 random;
};

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_LOAD_SCHEDULE_H_

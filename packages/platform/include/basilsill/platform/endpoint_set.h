#ifndef BASILSILL_PLATFORM_ENDPOINT_SET_H_
#define BASILSILL_PLATFORM_ENDPOINT_SET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <pcg_random.hpp>

#include "basilsill/base/endpoint.h"
#include "basilsill/base/limits.h"
#include "basilsill/base/time.h"

/// Chooses which of several equivalent endpoints to call. Does no I/O; the
/// clock and the random seed are passed in.

namespace basilsill {

struct BackoffSettings {
  std::chrono::milliseconds min = limits::kPlatformBackoffMin;
  std::chrono::milliseconds max = limits::kPlatformBackoffMax;
};

/// Endpoints in order of preference. A failed endpoint is not used until its
/// back-off has passed. The back-off doubles with each failure, and the actual
/// time is drawn at random from its upper half, so that many VMs do not retry
/// at the same moment. An answer resets the back-off.
class EndpointSet {
 public:
  EndpointSet(std::vector<Endpoint> endpoints,
              BackoffSettings settings,
              uint64_t seed);

  /// @param tried For each position, whether the endpoint is excluded.
  /// @returns the position of the endpoint to call now: the one that answered
  /// last, else the next one that is not backing off; nullopt if there is none.
  std::optional<size_t> Choose(TimePoint now,
                               const std::vector<bool>& tried) const;

  /// @returns the earliest time from `now` on at which an endpoint can be
  /// chosen; `now` if one can be chosen already.
  TimePoint NextAvailableAt(TimePoint now) const;

  void ReportAnswer(size_t position);
  void ReportFailure(size_t position, TimePoint now);

  const Endpoint& At(size_t position) const;
  size_t size() const { return this->rows.size(); }

 private:
  struct Row {
    Endpoint endpoint;
    std::chrono::milliseconds backoff{0};  ///< 0 if the last call succeeded.
    TimePoint backoff_until = TimePoint::min();
  };

  BackoffSettings settings;
  pcg32 random;
  std::vector<Row> rows;
  size_t preferred = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_PLATFORM_ENDPOINT_SET_H_

#ifndef BASILSILL_DECISION_SRC_RATE_LIMIT_CACHE_H_
#define BASILSILL_DECISION_SRC_RATE_LIMIT_CACHE_H_

#include <cstdint>
#include <optional>

#include <boost/unordered/unordered_flat_map.hpp>

#include "basilsill/base/time.h"
#include "basilsill/decision/rate_limit.h"

/// What other VMs told of rate limits, kept for the moment at which this one
/// begins to dispatch for the upstream.

namespace basilsill {

/// @returns the name of this start of `upstream`, a row of `service`, on every
/// VM.
uint64_t KeyOfIncarnation(const ServiceRow& service,
                          const UpstreamRow& upstream);

class RateLimitCache {
 public:
  void OnReport(TimePoint now, const RateLimitReport& report);

  void Forget(uint64_t upstream) { this->rows.erase(upstream); }

  /// @returns the limit that was told, in requests a second, if that was not
  /// long ago.
  std::optional<double> Find(TimePoint now, uint64_t upstream) const;

  bool empty() const { return this->rows.empty(); }

 private:
  struct Row {
    double requests_per_second = 0;
    TimePoint heard_at{};
  };

  void MakeRoom(TimePoint now);

  boost::unordered_flat_map<uint64_t, Row> rows;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SRC_RATE_LIMIT_CACHE_H_

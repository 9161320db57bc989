#ifndef BASILSILL_DECISION_SRC_RATE_LIMIT_CACHE_H_
#define BASILSILL_DECISION_SRC_RATE_LIMIT_CACHE_H_

#include <cstdint>
#include <optional>

#include <boost/unordered/unordered_flat_map.hpp>

#include "basilsill/base/time.h"
#include "basilsill/decision/rate_limit.h"

/// Rate limits reported by other VMs, kept until this VM begins to dispatch for
/// the upstream.

namespace basilsill {

class RateLimitCache {
 public:
  void OnReport(TimePoint now, const RateLimitReport& report);

  void Forget(uint64_t upstream) { this->rows.erase(upstream); }

  /// @returns the reported limit in requests per second; nullopt if there is no
  /// recent report.
  std::optional<double> Find(TimePoint now, uint64_t upstream) const;

  bool empty() const { return this->rows.empty(); }

 private:
  struct Row {
    double requests_per_second = 0;
    TimePoint received_at{};
  };

  void EvictIfFull(TimePoint now);

  boost::unordered_flat_map<uint64_t, Row> rows;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SRC_RATE_LIMIT_CACHE_H_

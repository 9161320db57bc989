#include "rate_limit_cache.h"

#include <algorithm>

#include "basilsill/decision/upstream_notice.h"

namespace basilsill {
namespace {

// How long a report is valid. A limit is reported every few seconds while the
// upstream sends answers, but an upstream that gets one request in ten seconds
// answers no more often than that.
constexpr Duration kMaxAge = std::chrono::seconds(30);

}  // namespace

RateLimitReport MakeRateLimitReport(const ServiceRow& service,
                                    const UpstreamRow& upstream,
                                    const AdvertisedRateLimit& advertised) {
  RateLimitReport report;
  report.upstream = KeyOfIncarnation(service, upstream);
  report.named = advertised.presence == RateLimitPresence::kNamed;
  report.requests_per_second = advertised.requests_per_second;
  const ShardRow* shard = FindShardOf(service, upstream);
  report.shard = shard != nullptr ? shard->key : 0;
  return report;
}

void RateLimitCache::OnReport(TimePoint now, const RateLimitReport& report) {
  if (!report.named) {
    this->rows.erase(report.upstream);
    return;
  }
  this->EvictIfFull(now);
  this->rows[report.upstream] = {report.requests_per_second, now};
}

std::optional<double> RateLimitCache::Find(TimePoint now,
                                           uint64_t upstream) const {
  const auto found = this->rows.find(upstream);
  if (found == this->rows.end() || now - found->second.received_at > kMaxAge) {
    return std::nullopt;
  }
  return found->second.requests_per_second;
}

void RateLimitCache::EvictIfFull(TimePoint now) {
  if (this->rows.size() < limits::kMaxRateLimitReports) {
    return;
  }
  boost::unordered::erase_if(this->rows, [now](const auto& row) {
    return now - row.second.received_at > kMaxAge;
  });
  if (this->rows.size() < limits::kMaxRateLimitReports) {
    return;
  }
  this->rows.erase(std::min_element(
      this->rows.begin(), this->rows.end(), [](const auto& a, const auto& b) {
        return a.second.received_at < b.second.received_at;
      }));
}

}  // namespace basilsill

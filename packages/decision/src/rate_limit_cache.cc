#include "rate_limit_cache.h"

#include <algorithm>

#include <xxhash.h>

#include "upstream_choice.h"

namespace basilsill {
namespace {

// A limit is told again every few seconds while the upstream is heard; one that
// gets a request in ten seconds is heard no more often.
constexpr Duration kKeptFor = std::chrono::seconds(30);

}  // namespace

uint64_t KeyOfIncarnation(const ServiceRow& service,
                          const UpstreamRow& upstream) {
  const UpstreamIncarnation start = IncarnationOf(service, upstream);
  const uint64_t seed =
      KeyOf(upstream.endpoint) + static_cast<uint64_t>(start.started.count());
  return XXH3_64bits_withSeed(start.id.data(), start.id.size(), seed);
}

RateLimitReport MakeRateLimitReport(const ServiceRow& service,
                                    const UpstreamRow& upstream,
                                    const AdvertisedRateLimit& told) {
  RateLimitReport report;
  report.upstream = KeyOfIncarnation(service, upstream);
  report.named = told.presence == RateLimitPresence::kNamed;
  report.requests_per_second = told.requests_per_second;
  const auto position =
      static_cast<uint32_t>(&upstream - service.upstreams.data());
  for (const ShardRow& shard : service.shards) {
    const auto& all = shard.upstreams;
    if (std::find(all.begin(), all.end(), position) != all.end()) {
      report.shard = shard.key;
    }
  }
  return report;
}

void RateLimitCache::OnReport(TimePoint now, const RateLimitReport& report) {
  if (!report.named) {
    this->rows.erase(report.upstream);
    return;
  }
  this->MakeRoom(now);
  this->rows[report.upstream] = {report.requests_per_second, now};
}

std::optional<double> RateLimitCache::Find(TimePoint now,
                                           uint64_t upstream) const {
  const auto found = this->rows.find(upstream);
  if (found == this->rows.end() || now - found->second.heard_at > kKeptFor) {
    return std::nullopt;
  }
  return found->second.requests_per_second;
}

void RateLimitCache::MakeRoom(TimePoint now) {
  if (this->rows.size() < limits::kMaxRateLimitReports) {
    return;
  }
  boost::unordered::erase_if(this->rows, [now](const auto& row) {
    return now - row.second.heard_at > kKeptFor;
  });
  if (this->rows.size() < limits::kMaxRateLimitReports) {
    return;
  }
  this->rows.erase(std::min_element(
      this->rows.begin(), this->rows.end(), [](const auto& a, const auto& b) {
        return a.second.heard_at < b.second.heard_at;
      }));
}

}  // namespace basilsill

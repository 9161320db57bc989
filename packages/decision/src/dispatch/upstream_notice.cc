#include "basilsill/decision/upstream_notice.h"

#include <algorithm>

#include <xxhash.h>

#include "basilsill/base/limits.h"
#include "upstream_choice.h"

namespace basilsill {
namespace {

// How long an upstream that can't be told from its next incarnation counts as
// leaving, or as replaced by another one at its address.
constexpr Duration kLeavingTime = std::chrono::minutes(2);

}  // namespace

uint64_t KeyOfIncarnation(const ServiceRow& service,
                          const UpstreamRow& upstream) {
  const UpstreamIncarnation incarnation = IncarnationOf(service, upstream);
  const uint64_t seed = KeyOf(upstream.endpoint) +
                        static_cast<uint64_t>(incarnation.started.count());
  return XXH3_64bits_withSeed(incarnation.id.data(), incarnation.id.size(),
                              seed);
}

std::shared_ptr<UpstreamNotices> UpstreamNotices::Create(
    const UpstreamNoticesOptions& options) {
  return std::make_shared<UpstreamNotices>(options);
}

void UpstreamNotices::Record(TimePoint now,
                             const ServiceRow& service,
                             const UpstreamRow& upstream,
                             const UpstreamNotice& notice) {
  if (!notice.any()) {
    return;
  }
  Row& row = this->RowOf(now, service, upstream);
  if (notice.leaving) {
    row.own_leaving = true;
    this->SetLeaving(now, service, upstream, row);
  }
  if (notice.replaced) {
    row.times.leaving_until =
        std::max(row.times.leaving_until, now + kLeavingTime);
  }
  if (notice.rest > Duration(0)) {
    const Duration rest =
        std::min<Duration>(notice.rest, limits::kMaxUpstreamRest);
    row.own_rest_until = std::max(row.own_rest_until, now + rest);
    row.times.rest_until = std::max(row.times.rest_until, now + rest);
  }
}

void UpstreamNotices::Import(TimePoint now,
                             const ServiceRow& service,
                             const UpstreamRow& upstream,
                             const UpstreamNoticeReport& report) {
  Row& row = this->RowOf(now, service, upstream);
  if (report.leaving) {
    this->SetLeaving(now, service, upstream, row);
  }
  const Duration rest =
      std::min<Duration>(report.rest, limits::kMaxUpstreamRest);
  row.times.rest_until = std::max(row.times.rest_until, now + rest);
}

// Only the next incarnation ends the leaving of an upstream whose incarnations
// can be told apart.
void UpstreamNotices::SetLeaving(TimePoint now,
                                 const ServiceRow& service,
                                 const UpstreamRow& upstream,
                                 Row& row) const {
  const UpstreamIncarnation incarnation = IncarnationOf(service, upstream);
  const bool is_identified =
      incarnation.started > std::chrono::milliseconds(0) ||
      (this->options.ids_are_unique && !incarnation.id.empty());
  row.times.leaving_until = is_identified ? kNever : now + kLeavingTime;
}

void UpstreamNotices::ApplyView(TimePoint now, const RoutingView& view) {
  for (auto& [key, row] : this->rows) {
    const ServiceRow* service = FindService(view, row.service);
    const UpstreamRow* upstream =
        service != nullptr ? FindUpstream(*service, row.upstream) : nullptr;
    if (upstream == nullptr) {
      continue;
    }
    if (!upstream->leaving && row.listed_leaving) {
      row.times.leaving_until = TimePoint();
      row.own_leaving = false;
    }
    row.listed_leaving = upstream->leaving;
  }
  this->EraseEnded(now);
}

void UpstreamNotices::Rebind(uint64_t upstream,
                             ServiceHandle service,
                             UpstreamHandle handle) {
  const auto found = this->rows.find(upstream);
  if (found != this->rows.end()) {
    found->second.service = service;
    found->second.upstream = handle;
  }
}

NoticeTimes UpstreamNotices::Find(uint64_t upstream) const {
  const auto found = this->rows.find(upstream);
  return found == this->rows.end() ? NoticeTimes() : found->second.times;
}

UpstreamNoticeReport UpstreamNotices::MakeReport(TimePoint now,
                                                 uint64_t upstream) const {
  UpstreamNoticeReport report;
  report.upstream = upstream;
  const auto found = this->rows.find(upstream);
  if (found != this->rows.end()) {
    const Row& row = found->second;
    report.leaving = row.own_leaving && row.times.leaving_until > now;
    report.rest = std::max(Duration(0), row.own_rest_until - now);
  }
  return report;
}

NoticeCounts UpstreamNotices::Count(TimePoint now) const {
  NoticeCounts counts;
  for (const auto& [key, row] : this->rows) {
    counts.leaving += row.times.leaving_until > now ? 1 : 0;
    counts.resting += row.times.rest_until > now ? 1 : 0;
  }
  return counts;
}

UpstreamNotices::Row& UpstreamNotices::RowOf(TimePoint now,
                                             const ServiceRow& service,
                                             const UpstreamRow& upstream) {
  const uint64_t key = KeyOfIncarnation(service, upstream);
  if (!this->rows.contains(key)) {
    this->EvictIfFull(now);
  }
  Row& row = this->rows[key];
  row.service = service.handle;
  row.upstream = upstream.handle;
  row.listed_leaving |= upstream.leaving;
  row.changed_at = now;
  return row;
}

void UpstreamNotices::EraseEnded(TimePoint now) {
  boost::unordered::erase_if(this->rows, [now](const auto& row) {
    const NoticeTimes& times = row.second.times;
    return times.leaving_until <= now && times.rest_until <= now;
  });
}

void UpstreamNotices::EvictIfFull(TimePoint now) {
  if (this->rows.size() < limits::kMaxUpstreamNotices) {
    return;
  }
  this->EraseEnded(now);
  if (this->rows.size() < limits::kMaxUpstreamNotices) {
    return;
  }
  this->rows.erase(std::min_element(
      this->rows.begin(), this->rows.end(), [](const auto& a, const auto& b) {
        return a.second.changed_at < b.second.changed_at;
      }));
}

}  // namespace basilsill

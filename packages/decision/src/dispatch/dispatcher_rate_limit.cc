#include <algorithm>
#include <utility>

#include "dispatcher_core.h"
#include "shard_rate.h"
#include "upstream_choice.h"

namespace basilsill {
namespace {

// How often other VMs get a report of a limit while the upstream advertises it,
// so that a VM that joins or begins to dispatch soon knows the limit.
constexpr Duration kReportInterval = std::chrono::seconds(2);

std::vector<RateLimitedUpstream>::iterator FindLimited(ShardState& shard,
                                                       uint32_t place) {
  return std::find_if(
      shard.rate_limited.begin(), shard.rate_limited.end(),
      [place](const auto& limited) { return limited.place == place; });
}

// @returns the state of the upstream's rate limit, created if there is none.
RateLimitedUpstream& LimitOf(ShardState& shard, uint32_t place) {
  const auto found = FindLimited(shard, place);
  if (found != shard.rate_limited.end()) {
    return *found;
  }
  RateLimitedUpstream limited;
  limited.place = place;
  return shard.rate_limited.emplace_back(limited);
}

}  // namespace

void DispatcherCore::RecordRateLimit(TimePoint now,
                                     TimePoint request_sent_at,
                                     ShardState& shard,
                                     uint32_t place,
                                     const AdvertisedRateLimit& advertised) {
  const bool is_named = advertised.presence == RateLimitPresence::kNamed;
  if (!this->options.features.rate_limits) {
    return;
  }
  if (!is_named && FindLimited(shard, place) == shard.rate_limited.end()) {
    return;
  }
  RateLimitedUpstream& limited = LimitOf(shard, place);
  const RateLimitChange change =
      limited.quota.Update(now, request_sent_at, advertised);
  limited.named_since_update |= is_named;
  const UpstreamSlots& upstream = shard.upstreams[place];
  if (change == RateLimitChange::kNamed) {
    this->RecordEvent(UpstreamEventKind::kRateLimited, shard, upstream);
    this->emitted_events.back().requests_per_second = limited.quota.limit();
    RecountSlots(now, shard);
  } else if (change == RateLimitChange::kEnded) {
    this->RecordEvent(UpstreamEventKind::kRateLimitEnded, shard, upstream);
    this->ended_limits.push_back(this->ReportOf(shard, place));
    this->RemoveRateLimit(now, shard, place);
  }
}

void DispatcherCore::RemoveRateLimit(TimePoint now,
                                     ShardState& shard,
                                     uint32_t place) {
  const auto found = FindLimited(shard, place);
  if (found != shard.rate_limited.end()) {
    this->received_limits.Forget(this->ReportOf(shard, place).upstream);
    shard.rate_limited.erase(found);
    RecountSlots(now, shard);
  }
}

// Failure: a VM begins to dispatch, after a restart or in place of another VM,
// and sends an upstream with a rate limit as much as any other upstream until
// its first answer. So limits reported by other VMs are applied from the start.
void DispatcherCore::ApplyReceivedLimits(TimePoint now, ShardState& shard) {
  const ShardTable::InView found = this->shards.Locate(shard.key);
  if (this->received_limits.empty() || !shard.in_use ||
      found.shard == nullptr) {
    return;
  }
  for (const uint32_t position : found.shard->upstreams) {
    const UpstreamRow& upstream = found.service->upstreams[position];
    const std::optional<double> limit = this->received_limits.Find(
        now, KeyOfIncarnation(*found.service, upstream));
    const uint32_t place = PlaceOf(shard, upstream.handle);
    if (limit && FindRateLimit(shard, place) == nullptr) {
      LimitOf(shard, place)
          .quota.Update(now, now, {RateLimitPresence::kNamed, *limit});
    }
  }
  RecountSlots(now, shard);
}

void DispatcherCore::OnRateLimitReport(TimePoint now,
                                       const RateLimitReport& report) {
  if (!this->options.features.rate_limits) {
    return;
  }
  this->received_limits.OnReport(now, report);
  const uint32_t row = this->shards.Find(report.shard);
  const uint32_t place = row != kNoRow ? this->PlaceOfReported(report) : kNoRow;
  if (place == kNoRow) {
    return;
  }
  ShardState& shard = this->shards.at(row);
  if (report.named) {
    LimitOf(shard, place)
        .quota.Update(now, now,
                      {RateLimitPresence::kNamed, report.requests_per_second});
    RecountSlots(now, shard);
  } else {
    this->RemoveRateLimit(now, shard, place);
  }
  this->Pump(now, row);
}

// @returns the position of the upstream of `report` in its shard, which must be
// open; kNoRow if it is not there.
uint32_t DispatcherCore::PlaceOfReported(const RateLimitReport& report) const {
  const ShardTable::InView found = this->shards.Locate(report.shard);
  if (found.shard == nullptr) {
    return kNoRow;
  }
  for (const uint32_t position : found.shard->upstreams) {
    const UpstreamRow& upstream = found.service->upstreams[position];
    if (KeyOfIncarnation(*found.service, upstream) == report.upstream) {
      return PlaceOf(this->shards.at(this->shards.Find(report.shard)),
                     upstream.handle);
    }
  }
  return kNoRow;
}

size_t DispatcherCore::CountRateLimited() const {
  size_t count = 0;
  for (uint32_t row = 0; row < this->shards.size(); ++row) {
    count += this->shards.at(row).rate_limited.size();
  }
  return count;
}

std::vector<RateLimitUpdate> DispatcherCore::TakeRateLimitUpdates(
    TimePoint now) {
  std::vector<RateLimitUpdate> updates;
  for (const RateLimitReport& report : std::exchange(this->ended_limits, {})) {
    this->AddUpdatesForOwners(report, updates);
  }
  for (uint32_t row = 0; row < this->shards.size(); ++row) {
    ShardState& shard = this->shards.at(row);
    for (RateLimitedUpstream& limited : shard.rate_limited) {
      const bool is_due = limited.last_update_limit != limited.quota.limit() ||
                          now - limited.last_update_at >= kReportInterval;
      if (!limited.named_since_update || !is_due) {
        continue;
      }
      limited.named_since_update = false;
      limited.last_update_at = now;
      limited.last_update_limit = limited.quota.limit();
      RateLimitReport report = this->ReportOf(shard, limited.place);
      report.named = true;
      report.requests_per_second = limited.quota.limit();
      this->AddUpdatesForOwners(report, updates);
    }
  }
  return updates;
}

void DispatcherCore::AddUpdatesForOwners(
    const RateLimitReport& report,
    std::vector<RateLimitUpdate>& outgoing_updates) const {
  const ShardTable::InView found = this->shards.Locate(report.shard);
  if (found.shard == nullptr) {
    return;
  }
  for (const VmHandle owner : found.shard->owners) {
    if (owner != this->shards.view()->self) {
      outgoing_updates.push_back({owner, report});
    }
  }
}

// @returns a report that the upstream has no limit. Its `upstream` is 0 if the
// upstream is no longer in the view.
RateLimitReport DispatcherCore::ReportOf(const ShardState& shard,
                                         uint32_t place) const {
  RateLimitReport report;
  report.shard = shard.key;
  const ShardTable::InView found = this->shards.Locate(shard.key);
  const UpstreamRow* upstream =
      found.service != nullptr
          ? FindUpstream(*found.service, shard.upstreams[place].handle)
          : nullptr;
  if (upstream != nullptr) {
    report.upstream = KeyOfIncarnation(*found.service, *upstream);
  }
  return report;
}

// No other event resumes a queue whose next request waits for an upstream's
// rate limit, so the next scan is scheduled here.
void DispatcherCore::HoldForRate(TimePoint now,
                                 ShardState& shard,
                                 uint32_t row) {
  RequestRow& request = this->Request(row);
  if (shard.rate_bound && !request.held_for_rate) {
    request.held_for_rate = true;
    ++this->counts.held_for_rate;
  }
  const double share = RateShareOf(now, shard);
  for (const RateLimitedUpstream& limited : shard.rate_limited) {
    const Duration wait = limited.quota.UntilNext(now, share);
    if (wait > Duration(0)) {
      shard.next_scan = std::min(shard.next_scan, now + wait);
    }
  }
}

// Limits may appear or shrink while requests wait. Requests that would miss
// their deadlines are refused at once, starting with the newest request of the
// team that has most waiting.
void DispatcherCore::RefuseBeyondRate(TimePoint now, ShardState& shard) {
  while (shard.rate_bound) {
    const uint32_t last = this->queue.NewestOfLongest(shard, 0);
    if (last == kNoRow) {
      return;
    }
    const Duration wait = WaitWithinRate(now, shard, shard.queued - 1);
    if (wait <= this->Request(last).spec.deadline - now) {
      return;
    }
    this->Refuse(last, {Refusal::kUpstreamRateLimit, this->WithJitter(wait)});
  }
}

}  // namespace basilsill

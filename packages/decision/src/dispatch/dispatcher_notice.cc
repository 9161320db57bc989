#include <algorithm>

#include "dispatcher_core.h"
#include "upstream_choice.h"

namespace basilsill {
namespace {

bool HasNotice(TimePoint now, const UpstreamSlots& upstream) {
  return upstream.leaving_until > now || upstream.rest_until > now;
}

}  // namespace

void DispatcherCore::OnNotice(TimePoint now,
                              ServiceHandle service,
                              UpstreamHandle upstream,
                              const UpstreamNotice& notice) {
  const RoutingView* view = this->shards.view();
  const ServiceRow* row =
      view != nullptr ? FindService(*view, service) : nullptr;
  const UpstreamRow* found =
      row != nullptr ? FindUpstream(*row, upstream) : nullptr;
  if (found == nullptr || !notice.any()) {
    return;
  }
  this->options.notices->Record(now, *row, *found, notice);
  if (const ShardRow* shard = FindShardOf(*row, *found)) {
    this->ApplyNotice(now, shard->key, *row, *found);
  }
}

// Another upstream answered at the address of `upstream` in `shard`.
void DispatcherCore::RecordReplaced(TimePoint now,
                                    const ShardState& shard,
                                    UpstreamHandle upstream) {
  const ShardTable::InView found = this->shards.Locate(shard.key);
  if (found.service != nullptr) {
    UpstreamNotice notice;
    notice.replaced = true;
    this->OnNotice(now, found.service->handle, upstream, notice);
  }
}

// Takes over what is known of `row` since the last call, if its shard is open.
void DispatcherCore::ApplyNotice(TimePoint now,
                                 ShardKey key,
                                 const ServiceRow& service,
                                 const UpstreamRow& row) {
  const uint32_t open = this->shards.Find(key);
  const uint32_t place =
      open != kNoRow ? PlaceOf(this->shards.at(open), row.handle) : kNoRow;
  if (place == kNoRow) {
    return;
  }
  ShardState& shard = this->shards.at(open);
  UpstreamSlots& upstream = shard.upstreams[place];
  const NoticeTimes times =
      this->options.notices->Find(KeyOfIncarnation(service, row));
  const bool took_work = TakesWork(now, upstream);
  const bool rested = upstream.rest_until > now;
  upstream.leaving_until = times.leaving_until;
  upstream.rest_until =
      times.rest_until > now ? times.rest_until : upstream.rest_until;
  if (took_work && !TakesWork(now, upstream)) {
    this->RecordEvent(UpstreamEventKind::kDraining, shard, upstream);
    upstream.ramp_left = this->options.features.ramp ? kRampAnswers : 0;
  }
  if (!rested && upstream.rest_until > now) {
    this->RecordEvent(UpstreamEventKind::kResting, shard, upstream);
    this->emitted_events.back().rest = upstream.rest_until - now;
  }
  RecountSlots(now, shard);
}

void DispatcherCore::OnNoticeReports(
    TimePoint now,
    ShardKey key,
    const std::vector<UpstreamNoticeReport>& reports) {
  const ShardTable::InView found = this->shards.Locate(key);
  if (found.shard == nullptr || reports.empty()) {
    return;
  }
  for (const uint32_t position : found.shard->upstreams) {
    const UpstreamRow& upstream = found.service->upstreams[position];
    const uint64_t incarnation = KeyOfIncarnation(*found.service, upstream);
    const auto report = std::find_if(
        reports.begin(), reports.end(),
        [incarnation](const auto& r) { return r.upstream == incarnation; });
    if (report != reports.end()) {
      this->options.notices->Import(now, *found.service, upstream, *report);
      this->ApplyNotice(now, key, *found.service, upstream);
    }
  }
}

std::vector<UpstreamNoticeReport> DispatcherCore::NoticesOf(
    TimePoint now,
    ShardKey key) const {
  std::vector<UpstreamNoticeReport> reports;
  const uint32_t row = this->shards.Find(key);
  const ShardTable::InView found = this->shards.Locate(key);
  if (row == kNoRow || found.service == nullptr) {
    return reports;
  }
  for (const UpstreamSlots& slots : this->shards.at(row).upstreams) {
    const UpstreamRow* upstream =
        HasNotice(now, slots) ? FindUpstream(*found.service, slots.handle)
                              : nullptr;
    if (upstream == nullptr || reports.size() == limits::kMaxNoticeReports) {
      continue;
    }
    const UpstreamNoticeReport report = this->options.notices->MakeReport(
        now, KeyOfIncarnation(*found.service, *upstream));
    if (report.leaving || report.rest > Duration(0)) {
      reports.push_back(report);
    }
  }
  return reports;
}

void DispatcherCore::RecordEndedRests(TimePoint now, ShardState& shard) {
  for (UpstreamSlots& upstream : shard.upstreams) {
    if (upstream.rest_until != TimePoint() && upstream.rest_until <= now) {
      upstream.rest_until = TimePoint();
      this->RecordEvent(UpstreamEventKind::kRestEnded, shard, upstream);
    }
  }
}

void DispatcherCore::CountNoticeRefusals(TimePoint now,
                                         const ShardState& shard,
                                         uint64_t requests) {
  const bool any = std::any_of(shard.upstreams.begin(), shard.upstreams.end(),
                               [now](const UpstreamSlots& upstream) {
                                 return upstream.present && !upstream.leaving &&
                                        !upstream.drained &&
                                        HasNotice(now, upstream);
                               });
  this->counts.refused_for_notice += any ? requests : 0;
}

}  // namespace basilsill

#include <algorithm>

#include "dispatcher_core.h"
#include "upstream_choice.h"

namespace basilsill {
namespace {

// @returns the shard of `service` that has the upstream at `position`; nullptr
// if none has.
const ShardRow* FindShardOf(const ServiceRow& service, uint32_t position) {
  const auto found = std::find_if(
      service.shards.begin(), service.shards.end(),
      [position](const ShardRow& shard) {
        return std::find(shard.upstreams.begin(), shard.upstreams.end(),
                         position) != shard.upstreams.end();
      });
  return found == service.shards.end() ? nullptr : &*found;
}

UpstreamSlots* FindSlots(ShardState& shard, UpstreamHandle handle) {
  const auto found = std::find_if(
      shard.upstreams.begin(), shard.upstreams.end(),
      [handle](const UpstreamSlots& up) { return up.handle == handle; });
  return found == shard.upstreams.end() ? nullptr : &*found;
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
  const auto position = static_cast<uint32_t>(found - row->upstreams.data());
  const ShardRow* shard = FindShardOf(*row, position);
  const uint32_t open =
      shard != nullptr ? this->shards.Find(shard->key) : kNoRow;
  if (open == kNoRow) {
    return;
  }
  if (UpstreamSlots* slots = FindSlots(this->shards.at(open), upstream)) {
    this->ApplyNotice(now, this->shards.at(open),
                      KeyOfIncarnation(*row, *found), *slots);
  }
}

// As OnNotice, for an attempt of `shard`.
void DispatcherCore::RecordNotice(TimePoint now,
                                  ShardState& shard,
                                  UpstreamHandle upstream,
                                  const UpstreamNotice& notice) {
  const ShardTable::InView found = this->shards.Locate(shard.key);
  if (notice.any() && found.service != nullptr) {
    this->OnNotice(now, found.service->handle, upstream, notice);
  }
}

// Takes over what is known of the upstream since the last call.
void DispatcherCore::ApplyNotice(TimePoint now,
                                 ShardState& shard,
                                 uint64_t incarnation,
                                 UpstreamSlots& upstream) {
  const NoticeTimes times = this->options.notices->Find(incarnation);
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
  const uint32_t row = this->shards.Find(key);
  for (const uint32_t position : found.shard->upstreams) {
    const UpstreamRow& upstream = found.service->upstreams[position];
    const uint64_t incarnation = KeyOfIncarnation(*found.service, upstream);
    const auto report = std::find_if(
        reports.begin(), reports.end(),
        [incarnation](const auto& r) { return r.upstream == incarnation; });
    if (report == reports.end()) {
      continue;
    }
    this->options.notices->Import(now, *found.service, upstream, *report);
    UpstreamSlots* slots =
        row != kNoRow ? FindSlots(this->shards.at(row), upstream.handle)
                      : nullptr;
    if (slots != nullptr) {
      this->ApplyNotice(now, this->shards.at(row), incarnation, *slots);
    }
  }
}

std::vector<UpstreamNoticeReport> DispatcherCore::NoticesOf(
    TimePoint now,
    ShardKey key) const {
  std::vector<UpstreamNoticeReport> reports;
  if (this->options.notices->empty()) {
    return reports;
  }
  const ShardTable::InView found = this->shards.Locate(key);
  if (found.shard == nullptr) {
    return reports;
  }
  for (const uint32_t position : found.shard->upstreams) {
    const UpstreamNoticeReport report = this->options.notices->MakeReport(
        now,
        KeyOfIncarnation(*found.service, found.service->upstreams[position]));
    const bool says_any = report.leaving || report.rest > Duration(0);
    if (says_any && reports.size() < limits::kMaxNoticeReports) {
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
  const bool any = std::any_of(
      shard.upstreams.begin(), shard.upstreams.end(),
      [now](const UpstreamSlots& upstream) {
        return upstream.present && !upstream.leaving && !upstream.drained &&
               (upstream.leaving_until > now || upstream.rest_until > now);
      });
  this->counts.refused_for_notice += any ? requests : 0;
}

}  // namespace basilsill

#include "shard_table.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

#include <xxhash.h>

#include "upstream_choice.h"

namespace basilsill {
namespace {

// Initial capacity of a ring, in lanes.
constexpr size_t kRingReserve = 16;

// Adds the upstreams of `before` that have restarted in `after`.
void CollectSuperseded(const ServiceRow& before,
                       const ServiceRow& after,
                       std::vector<UpstreamHandle>& superseded) {
  std::map<std::string_view, std::chrono::milliseconds> starts;
  for (const UpstreamIncarnation& incarnation : after.incarnations) {
    starts[incarnation.id] = incarnation.started;
  }
  for (size_t i = 0; i < before.incarnations.size(); ++i) {
    const auto now = starts.find(before.incarnations[i].id);
    if (now != starts.end() && now->second > before.incarnations[i].started) {
      superseded.push_back(before.upstreams[i].handle);
    }
  }
}

// @returns the upstreams of the view `before` that have restarted in `after`.
std::vector<UpstreamHandle> FindSuperseded(const RoutingView* before,
                                           const RoutingView& after) {
  std::vector<UpstreamHandle> superseded;
  for (size_t i = 0; before != nullptr && i < before->services.size(); ++i) {
    const auto& row = before->services[i];
    const ServiceRow* next =
        row != nullptr ? FindService(after, row->handle) : nullptr;
    if (next != nullptr && next != row.get()) {
      CollectSuperseded(*row, *next, superseded);
    }
  }
  return superseded;
}

void MarkSuperseded(ShardState& shard,
                    const std::vector<UpstreamHandle>& superseded) {
  if (superseded.empty()) {
    return;
  }
  for (UpstreamSlots& upstream : shard.upstreams) {
    const bool has_died = std::find(superseded.begin(), superseded.end(),
                                    upstream.handle) != superseded.end();
    upstream.superseded |= has_died;
    shard.any_superseded |= has_died && upstream.busy > 0;
  }
}

// Updates the share of the upstream at `index`.
// @returns its quota, or nullptr if its service has no limit on cold upstreams.
ColdQuota* RefreshQuota(ShardState& shard,
                        size_t index,
                        const ColdStartLimits& cold) {
  const uint32_t share = ColdShareOf(cold);
  if (share == 0) {
    shard.cold_quotas.clear();
    return nullptr;
  }
  if (index >= shard.cold_quotas.size()) {
    shard.cold_quotas.resize(index + 1);
  }
  shard.cold_quotas[index].SetShare(share);
  return &shard.cold_quotas[index];
}

}  // namespace

ShardTable::ShardTable(ShardTableOptions options)
    : options(std::move(options)) {
  this->shards.reserve(this->options.capacity);
}

void ShardTable::ApplyView(TimePoint now, const RoutingViewPtr& view) {
  this->NoteVms(now, *view);
  if (this->SameServices(*view)) {
    this->current = view;
    return;
  }
  const std::vector<UpstreamHandle> superseded =
      FindSuperseded(this->current.get(), *view);
  this->current = view;
  this->options.notices->ApplyView(now, *view);
  this->IndexView();
  for (ShardState& shard : this->shards) {
    if (shard.in_use) {
      MarkSuperseded(shard, superseded);
      this->Refresh(now, shard, false);
    }
  }
}

// Records when the VMs changed last. As the owners of a shard depend on
// the VMs alone, they are unchanged for as long, even for a shard created
// later.
void ShardTable::NoteVms(TimePoint now, const RoutingView& next) {
  const bool is_same =
      this->current != nullptr &&
      std::equal(next.vms.begin(), next.vms.end(), this->current->vms.begin(),
                 this->current->vms.end(), [](const VmRow& a, const VmRow& b) {
                   return a.handle == b.handle && a.state == b.state;
                 });
  this->same_vms_since = is_same ? this->same_vms_since : now;
}

bool ShardTable::SameServices(const RoutingView& next) const {
  return this->current != nullptr && this->current->services == next.services;
}

void ShardTable::IndexView() {
  this->places.clear();
  for (uint32_t s = 0; s < this->current->services.size(); ++s) {
    const ServiceRow* service = this->current->services[s].get();
    for (uint32_t i = 0; service != nullptr && i < service->shards.size();
         ++i) {
      this->places[service->shards[i].key] = {s, i};
    }
  }
}

uint32_t ShardTable::Find(ShardKey key) const {
  const auto found = this->rows.find(key);
  return found == this->rows.end() ? kNoRow : found->second;
}

ShardTable::InView ShardTable::Locate(ShardKey key) const {
  const auto found = this->places.find(key);
  if (found == this->places.end()) {
    return {};
  }
  const ServiceRow& service = *this->current->services[found->second.service];
  return {&service, &service.shards[found->second.shard]};
}

uint32_t ShardTable::Open(TimePoint now, ShardKey key) {
  const uint32_t known = this->Find(key);
  if (known != kNoRow || !this->places.contains(key)) {
    return known;
  }
  const uint32_t row = this->TakeRow();
  if (row == kNoRow) {
    return kNoRow;
  }
  ShardState& shard = this->shards[row];
  // Monitors are limited in number, so that of the former shard stays here.
  std::unique_ptr<ShedMonitor> sheds = std::move(shard.sheds);
  shard = ShardState();
  shard.sheds = std::move(sheds);
  if (shard.sheds) {
    shard.sheds->End();
  }
  shard.key = key;
  shard.serial = this->next_serial++;
  shard.in_use = true;
  if (this->options.count_repeats) {
    shard.repeats = std::make_unique<RepeatBudget>();
  }
  for (Ring& ring : shard.rings) {
    ring.lanes.Reserve(kRingReserve);
  }
  this->rows[key] = row;
  this->Refresh(now, shard, true);
  return row;
}

uint32_t ShardTable::TakeRow() {
  if (this->shards.size() < this->options.capacity) {
    this->shards.emplace_back();
    return static_cast<uint32_t>(this->shards.size() - 1);
  }
  uint32_t oldest = kNoRow;
  for (uint32_t i = 0; i < this->shards.size(); ++i) {
    const ShardState& shard = this->shards[i];
    const bool idle = shard.queued + shard.busy + shard.suspects_queued == 0;
    if (idle && (oldest == kNoRow ||
                 shard.last_used < this->shards[oldest].last_used)) {
      oldest = i;
    }
  }
  if (oldest != kNoRow) {
    this->rows.erase(this->shards[oldest].key);
  }
  return oldest;
}

void ShardTable::Refresh(TimePoint now, ShardState& shard, bool fresh) {
  for (UpstreamSlots& upstream : shard.upstreams) {
    upstream.present = false;
  }
  const InView found = this->Locate(shard.key);
  if (found.shard != nullptr) {
    const ServiceRow& service = *found.service;
    const ShardRow& row = *found.shard;
    shard.can_be_queried = !service.health_path.empty();
    shard.reports_cold = shard.can_be_queried && this->options.cold_is_reported;
    const bool is_first = !row.contested && !row.owners.empty() &&
                          row.owners.front() == this->current->self;
    const TimePoint since = fresh ? this->same_vms_since : now;
    shard.first_since = is_first ? std::min(shard.first_since, since) : kNever;
    shard.siblings = static_cast<uint32_t>(service.shards.size());
    shard.upstreams.reserve(row.upstreams.size());
    for (const uint32_t position : row.upstreams) {
      this->RefreshUpstream(now, shard, service, service.upstreams[position],
                            fresh);
    }
    shard.speeds.resize(shard.can_be_queried ? shard.upstreams.size() : 0);
    if (shard.sheds) {
      shard.sheds->Resize(shard.upstreams.size());
    }
  }
  RecountSlots(now, shard);
}

void ShardTable::RefreshUpstream(TimePoint now,
                                 ShardState& shard,
                                 const ServiceRow& service,
                                 const UpstreamRow& row,
                                 bool fresh) {
  auto& known = shard.upstreams;
  auto place = std::find_if(
      known.begin(), known.end(),
      [&row](const UpstreamSlots& up) { return up.handle == row.handle; });
  const bool is_new = place == known.end();
  if (is_new) {
    place =
        std::find_if(known.begin(), known.end(), [](const UpstreamSlots& up) {
          return !up.present && up.busy == 0 && !up.isolated;
        });
    if (place == known.end()) {
      place = known.emplace(known.end());
    }
    *place = UpstreamSlots();
  }
  const auto index = static_cast<size_t>(place - known.begin());
  if (is_new) {
    std::erase_if(shard.rate_limited, [index](const auto& limited) {
      return limited.place == index;
    });
    if (index < shard.speeds.size()) {
      shard.speeds[index] = ReportedSpeed();
    }
    if (shard.sheds) {
      shard.sheds->Forget(static_cast<uint32_t>(index));
    }
    place->handle = row.handle;
    place->key = KeyOf(row.endpoint);
    // Upstreams that exist when the shard is opened are assumed to be warm.
    // Only those that appear later are assumed to have just started.
    place->ramp_left = this->options.ramp && !fresh ? kRampAnswers : 0;
  }
  const bool was_out = place->leaving || place->drained;
  if (was_out && !row.leaving && !row.drained) {
    MarkReturned(now, *place, this->options.ramp);
  }
  const bool may_be_cold = is_new ? !fresh : was_out;
  if (ColdQuota* quota = RefreshQuota(shard, index, service.cold)) {
    if (is_new) {
      quota->BeginDispatch(now);
    }
    if (may_be_cold) {
      quota->AssumeCold(now + service.cold.time);
    }
  }
  this->RefreshNotice(now, service, row, *place);
  place->present = true;
  place->leaving = row.leaving;
  place->cold = row.cold;
  place->drained = row.drained;
  place->slots = row.slots;
}

// Failure: a VM stops dispatching a shard and takes it again, or a view changes
// the shard, and the VM has forgotten which upstreams leave or rest.
void ShardTable::RefreshNotice(TimePoint now,
                               const ServiceRow& service,
                               const UpstreamRow& row,
                               UpstreamSlots& upstream) {
  if (this->options.notices->empty()) {
    return;
  }
  const uint64_t incarnation = KeyOfIncarnation(service, row);
  this->options.notices->Rebind(incarnation, service.handle, row.handle);
  const NoticeTimes times = this->options.notices->Find(incarnation);
  upstream.leaving_until = times.leaving_until;
  if (times.rest_until > now) {
    upstream.rest_until = times.rest_until;
  }
}

}  // namespace basilsill

#include "basilsill/decision/upstream_registry.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "basilsill/base/limits.h"

namespace basilsill {
namespace {

// Number of ids whose latest start is remembered: twice the number of upstreams
// that an installation may have.
constexpr size_t kMaxKnownStarts = 2 * limits::kMaxUpstreams;

// Number of removals that are remembered: more than a store loses that comes
// back from a copy some seconds old.
constexpr size_t kMaxKnownRemovals = 4096;

bool HasStartTime(const RegisteredUpstream& entry) {
  return entry.started > std::chrono::milliseconds(0);
}

}  // namespace

UpstreamRegistry::UpstreamRegistry(const RegistryOptions& options)
    : options(options) {}

EntryResult UpstreamRegistry::OnEntry(TimePoint now,
                                      LogPosition position,
                                      RegisteredUpstream entry) {
  if (this->listing) {
    this->listed.insert(entry.id);
  }
  if (this->IsOlderStart(entry) ||
      this->IsOlderThanRemoval(position, entry.id)) {
    return EntryResult::kOutdated;
  }
  const auto known = this->entries.find(entry.id);
  if (known != this->entries.end() && !HasStartTime(entry)) {
    entry.started = known->second.entry.started;
  }
  if (known != this->entries.end() && position < known->second.position) {
    return EntryResult::kOutdated;
  }
  this->RecordStart(entry);
  const bool starts_again = known != this->entries.end() &&
                            entry.started != known->second.entry.started;
  // A later start inherits nothing from the earlier one: neither leaving, nor a
  // deferred removal, nor the cold period.
  if (starts_again) {
    this->RemoveRow(known);
  }
  const auto [place, is_new] = this->entries.try_emplace(entry.id);
  Row& row = place->second;
  const TimePoint warm_at = now + entry.cold_for;
  const bool cold = entry.cold_for > std::chrono::milliseconds(0);
  // Renewals differ only in the remaining cold period, which must not count as
  // a change.
  entry.cold_for = std::chrono::milliseconds(0);
  const bool changed = is_new || cold != row.cold || !(entry == row.entry);
  const bool had_pending_removal = row.removal_pending;
  const bool begins_to_leave = entry.leaving && (is_new || !row.entry.leaving);
  const bool moved = !is_new && !(entry.endpoint == row.entry.endpoint);
  if (!is_new && changed) {
    this->MarkSetChanged(row);
  }
  if (moved) {
    this->RemoveFromEndpoint(entry.id, row.entry.endpoint);
  }
  row.entry = std::move(entry);
  row.position = position;
  row.cold = cold;
  row.warm_at = warm_at;
  row.removal_pending = false;
  if (changed) {
    this->MarkSetChanged(row);
  }
  this->AddToEndpoint(row.entry.id, row.entry.endpoint);
  if (is_new) {
    this->AddTransition(starts_again ? UpstreamTransitionKind::kStartedAgain
                                     : UpstreamTransitionKind::kListed,
                        row);
  }
  if (had_pending_removal) {
    this->AddTransition(UpstreamTransitionKind::kListedAgain, row);
  }
  if (begins_to_leave) {
    this->AddTransition(UpstreamTransitionKind::kLeaving, row);
  }
  return changed || had_pending_removal ? EntryResult::kNew
                                        : EntryResult::kRenewal;
}

void UpstreamRegistry::OnUnreadable(std::string_view id) {
  if (this->listing) {
    this->listed.emplace(id);
  }
}

// Failure: the last entry of a start that died arrives after that of the next
// start, because the store carries out a write late or another VM forwards it.
// If it were applied, the upstream would get the address and the leaving state
// of the dead start, and so no work, or work at an address where nothing
// listens.
bool UpstreamRegistry::IsOlderStart(const RegisteredUpstream& entry) const {
  const auto latest = this->latest_starts.find(entry.id);
  return HasStartTime(entry) && latest != this->latest_starts.end() &&
         entry.started < latest->second;
}

// Starts are remembered even after the entry is removed; otherwise a late entry
// of an earlier start would list the upstream again. The number is bounded: the
// id that was recorded first is evicted.
void UpstreamRegistry::RecordStart(const RegisteredUpstream& entry) {
  if (!HasStartTime(entry)) {
    return;
  }
  const auto [place, is_new] =
      this->latest_starts.insert_or_assign(entry.id, entry.started);
  if (!is_new) {
    return;
  }
  this->starts_in_order.push_back(entry.id);
  if (this->starts_in_order.size() > kMaxKnownStarts) {
    this->latest_starts.erase(this->starts_in_order.front());
    this->starts_in_order.pop_front();
  }
}

// Failure: the store is restored from a copy in which an upstream that has left
// is still listed. It would be listed again and get requests. So the position
// of a removal is kept, and only a later record lists the id again.
bool UpstreamRegistry::IsOlderThanRemoval(LogPosition position,
                                          std::string_view id) const {
  const auto removal = this->removals.find(id);
  return removal != this->removals.end() && position < removal->second;
}

// The number is bounded: the id that was recorded first is evicted.
void UpstreamRegistry::RecordRemoval(LogPosition position,
                                     std::string_view id) {
  const auto [place, is_new] =
      this->removals.try_emplace(std::string(id), position);
  if (!is_new) {
    place->second = std::max(place->second, position);
    return;
  }
  this->removals_in_order.push_back(place->first);
  if (this->removals_in_order.size() > kMaxKnownRemovals) {
    this->removals.erase(this->removals_in_order.front());
    this->removals_in_order.pop_front();
  }
}

void UpstreamRegistry::RemoveRow(Rows::iterator row) {
  this->MarkSetChanged(row->second);
  this->RemoveFromEndpoint(row->first, row->second.entry.endpoint);
  this->entries.erase(row);
}

void UpstreamRegistry::AddTransition(UpstreamTransitionKind transition_kind,
                                     const Row& row) {
  if (this->first_listing_done) {
    this->transitions.push_back({transition_kind, row.entry.id,
                                 row.entry.service, row.entry.endpoint,
                                 row.position});
  }
}

std::vector<UpstreamTransition> UpstreamRegistry::TakeTransitions() {
  return std::exchange(this->transitions, {});
}

void UpstreamRegistry::OnRemoved(TimePoint now,
                                 LogPosition position,
                                 std::string_view id) {
  const auto found = this->entries.find(id);
  if (found != this->entries.end() && position < found->second.position) {
    return;
  }
  this->RecordRemoval(position, id);
  if (found == this->entries.end()) {
    return;
  }
  found->second.position = position;
  // The entry of an upstream that announced that it is leaving has not merely
  // expired, so its removal is not deferred.
  if (this->DefersRemovals(now) && !found->second.entry.leaving) {
    if (!found->second.removal_pending) {
      this->AddTransition(UpstreamTransitionKind::kRemovalDeferred,
                          found->second);
    }
    found->second.removal_pending = true;
    return;
  }
  this->Erase(id);
}

void UpstreamRegistry::BeginListing() {
  this->listing = true;
  this->listed.clear();
}

// A second EndListing has no effect. It happens if another VM sent the whole
// topic, which ended the listing, while this VM's own listing was in flight.
void UpstreamRegistry::EndListing(TimePoint now) {
  if (!std::exchange(this->listing, false)) {
    return;
  }
  std::vector<std::string> missing;
  for (const auto& [id, row] : this->entries) {
    if (!this->listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    this->OnRemoved(now, this->entries.find(id)->second.position, id);
  }
  this->first_listing_done = true;
}

void UpstreamRegistry::OnPlatformLost() {
  this->platform_lost = true;
}

void UpstreamRegistry::OnPlatformBack(TimePoint now) {
  if (this->platform_lost) {
    this->platform_lost = false;
    this->defer_removals_until = now + this->options.restore_time;
  }
}

void UpstreamRegistry::OnPlatformRestored(TimePoint now) {
  this->defer_removals_until =
      std::max(this->defer_removals_until, now + this->options.restore_time);
}

bool UpstreamRegistry::DefersRemovals(TimePoint now) const {
  return this->platform_lost || now < this->defer_removals_until;
}

void UpstreamRegistry::Tick(TimePoint now) {
  std::vector<std::string> gone;
  for (auto& [id, row] : this->entries) {
    if (row.cold && row.warm_at <= now) {
      row.cold = false;
      this->MarkSetChanged(row);
    }
    if (row.removal_pending && !this->DefersRemovals(now)) {
      gone.push_back(id);
    }
  }
  for (const std::string& id : gone) {
    this->Erase(id);
  }
}

void UpstreamRegistry::Erase(std::string_view id) {
  const auto found = this->entries.find(id);
  this->AddTransition(UpstreamTransitionKind::kGone, found->second);
  this->RemoveRow(found);
}

// Records that the entry `id` is at `endpoint`; it may be recorded already.
void UpstreamRegistry::AddToEndpoint(const std::string& id,
                                     const Endpoint& endpoint) {
  std::set<std::string>& ids = this->ids_by_endpoint[ToString(endpoint)];
  ids.insert(id);
  this->MarkShadowed(ids);
}

void UpstreamRegistry::RemoveFromEndpoint(const std::string& id,
                                          const Endpoint& endpoint) {
  const auto found = this->ids_by_endpoint.find(ToString(endpoint));
  found->second.erase(id);
  if (found->second.empty()) {
    this->ids_by_endpoint.erase(found);
    return;
  }
  this->MarkShadowed(found->second);
}

// The platform may reuse the address of a terminated instance before the old
// entry is removed. A request for the old upstream would be rejected there.
// Renewals count too: of two entries with one address the one that is still
// renewed is the live one, in whatever order they arrive, so that all VMs reach
// the same result.
void UpstreamRegistry::MarkShadowed(const std::set<std::string>& ids) {
  LogPosition newest;
  for (const std::string& id : ids) {
    newest = std::max(newest, this->entries.find(id)->second.position);
  }
  for (const std::string& id : ids) {
    Row& row = this->entries.find(id)->second;
    const bool shadowed = row.position < newest;
    if (shadowed != row.shadowed) {
      row.shadowed = shadowed;
      this->MarkSetChanged(row);
    }
  }
}

std::set<UpstreamSetKey> UpstreamRegistry::TakeChangedSets() {
  return std::exchange(this->changed_sets, {});
}

void UpstreamRegistry::MarkSetChanged(const Row& row) {
  ++this->changes;
  this->changed_sets.insert({row.entry.service, row.entry.data_centre});
}

}  // namespace basilsill

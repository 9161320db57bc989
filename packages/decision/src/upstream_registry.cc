#include "basilsill/decision/upstream_registry.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "basilsill/base/limits.h"

namespace basilsill {
namespace {

// Starts that are remembered; more than an installation has upstreams, and
// twice over.
constexpr size_t kMaxKnownStarts = 2 * limits::kMaxUpstreams;

bool TellsStart(const RegisteredUpstream& entry) {
  return entry.started > std::chrono::milliseconds(0);
}

}  // namespace

UpstreamRegistry::UpstreamRegistry(const RegistryOptions& options)
    : options(options) {}

EntryResult UpstreamRegistry::OnEntry(TimePoint now,
                                      uint64_t offset,
                                      RegisteredUpstream entry) {
  if (this->listing) {
    this->listed.insert(entry.id);
  }
  if (this->IsOlderStart(entry)) {
    return EntryResult::kOutdated;
  }
  const auto known = this->entries.find(entry.id);
  if (known != this->entries.end() && !TellsStart(entry)) {
    entry.started = known->second.entry.started;
  }
  if (known != this->entries.end() && offset < known->second.offset) {
    return EntryResult::kOutdated;
  }
  this->NoteStart(entry);
  const bool starts_again = known != this->entries.end() &&
                            entry.started != known->second.entry.started;
  // Nothing of the older start holds for the younger one: neither that it
  // leaves nor that its entry lapsed nor how long it is cold.
  if (starts_again) {
    this->TakeOut(known);
  }
  const auto [place, is_new] = this->entries.try_emplace(entry.id);
  Row& row = place->second;
  const TimePoint warm_at = now + entry.cold_for;
  const bool cold = entry.cold_for > std::chrono::milliseconds(0);
  // Renewals say the same again, but for how long it stays cold.
  entry.cold_for = std::chrono::milliseconds(0);
  const bool changed = is_new || cold != row.cold || !(entry == row.entry);
  const bool had_lapsed = row.lapsed;
  const bool begins_to_leave = entry.leaving && (is_new || !row.entry.leaving);
  const bool moved = !is_new && !(entry.endpoint == row.entry.endpoint);
  if (!is_new && changed) {
    this->Touch(row);
  }
  if (moved) {
    this->LeaveEndpoint(entry.id, row.entry.endpoint);
  }
  row.entry = std::move(entry);
  row.offset = offset;
  row.cold = cold;
  row.warm_at = warm_at;
  row.lapsed = false;
  if (changed) {
    this->Touch(row);
  }
  this->Place(row.entry.id, row.entry.endpoint);
  if (is_new) {
    this->AddNews(starts_again ? UpstreamTransitionKind::kStartedAgain
                               : UpstreamTransitionKind::kListed,
                  row);
  }
  if (had_lapsed) {
    this->AddNews(UpstreamTransitionKind::kBack, row);
  }
  if (begins_to_leave) {
    this->AddNews(UpstreamTransitionKind::kLeaving, row);
  }
  return changed || had_lapsed ? EntryResult::kNew : EntryResult::kRenewal;
}

void UpstreamRegistry::OnUnreadable(std::string_view id) {
  if (this->listing) {
    this->listed.emplace(id);
  }
}

// Failure: the last words of a start that died arrive after those of the next
// one, from a store that carries a write out late or by way of another VM.
// Taken, they would put its address and its leaving in the place of the
// younger one's. It shows as an upstream that gets no work, or work at an
// address where nobody is.
bool UpstreamRegistry::IsOlderStart(const RegisteredUpstream& entry) const {
  const auto youngest = this->youngest_starts.find(entry.id);
  return TellsStart(entry) && youngest != this->youngest_starts.end() &&
         entry.started < youngest->second;
}

// Kept also when the entry has gone, or the words of an older start would list
// it anew. Bounded: one that is dropped was the longest without a start.
void UpstreamRegistry::NoteStart(const RegisteredUpstream& entry) {
  if (!TellsStart(entry)) {
    return;
  }
  const auto [place, is_new] =
      this->youngest_starts.insert_or_assign(entry.id, entry.started);
  if (!is_new) {
    return;
  }
  this->starts_in_order.push_back(entry.id);
  if (this->starts_in_order.size() > kMaxKnownStarts) {
    this->youngest_starts.erase(this->starts_in_order.front());
    this->starts_in_order.pop_front();
  }
}

void UpstreamRegistry::TakeOut(Rows::iterator row) {
  this->Touch(row->second);
  this->LeaveEndpoint(row->first, row->second.entry.endpoint);
  this->entries.erase(row);
}

void UpstreamRegistry::AddNews(UpstreamTransitionKind transition_kind,
                               const Row& row) {
  if (this->was_listed) {
    this->news.push_back({transition_kind, row.entry.id, row.entry.service,
                          row.entry.endpoint, row.offset});
  }
}

std::vector<UpstreamTransition> UpstreamRegistry::TakeNews() {
  return std::exchange(this->news, {});
}

void UpstreamRegistry::OnRemoved(TimePoint now,
                                 uint64_t offset,
                                 std::string_view id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end() || offset < found->second.offset) {
    return;
  }
  found->second.offset = offset;
  // One that said that it leaves has not merely lapsed.
  if (this->Doubts(now) && !found->second.entry.leaving) {
    if (!found->second.lapsed) {
      this->AddNews(UpstreamTransitionKind::kDoubted, found->second);
    }
    found->second.lapsed = true;
    return;
  }
  this->Erase(id);
}

void UpstreamRegistry::BeginListing() {
  this->listing = true;
  this->listed.clear();
}

// One that has ended already, as when another VM told the whole topic while
// this VM's own list was on its way, takes nothing away again.
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
    this->OnRemoved(now, this->entries.find(id)->second.offset, id);
  }
  this->was_listed = true;
}

void UpstreamRegistry::OnPlatformLost() {
  this->platform_lost = true;
}

void UpstreamRegistry::OnPlatformBack(TimePoint now) {
  if (this->platform_lost) {
    this->platform_lost = false;
    this->doubt_until = now + this->options.restore_time;
  }
}

bool UpstreamRegistry::Doubts(TimePoint now) const {
  return this->platform_lost || now < this->doubt_until;
}

void UpstreamRegistry::Tick(TimePoint now) {
  std::vector<std::string> gone;
  for (auto& [id, row] : this->entries) {
    if (row.cold && row.warm_at <= now) {
      row.cold = false;
      this->Touch(row);
    }
    if (row.lapsed && !this->Doubts(now)) {
      gone.push_back(id);
    }
  }
  for (const std::string& id : gone) {
    this->Erase(id);
  }
}

void UpstreamRegistry::Erase(std::string_view id) {
  const auto found = this->entries.find(id);
  this->AddNews(UpstreamTransitionKind::kGone, found->second);
  this->TakeOut(found);
}

// The entry `id` is at `endpoint`, newly or still.
void UpstreamRegistry::Place(const std::string& id, const Endpoint& endpoint) {
  std::set<std::string>& ids = this->at_endpoint[ToString(endpoint)];
  ids.insert(id);
  this->MarkShadowed(ids);
}

void UpstreamRegistry::LeaveEndpoint(const std::string& id,
                                     const Endpoint& endpoint) {
  const auto found = this->at_endpoint.find(ToString(endpoint));
  found->second.erase(id);
  if (found->second.empty()) {
    this->at_endpoint.erase(found);
    return;
  }
  this->MarkShadowed(found->second);
}

// The platform gives the address of an instance that has ended to another one,
// whose entry can come before the old one's removal. A request sent there for
// the old one would only be turned away. Renewals count too: of two that claim
// an address the one that goes on claiming it is there, whatever came in which
// order, so that all VMs come to the same.
void UpstreamRegistry::MarkShadowed(const std::set<std::string>& ids) {
  uint64_t newest = 0;
  for (const std::string& id : ids) {
    newest = std::max(newest, this->entries.find(id)->second.offset);
  }
  for (const std::string& id : ids) {
    Row& row = this->entries.find(id)->second;
    const bool shadowed = row.offset < newest;
    if (shadowed != row.shadowed) {
      row.shadowed = shadowed;
      this->Touch(row);
    }
  }
}

std::set<UpstreamSetKey> UpstreamRegistry::TakeTouched() {
  return std::exchange(this->touched, {});
}

void UpstreamRegistry::Touch(const Row& row) {
  ++this->changes;
  this->touched.insert({row.entry.service, row.entry.data_centre});
}

}  // namespace basilsill

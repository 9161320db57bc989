#include "basilsill/decision/upstream_registry.h"

#include <utility>
#include <vector>

namespace basilsill {

UpstreamRegistry::UpstreamRegistry(const RegistryOptions& options)
    : options(options) {}

bool UpstreamRegistry::OnEntry(TimePoint now,
                               uint64_t offset,
                               RegisteredUpstream entry) {
  if (this->listing) {
    this->listed.insert(entry.id);
  }
  const auto [place, is_new] = this->entries.try_emplace(entry.id);
  Row& row = place->second;
  if (!is_new && offset < row.offset) {
    return false;
  }
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
    this->Displace(entry.id, row.entry.endpoint);
  }
  row.entry = std::move(entry);
  row.offset = offset;
  row.cold = cold;
  row.warm_at = warm_at;
  row.lapsed = false;
  if (changed) {
    this->Touch(row);
  }
  if (is_new || moved) {
    this->Place(row.entry.id, row.entry.endpoint);
  }
  if (is_new) {
    this->AddNews(UpstreamBelief::kListed, row);
  }
  if (had_lapsed) {
    this->AddNews(UpstreamBelief::kBack, row);
  }
  if (begins_to_leave) {
    this->AddNews(UpstreamBelief::kLeaving, row);
  }
  return changed || had_lapsed;
}

void UpstreamRegistry::AddNews(UpstreamBelief belief, const Row& row) {
  if (this->was_listed) {
    this->news.push_back({belief, row.entry.id, row.entry.service,
                          row.entry.endpoint, row.offset});
  }
}

std::vector<UpstreamNews> UpstreamRegistry::TakeNews() {
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
      this->AddNews(UpstreamBelief::kDoubted, found->second);
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

void UpstreamRegistry::EndListing(TimePoint now) {
  this->listing = false;
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
  this->AddNews(UpstreamBelief::kGone, found->second);
  this->Touch(found->second);
  this->Displace(found->first, found->second.entry.endpoint);
  this->entries.erase(found);
}

void UpstreamRegistry::Place(const std::string& id, const Endpoint& endpoint) {
  std::set<std::string>& ids = this->at_endpoint[ToString(endpoint)];
  ids.insert(id);
  this->MarkShadowed(ids);
}

void UpstreamRegistry::Displace(const std::string& id,
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
// the old one would only be turned away.
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

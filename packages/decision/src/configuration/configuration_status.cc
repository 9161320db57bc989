#include "basilsill/decision/configuration_status.h"

#include <algorithm>

namespace basilsill {

void InForceTable::SetVms(const std::vector<VmRow>& vms) {
  this->rows.resize(vms.size());
  for (size_t i = 0; i < vms.size(); ++i) {
    const VmRow& vm = vms[i];
    Row& row = this->rows[i];
    // A different handle at this index means another VM, or a restarted one
    // that may have applied less than before.
    if (row.vm != vm.handle) {
      row = {vm.handle, false, {}};
    }
    row.counts = IsValid(vm.handle) && vm.state != VmState::kLeaving;
  }
}

void InForceTable::OnApplied(VmHandle vm, uint64_t applied) {
  if (vm.index >= this->rows.size() || this->rows[vm.index].vm != vm) {
    return;
  }
  std::optional<uint64_t>& known = this->rows[vm.index].applied;
  known = std::max(known.value_or(0), applied);
}

std::optional<uint64_t> InForceTable::everywhere() const {
  std::optional<uint64_t> lowest;
  for (const Row& row : this->rows) {
    if (!row.counts) {
      continue;
    }
    if (!row.applied) {
      return std::nullopt;
    }
    lowest = std::min(lowest.value_or(*row.applied), *row.applied);
  }
  return lowest;
}

InForceStatus InForceTable::StatusOf(uint64_t version) const {
  InForceStatus status;
  for (const Row& row : this->rows) {
    if (!row.counts) {
      continue;
    }
    const bool is_in_force = row.applied && *row.applied > version;
    (is_in_force ? status.on : status.waiting).push_back(row.vm);
  }
  status.everywhere = status.waiting.empty() && !status.on.empty();
  return status;
}

void ChangeFeed::OnFollow(const FollowResult& result,
                          const ConfigurationState& state) {
  if (result.state_replaced) {
    // Changes were skipped. A watcher that continued would never receive them.
    this->events.clear();
    this->begin = result.outcomes.empty() ? state.next_offset()
                                          : result.outcomes.front().offset;
  }
  for (const RecordOutcome& outcome : result.outcomes) {
    if (outcome.verdict != RecordVerdict::kAccepted) {
      continue;
    }
    this->events.push_back({outcome.offset, outcome.resource, outcome.body});
    if (this->events.size() > limits::kMaxWatchEvents) {
      this->begin = this->events.front().offset + 1;
      this->events.pop_front();
    }
  }
  this->end = state.next_offset();
}

WatchPage ChangeFeed::Read(uint64_t from, size_t max) const {
  WatchPage page;
  if (from < this->begin) {
    page.must_restart = true;
    page.next = this->end;
    return page;
  }
  if (from > this->end) {
    // The watcher comes from a VM that has read further. A restart would show
    // it states older than it has seen.
    page.next = from;
    return page;
  }
  auto event = std::lower_bound(
      this->events.begin(), this->events.end(), from,
      [](const WatchEvent& a, uint64_t offset) { return a.offset < offset; });
  while (event != this->events.end() && page.events.size() < max) {
    page.events.push_back(*event);
    ++event;
  }
  page.next = event == this->events.end() ? this->end : event->offset;
  return page;
}

}  // namespace basilsill

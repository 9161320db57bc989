#include "basilsill/ctl/platform_state.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace basilsill::ctl {
namespace {

/// The capacity of the token bucket is the number of appends that the rate
/// allows in this time, and at least 1.
constexpr std::chrono::duration<double> kBurst = std::chrono::milliseconds(100);

}  // namespace

uint64_t LogStream::Append(std::vector<std::string> bodies) {
  const uint64_t offset = this->Bounds().end;
  std::move(bodies.begin(), bodies.end(), std::back_inserter(this->records));
  return offset;
}

void LogStream::Trim(size_t retention) {
  while (this->records.size() > retention) {
    this->records.pop_front();
    ++this->first;
  }
}

StreamBounds LogStream::Bounds() const {
  return {this->first, this->first + this->records.size()};
}

const std::string& LogStream::At(uint64_t offset) const {
  return this->records.at(offset - this->first);
}

VmTable::VmTable() {
  this->versions.push_back({0, TimePoint::min(), {}});
}

void VmTable::Put(ListedVm vm, TimePoint now) {
  auto vms = this->versions.back().vms;
  const std::string name = vm.name;
  vms[name] = std::move(vm);
  this->AddVersion(std::move(vms), now);
}

bool VmTable::Remove(const std::string& name, TimePoint now) {
  auto vms = this->versions.back().vms;
  if (vms.erase(name) == 0) {
    return false;
  }
  this->AddVersion(std::move(vms), now);
  return true;
}

const VmTable::Version& VmTable::At(TimePoint when) const {
  const auto newer = std::find_if(
      this->versions.begin() + 1, this->versions.end(),
      [when](const Version& version) { return version.since > when; });
  return *std::prev(newer);
}

std::optional<TimePoint> VmTable::TimeOfChangeAfter(uint64_t number) const {
  const auto next = std::find_if(
      this->versions.begin(), this->versions.end(),
      [number](const Version& version) { return version.number > number; });
  return next == this->versions.end() ? std::nullopt
                                      : std::optional(next->since);
}

void VmTable::AddVersion(std::map<std::string, ListedVm> vms, TimePoint now) {
  const uint64_t number = this->versions.back().number + 1;
  this->versions.push_back({number, now, std::move(vms)});
  if (this->versions.size() > kVersionsKept) {
    this->versions.pop_front();
  }
}

bool AppendRateLimiter::Allow(uint64_t per_second, TimePoint now) {
  if (per_second == 0) {
    this->refilled_at.reset();
    return true;
  }
  const auto rate = static_cast<double>(per_second);
  const double capacity = std::max(1.0, rate * kBurst.count());
  if (!this->refilled_at) {
    this->tokens = capacity;
  } else {
    const std::chrono::duration<double> passed = now - *this->refilled_at;
    this->tokens = std::min(capacity, this->tokens + passed.count() * rate);
  }
  this->refilled_at = now;
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

AppendOutcome Append(PlatformState& state,
                     const std::string& stream,
                     std::vector<std::string> bodies,
                     TimePoint now,
                     uint64_t& first) {
  PlatformStats& stats = state.stats;
  ++stats.append_calls;
  if (state.faults.down) {
    ++stats.append_refusals;
    return AppendOutcome::kDown;
  }
  if (!state.append_rate_limiter.Allow(state.faults.appends_per_second, now)) {
    ++stats.append_refusals;
    return AppendOutcome::kRateLimited;
  }
  for (const std::string& body : bodies) {
    ++stats.append_records;
    stats.append_bytes += body.size();
  }
  LogStream& log = state.streams[stream];
  first = log.Append(std::move(bodies));
  log.Trim(state.faults.retention_records);
  if (state.faults.drop_answers > 0) {
    --state.faults.drop_answers;
    ++stats.dropped_answers;
    return AppendOutcome::kDropped;
  }
  return AppendOutcome::kAnswered;
}

void SetFaults(PlatformState& state, const PlatformFaults& faults) {
  state.faults = faults;
  for (auto& [name, stream] : state.streams) {
    stream.Trim(faults.retention_records);
  }
}

}  // namespace basilsill::ctl

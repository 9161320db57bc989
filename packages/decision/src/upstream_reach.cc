#include "basilsill/decision/upstream_reach.h"

#include <algorithm>
#include <utility>

namespace basilsill {
namespace {

// Upstreams of a data centre that must fail in a row, if it has so many.
constexpr size_t kEvidence = 3;

// Failures that are further apart have nothing to do with each other.
constexpr Duration kMaxFailureGap = std::chrono::seconds(1);

// Pause between probes of a data centre that can't be reached, for up to
// kProbersPerPause VMs. Its random part keeps the VMs from probing in step.
constexpr Duration kProbePause = std::chrono::milliseconds(200);
constexpr uint32_t kProbersPerPause = 8;
constexpr uint32_t kJitterPercent = 50;

bool CanBeProbed(const UpstreamRow& row) {
  return !row.leaving && row.slots > 0;
}

bool Contains(const std::vector<UpstreamHandle>& all, UpstreamHandle upstream) {
  return std::find(all.begin(), all.end(), upstream) != all.end();
}

// @returns the number of VMs other than that of `view` that can't reach
// `data_centre`.
uint32_t CountOthersWithout(const RoutingView& view,
                            DataCentreHandle data_centre) {
  return static_cast<uint32_t>(
      std::count_if(view.vms.begin(), view.vms.end(), [&](const VmRow& vm) {
        return IsValid(vm.handle) && vm.handle != view.self &&
               vm.state == VmState::kLive && !Reaches(vm, data_centre);
      }));
}

}  // namespace

std::unique_ptr<UpstreamReach> UpstreamReach::Create(uint64_t seed) {
  return std::unique_ptr<UpstreamReach>(new UpstreamReach(seed));
}

UpstreamReach::DataCentreState& UpstreamReach::StateOf(
    DataCentreHandle data_centre) {
  if (data_centre.index >= this->states.size()) {
    this->states.resize(data_centre.index + 1);
  }
  return this->states[data_centre.index];
}

void UpstreamReach::ApplyView(TimePoint now, const RoutingViewPtr& new_view) {
  this->view = new_view;
  for (uint32_t index = 0; index < this->states.size(); ++index) {
    DataCentreState& state = this->states[index];
    if (state.unreachable_since == kNever) {
      continue;
    }
    const uint32_t before = std::exchange(
        state.other_vms, CountOthersWithout(*new_view, {index, 0}));
    if (state.other_vms < before) {
      state.probe_at = std::min(state.probe_at, now);
    }
  }
}

std::vector<UpstreamHandle> UpstreamReach::CandidatesIn(
    DataCentreHandle data_centre) const {
  std::vector<UpstreamHandle> candidates;
  for (const auto& service : this->view->services) {
    if (!service) {
      continue;
    }
    for (const UpstreamRow& row : service->upstreams) {
      if (row.data_centre == data_centre && CanBeProbed(row)) {
        candidates.push_back(row.handle);
      }
    }
  }
  return candidates;
}

void UpstreamReach::OnConnect(TimePoint now,
                              DataCentreHandle data_centre,
                              UpstreamHandle upstream,
                              bool connected) {
  if (!this->view || !IsValid(data_centre)) {
    return;
  }
  if (connected) {
    this->OnConnected(now, data_centre);
  } else {
    this->OnFailed(now, data_centre, upstream);
  }
}

void UpstreamReach::OnConnected(TimePoint now, DataCentreHandle data_centre) {
  DataCentreState& state = this->StateOf(data_centre);
  state.failed.clear();
  const TimePoint since = std::exchange(state.unreachable_since, kNever);
  if (since != kNever) {
    this->events.push_back(
        {ReachEventKind::kReachable, data_centre, 0, now - since});
  }
}

// After the first failure, probes of other upstreams tell soon whether it was
// the upstream or the path. Upstreams that leave close their ports, so their
// failures say nothing.
void UpstreamReach::OnFailed(TimePoint now,
                             DataCentreHandle data_centre,
                             UpstreamHandle upstream) {
  DataCentreState& state = this->StateOf(data_centre);
  if (state.unreachable_since != kNever) {
    return;
  }
  std::vector<UpstreamHandle> candidates = this->CandidatesIn(data_centre);
  if (!Contains(candidates, upstream)) {
    return;
  }
  if (now - state.failed_at > kMaxFailureGap) {
    state.failed.clear();
  }
  state.failed_at = now;
  if (!Contains(state.failed, upstream)) {
    state.failed.push_back(upstream);
  }
  if (state.failed.size() >= std::min(kEvidence, candidates.size())) {
    this->SetUnreachable(now, data_centre);
  } else if (state.failed.size() == 1) {
    this->ProbeOthers(state, std::move(candidates));
  }
}

void UpstreamReach::SetUnreachable(TimePoint now,
                                   DataCentreHandle data_centre) {
  DataCentreState& state = this->StateOf(data_centre);
  state.unreachable_since = now;
  state.other_vms = CountOthersWithout(*this->view, data_centre);
  state.probe_at = now + this->ProbePause(state);
  this->events.push_back({ReachEventKind::kUnreachable, data_centre,
                          state.failed.size(), Duration(0)});
}

void UpstreamReach::ProbeOthers(const DataCentreState& state,
                                std::vector<UpstreamHandle> candidates) {
  std::erase(candidates, state.failed.front());
  for (size_t i = 1; i < kEvidence && !candidates.empty(); ++i) {
    const uint32_t place =
        this->random(static_cast<uint32_t>(candidates.size()));
    this->probes.push_back(candidates[place]);
    candidates.erase(candidates.begin() + place);
  }
}

Duration UpstreamReach::ProbePause(const DataCentreState& state) {
  const uint32_t factor = 1 + state.other_vms / kProbersPerPause;
  const uint32_t percent =
      100 - kJitterPercent / 2 + this->random(kJitterPercent + 1);
  return kProbePause * factor * percent / 100;
}

void UpstreamReach::Tick(TimePoint now) {
  for (uint32_t index = 0; index < this->states.size(); ++index) {
    DataCentreState& state = this->states[index];
    if (state.unreachable_since == kNever || now < state.probe_at) {
      continue;
    }
    state.probe_at = now + this->ProbePause(state);
    const std::vector<UpstreamHandle> candidates =
        this->CandidatesIn({index, 0});
    if (!candidates.empty()) {
      this->probes.push_back(
          candidates[this->random(static_cast<uint32_t>(candidates.size()))]);
    }
  }
}

bool UpstreamReach::IsUnreachable(DataCentreHandle data_centre) const {
  return data_centre.index < this->states.size() &&
         this->states[data_centre.index].unreachable_since != kNever;
}

std::vector<DataCentreHandle> UpstreamReach::Unreachable() const {
  std::vector<DataCentreHandle> unreachable;
  for (uint32_t index = 0; index < this->states.size(); ++index) {
    if (this->states[index].unreachable_since != kNever) {
      unreachable.push_back({index, 0});
    }
  }
  return unreachable;
}

std::vector<UpstreamHandle> UpstreamReach::TakeProbes() {
  return std::exchange(this->probes, {});
}

std::vector<ReachEvent> UpstreamReach::TakeEvents() {
  return std::exchange(this->events, {});
}

}  // namespace basilsill

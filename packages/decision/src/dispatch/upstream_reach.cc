#include "basilsill/decision/upstream_reach.h"

#include <algorithm>
#include <utility>

namespace basilsill {
namespace {

// Upstreams of a data centre, and services, that must fail in a row, if it has
// so many.
constexpr size_t kUpstreamEvidence = 3;
// With fewer upstreams, a lost path can't be told from one that is down.
constexpr size_t kMinUpstreams = 2;
constexpr size_t kServiceEvidence = 4;

// Failures that are further apart have nothing to do with each other.
constexpr Duration kMaxFailureGap = std::chrono::seconds(1);

// Pause between probes of a data centre that can't be reached, for up to
// kProbersPerPause VMs. Its random part keeps the VMs from probing in step.
constexpr Duration kProbePause = std::chrono::milliseconds(200);
constexpr uint32_t kProbersPerPause = 8;
constexpr uint32_t kJitterPercent = 50;

// Pause between checks whether a path is lost. It doubles up to the maximum
// while checks find that it is not.
//
// Failure: a VM can't connect to some upstreams of a data centre for long. Each
// check fails in part and causes the next one, and the VM does nothing else.
constexpr Duration kMinCheckPause = std::chrono::milliseconds(500);
constexpr Duration kMaxCheckPause = std::chrono::seconds(8);

bool CanBeProbed(const UpstreamRow& row) {
  return !row.leaving && row.slots > 0;
}

// Adds `service` unless `services` has it or is full.
// @returns true if it was added.
bool AddService(std::vector<ServiceHandle>& services, ServiceHandle service) {
  const bool is_known =
      std::find(services.begin(), services.end(), service) != services.end();
  if (is_known || services.size() == kServiceEvidence) {
    return false;
  }
  services.push_back(service);
  return true;
}

// @returns the number of different services, at most kServiceEvidence.
template <typename Candidates>
size_t CountServices(const Candidates& candidates) {
  std::vector<ServiceHandle> services;
  for (const auto& candidate : candidates) {
    AddService(services, candidate.service);
    if (services.size() == kServiceEvidence) {
      break;
    }
  }
  return services.size();
}

template <typename Candidates>
auto FindCandidate(const Candidates& candidates, UpstreamHandle upstream) {
  return std::find_if(candidates.begin(), candidates.end(),
                      [upstream](const auto& candidate) {
                        return candidate.upstream == upstream;
                      });
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

// @returns true if the VM of `view` is an owner of a shard in `data_centre`.
bool OwnsShardIn(const RoutingView& view, DataCentreHandle data_centre) {
  const auto is_own = [&](const ShardRow& shard) {
    return shard.data_centre == data_centre &&
           std::find(shard.owners.begin(), shard.owners.end(), view.self) !=
               shard.owners.end();
  };
  return std::any_of(
      view.services.begin(), view.services.end(), [&](const auto& service) {
        return service && std::any_of(service->shards.begin(),
                                      service->shards.end(), is_own);
      });
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
  for (const DataCentreRow& row : new_view->data_centres) {
    DataCentreState& state = this->StateOf(row.handle);
    const uint32_t before = std::exchange(
        state.other_vms, CountOthersWithout(*new_view, row.handle));
    if (state.unreachable_since == kNever) {
      if (state.other_vms > before) {
        this->CheckPath(now, row.handle);
      }
    } else if (state.other_vms < before) {
      state.probe_at = std::min(state.probe_at, now);
    }
  }
}

// A VM that takes over a shard from one that has lost its path may have lost
// its own without knowing, since it had nothing to send.
void UpstreamReach::CheckPath(TimePoint now, DataCentreHandle data_centre) {
  if (!OwnsShardIn(*this->view, data_centre)) {
    return;
  }
  const std::vector<Candidate>& candidates = this->CandidatesIn(data_centre);
  if (candidates.empty() || !TakeCheck(now, this->StateOf(data_centre))) {
    return;
  }
  const auto count = static_cast<uint32_t>(candidates.size());
  const Candidate first = candidates[this->random(count)];
  this->probes.push_back(first.upstream);
  this->ProbeOthers(first, candidates);
}

const std::vector<UpstreamReach::Candidate>& UpstreamReach::CandidatesIn(
    DataCentreHandle data_centre) {
  DataCentreState& state = this->StateOf(data_centre);
  if (state.candidates_version == this->view->version) {
    return state.candidates;
  }
  state.candidates_version = this->view->version;
  state.candidates.clear();
  for (const auto& service : this->view->services) {
    if (!service) {
      continue;
    }
    for (const UpstreamRow& row : service->upstreams) {
      if (row.data_centre == data_centre && CanBeProbed(row)) {
        state.candidates.push_back({row.handle, service->handle});
      }
    }
  }
  return state.candidates;
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
  const std::vector<Candidate>& candidates = this->CandidatesIn(data_centre);
  const auto candidate = FindCandidate(candidates, upstream);
  if (candidate == candidates.end()) {
    return;
  }
  if (now - state.failed_at > kMaxFailureGap) {
    state.failed.clear();
  }
  state.failed_at = now;
  if (FindCandidate(state.failed, upstream) == state.failed.end()) {
    state.failed.push_back(*candidate);
  }
  if (IsEvidence(state.failed, candidates)) {
    this->SetUnreachable(now, data_centre);
  } else if (TakeCheck(now, state)) {
    this->ProbeOthers(state.failed.front(), candidates);
  }
}

bool UpstreamReach::IsEvidence(const std::vector<Candidate>& failed,
                               const std::vector<Candidate>& candidates) {
  const size_t needed =
      std::clamp(candidates.size(), kMinUpstreams, kUpstreamEvidence);
  return failed.size() >= needed &&
         CountServices(failed) >= CountServices(candidates);
}

bool UpstreamReach::TakeCheck(TimePoint now, DataCentreState& state) {
  if (now < state.next_check) {
    return false;
  }
  const bool is_recent = now < state.next_check + kMaxCheckPause;
  const Duration before = is_recent ? state.check_pause : Duration(0);
  state.check_pause = std::clamp(2 * before, kMinCheckPause, kMaxCheckPause);
  state.next_check = now + state.check_pause;
  return true;
}

void UpstreamReach::SetUnreachable(TimePoint now,
                                   DataCentreHandle data_centre) {
  DataCentreState& state = this->StateOf(data_centre);
  state.unreachable_since = now;
  state.check_pause = Duration(0);
  state.other_vms = CountOthersWithout(*this->view, data_centre);
  state.probe_at = now + this->ProbePause(state);
  this->events.push_back({ReachEventKind::kUnreachable, data_centre,
                          state.failed.size(), Duration(0)});
}

// Draws one upstream of each of some other services, and further ones of the
// same service if there are too few.
void UpstreamReach::ProbeOthers(const Candidate& failed,
                                const std::vector<Candidate>& candidates) {
  std::vector<Candidate> shuffled = candidates;
  std::shuffle(shuffled.begin(), shuffled.end(), this->random);
  std::vector<ServiceHandle> services = {failed.service};
  std::vector<UpstreamHandle> drawn;
  std::vector<UpstreamHandle> others;
  for (const Candidate& candidate : shuffled) {
    if (AddService(services, candidate.service)) {
      drawn.push_back(candidate.upstream);
    } else if (candidate.upstream != failed.upstream) {
      others.push_back(candidate.upstream);
    }
  }
  while (drawn.size() + 1 < kUpstreamEvidence && !others.empty()) {
    drawn.push_back(others.back());
    others.pop_back();
  }
  this->probes.insert(this->probes.end(), drawn.begin(), drawn.end());
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
    const std::vector<Candidate>& candidates = this->CandidatesIn({index, 0});
    if (!candidates.empty()) {
      const auto count = static_cast<uint32_t>(candidates.size());
      this->probes.push_back(candidates[this->random(count)].upstream);
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

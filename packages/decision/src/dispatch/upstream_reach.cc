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

// A probe without a result after this time counts as failed.
constexpr Duration kLateProbe = std::chrono::milliseconds(30);

// Failures that are further apart have nothing to do with each other.
constexpr Duration kMaxFailureGap = std::chrono::seconds(1);

// Pause between probes of a data centre that can't be reached, for up to
// kProbersPerPause VMs. Its random part keeps the VMs from probing in step.
constexpr Duration kProbePause = std::chrono::milliseconds(200);
constexpr uint32_t kProbersPerPause = 8;
constexpr uint32_t kJitterPercent = 50;
constexpr uint32_t kPercent = 100;

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

// @returns for each data centre the number of VMs other than that of `view`
// that can't reach it, by index of the handle. If it is lost, these are all.
std::vector<uint32_t> CountOthersWithout(const RoutingView& view) {
  std::vector<uint32_t> counts(view.data_centres.size());
  uint32_t live = 0;
  for (const VmRow& vm : view.vms) {
    if (!IsValid(vm.handle) || vm.handle == view.self ||
        vm.state != VmState::kLive) {
      continue;
    }
    ++live;
    for (const DataCentreHandle data_centre : vm.unreachable) {
      counts.at(data_centre.index) += 1;
    }
  }
  for (const DataCentreRow& row : view.data_centres) {
    uint32_t& count = counts.at(row.handle.index);
    count = row.lost ? live : count;
  }
  return counts;
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
  const std::vector<uint32_t> others = CountOthersWithout(*new_view);
  for (const DataCentreRow& row : new_view->data_centres) {
    DataCentreState& state = this->StateOf(row.handle);
    const uint32_t before =
        std::exchange(state.other_vms, others[row.handle.index]);
    if (row.lost != state.lost) {
      this->ApplyLoss(now, state, row.lost);
    }
    if (state.unreachable_since == kNever) {
      // An owner may have lost its path without knowing, since it had nothing
      // to send.
      if (state.other_vms > before && OwnsShardIn(*new_view, row.handle)) {
        this->CheckPath(now, row.handle);
      }
    } else if (state.other_vms < before) {
      state.probe_at = std::min(state.probe_at, now);
    }
  }
}

// Failure: all VMs that have reported the loss of a data centre have lost their
// own paths. The one that reaches it has nothing to send there, so it never
// finds out, and the data centre stays lost. So all VMs probe a lost data
// centre.
void UpstreamReach::ApplyLoss(TimePoint now,
                              DataCentreState& state,
                              bool is_lost) {
  state.lost = is_lost;
  if (is_lost) {
    // The VMs begin at the same time, so they spread over the whole pause.
    state.probe_at =
        now + this->ProbePause(state) * this->random(kPercent) / kPercent;
  } else {
    state.returned_at = now;
    state.failed.clear();
    state.probe_at = state.unreachable_since == kNever ? kNever : now;
  }
}

void UpstreamReach::SetDoubts(TimePoint now, const PathDoubts& doubts) {
  if (!this->view) {
    return;
  }
  for (uint32_t index = 0; index < this->states.size(); ++index) {
    const DataCentreHandle data_centre{index, 0};
    DataCentreState& state = this->states[index];
    state.doubted = std::find(doubts.doubted.begin(), doubts.doubted.end(),
                              data_centre) != doubts.doubted.end();
    state.confirmed &= state.doubted;
  }
  for (const DataCentreHandle data_centre : doubts.check) {
    if (!this->IsUnreachable(data_centre)) {
      this->CheckPath(now, data_centre);
    }
  }
}

void UpstreamReach::CheckPath(TimePoint now, DataCentreHandle data_centre) {
  const std::vector<Candidate>& candidates = this->CandidatesIn(data_centre);
  if (candidates.empty() || !TakeCheck(now, this->StateOf(data_centre))) {
    return;
  }
  const auto count = static_cast<uint32_t>(candidates.size());
  const Candidate first = candidates[this->random(count)];
  this->AddProbe(now, first);
  this->ProbeOthers(now, first, candidates);
}

// A VM that has lost one data centre may have lost all its paths. What it
// reports should tell that soon.
void UpstreamReach::CheckOtherPaths(TimePoint now, DataCentreHandle lost) {
  for (const DataCentreRow& row : this->view->data_centres) {
    if (row.handle != lost && !this->IsUnreachable(row.handle)) {
      this->CheckPath(now, row.handle);
    }
  }
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
        state.candidates.push_back({row.handle, service->handle, data_centre});
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
  const bool is_stale = TakePending(this->StateOf(data_centre), upstream);
  if (connected) {
    this->OnConnected(now, data_centre);
  } else if (!is_stale) {
    this->OnFailed(now, data_centre, upstream);
  }
}

// Failure: a data centre is back, and probes that began before fail after that.
// The VM takes its path for lost.
// @returns true if the connection was a probe of a data centre that has
// returned since.
bool UpstreamReach::TakePending(DataCentreState& state,
                                UpstreamHandle upstream) {
  const auto found = std::find_if(
      state.pending.begin(), state.pending.end(),
      [upstream](const Probe& probe) { return probe.upstream == upstream; });
  if (found == state.pending.end()) {
    return false;
  }
  const bool is_stale = found->at <= state.returned_at;
  state.pending.erase(found);
  return is_stale;
}

void UpstreamReach::OnConnected(TimePoint now, DataCentreHandle data_centre) {
  DataCentreState& state = this->StateOf(data_centre);
  state.failed.clear();
  const TimePoint since = std::exchange(state.unreachable_since, kNever);
  state.probe_at = state.lost ? state.probe_at : kNever;
  const bool was_confirmed = std::exchange(state.confirmed, state.doubted);
  if (since != kNever) {
    this->events.push_back(
        {ReachEventKind::kReachable, data_centre, 0, now - since});
  } else if (state.confirmed && !was_confirmed) {
    this->events.push_back({ReachEventKind::kConfirmed, data_centre});
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
    this->ProbeOthers(now, state.failed.front(), candidates);
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
  state.confirmed = false;
  state.probe_at = now + this->ProbePause(state);
  this->events.push_back({ReachEventKind::kUnreachable, data_centre,
                          state.failed.size(), Duration(0)});
  this->CheckOtherPaths(now, data_centre);
}

// Draws one upstream of each of some other services, and further ones of the
// same service if there are too few.
void UpstreamReach::ProbeOthers(TimePoint now,
                                const Candidate& failed,
                                const std::vector<Candidate>& candidates) {
  std::vector<Candidate> shuffled = candidates;
  std::shuffle(shuffled.begin(), shuffled.end(), this->random);
  std::vector<ServiceHandle> services = {failed.service};
  std::vector<Candidate> drawn;
  std::vector<Candidate> others;
  for (const Candidate& candidate : shuffled) {
    if (AddService(services, candidate.service)) {
      drawn.push_back(candidate);
    } else if (candidate.upstream != failed.upstream) {
      others.push_back(candidate);
    }
  }
  while (drawn.size() + 1 < kUpstreamEvidence && !others.empty()) {
    drawn.push_back(others.back());
    others.pop_back();
  }
  for (const Candidate& candidate : drawn) {
    this->AddProbe(now, candidate);
  }
}

void UpstreamReach::AddProbe(TimePoint now, const Candidate& candidate) {
  this->probes.push_back(candidate.upstream);
  this->StateOf(candidate.data_centre)
      .pending.push_back({candidate.upstream, now});
}

// A connection is opened within a round trip. One that takes much longer fails
// most likely, though only the connect timeout ends it.
//
// Failure: the upstreams of a data centre don't answer. Requests wait for two
// connect timeouts, one of the first connection and one of the probes, before
// they move to another data centre.
void UpstreamReach::CountLateProbes(TimePoint now,
                                    DataCentreHandle data_centre) {
  DataCentreState& state = this->StateOf(data_centre);
  if (state.pending.empty() || now < state.pending.front().at + kLateProbe) {
    return;
  }
  const bool is_doubtful =
      !state.failed.empty() || state.doubted || state.other_vms > 0;
  std::vector<UpstreamHandle> late;
  for (Probe& probe : state.pending) {
    const bool is_late = now >= probe.at + kLateProbe;
    if (is_late && probe.at > state.returned_at && !probe.is_counted) {
      probe.is_counted = true;
      late.push_back(probe.upstream);
    }
  }
  std::erase_if(state.pending, [now](const Probe& probe) {
    return now >= probe.at + kMaxFailureGap;
  });
  for (size_t i = 0; is_doubtful && i < late.size(); ++i) {
    this->OnFailed(now, data_centre, late[i]);
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
    this->CountLateProbes(now, {index, 0});
    DataCentreState& state = this->states[index];
    if (now < state.probe_at) {
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

PathReport UpstreamReach::Report() const {
  PathReport report;
  report.unreachable = this->Unreachable();
  for (uint32_t index = 0; index < this->states.size(); ++index) {
    if (this->states[index].confirmed) {
      report.reached.push_back({index, 0});
    }
  }
  return report;
}

std::vector<UpstreamHandle> UpstreamReach::TakeProbes() {
  return std::exchange(this->probes, {});
}

std::vector<ReachEvent> UpstreamReach::TakeEvents() {
  return std::exchange(this->events, {});
}

}  // namespace basilsill

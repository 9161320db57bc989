#include "quota_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace basilsill {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kTick{10};
constexpr milliseconds kStoreTime{4};
constexpr milliseconds kCallTimeout{1200};
// Time until the other VMs have noticed that a VM is gone or back.
constexpr milliseconds kDetectionDelay{500};
// Callers whose connection fails come back after this time and a random part of
// it.
constexpr milliseconds kReturnPause{300};

// Odd, so that products stay unique.
constexpr uint64_t kScatter = 0x9E3779B97F4A7C15;
// A message between a caller and a VM takes this long.
constexpr milliseconds kCallerDelay{8};
constexpr size_t kMaxAttempts = 3;

double Uniform(pcg64& random) {
  return std::ldexp(static_cast<double>(random() >> 11), -53);
}

std::string TeamName(size_t team) {
  return "team-" + std::to_string(team);
}

}  // namespace

QuotaSimulation::QuotaSimulation(const QuotaSimulationOptions& given)
    : options(given),
      random(given.seed),
      shares(given.data_centres),
      past_shares(given.data_centres),
      admitted(given.teams.size()),
      refused(given.teams.size()),
      sent(given.teams.size()),
      exhausted(given.teams.size()) {
  const size_t count =
      given.data_centres * given.vms_per_data_centre + given.extra_vms;
  for (size_t i = 0; i < count; ++i) {
    Vm vm;
    vm.name = "vm-" + std::to_string(i);
    vm.data_centre = i % given.data_centres;
    vm.clock = std::chrono::seconds(1 + this->random() % 100000);
    vm.speed = 0.995 + 0.01 * Uniform(this->random);
    this->vms.push_back(std::move(vm));
  }
  for (size_t i = 0; i < this->vms.size(); ++i) {
    this->Start(i);
  }
  this->ApplyViews();
}

void QuotaSimulation::ScheduleAt(Duration at, std::function<void()> run) {
  this->events.push({at, ++this->last_event, std::move(run)});
}

void QuotaSimulation::ScheduleAfter(Duration delay, std::function<void()> run) {
  this->ScheduleAt(this->time + delay, std::move(run));
}

void QuotaSimulation::Run(Duration length) {
  const Duration end = this->time + length;
  while (!this->events.empty() && this->events.top().at <= end) {
    const Event event = this->events.top();
    this->events.pop();
    this->time = event.at;
    event.run();
  }
  this->time = end;
}

LeaseTime QuotaSimulation::ClockOf(const Vm& vm) const {
  const auto passed = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(this->time) * vm.speed);
  return LeaseTime(vm.clock + passed);
}

Duration QuotaSimulation::NetworkDelay() {
  return microseconds(300 + this->random() % 2000);
}

void QuotaSimulation::RunOnVm(size_t index,
                              uint64_t process,
                              std::function<void()> run) {
  Vm& vm = this->vms[index];
  if (!vm.alive || vm.process != process) {
    return;
  }
  if (this->time < vm.frozen_until) {
    vm.deferred.push_back(std::move(run));
    return;
  }
  run();
}

void QuotaSimulation::Start(size_t index) {
  Vm& vm = this->vms[index];
  vm.alive = true;
  vm.process = ++this->processes;
  vm.deferred.clear();
  vm.waiting.clear();
  vm.waiting_callers.clear();
  vm.restore = StoreRestore();
  QuotaCoordinatorOptions coordinator_options;
  coordinator_options.vm = vm.name;
  // Wall clocks step, so the incarnations of a VM are in no order.
  coordinator_options.incarnation = vm.process * kScatter;
  coordinator_options.started = this->ClockOf(vm);
  coordinator_options.start_allowance = this->options.start_allowance;
  coordinator_options.data_centre = "dc-" + std::to_string(vm.data_centre);
  for (size_t i = 0; this->options.has_leases && i < this->shares.size(); ++i) {
    coordinator_options.shares.push_back("dc-" + std::to_string(i));
  }
  vm.coordinator.emplace(std::move(coordinator_options));
  vm.borrower.emplace();
  this->Tick(index, vm.process);
}

RoutingView QuotaSimulation::ViewOf(size_t self) const {
  RoutingView view;
  view.self = {static_cast<uint32_t>(self), 0};
  for (uint32_t i = 0; i < this->shares.size(); ++i) {
    view.data_centres.push_back({{i, 0}, "dc-" + std::to_string(i), false});
  }
  for (uint32_t i = 0; i < this->vms.size(); ++i) {
    const Vm& vm = this->vms[i];
    VmRow row;
    row.handle = {i, 0};
    row.name = vm.name;
    row.data_centre = {static_cast<uint32_t>(vm.data_centre), 0};
    const bool is_seen =
        i == self || (vm.alive && this->time >= vm.frozen_until &&
                      vm.partition == this->vms[self].partition);
    row.state = is_seen ? VmState::kLive : VmState::kSuspected;
    view.vms.push_back(std::move(row));
  }
  for (uint32_t i = 0; i < this->options.teams.size(); ++i) {
    view.teams.push_back({{i, 0}, TeamName(i), this->options.teams[i], {}});
  }
  return view;
}

void QuotaSimulation::ApplyViews() {
  for (size_t i = 0; i < this->vms.size(); ++i) {
    const uint64_t process = this->vms[i].process;
    this->RunOnVm(i, process, [this, i] {
      Vm& vm = this->vms[i];
      vm.coordinator->ApplyView(this->ClockOf(vm), this->ViewOf(i));
      this->Pump(i);
    });
  }
}

void QuotaSimulation::Tick(size_t index, uint64_t process) {
  this->RunOnVm(index, process, [this, index, process] {
    Vm& vm = this->vms[index];
    const LeaseTime now = this->ClockOf(vm);
    vm.coordinator->Tick(now);
    vm.borrower->Tick(now);
    this->Pump(index);
    this->ScheduleAfter(kTick,
                        [this, index, process] { this->Tick(index, process); });
  });
}

void QuotaSimulation::Pump(size_t index) {
  Vm& vm = this->vms[index];
  const LeaseTime now = this->ClockOf(vm);
  for (const QuotaDecision& decision : vm.borrower->TakeSettled()) {
    if (auto caller = vm.waiting_callers.extract(decision.ticket)) {
      this->Conclude(index, caller.mapped(), decision);
      continue;
    }
    const auto found = vm.waiting.find(decision.ticket);
    found->second(decision);
    vm.waiting.erase(found);
  }
  if (std::optional<QuotaRequest> request = vm.borrower->NextRequest(now)) {
    vm.coordinator->OnWorkerRequest(now, 0, *std::move(request));
  }
  this->CallStore(index, vm.coordinator->NextLeaseCall(now));
  for (std::vector<OutgoingQuotaMessage> messages_to_send =
           vm.coordinator->TakeOutgoing();
       !messages_to_send.empty();
       messages_to_send = vm.coordinator->TakeOutgoing()) {
    for (const OutgoingQuotaMessage& outgoing : messages_to_send) {
      this->Deliver(index, outgoing);
    }
  }
}

void QuotaSimulation::Deliver(size_t from,
                              const OutgoingQuotaMessage& outgoing) {
  Vm& sender = this->vms[from];
  if (!IsValid(outgoing.to.vm)) {
    const auto* answer = std::get_if<QuotaAnswer>(&outgoing.message);
    this->ScheduleAfter(
        Duration(0), [this, from, process = sender.process, answer = *answer] {
          this->RunOnVm(from, process, [this, from, answer] {
            Vm& vm = this->vms[from];
            vm.borrower->OnAnswer(this->ClockOf(vm), answer);
            this->Pump(from);
          });
        });
    return;
  }
  ++this->message_count;
  const size_t to = outgoing.to.vm.index;
  const Vm& receiver = this->vms[to];
  if (!receiver.alive || receiver.partition != sender.partition) {
    sender.coordinator->OnUnsent(this->ClockOf(sender), outgoing);
    return;
  }
  const VmHandle sender_handle{static_cast<uint32_t>(from), 0};
  this->ScheduleAfter(this->NetworkDelay(), [this, to, sender_handle,
                                             process = receiver.process,
                                             message = outgoing.message] {
    this->RunOnVm(to, process, [this, to, sender_handle, message] {
      Vm& vm = this->vms[to];
      const LeaseTime now = this->ClockOf(vm);
      if (const auto* request = std::get_if<QuotaRequest>(&message)) {
        vm.coordinator->OnRequest(now, sender_handle, *request);
      } else {
        vm.coordinator->OnAnswer(now, sender_handle,
                                 std::get<QuotaAnswer>(message));
      }
      this->Pump(to);
    });
  });
}

void QuotaSimulation::CallStore(size_t index, QuotaLeaseCall call) {
  if (call == QuotaLeaseCall::kNone) {
    return;
  }
  ++this->calls;
  const uint64_t process = this->vms[index].process;
  if (this->vms[index].store_cut) {
    this->ScheduleAfter(kStoreTime, [this, index, process] {
      this->RunOnVm(index, process, [this, index] {
        Vm& vm = this->vms[index];
        vm.coordinator->OnLeaseFailed(this->ClockOf(vm));
      });
    });
    return;
  }
  if (call == QuotaLeaseCall::kWrite) {
    this->WriteLease(index, process);
    return;
  }
  this->ScheduleAfter(kStoreTime, [this, index, process] {
    const Share share = this->shares[this->vms[index].coordinator->share()];
    this->ScheduleAfter(kStoreTime, [this, index, process, share] {
      this->RunOnVm(index, process,
                    [this, index, share] { this->OnLeaseRead(index, share); });
    });
  });
}

void QuotaSimulation::OnLeaseRead(size_t index, const Share& share) {
  Vm& vm = this->vms[index];
  const LeaseTime now = this->ClockOf(vm);
  if (vm.restore.OnEra(now, share.end.era) == EraResult::kOutdated) {
    vm.coordinator->OnLeaseFailed(now);
    return;
  }
  vm.coordinator->OnLeaseRead(now, share.record, share.end,
                              vm.restore.era_since());
}

void QuotaSimulation::OnLeaseWritten(size_t index,
                                     LogPosition end,
                                     bool fits,
                                     uint64_t era) {
  Vm& vm = this->vms[index];
  const LeaseTime now = this->ClockOf(vm);
  if (vm.restore.OnEra(now, era) == EraResult::kOutdated) {
    vm.coordinator->OnLeaseFailed(now);
  } else if (fits && end.era == era) {
    vm.coordinator->OnLeaseWritten(now, end + 1);
  } else {
    vm.coordinator->OnLeaseConflict(now);
  }
  this->Pump(index);
}

void QuotaSimulation::RestoreStore(Duration age) {
  for (size_t number = 0; number < this->shares.size(); ++number) {
    std::vector<PastShare>& past = this->past_shares[number];
    while (!past.empty() && past.back().since > this->time - age) {
      past.pop_back();
    }
    const uint64_t era = this->shares[number].end.era + 1;
    this->shares[number] = past.empty() ? Share{} : past.back().share;
    this->shares[number].end.era = era;
  }
}

void QuotaSimulation::WriteLease(size_t index, uint64_t process) {
  const QuotaCoordinator& coordinator = *this->vms[index].coordinator;
  const uint16_t number = coordinator.share();
  const LogPosition end = coordinator.lease().end();
  const QuotaLeaseRecord record = coordinator.lease().record();
  const bool is_lost = this->loses_store_answers && this->random() % 2 == 0;
  const Duration until_done =
      is_lost ? milliseconds(this->random() % 4000) : kStoreTime;
  this->ScheduleAfter(
      until_done, [this, index, process, number, end, record, is_lost] {
        Share& share = this->shares[number];
        const bool fits = share.end.offset == end.offset;
        if (fits) {
          share = {record, share.end + 1};
          this->past_shares[number].push_back({this->time, share});
        }
        if (is_lost) {
          return;
        }
        this->ScheduleAfter(
            kStoreTime, [this, index, process, fits, end, era = share.end.era] {
              this->RunOnVm(index, process, [this, index, fits, end, era] {
                this->OnLeaseWritten(index, end, fits, era);
              });
            });
      });
  if (is_lost) {
    this->ScheduleAfter(kCallTimeout, [this, index, process] {
      this->RunOnVm(index, process, [this, index] {
        Vm& vm = this->vms[index];
        vm.coordinator->OnLeaseFailed(this->ClockOf(vm));
      });
    });
  }
}

void QuotaSimulation::StartLoad(size_t team,
                                std::vector<size_t> at,
                                double per_second) {
  this->ScheduleNextArrival({team, std::move(at), per_second});
}

void QuotaSimulation::ScheduleNextArrival(const Source& source) {
  const double wait = -std::log(1 - Uniform(this->random)) / source.per_second;
  const auto pause =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
  this->ScheduleAfter(pause, [this, source] {
    this->ScheduleNextArrival(source);
    const size_t index = source.vms[this->random() % source.vms.size()];
    ++this->sent[source.team];
    this->RunOnVm(index, this->vms[index].process, [this, index, source] {
      Vm& vm = this->vms[index];
      const QuotaDecision decision = vm.borrower->Acquire(
          this->ClockOf(vm), MakeTeamKey(TeamName(source.team)));
      const auto settle = [this, index, source](const QuotaDecision& settled) {
        if (settled.verdict == QuotaVerdict::kGranted) {
          this->CountAdmission(index, source.team);
        } else {
          ++this->refused[source.team];
        }
      };
      if (decision.verdict == QuotaVerdict::kWait) {
        vm.waiting[decision.ticket] = settle;
        this->Pump(index);
      } else {
        settle(decision);
      }
    });
  });
}

size_t QuotaSimulation::StartCallers(CallerGroup group) {
  const size_t index = this->groups.size();
  this->groups.push_back(std::move(group));
  this->granted.push_back(0);
  this->caller_counts.emplace_back(this->shares.size());
  for (size_t i = 0; i < this->shares.size(); ++i) {
    this->ScheduleNextCaller(index, i);
  }
  return index;
}

void QuotaSimulation::ResetCallerCounts() {
  ++this->counts_number;
  for (std::vector<CallerCounts>& counts : this->caller_counts) {
    counts.assign(this->shares.size(), {});
  }
}

void QuotaSimulation::ScheduleNextCaller(size_t group, size_t data_centre) {
  const double rate = this->groups[group].per_second[data_centre];
  const std::chrono::duration<double> pause(
      -std::log(1 - Uniform(this->random)) / rate);
  this->ScheduleAfter(
      std::chrono::duration_cast<Duration>(pause), [this, group, data_centre] {
        this->ScheduleNextCaller(group, data_centre);
        Caller caller{group, data_centre, this->time, 0, this->counts_number};
        ++this->CountsFor(caller)->callers;
        this->Send(caller);
      });
}

CallerCounts* QuotaSimulation::CountsFor(const Caller& caller) {
  return caller.counts_number == this->counts_number
             ? &this->caller_counts[caller.group][caller.data_centre]
             : nullptr;
}

void QuotaSimulation::Send(Caller caller) {
  ++caller.attempts;
  if (CallerCounts* counts = this->CountsFor(caller)) {
    ++counts->attempts;
  }
  const std::vector<size_t> near = this->VmsOf(caller.data_centre);
  const size_t vm = near[this->random() % near.size()];
  const CallerGroup& group = this->groups[caller.group];
  Duration declared = caller.first_at + group.full_time - this->time;
  if (group.misstates) {
    declared = milliseconds(this->random() % 20000);
  }
  this->ScheduleAfter(kCallerDelay, [this, vm, caller, declared] {
    this->Attempt(vm, caller, declared);
  });
}

// The need of a request as its entry VM estimates it.
CreditNeed QuotaSimulation::NeedOf(Vm& vm,
                                   const Caller& caller,
                                   Duration declared) {
  const CallerGroup& group = this->groups[caller.group];
  const LeaseTime now = this->ClockOf(vm);
  const RuleHandle rule{group.rule, 0};
  const auto time = std::chrono::floor<milliseconds>(declared);
  const CallerAge::Estimate estimate = vm.caller_age.AgeOf(now, rule, time);
  vm.caller_age.Learn(now, rule, time);
  return MakeCreditNeed(
      {group.traffic_class, group.target, time, false, declared - kCallerDelay},
      estimate, vm.caller_age.WorkOf(rule));
}

void QuotaSimulation::Attempt(size_t index,
                              const Caller& caller,
                              Duration declared) {
  const size_t team = this->groups[caller.group].team;
  ++this->sent[team];
  this->RunOnVm(
      index, this->vms[index].process, [this, index, team, caller, declared] {
        Vm& vm = this->vms[index];
        const QuotaDecision decision =
            vm.borrower->Acquire(this->ClockOf(vm), MakeTeamKey(TeamName(team)),
                                 this->NeedOf(vm, caller, declared));
        if (decision.verdict != QuotaVerdict::kWait) {
          this->OnDecision(index, caller, decision);
          return;
        }
        vm.waiting[decision.ticket] = [this, index,
                                       caller](const QuotaDecision& settled) {
          this->OnDecision(index, caller, settled);
        };
        this->Pump(index);
      });
}

void QuotaSimulation::OnDecision(size_t index,
                                 const Caller& caller,
                                 const QuotaDecision& decision) {
  const CallerGroup& group = this->groups[caller.group];
  CallerCounts* counts = this->CountsFor(caller);
  if (decision.verdict == QuotaVerdict::kGranted) {
    this->CountAdmission(index, group.team);
    ++this->granted[caller.group];
    const RuleHandle rule{group.rule, 0};
    this->vms[index].caller_age.LearnWork(rule, group.work);
    const Duration answered = this->time + group.work + kCallerDelay;
    if (counts != nullptr) {
      ++(answered <= caller.first_at + group.target ? counts->in_time
                                                    : counts->late);
    }
    return;
  }
  ++this->refused[group.team];
  const Duration told_at = this->time + kCallerDelay;
  const Duration left = caller.first_at + group.full_time - told_at;
  if (caller.attempts >= kMaxAttempts || left <= Duration(0)) {
    if (counts != nullptr) {
      ++counts->refused;
    }
    return;
  }
  this->ScheduleAt(told_at + std::min<Duration>(decision.retry_after, left / 3),
                   [this, caller] { this->Send(caller); });
}

QuotaCounts QuotaSimulation::SumCounts() const {
  QuotaCounts sum;
  for (const Vm& vm : this->vms) {
    const QuotaCounts& counts = vm.borrower->counts();
    for (size_t i = 0; i < kTrafficClasses; ++i) {
      sum.classes[i].asked += counts.classes[i].asked;
      sum.classes[i].granted_in_time += counts.classes[i].granted_in_time;
      sum.classes[i].granted_late += counts.classes[i].granted_late;
      sum.classes[i].refused += counts.classes[i].refused;
      sum.classes[i].returned += counts.classes[i].returned;
    }
    sum.refused_unasked += counts.refused_unasked;
    sum.borrowed += counts.borrowed;
    sum.voided += counts.voided;
  }
  return sum;
}

double QuotaSimulation::SumOverflowed() const {
  double sum = 0;
  for (const Vm& vm : this->vms) {
    sum += vm.coordinator->overflowed();
  }
  return sum;
}

void QuotaSimulation::CountAdmission(size_t, size_t team) {
  this->admitted[team].push_back(this->time);
}

void QuotaSimulation::StartReturningLoad(size_t team,
                                         std::vector<size_t> at,
                                         double per_second) {
  this->ScheduleNextReturningCaller({team, std::move(at), per_second});
}

void QuotaSimulation::ScheduleNextReturningCaller(const Source& source) {
  const double wait = -std::log(1 - Uniform(this->random)) / source.per_second;
  const auto pause =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
  this->ScheduleAfter(pause, [this, source] {
    this->ScheduleNextReturningCaller(source);
    ++this->sent[source.team];
    this->Arrive({source.team, source.vms});
  });
}

void QuotaSimulation::Arrive(const ReturningCaller& caller) {
  const size_t index = caller.vms[this->random() % caller.vms.size()];
  Vm& vm = this->vms[index];
  if (!vm.alive) {
    this->ComeBack(caller, kReturnPause);
    return;
  }
  this->RunOnVm(index, vm.process, [this, index, caller] {
    Vm& entry = this->vms[index];
    const QuotaDecision decision = entry.borrower->Acquire(
        this->ClockOf(entry), MakeTeamKey(TeamName(caller.team)));
    if (decision.verdict == QuotaVerdict::kWait) {
      entry.waiting_callers[decision.ticket] = caller;
      this->Pump(index);
    } else {
      this->Conclude(index, caller, decision);
    }
  });
}

void QuotaSimulation::Conclude(size_t vm,
                               const ReturningCaller& caller,
                               const QuotaDecision& decision) {
  if (decision.verdict == QuotaVerdict::kGranted) {
    this->CountAdmission(vm, caller.team);
    return;
  }
  if (decision.verdict == QuotaVerdict::kExhausted) {
    this->exhausted[caller.team].push_back(this->time);
  }
  this->ComeBack(caller, decision.retry_after);
}

void QuotaSimulation::ComeBack(ReturningCaller caller, Duration pause) {
  if (caller.returns_left == 0) {
    ++this->refused[caller.team];
    return;
  }
  --caller.returns_left;
  const auto jitter = std::chrono::duration_cast<Duration>(
      Uniform(this->random) * std::chrono::duration<double>(kReturnPause));
  this->ScheduleAfter(pause + jitter, [this, caller] { this->Arrive(caller); });
}

void QuotaSimulation::Kill(size_t index, Duration down) {
  Vm& vm = this->vms[index];
  vm.alive = false;
  for (const auto& [ticket, caller] : std::exchange(vm.waiting_callers, {})) {
    this->ComeBack(caller, kReturnPause);
  }
  this->ScheduleAfter(down, [this, index] { this->Start(index); });
  this->ScheduleAfter(kDetectionDelay, [this] { this->ApplyViews(); });
  this->ScheduleAfter(down + kDetectionDelay, [this] { this->ApplyViews(); });
}

void QuotaSimulation::Freeze(size_t index, Duration length) {
  Vm& vm = this->vms[index];
  vm.frozen_until = std::max(vm.frozen_until, this->time + length);
  this->ScheduleAfter(length + microseconds(1), [this, index] {
    Vm& resumed = this->vms[index];
    if (this->time < resumed.frozen_until) {
      return;
    }
    for (const auto& run : std::exchange(resumed.deferred, {})) {
      run();
    }
  });
  this->ScheduleAfter(kDetectionDelay, [this] { this->ApplyViews(); });
  this->ScheduleAfter(length + kDetectionDelay, [this] { this->ApplyViews(); });
}

void QuotaSimulation::Partition(const std::vector<size_t>& isolated,
                                Duration length) {
  for (const size_t vm : isolated) {
    this->vms[vm].partition = 1;
  }
  this->ScheduleAfter(kDetectionDelay, [this] { this->ApplyViews(); });
  this->ScheduleAfter(length, [this, isolated] {
    for (const size_t vm : isolated) {
      this->vms[vm].partition = 0;
    }
  });
  this->ScheduleAfter(length + kDetectionDelay, [this] { this->ApplyViews(); });
}

void QuotaSimulation::CutStore(const std::vector<size_t>& isolated,
                               Duration length) {
  for (const size_t vm : isolated) {
    this->vms[vm].store_cut = true;
  }
  this->ScheduleAfter(length, [this, isolated] {
    for (const size_t vm : isolated) {
      this->vms[vm].store_cut = false;
    }
  });
}

void QuotaSimulation::LoseStoreAnswers(Duration length) {
  this->loses_store_answers = true;
  this->ScheduleAfter(length, [this] { this->loses_store_answers = false; });
}

std::vector<size_t> QuotaSimulation::AllVms() const {
  std::vector<size_t> all(this->vms.size());
  for (size_t i = 0; i < all.size(); ++i) {
    all[i] = i;
  }
  return all;
}

std::vector<size_t> QuotaSimulation::VmsOf(size_t data_centre) const {
  std::vector<size_t> found;
  for (size_t i = 0; i < this->vms.size(); ++i) {
    if (this->vms[i].data_centre == data_centre) {
      found.push_back(i);
    }
  }
  return found;
}

std::vector<size_t> QuotaSimulation::Lenders() const {
  std::vector<size_t> found;
  for (size_t i = 0; i < this->vms.size(); ++i) {
    if (this->vms[i].coordinator->lends()) {
      found.push_back(i);
    }
  }
  return found;
}

size_t QuotaSimulation::CountAdmitted(size_t team,
                                      Duration from,
                                      Duration to) const {
  const std::vector<Duration>& times = this->admitted[team];
  const auto first = std::lower_bound(times.begin(), times.end(), from);
  const auto last = std::lower_bound(times.begin(), times.end(), to);
  return static_cast<size_t>(last - first);
}

size_t QuotaSimulation::CountExhausted(size_t team,
                                       Duration from,
                                       Duration to) const {
  const std::vector<Duration>& times = this->exhausted[team];
  const auto first = std::lower_bound(times.begin(), times.end(), from);
  const auto last = std::lower_bound(times.begin(), times.end(), to);
  return static_cast<size_t>(last - first);
}

size_t QuotaSimulation::MaxAdmittedIn(size_t team, Duration window) const {
  const std::vector<Duration>& times = this->admitted[team];
  size_t most = 0;
  size_t first = 0;
  for (size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= window) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

}  // namespace basilsill

#include "configuration_history.h"

#include <algorithm>
#include <utility>

#include <boost/random/uniform_int_distribution.hpp>

#include "configuration_text.h"

namespace basilsill::test {
namespace {

constexpr size_t kVms = 4;
constexpr size_t kSteps = 150;
constexpr size_t kRecoverySteps = 400;
constexpr Duration kStepTime = std::chrono::milliseconds(200);
constexpr Duration kChangeTimeout = std::chrono::seconds(3);
constexpr size_t kMaxDelaySteps = 40;
constexpr size_t kLongReadRecords = 1000;

std::string TextOf(const ChangeOutcome& outcome) {
  return outcome.change_id + " " + std::string(NameOf(outcome.status)) + " " +
         std::to_string(outcome.version.value_or(0));
}

bool IsFinalRejection(const ChangeOutcome& outcome) {
  return outcome.status == ChangeStatus::kConflict ||
         outcome.status == ChangeStatus::kRejected ||
         outcome.status == ChangeStatus::kVoid;
}

}  // namespace

ConfigurationHistory::ConfigurationHistory(uint64_t seed, HistoryCounts& counts)
    : random(seed), counts(counts) {
  for (size_t i = 0; i < kVms; ++i) {
    this->vms.push_back(std::make_shared<Vm>());
    this->vms.back()->name = "vm " + std::to_string(i);
  }
  this->digests.push_back(this->expected_state.digest());
  this->Trace("seed " + std::to_string(seed));
}

std::string ConfigurationHistory::Run() {
  while (this->step < kSteps) {
    this->Step(false);
  }
  this->is_log_down = false;
  for (const auto& vm : this->vms) {
    vm->is_paused = false;
  }
  while (this->step < kSteps + kRecoverySteps && !this->HasConverged()) {
    this->Step(true);
    if (this->step == kSteps + kRecoverySteps / 2) {
      this->Recover();
    }
  }
  if (!this->HasConverged()) {
    this->ReportViolation(
        "a VM is behind or a change is pending although all faults have ended");
  }
  for (const auto& vm : this->vms) {
    if (vm->follower.state().digest() != this->digests.back() &&
        !this->is_expected_state_lost) {
      this->ReportViolation(vm->name + " ends with a different state");
    }
  }
  this->CheckOutcomes();
  return this->violation.empty() ? "" : this->violation + "\n" + this->trace;
}

uint32_t ConfigurationHistory::Draw(size_t below) {
  return boost::random::uniform_int_distribution<uint32_t>(
      0, static_cast<uint32_t>(below) - 1)(this->random);
}

void ConfigurationHistory::Trace(const std::string& line) {
  this->trace += std::to_string(this->step) + ": " + line + "\n";
}

void ConfigurationHistory::ReportViolation(const std::string& invariant) {
  if (this->violation.empty()) {
    this->violation = "violated: " + invariant;
  }
}

void ConfigurationHistory::Step(bool is_recovering) {
  ++this->step;
  this->now += kStepTime;
  while (!this->due.empty() && this->due.begin()->first <= this->step) {
    const std::function<void()> event = this->due.begin()->second;
    this->due.erase(this->due.begin());
    event();
  }
  if (!is_recovering) {
    this->InjectEvent();
  }
  for (const auto& vm : this->vms) {
    if (is_recovering) {
      this->TakeSnapshot(*vm);
    }
    this->RunVm(vm);
  }
}

void ConfigurationHistory::InjectEvent() {
  std::shared_ptr<Vm>& slot = this->DrawVm();
  Vm& vm = *slot;
  const uint32_t event_draw = this->Draw(100);
  if (event_draw < 25) {
    this->Propose(vm);
  } else if (event_draw < 30) {
    vm.is_paused = !vm.is_paused && this->Chance(50);
    this->Trace(vm.name + (vm.is_paused ? " pauses" : " resumes"));
  } else if (event_draw < 33) {
    this->Trace(vm.name + " is replaced");
    auto fresh = std::make_shared<Vm>();
    fresh->name = vm.name;
    slot = std::move(fresh);
  } else if (event_draw < 41) {
    this->AppendCheckpoint(vm);
  } else if (event_draw < 44) {
    this->Trim();
  } else if (event_draw < 46) {
    this->is_log_down = !this->is_log_down && this->Chance(60);
    this->Trace(this->is_log_down ? "log down" : "log up");
  } else if (event_draw < 50) {
    this->TakeSnapshot(vm);
  } else if (event_draw == 50 && this->Chance(2)) {
    // Enough records for pending changes to expire and ids to be evicted.
    this->Trace("burst");
    for (size_t i = 0; i < limits::kChangeWindow; ++i) {
      this->AppendRecord("filler");
    }
  }
}

void ConfigurationHistory::Propose(Vm& vm) {
  if (vm.is_paused) {
    return;
  }
  const std::optional<Change> resend = this->DrawResend();
  // The operator has read the resource on any VM, possibly long ago.
  const Change change =
      resend ? *resend : this->DrawChange(this->DrawVm()->follower.state());
  if (!resend) {
    const bool has_own_id = this->Chance(40);
    this->proposed[change.id] = {
        change, has_own_id, has_own_id, this->log.end(), {}};
  }
  const bool may_be_resend =
      resend.has_value() || this->proposed.at(change.id).has_own_id;
  this->Trace(vm.name + " gets " + WriteChange(change));
  vm.table.Propose(this->now,
                   {change, this->now + kChangeTimeout, 0, may_be_resend},
                   vm.follower);
}

std::optional<Change> ConfigurationHistory::DrawResend() {
  std::vector<const ProposedChange*> open;
  for (const auto& [id, known] : this->proposed) {
    // Past the window an operator must read the resource instead of resending.
    if (known.may_resend &&
        this->log.end() <= known.proposed_at + limits::kChangeWindow) {
      open.push_back(&known);
    }
  }
  if (open.empty() || !this->Chance(20)) {
    return std::nullopt;
  }
  return open[this->Draw(open.size())]->change;
}

Change ConfigurationHistory::DrawChange(const ConfigurationState& state) {
  Change change;
  change.id = "c" + std::to_string(this->next_id++);
  change.resource.kind = static_cast<ResourceKind>(
      this->Draw(static_cast<size_t>(ResourceKind::kLimits)));
  change.resource.name = "n" + std::to_string(this->Draw(2));
  const ResourceEntry* current = state.Find(change.resource);
  if (current != nullptr) {
    change.base = current->version;
  }
  if (current == nullptr || this->Chance(60)) {
    change.body = this->DrawBody(change.resource);
  }
  return change;
}

Resource ConfigurationHistory::DrawBody(const ResourceId& id) {
  const std::string reference = "n" + std::to_string(this->Draw(2));
  const uint32_t number = 1 + this->Draw(3);
  switch (id.kind) {
    case ResourceKind::kTeam:
      return TeamOf(id.name, number);
    case ResourceKind::kService:
      return ServiceOf(id.name, reference);
    case ResourceKind::kUpstreamSet:
      return SetOf(id.name, reference, "lyulin",
                   {static_cast<uint16_t>(number)});
    default:
      return RuleOf(id.name, reference, "/" + std::to_string(number));
  }
}

void ConfigurationHistory::RunVm(const std::shared_ptr<Vm>& vm) {
  if (vm->is_paused) {
    return;
  }
  this->Read(*vm);
  vm->table.Tick(this->now, vm->follower);
  const std::vector<ChangeAction> actions = vm->table.actions();
  vm->table.ClearActions();
  for (const ChangeAction& action : actions) {
    if (action.kind == ChangeActionKind::kAppend) {
      this->Append(vm, action);
    } else if (action.kind == ChangeActionKind::kReply) {
      this->OnOutcome(*vm, action.outcome);
    }
  }
}

// A read is answered in one step and delivered in a later one, so that other
// events happen in between.
void ConfigurationHistory::Read(Vm& vm) {
  if (!vm.read) {
    if (!this->is_log_down && this->Chance(70)) {
      const size_t max =
          this->Chance(80) ? 1 + this->Draw(20) : kLongReadRecords;
      vm.read_ticket = vm.table.read_ticket();
      vm.read = ReadFrom(this->log, vm.follower.read_offset(), max);
    }
    return;
  }
  const FollowResult result = Deliver(vm.follower, *vm.read);
  vm.read.reset();
  this->counts.state_replacements += result.state_replaced ? 1 : 0;
  vm.table.OnFollow(result, vm.follower);
  if (result.has_diverged && !this->is_expected_state_lost) {
    this->ReportViolation(vm.name + " detected a diverged state");
  }
  if (vm.follower.is_at_end()) {
    vm.table.OnCaughtUp(this->now, vm.read_ticket, vm.follower);
  }
  this->CheckDigest(vm);
}

void ConfigurationHistory::Append(const std::shared_ptr<Vm>& vm,
                                  const ChangeAction& action) {
  const uint32_t outcome_draw = this->Draw(100);
  AppendResult append_result = AppendResult::kUnknown;
  std::string effect = "never takes effect";
  if (this->is_log_down || outcome_draw < 10) {
    append_result = AppendResult::kNoEffect;
    effect = "is refused";
  } else if (outcome_draw < 70) {
    this->AppendRecord(action.record);
    append_result =
        outcome_draw < 55 ? AppendResult::kAnswered : AppendResult::kUnknown;
    effect = append_result == AppendResult::kAnswered
                 ? "is appended"
                 : "is appended, its answer lost";
  } else if (outcome_draw < 90) {
    effect = "takes effect late";
    this->due.emplace(this->step + 1 + this->Draw(kMaxDelaySteps),
                      [this, record = action.record] {
                        this->Trace("a late append takes effect");
                        this->AppendRecord(record);
                      });
  }
  // A VM that is replaced meanwhile never gets the answer.
  this->due.emplace(
      this->step + 1 + this->Draw(6),
      [this, append_result, change = action.change,
       requester = std::weak_ptr<Vm>(vm)] {
        if (const std::shared_ptr<Vm> requesting_vm = requester.lock()) {
          requesting_vm->table.OnAppend(this->now, change, append_result);
        }
      });
  this->Trace(vm->name + " appends " + action.record + ", which " + effect);
}

void ConfigurationHistory::OnOutcome(const Vm& vm,
                                     const ChangeOutcome& outcome) {
  this->Trace(vm.name + " reports " + TextOf(outcome));
  ++this->counts.outcomes.at(static_cast<size_t>(outcome.status));
  ProposedChange& known = this->proposed.at(outcome.change_id);
  known.outcomes.push_back(outcome);
  known.may_resend = !IsFinalRejection(outcome);
}

// Writes a checkpoint, or appends the one written earlier, possibly with parts
// missing.
void ConfigurationHistory::AppendCheckpoint(Vm& vm) {
  if (vm.is_paused || this->is_log_down || !vm.follower.is_ready()) {
    return;
  }
  if (vm.checkpoint.empty()) {
    const std::string id = "k" + std::to_string(this->next_id++);
    vm.checkpoint = WriteCheckpoint(vm.follower.state(), id);
    this->Trace(vm.name + " writes checkpoint " + id);
    return;
  }
  this->Trace(vm.name + " appends its checkpoint");
  for (const std::string& part : vm.checkpoint) {
    if (!this->Chance(5)) {
      this->AppendRecord(part);
    }
  }
  vm.checkpoint.clear();
}

void ConfigurationHistory::TakeSnapshot(Vm& vm) {
  const Vm& peer = *this->DrawVm();
  if (vm.is_paused || !vm.follower.wants_snapshot() ||
      !peer.follower.is_ready()) {
    return;
  }
  const FollowResult result =
      vm.follower.OnSnapshot(WriteCheckpoint(peer.follower.state(), "s"));
  if (result.state_replaced) {
    this->Trace(vm.name + " takes a snapshot of " + peer.name);
    ++this->counts.state_replacements;
    vm.table.OnFollow(result, vm.follower);
    this->CheckDigest(vm);
  }
}

void ConfigurationHistory::Trim() {
  const uint64_t kept = this->Draw(40);
  uint64_t first = this->log.end() - std::min(this->log.end(), kept);
  // In most cases a checkpoint was written in time, as the planner ensures.
  if (!this->Chance(10)) {
    first = std::min(first, this->covered);
  }
  this->log.first = std::max(this->log.first, first);
  this->Trace("trimmed to " + std::to_string(this->log.first));
}

void ConfigurationHistory::AppendRecord(const std::string& record) {
  const uint64_t offset = this->log.Append(record);
  const RecordOutcome outcome = this->expected_state.Apply(offset, record);
  this->digests.push_back(this->expected_state.digest());
  ++this->counts.records.at(static_cast<size_t>(outcome.verdict));
  if (outcome.verdict != RecordVerdict::kMalformed) {
    this->Trace("  log " + std::to_string(offset) + " " +
                std::string(NameOf(outcome.verdict)) + " " + outcome.change_id);
  }
  if (outcome.verdict == RecordVerdict::kAccepted) {
    this->CheckAccepted(outcome);
  } else if (outcome.verdict == RecordVerdict::kCheckpoint) {
    const CheckpointPartHead head = *ReadCheckpointHead(record);
    if (this->checkpoints.Add(head)) {
      this->covered = std::max(this->covered, head.offset);
    }
  }
}

// Checks the order of the log independently of the fold: an accepted change is
// based on the version made by the accepted change before it, and is accepted
// once.
void ConfigurationHistory::CheckAccepted(const RecordOutcome& outcome) {
  const Change& change = this->proposed.at(outcome.change_id).change;
  const auto version = this->versions.find(change.resource);
  const bool is_based_on_current =
      change.base
          ? version != this->versions.end() && version->second == *change.base
          : version == this->versions.end();
  if (!is_based_on_current) {
    this->ReportViolation(change.id +
                          " was accepted on a version that is not current");
  }
  if (!this->accepted_at.emplace(change.id, outcome.offset).second) {
    this->ReportViolation(change.id + " was accepted twice");
  }
  if (change.body) {
    this->versions[change.resource] = outcome.offset;
  } else {
    this->versions.erase(change.resource);
  }
}

void ConfigurationHistory::CheckDigest(const Vm& vm) {
  const ConfigurationState& state = vm.follower.state();
  if (!this->is_expected_state_lost &&
      state.digest() != this->digests.at(state.next_offset())) {
    this->ReportViolation(vm.name + " has a different state at offset " +
                          std::to_string(state.next_offset()));
  }
}

void ConfigurationHistory::CheckOutcomes() {
  for (const auto& [id, known] : this->proposed) {
    const auto accepted = this->accepted_at.find(id);
    const bool is_accepted = accepted != this->accepted_at.end();
    for (const ChangeOutcome& outcome : known.outcomes) {
      const bool is_reported_accepted =
          outcome.status == ChangeStatus::kAccepted;
      const bool is_correctly_accepted = is_reported_accepted && is_accepted &&
                                         accepted->second == *outcome.version;
      const bool is_wrongly_rejected = IsFinalRejection(outcome) && is_accepted;
      if (!this->is_expected_state_lost &&
          (is_reported_accepted != is_correctly_accepted ||
           is_wrongly_rejected)) {
        this->ReportViolation(TextOf(outcome) + ", which contradicts the log");
      }
    }
  }
}

bool ConfigurationHistory::HasConverged() const {
  return this->due.empty() &&
         std::all_of(
             this->vms.begin(), this->vms.end(), [this](const auto& vm) {
               return vm->table.size() == 0 && vm->table.actions().empty() &&
                      vm->follower.is_at_end() &&
                      vm->follower.state().next_offset() == this->log.end();
             });
}

// If records were lost that no VM had read, an operator must declare the state
// of the most advanced VM to be the configuration.
void ConfigurationHistory::Recover() {
  const Vm* most_advanced = this->vms.front().get();
  for (const auto& vm : this->vms) {
    if (vm->follower.standing() == FollowerStanding::kFollowing) {
      return;
    }
    if (vm->follower.state().next_offset() >
        most_advanced->follower.state().next_offset()) {
      most_advanced = vm.get();
    }
  }
  this->Trace("recovery");
  ++this->counts.recoveries;
  this->is_expected_state_lost = true;
  const auto parts = WriteRecovery(most_advanced->follower.state(),
                                   this->log.end(), "recovery");
  for (const std::string& part : parts) {
    this->AppendRecord(part);
  }
}

}  // namespace basilsill::test

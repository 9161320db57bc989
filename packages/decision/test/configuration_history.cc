#include "configuration_history.h"

#include <algorithm>
#include <utility>

#include <boost/random/uniform_int_distribution.hpp>

#include "configuration_text.h"

namespace basilsill::test {
namespace {

constexpr size_t kVms = 4;
constexpr size_t kSteps = 150;
constexpr size_t kHealSteps = 400;
constexpr Duration kStepTime = std::chrono::milliseconds(200);
constexpr Duration kPatience = std::chrono::seconds(3);
constexpr size_t kLongestDelay = 40;  // Steps.
constexpr size_t kLongRead = 1000;    // Records.

std::string TextOf(const ChangeOutcome& outcome) {
  return outcome.change_id + " " + std::string(NameOf(outcome.status)) + " " +
         std::to_string(outcome.version.value_or(0));
}

bool IsFinalNo(const ChangeOutcome& outcome) {
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
  this->digests.push_back(this->truth.digest());
  this->Note("seed " + std::to_string(seed));
}

std::string ConfigurationHistory::Run() {
  while (this->step < kSteps) {
    this->Step(false);
  }
  this->is_log_down = false;
  for (const auto& vm : this->vms) {
    vm->is_paused = false;
  }
  while (this->step < kSteps + kHealSteps && !this->IsWell()) {
    this->Step(true);
    if (this->step == kSteps + kHealSteps / 2) {
      this->Recover();
    }
  }
  if (!this->IsWell()) {
    this->Break("a VM is behind or a change open although all is well again");
  }
  for (const auto& vm : this->vms) {
    if (vm->follower.state().digest() != this->digests.back() &&
        !this->is_truth_lost) {
      this->Break(vm->name + " ends with a state of its own");
    }
  }
  this->CheckTold();
  return this->broken.empty() ? "" : this->broken + "\n" + this->text;
}

uint32_t ConfigurationHistory::Draw(size_t below) {
  return boost::random::uniform_int_distribution<uint32_t>(
      0, static_cast<uint32_t>(below) - 1)(this->random);
}

void ConfigurationHistory::Note(const std::string& line) {
  this->text += std::to_string(this->step) + ": " + line + "\n";
}

void ConfigurationHistory::Break(const std::string& promise) {
  if (this->broken.empty()) {
    this->broken = "broken: " + promise;
  }
}

void ConfigurationHistory::Step(bool is_healing) {
  ++this->step;
  this->now += kStepTime;
  while (!this->due.empty() && this->due.begin()->first <= this->step) {
    const std::function<void()> event = this->due.begin()->second;
    this->due.erase(this->due.begin());
    event();
  }
  if (!is_healing) {
    this->Disturb();
  }
  for (const auto& vm : this->vms) {
    if (is_healing) {
      this->TakeSnapshot(*vm);
    }
    this->Turn(vm);
  }
}

void ConfigurationHistory::Disturb() {
  std::shared_ptr<Vm>& place = this->DrawVm();
  Vm& vm = *place;
  const uint32_t what = this->Draw(100);
  if (what < 25) {
    this->Propose(vm);
  } else if (what < 30) {
    vm.is_paused = !vm.is_paused && this->Chance(50);
    this->Note(vm.name + (vm.is_paused ? " pauses" : " runs"));
  } else if (what < 33) {
    this->Note(vm.name + " is replaced");
    auto fresh = std::make_shared<Vm>();
    fresh->name = vm.name;
    place = std::move(fresh);
  } else if (what < 41) {
    this->AppendCheckpoint(vm);
  } else if (what < 44) {
    this->Trim();
  } else if (what < 46) {
    this->is_log_down = !this->is_log_down && this->Chance(60);
    this->Note(this->is_log_down ? "log down" : "log up");
  } else if (what < 50) {
    this->TakeSnapshot(vm);
  } else if (what == 50 && this->Chance(2)) {
    // So many records that changes under way lapse and ids are forgotten.
    this->Note("burst");
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
  // An operator has read what is to change at any VM, long ago perhaps.
  const Change change =
      resend ? *resend : this->DrawChange(this->DrawVm()->follower.state());
  if (!resend) {
    const bool has_own_id = this->Chance(40);
    this->proposed[change.id] = {
        change, has_own_id, has_own_id, this->log.end(), {}};
  }
  const bool may_be_resend =
      resend.has_value() || this->proposed.at(change.id).has_own_id;
  this->Note(vm.name + " gets " + WriteChange(change));
  vm.table.Propose(this->now, {change, this->now + kPatience, 0, may_be_resend},
                   vm.follower);
}

std::optional<Change> ConfigurationHistory::DrawResend() {
  std::vector<const Known*> open;
  for (const auto& [id, known] : this->proposed) {
    // Past the window an operator has to look at the resource instead.
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

void ConfigurationHistory::Turn(const std::shared_ptr<Vm>& vm) {
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
      this->Tell(*vm, action.outcome);
    }
  }
}

// A read is answered in one turn and delivered in a later one, so that other
// things happen in between.
void ConfigurationHistory::Read(Vm& vm) {
  if (!vm.read) {
    if (!this->is_log_down && this->Chance(70)) {
      const size_t max = this->Chance(80) ? 1 + this->Draw(20) : kLongRead;
      vm.read_ticket = vm.table.read_ticket();
      vm.read = ReadFrom(this->log, vm.follower.read_offset(), max);
    }
    return;
  }
  const FollowResult result = Deliver(vm.follower, *vm.read);
  vm.read.reset();
  this->counts.jumps += result.state_replaced ? 1 : 0;
  vm.table.OnFollow(result, vm.follower);
  if (result.has_diverged && !this->is_truth_lost) {
    this->Break(vm.name + " saw a state diverge");
  }
  if (vm.follower.is_at_end()) {
    vm.table.OnCaughtUp(this->now, vm.read_ticket, vm.follower);
  }
  this->CheckDigest(vm);
}

void ConfigurationHistory::Append(const std::shared_ptr<Vm>& vm,
                                  const ChangeAction& action) {
  const uint32_t fate = this->Draw(100);
  AppendResult end = AppendResult::kUnknown;
  std::string what = "never takes effect";
  if (this->is_log_down || fate < 10) {
    end = AppendResult::kNoEffect;
    what = "is refused";
  } else if (fate < 70) {
    this->AppendRecord(action.record);
    end = fate < 55 ? AppendResult::kAnswered : AppendResult::kUnknown;
    what = end == AppendResult::kAnswered ? "is taken" : "is taken unseen";
  } else if (fate < 90) {
    what = "takes effect late";
    this->due.emplace(this->step + 1 + this->Draw(kLongestDelay),
                      [this, record = action.record] {
                        this->Note("a late append takes effect");
                        this->AppendRecord(record);
                      });
  }
  // A VM that is replaced meanwhile never hears of it.
  this->due.emplace(
      this->step + 1 + this->Draw(6),
      [this, end, change = action.change, asked = std::weak_ptr<Vm>(vm)] {
        if (const std::shared_ptr<Vm> asker = asked.lock()) {
          asker->table.OnAppend(this->now, change, end);
        }
      });
  this->Note(vm->name + " appends " + action.record + ", which " + what);
}

void ConfigurationHistory::Tell(const Vm& vm, const ChangeOutcome& outcome) {
  this->Note(vm.name + " tells " + TextOf(outcome));
  ++this->counts.told.at(static_cast<size_t>(outcome.status));
  Known& known = this->proposed.at(outcome.change_id);
  known.told.push_back(outcome);
  known.may_resend = !IsFinalNo(outcome);
}

// Makes a checkpoint, or appends the one made some time ago, in part perhaps.
void ConfigurationHistory::AppendCheckpoint(Vm& vm) {
  if (vm.is_paused || this->is_log_down || !vm.follower.is_ready()) {
    return;
  }
  if (vm.checkpoint.empty()) {
    const std::string id = "k" + std::to_string(this->next_id++);
    vm.checkpoint = WriteCheckpoint(vm.follower.state(), id);
    this->Note(vm.name + " makes checkpoint " + id);
    return;
  }
  this->Note(vm.name + " appends its checkpoint");
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
    this->Note(vm.name + " takes a snapshot of " + peer.name);
    ++this->counts.jumps;
    vm.table.OnFollow(result, vm.follower);
    this->CheckDigest(vm);
  }
}

void ConfigurationHistory::Trim() {
  const uint64_t kept = this->Draw(40);
  uint64_t first = this->log.end() - std::min(this->log.end(), kept);
  // Mostly a checkpoint is there in time, as the planner sees to.
  if (!this->Chance(10)) {
    first = std::min(first, this->covered);
  }
  this->log.first = std::max(this->log.first, first);
  this->Note("trimmed to " + std::to_string(this->log.first));
}

void ConfigurationHistory::AppendRecord(const std::string& record) {
  const uint64_t offset = this->log.Append(record);
  const RecordOutcome outcome = this->truth.Apply(offset, record);
  this->digests.push_back(this->truth.digest());
  ++this->counts.records.at(static_cast<size_t>(outcome.verdict));
  if (outcome.verdict != RecordVerdict::kMalformed) {
    this->Note("  log " + std::to_string(offset) + " " +
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

// What the log's order demands, told without the fold: an accepted change is
// based on the version that the accepted one before it made, and counts once.
void ConfigurationHistory::CheckAccepted(const RecordOutcome& outcome) {
  const Change& change = this->proposed.at(outcome.change_id).change;
  const auto version = this->versions.find(change.resource);
  const bool is_based_on_current =
      change.base
          ? version != this->versions.end() && version->second == *change.base
          : version == this->versions.end();
  if (!is_based_on_current) {
    this->Break(change.id + " was accepted on a version that is not current");
  }
  if (!this->accepted_at.emplace(change.id, outcome.offset).second) {
    this->Break(change.id + " was accepted twice");
  }
  if (change.body) {
    this->versions[change.resource] = outcome.offset;
  } else {
    this->versions.erase(change.resource);
  }
}

void ConfigurationHistory::CheckDigest(const Vm& vm) {
  const ConfigurationState& state = vm.follower.state();
  if (!this->is_truth_lost &&
      state.digest() != this->digests.at(state.next_offset())) {
    this->Break(vm.name + " has another state at " +
                std::to_string(state.next_offset()));
  }
}

void ConfigurationHistory::CheckTold() {
  for (const auto& [id, known] : this->proposed) {
    const auto accepted = this->accepted_at.find(id);
    const bool is_accepted = accepted != this->accepted_at.end();
    for (const ChangeOutcome& outcome : known.told) {
      const bool is_yes = outcome.status == ChangeStatus::kAccepted;
      const bool is_true_yes =
          is_yes && is_accepted && accepted->second == *outcome.version;
      const bool is_false_no = IsFinalNo(outcome) && is_accepted;
      if (!this->is_truth_lost && (is_yes != is_true_yes || is_false_no)) {
        this->Break(TextOf(outcome) + ", but it is not so");
      }
    }
  }
}

bool ConfigurationHistory::IsWell() const {
  return this->due.empty() &&
         std::all_of(
             this->vms.begin(), this->vms.end(), [this](const auto& vm) {
               return vm->table.size() == 0 && vm->table.actions().empty() &&
                      vm->follower.is_at_end() &&
                      vm->follower.state().next_offset() == this->log.end();
             });
}

// If records went that nobody had read, an operator has to say that what the
// VM furthest on has is the configuration.
void ConfigurationHistory::Recover() {
  const Vm* furthest = this->vms.front().get();
  for (const auto& vm : this->vms) {
    if (vm->follower.standing() == FollowerStanding::kFollowing) {
      return;
    }
    if (vm->follower.state().next_offset() >
        furthest->follower.state().next_offset()) {
      furthest = vm.get();
    }
  }
  this->Note("recovery");
  ++this->counts.recoveries;
  this->is_truth_lost = true;
  const auto parts =
      WriteRecovery(furthest->follower.state(), this->log.end(), "recovery");
  for (const std::string& part : parts) {
    this->AppendRecord(part);
  }
}

}  // namespace basilsill::test

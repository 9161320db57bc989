#include "claim_simulation.h"

#include <cstdio>
#include <memory>
#include <optional>

#include "claim_vm.h"

namespace basilsill::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kVms = 4;
constexpr size_t kMaxAsks = 3;
constexpr Duration kFaultsFor = seconds(40);
constexpr Duration kSettling = seconds(30);
constexpr Duration kFinalEvery = seconds(12);
constexpr int kFinalSends = 3;
constexpr uint16_t kAnswerStatus = 201;

/// One sending of a key by its caller, at the VM that holds it.
struct Sending {
  uint64_t id = 0;
  size_t key = 0;
  int body = 0;
  size_t holder = 0;
  uint64_t holder_life = 0;
  TimePoint deadline;
  std::vector<ClaimAttempt> attempts;
  bool closed = false;      ///< The caller has its outcome, or left.
  bool dispatched = false;  ///< Bytes may be on the way to an upstream.
  bool told_not_run = false;
  bool final_one = false;
};

/// A key as its callers see it.
struct CallerKey {
  std::string text;
  int runs = 0;
  bool granted = false;
  std::string answer;
  bool settled = false;  ///< A sending after the faults got its outcome.
  Refusal last_refusal = Refusal::kNone;
};

std::string Name(const ClaimAttempt& attempt) {
  char text[32];
  std::snprintf(text, sizeof(text), "%04x-%u",
                static_cast<unsigned>(attempt.origin & 0xffff),
                static_cast<unsigned>(attempt.sequence));
  return text;
}

class World {
 public:
  World(uint64_t seed, Mutation mutation, bool trace);

  HistoryResult Run();

 private:
  using SendingPtr = std::shared_ptr<Sending>;

  void Note(const std::string& text);
  void Violate(const std::string& text);
  void ScheduleFaults();
  void ScheduleKeys();
  void KillSome();
  void Heal();
  void SendFinal(size_t key, int left);
  void CheckEnd();

  void Send(size_t key, int body, bool final_one);
  bool IsHeld(const SendingPtr& sending) const;
  void Ask(const SendingPtr& sending);
  void AskElsewhere(const SendingPtr& sending, ClaimAttempt asked);
  void LoseCaller(const SendingPtr& sending);
  void OnVerdict(const ClaimVm& vm, const ClaimAction& action);
  void HearVerdict(const SendingPtr& sending, const ClaimAction& action);
  void Dispatch(const SendingPtr& sending, ClaimAttempt attempt);
  void RunUpstream(const SendingPtr& sending, ClaimAttempt attempt);
  void OnUpstream(const SendingPtr& sending,
                  ClaimAttempt attempt,
                  ClaimOutcome outcome,
                  const std::string& answer);
  void End(const SendingPtr& sending,
           ClaimAttempt attempt,
           ClaimOutcome outcome,
           const std::string& answer);
  void TellEnd(const SendingPtr& sending, const ClaimEnd& end);
  void TellAnswer(const SendingPtr& sending, const std::string& answer);
  void TellReplay(const SendingPtr& sending, const StoredResponse& answer);
  void TellRefusal(const SendingPtr& sending, Refusal refusal);
  void Steal(const SendingPtr& sending);
  void MisuseRecord(const ClaimVm& vm, const ClaimRecord& record);

  ClaimKey KeyOf(const Sending& sending) const;
  Digest BodyOf(const Sending& sending) const;
  void ToVm(const SendingPtr& sending,
            size_t target,
            const std::function<void(ClaimVm&)>& step);

  HistoryResult result;
  bool tracing;
  HistoryContext context;
  std::vector<std::unique_ptr<ClaimVm>> vms;
  std::vector<CallerKey> keys;
  std::vector<SendingPtr> sendings;
  std::map<ClaimAttempt, SendingPtr> by_attempt;
  std::set<ClaimAttempt> refused;
  std::set<ClaimAttempt> ran;
  std::set<ClaimAttempt> recorded;
  std::map<ClaimKeyId, ClaimAttempt> last_claim;
  bool any_kill = false;
  bool any_trim = false;
};

World::World(uint64_t seed, Mutation mutation, bool trace)
    : tracing(trace),
      context{{},
              {},
              FaultInjector(seed),
              mutation,
              [this](const std::string& text) { this->Note(text); }} {
  for (size_t i = 0; i < kVms; ++i) {
    this->vms.push_back(std::make_unique<ClaimVm>(this->context, i));
    ClaimVm& vm = *this->vms.back();
    vm.on_verdict = [this, &vm](const ClaimAction& action) {
      this->OnVerdict(vm, action);
    };
    vm.on_read = [this, &vm](const ClaimRecord& record) {
      this->MisuseRecord(vm, record);
    };
    vm.on_appended = [this](const ClaimRecord& record) {
      const auto own = this->by_attempt.find(record.attempt);
      if (this->context.mutation == Mutation::kDispatchOnAppend &&
          record.kind == ClaimRecordKind::kClaim &&
          own != this->by_attempt.end()) {
        this->Dispatch(own->second, record.attempt);
      }
    };
    if (this->context.chaos.wrong_clocks && this->context.chaos.Happens(0.5)) {
      vm.clock_error = milliseconds(this->context.chaos.Below(7'200'000)) -
                       std::chrono::hours(1);
    }
  }
}

void World::Note(const std::string& text) {
  if (!this->tracing) {
    return;
  }
  const std::chrono::duration<double> at =
      this->context.time.now() - VirtualTime::kStart;
  char stamp[24];
  std::snprintf(stamp, sizeof(stamp), "%9.4f ", at.count());
  this->result.trace += stamp + text + "\n";
}

void World::Violate(const std::string& text) {
  this->Note("VIOLATION " + text);
  if (this->result.violation.empty()) {
    this->result.violation = text;
  }
}

HistoryResult World::Run() {
  std::vector<uint64_t> origins;
  for (const auto& vm : this->vms) {
    origins.push_back(vm->origin());
  }
  for (const auto& vm : this->vms) {
    vm->Start(origins);
  }
  this->ScheduleFaults();
  this->ScheduleKeys();
  VirtualTime& time = this->context.time;
  time.RunUntil(VirtualTime::kStart + kFaultsFor);
  this->Heal();
  time.RunUntil(time.now() + kSettling);
  for (size_t i = 0; i < this->keys.size(); ++i) {
    this->SendFinal(i, kFinalSends);
  }
  time.RunUntil(time.now() + kFinalEvery * (kFinalSends + 1));
  this->CheckEnd();
  for (const auto& vm : this->vms) {
    this->result.replayed += vm->table->counters().replayed;
    this->result.landed_late += vm->table->counters().landed_late;
    this->result.broken_streams += vm->table->counters().broken_streams;
  }
  return this->result;
}

void World::ScheduleFaults() {
  FaultInjector& chaos = this->context.chaos;
  VirtualTime& time = this->context.time;
  const auto sometime = [&chaos, &time](auto run) {
    time.After(chaos.Between(Duration::zero(), kFaultsFor), run);
  };
  if (chaos.outage) {
    sometime([this, &chaos, &time] {
      this->Note("log down");
      chaos.down_until = time.now() + chaos.Between(seconds(0), seconds(15));
    });
  }
  if (chaos.slow) {
    sometime([this, &chaos, &time] {
      this->Note("log slow");
      chaos.slow_until = time.now() + seconds(10);
    });
  }
  for (int i = 0; i < 3; ++i) {
    if (chaos.trims) {
      sometime([this, &chaos] {
        this->Note("log trimmed");
        this->any_trim = true;
        this->context.log.Trim(chaos.Below(4));
      });
    }
    if (chaos.kills) {
      sometime([this] { this->KillSome(); });
    }
  }
}

void World::KillSome() {
  FaultInjector& chaos = this->context.chaos;
  ClaimVm& vm = *this->vms[chaos.Below(kVms)];
  if (!vm.alive) {
    return;
  }
  this->any_kill = true;
  vm.Kill();
  this->context.time.After(chaos.Between(milliseconds(50), seconds(5)),
                           [this, &vm] {
                             std::vector<uint64_t> origins;
                             for (const auto& other : this->vms) {
                               origins.push_back(other->origin());
                             }
                             vm.Start(origins);
                           });
}

void World::ScheduleKeys() {
  FaultInjector& chaos = this->context.chaos;
  const size_t count = 1 + chaos.Below(3);
  for (size_t i = 0; i < count; ++i) {
    // Born within the second before the history or the one after, which are
    // of two buckets.
    const int64_t birth =
        std::chrono::milliseconds(std::chrono::hours(480'000)).count() +
        static_cast<int64_t>(chaos.Below(1000)) - 500;
    CallerKey key;
    key.text = std::to_string(birth) + "-" + std::to_string(i);
    this->keys.push_back(key);
    const size_t sends = 1 + chaos.Below(4);
    for (size_t j = 0; j < sends; ++j) {
      const int body = chaos.Happens(0.1) ? 1 : 0;
      const Duration longest = chaos.Happens(0.4) ? seconds(1) : kFaultsFor;
      this->context.time.After(chaos.Between(Duration::zero(), longest),
                               [this, i, body] { this->Send(i, body, false); });
    }
  }
}

void World::Heal() {
  this->Note("no more faults");
  FaultInjector& chaos = this->context.chaos;
  chaos.healed = true;
  chaos.down_until = TimePoint();
  chaos.slow_until = TimePoint();
  for (const auto& vm : this->vms) {
    vm->clock_error = milliseconds(0);
    vm->Resume();
  }
}

void World::SendFinal(size_t key, int left) {
  if (this->keys[key].settled || left == 0) {
    return;
  }
  this->Send(key, 0, true);
  this->context.time.After(
      kFinalEvery, [this, key, left] { this->SendFinal(key, left - 1); });
}

void World::CheckEnd() {
  for (const SendingPtr& sending : this->sendings) {
    if (!sending->closed && this->IsHeld(sending)) {
      this->Violate("sending " + std::to_string(sending->id) +
                    " never got an outcome");
    }
  }
  for (const CallerKey& key : this->keys) {
    // A key that nobody ever got the right to run, and of which no record is
    // lost, must be free after all faults.
    if (!key.settled && !key.granted && !this->any_kill && !this->any_trim) {
      this->Violate("key " + key.text +
                    " is stuck: " + std::string(InfoOf(key.last_refusal).name));
    }
  }
}

ClaimKey World::KeyOf(const Sending& sending) const {
  return ParseClaimKey(MakeTeamKey("team"), this->keys[sending.key].text).key;
}

Digest World::BodyOf(const Sending& sending) const {
  const bool alike = this->context.mutation == Mutation::kIgnoreBodies;
  const std::string_view parts[] = {sending.body == 0 || alike ? "a" : "b"};
  return DigestOf(parts);
}

void World::Send(size_t key, int body, bool final_one) {
  FaultInjector& chaos = this->context.chaos;
  const auto sending = std::make_shared<Sending>();
  sending->id = this->sendings.size();
  sending->key = key;
  sending->body = body;
  sending->final_one = final_one;
  sending->holder = chaos.Below(kVms);
  ClaimVm& holder = *this->vms[sending->holder];
  if (!holder.alive) {
    return;
  }
  sending->holder_life = holder.life;
  sending->deadline =
      this->context.time.now() +
      (final_one ? seconds(8) : chaos.Between(milliseconds(50), seconds(8)));
  this->sendings.push_back(sending);
  holder.Post([this, sending] { this->Ask(sending); });
  if (chaos.Happens(0.1)) {
    this->context.time.After(chaos.Between(seconds(0), seconds(1)),
                             [this, sending] { this->LoseCaller(sending); });
  }
}

bool World::IsHeld(const SendingPtr& sending) const {
  const ClaimVm& holder = *this->vms[sending->holder];
  return holder.alive && holder.life == sending->holder_life;
}

// Carries a message from the holder to VM `target`.
void World::ToVm(const SendingPtr& sending,
                 size_t target,
                 const std::function<void(ClaimVm&)>& step) {
  FaultInjector& chaos = this->context.chaos;
  const bool local = target == sending->holder;
  if (!local && chaos.Happens(chaos.lose_message)) {
    return;
  }
  this->context.time.After(local ? Duration::zero() : chaos.NetworkDelay(),
                           [this, target, step, local, sending] {
                             ClaimVm& vm = *this->vms[target];
                             if (!local || vm.life == sending->holder_life) {
                               vm.Post([&vm, step] { step(vm); });
                             }
                           });
}

void World::Ask(const SendingPtr& sending) {
  if (sending->closed) {
    return;
  }
  FaultInjector& chaos = this->context.chaos;
  ClaimVm& holder = *this->vms[sending->holder];
  const bool again = !sending->attempts.empty();
  const bool reuse =
      again && this->context.mutation == Mutation::kReuseAttempts;
  ClaimRequest request;
  request.key = this->KeyOf(*sending);
  request.body = this->BodyOf(*sending);
  if (again && !reuse) {
    request.supersedes = sending->attempts.back();
  }
  if (!reuse) {
    sending->attempts.push_back({holder.origin(), ++holder.sequence});
  }
  request.attempt = sending->attempts.back();
  this->by_attempt[request.attempt] = sending;
  const size_t target =
      again || chaos.Below(2) == 0 ? chaos.Below(kVms) : sending->holder;
  this->Note("sending " + std::to_string(sending->id) + " of key " +
             std::to_string(sending->key) + ": " + holder.name + " asks vm" +
             std::to_string(target) + " as " + Name(request.attempt));
  const Duration left = sending->deadline - this->context.time.now();
  this->ToVm(sending, target,
             [request, left](ClaimVm& vm) { vm.Request(request, left); });
  this->context.time.After(chaos.Between(milliseconds(200), seconds(6)),
                           [this, sending, attempt = request.attempt] {
                             this->AskElsewhere(sending, attempt);
                           });
}

// The holder heard nothing from the VM it asked.
void World::AskElsewhere(const SendingPtr& sending, ClaimAttempt asked) {
  if (!this->IsHeld(sending)) {
    return;
  }
  this->vms[sending->holder]->Post([this, sending, asked] {
    if (sending->closed || sending->dispatched ||
        sending->attempts.back() != asked) {
      return;
    }
    if (this->context.mutation != Mutation::kReuseAttempts) {
      this->End(sending, asked, ClaimOutcome::kReleased, "");
    }
    const bool late = this->context.time.now() >= sending->deadline;
    if (late || sending->attempts.size() >= kMaxAsks) {
      this->TellRefusal(sending, Refusal::kClaimUnavailable);
    } else {
      this->Ask(sending);
    }
  });
}

void World::LoseCaller(const SendingPtr& sending) {
  if (!this->IsHeld(sending)) {
    return;
  }
  this->vms[sending->holder]->Post([this, sending] {
    if (sending->closed || sending->dispatched || sending->attempts.empty()) {
      return;
    }
    this->Note("caller of sending " + std::to_string(sending->id) + " left");
    sending->closed = true;
    this->End(sending, sending->attempts.back(), ClaimOutcome::kReleased, "");
  });
}

void World::OnVerdict(const ClaimVm& vm, const ClaimAction& action) {
  if (action.kind == ClaimActionKind::kRefuse) {
    this->refused.insert(action.attempt);
  }
  if (action.kind == ClaimActionKind::kRecorded) {
    this->recorded.insert(action.attempt);
  }
  const auto asked = this->by_attempt.find(action.attempt);
  if (asked == this->by_attempt.end()) {
    return;
  }
  const SendingPtr sending = asked->second;
  FaultInjector& chaos = this->context.chaos;
  ClaimVm& holder = *this->vms[sending->holder];
  const bool local = &vm == &holder;
  if (!local && chaos.Happens(chaos.lose_message)) {
    return;
  }
  this->context.time.After(local ? Duration::zero() : chaos.NetworkDelay(),
                           [this, sending, action, &holder] {
                             if (this->IsHeld(sending)) {
                               holder.Post([this, sending, action] {
                                 this->HearVerdict(sending, action);
                               });
                             }
                           });
}

void World::HearVerdict(const SendingPtr& sending, const ClaimAction& action) {
  if (sending->closed || sending->dispatched ||
      sending->attempts.back() != action.attempt) {
    return;  // Superseded, or its caller left: it was released already.
  }
  if (action.kind == ClaimActionKind::kGrant) {
    this->Note("granted " + Name(action.attempt));
    this->keys[sending->key].granted = true;
    sending->dispatched = true;
    this->vms[sending->holder]->Post(
        [this, sending, action] { this->Dispatch(sending, action.attempt); });
  } else if (action.kind == ClaimActionKind::kReplay) {
    this->TellReplay(sending, action.answer);
  } else if (action.kind == ClaimActionKind::kRefuse) {
    if (this->context.mutation == Mutation::kStealClaims &&
        action.refusal == Refusal::kClaimOutcomeUnknown) {
      return this->Steal(sending);
    }
    this->TellRefusal(sending, action.refusal);
  }
}

void World::Dispatch(const SendingPtr& sending, ClaimAttempt attempt) {
  FaultInjector& chaos = this->context.chaos;
  sending->dispatched = true;
  Duration way = chaos.NetworkDelay();
  if (chaos.Happens(chaos.bad_upstream)) {
    way += chaos.Between(Duration::zero(), seconds(10));
  }
  this->context.time.After(
      way, [this, sending, attempt] { this->RunUpstream(sending, attempt); });
  if (this->context.mutation == Mutation::kReleaseRunning) {
    this->context.time.At(sending->deadline, [this, sending, attempt] {
      if (!sending->closed && this->IsHeld(sending)) {
        this->OnUpstream(sending, attempt, ClaimOutcome::kReleased, "");
      }
    });
  }
}

void World::RunUpstream(const SendingPtr& sending, ClaimAttempt attempt) {
  FaultInjector& chaos = this->context.chaos;
  CallerKey& key = this->keys[sending->key];
  ClaimOutcome outcome = ClaimOutcome::kDone;
  if (chaos.Happens(chaos.bad_upstream)) {
    outcome =
        chaos.Happens(0.5) ? ClaimOutcome::kReleased : ClaimOutcome::kUnknown;
  }
  if (outcome != ClaimOutcome::kReleased) {
    this->Note("upstream runs " + Name(attempt));
    this->ran.insert(attempt);
    ++this->result.runs;
    if (++key.runs > 1) {
      this->Violate("key " + key.text + " ran twice");
    }
    if (sending->told_not_run) {
      this->Violate(Name(attempt) + " ran after its caller was told not-run");
    }
  }
  const std::string answer =
      std::to_string(sending->body) + " by " + Name(attempt);
  this->context.time.After(chaos.Between(milliseconds(1), milliseconds(50)),
                           [this, sending, attempt, outcome, answer] {
                             if (this->IsHeld(sending)) {
                               this->vms[sending->holder]->Post(
                                   [this, sending, attempt, outcome, answer] {
                                     this->OnUpstream(sending, attempt, outcome,
                                                      answer);
                                   });
                             }
                           });
}

void World::OnUpstream(const SendingPtr& sending,
                       ClaimAttempt attempt,
                       ClaimOutcome outcome,
                       const std::string& answer) {
  this->End(sending, attempt, outcome, answer);
  if (outcome == ClaimOutcome::kDone) {
    this->TellAnswer(sending, answer);
  } else {
    this->TellRefusal(sending, outcome == ClaimOutcome::kReleased
                                   ? Refusal::kUpstreamShed
                                   : Refusal::kUpstreamDied);
  }
}

void World::End(const SendingPtr& sending,
                ClaimAttempt attempt,
                ClaimOutcome outcome,
                const std::string& answer) {
  ClaimEnd end;
  end.key = this->KeyOf(*sending);
  end.body = this->BodyOf(*sending);
  end.attempt = attempt;
  end.outcome = outcome;
  if (outcome == ClaimOutcome::kReleased && sending->dispatched) {
    this->keys[sending->key].granted = false;
  }
  end.answer = {kAnswerStatus, true, {{"content-type", "text/plain"}}, answer};
  this->TellEnd(sending, end);
}

// The holder tells the end to some VM until one says that the log has it.
void World::TellEnd(const SendingPtr& sending, const ClaimEnd& end) {
  if (!this->IsHeld(sending) || this->recorded.contains(end.attempt)) {
    return;
  }
  this->ToVm(sending, this->context.chaos.Below(kVms),
             [end](ClaimVm& vm) { vm.Finish(end); });
  this->context.time.After(
      seconds(5), [this, sending, end] { this->TellEnd(sending, end); });
}

void World::TellAnswer(const SendingPtr& sending, const std::string& answer) {
  if (std::exchange(sending->closed, true)) {
    return;
  }
  this->Note("sending " + std::to_string(sending->id) + " told " + answer);
  CallerKey& key = this->keys[sending->key];
  key.settled |= sending->final_one;
  if (!key.answer.empty() && key.answer != answer) {
    this->Violate("key " + key.text + " has two answers");
  }
  if (answer.substr(0, 1) != std::to_string(sending->body)) {
    this->Violate("an answer to another body was told");
  }
  key.answer = answer;
}

void World::TellReplay(const SendingPtr& sending,
                       const StoredResponse& answer) {
  if (answer.whole) {
    return this->TellAnswer(sending, answer.body);
  }
  // The record of the answer is past retention; only the status is left.
  sending->closed = true;
  this->keys[sending->key].settled |= sending->final_one;
  if (!this->any_trim || answer.status != kAnswerStatus) {
    this->Violate("an answer in the log was not told whole");
  }
}

void World::TellRefusal(const SendingPtr& sending, Refusal refusal) {
  if (std::exchange(sending->closed, true)) {
    return;
  }
  this->Note("sending " + std::to_string(sending->id) + " told " +
             std::string(InfoOf(refusal).name));
  this->keys[sending->key].last_refusal = refusal;
  sending->told_not_run = InfoOf(refusal).promise == Promise::kNotRun;
  ++(sending->told_not_run ? this->result.told_not_run
                           : this->result.told_unknown);
  for (const ClaimAttempt& attempt : sending->attempts) {
    if (sending->told_not_run && this->ran.contains(attempt)) {
      this->Violate(Name(attempt) + " had run when told not-run");
    }
  }
}

// A lease that lapses: the claim of another looks dead, so it is released.
void World::Steal(const SendingPtr& sending) {
  const ClaimKey key = this->KeyOf(*sending);
  const auto last = this->last_claim.find({key.team, key.digest});
  if (last != this->last_claim.end()) {
    this->End(sending, last->second, ClaimOutcome::kReleased, "");
  }
  this->Ask(sending);
}

void World::MisuseRecord(const ClaimVm& vm, const ClaimRecord& record) {
  if (record.kind != ClaimRecordKind::kClaim) {
    return;
  }
  this->last_claim.try_emplace(record.key, record.attempt);
  const auto own = this->by_attempt.find(record.attempt);
  if (own == this->by_attempt.end() || own->second->dispatched ||
      this->vms[own->second->holder].get() != &vm) {
    return;
  }
  const bool given_up = this->refused.contains(record.attempt);
  const Mutation mutation = this->context.mutation;
  if ((mutation == Mutation::kDispatchOnOwnRecord && !given_up) ||
      (mutation == Mutation::kDispatchAfterRefusal && given_up)) {
    this->Dispatch(own->second, record.attempt);
  }
}

}  // namespace

HistoryResult RunClaimHistory(uint64_t seed, Mutation mutation, bool trace) {
  return World(seed, mutation, trace).Run();
}

}  // namespace basilsill::test

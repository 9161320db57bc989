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
constexpr size_t kMaxAttempts = 3;
constexpr Duration kFaultPeriod = seconds(40);
constexpr Duration kSettleTime = seconds(30);
constexpr Duration kFinalInterval = seconds(12);
constexpr int kFinalSubmissions = 3;
constexpr uint16_t kAnswerStatus = 201;

/// One request of a caller for a key. The VM that received it is the holder.
struct Submission {
  uint64_t id = 0;
  size_t key = 0;
  int body = 0;
  size_t holder = 0;
  uint64_t holder_incarnation = 0;
  TimePoint deadline;
  std::vector<ClaimAttempt> attempts;
  bool closed = false;      ///< The caller has the outcome or disconnected.
  bool dispatched = false;  ///< Bytes may have been sent to an upstream.
  bool reported_not_run = false;
  bool is_final = false;
};

/// A request key and what has happened to its requests so far.
struct CallerKey {
  std::string text;
  int runs = 0;
  bool granted = false;
  std::string answer;
  bool resolved = false;  ///< A final submission got its outcome.
  Refusal last_refusal = Refusal::kNone;
};

std::string Name(const ClaimAttempt& attempt) {
  char text[32];
  std::snprintf(text, sizeof(text), "%04x-%u",
                static_cast<unsigned>(attempt.origin & 0xffff),
                static_cast<unsigned>(attempt.sequence));
  return text;
}

class ClaimSimulation {
 public:
  ClaimSimulation(uint64_t seed, Mutation mutation, bool trace);

  HistoryResult Run();

 private:
  using SubmissionPtr = std::shared_ptr<Submission>;

  void Note(const std::string& text);
  void ReportViolation(const std::string& text);
  void ScheduleFaults();
  void ScheduleKeys();
  void KillRandomVm();
  void StopFaults();
  void SubmitFinal(size_t key, int left);
  void CheckEnd();

  void Submit(size_t key, int body, bool is_final);
  bool IsHolderRunning(const SubmissionPtr& submission) const;
  void RequestClaim(const SubmissionPtr& submission);
  void RetryElsewhere(const SubmissionPtr& submission, ClaimAttempt unanswered);
  void DisconnectCaller(const SubmissionPtr& submission);
  void OnVerdict(const ClaimVm& vm, const ClaimAction& action);
  void HandleVerdict(const SubmissionPtr& submission,
                     const ClaimAction& action);
  void Dispatch(const SubmissionPtr& submission, ClaimAttempt attempt);
  void RunUpstream(const SubmissionPtr& submission, ClaimAttempt attempt);
  void OnUpstream(const SubmissionPtr& submission,
                  ClaimAttempt attempt,
                  ClaimOutcome outcome,
                  const std::string& answer);
  void End(const SubmissionPtr& submission,
           ClaimAttempt attempt,
           ClaimOutcome outcome,
           const std::string& answer);
  void ReportEnd(const SubmissionPtr& submission, const ClaimEnd& end);
  void DeliverAnswer(const SubmissionPtr& submission,
                     const std::string& answer);
  void DeliverReplay(const SubmissionPtr& submission,
                     const StoredResponse& answer);
  void DeliverRefusal(const SubmissionPtr& submission, Refusal refusal);
  void StealClaim(const SubmissionPtr& submission);
  void ApplyRecordMutation(const ClaimVm& vm, const ClaimRecord& record);

  ClaimKey KeyOf(const Submission& submission) const;
  Digest BodyOf(const Submission& submission) const;
  void SendToVm(const SubmissionPtr& submission,
                size_t target,
                const std::function<void(ClaimVm&)>& step);

  HistoryResult result;
  bool tracing;
  HistoryContext context;
  std::vector<std::unique_ptr<ClaimVm>> vms;
  std::vector<CallerKey> keys;
  std::vector<SubmissionPtr> submissions;
  std::map<ClaimAttempt, SubmissionPtr> by_attempt;
  std::set<ClaimAttempt> refused;
  std::set<ClaimAttempt> ran;
  std::set<ClaimAttempt> recorded;
  std::map<ClaimKeyId, ClaimAttempt> last_claim;
  bool any_kill = false;
  bool any_trim = false;
};

ClaimSimulation::ClaimSimulation(uint64_t seed, Mutation mutation, bool trace)
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
      this->ApplyRecordMutation(vm, record);
    };
    vm.on_appended = [this](const ClaimRecord& record) {
      const auto own = this->by_attempt.find(record.attempt);
      if (this->context.mutation == Mutation::kDispatchOnAppend &&
          record.kind == ClaimRecordKind::kClaim &&
          own != this->by_attempt.end()) {
        this->Dispatch(own->second, record.attempt);
      }
    };
    if (this->context.faults.wrong_clocks &&
        this->context.faults.Happens(0.5)) {
      vm.clock_error = milliseconds(this->context.faults.Below(7'200'000)) -
                       std::chrono::hours(1);
    }
  }
}

void ClaimSimulation::Note(const std::string& text) {
  if (!this->tracing) {
    return;
  }
  const std::chrono::duration<double> at =
      this->context.time.now() - VirtualTime::kStart;
  char stamp[24];
  std::snprintf(stamp, sizeof(stamp), "%9.4f ", at.count());
  this->result.trace += stamp + text + "\n";
}

void ClaimSimulation::ReportViolation(const std::string& text) {
  this->Note("VIOLATION " + text);
  if (this->result.violation.empty()) {
    this->result.violation = text;
  }
}

HistoryResult ClaimSimulation::Run() {
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
  time.RunUntil(VirtualTime::kStart + kFaultPeriod);
  this->StopFaults();
  time.RunUntil(time.now() + kSettleTime);
  for (size_t i = 0; i < this->keys.size(); ++i) {
    this->SubmitFinal(i, kFinalSubmissions);
  }
  time.RunUntil(time.now() + kFinalInterval * (kFinalSubmissions + 1));
  this->CheckEnd();
  for (const auto& vm : this->vms) {
    this->result.replayed += vm->table->counters().replayed;
    this->result.read_after_abandonment +=
        vm->table->counters().read_after_abandonment;
    this->result.broken_streams += vm->table->counters().broken_streams;
  }
  return this->result;
}

void ClaimSimulation::ScheduleFaults() {
  FaultInjector& faults = this->context.faults;
  VirtualTime& time = this->context.time;
  const auto at_random_time = [&faults, &time](auto run) {
    time.After(faults.Between(Duration::zero(), kFaultPeriod), run);
  };
  if (faults.outage) {
    at_random_time([this, &faults, &time] {
      this->Note("log down");
      faults.down_until = time.now() + faults.Between(seconds(0), seconds(15));
    });
  }
  if (faults.slow) {
    at_random_time([this, &faults, &time] {
      this->Note("log slow");
      faults.slow_until = time.now() + seconds(10);
    });
  }
  for (int i = 0; i < 3; ++i) {
    if (faults.trims) {
      at_random_time([this, &faults] {
        this->Note("log trimmed");
        this->any_trim = true;
        this->context.log.Trim(faults.Below(4));
      });
    }
    if (faults.kills) {
      at_random_time([this] { this->KillRandomVm(); });
    }
  }
}

void ClaimSimulation::KillRandomVm() {
  FaultInjector& faults = this->context.faults;
  ClaimVm& vm = *this->vms[faults.Below(kVms)];
  if (!vm.alive) {
    return;
  }
  this->any_kill = true;
  vm.Kill();
  this->context.time.After(faults.Between(milliseconds(50), seconds(5)),
                           [this, &vm] {
                             std::vector<uint64_t> origins;
                             for (const auto& other : this->vms) {
                               origins.push_back(other->origin());
                             }
                             vm.Start(origins);
                           });
}

void ClaimSimulation::ScheduleKeys() {
  FaultInjector& faults = this->context.faults;
  const size_t count = 1 + faults.Below(3);
  for (size_t i = 0; i < count; ++i) {
    // Created within half a second before or after a bucket boundary, so that
    // keys fall into two buckets.
    const int64_t created_at =
        std::chrono::milliseconds(std::chrono::hours(480'000)).count() +
        static_cast<int64_t>(faults.Below(1000)) - 500;
    CallerKey key;
    key.text = std::to_string(created_at) + "-" + std::to_string(i);
    this->keys.push_back(key);
    const size_t sends = 1 + faults.Below(4);
    for (size_t j = 0; j < sends; ++j) {
      const int body = faults.Happens(0.1) ? 1 : 0;
      const Duration longest = faults.Happens(0.4) ? seconds(1) : kFaultPeriod;
      this->context.time.After(
          faults.Between(Duration::zero(), longest),
          [this, i, body] { this->Submit(i, body, false); });
    }
  }
}

void ClaimSimulation::StopFaults() {
  this->Note("no more faults");
  FaultInjector& faults = this->context.faults;
  faults.stopped = true;
  faults.down_until = TimePoint();
  faults.slow_until = TimePoint();
  for (const auto& vm : this->vms) {
    vm->clock_error = milliseconds(0);
    vm->Resume();
  }
}

void ClaimSimulation::SubmitFinal(size_t key, int left) {
  if (this->keys[key].resolved || left == 0) {
    return;
  }
  this->Submit(key, 0, true);
  this->context.time.After(
      kFinalInterval, [this, key, left] { this->SubmitFinal(key, left - 1); });
}

void ClaimSimulation::CheckEnd() {
  for (const SubmissionPtr& submission : this->submissions) {
    if (!submission->closed && this->IsHolderRunning(submission)) {
      this->ReportViolation("submission " + std::to_string(submission->id) +
                            " never got an outcome");
    }
  }
  for (const CallerKey& key : this->keys) {
    // A key that was never granted, and whose records are all retained, must be
    // free once the faults have stopped.
    if (!key.resolved && !key.granted && !this->any_kill && !this->any_trim) {
      this->ReportViolation("key " + key.text + " is still blocked: " +
                            std::string(InfoOf(key.last_refusal).name));
    }
  }
}

ClaimKey ClaimSimulation::KeyOf(const Submission& submission) const {
  return ParseClaimKey(MakeTeamKey("team"), this->keys[submission.key].text)
      .key;
}

Digest ClaimSimulation::BodyOf(const Submission& submission) const {
  const bool ignores_bodies = this->context.mutation == Mutation::kIgnoreBodies;
  const std::string_view parts[] = {
      submission.body == 0 || ignores_bodies ? "a" : "b"};
  return DigestOf(parts);
}

void ClaimSimulation::Submit(size_t key, int body, bool is_final) {
  FaultInjector& faults = this->context.faults;
  const auto submission = std::make_shared<Submission>();
  submission->id = this->submissions.size();
  submission->key = key;
  submission->body = body;
  submission->is_final = is_final;
  submission->holder = faults.Below(kVms);
  ClaimVm& holder = *this->vms[submission->holder];
  if (!holder.alive) {
    return;
  }
  submission->holder_incarnation = holder.own_incarnation;
  submission->deadline =
      this->context.time.now() +
      (is_final ? seconds(8) : faults.Between(milliseconds(50), seconds(8)));
  this->submissions.push_back(submission);
  holder.Post([this, submission] { this->RequestClaim(submission); });
  if (faults.Happens(0.1)) {
    this->context.time.After(
        faults.Between(seconds(0), seconds(1)),
        [this, submission] { this->DisconnectCaller(submission); });
  }
}

bool ClaimSimulation::IsHolderRunning(const SubmissionPtr& submission) const {
  const ClaimVm& holder = *this->vms[submission->holder];
  return holder.alive &&
         holder.own_incarnation == submission->holder_incarnation;
}

// Delivers a message from the holder to VM `target`, unless it is lost.
void ClaimSimulation::SendToVm(const SubmissionPtr& submission,
                               size_t target,
                               const std::function<void(ClaimVm&)>& step) {
  FaultInjector& faults = this->context.faults;
  const bool local = target == submission->holder;
  if (!local && faults.Happens(faults.lose_message)) {
    return;
  }
  this->context.time.After(
      local ? Duration::zero() : faults.NetworkDelay(),
      [this, target, step, local, submission] {
        ClaimVm& vm = *this->vms[target];
        if (!local || vm.own_incarnation == submission->holder_incarnation) {
          vm.Post([&vm, step] { step(vm); });
        }
      });
}

void ClaimSimulation::RequestClaim(const SubmissionPtr& submission) {
  if (submission->closed) {
    return;
  }
  FaultInjector& faults = this->context.faults;
  ClaimVm& holder = *this->vms[submission->holder];
  const bool again = !submission->attempts.empty();
  const bool reuse =
      again && this->context.mutation == Mutation::kReuseAttempts;
  ClaimRequest request;
  request.key = this->KeyOf(*submission);
  request.body = this->BodyOf(*submission);
  if (again && !reuse) {
    request.supersedes = submission->attempts.back();
  }
  if (!reuse) {
    submission->attempts.push_back({holder.origin(), ++holder.sequence});
  }
  request.attempt = submission->attempts.back();
  this->by_attempt[request.attempt] = submission;
  const size_t target =
      again || faults.Below(2) == 0 ? faults.Below(kVms) : submission->holder;
  this->Note("submission " + std::to_string(submission->id) + " of key " +
             std::to_string(submission->key) + ": " + holder.name +
             " sends it to vm" + std::to_string(target) + " as " +
             Name(request.attempt));
  const Duration left = submission->deadline - this->context.time.now();
  this->SendToVm(submission, target,
                 [request, left](ClaimVm& vm) { vm.Request(request, left); });
  this->context.time.After(faults.Between(milliseconds(200), seconds(6)),
                           [this, submission, attempt = request.attempt] {
                             this->RetryElsewhere(submission, attempt);
                           });
}

// The VM that received the attempt did not answer in time: the holder releases
// the attempt and sends a new one to another VM.
void ClaimSimulation::RetryElsewhere(const SubmissionPtr& submission,
                                     ClaimAttempt unanswered) {
  if (!this->IsHolderRunning(submission)) {
    return;
  }
  this->vms[submission->holder]->Post([this, submission, unanswered] {
    if (submission->closed || submission->dispatched ||
        submission->attempts.back() != unanswered) {
      return;
    }
    if (this->context.mutation != Mutation::kReuseAttempts) {
      this->End(submission, unanswered, ClaimOutcome::kReleased, "");
    }
    const bool late = this->context.time.now() >= submission->deadline;
    if (late || submission->attempts.size() >= kMaxAttempts) {
      this->DeliverRefusal(submission, Refusal::kClaimUnavailable);
    } else {
      this->RequestClaim(submission);
    }
  });
}

void ClaimSimulation::DisconnectCaller(const SubmissionPtr& submission) {
  if (!this->IsHolderRunning(submission)) {
    return;
  }
  this->vms[submission->holder]->Post([this, submission] {
    if (submission->closed || submission->dispatched ||
        submission->attempts.empty()) {
      return;
    }
    this->Note("caller of submission " + std::to_string(submission->id) +
               " disconnected");
    submission->closed = true;
    this->End(submission, submission->attempts.back(), ClaimOutcome::kReleased,
              "");
  });
}

void ClaimSimulation::OnVerdict(const ClaimVm& vm, const ClaimAction& action) {
  if (action.kind == ClaimActionKind::kRefuse) {
    this->refused.insert(action.attempt);
  }
  if (action.kind == ClaimActionKind::kRecorded) {
    this->recorded.insert(action.attempt);
  }
  const auto found = this->by_attempt.find(action.attempt);
  if (found == this->by_attempt.end()) {
    return;
  }
  const SubmissionPtr submission = found->second;
  FaultInjector& faults = this->context.faults;
  ClaimVm& holder = *this->vms[submission->holder];
  const bool local = &vm == &holder;
  if (!local && faults.Happens(faults.lose_message)) {
    return;
  }
  this->context.time.After(local ? Duration::zero() : faults.NetworkDelay(),
                           [this, submission, action, &holder] {
                             if (this->IsHolderRunning(submission)) {
                               holder.Post([this, submission, action] {
                                 this->HandleVerdict(submission, action);
                               });
                             }
                           });
}

void ClaimSimulation::HandleVerdict(const SubmissionPtr& submission,
                                    const ClaimAction& action) {
  if (submission->closed || submission->dispatched ||
      submission->attempts.back() != action.attempt) {
    return;  // Superseded, or the caller disconnected: already released.
  }
  if (action.kind == ClaimActionKind::kGrant) {
    this->Note("granted " + Name(action.attempt));
    this->keys[submission->key].granted = true;
    submission->dispatched = true;
    this->vms[submission->holder]->Post([this, submission, action] {
      this->Dispatch(submission, action.attempt);
    });
  } else if (action.kind == ClaimActionKind::kReplay) {
    this->DeliverReplay(submission, action.answer);
  } else if (action.kind == ClaimActionKind::kRefuse) {
    if (this->context.mutation == Mutation::kStealClaims &&
        action.refusal == Refusal::kClaimOutcomeUnknown) {
      return this->StealClaim(submission);
    }
    this->DeliverRefusal(submission, action.refusal);
  }
}

void ClaimSimulation::Dispatch(const SubmissionPtr& submission,
                               ClaimAttempt attempt) {
  FaultInjector& faults = this->context.faults;
  submission->dispatched = true;
  Duration delay = faults.NetworkDelay();
  if (faults.Happens(faults.bad_upstream)) {
    delay += faults.Between(Duration::zero(), seconds(10));
  }
  this->context.time.After(delay, [this, submission, attempt] {
    this->RunUpstream(submission, attempt);
  });
  if (this->context.mutation == Mutation::kReleaseRunning) {
    this->context.time.At(submission->deadline, [this, submission, attempt] {
      if (!submission->closed && this->IsHolderRunning(submission)) {
        this->OnUpstream(submission, attempt, ClaimOutcome::kReleased, "");
      }
    });
  }
}

void ClaimSimulation::RunUpstream(const SubmissionPtr& submission,
                                  ClaimAttempt attempt) {
  FaultInjector& faults = this->context.faults;
  CallerKey& key = this->keys[submission->key];
  ClaimOutcome outcome = ClaimOutcome::kDone;
  if (faults.Happens(faults.bad_upstream)) {
    outcome =
        faults.Happens(0.5) ? ClaimOutcome::kReleased : ClaimOutcome::kUnknown;
  }
  if (outcome != ClaimOutcome::kReleased) {
    this->Note("upstream runs " + Name(attempt));
    this->ran.insert(attempt);
    ++this->result.runs;
    if (++key.runs > 1) {
      this->ReportViolation("key " + key.text + " ran twice");
    }
    if (submission->reported_not_run) {
      this->ReportViolation(Name(attempt) +
                            " ran after its caller got not-run");
    }
  }
  const std::string answer =
      std::to_string(submission->body) + " by " + Name(attempt);
  this->context.time.After(
      faults.Between(milliseconds(1), milliseconds(50)),
      [this, submission, attempt, outcome, answer] {
        if (this->IsHolderRunning(submission)) {
          this->vms[submission->holder]->Post(
              [this, submission, attempt, outcome, answer] {
                this->OnUpstream(submission, attempt, outcome, answer);
              });
        }
      });
}

void ClaimSimulation::OnUpstream(const SubmissionPtr& submission,
                                 ClaimAttempt attempt,
                                 ClaimOutcome outcome,
                                 const std::string& answer) {
  this->End(submission, attempt, outcome, answer);
  if (outcome == ClaimOutcome::kDone) {
    this->DeliverAnswer(submission, answer);
  } else {
    this->DeliverRefusal(submission, outcome == ClaimOutcome::kReleased
                                         ? Refusal::kUpstreamShed
                                         : Refusal::kUpstreamDied);
  }
}

void ClaimSimulation::End(const SubmissionPtr& submission,
                          ClaimAttempt attempt,
                          ClaimOutcome outcome,
                          const std::string& answer) {
  ClaimEnd end;
  end.key = this->KeyOf(*submission);
  end.body = this->BodyOf(*submission);
  end.attempt = attempt;
  end.outcome = outcome;
  if (outcome == ClaimOutcome::kReleased && submission->dispatched) {
    this->keys[submission->key].granted = false;
  }
  end.answer = {kAnswerStatus, true, {{"content-type", "text/plain"}}, answer};
  this->ReportEnd(submission, end);
}

// The holder reports the end to random VMs until it is in the log.
void ClaimSimulation::ReportEnd(const SubmissionPtr& submission,
                                const ClaimEnd& end) {
  if (!this->IsHolderRunning(submission) ||
      this->recorded.contains(end.attempt)) {
    return;
  }
  this->SendToVm(submission, this->context.faults.Below(kVms),
                 [end](ClaimVm& vm) { vm.Finish(end); });
  this->context.time.After(seconds(5), [this, submission, end] {
    this->ReportEnd(submission, end);
  });
}

void ClaimSimulation::DeliverAnswer(const SubmissionPtr& submission,
                                    const std::string& answer) {
  if (std::exchange(submission->closed, true)) {
    return;
  }
  this->Note("submission " + std::to_string(submission->id) + " got " + answer);
  CallerKey& key = this->keys[submission->key];
  key.resolved |= submission->is_final;
  if (!key.answer.empty() && key.answer != answer) {
    this->ReportViolation("key " + key.text + " has two answers");
  }
  if (answer.substr(0, 1) != std::to_string(submission->body)) {
    this->ReportViolation("caller got the answer to another body");
  }
  key.answer = answer;
}

void ClaimSimulation::DeliverReplay(const SubmissionPtr& submission,
                                    const StoredResponse& answer) {
  if (answer.whole) {
    return this->DeliverAnswer(submission, answer.body);
  }
  // The record of the response is past retention; only the status is known.
  submission->closed = true;
  this->keys[submission->key].resolved |= submission->is_final;
  if (!this->any_trim || answer.status != kAnswerStatus) {
    this->ReportViolation("an answer in the log was not replayed whole");
  }
}

void ClaimSimulation::DeliverRefusal(const SubmissionPtr& submission,
                                     Refusal refusal) {
  if (std::exchange(submission->closed, true)) {
    return;
  }
  this->Note("submission " + std::to_string(submission->id) + " got " +
             std::string(InfoOf(refusal).name));
  this->keys[submission->key].last_refusal = refusal;
  submission->reported_not_run = InfoOf(refusal).promise == Promise::kNotRun;
  ++(submission->reported_not_run ? this->result.reported_not_run
                                  : this->result.reported_unknown);
  for (const ClaimAttempt& attempt : submission->attempts) {
    if (submission->reported_not_run && this->ran.contains(attempt)) {
      this->ReportViolation(Name(attempt) +
                            " had run when its caller got not-run");
    }
  }
}

// Models claims that expire like leases: releases the claim of another holder
// that seems dead.
void ClaimSimulation::StealClaim(const SubmissionPtr& submission) {
  const ClaimKey key = this->KeyOf(*submission);
  const auto last = this->last_claim.find({key.team, key.digest});
  if (last != this->last_claim.end()) {
    this->End(submission, last->second, ClaimOutcome::kReleased, "");
  }
  this->RequestClaim(submission);
}

void ClaimSimulation::ApplyRecordMutation(const ClaimVm& vm,
                                          const ClaimRecord& record) {
  if (record.kind != ClaimRecordKind::kClaim) {
    return;
  }
  this->last_claim.try_emplace(record.key, record.attempt);
  const auto own = this->by_attempt.find(record.attempt);
  if (own == this->by_attempt.end() || own->second->dispatched ||
      this->vms[own->second->holder].get() != &vm) {
    return;
  }
  const bool abandoned = this->refused.contains(record.attempt);
  const Mutation mutation = this->context.mutation;
  if ((mutation == Mutation::kDispatchOnOwnRecord && !abandoned) ||
      (mutation == Mutation::kDispatchAfterRefusal && abandoned)) {
    this->Dispatch(own->second, record.attempt);
  }
}

}  // namespace

HistoryResult RunClaimHistory(uint64_t seed, Mutation mutation, bool trace) {
  return ClaimSimulation(seed, mutation, trace).Run();
}

}  // namespace basilsill::test

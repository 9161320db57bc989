// Tests token buckets, borrower and lease of quotas.

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "basilsill/decision/quota_borrower.h"
#include "basilsill/decision/quota_lease.h"
#include "basilsill/decision/quota_lender.h"

#include <CppUTest/TestHarness.h>

using basilsill::kCreditLife;
using basilsill::LeaseTime;
using basilsill::LogPosition;
using basilsill::MakeTeamKey;
using basilsill::OutgoingQuotaMessage;
using basilsill::QuotaAnswer;
using basilsill::QuotaBorrower;
using basilsill::QuotaBuckets;
using basilsill::QuotaDecision;
using basilsill::QuotaGrant;
using basilsill::QuotaLease;
using basilsill::QuotaLeaseCall;
using basilsill::QuotaLeaseRecord;
using basilsill::QuotaLender;
using basilsill::QuotaNeed;
using basilsill::QuotaRequest;
using basilsill::QuotaShareHistory;
using basilsill::QuotaStart;
using basilsill::QuotaStartAllowance;
using basilsill::QuotaVerdict;
using basilsill::StartOf;
using basilsill::TeamKey;
using basilsill::TeamRow;
using basilsill::TrafficClass;
using namespace std::chrono_literals;
using Kind = QuotaShareHistory::Kind;

namespace {

TeamRow Row(double rate, double burst) {
  TeamRow row;
  row.handle = {0, 0};
  row.name = "team";
  row.limits.requests_per_second = rate;
  row.limits.burst = burst;
  return row;
}

const TeamKey kTeam = MakeTeamKey("team");

}  // namespace

TEST_GROUP(QuotaBuckets) {
  LeaseTime now{std::chrono::hours(1)};
  QuotaBuckets buckets;
};

TEST(QuotaBuckets, Take_Filled_GivesTheBurstThenTheRate) {
  this->buckets.SetTeams(this->now, {Row(10, 20)}, 1);
  this->buckets.Fill(this->now);
  CHECK_EQUAL(20, this->buckets.Take(this->now, kTeam, 50).granted);
  this->now += 1s;
  CHECK_EQUAL(10, this->buckets.Take(this->now, kTeam, 50).granted);
}

// Failure: rounding leaves a level slightly below a whole credit, and a team
// without a burst loses part of its rate.
TEST(QuotaBuckets, Take_AboveRate_GivesTheRateOverTime) {
  this->buckets.SetTeams(this->now, {Row(100, 1)}, 1);
  size_t granted = 0;
  for (int i = 0; i < 10000; ++i) {
    const QuotaGrant grant = this->buckets.Take(this->now, kTeam, 1);
    granted += grant.granted;
    CHECK(grant.granted == 1 || grant.retry_after > 0ms);
    this->now += 1ms;
  }
  CHECK(granted >= 1000 && granted <= 1060);
}

TEST(QuotaBuckets, Take_TooFew_GivesARetryTime) {
  this->buckets.SetTeams(this->now, {Row(10, 20)}, 1);
  const QuotaGrant grant = this->buckets.Take(this->now, kTeam, 5);
  CHECK_EQUAL(1, grant.granted);
  CHECK(grant.retry_after >= 50ms && grant.retry_after <= 1s);
}

TEST(QuotaBuckets, SetTeams_LowerQuota_TakesEffectAtOnce) {
  this->buckets.SetTeams(this->now, {Row(100, 100)}, 1);
  this->buckets.Fill(this->now);
  this->buckets.SetTeams(this->now, {Row(2, 3)}, 1);
  CHECK_EQUAL(3, this->buckets.Take(this->now, kTeam, 50).granted);
}

TEST(QuotaBuckets, SetTeams_TeamRemoved_LendsNothing) {
  this->buckets.SetTeams(this->now, {Row(100, 100)}, 1);
  this->buckets.SetTeams(this->now, {}, 1);
  CHECK(this->buckets.empty());
  CHECK_EQUAL(0, this->buckets.Take(this->now, kTeam, 50).granted);
}

TEST(QuotaBuckets, Put_AboveTheBurst_IsDropped) {
  this->buckets.SetTeams(this->now, {Row(10, 20)}, 1);
  this->buckets.Fill(this->now);
  this->buckets.Put(this->now, kTeam, 7);
  CHECK_EQUAL(20, this->buckets.Take(this->now, kTeam, 50).granted);
}

TEST(QuotaBuckets, StartAt_UnlentTime_AddsWhatTheRateBrings) {
  this->buckets.SetTeams(this->now, {Row(10, 20)}, 1);
  QuotaStart start;
  start.unlent = 700ms;
  start.credits = 2;
  start.burst_fraction = 0.1;
  this->buckets.StartAt(this->now, start);
  CHECK_EQUAL(2 + 7 + 2, this->buckets.Take(this->now, kTeam, 50).granted);
}

TEST(QuotaBuckets, StartAt_UnlentForLong_StaysWithinTheBurst) {
  this->buckets.SetTeams(this->now, {Row(10, 20)}, 1);
  QuotaStart start;
  start.unlent = 1h;
  this->buckets.StartAt(this->now, start);
  CHECK_EQUAL(20, this->buckets.Take(this->now, kTeam, 50).granted);
}

TEST_GROUP(QuotaStart) {
  QuotaStartAllowance allowance{6, 0.1};
};

TEST(QuotaStart, StartOf_FirstInWindow_GetsItsPartOfTheAllowance) {
  const QuotaStart start = StartOf(300ms, 0, this->allowance, 0.5);
  CHECK(start.unlent == 300ms);
  DOUBLES_EQUAL(3, start.credits, 0.001);
  DOUBLES_EQUAL(0.1, start.burst_fraction, 0.001);
}

// Failure: restarts within one window use the allowance once each.
TEST(QuotaStart, StartOf_LaterInWindow_GetsNoAllowance) {
  const QuotaStart second = StartOf(0ms, 1, this->allowance, 0.5);
  DOUBLES_EQUAL(1, second.credits, 0.001);
  DOUBLES_EQUAL(0, second.burst_fraction, 0.001);
  DOUBLES_EQUAL(0, StartOf(0ms, 2, this->allowance, 0.5).credits, 0.001);
}

TEST(QuotaStart, StartOf_StartsNotKnown_GetsOneCredit) {
  const QuotaStart start = StartOf(-1ms, std::nullopt, this->allowance, 0.5);
  CHECK(start.unlent == 0ms);
  DOUBLES_EQUAL(1, start.credits, 0.001);
  DOUBLES_EQUAL(0, start.burst_fraction, 0.001);
}

TEST_GROUP(QuotaBorrower) {
  LeaseTime now{std::chrono::hours(1)};
  QuotaBorrower borrower;

  QuotaAnswer Grant(const QuotaRequest& request, uint32_t count,
                    basilsill::Duration retry_after = 0s) {
    return {request.number, true, 1, {{kTeam, count, retry_after, {}, 0}}};
  }
};

TEST(QuotaBorrower, Acquire_NoCredit_RequestsAndIsGranted) {
  const QuotaDecision first = this->borrower.Acquire(this->now, kTeam);
  CHECK(first.verdict == QuotaVerdict::kWait);
  const auto request = this->borrower.NextRequest(this->now);
  CHECK(request.has_value());
  CHECK_EQUAL(1, request->wants.front().wanted);
  this->borrower.OnAnswer(this->now, this->Grant(*request, 3));
  const auto settled = this->borrower.TakeSettled();
  CHECK_EQUAL(1, settled.size());
  CHECK(settled.front().verdict == QuotaVerdict::kGranted);
  CHECK(this->borrower.Acquire(this->now, kTeam).verdict ==
        QuotaVerdict::kGranted);
}

TEST(QuotaBorrower, Acquire_CreditExpired_RequestsAgain) {
  this->borrower.Acquire(this->now, kTeam);
  const auto request = this->borrower.NextRequest(this->now);
  this->borrower.OnAnswer(this->now + 5ms, this->Grant(*request, 3));
  this->now += kCreditLife;
  CHECK(this->borrower.Acquire(this->now, kTeam).verdict ==
        QuotaVerdict::kWait);
}

TEST(QuotaBorrower, OnAnswer_TooFew_OthersGetARetryTime) {
  this->borrower.Acquire(this->now, kTeam);
  this->borrower.Acquire(this->now, kTeam);
  const auto request = this->borrower.NextRequest(this->now);
  this->borrower.OnAnswer(this->now, this->Grant(*request, 1, 200ms));
  const auto settled = this->borrower.TakeSettled();
  CHECK(settled[0].verdict == QuotaVerdict::kGranted);
  CHECK(settled[1].verdict == QuotaVerdict::kExhausted);
  CHECK(settled[1].retry_after >= 200ms);
  const QuotaDecision later = this->borrower.Acquire(this->now, kTeam);
  CHECK(later.verdict == QuotaVerdict::kExhausted);
  CHECK(later.retry_after > settled[1].retry_after);
}

// A lender grants too few credits without a retry time.
TEST(QuotaBorrower, OnAnswer_NoCreditsNoRetryTime_PausesBeforeNextRequest) {
  this->borrower.Acquire(this->now, kTeam);
  const auto request = this->borrower.NextRequest(this->now);
  this->borrower.OnAnswer(this->now, this->Grant(*request, 0));
  CHECK_FALSE(this->borrower.NextRequest(this->now).has_value());
  CHECK(this->borrower.NextRequest(this->now + 50ms).has_value());
}

TEST(QuotaBorrower, Acquire_NoLender_UnavailableSoon) {
  this->borrower.Acquire(this->now, kTeam);
  for (int i = 0; i < 40; ++i) {
    if (const auto request = this->borrower.NextRequest(this->now)) {
      this->borrower.OnAnswer(this->now, {request->number, false, 0, {}});
    }
    this->now += 10ms;
    this->borrower.Tick(this->now);
  }
  const auto settled = this->borrower.TakeSettled();
  CHECK_EQUAL(1, settled.size());
  CHECK(settled.front().verdict == QuotaVerdict::kUnavailable);
}

TEST(QuotaBorrower, Return_CreditStillValid_GoesBack) {
  this->borrower.Acquire(this->now, kTeam);
  const auto request = this->borrower.NextRequest(this->now);
  this->borrower.OnAnswer(this->now, this->Grant(*request, 1));
  const auto settled = this->borrower.TakeSettled();
  this->borrower.Return(this->now + 20ms, kTeam, settled.front().credit);
  const auto back = this->borrower.NextRequest(this->now + 100ms);
  CHECK(back.has_value());
  CHECK_EQUAL(1, back->returns.size());
  CHECK_EQUAL(1, back->returns.front().count);
}

TEST(QuotaBorrower, Return_CreditIsVoid_IsDropped) {
  this->borrower.Acquire(this->now, kTeam);
  const auto request = this->borrower.NextRequest(this->now);
  this->borrower.OnAnswer(this->now, this->Grant(*request, 1));
  const auto settled = this->borrower.TakeSettled();
  this->borrower.Return(this->now + kCreditLife, kTeam, settled.front().credit);
  CHECK_FALSE(this->borrower.NextRequest(this->now + 2 * kCreditLife));
}

TEST(QuotaBorrower, OnAnswer_Outcomes_ApplyToTheirRequests) {
  this->borrower.Acquire(this->now, kTeam);
  this->borrower.Acquire(this->now, kTeam);
  const auto request = this->borrower.NextRequest(this->now);
  const auto& needs = request->wants.front().needs;
  CHECK_EQUAL(2, needs.size());
  this->borrower.OnAnswer(
      this->now, {request->number,
                  true,
                  1,
                  {{kTeam, 1, 0ms, {{needs[1].ticket, true, 0ms}}, 1}}});
  const auto first = this->borrower.TakeSettled();
  CHECK_EQUAL(1, first.size());
  CHECK_EQUAL(needs[1].ticket, first.front().ticket);
  CHECK(first.front().verdict == QuotaVerdict::kGranted);
  // A request that waits at the lender is not asked for again.
  CHECK_FALSE(this->borrower.NextRequest(this->now + 100ms).has_value());
  this->borrower.OnAnswer(
      this->now + 100ms,
      {request->number,
       true,
       2,
       {{kTeam, 0, 0ms, {{needs[0].ticket, false, 70ms}}, 0}}});
  const auto second = this->borrower.TakeSettled();
  CHECK_EQUAL(1, second.size());
  CHECK(second.front().verdict == QuotaVerdict::kExhausted);
  CHECK(second.front().retry_after == 70ms);
}

// Failure: a request that waits at a lender gets its answer after its target.
TEST(QuotaBorrower, Tick_TargetPasses_EndsTheWait) {
  this->borrower.Acquire(this->now, kTeam,
                         {TrafficClass::kUrgent, 100ms, 3s, false});
  this->borrower.Tick(this->now + 99ms);
  CHECK_TRUE(this->borrower.TakeSettled().empty());
  this->borrower.Tick(this->now + 100ms);
  CHECK_EQUAL(1, this->borrower.TakeSettled().size());
}

// Failure: credits that nobody uses become void, and the team loses them.
TEST(QuotaBorrower, Tick_CreditsUnused_GoBackBeforeTheyAreVoid) {
  this->borrower.Acquire(this->now, kTeam);
  const auto request = this->borrower.NextRequest(this->now);
  this->borrower.OnAnswer(this->now, this->Grant(*request, 3));
  this->borrower.Tick(this->now + 110ms);
  const auto back = this->borrower.NextRequest(this->now + 170ms);
  CHECK(back.has_value());
  CHECK_EQUAL(2, back->returns.front().count);
}

TEST_GROUP(QuotaLender) {
  LeaseTime now{std::chrono::hours(1)};
  QuotaLender lender;

  void setup() override {
    this->lender.SetTeams(this->now, {Row(10, 1)}, 1);
    this->lender.BeginAt(this->now, {});
  }

  void Ask(std::vector<QuotaNeed> needs, uint32_t wanted) {
    QuotaRequest request;
    request.number = 7;
    request.wants.push_back({kTeam, wanted, std::move(needs)});
    this->lender.OnRequest(this->now, {{3, 0}, 0}, request);
  }

  std::vector<QuotaAnswer> Answers() {
    std::vector<QuotaAnswer> answers;
    for (const OutgoingQuotaMessage& sent : this->lender.TakeOutgoing()) {
      answers.push_back(std::get<QuotaAnswer>(sent.message));
    }
    return answers;
  }
};

// A credit accrues within the time that the request can wait.
TEST(QuotaLender, OnRequest_CreditAccruesInTime_IsGrantedLater) {
  this->Ask({{1, {TrafficClass::kUrgent, 140ms, 3s, false}},
             {2, {TrafficClass::kUrgent, 140ms, 3s, false}}},
            2);
  const auto first = this->Answers();
  CHECK_EQUAL(1, first.size());
  CHECK_EQUAL(1, first.front().grants.front().granted);
  CHECK_EQUAL(1, first.front().grants.front().held);
  this->now += 100ms;
  this->lender.Tick(this->now);
  const auto second = this->Answers();
  CHECK_EQUAL(1, second.size());
  CHECK_EQUAL(2, second.front().grants.front().outcomes.front().ticket);
  CHECK_TRUE(second.front().grants.front().outcomes.front().is_granted);
}

// Failure: a request that can't be served keeps its caller waiting.
TEST(QuotaLender, OnRequest_NoCreditInTime_IsRefusedAtOnce) {
  this->Ask({{1, {TrafficClass::kUrgent, 140ms, 3s, false}}}, 1);
  this->Answers();
  this->Ask({{2, {TrafficClass::kUrgent, 50ms, 3s, false}}}, 1);
  const auto answers = this->Answers();
  CHECK_EQUAL(1, answers.size());
  CHECK_FALSE(answers.front().grants.front().outcomes.front().is_granted);
}

// A borrower of the version before gets one answer, with a number of credits.
TEST(QuotaLender, OnRequest_WithoutNeeds_GetsOneAnswer) {
  this->Ask({}, 2);
  size_t count = this->Answers().size();
  for (int i = 0; i < 15; ++i) {
    this->now += 10ms;
    this->lender.Tick(this->now);
    for (const QuotaAnswer& answer : this->Answers()) {
      ++count;
      CHECK_TRUE(answer.grants.front().outcomes.empty());
      CHECK_EQUAL(0, answer.grants.front().held);
    }
  }
  CHECK_EQUAL(1, count);
}

// Failure: the lease ends while requests wait here, and their callers wait
// until the borrower gives up.
TEST(QuotaLender, End_RequestsWait_AreAnswered) {
  this->Ask({{1, {TrafficClass::kUrgent, 140ms, 3s, false}},
             {2, {TrafficClass::kUrgent, 140ms, 3s, false}}},
            2);
  this->Answers();
  this->lender.End();
  const auto answers = this->Answers();
  CHECK_EQUAL(1, answers.size());
  CHECK_FALSE(answers.front().grants.front().outcomes.front().is_granted);
}

TEST_GROUP(QuotaLease) {
  LeaseTime now{std::chrono::hours(1)};
  LeaseTime started = now;
  QuotaLease lease{"vm-a", 7, started};

  void Read(const std::optional<QuotaLeaseRecord>& record, uint64_t end) {
    this->lease.OnNeeded(this->now, true);
    CHECK(this->lease.NextCall(this->now) == QuotaLeaseCall::kRead);
    this->now += 5ms;
    this->lease.OnRead(this->now, record, LogPosition(end));
  }

  void Write() {
    CHECK(this->lease.NextCall(this->now) == QuotaLeaseCall::kWrite);
    this->lease.OnWritten(this->now + 5ms, this->lease.end() + 1);
  }
};

TEST(QuotaLease, NextCall_NotNeeded_NoCall) {
  CHECK(this->lease.NextCall(this->now) == QuotaLeaseCall::kNone);
}

TEST(QuotaLease, Write_NobodyHeldIt_HoldsForTheTerm) {
  this->Read(std::nullopt, 0);
  this->Write();
  CHECK(this->lease.history().kind == Kind::kUnused);
  CHECK(this->lease.Holds(this->now + QuotaLease::kTerm - 1ms));
  CHECK_FALSE(this->lease.Holds(this->now + QuotaLease::kTerm));
}

TEST(QuotaLease, Read_AnotherHolds_WaitsForMoreThanItsTerm) {
  this->Read(QuotaLeaseRecord{"vm-b", 1}, 4);
  this->now += QuotaLease::kTerm;
  this->lease.OnNeeded(this->now, true);
  CHECK(this->lease.NextCall(this->now) == QuotaLeaseCall::kNone);
  this->now += 300ms;
  this->Write();
  CHECK(this->lease.history().kind == Kind::kUnknown);
}

TEST(QuotaLease, Conflict_AnotherRenewed_WaitsForAnotherTerm) {
  this->Read(QuotaLeaseRecord{"vm-b", 1}, 4);
  this->now += QuotaLease::kTerm + 300ms;
  this->lease.OnNeeded(this->now, true);
  CHECK(this->lease.NextCall(this->now) == QuotaLeaseCall::kWrite);
  this->lease.OnConflict(this->now);
  this->Read(QuotaLeaseRecord{"vm-b", 1}, 5);
  CHECK(this->lease.NextCall(this->now) == QuotaLeaseCall::kNone);
  CHECK_FALSE(this->lease.Holds(this->now));
}

// The VM's process has restarted. Its own record makes the share free at once,
// but nothing is known about how much was lent.
TEST(QuotaLease, Read_OwnEarlierProcess_TakesShareAtOnceAsUnknown) {
  this->Read(QuotaLeaseRecord{"vm-a", 3}, 4);
  this->Write();
  CHECK(this->lease.Holds(this->now));
  CHECK(this->lease.history().kind == Kind::kUnknown);
}

// The earlier process of the VM ended before this one started.
TEST(QuotaLease, Read_OwnEarlierProcess_UnlentSinceItsOwnStart) {
  this->now += 2s;
  this->Read(QuotaLeaseRecord{"vm-a", 3, 0}, 4);
  this->Write();
  CHECK(this->lease.history().unlent_since == this->started);
  CHECK(this->lease.history().recent_starts == 0U);
  CHECK(this->lease.record().recent_starts == 1U);
}

TEST(QuotaLease, Read_AnotherHeld_UnlentSinceItsTermEnded) {
  this->Read(QuotaLeaseRecord{"vm-b", 1}, 4);
  const LeaseTime seen = this->now;
  this->now += QuotaLease::kTerm + 400ms;
  this->lease.OnNeeded(this->now, true);
  this->Write();
  CHECK(this->lease.history().unlent_since > seen + QuotaLease::kTerm);
  CHECK(this->lease.history().unlent_since < this->now);
  CHECK_FALSE(this->lease.record().recent_starts.has_value());
}

TEST(QuotaLease, Read_Released_UnlentSinceItWasRead) {
  this->Read(QuotaLeaseRecord{"", 0, 1}, 4);
  const LeaseTime seen = this->now;
  this->Write();
  CHECK(this->lease.history().unlent_since == seen);
  CHECK(this->lease.record().recent_starts == 2U);
}

// Failure: a write takes effect although its answer is lost. The record then
// names this process, which takes itself for the previous lender and lends from
// buckets that filled up while another VM lent.
TEST(QuotaLease, Write_AnswerIsLost_EarlierLendingIsStillUnknown) {
  this->Read(QuotaLeaseRecord{"vm-b", 1, 0}, 4);
  const LeaseTime seen = this->now;
  this->now += QuotaLease::kTerm + 300ms;
  this->lease.OnNeeded(this->now, true);
  CHECK(this->lease.NextCall(this->now) == QuotaLeaseCall::kWrite);
  this->lease.OnFailed(this->now);
  this->now += 300ms;
  this->Read(this->lease.record(), 5);
  this->Write();
  CHECK(this->lease.Holds(this->now));
  CHECK(this->lease.history().kind == Kind::kUnknown);
  CHECK(this->lease.history().unlent_since < seen + QuotaLease::kTerm + 300ms);
  CHECK(this->lease.record().recent_starts == 1U);
}

TEST(QuotaLease, Write_OwnLeaseExpired_HistoryIsOwn) {
  this->Read(QuotaLeaseRecord{"", 0, 0}, 4);
  this->Write();
  this->now += QuotaLease::kTerm + 1s;
  this->lease.OnNeeded(this->now, true);
  this->Write();
  CHECK(this->lease.history().kind == Kind::kOwn);
}

TEST(QuotaLease, Renewal_HeldForAWindow_CountsNoStarts) {
  this->Read(QuotaLeaseRecord{"", 0, 1}, 4);
  this->Write();
  for (int i = 0; i < 5; ++i) {
    this->now += 1s;
    this->lease.OnNeeded(this->now, true);
    this->Write();
    CHECK(this->lease.record().recent_starts == 2U);
  }
  this->now += 2s;
  this->lease.OnNeeded(this->now, true);
  this->Write();
  CHECK(this->lease.record().recent_starts == 0U);
}

// Failure: the lender's VM restarts and is not the first candidate any more.
// The first candidate has to wait for a whole term, although the new process
// could lend at once.
TEST(QuotaLease, LaterCandidate_AskedAndOfEarlierProcess_TakesShareAtOnce) {
  this->lease.OnAsked();
  this->lease.OnNeeded(this->now, false);
  CHECK(this->lease.NextCall(this->now) == QuotaLeaseCall::kRead);
  this->lease.OnRead(this->now, QuotaLeaseRecord{"vm-a", 3, 0}, LogPosition(4));
  this->Write();
  CHECK(this->lease.Holds(this->now));
}

TEST(QuotaLease, LaterCandidate_AskedAndAnotherHolds_OnlyReads) {
  this->lease.OnAsked();
  this->lease.OnNeeded(this->now, false);
  CHECK(this->lease.NextCall(this->now) == QuotaLeaseCall::kRead);
  this->lease.OnRead(this->now, QuotaLeaseRecord{"vm-b", 3, 0}, LogPosition(4));
  CHECK(this->lease.NextCall(this->now + 10ms) == QuotaLeaseCall::kNone);
}

// The holder can't renew its lease and tells how long it is still valid.
TEST(QuotaLease, Promise_ItsTimeIsOver_TakesShareBeforeAWholeTerm) {
  this->lease.OnAsked();
  this->lease.OnPromise(this->now, LogPosition(4), 1s);
  CHECK(this->lease.NextCall(this->now) == QuotaLeaseCall::kRead);
  this->lease.OnNeeded(this->now, false);
  this->lease.OnRead(this->now, QuotaLeaseRecord{"vm-b", 1, 0}, LogPosition(4));
  CHECK(this->lease.NextCall(this->now + 1s) == QuotaLeaseCall::kNone);
  this->now += 1200ms;
  this->Write();
  CHECK(this->lease.Holds(this->now));
  CHECK(this->lease.history().unlent_since < this->now);
}

// Failure: the holder renews its lease after all, and lends at the same time as
// the VM that relied on its promise.
TEST(QuotaLease, Promise_AnotherRecordFollowed_DoesNotCount) {
  this->lease.OnAsked();
  this->lease.OnPromise(this->now, LogPosition(4), 1s);
  this->lease.OnNeeded(this->now, true);
  CHECK(this->lease.NextCall(this->now) == QuotaLeaseCall::kRead);
  this->lease.OnRead(this->now, QuotaLeaseRecord{"vm-b", 1, 0}, LogPosition(5));
  CHECK(this->lease.NextCall(this->now + 2s) == QuotaLeaseCall::kNone);
}

TEST(QuotaLease, Release_Holding_LeavesTheShareToOthers) {
  this->Read(std::nullopt, 0);
  this->Write();
  this->lease.Release();
  CHECK(this->lease.NextCall(this->now + 1s) == QuotaLeaseCall::kWrite);
  CHECK(this->lease.record().holder.empty());
  CHECK_FALSE(this->lease.Holds(this->now + 1s));
  this->now += 1s;
  this->lease.OnWritten(this->now, LogPosition(2));
  this->lease.OnNeeded(this->now, true);
  CHECK(this->lease.NextCall(this->now) == QuotaLeaseCall::kNone);
}

// Failure: a lease expires before it can be released, and the VM writes a
// release at its next take-over instead of its own name, time and again.
TEST(QuotaLease, Release_LeaseExpiresFirst_CanBeTakenAgain) {
  this->Read(std::nullopt, 0);
  this->Write();
  this->lease.Release();
  this->now += QuotaLease::kTerm + 1s;
  this->lease.OnNeeded(this->now, true);
  CHECK(this->lease.NextCall(this->now) == QuotaLeaseCall::kWrite);
  STRCMP_EQUAL("vm-a", this->lease.record().holder.c_str());
}

TEST(QuotaLease, Write_AnswerIsLate_CountsFromTheCall) {
  this->Read(std::nullopt, 0);
  CHECK(this->lease.NextCall(this->now) == QuotaLeaseCall::kWrite);
  this->lease.OnWritten(this->now + QuotaLease::kTerm + 1s, LogPosition(1));
  CHECK_FALSE(this->lease.Holds(this->now + QuotaLease::kTerm + 1s));
}

TEST(QuotaLease, GiveUp_Holding_WritesEmptyHolder) {
  this->Read(std::nullopt, 0);
  this->Write();
  this->lease.GiveUp();
  this->now += 2s;
  CHECK(this->lease.NextCall(this->now) == QuotaLeaseCall::kWrite);
  CHECK(this->lease.record().holder.empty());
  CHECK_FALSE(this->lease.Holds(this->now));
}

TEST(QuotaLease, LaterCandidate_NeededOnce_DoesNotTakeOver) {
  this->lease.OnNeeded(this->now, false);
  CHECK(this->lease.NextCall(this->now + 10ms) == QuotaLeaseCall::kNone);
  this->lease.OnNeeded(this->now + 500ms, false);
  CHECK(this->lease.NextCall(this->now + 500ms) == QuotaLeaseCall::kRead);
}

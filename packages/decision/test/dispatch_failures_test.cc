// Tests of the dispatcher with failing upstreams: retries, budgets, promises,
// stragglers, hedges.

#include <map>

#include "decision_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::AttemptEnd;
using basilsill::AttemptReport;
using basilsill::DispatcherOptions;
using basilsill::DispatchHarness;
using basilsill::DispatchRequest;
using basilsill::Refusal;
using basilsill::Retry;
using basilsill::UpstreamEventKind;
using basilsill::UpstreamHandle;

TEST_GROUP(DispatchFailures) {
  DispatchHarness harness;

  void setup() override {
    for (int i = 0; i < 4; ++i) {
      this->harness.fixture.AddUpstream(0, 2);
    }
    this->harness.Apply();
  }

  size_t CountOf(UpstreamEventKind kind) const {
    size_t count = 0;
    for (const auto& event : this->harness.events) {
      count += event.kind == kind ? 1 : 0;
    }
    return count;
  }

  DispatchRequest Hedged() const {
    DispatchRequest request = this->harness.Request();
    request.hedge = true;
    return request;
  }

  // Keeps all slots busy. Requests at `odd` take `odd_time`, others
  // kServiceTime.
  void ServeBusy(basilsill::Duration length, UpstreamHandle odd,
                 basilsill::Duration odd_time) {
    std::map<uint64_t, basilsill::TimePoint> ends;
    const basilsill::TimePoint until = this->harness.now + length;
    while (this->harness.now < until) {
      while (this->harness.Queued() < 1) {
        this->harness.Offer();
      }
      for (const auto& run : std::vector(this->harness.running)) {
        const bool is_odd = run.upstream == odd;
        ends.emplace(run.cookie,
                     this->harness.now +
                         (is_odd ? odd_time : DispatchHarness::kServiceTime));
        if (ends.at(run.cookie) <= this->harness.now) {
          this->harness.End(run.cookie, AttemptEnd::kAnswered);
        }
      }
      this->harness.Advance(1ms);
    }
  }
};

TEST(DispatchFailures, OnAttemptEnd_Shed_RetriedAtAnother) {
  const uint64_t cookie = this->harness.Offer();
  const UpstreamHandle first = this->harness.RunOf(cookie).upstream;
  CHECK(this->harness.End(cookie, AttemptEnd::kShed, 503));
  CHECK(IsValid(this->harness.RunOf(cookie).attempt));
  CHECK(this->harness.RunOf(cookie).upstream != first);
  CHECK(this->harness.RunOf(cookie).retry == Retry::kShed);
  CHECK_EQUAL(1, this->harness.Count(Retry::kShed));
}

TEST(DispatchFailures, OnAttemptEnd_BodyPartlySent_NoFurtherAttempt) {
  // Failure: an instance refuses a long upload or dies after part of it was
  // sent. That part is not kept, so another instance would take the rest for a
  // complete upload.
  DispatchRequest request = this->harness.Request();
  request.replayable = false;
  const uint64_t shed = this->harness.Offer(request);
  CHECK(this->harness.End(shed, AttemptEnd::kShed, 503));
  CHECK(this->harness.RefusalFor(shed) == Refusal::kUpstreamShed);
  const uint64_t died = this->harness.Offer(request);
  CHECK(this->harness.End(died, AttemptEnd::kDied));
  CHECK(this->harness.RefusalFor(died) == Refusal::kUpstreamDied);
  CHECK(this->harness.running.empty());
  CHECK_EQUAL(2, this->harness.Count(Retry::kDeniedBodyGone));
}

TEST(DispatchFailures,
     OnAttemptEnd_NotConnectedWithBodyUnsent_RetriedAtAnother) {
  DispatchRequest request = this->harness.Request();
  request.replayable = false;
  const uint64_t cookie = this->harness.Offer(request);
  const UpstreamHandle first = this->harness.RunOf(cookie).upstream;
  CHECK(this->harness.End(cookie, AttemptEnd::kConnectFailed));
  CHECK(this->harness.RunOf(cookie).upstream != first);
}

TEST(DispatchFailures, OnAttemptEnd_DiedNotIdempotent_RefusedWithoutRetry) {
  // Failure: an instance dies while it runs a request that is not idempotent.
  // It is unknown whether the request had an effect, so it must not run again,
  // and the caller has to know that.
  DispatchRequest request = this->harness.Request();
  request.idempotent = false;
  const uint64_t cookie = this->harness.Offer(request);
  CHECK(this->harness.End(cookie, AttemptEnd::kDied));
  CHECK(this->harness.RefusalFor(cookie) == Refusal::kUpstreamDied);
  CHECK(this->harness.running.empty());
  CHECK_EQUAL(1, this->harness.Count(Retry::kDeniedNotIdempotent));
}

TEST(DispatchFailures, OnAttemptEnd_DiedAfterAnswerStarted_NoRetry) {
  const uint64_t cookie = this->harness.Offer();
  this->harness.dispatcher->OnFirstByte(this->harness.now,
                                        this->harness.RunOf(cookie).attempt);
  AttemptReport report = DispatchHarness::Report(AttemptEnd::kDied);
  report.answer_started = true;
  CHECK_FALSE(this->harness.End(cookie, report));
  CHECK(this->harness.refused.empty());
}

TEST(DispatchFailures, Refusal_EarlierAttemptMayHaveRun_DoesNotPromiseNotRun) {
  // Failure: an attempt dies with its instance, the request is queued again,
  // and its deadline passes there. The refusal for that promises that the
  // request did not run, which is unknown.
  for (uint32_t i = 0; i < 3; ++i) {
    this->harness.fixture.service.upstreams[i].leaving = true;
  }
  this->harness.Apply();
  const uint64_t cookie = this->harness.Offer();
  this->harness.Offer();
  this->harness.Offer();
  CHECK(this->harness.End(cookie, AttemptEnd::kDied));
  this->harness.Advance(2s);
  CHECK(this->harness.RefusalFor(cookie) == Refusal::kUpstreamDied);
}

TEST(DispatchFailures, OnAttemptEnd_NoUpstreamLeft_RefusedAsNoUpstream) {
  // The last instance of the data centre sheds the request because it is
  // leaving. The refusal has to tell the entry VM that it may try elsewhere.
  for (uint32_t i = 0; i < 3; ++i) {
    this->harness.fixture.service.upstreams[i].leaving = true;
  }
  this->harness.Apply();
  const uint64_t cookie = this->harness.Offer();
  AttemptReport report = DispatchHarness::Report(AttemptEnd::kShed, 503);
  report.notice.leaving = true;
  CHECK(this->harness.End(cookie, report));
  CHECK(this->harness.RefusalFor(cookie) == Refusal::kNoUpstream);
}

TEST(DispatchFailures, Retries_EverythingFails_AddAtMostATenth) {
  // Failure: after a bad release every connection breaks, and retries multiply
  // the load on a service that is already failing.
  this->harness.WarmUp();
  const uint64_t before = this->harness.dispatcher->counters().attempts;
  uint64_t offered = 0;
  for (int i = 0; i < 20000; ++i) {
    ++offered;
    this->harness.Offer(this->Hedged());
    while (!this->harness.running.empty()) {
      this->harness.EndAt(0, DispatchHarness::Report(AttemptEnd::kDied));
    }
    if (i % 10 == 0) {
      this->harness.Advance(1ms);
    }
  }
  const uint64_t attempts =
      this->harness.dispatcher->counters().attempts - before;
  CHECK(attempts <= offered + offered / 10);
  CHECK(this->harness.Count(Retry::kUpstreamDied) <= attempts / 10 + 10);
  this->harness.Advance(100ms);
  CHECK_EQUAL(offered, this->harness.refused.size());
}

TEST(DispatchFailures, Retries_LoneRequestOfIdleService_IsGranted) {
  this->harness.Advance(60s);
  const uint64_t cookie = this->harness.Offer();
  CHECK(this->harness.End(cookie, AttemptEnd::kConnectFailed));
  CHECK(IsValid(this->harness.RunOf(cookie).attempt));
}

TEST(DispatchFailures, ConnectFailed_Upstream_PausedThenTriedWithOneSlot) {
  const uint64_t cookie = this->harness.Offer();
  const UpstreamHandle down = this->harness.RunOf(cookie).upstream;
  this->harness.End(cookie, AttemptEnd::kConnectFailed);
  for (int i = 0; i < 5; ++i) {
    this->harness.Offer();
  }
  CHECK_EQUAL(0, this->harness.RunningOn(down));
  this->harness.Advance(150ms);
  for (int i = 0; i < 4; ++i) {
    this->harness.Offer();
  }
  CHECK_EQUAL(1, this->harness.RunningOn(down));
  CHECK_EQUAL(1, this->CountOf(UpstreamEventKind::kBackedOff));
}

TEST(DispatchFailures, Pauses_AllFailThenRecover_AllAreBackSoon) {
  // Failure: a service is down for a minute, and the pauses of its upstreams
  // grow so long that its recovery goes unnoticed.
  for (int i = 0; i < 600; ++i) {
    this->harness.Offer();
    while (!this->harness.running.empty()) {
      this->harness.EndAt(0,
                          DispatchHarness::Report(AttemptEnd::kConnectFailed));
    }
    this->harness.Advance(100ms);
  }
  for (int i = 0; i < 60; ++i) {
    const uint64_t cookie = this->harness.Offer();
    this->harness.Advance(5ms);
    this->harness.End(cookie, AttemptEnd::kAnswered);
  }
  for (int i = 0; i < 4; ++i) {
    this->harness.Offer();
  }
  CHECK_EQUAL(4, this->harness.running.size());
}

TEST(DispatchFailures, FailFast_ErrorsAtOnce_AttractNoTraffic) {
  // Failure: one instance answers 500 immediately. Its slots are always free,
  // so a dispatcher that only counts slots sends it most of the requests.
  this->harness.WarmUp();
  const UpstreamHandle bad{2, 0};
  size_t at_bad = 0;
  for (int i = 0; i < 400; ++i) {
    const uint64_t cookie = this->harness.Offer();
    const bool is_bad = this->harness.RunOf(cookie).upstream == bad;
    at_bad += is_bad ? 1 : 0;
    if (!is_bad) {
      this->harness.Advance(5ms);
    }
    this->harness.End(cookie, AttemptEnd::kAnswered, is_bad ? 500 : 200);
  }
  CHECK(at_bad < 12);
  CHECK_EQUAL(1, this->CountOf(UpstreamEventKind::kFailing));
}

TEST(DispatchFailures, FailFast_WasSlowBefore_IsMarkedFailing) {
  // Failure: an instance that is marked as slow starts to answer errors
  // immediately. If only successful answers cleared the mark, it would stay
  // marked as slow forever.
  this->harness.WarmUp(200);
  const UpstreamHandle bad{1, 0};
  this->ServeBusy(500ms, bad, 60ms);
  CHECK_EQUAL(1, this->CountOf(UpstreamEventKind::kStraggling));
  for (int i = 0; i < 300; ++i) {
    this->harness.Offer();
    while (this->harness.RunningOn(bad) > 0) {
      this->harness.EndOn(bad,
                          DispatchHarness::Report(AttemptEnd::kAnswered, 500));
    }
    if (this->harness.Queued() > 2) {
      this->harness.Advance(5ms);
      this->harness.EndAt(0, DispatchHarness::Report(AttemptEnd::kAnswered));
    }
  }
  CHECK_EQUAL(1, this->CountOf(UpstreamEventKind::kFailing));
}

TEST(DispatchFailures, Shed_OneInstanceShedsAll_AttractsNoTraffic) {
  // Failure: one instance sheds every request immediately. Its slots are always
  // free, so it attracts most of the requests.
  this->harness.WarmUp();
  const UpstreamHandle bad{2, 0};
  for (int i = 0; i < 1000; ++i) {
    const uint64_t cookie = this->harness.Offer();
    if (this->harness.RunOf(cookie).upstream == bad) {
      this->harness.End(cookie, AttemptEnd::kShed, 503);
    }
    this->harness.Advance(2ms);
    this->harness.End(cookie, AttemptEnd::kAnswered);
  }
  CHECK(this->harness.Count(Retry::kShed) < 30);
  CHECK(this->harness.refused.empty());
}

TEST(DispatchFailures, FailFast_AllAnswerErrors_NoneIsMarked) {
  // Failure: callers send requests to which every instance answers 500. No
  // single instance is at fault; marking them would cause an outage.
  this->harness.WarmUp();
  for (int i = 0; i < 200; ++i) {
    const uint64_t cookie = this->harness.Offer();
    this->harness.Advance(1ms);
    this->harness.End(cookie, AttemptEnd::kAnswered, 500);
  }
  CHECK(this->CountOf(UpstreamEventKind::kFailing) <= 2);
  for (int i = 0; i < 4; ++i) {
    this->harness.Offer();
  }
  CHECK_EQUAL(4, this->harness.running.size());
}

TEST(DispatchFailures, FailFast_Recovers_GetsItsShareBack) {
  this->harness.WarmUp();
  const UpstreamHandle bad{2, 0};
  for (int i = 0; i < 4000; ++i) {
    const uint64_t cookie = this->harness.Offer();
    const bool is_bad = this->harness.RunOf(cookie).upstream == bad && i < 100;
    this->harness.Advance(5ms);
    this->harness.End(cookie, AttemptEnd::kAnswered, is_bad ? 500 : 200);
  }
  CHECK_EQUAL(1, this->CountOf(UpstreamEventKind::kRecovered));
}

TEST(DispatchFailures, Straggler_SlowAnswers_ComesLast) {
  this->harness.WarmUp(200);
  const UpstreamHandle slow{1, 0};
  this->ServeBusy(500ms, slow, 60ms);
  CHECK_EQUAL(1, this->CountOf(UpstreamEventKind::kStraggling));
  while (!this->harness.running.empty()) {
    this->harness.EndAt(0, DispatchHarness::Report(AttemptEnd::kAnswered));
  }
  for (int i = 0; i < 6; ++i) {
    this->harness.Offer();
  }
  CHECK_EQUAL(0, this->harness.RunningOn(slow));
  this->harness.Offer();
  this->harness.Offer();
  CHECK_EQUAL(1, this->harness.RunningOn(slow));
}

TEST(DispatchFailures, Straggler_IsFastAgain_GetsItsShareBack) {
  this->harness.WarmUp(200);
  const UpstreamHandle slow{1, 0};
  this->ServeBusy(500ms, slow, 60ms);
  this->ServeBusy(500ms, slow, DispatchHarness::kServiceTime);
  CHECK_EQUAL(1, this->CountOf(UpstreamEventKind::kRecovered));
}

TEST(DispatchFailures, Straggler_NothingEnds_AgeIsEvidence) {
  // Failure: an instance hangs. Its requests never end, so no completed request
  // shows that it is slow.
  this->harness.WarmUp(200);
  const UpstreamHandle hung{1, 0};
  std::vector<uint64_t> others;
  for (int i = 0; i < 8; ++i) {
    const uint64_t cookie = this->harness.Offer();
    if (this->harness.RunOf(cookie).upstream != hung) {
      others.push_back(cookie);
    }
  }
  this->harness.Advance(5ms);
  for (const uint64_t cookie : others) {
    this->harness.End(cookie, AttemptEnd::kAnswered);
  }
  this->harness.Advance(100ms);
  CHECK_EQUAL(2, this->harness.RunningOn(hung));
  CHECK_EQUAL(1, this->CountOf(UpstreamEventKind::kStraggling));
}

TEST(DispatchFailures, Straggler_AllSlowAtOnce_AtMostHalfAreMarked) {
  this->harness.WarmUp(200);
  for (int i = 0; i < 100; ++i) {
    const uint64_t cookie = this->harness.Offer();
    this->harness.Advance(60ms);
    this->harness.End(cookie, AttemptEnd::kAnswered);
  }
  CHECK(this->CountOf(UpstreamEventKind::kStraggling) -
            this->CountOf(UpstreamEventKind::kRecovered) <=
        2);
}

TEST(DispatchFailures, Hedge_SlowRequest_LoserIsCancelled) {
  this->harness.WarmUp(200);
  const uint64_t cookie = this->harness.Offer(this->Hedged());
  const auto first = this->harness.RunOf(cookie);
  this->harness.Advance(50ms);
  const auto second = this->harness.RunOf(cookie);
  CHECK(second.attempt != first.attempt);
  CHECK(second.upstream != first.upstream);
  CHECK(second.retry == Retry::kHedge);
  this->harness.dispatcher->OnFirstByte(this->harness.now, second.attempt);
  this->harness.Collect();
  CHECK(this->harness.cancelled.back().attempt == first.attempt);
  CHECK_FALSE(this->harness.End(cookie, AttemptEnd::kAnswered));
  CHECK_EQUAL(1, this->harness.dispatcher->counters().hedges_won);
}

// Failure: a VM shuts down, and a request of its caller that it has taken back
// is sent to another upstream, beyond the end of the VM.
TEST(DispatchFailures, Hedge_Withdrawn_Never) {
  this->harness.WarmUp(200);
  const uint64_t cookie = this->harness.Offer(this->Hedged());
  const auto first = this->harness.RunOf(cookie);
  this->harness.dispatcher->Withdraw(this->harness.now,
                                     this->harness.HandleOf(cookie));
  this->harness.Advance(50ms);
  CHECK(this->harness.RunOf(cookie).attempt == first.attempt);
  CHECK_FALSE(
      this->harness.dispatcher->MaySendAgain(this->harness.now, first.attempt));
  CHECK_FALSE(this->harness.End(cookie, AttemptEnd::kAnswered));
}

TEST(DispatchFailures, Hedge_OneOfTwoDies_OtherContinues) {
  this->harness.WarmUp(200);
  const uint64_t cookie = this->harness.Offer(this->Hedged());
  this->harness.Advance(50ms);
  CHECK(this->harness.End(cookie, AttemptEnd::kDied));
  CHECK_EQUAL(1, this->harness.running.size());
  CHECK_FALSE(this->harness.End(cookie, AttemptEnd::kAnswered));
  CHECK(this->harness.refused.empty());
}

TEST(DispatchFailures, Hedge_NotIdempotent_Never) {
  this->harness.WarmUp(200);
  DispatchRequest request = this->Hedged();
  request.idempotent = false;
  this->harness.Offer(request);
  this->harness.Advance(500ms);
  CHECK_EQUAL(1, this->harness.running.size());
}

TEST(DispatchFailures, Hedge_EverythingIsSlow_StaysInItsBudget) {
  this->harness.WarmUp(500);
  for (int i = 0; i < 2000; ++i) {
    const uint64_t cookie = this->harness.Offer(this->Hedged());
    this->harness.Advance(40ms);
    this->harness.End(cookie, AttemptEnd::kAnswered);
  }
  CHECK(this->harness.Count(Retry::kHedge) <= 60);
}

namespace {

// A fleet-wide limit of one repeat for two requests, without slack.
DispatcherOptions OptionsWithRatioOnly() {
  DispatcherOptions options;
  options.repeats = basilsill::SplitRepeatBudget({0.5, 0, 10s});
  options.retry_budget = {1, 1000, 1000, 1000};
  return options;
}

}  // namespace

TEST_GROUP(DispatchRepeatBudget) {
  DispatchHarness harness{OptionsWithRatioOnly()};

  void setup() override {
    this->harness.fixture.AddUpstream(0);
    this->harness.fixture.AddUpstream(0);
    this->harness.Apply();
    this->harness.Advance(10s);
  }

  void Serve(uint8_t sends, int count) {
    for (int i = 0; i < count; ++i) {
      DispatchRequest request = this->harness.Request();
      request.sends = sends;
      this->harness.End(this->harness.Offer(request), AttemptEnd::kAnswered);
    }
  }
};

TEST(DispatchRepeatBudget, Requests_FirstAttempts_FundRepeat) {
  this->Serve(0, 20);
  CHECK(this->harness.End(this->harness.Offer(), AttemptEnd::kShed));
  CHECK_EQUAL(1, this->harness.Count(Retry::kShed));
}

// Failure: requests that were sent elsewhere before add to the repeat budget a
// second time.
TEST(DispatchRepeatBudget, Requests_SentElsewhereBefore_FundNoRepeat) {
  this->Serve(1, 20);
  this->harness.End(this->harness.Offer(), AttemptEnd::kShed);
  CHECK_EQUAL(0, this->harness.Count(Retry::kShed));
  CHECK_EQUAL(1, this->harness.Count(Retry::kDeniedBudget));
}

// Failure: a VM that can't connect to any upstream says that there is none, and
// its entry VMs believe it.
TEST(DispatchFailures, AllUpstreams_ConnectionsFail_RefusedAsUnreachable) {
  const uint64_t cookie = this->harness.Offer();
  while (IsValid(this->harness.RunOf(cookie).attempt)) {
    this->harness.End(cookie, AttemptEnd::kConnectFailed);
  }
  CHECK(this->harness.RefusalFor(cookie) == Refusal::kUpstreamsUnreachable);
}

TEST(DispatchFailures, Path_IsLost_WaitingAndNewRequestsAreRefusedAtOnce) {
  for (int i = 0; i < 8; ++i) {
    this->harness.Offer();
  }
  const uint64_t waiting = this->harness.Offer();
  this->harness.dispatcher->OnReach(this->harness.now, {0, 0}, false);
  this->harness.Collect();
  CHECK(this->harness.RefusalFor(waiting) == Refusal::kUpstreamsUnreachable);
  const uint64_t later = this->harness.Offer();
  CHECK(this->harness.RefusalFor(later) == Refusal::kUpstreamsUnreachable);
  CHECK_FALSE(this->harness.dispatcher->ReachesShard(this->harness.now,
                                                     this->harness.shard));
}

// Failure: connections that are open live on while new ones are refused, and
// the VM refuses what it could serve if no other VM reaches the upstreams
// either.
TEST(DispatchFailures, Path_IsLostButOpenConnectionAnswers_RequestsAreServed) {
  const uint64_t running = this->harness.Offer();
  this->harness.dispatcher->OnReach(this->harness.now, {0, 0}, false);
  this->harness.End(running, AttemptEnd::kAnswered);
  const uint64_t next = this->harness.Offer();
  CHECK(this->harness.RefusalFor(next) == Refusal::kNone);
}

TEST(DispatchFailures, Path_IsBack_RequestsAreServedAtOnce) {
  this->harness.dispatcher->OnReach(this->harness.now, {0, 0}, false);
  this->harness.Offer();
  this->harness.dispatcher->OnReach(this->harness.now, {0, 0}, true);
  const uint64_t cookie = this->harness.Offer();
  CHECK(IsValid(this->harness.RunOf(cookie).attempt));
}

// Failure: a shard that is opened while the path is lost starts requests there.
TEST(DispatchFailures, Path_IsLostBeforeFirstRequest_RefusedAtOnce) {
  this->harness.dispatcher->OnReach(this->harness.now, {0, 0}, false);
  const uint64_t cookie = this->harness.Offer();
  CHECK(this->harness.RefusalFor(cookie) == Refusal::kUpstreamsUnreachable);
}

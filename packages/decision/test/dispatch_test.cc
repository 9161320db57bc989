// Tests of the dispatcher: slots, late binding, deadlines, cancellation, and
// upstreams that are added, leave or are removed.

#include "decision_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::AttemptEnd;
using basilsill::DispatcherOptions;
using basilsill::DispatchHarness;
using basilsill::DispatchRequest;
using basilsill::Promise;
using basilsill::Refusal;
using basilsill::UpstreamHandle;

namespace {

// Without send-ahead, no upstream gets more requests than it has slots.
DispatcherOptions WithoutSendAhead() {
  DispatcherOptions options;
  options.features.send_ahead = false;
  return options;
}

}  // namespace

TEST_GROUP(Dispatch) {
  DispatchHarness harness{WithoutSendAhead()};
};

TEST(Dispatch, Offer_MoreThanSlots_BindsWhenSlotFrees) {
  this->harness.fixture.AddUpstream(0, 2);
  this->harness.Apply();
  const uint64_t first = this->harness.Offer();
  this->harness.Offer();
  const uint64_t third = this->harness.Offer();
  CHECK_EQUAL(2, this->harness.running.size());
  CHECK_EQUAL(1, this->harness.Queued());
  CHECK_FALSE(this->harness.End(first, AttemptEnd::kAnswered));
  CHECK(IsValid(this->harness.RunOf(third).attempt));
  CHECK_EQUAL(0, this->harness.Queued());
}

TEST(Dispatch, Offer_SomeBusy_TakesTheLeastBusy) {
  for (int i = 0; i < 3; ++i) {
    this->harness.fixture.AddUpstream(0, 2);
  }
  this->harness.Apply();
  for (int i = 0; i < 3; ++i) {
    this->harness.Offer();
  }
  for (uint32_t i = 0; i < 3; ++i) {
    CHECK_EQUAL(1, this->harness.RunningOn({i, 0}));
  }
}

TEST(Dispatch, Offer_AllLeaving_RefusedAsNoUpstream) {
  this->harness.fixture.AddUpstream(0);
  this->harness.fixture.service.upstreams[0].leaving = true;
  this->harness.Apply();
  CHECK(this->harness.RefusalFor(this->harness.Offer()) ==
        Refusal::kNoUpstream);
}

TEST(Dispatch, Offer_UnknownShard_RefusedAsNoUpstream) {
  this->harness.fixture.AddUpstream(0);
  this->harness.Apply();
  DispatchRequest request = this->harness.Request();
  request.shard += 1;
  CHECK(this->harness.RefusalFor(this->harness.Offer(request)) ==
        Refusal::kNoUpstream);
}

TEST(Dispatch, Offer_WaitAboveMaxWait_HandedBackAtOnce) {
  this->harness.fixture.AddUpstream(0, 1);
  this->harness.Apply();
  this->harness.WarmUp();
  this->harness.Offer();
  DispatchRequest request = this->harness.Request();
  request.max_wait = 4ms;
  const uint64_t moved = this->harness.Offer(request);
  CHECK(this->harness.RefusalFor(moved) == Refusal::kQueueFull);
  request.max_wait = 6ms;
  CHECK(this->harness.RefusalFor(this->harness.Offer(request)) ==
        Refusal::kNone);
}

TEST(Dispatch, Offer_DeadlineBeforeItsTurn_RefusedWithRetryAfter) {
  this->harness.fixture.AddUpstream(0, 1);
  this->harness.Apply();
  this->harness.WarmUp();
  for (int i = 0; i < 11; ++i) {
    this->harness.Offer();
  }
  DispatchRequest request = this->harness.Request();
  request.deadline = this->harness.now + 40ms;
  const uint64_t late = this->harness.Offer(request);
  CHECK(this->harness.RefusalFor(late) == Refusal::kDeadlineUnmeetable);
  CHECK(this->harness.refused.back().retry_after >= 50ms);
}

TEST(Dispatch, Tick_DeadlinePassesInQueue_RefusedOnce) {
  this->harness.fixture.AddUpstream(0, 1);
  this->harness.Apply();
  this->harness.Offer();
  DispatchRequest request = this->harness.Request();
  request.deadline = this->harness.now + 20ms;
  const uint64_t late = this->harness.Offer(request);
  this->harness.Advance(19ms);
  CHECK(this->harness.RefusalFor(late) == Refusal::kNone);
  this->harness.Advance(5ms);
  CHECK(this->harness.RefusalFor(late) == Refusal::kDeadlinePassedInQueue);
  CHECK_EQUAL(1, this->harness.refused.size());
}

TEST(Dispatch, Tick_DeadlinePassesWhileRunning_CancelledAndTimedOut) {
  this->harness.fixture.AddUpstream(0, 1);
  this->harness.Apply();
  const uint64_t stuck = this->harness.Offer();
  const uint64_t next = this->harness.Offer();
  this->harness.Advance(1s);
  CHECK(this->harness.RefusalFor(stuck) == Refusal::kUpstreamTimeout);
  CHECK_EQUAL(stuck, this->harness.cancelled.front().cookie);
  CHECK(this->harness.RefusalFor(next) == Refusal::kDeadlinePassedInQueue);
}

TEST(Dispatch, Tick_DeadlinePassesAfterFirstByte_AnswerContinues) {
  this->harness.fixture.AddUpstream(0, 1);
  this->harness.Apply();
  const uint64_t download = this->harness.Offer();
  this->harness.dispatcher->OnFirstByte(this->harness.now,
                                        this->harness.RunOf(download).attempt);
  this->harness.Advance(2s);
  CHECK(this->harness.cancelled.empty());
  CHECK_FALSE(this->harness.End(download, AttemptEnd::kAnswered));
  CHECK(this->harness.refused.empty());
}

TEST(Dispatch, Cancel_WhileRunning_CancelsAndFreesSlot) {
  this->harness.fixture.AddUpstream(0, 1);
  this->harness.Apply();
  const uint64_t cancelled_request = this->harness.Offer();
  const uint64_t next = this->harness.Offer();
  this->harness.dispatcher->Cancel(this->harness.now,
                                   this->harness.HandleOf(cancelled_request));
  this->harness.Collect();
  CHECK_EQUAL(cancelled_request, this->harness.cancelled.front().cookie);
  CHECK(IsValid(this->harness.RunOf(next).attempt));
}

TEST(Dispatch, OnAttemptEnd_AttemptWasCancelled_IsNoOutcome) {
  // Failure: the caller disconnects while the answer arrives. The host still
  // reports the end of the cancelled attempt, which then ends another request
  // that has the slot by now.
  this->harness.fixture.AddUpstream(0, 1);
  this->harness.Apply();
  const uint64_t cancelled_request = this->harness.Offer();
  const auto attempt = this->harness.RunOf(cancelled_request).attempt;
  this->harness.dispatcher->Cancel(this->harness.now,
                                   this->harness.HandleOf(cancelled_request));
  this->harness.Collect();
  const uint64_t next = this->harness.Offer();
  CHECK(this->harness.dispatcher->OnAttemptEnd(
      this->harness.now, attempt, DispatchHarness::Report(AttemptEnd::kDied)));
  CHECK_FALSE(this->harness.End(next, AttemptEnd::kAnswered));
}

TEST(Dispatch, HandBack_SomeRun_OnlyWaitingOnesAreRefused) {
  this->harness.fixture.AddUpstream(0, 1);
  this->harness.Apply();
  const uint64_t runs = this->harness.Offer();
  const uint64_t waits = this->harness.Offer();
  this->harness.dispatcher->HandBack(this->harness.now);
  this->harness.Collect();
  CHECK(this->harness.RefusalFor(waits) == Refusal::kShuttingDown);
  CHECK(this->harness.RefusalFor(this->harness.Offer()) ==
        Refusal::kShuttingDown);
  CHECK_FALSE(this->harness.End(runs, AttemptEnd::kAnswered));
}

// Failure: a VM shuts down while a request of its caller waits here. Nobody
// takes the request back, and its caller gets no answer.
TEST(Dispatch, Withdraw_RequestWaits_RefusedAsNotRun) {
  this->harness.fixture.AddUpstream(0, 1);
  this->harness.Apply();
  const uint64_t runs = this->harness.Offer();
  const uint64_t waits = this->harness.Offer();
  for (const uint64_t cookie : {runs, waits}) {
    this->harness.dispatcher->Withdraw(this->harness.now,
                                       this->harness.HandleOf(cookie));
  }
  this->harness.Collect();
  CHECK(this->harness.RefusalFor(waits) == Refusal::kShuttingDown);
  CHECK(this->harness.RefusalFor(runs) == Refusal::kNone);
  CHECK_FALSE(this->harness.End(runs, AttemptEnd::kAnswered));
}

// Failure: a withdrawn request is rejected by its upstream and waits again,
// beyond the end of the VM that has its caller.
TEST(Dispatch, Withdraw_AttemptIsRejectedLater_NoOtherFollows) {
  this->harness.fixture.AddUpstream(0, 1);
  this->harness.fixture.AddUpstream(0, 1);
  this->harness.Apply();
  const uint64_t runs = this->harness.Offer();
  this->harness.dispatcher->Withdraw(this->harness.now,
                                     this->harness.HandleOf(runs));
  this->harness.End(runs, AttemptEnd::kShed);
  CHECK(InfoOf(this->harness.RefusalFor(runs)).promise == Promise::kNotRun);
  CHECK_FALSE(IsValid(this->harness.RunOf(runs).attempt));
}

TEST(Dispatch, ApplyView_UpstreamLeaves_GetsNoNewWork) {
  const UpstreamHandle leaves = this->harness.fixture.AddUpstream(0, 2);
  const UpstreamHandle stays = this->harness.fixture.AddUpstream(0, 2);
  this->harness.Apply();
  this->harness.Offer();
  this->harness.Offer();
  this->harness.fixture.service.upstreams[0].leaving = true;
  this->harness.Apply();
  for (int i = 0; i < 4; ++i) {
    this->harness.Offer();
  }
  CHECK_EQUAL(1, this->harness.RunningOn(leaves));
  CHECK_EQUAL(2, this->harness.RunningOn(stays));
  CHECK_EQUAL(3, this->harness.Queued());
}

TEST(Dispatch, ApplyView_LastUpstreamRemoved_WaitingOnesAreRefused) {
  this->harness.fixture.AddUpstream(0, 1);
  this->harness.Apply();
  this->harness.Offer();
  const uint64_t waits = this->harness.Offer();
  this->harness.fixture.service.upstreams[0].leaving = true;
  this->harness.Apply();
  this->harness.Advance(5ms);
  CHECK(this->harness.RefusalFor(waits) == Refusal::kNoUpstream);
}

TEST(Dispatch, ApplyView_NewUpstream_StartsWithOneSlot) {
  this->harness.fixture.AddUpstream(0, 2);
  this->harness.Apply();
  this->harness.WarmUp(4);
  const UpstreamHandle cold = this->harness.fixture.AddUpstream(0, 2);
  this->harness.Apply();
  for (int i = 0; i < 4; ++i) {
    this->harness.Offer();
  }
  CHECK_EQUAL(1, this->harness.RunningOn(cold));
  while (this->harness.RunningOn(cold) == 1) {
    this->harness.EndOn(cold, DispatchHarness::Report(AttemptEnd::kAnswered));
    this->harness.Offer();
  }
  CHECK_EQUAL(2, this->harness.RunningOn(cold));
}

TEST(Dispatch, OnAttemptEnd_DrainSign_NoWorkForTwoMinutes) {
  // Failure: an instance announces in an answer that it is leaving, long before
  // the configuration shows it, and gets trial requests meanwhile.
  const UpstreamHandle leaves = this->harness.fixture.AddUpstream(0, 2);
  this->harness.fixture.AddUpstream(0, 2);
  this->harness.Apply();
  this->harness.Offer();
  auto report = DispatchHarness::Report(AttemptEnd::kAnswered);
  report.notice.leaving = true;
  this->harness.EndOn(leaves, report);
  for (int second = 0; second < 100; ++second) {
    this->harness.Advance(1s);
    const uint64_t cookie = this->harness.Offer();
    CHECK_EQUAL(0, this->harness.RunningOn(leaves));
    this->harness.End(cookie, AttemptEnd::kAnswered);
  }
  this->harness.Advance(30s);
  for (int i = 0; i < 3; ++i) {
    this->harness.Offer();
  }
  CHECK_EQUAL(1, this->harness.RunningOn(leaves));
}

TEST(Dispatch, SendAhead_LongQueue_OneMoreAtEachUpstream) {
  DispatchHarness ahead;
  const UpstreamHandle upstream = ahead.fixture.AddUpstream(0, 2);
  ahead.Apply();
  for (int i = 0; i < 10; ++i) {
    ahead.Offer();
  }
  CHECK_EQUAL(3, ahead.RunningOn(upstream));
}

TEST(Dispatch, SendAhead_UpstreamSheds_RetriedAndSendAheadStops) {
  // Failure: an instance sheds requests beyond its slots, and the caller gets
  // an error or the team's retry budget is charged, although the dispatcher
  // caused this by sending ahead.
  DispatchHarness ahead;
  const UpstreamHandle upstream = ahead.fixture.AddUpstream(0, 2);
  ahead.Apply();
  for (int i = 0; i < 10; ++i) {
    ahead.Offer();
  }
  const uint64_t third = ahead.running.back().cookie;
  CHECK(ahead.End(third, AttemptEnd::kShed, 503));
  CHECK_EQUAL(2, ahead.RunningOn(upstream));
  CHECK(ahead.refused.empty());
  ahead.EndOn(upstream, DispatchHarness::Report(AttemptEnd::kAnswered));
  CHECK_EQUAL(2, ahead.RunningOn(upstream));
  CHECK(IsValid(ahead.RunOf(third).attempt));
}

TEST(Dispatch, SendAhead_TwoTeams_NotDone) {
  DispatchHarness ahead;
  const auto other = ahead.fixture.AddTeam("vitosha");
  const UpstreamHandle upstream = ahead.fixture.AddUpstream(0, 2);
  ahead.Apply();
  DispatchRequest request = ahead.Request();
  request.team = other;
  ahead.Offer(request);
  for (int i = 0; i < 10; ++i) {
    ahead.Offer();
  }
  CHECK_EQUAL(2, ahead.RunningOn(upstream));
}

// Tests of upstreams that start again under their id: what they ran has died,
// and nothing that was learnt of the older start holds for the younger one.

#include "decision_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::AttemptEnd;
using basilsill::AttemptReport;
using basilsill::DispatchHarness;
using basilsill::DispatchRequest;
using basilsill::Refusal;
using basilsill::UpstreamHandle;

TEST_GROUP(DispatchRestart) {
  DispatchHarness harness;
  UpstreamHandle only;

  void setup() override {
    this->only = this->harness.fixture.AddUpstream(0, 2);
    this->harness.fixture.AddIncarnations();
    this->harness.Apply();
  }

  UpstreamHandle RestartUpstream() {
    this->only = this->harness.fixture.RestartUpstream(this->only);
    this->harness.Apply();
    return this->only;
  }

  DispatchRequest Unsafe() const {
    DispatchRequest request = this->harness.Request();
    request.idempotent = false;
    return request;
  }
};

// An upstream dies behind a cut, so nothing tells of it, and starts again. A
// request that runs there would be waited for until its time is over.
TEST(DispatchRestart, RunsOnTheOlderStart_Idempotent_GoesToTheYounger) {
  const uint64_t cookie = this->harness.Offer();
  const UpstreamHandle younger = this->RestartUpstream();
  this->harness.Advance(2ms);
  CHECK_EQUAL(1, this->harness.cancelled.size());
  CHECK(this->harness.RunOf(cookie).upstream == younger);
}

// The same with one that may run once at most: it may have run, so it is told
// so, at once, and not sent again.
TEST(DispatchRestart, RunsOnTheOlderStart_Unsafe_ToldAsUnknownAtOnce) {
  const uint64_t cookie = this->harness.Offer(this->Unsafe());
  this->RestartUpstream();
  this->harness.Advance(2ms);
  CHECK(this->harness.RefusalFor(cookie) == Refusal::kUpstreamDied);
  CHECK_EQUAL(0, this->harness.running.size());
}

// The answer was on its way when the upstream died, and is read before the
// next tick: it is the caller's.
TEST(DispatchRestart, AnswerAlreadyThere_IsDelivered) {
  const uint64_t cookie = this->harness.Offer(this->Unsafe());
  this->RestartUpstream();
  CHECK_FALSE(this->harness.End(cookie, AttemptEnd::kAnswered));
  this->harness.Advance(2ms);
  CHECK(this->harness.RefusalFor(cookie) == Refusal::kNone);
}

// The start that died had said, on an answer, that it leaves. Nothing is sent
// to one that leaves for two minutes, and the next start has not said so.
TEST(DispatchRestart, OlderStartWasLeaving_YoungerGetsWork) {
  const uint64_t first = this->harness.Offer();
  AttemptReport report = DispatchHarness::Report(AttemptEnd::kAnswered);
  report.drain_sign = true;
  this->harness.End(first, report);
  const uint64_t refused = this->harness.Offer();
  CHECK(this->harness.RefusalFor(refused) == Refusal::kNoUpstream);
  const UpstreamHandle younger = this->RestartUpstream();
  const uint64_t cookie = this->harness.Offer();
  CHECK(this->harness.RunOf(cookie).upstream == younger);
}

// The slots of the start that died are not those of the next: with both taken
// there, the next one would wait for ends that never come.
TEST(DispatchRestart, OlderStartWasFull_YoungerHasAllSlots) {
  this->harness.Offer(this->Unsafe());
  this->harness.Offer(this->Unsafe());
  const UpstreamHandle younger = this->RestartUpstream();
  const uint64_t cookie = this->harness.Offer(this->Unsafe());
  CHECK(this->harness.RunOf(cookie).upstream == younger);
}

// What ended at the older start, told late, says nothing of the younger one.
TEST(DispatchRestart, OlderStartFailsLate_YoungerNotPaused) {
  const uint64_t late = this->harness.Offer(this->Unsafe());
  this->RestartUpstream();
  this->harness.End(late, AttemptEnd::kDied);
  const UpstreamHandle younger = this->only;
  const uint64_t cookie = this->harness.Offer(this->Unsafe());
  CHECK(this->harness.RunOf(cookie).upstream == younger);
}

// An upstream without a start, as before, is the same one in each view.
TEST(DispatchRestart, SameIncarnation_NewView_WorkGoesOn) {
  const uint64_t cookie = this->harness.Offer();
  this->harness.Apply();
  this->harness.Advance(5ms);
  CHECK_EQUAL(0, this->harness.cancelled.size());
  CHECK(this->harness.RunOf(cookie).upstream == this->only);
}

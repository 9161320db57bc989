// Tests of upstreams that restart under the same id: their attempts are lost,
// and the state of the old incarnation does not apply to the new one.

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

  DispatchRequest NotIdempotent() const {
    DispatchRequest request = this->harness.Request();
    request.idempotent = false;
    return request;
  }
};

// Failure: an upstream dies behind a network partition, so that no connection
// breaks, and restarts. The dispatcher waits for its attempts until they time
// out.
TEST(DispatchRestart, AttemptAtOldIncarnation_Idempotent_RetriedAtNewOne) {
  const uint64_t cookie = this->harness.Offer();
  const UpstreamHandle restarted = this->RestartUpstream();
  this->harness.Advance(2ms);
  CHECK_EQUAL(1, this->harness.cancelled.size());
  CHECK(this->harness.RunOf(cookie).upstream == restarted);
}

// A request that is not idempotent may have run, so it is refused at once and
// not sent again.
TEST(DispatchRestart, AttemptAtOldIncarnation_NotIdempotent_RefusedAtOnce) {
  const uint64_t cookie = this->harness.Offer(this->NotIdempotent());
  this->RestartUpstream();
  this->harness.Advance(2ms);
  CHECK(this->harness.RefusalFor(cookie) == Refusal::kUpstreamDied);
  CHECK_EQUAL(0, this->harness.running.size());
}

// An answer that arrived before the upstream died is read before the next tick,
// so the caller still gets it.
TEST(DispatchRestart, Answer_ArrivedBeforeTick_IsDelivered) {
  const uint64_t cookie = this->harness.Offer(this->NotIdempotent());
  this->RestartUpstream();
  CHECK_FALSE(this->harness.End(cookie, AttemptEnd::kAnswered));
  this->harness.Advance(2ms);
  CHECK(this->harness.RefusalFor(cookie) == Refusal::kNone);
}

// Failure: the old incarnation announced that it is leaving, which keeps an
// upstream from work for two minutes, and this is applied to the new one.
TEST(DispatchRestart, NewIncarnation_OldOneWasLeaving_GetsWork) {
  const uint64_t first = this->harness.Offer();
  AttemptReport report = DispatchHarness::Report(AttemptEnd::kAnswered);
  report.notice.leaving = true;
  this->harness.End(first, report);
  const uint64_t refused = this->harness.Offer();
  CHECK(this->harness.RefusalFor(refused) == Refusal::kNoUpstream);
  const UpstreamHandle restarted = this->RestartUpstream();
  const uint64_t cookie = this->harness.Offer();
  CHECK(this->harness.RunOf(cookie).upstream == restarted);
}

// Failure: attempts at the old incarnation occupy slots of the new one, which
// then waits for ends that never come.
TEST(DispatchRestart, NewIncarnation_OldOneWasFull_HasAllSlots) {
  this->harness.Offer(this->NotIdempotent());
  this->harness.Offer(this->NotIdempotent());
  const UpstreamHandle restarted = this->RestartUpstream();
  const uint64_t cookie = this->harness.Offer(this->NotIdempotent());
  CHECK(this->harness.RunOf(cookie).upstream == restarted);
}

// Failure: a late failure of the old incarnation pauses the new one.
TEST(DispatchRestart, NewIncarnation_OldOneFailsLate_IsNotPaused) {
  const uint64_t late = this->harness.Offer(this->NotIdempotent());
  this->RestartUpstream();
  this->harness.End(late, AttemptEnd::kDied);
  const UpstreamHandle restarted = this->only;
  const uint64_t cookie = this->harness.Offer(this->NotIdempotent());
  CHECK(this->harness.RunOf(cookie).upstream == restarted);
}

// An upstream that has not restarted stays the same one in a new view.
TEST(DispatchRestart, SameIncarnation_NewView_AttemptContinues) {
  const uint64_t cookie = this->harness.Offer();
  this->harness.Apply();
  this->harness.Advance(5ms);
  CHECK_EQUAL(0, this->harness.cancelled.size());
  CHECK(this->harness.RunOf(cookie).upstream == this->only);
}

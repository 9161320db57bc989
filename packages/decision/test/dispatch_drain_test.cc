// Tests of what drained data centres mean for dispatcher and entry: nothing new
// goes to their upstreams by any way, and what runs there ends.

#include "basilsill/decision/entry.h"
#include "decision_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::AttemptEnd;
using basilsill::DispatchHarness;
using basilsill::EntryHandle;
using basilsill::EntryOptions;
using basilsill::EntryRequest;
using basilsill::EntryRouter;
using basilsill::Refusal;
using basilsill::RoutingViewPtr;
using basilsill::Target;
using basilsill::TargetKind;
using basilsill::TimePoint;
using basilsill::UpstreamHandle;
using basilsill::UpstreamRow;
using basilsill::ViewFixture;

namespace {

void SetDrained(ViewFixture& fixture, uint32_t data_centre, bool drained) {
  fixture.view.data_centres.at(data_centre).drained = drained;
  for (UpstreamRow& row : fixture.service.upstreams) {
    row.drained = fixture.view.data_centres.at(row.data_centre.index).drained;
  }
}

}  // namespace

TEST_GROUP(DispatchDrain) {
  DispatchHarness harness;
  UpstreamHandle first;
  UpstreamHandle second;

  void setup() override {
    this->first = this->harness.fixture.AddUpstream(0);
    this->second = this->harness.fixture.AddUpstream(0);
    this->harness.Apply();
  }

  void Drain(bool drained) {
    SetDrained(this->harness.fixture, 0, drained);
    this->harness.Apply();
  }
};

// The operator drains a data centre while its queue is full. Those that wait
// must not begin there; what runs is not cut.
TEST(DispatchDrain, View_Drained_WaitingGoElsewhereAndRunningEnd) {
  std::vector<uint64_t> cookies;
  cookies.reserve(8);
  for (int i = 0; i < 8; ++i) {
    cookies.push_back(this->harness.Offer());
  }
  const size_t running = this->harness.running.size();
  this->Drain(true);
  this->harness.Advance(60ms);
  CHECK_EQUAL(running, this->harness.running.size());
  size_t refused = 0;
  for (const uint64_t cookie : cookies) {
    refused += this->harness.RefusalFor(cookie) == Refusal::kNoUpstream ? 1 : 0;
  }
  CHECK_EQUAL(8 - running, refused);
  while (!this->harness.running.empty()) {
    this->harness.EndAt(0, DispatchHarness::Report(AttemptEnd::kAnswered, 200));
  }
  this->harness.Advance(60ms);
  CHECK(this->harness.running.empty());
}

TEST(DispatchDrain, Offer_WhileDrained_RefusedAtOnce) {
  this->Drain(true);
  const uint64_t cookie = this->harness.Offer();
  CHECK(Refusal::kNoUpstream == this->harness.RefusalFor(cookie));
}

// An upstream closes an idle connection just as a request is sent on it, and
// the data centre is drained in that moment. Sent once more on a new
// connection, it would be new work there.
TEST(DispatchDrain, Attempt_ConnectionWasStale_NotSentAgain) {
  const uint64_t cookie = this->harness.Offer();
  const auto attempt = this->harness.RunOf(cookie).attempt;
  CHECK(this->harness.dispatcher->MaySendAgain(this->harness.now, attempt));
  this->Drain(true);
  CHECK_FALSE(
      this->harness.dispatcher->MaySendAgain(this->harness.now, attempt));
}

TEST(DispatchDrain, Attempt_DiedWhileDrained_NotRepeatedThere) {
  const uint64_t cookie = this->harness.Offer();
  this->Drain(true);
  this->harness.End(cookie, AttemptEnd::kDied);
  this->harness.Advance(50ms);
  CHECK(this->harness.running.empty());
}

// A request takes longer than nearly all others, and its data centre has been
// drained meanwhile: its double would be new work there.
TEST(DispatchDrain, Hedge_DueWhileDrained_NotStarted) {
  this->harness.WarmUp(200);
  auto request = this->harness.Request();
  request.hedge = true;
  this->harness.Offer(request);
  this->Drain(true);
  this->harness.Advance(200ms);
  CHECK_EQUAL(1, this->harness.running.size());
}

// Taken back, upstreams may be cold: each starts with one request at a time.
TEST(DispatchDrain, View_TakenBack_StartsSlowly) {
  this->harness.WarmUp(1);
  this->Drain(true);
  this->Drain(false);
  for (int i = 0; i < 8; ++i) {
    this->harness.Offer();
  }
  CHECK_EQUAL(1, this->harness.RunningOn(this->first));
  CHECK_EQUAL(1, this->harness.RunningOn(this->second));
}

// Taken back, upstreams may have become cold: before one gets a request it is
// asked, and one that says that it is warm gets its share at once.
TEST(DispatchDrain, View_TakenBackWithColdBound_AskedFirst) {
  basilsill::DispatcherOptions options;
  options.cold_is_reported = true;
  options.features.ramp = false;
  DispatchHarness cold(options);
  const UpstreamHandle only = cold.fixture.AddUpstream(0, 8);
  cold.fixture.service.health_path = "/health";
  cold.fixture.service.cold = {3s, 16};
  cold.Apply();
  cold.Offer();
  CHECK_EQUAL(0, cold.running.size());
  CHECK_EQUAL(1, cold.asked.size());
  basilsill::LoadQueryReport report;
  report.answered = true;
  report.load = {true, true, 0, 0, 8, 1};
  report.cold_for = 0ms;
  cold.dispatcher->OnLoadQueryEnd(cold.now, only, report);
  cold.Collect();
  CHECK_EQUAL(1, cold.running.size());
}

// Drained, taken back and drained again before the next request comes.
TEST(DispatchDrain, View_DrainedAgain_NothingStarts) {
  this->Drain(true);
  this->Drain(false);
  this->Drain(true);
  this->harness.Offer();
  this->harness.Advance(50ms);
  CHECK(this->harness.running.empty());
}

// While drained, an upstream leaves and another starts at its address.
TEST(DispatchDrain, Upstream_ReplacedWhileDrained_GetsNothing) {
  this->Drain(true);
  this->harness.fixture.RestartUpstream(this->first);
  this->harness.Apply();
  this->harness.Offer();
  this->harness.Advance(50ms);
  CHECK(this->harness.running.empty());
}

TEST_GROUP(EntryDrain) {
  ViewFixture fixture;
  std::unique_ptr<EntryRouter> router = EntryRouter::Create(EntryOptions{});
  TimePoint now{1s};

  void setup() override {
    this->fixture.AddUpstream(0);
    this->fixture.AddUpstream(1);
  }

  RoutingViewPtr Apply() {
    RoutingViewPtr view = this->fixture.Build();
    this->router->ApplyView(this->now, view);
    return view;
  }

  EntryHandle Admit() {
    EntryRequest request;
    request.service = this->fixture.service.handle;
    request.team = {0, 0};
    request.deadline = this->now + 1s;
    request.replayable = true;
    return this->router->Admit(this->now, request).entry;
  }
};

// The last summary of the shard, a moment ago, said that it has free slots.
TEST(EntryDrain, Choose_NearDataCentreDrained_GoesFarAtOnce) {
  const RoutingViewPtr before = this->Apply();
  basilsill::ShardSummary summary;
  summary.shard = before->services[0]->shards[0].key;
  summary.slots = 2;
  this->router->OnSummary(this->now, {0, 0}, summary);
  SetDrained(this->fixture, 0, true);
  const RoutingViewPtr view = this->Apply();
  for (int i = 0; i < 20; ++i) {
    const Target target = this->router->Choose(this->now, this->Admit());
    CHECK(TargetKind::kDispatcher == target.kind);
    CHECK_EQUAL(view->services[0]->shards[1].key, target.shard);
  }
}

// All data centres are drained: nothing may be sent anywhere, also not past
// the dispatchers. The caller is told at once, that nothing ran, and when to
// come back.
TEST(EntryDrain, Choose_AllDrained_RefusedAsDrained) {
  SetDrained(this->fixture, 0, true);
  SetDrained(this->fixture, 1, true);
  this->Apply();
  const Target target = this->router->Choose(this->now, this->Admit());
  CHECK(TargetKind::kRefuse == target.kind);
  CHECK(Refusal::kDrained == target.refusal);
  CHECK(target.retry_after >= 1s);
  const auto& info = basilsill::InfoOf(target.refusal);
  CHECK(basilsill::Promise::kNotRun == info.promise);
}

// No dispatcher can be reached, so requests go straight to upstreams.
TEST(EntryDrain, Choose_PastDispatchers_NotToTheDrainedOne) {
  SetDrained(this->fixture, 0, true);
  for (auto& vm : this->fixture.view.vms) {
    vm.state = basilsill::VmState::kSuspected;
  }
  const RoutingViewPtr view = this->Apply();
  for (int i = 0; i < 20; ++i) {
    const Target target = this->router->Choose(this->now, this->Admit());
    CHECK(TargetKind::kDirect == target.kind);
    CHECK(view->services[0]->upstreams[1].handle == target.upstream);
  }
}

// A dispatcher knows of the drain before the entry VM does and hands back.
TEST(EntryDrain, HandedBack_OtherDataCentreLeft_GoesThere) {
  const RoutingViewPtr view = this->Apply();
  const EntryHandle entry = this->Admit();
  const Target near = this->router->Choose(this->now, entry);
  CHECK_EQUAL(view->services[0]->shards[0].key, near.shard);
  const auto decision =
      this->router->OnRefused(this->now, entry, Refusal::kNoUpstream, 0);
  CHECK(decision.retry);
  const Target far = this->router->Choose(this->now, entry);
  CHECK_EQUAL(view->services[0]->shards[1].key, far.shard);
}

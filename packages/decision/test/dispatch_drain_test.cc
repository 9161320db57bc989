// Tests of dispatcher and entry router with drained data centres: their
// upstreams get no new work by any path, and running attempts end normally.

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

// Failure: queued requests start in a data centre after the operator drained
// it, or attempts that run there are cut off.
TEST(DispatchDrain, View_Drained_QueuedRefusedAndRunningEnd) {
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

// Failure: an upstream closes an idle connection just as a request is sent on
// it, and the data centre is drained meanwhile. Sending the request again on a
// new connection would be new work there.
TEST(DispatchDrain, MaySendAgain_Drained_Denied) {
  const uint64_t cookie = this->harness.Offer();
  const auto attempt = this->harness.RunOf(cookie).attempt;
  CHECK(this->harness.dispatcher->MaySendAgain(this->harness.now, attempt));
  this->Drain(true);
  CHECK_FALSE(
      this->harness.dispatcher->MaySendAgain(this->harness.now, attempt));
}

TEST(DispatchDrain, Attempt_DiedWhileDrained_NotRetriedThere) {
  const uint64_t cookie = this->harness.Offer();
  this->Drain(true);
  this->harness.End(cookie, AttemptEnd::kDied);
  this->harness.Advance(50ms);
  CHECK(this->harness.running.empty());
}

// Failure: a slow request is hedged after its data centre was drained. The
// hedge would be new work there.
TEST(DispatchDrain, Hedge_DueWhileDrained_NotStarted) {
  this->harness.WarmUp(200);
  auto request = this->harness.Request();
  request.hedge = true;
  this->harness.Offer(request);
  this->Drain(true);
  this->harness.Advance(200ms);
  CHECK_EQUAL(1, this->harness.running.size());
}

// Failure: upstreams that became cold while they were drained get their full
// share at once afterwards. Each must start with one request at a time.
TEST(DispatchDrain, View_Undrained_StartsSlowly) {
  this->harness.WarmUp(1);
  this->Drain(true);
  this->Drain(false);
  for (int i = 0; i < 8; ++i) {
    this->harness.Offer();
  }
  CHECK_EQUAL(1, this->harness.RunningOn(this->first));
  CHECK_EQUAL(1, this->harness.RunningOn(this->second));
}

// Upstreams may have become cold while they were drained. Each gets a load
// query first; one that reports to be warm gets its share at once.
TEST(DispatchDrain, View_UndrainedWithColdLimit_QueriedFirst) {
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
  CHECK_EQUAL(1, cold.queried.size());
  basilsill::LoadQueryReport report;
  report.answered = true;
  report.load = {true, true, 0, 0, 8, 1};
  report.cold_for = 0ms;
  cold.dispatcher->OnLoadQueryEnd(cold.now, only, report);
  cold.Collect();
  CHECK_EQUAL(1, cold.running.size());
}

// The data centre is drained, undrained and drained again before the next
// request.
TEST(DispatchDrain, View_DrainedAgain_NothingStarts) {
  this->Drain(true);
  this->Drain(false);
  this->Drain(true);
  this->harness.Offer();
  this->harness.Advance(50ms);
  CHECK(this->harness.running.empty());
}

// While the data centre is drained, another upstream replaces one at its
// address.
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

// Failure: the last summary of the near shard still reports free slots, so that
// requests go there although its data centre is drained.
TEST(EntryDrain, Choose_NearDataCentreDrained_ChoosesFarAtOnce) {
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

// With all data centres drained, nothing is sent, neither through dispatchers
// nor directly to upstreams. The caller learns at once that the request did not
// run and when to retry.
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

// If no dispatcher is reachable, requests go directly to upstreams.
TEST(EntryDrain, Choose_NoDispatcherReachable_AvoidsDrainedUpstream) {
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

// The dispatcher gets the drained view before the entry VM and hands the
// request back.
TEST(EntryDrain, OnRefused_OtherDataCentreLeft_ChoosesIt) {
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

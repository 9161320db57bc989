// Tests of what a VM concludes from connections to upstreams that fail.

#include "basilsill/decision/upstream_reach.h"

#include "decision_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::DataCentreHandle;
using basilsill::Duration;
using basilsill::ReachEvent;
using basilsill::ReachEventKind;
using basilsill::TimePoint;
using basilsill::UpstreamHandle;
using basilsill::UpstreamReach;
using basilsill::UpstreamRow;
using basilsill::ViewFixture;
using basilsill::VmRow;

namespace {

constexpr DataCentreHandle kNear{0, 0};
constexpr DataCentreHandle kFar{1, 0};

}  // namespace

TEST_GROUP(UpstreamReachTest) {
  void setup() override {
    for (uint32_t i = 0; i < 4; ++i) {
      this->near.push_back(this->fixture.AddUpstream(0));
      this->far.push_back(this->fixture.AddUpstream(1));
    }
    this->Apply();
  }

  void Apply() {
    this->reach->ApplyView(this->now, this->fixture.Build());
  }

  void Connect(UpstreamHandle upstream, bool connected) {
    const UpstreamRow& row = this->fixture.service.upstreams[upstream.index];
    this->reach->OnConnect(this->now, row.data_centre, upstream, connected);
  }

  void LosePath() {
    for (const UpstreamHandle upstream : this->near) {
      this->Connect(upstream, false);
    }
    this->reach->TakeEvents();
    this->reach->TakeProbes();
  }

  size_t CountProbes(Duration time) {
    size_t probes = 0;
    for (const TimePoint end = this->now + time; this->now < end;) {
      this->now += 10ms;
      this->reach->Tick(this->now);
      probes += this->reach->TakeProbes().size();
    }
    return probes;
  }

  ViewFixture fixture;
  std::vector<UpstreamHandle> near;
  std::vector<UpstreamHandle> far;
  std::unique_ptr<UpstreamReach> reach = UpstreamReach::Create(1);
  TimePoint now{100s};
};

TEST(UpstreamReachTest, Path_SeveralConnectionsFail_IsUnreachable) {
  this->Connect(this->near[0], false);
  this->Connect(this->near[1], false);
  CHECK_FALSE(this->reach->IsUnreachable(kNear));
  this->Connect(this->near[2], false);
  CHECK(this->reach->IsUnreachable(kNear));
  CHECK_FALSE(this->reach->IsUnreachable(kFar));
  const std::vector<ReachEvent> events = this->reach->TakeEvents();
  CHECK_EQUAL(1, events.size());
  CHECK(events[0].kind == ReachEventKind::kUnreachable);
  CHECK(events[0].data_centre == kNear);
}

// Failure: an upstream that is down is taken for a lost path of this VM.
TEST(UpstreamReachTest, Path_OneUpstreamFailsAgainAndAgain_IsReachable) {
  for (int i = 0; i < 10; ++i) {
    this->Connect(this->near[0], false);
  }
  CHECK_FALSE(this->reach->IsUnreachable(kNear));
}

TEST(UpstreamReachTest, Path_ConnectionOpensBetweenFailures_IsReachable) {
  this->Connect(this->near[0], false);
  this->Connect(this->near[1], false);
  this->Connect(this->near[3], true);
  this->Connect(this->near[2], false);
  CHECK_FALSE(this->reach->IsUnreachable(kNear));
}

TEST(UpstreamReachTest, Path_FailuresFarApart_IsReachable) {
  for (const UpstreamHandle upstream : this->near) {
    this->Connect(upstream, false);
    this->now += 2s;
  }
  CHECK_FALSE(this->reach->IsUnreachable(kNear));
}

// Failure: upstreams that leave close their ports before the view shows them as
// gone, and this VM believes that it has lost its path.
TEST(UpstreamReachTest, Path_LeavingUpstreamsFail_IsReachable) {
  for (size_t i = 0; i < 3; ++i) {
    this->fixture.service.upstreams[this->near[i].index].leaving = true;
  }
  this->Apply();
  for (size_t i = 0; i < 3; ++i) {
    this->Connect(this->near[i], false);
  }
  CHECK_FALSE(this->reach->IsUnreachable(kNear));
}

// A data centre with fewer upstreams than the evidence that is usually needed.
TEST(UpstreamReachTest, Path_BothOfTwoUpstreamsFail_IsUnreachable) {
  for (size_t i = 2; i < this->near.size(); ++i) {
    this->fixture.service.upstreams[this->near[i].index].leaving = true;
  }
  this->Apply();
  this->Connect(this->near[0], false);
  CHECK_FALSE(this->reach->IsUnreachable(kNear));
  this->Connect(this->near[1], false);
  CHECK(this->reach->IsUnreachable(kNear));
}

// Failure: the only upstream of a data centre misses one connection, and its
// requests are refused for a second.
TEST(UpstreamReachTest, Path_OnlyUpstreamFails_IsReachable) {
  for (size_t i = 1; i < this->near.size(); ++i) {
    this->fixture.service.upstreams[this->near[i].index].leaving = true;
  }
  this->Apply();
  this->Connect(this->near[0], false);
  this->Connect(this->near[0], false);
  CHECK_FALSE(this->reach->IsUnreachable(kNear));
}

TEST(UpstreamReachTest, FirstFailure_OtherUpstreams_AreProbedAtOnce) {
  this->Connect(this->near[0], false);
  const std::vector<UpstreamHandle> probes = this->reach->TakeProbes();
  CHECK_EQUAL(2, probes.size());
  CHECK(probes[0] != probes[1]);
  for (const UpstreamHandle probe : probes) {
    CHECK(probe != this->near[0]);
    this->Connect(probe, false);
  }
  CHECK(this->reach->IsUnreachable(kNear));
}

TEST(UpstreamReachTest, UnreachableDataCentre_ConnectionOpens_IsReachable) {
  this->LosePath();
  this->now += 3s;
  this->Connect(this->near[1], true);
  CHECK_FALSE(this->reach->IsUnreachable(kNear));
  const std::vector<ReachEvent> events = this->reach->TakeEvents();
  CHECK_EQUAL(1, events.size());
  CHECK(events[0].kind == ReachEventKind::kReachable);
  CHECK(events[0].lasted == 3s);
}

// Failure: a VM that others pass over gets no requests, and never finds out
// that its path is back.
TEST(UpstreamReachTest,
     UnreachableDataCentre_NoRequests_IsProbedAFewTimesASecond) {
  this->LosePath();
  const size_t probes = this->CountProbes(10s);
  CHECK(probes >= 30);
  CHECK(probes <= 80);
}

// Failure: a data centre is down, and a large fleet storms its upstreams.
TEST(UpstreamReachTest, UnreachableDataCentre_ForManyVms_IsProbedLessOften) {
  while (this->fixture.view.vms.size() < 81) {
    VmRow vm;
    vm.handle = {static_cast<uint32_t>(this->fixture.view.vms.size()), 0};
    vm.name = "vm-" + std::to_string(vm.handle.index);
    vm.unreachable = {kNear};
    this->fixture.view.vms.push_back(vm);
  }
  this->Apply();
  this->LosePath();
  const size_t probes = this->CountProbes(20s);
  CHECK(probes >= 5);
  CHECK(probes <= 20);
  this->fixture.view.vms.back().unreachable.clear();
  this->Apply();
  this->reach->Tick(this->now);
  CHECK_EQUAL(1, this->reach->TakeProbes().size());
}

// Failure: a VM can't connect to half of the upstreams of a data centre. Each
// check fails in part and causes the next one.
TEST(UpstreamReachTest, SomeUpstreamsFail_ForLong_ChecksBecomeRare) {
  size_t probes = 0;
  for (int i = 0; i < 6000; ++i) {
    this->now += 10ms;
    this->Connect(this->near[0], false);
    for (const UpstreamHandle probe : this->reach->TakeProbes()) {
      ++probes;
      this->Connect(probe, probe.index % 4 != 0);
    }
  }
  CHECK(probes <= 40);
  CHECK_FALSE(this->reach->IsUnreachable(kNear));
}

// Failure: connections get no answer. Requests wait until the connect timeout
// has passed twice.
TEST(UpstreamReachTest, Probes_WithoutAnswerAfterAFailure_CountAsFailed) {
  this->Connect(this->near[0], false);
  CHECK_EQUAL(2, this->CountProbes(20ms));
  CHECK_FALSE(this->reach->IsUnreachable(kNear));
  this->CountProbes(20ms);
  CHECK(this->reach->IsUnreachable(kNear));
  this->Connect(this->near[1], true);
  CHECK_FALSE(this->reach->IsUnreachable(kNear));
}

// Failure: a VM has lost all its paths, but reports only the first one, so that
// it counts as a witness that the data centre is down.
TEST(UpstreamReachTest, LostPath_OtherDataCentres_AreChecked) {
  for (size_t i = 0; i < 3; ++i) {
    this->Connect(this->near[i], false);
  }
  size_t far_probes = 0;
  for (const UpstreamHandle probe : this->reach->TakeProbes()) {
    far_probes += probe.index % 2;
  }
  CHECK_EQUAL(3, far_probes);
}

TEST(UpstreamReachTest, Doubt_ConnectionOpens_IsConfirmedOnce) {
  this->Connect(this->near[0], true);
  CHECK(this->reach->Report().reached.empty());
  this->reach->SetDoubts(this->now, {{kNear}, {kNear}});
  CHECK_EQUAL(3, this->reach->TakeProbes().size());
  CHECK(this->reach->Report().reached.empty());
  this->Connect(this->near[0], true);
  this->Connect(this->near[1], true);
  const std::vector<ReachEvent> events = this->reach->TakeEvents();
  CHECK_EQUAL(1, events.size());
  CHECK(events[0].kind == ReachEventKind::kConfirmed);
  CHECK_EQUAL(1, this->reach->Report().reached.size());
  this->reach->SetDoubts(this->now, {});
  CHECK(this->reach->Report().reached.empty());
}

// Failure: the VMs that report the loss of a data centre have lost their own
// paths, and the one that reaches it has nothing to send there.
TEST(UpstreamReachTest, LostDataCentre_VmThatHasNotLostIt_ProbesToo) {
  this->fixture.view.data_centres[0].lost = true;
  this->Apply();
  const size_t probes = this->CountProbes(2s);
  CHECK(probes >= 5);
  this->Connect(this->near[0], true);
  this->fixture.view.data_centres[0].lost = false;
  this->Apply();
  CHECK_EQUAL(0, this->CountProbes(2s));
}

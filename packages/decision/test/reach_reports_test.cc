// Tests of what VMs conclude from each other's reports of lost paths to
// upstreams, and of when they send such reports.

#include "basilsill/decision/reach_reports.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::DataCentreHandle;
using basilsill::Membership;
using basilsill::MembershipOptions;
using basilsill::PathReport;
using basilsill::ReachReports;
using basilsill::ReachStep;
using basilsill::TimePoint;
using basilsill::VmHandle;
using basilsill::VmHello;

namespace {

constexpr uint32_t kVms = 30;
constexpr uint32_t kDataCentres = 3;
constexpr DataCentreHandle kLost{0, 0};

// VMs are in turn in each data centre, and the handles are in the same order.
VmHello HelloOf(uint32_t number) {
  VmHello hello;
  hello.name = "vm-" + std::to_string(number);
  hello.data_centre = "dc-" + std::to_string(number % kDataCentres);
  hello.incarnation = number + 1;
  return hello;
}

std::unique_ptr<Membership> MakeMembers(TimePoint now) {
  MembershipOptions options;
  options.self = HelloOf(0);
  std::unique_ptr<Membership> members = Membership::Create(now, options);
  for (uint32_t i = 1; i < kVms; ++i) {
    members->OnHello(now, HelloOf(i));
  }
  return members;
}

}  // namespace

TEST_GROUP(ReachReportsTest) {
  ReachStep Peer(uint32_t vm, const PathReport& report) {
    return this->reports.OnPeer(this->now, {vm, 0}, vm + 1, report,
                                *this->members);
  }
  ReachStep Own(const PathReport& report) {
    return this->reports.OnWorker(this->now, 0, report, *this->members);
  }
  ReachStep TickAfter(basilsill::Duration time) {
    this->now += time;
    return this->reports.Tick(this->now, *this->members);
  }
  bool IsLost() const {
    return this->members->data_centres().at(kLost.index).lost;
  }
  // Reports whose reach changes which VMs own shards.
  size_t CountUsed() const {
    size_t used = 0;
    for (const basilsill::VmRow& row : this->members->rows()) {
      used += row.unreachable.empty() ? 0 : 1;
    }
    return used;
  }
  // Two VMs of the data centre and two others report its loss.
  void LoseDataCentre() {
    for (const uint32_t vm : {3U, 6U, 1U, 2U}) {
      this->Peer(vm, {{kLost}, {}});
    }
  }

  TimePoint now{100s};
  std::unique_ptr<Membership> members = MakeMembers(this->now);
  ReachReports reports;
};

// Failure: each report of a loss that all VMs observe makes every VM build a
// view with other owners.
TEST(ReachReportsTest, Loss_ReportedByTwoVmsOnEachSide_OneViewNoNewOwners) {
  CHECK_FALSE(this->Peer(3, {{kLost}, {}}).build);
  CHECK_FALSE(this->Peer(6, {{kLost}, {}}).build);
  CHECK_FALSE(this->Peer(1, {{kLost}, {}}).build);
  CHECK(this->Peer(2, {{kLost}, {}}).build);
  CHECK(this->IsLost());
  const uint64_t version = this->members->version();
  for (uint32_t vm = 4; vm < kVms; ++vm) {
    CHECK_FALSE(this->Peer(vm, {{kLost}, {}}).build);
  }
  this->TickAfter(1s);
  CHECK_EQUAL(version, this->members->version());
  CHECK_EQUAL(0, this->CountUsed());
}

TEST(ReachReportsTest, Reports_OfOneSideOnly_AreOfOwnPaths) {
  for (const uint32_t vm : {3U, 6U, 9U}) {
    this->Peer(vm, {{kLost}, {}});
  }
  this->TickAfter(600ms);
  CHECK_FALSE(this->IsLost());
  CHECK_EQUAL(3, this->CountUsed());
}

TEST(ReachReportsTest, Report_OfOneVm_IsUsedAfterATick) {
  this->Peer(3, {{kLost}, {}});
  CHECK_EQUAL(0, this->CountUsed());
  this->TickAfter(basilsill::limits::kControlTick);
  CHECK_EQUAL(1, this->CountUsed());
}

// Failure: half of the VMs have lost their paths to a data centre, and nobody
// uses it although the others reach it.
TEST(ReachReportsTest, Loss_OneVmReachesTheDataCentre_IsNotLost) {
  this->LoseDataCentre();
  CHECK(this->Peer(5, {{}, {kLost}}).build);
  CHECK_FALSE(this->IsLost());
  CHECK_EQUAL(0, this->CountUsed());
  this->TickAfter(400ms);
  CHECK_EQUAL(4, this->CountUsed());
}

// Failure: nearly all VMs have lost all their paths, and take the data centres
// for lost.
TEST(ReachReportsTest, Reports_OfAllDataCentres_AreNoEvidenceOfALoss) {
  const PathReport all{{{0, 0}, {1, 0}, {2, 0}}, {}};
  for (uint32_t vm = 2; vm < kVms; ++vm) {
    this->Peer(vm, all);
  }
  CHECK_FALSE(this->IsLost());
  CHECK_EQUAL(kVms - 2, this->CountUsed());
}

// Failure: all VMs of a data centre are cut off, and its loss is never noticed
// because no VM of its own can say so.
TEST(ReachReportsTest, Loss_OwnVmsCutOff_OthersDecide) {
  const PathReport all{{{0, 0}, {1, 0}, {2, 0}}, {}};
  for (uint32_t vm = 0; vm < kVms; vm += kDataCentres) {
    this->Peer(vm, all);
  }
  this->Peer(1, {{kLost}, {}});
  CHECK_FALSE(this->IsLost());
  this->Peer(2, {{kLost}, {}});
  CHECK(this->IsLost());
}

// Failure: a VM of the previous version, or one that is gone, has reported the
// loss, and the data centre stays lost.
TEST(ReachReportsTest, Loss_ReportsAreTakenBack_IsOver) {
  this->LoseDataCentre();
  for (const uint32_t vm : {3U, 6U, 1U, 2U}) {
    this->Peer(vm, {});
  }
  CHECK_FALSE(this->IsLost());
}

TEST(ReachReportsTest, Own_DataCentreIsLostAlready_NothingIsSent) {
  this->LoseDataCentre();
  CHECK_FALSE(this->Own({{kLost}, {}}).send);
  CHECK_FALSE(this->TickAfter(5s).send);
}

TEST(ReachReportsTest, Own_AllPathsLost_IsSentAtOnce) {
  this->LoseDataCentre();
  CHECK(this->Own({{{0, 0}, {1, 0}, {2, 0}}, {}}).send);
}

// Whether this VM is a witness or not, others learn of its own lost path.
TEST(ReachReportsTest, Own_PathLost_IsSentSoonAndOnce) {
  const bool at_once = this->Own({{kLost}, {}}).send;
  const bool later = this->TickAfter(100ms).send;
  CHECK(at_once != later);
  CHECK_FALSE(this->TickAfter(1s).send);
  CHECK_EQUAL(1, this->reports.report().unreachable.size());
  CHECK(this->Own({}).send);
  CHECK(this->reports.report().unreachable.empty());
}

// Failure: one VM has lost its path, and all others send that they have not.
TEST(ReachReportsTest, Own_OneOtherVmHasLostItsPath_ReachedIsNotSent) {
  const ReachStep step = this->Peer(3, {{kLost}, {}});
  CHECK(step.doubts_changed);
  CHECK_FALSE(this->Own({{}, {kLost}}).send);
  CHECK_FALSE(this->TickAfter(100ms).send);
}

TEST(ReachReportsTest, Own_ReachesLostDataCentre_IsSent) {
  this->LoseDataCentre();
  const ReachStep step = this->Own({{}, {kLost}});
  CHECK(step.send);
  CHECK(step.build);
  CHECK_FALSE(this->IsLost());
}

// Failure: the path that a VM reports as working is lost in turn, without a
// request that would show it.
TEST(ReachReportsTest, Own_ReachedIsSent_PathIsCheckedEachSecond) {
  this->LoseDataCentre();
  this->Own({{}, {kLost}});
  size_t checks = 0;
  for (int i = 0; i < 50; ++i) {
    checks += this->TickAfter(100ms).doubts.check.size();
  }
  CHECK(checks >= 4);
  CHECK(checks <= 6);
}

// Failure: two VMs have lost their paths, and all others send at the same time
// that they have not.
TEST(ReachReportsTest, Own_TwoOtherVmsHaveLostTheirPaths_ReachedIsSentByFew) {
  this->Own({{}, {kLost}});
  this->Peer(3, {{kLost}, {}});
  const ReachStep step = this->Peer(6, {{kLost}, {}});
  CHECK(step.send || step.due != basilsill::kNever);
  const bool is_sent = step.send;
  this->Peer(5, {{}, {kLost}});
  CHECK_FALSE(this->TickAfter(100ms).send);
  CHECK_EQUAL(is_sent, !this->reports.report().reached.empty());
}

TEST(ReachReportsTest, Own_AnotherVmReachesLostDataCentre_NothingIsSent) {
  this->LoseDataCentre();
  this->Peer(5, {{}, {kLost}});
  CHECK_FALSE(this->Own({{}, {kLost}}).send);
}

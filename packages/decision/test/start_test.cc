// Tests of how VMs start with the help of others: which peer sends the state,
// how much a VM sends, and who writes announcements.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "basilsill/decision/announcement.h"
#include "basilsill/decision/group_append.h"
#include "basilsill/decision/start_plan.h"
#include "basilsill/decision/state_fetch.h"
#include "basilsill/decision/state_send_budget.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::Announcement;
using basilsill::AnnouncementStep;
using basilsill::AnnouncementStepKind;
using basilsill::Duration;
using basilsill::GroupAppend;
using basilsill::KeyedRecord;
using basilsill::kNever;
using basilsill::StateFetch;
using basilsill::StateSendBudget;
using basilsill::TimePoint;
using basilsill::VmHandle;

namespace {

constexpr VmHandle kFirst{1, 0};
constexpr VmHandle kSecond{2, 0};
constexpr VmHandle kThird{3, 0};

// 20 Mbit/s.
constexpr double kNarrowLink = 2'500'000;
constexpr size_t kStateBytes = 100'000;

KeyedRecord MakeRecord(const std::string& vm, const std::string& text) {
  return {vm, text, {}, false};
}

}  // namespace

TEST_GROUP(StartPlan){};

// Failure: all VMs of a large fleet start at once and list all topics page by
// page, a thousand calls. VMs after the first ones must wait for the state from
// a peer, but not for long, as the first ones may fail to start.
TEST(StartPlan, StartListingDelay_LargeFleet_OnlyFirstVmsListAtOnce) {
  const bool large = basilsill::ShouldWaitForState(109);
  const bool small = basilsill::ShouldWaitForState(14);
  CHECK(basilsill::StartListingDelay(0, large, 312) == 0ms);
  CHECK(basilsill::StartListingDelay(1, large, 312) == 0ms);
  CHECK(basilsill::StartListingDelay(2, large, 312) > 0ms);
  CHECK(basilsill::StartListingDelay(50, large, 312) <= 500ms);
  CHECK(basilsill::StartListingDelay(311, large, 312) <= 600ms);
  CHECK(basilsill::StartListingDelay(5, small, 312) == 0ms);
}

// Failure: a thousand VMs start at once, and each lists thousands of upstreams.
// The store can't serve that in time, and no VM ever becomes ready.
TEST(StartPlan, StartListingDelay_TwiceTheLargeFleet_SameListingRate) {
  const auto listers = [](size_t known) {
    size_t count = 0;
    for (size_t rank = 0; rank < known; ++rank) {
      count += basilsill::StartListingDelay(rank, true, known) <= 2s ? 1 : 0;
    }
    return count;
  };
  CHECK_EQUAL(listers(1000), listers(2000));
  CHECK(listers(1000) <= 50);
}

TEST(StartPlan, StartListingDelay_HigherRank_ListsLater) {
  CHECK(basilsill::StartListingDelay(3, true, 312) <
        basilsill::StartListingDelay(30, true, 312));
  CHECK(basilsill::StartListingDelay(30, true, 312) <
        basilsill::StartListingDelay(300, true, 312));
}

// Failure: an installation of 300 VMs is set up. All start at the same moment,
// read an empty VM list, and each announces itself by a call of its own.
TEST(StartPlan, FirstStartDelay_LargeFleet_LargeVmsFirstOthersSpread) {
  std::set<Duration> delays;
  for (int i = 0; i < 300; ++i) {
    const std::string name = "vm-" + std::to_string(i);
    CHECK(basilsill::FirstStartDelay(name, 500) <= 60ms);
    CHECK(basilsill::FirstStartDelay(name, 100) <= 300ms);
    delays.insert(basilsill::FirstStartDelay(name, 100));
  }
  CHECK(delays.size() > 200);
}

TEST_GROUP(StateSendBudget) {
  TimePoint now{100s};
};

// Failure: all other VMs of a starting fleet request the state from a small VM.
// If it served all, its own calls would queue behind 30 MB.
TEST(StateSendBudget, Take_NarrowLinkManyRequests_StaysWithinShare) {
  StateSendBudget budget(kNarrowLink);
  size_t sent_bytes = 0;
  for (int i = 0; i < 300; ++i) {
    sent_bytes += budget.Take(this->now, kStateBytes) ? kStateBytes : 0;
    this->now += 3ms;
  }
  CHECK(sent_bytes > 0);
  CHECK(sent_bytes <= kNarrowLink / 2);
}

TEST(StateSendBudget, Take_OneSecondLater_Refilled) {
  StateSendBudget budget(kNarrowLink);
  while (budget.Take(this->now, kStateBytes)) {
  }
  CHECK_FALSE(budget.HasRoom(this->now, kStateBytes));
  this->now += 1s;
  CHECK(budget.Take(this->now, kStateBytes));
}

TEST(StateSendBudget, Take_LinkUnknown_Unlimited) {
  StateSendBudget budget(0);
  for (int i = 0; i < 300; ++i) {
    CHECK(budget.Take(this->now, kStateBytes));
  }
}

TEST_GROUP(StateFetch) {
  TimePoint now{100s};
  StateFetch fetch;
};

TEST(StateFetch, Next_TwoLinked_AsksOneAtATime) {
  this->fetch.OnLinked(this->now, kFirst, true);
  this->fetch.OnLinked(this->now, kSecond, true);
  CHECK(this->fetch.Next(this->now) == kFirst);
  CHECK_FALSE(IsValid(this->fetch.Next(this->now + 1ms)));
}

TEST(StateFetch, Next_NoLinks_AsksNone) {
  CHECK_FALSE(IsValid(this->fetch.Next(this->now)));
}

// The peer has a narrow link and no send budget left.
TEST(StateFetch, Next_PeerDeclined_AsksAnotherAtOnce) {
  this->fetch.OnLinked(this->now, kFirst, true);
  this->fetch.OnLinked(this->now, kSecond, true);
  this->fetch.Next(this->now);
  this->fetch.OnDeclined(this->now, kFirst, false);
  CHECK(this->fetch.Next(this->now) == kSecond);
}

// Failure: all VMs start at once, and the peer waits for the platform itself.
// If each VM asked every other, each would receive the state from every other.
TEST(StateFetch, Next_PeerHasNoStateYet_WaitsForTimeout) {
  this->fetch.OnLinked(this->now, kFirst, true);
  this->fetch.OnLinked(this->now, kSecond, true);
  this->fetch.Next(this->now);
  this->fetch.OnDeclined(this->now, kFirst, true);
  CHECK_FALSE(IsValid(this->fetch.Next(this->now + 10ms)));
  CHECK(this->fetch.Next(this->now + 200ms) == kSecond);
}

// The peer was killed a moment ago, and its link stays open.
TEST(StateFetch, Next_PeerSilent_AsksAnotherAfterTimeout) {
  this->fetch.OnLinked(this->now, kFirst, true);
  this->fetch.OnLinked(this->now, kSecond, true);
  this->fetch.Next(this->now);
  CHECK(this->fetch.Next(this->now + 200ms) == kSecond);
}

// Failure: all VMs start at once, and VMs later in the order link with this one
// first. If it asked one of them, the two would wait for each other.
TEST(StateFetch, Next_PeerIsNoHelper_AskedOnlyAfterHelpersTimeOut) {
  this->fetch.OnLinked(this->now, kThird, false);
  CHECK_FALSE(IsValid(this->fetch.Next(this->now)));
  this->fetch.OnLinked(this->now, kFirst, true);
  CHECK(this->fetch.Next(this->now) == kFirst);
  CHECK(this->fetch.Next(this->now + 200ms) == kThird);
}

TEST(StateFetch, Next_AllDeclined_AsksAgainAfterPause) {
  this->fetch.OnLinked(this->now, kFirst, true);
  this->fetch.Next(this->now);
  this->fetch.OnDeclined(this->now, kFirst, false);
  CHECK_FALSE(IsValid(this->fetch.Next(this->now)));
  CHECK(this->fetch.Next(this->now + 100ms) == kFirst);
}

TEST_GROUP(GroupAppend) {
  TimePoint now{100s};
  GroupAppend group;
};

TEST(GroupAppend, Begin_SeveralRequests_SharesOneCall) {
  this->group.Add(this->now, {kFirst, 1, MakeRecord("a", "x")});
  this->group.Add(this->now + 5ms, {kSecond, 1, MakeRecord("b", "y")});
  CHECK(this->group.due() <= this->now + 20ms);
  CHECK_EQUAL(2, this->group.Begin().size());
  CHECK_EQUAL(2, this->group.End().size());
  CHECK(this->group.due() == kNever);
}

// Failure: a call takes long. If records that arrive meanwhile started another
// call, a starting fleet would make one call per VM.
TEST(GroupAppend, Add_CallInFlight_WaitsForNextCall) {
  this->group.Add(this->now, {kFirst, 1, MakeRecord("a", "x")});
  this->group.Begin();
  this->group.Add(this->now, {kSecond, 1, MakeRecord("b", "y")});
  CHECK(this->group.due() == kNever);
  CHECK_EQUAL(1, this->group.End().size());
  CHECK(this->group.due() < kNever);
  CHECK_EQUAL(1, this->group.Begin().size());
}

// A VM got no answer in time and sends a second request, with another value.
TEST(GroupAppend, Add_SameKeyTwice_WritesLastAndAnswersBoth) {
  this->group.Add(this->now, {kFirst, 1, MakeRecord("a", "old")});
  this->group.Add(this->now, {kFirst, 2, MakeRecord("a", "new")});
  const std::vector<KeyedRecord> records = this->group.Begin();
  CHECK_EQUAL(1, records.size());
  STRCMP_EQUAL("new", records.front().value.c_str());
  CHECK_EQUAL(2, this->group.End().size());
}

TEST_GROUP(Announcement) {
  TimePoint now{100s};
  Announcement announcement;
};

TEST(Announcement, Next_NoOthersListed_WritesAtOnce) {
  this->announcement.Begin(this->now, false, 7);
  CHECK(this->announcement.Next(this->now).kind ==
        AnnouncementStepKind::kWriteDirectly);
  this->announcement.OnDirectWriteDone(this->now, true);
  CHECK(this->announcement.done());
}

TEST(Announcement, Next_OthersListed_AsksFirstLinked) {
  this->announcement.Begin(this->now, true, 7);
  CHECK(this->announcement.Next(this->now).kind == AnnouncementStepKind::kNone);
  this->announcement.OnLinked(kFirst);
  const AnnouncementStep step = this->announcement.Next(this->now);
  CHECK(step.kind == AnnouncementStepKind::kRequestWrite);
  CHECK(step.helper == kFirst);
  this->announcement.OnHelperAnswer(this->now, kFirst, step.number, true);
  CHECK(this->announcement.done());
  CHECK(this->announcement.due() == kNever);
}

// Failure: the helper dies between its call and its answer. Whether the entry
// is written is unknown, so the VM writes it itself, which is idempotent.
TEST(Announcement, Next_HelperSilent_WritesDirectlyInTime) {
  this->announcement.OnLinked(kFirst);
  this->announcement.Begin(this->now, true, 7);
  this->announcement.Next(this->now);
  CHECK(this->announcement.due() <= this->now + 500ms);
  CHECK(this->announcement.Next(this->now + 500ms).kind ==
        AnnouncementStepKind::kWriteDirectly);
}

TEST(Announcement, Next_HelperFailed_AsksAnother) {
  this->announcement.OnLinked(kFirst);
  this->announcement.OnLinked(kSecond);
  this->announcement.Begin(this->now, true, 7);
  const AnnouncementStep step = this->announcement.Next(this->now);
  this->announcement.OnHelperAnswer(this->now, kFirst, step.number, false);
  CHECK(this->announcement.Next(this->now).helper == kSecond);
}

// Failure: an answer to an earlier request, which was given up, ends the wait
// for the current one.
TEST(Announcement, OnHelperAnswer_OtherRequestOrVm_Ignored) {
  this->announcement.OnLinked(kFirst);
  this->announcement.Begin(this->now, true, 7);
  const AnnouncementStep step = this->announcement.Next(this->now);
  this->announcement.OnHelperAnswer(this->now, kFirst, step.number + 1, true);
  this->announcement.OnHelperAnswer(this->now, kThird, step.number, true);
  CHECK_FALSE(this->announcement.done());
}

// The platform refuses this VM but serves its peers.
TEST(Announcement, Next_DirectWriteRefused_AsksPeersAgain) {
  this->announcement.OnLinked(kFirst);
  this->announcement.Begin(this->now, false, 7);
  this->announcement.Next(this->now);
  this->announcement.OnDirectWriteDone(this->now, false);
  CHECK(this->announcement.Next(this->now).kind ==
        AnnouncementStepKind::kRequestWrite);
}

// Failure: a helper writes the entry of an earlier start late, over that of the
// current one. Other VMs would connect to the wrong address.
TEST(Announcement, OnListed_OutdatedEntry_WritesAgain) {
  this->announcement.Begin(this->now, false, 7);
  this->announcement.Next(this->now);
  this->announcement.OnDirectWriteDone(this->now, true);
  this->announcement.OnListed(this->now, true);
  CHECK(this->announcement.done());
  this->announcement.OnListed(this->now, false);
  CHECK_FALSE(this->announcement.done());
  CHECK(this->announcement.due() < kNever);
}

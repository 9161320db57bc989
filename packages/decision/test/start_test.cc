// Tests of how VMs start beside others: who is asked, who tells, who writes
// what VMs say of themselves.

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

KeyedRecord Word(const std::string& vm, const std::string& says) {
  return {vm, says, 0, false};
}

}  // namespace

TEST_GROUP(StartPlan){};

// All VMs of a large fleet start at once, and each would list all topics, page
// by page: a thousand calls. Those behind the first ones wait to be told, but
// not for long, as the first ones may not come up.
TEST(StartPlan, StartPatience_LargeFleet_OnlyTheFirstListAtOnce) {
  const bool large = basilsill::ShouldWaitForState(109);
  const bool small = basilsill::ShouldWaitForState(14);
  CHECK(basilsill::StartListingDelay(0, large, 312) == 0ms);
  CHECK(basilsill::StartListingDelay(1, large, 312) == 0ms);
  CHECK(basilsill::StartListingDelay(2, large, 312) > 0ms);
  CHECK(basilsill::StartListingDelay(50, large, 312) <= 500ms);
  CHECK(basilsill::StartListingDelay(311, large, 312) <= 600ms);
  CHECK(basilsill::StartListingDelay(5, small, 312) == 0ms);
}

// Nobody is there to tell. All of 300 would list everything in the same
// millisecond.
// A thousand VMs start at once, and each lists thousands of upstreams: the
// store can't give so much in time, and none is ever ready.
TEST(StartPlan, StartPatience_TwiceALargeFleet_ListersASecondAreTheSame) {
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

TEST(StartPlan, StartPatience_FarBack_ListsLater) {
  CHECK(basilsill::StartListingDelay(3, true, 312) <
        basilsill::StartListingDelay(30, true, 312));
  CHECK(basilsill::StartListingDelay(30, true, 312) <
        basilsill::StartListingDelay(300, true, 312));
}

// An installation of 300 VMs is set up: all start at the same moment, look who
// is there, see nobody, and each announces itself alone.
TEST(StartPlan, FirstStart_LargeFleet_LargerOnesFirstOthersSpread) {
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

// A small VM is asked by all the others of a fleet that starts. If it told them
// all, its own calls would wait behind 30 MB.
TEST(StateSendBudget, NarrowLink_ManyAsk_KeepsToAPartOfItsLink) {
  StateSendBudget budget(kNarrowLink);
  size_t told = 0;
  for (int i = 0; i < 300; ++i) {
    told += budget.Take(this->now, kStateBytes) ? kStateBytes : 0;
    this->now += 3ms;
  }
  CHECK(told > 0);
  CHECK(told <= kNarrowLink / 2);
}

TEST(StateSendBudget, NarrowLink_ASecondLater_TellsAgain) {
  StateSendBudget budget(kNarrowLink);
  while (budget.Take(this->now, kStateBytes)) {
  }
  CHECK_FALSE(budget.HasRoom(this->now, kStateBytes));
  this->now += 1s;
  CHECK(budget.Take(this->now, kStateBytes));
}

TEST(StateSendBudget, LinkNotKnown_TellsAll) {
  StateSendBudget budget(0);
  for (int i = 0; i < 300; ++i) {
    CHECK(budget.Take(this->now, kStateBytes));
  }
}

TEST_GROUP(StateFetch) {
  TimePoint now{100s};
  StateFetch fetch;
};

TEST(StateFetch, TwoLinked_OneIsAskedAtATime) {
  this->fetch.OnLinked(this->now, kFirst, true);
  this->fetch.OnLinked(this->now, kSecond, true);
  CHECK(this->fetch.Next(this->now) == kFirst);
  CHECK_FALSE(IsValid(this->fetch.Next(this->now + 1ms)));
}

TEST(StateFetch, NobodyLinked_NobodyAsked) {
  CHECK_FALSE(IsValid(this->fetch.Next(this->now)));
}

// The one that is asked has a narrow link and no room left on it.
TEST(StateFetch, Declined_NextIsAskedAtOnce) {
  this->fetch.OnLinked(this->now, kFirst, true);
  this->fetch.OnLinked(this->now, kSecond, true);
  this->fetch.Next(this->now);
  this->fetch.OnDeclined(this->now, kFirst, false);
  CHECK(this->fetch.Next(this->now) == kSecond);
}

// All start at once: the one that is asked waits for the platform itself. If
// each asked everybody, each would be told by everybody.
TEST(StateFetch, KnowsNothingYet_WaitedForAWhile) {
  this->fetch.OnLinked(this->now, kFirst, true);
  this->fetch.OnLinked(this->now, kSecond, true);
  this->fetch.Next(this->now);
  this->fetch.OnDeclined(this->now, kFirst, true);
  CHECK_FALSE(IsValid(this->fetch.Next(this->now + 10ms)));
  CHECK(this->fetch.Next(this->now + 200ms) == kSecond);
}

// The one that is asked was killed a moment ago, and its link stays open.
TEST(StateFetch, Silent_NextIsAskedSoon) {
  this->fetch.OnLinked(this->now, kFirst, true);
  this->fetch.OnLinked(this->now, kSecond, true);
  this->fetch.Next(this->now);
  CHECK(this->fetch.Next(this->now + 200ms) == kSecond);
}

// All start at once, and those that come after this one in the order link with
// it first. If it asked one of them, that one would ask back.
TEST(StateFetch, OtherThanAHelper_AskedOnlyIfHelpersDoNotTell) {
  this->fetch.OnLinked(this->now, kThird, false);
  CHECK_FALSE(IsValid(this->fetch.Next(this->now)));
  this->fetch.OnLinked(this->now, kFirst, true);
  CHECK(this->fetch.Next(this->now) == kFirst);
  CHECK(this->fetch.Next(this->now + 200ms) == kThird);
}

TEST(StateFetch, AllDeclined_AskedAgainAfterAPause) {
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

TEST(GroupAppend, Several_GoInOneCall) {
  this->group.Add(this->now, {kFirst, 1, Word("a", "x")});
  this->group.Add(this->now + 5ms, {kSecond, 1, Word("b", "y")});
  CHECK(this->group.due() <= this->now + 20ms);
  CHECK_EQUAL(2, this->group.Begin().size());
  CHECK_EQUAL(2, this->group.End().size());
  CHECK(this->group.due() == kNever);
}

// The call takes long. What comes meanwhile must not start another one, or a
// fleet that starts would make one call a VM after all.
TEST(GroupAppend, CallOnItsWay_OthersWaitForTheNext) {
  this->group.Add(this->now, {kFirst, 1, Word("a", "x")});
  this->group.Begin();
  this->group.Add(this->now, {kSecond, 1, Word("b", "y")});
  CHECK(this->group.due() == kNever);
  CHECK_EQUAL(1, this->group.End().size());
  CHECK(this->group.due() < kNever);
  CHECK_EQUAL(1, this->group.Begin().size());
}

// A VM asks twice, as it had no answer in time, and says something else.
TEST(GroupAppend, SameKeyTwice_LastWordIsWrittenBothAreAnswered) {
  this->group.Add(this->now, {kFirst, 1, Word("a", "old")});
  this->group.Add(this->now, {kFirst, 2, Word("a", "new")});
  const std::vector<KeyedRecord> records = this->group.Begin();
  CHECK_EQUAL(1, records.size());
  STRCMP_EQUAL("new", records.front().value.c_str());
  CHECK_EQUAL(2, this->group.End().size());
}

TEST_GROUP(Announcement) {
  TimePoint now{100s};
  Announcement announcement;
};

TEST(Announcement, KnowsNobody_WritesAtOnce) {
  this->announcement.Begin(this->now, false, 7);
  CHECK(this->announcement.Next(this->now).kind ==
        AnnouncementStepKind::kWriteDirectly);
  this->announcement.OnDirectWriteDone(this->now, true);
  CHECK(this->announcement.done());
}

TEST(Announcement, OthersListed_FirstLinkedIsAsked) {
  this->announcement.Begin(this->now, true, 7);
  CHECK(this->announcement.Next(this->now).kind == AnnouncementStepKind::kNone);
  this->announcement.OnLinked(kFirst);
  const AnnouncementStep step = this->announcement.Next(this->now);
  CHECK(step.kind == AnnouncementStepKind::kAskHelper);
  CHECK(step.helper == kFirst);
  this->announcement.OnHelperAnswer(this->now, kFirst, step.number, true);
  CHECK(this->announcement.done());
  CHECK(this->announcement.due() == kNever);
}

// The helper dies between its call and its answer. Whether the word is written
// is not known, so the VM writes it itself, which does no harm.
TEST(Announcement, HelperSilent_WritesAloneInTime) {
  this->announcement.OnLinked(kFirst);
  this->announcement.Begin(this->now, true, 7);
  this->announcement.Next(this->now);
  CHECK(this->announcement.due() <= this->now + 500ms);
  CHECK(this->announcement.Next(this->now + 500ms).kind ==
        AnnouncementStepKind::kWriteDirectly);
}

TEST(Announcement, HelperCanNot_AnotherIsAsked) {
  this->announcement.OnLinked(kFirst);
  this->announcement.OnLinked(kSecond);
  this->announcement.Begin(this->now, true, 7);
  const AnnouncementStep step = this->announcement.Next(this->now);
  this->announcement.OnHelperAnswer(this->now, kFirst, step.number, false);
  CHECK(this->announcement.Next(this->now).helper == kSecond);
}

// An answer to a request of before, that was given up, must not end the wait
// for the one that counts.
TEST(Announcement, AnswerOfAnotherRequest_Ignored) {
  this->announcement.OnLinked(kFirst);
  this->announcement.Begin(this->now, true, 7);
  const AnnouncementStep step = this->announcement.Next(this->now);
  this->announcement.OnHelperAnswer(this->now, kFirst, step.number + 1, true);
  this->announcement.OnHelperAnswer(this->now, kThird, step.number, true);
  CHECK_FALSE(this->announcement.done());
}

// The platform refuses this VM and serves its peers.
TEST(Announcement, OwnWriteRefused_PeersAskedAgain) {
  this->announcement.OnLinked(kFirst);
  this->announcement.Begin(this->now, false, 7);
  this->announcement.Next(this->now);
  this->announcement.OnDirectWriteDone(this->now, false);
  CHECK(this->announcement.Next(this->now).kind ==
        AnnouncementStepKind::kAskHelper);
}

// A helper writes the word of an earlier start late, over that of this one. The
// others would look for this VM where it is not.
TEST(Announcement, AnotherWordListed_SaidAgain) {
  this->announcement.Begin(this->now, false, 7);
  this->announcement.Next(this->now);
  this->announcement.OnDirectWriteDone(this->now, true);
  this->announcement.OnListed(this->now, true);
  CHECK(this->announcement.done());
  this->announcement.OnListed(this->now, false);
  CHECK_FALSE(this->announcement.done());
  CHECK(this->announcement.due() < kNever);
}

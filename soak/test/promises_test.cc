// Tests of the soak's judgement: for each promise, tables in which it was
// broken on purpose, and those in which what looks alike is allowed.

#include "promises.h"

#include <algorithm>
#include <string>
#include <vector>

#include "plan.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace basilsill::soak;
using basilsill::Duration;
using basilsill::TimePoint;

namespace {

constexpr TimePoint kStart{100s};

}  // namespace

TEST_GROUP(Promises) {
  Observations seen;
  Bounds bounds;

  void setup() override {
    this->seen.ended = kStart + 60s;
  }

  /// A safe request that was served as it should be.
  RequestRow& AddServed(const std::string& id, Duration at) {
    RequestRow row;
    row.id = id;
    row.route = "levels";
    row.sent = kStart + at;
    row.ended = row.sent + 40ms;
    row.ending = Ending::kAnswer;
    row.status = 200;
    row.is_own = true;
    this->seen.requests.push_back(row);
    this->AddRun(id, at, 0);
    return this->seen.requests.back();
  }

  RequestRow& AddUnsafe(const std::string& id, Duration at) {
    RequestRow& row = this->AddServed(id, at);
    row.kind = RequestKind::kUnsafe;
    return row;
  }

  void AddOfTeam(const std::string& id, size_t team, Duration at) {
    this->AddServed(id, at).team = team;
  }

  void AddRun(const std::string& id, Duration at, size_t upstream) {
    this->seen.runs.push_back({id, upstream, 0, kStart + at});
  }

  void AddArrival(const std::string& id, Duration at) {
    this->seen.arrivals.push_back({id, 0, 1, kStart + at});
  }

  void Disturb(DisturbanceKind kind, Duration from, Duration to) {
    this->seen.disturbances.push_back({kind, 0, kStart + from, kStart + to});
  }

  bool IsBroken(Promise promise) {
    const auto found = Judge(this->seen, this->bounds);
    return std::any_of(found.begin(), found.end(), [promise](const auto& row) {
      return row.promise == promise;
    });
  }
};

TEST(Promises, Nothing_WasBroken_NothingFound) {
  this->AddServed("a", 1s);
  this->AddUnsafe("b", 1s);
  CHECK(Judge(this->seen, this->bounds).empty());
}

TEST(Promises, OwnAnswer_AnothersBody_Found) {
  this->AddServed("a", 1s).is_own = false;
  CHECK(this->IsBroken(Promise::kOwnAnswer));
}

TEST(Promises, OwnAnswer_AFailureOfTheNode_Allowed) {
  RequestRow& row = this->AddServed("a", 1s);
  row.is_own = false;
  row.status = 502;
  CHECK_FALSE(this->IsBroken(Promise::kOwnAnswer));
}

TEST(Promises, Once_RanOnTwoUpstreams_Found) {
  this->AddUnsafe("a", 1s);
  this->AddRun("a", 1100ms, 1);
  CHECK(this->IsBroken(Promise::kOnce));
}

TEST(Promises, Once_ASafeRequestRanTwice_Allowed) {
  this->AddServed("a", 1s);
  this->AddRun("a", 1100ms, 1);
  CHECK_FALSE(this->IsBroken(Promise::kOnce));
}

// Refused as not run, and run later by an upstream that had it in its queue.
TEST(Promises, NotRun_RefusedAndRanLater_Found) {
  this->AddUnsafe("a", 1s).status = 503;
  CHECK(this->IsBroken(Promise::kNotRun));
}

TEST(Promises, NotRun_FailedWithoutSuchAWord_Allowed) {
  this->AddUnsafe("a", 1s).status = 504;
  CHECK_FALSE(this->IsBroken(Promise::kNotRun));
}

TEST(Promises, Leaving_NewWorkAfterTheBound_Found) {
  this->seen.leaving.push_back({0, kStart + 5s});
  this->AddServed("a", 8s);
  CHECK(this->IsBroken(Promise::kLeaving));
}

TEST(Promises, Leaving_WithinTheBoundOrWhileTheStoreIsDown_Allowed) {
  this->seen.leaving.push_back({0, kStart + 5s});
  this->AddServed("a", 6s);
  CHECK_FALSE(this->IsBroken(Promise::kLeaving));
  this->AddServed("b", 8s);
  this->Disturb(DisturbanceKind::kStore, 4s, 6s);
  CHECK_FALSE(this->IsBroken(Promise::kLeaving));
}

TEST(Promises, Shutdown_CutsWhatAnUpstreamHad_Found) {
  this->Disturb(DisturbanceKind::kShutdown, 5s, 8s);
  this->AddServed("a", 6s).ending = Ending::kBroken;
  CHECK(this->IsBroken(Promise::kShutdown));
}

TEST(Promises, Shutdown_ClosesOnWhatItDidNotTake_Allowed) {
  this->Disturb(DisturbanceKind::kShutdown, 5s, 8s);
  this->AddServed("a", 6s).ending = Ending::kBroken;
  this->seen.runs.clear();
  CHECK_FALSE(this->IsBroken(Promise::kShutdown));
}

TEST(Promises, Shutdown_OtherNodeGivesUpWhatAnUpstreamHad_Found) {
  this->Disturb(DisturbanceKind::kShutdown, 5s, 8s);
  RequestRow& row = this->AddServed("a", 6s);
  row.node = 1;
  row.status = 502;
  CHECK(this->IsBroken(Promise::kShutdown));
}

TEST(Promises, Shutdown_ClosesOnWhatWasPassedOnBehindAnother_Found) {
  this->Disturb(DisturbanceKind::kShutdown, 5s, 8s);
  RequestRow& row = this->AddServed("a", 6s);
  row.ending = Ending::kBroken;
  row.behind_another = true;
  CHECK(this->IsBroken(Promise::kShutdown));
}

TEST(Promises, Configuration_DroppedRouteServedTooLong_Found) {
  this->seen.routes.push_back({"levels", false, kStart + 5s, kStart + 5s});
  this->AddServed("a", 7500ms);
  CHECK(this->IsBroken(Promise::kConfiguration));
}

TEST(Promises, Configuration_NewRouteUnknownTooLong_Found) {
  this->seen.routes.push_back({"levels", true, kStart + 5s, kStart + 5s});
  this->AddServed("a", 7500ms).status = 404;
  CHECK(this->IsBroken(Promise::kConfiguration));
}

TEST(Promises, Configuration_ChangedAgainMeanwhile_Allowed) {
  this->seen.routes.push_back({"levels", false, kStart + 5s, kStart + 5s});
  this->seen.routes.push_back({"levels", true, kStart + 7s, kStart + 7s});
  this->AddServed("a", 7500ms);
  CHECK_FALSE(this->IsBroken(Promise::kConfiguration));
}

TEST(Promises, NoReturn_ServedAfterItWasGone_Found) {
  this->seen.routes.push_back({"levels", true, kStart, kStart});
  this->seen.routes.push_back({"levels", false, kStart + 5s, kStart + 5s});
  this->AddServed("a", 5500ms).status = 404;
  this->AddServed("b", 6500ms);
  CHECK(this->IsBroken(Promise::kNoReturn));
}

// The route comes, goes, comes and goes, and a node hears of each change late:
// it says that the route is gone by the first drop, then serves it by what came
// after that.
TEST(Promises, NoReturn_LateByTwoChanges_Allowed) {
  this->seen.routes.push_back({"levels", true, kStart, kStart});
  this->seen.routes.push_back({"levels", false, kStart + 2s, kStart + 2s});
  this->seen.routes.push_back({"levels", true, kStart + 5s, kStart + 5s});
  this->seen.routes.push_back(
      {"levels", false, kStart + 5300ms, kStart + 5300ms});
  this->AddServed("a", 5400ms).status = 404;
  this->AddServed("b", 6500ms);
  this->AddServed("c", 7500ms).status = 404;
  CHECK_FALSE(this->IsBroken(Promise::kNoReturn));
  this->AddServed("d", 8500ms);
  CHECK(this->IsBroken(Promise::kNoReturn));
}

TEST(Promises, NoReturn_AnotherProcessOfTheNode_Allowed) {
  this->seen.routes.push_back({"levels", true, kStart, kStart});
  this->seen.routes.push_back({"levels", false, kStart + 5s, kStart + 5s});
  this->AddServed("a", 5500ms).status = 404;
  this->Disturb(DisturbanceKind::kNode, 5600ms, 5900ms);
  this->AddServed("b", 6500ms);
  CHECK_FALSE(this->IsBroken(Promise::kNoReturn));
}

TEST(Promises, Repeats_MoreThanTheBudget_Found) {
  for (int i = 0; i < 30; ++i) {
    const std::string id = std::to_string(i);
    this->AddServed(id, 1s);
    this->AddRun(id, 1100ms, 1);
  }
  CHECK(this->IsBroken(Promise::kRepeats));
}

TEST(Promises, Repeats_WithinTheBudget_Allowed) {
  for (int i = 0; i < 30; ++i) {
    const std::string id = std::to_string(i);
    this->AddServed(id, 1s);
    if (i < 25) {
      this->AddRun(id, 1100ms, 1);
    }
  }
  CHECK_FALSE(this->IsBroken(Promise::kRepeats));
}

TEST(Promises, Recovery_LittleServedLongAfter_Found) {
  this->seen.all_back = kStart + 5s;
  for (int i = 0; i < 10; ++i) {
    this->AddServed(std::to_string(i), 20s).status = i == 0 ? 200 : 503;
  }
  CHECK(this->IsBroken(Promise::kRecovery));
}

TEST(Promises, CallerGone_BegunLongAfter_Found) {
  for (int i = 0; i < 4; ++i) {
    RequestRow& row = this->AddServed(std::to_string(i), 1s);
    row.ending = Ending::kCaller;
    row.ended = row.sent;
    this->seen.runs.back().began = kStart + 2s;
  }
  CHECK(this->IsBroken(Promise::kCallerGone));
}

TEST(Promises, Timeout_HeldMuchLonger_Found) {
  for (int i = 0; i < 4; ++i) {
    RequestRow& row = this->AddServed(std::to_string(i), 1s);
    row.ended = row.sent + 2400ms;
  }
  CHECK(this->IsBroken(Promise::kTimeout));
}

TEST(Promises, StaysUp_EndedByItself_Found) {
  this->seen.unasked_ends.push_back({2, kStart + 5s});
  CHECK(this->IsBroken(Promise::kStaysUp));
}

TEST_GROUP(SoakPlan){};

TEST(SoakPlan, Seed_TheSame_GivesTheSamePlan) {
  const Plan a = MakePlan(7, 4, 12s);
  const Plan b = MakePlan(7, 4, 12s);
  CHECK_EQUAL(a.steps.size(), b.steps.size());
  for (size_t i = 0; i < a.steps.size(); ++i) {
    CHECK(a.steps[i].fault == b.steps[i].fault);
    CHECK(a.steps[i].at == b.steps[i].at);
  }
}

TEST(SoakPlan, Seeds_Many_HaveEveryFault) {
  std::vector<size_t> counts(static_cast<size_t>(Fault::kCount));
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    for (const Step& step : MakePlan(seed, 4, 12s).steps) {
      ++counts[static_cast<size_t>(step.fault)];
    }
  }
  CHECK(std::find(counts.begin(), counts.end(), 0U) == counts.end());
}

// The operator drains a data centre, and a request reaches an upstream there a
// second later.
TEST(Promises, Drained_ArrivalAfterTheBound_Broken) {
  this->seen.drains.push_back({1, kStart + 10s, kStart + 13s});
  this->AddArrival("in-time", 10100ms);
  this->AddArrival("late", 11s);
  this->AddArrival("back", 13100ms);
  const auto broken = Judge(this->seen, this->bounds);
  CHECK_EQUAL(1, broken.size());
  CHECK(Promise::kDrained == broken[0].promise);
  STRCMP_EQUAL("late", broken[0].ids[0].c_str());
}

TEST(Promises, Drained_NodePausedMeanwhile_NotJudged) {
  this->seen.drains.push_back({1, kStart + 10s, kStart + 13s});
  this->AddArrival("late", 11s);
  this->Disturb(DisturbanceKind::kNode, 10s, 11s);
  CHECK(Judge(this->seen, this->bounds).empty());
}

// A node that has heard of nothing for long serves a key that was taken away.
TEST(Promises, KeyRevoked_ServedAfterTheBound_BrokenWhateverWasDone) {
  this->seen.keys.push_back({1, kStart + 4s, kStart + 12s});
  this->AddOfTeam("in-time", 1, 6s);
  this->AddOfTeam("late", 1, 9s);
  this->AddOfTeam("other", 0, 9s);
  this->AddOfTeam("given-back", 1, 13s);
  this->Disturb(DisturbanceKind::kNode, 2s, 12s);
  const auto broken = Judge(this->seen, this->bounds);
  CHECK_EQUAL(1, broken.size());
  CHECK(Promise::kKeyRevoked == broken[0].promise);
  STRCMP_EQUAL("late", broken[0].ids.front().c_str());
}

// A request waits in a node that stands still until its key is valid again.
TEST(Promises, KeyRevoked_RunsOnceGivenBack_Kept) {
  this->seen.keys.push_back({1, kStart + 4s, kStart + 12s});
  this->AddOfTeam("waited", 1, 11s);
  this->seen.runs.back().began = kStart + 12s + 1ms;
  CHECK_FALSE(this->IsBroken(Promise::kKeyRevoked));
}

TEST(Promises, KeyRevoked_RunsJustBeforeItIsGivenBack_Broken) {
  this->seen.keys.push_back({1, kStart + 4s, kStart + 12s});
  this->AddOfTeam("early", 1, 11s);
  this->seen.runs.back().began = kStart + 12s - 1ms;
  CHECK(this->IsBroken(Promise::kKeyRevoked));
}

// Nodes that can't see each other each serve the whole quota of a team.
TEST(Promises, TeamQuota_MoreThanTheBound_Broken) {
  for (int i = 0; i < 60; ++i) {
    this->AddOfTeam("l" + std::to_string(i), 2, 6s + i * 50ms);
  }
  const auto broken = Judge(this->seen, this->bounds);
  CHECK_EQUAL(1, broken.size());
  CHECK(Promise::kTeamQuota == broken[0].promise);
}

TEST(Promises, TeamQuota_AsManyAsItMayRun_Kept) {
  for (int i = 0; i < 59; ++i) {
    this->AddOfTeam("l" + std::to_string(i), 2, 6s + i * 50ms);
  }
  CHECK(Judge(this->seen, this->bounds).empty());
}

// A cold upstream gets a request more in a second than it may.
TEST(Promises, Cold_OneMoreThanTheBound_Broken) {
  this->seen.colds.push_back({0, kStart + 10s, kStart + 12s});
  for (int i = 0; i < 17; ++i) {
    this->AddArrival(std::to_string(i), 10s + i * 50ms);
  }
  const auto broken = Judge(this->seen, this->bounds);
  CHECK_EQUAL(1, broken.size());
  CHECK(Promise::kCold == broken[0].promise);
}

TEST(Promises, Cold_AsManyAsItMayGet_Kept) {
  this->seen.colds.push_back({0, kStart + 10s, kStart + 12s});
  for (int i = 0; i < 32; ++i) {
    this->AddArrival(std::to_string(i), 10s + i * 63ms);
  }
  CHECK(Judge(this->seen, this->bounds).empty());
}

// An upstream that names a rate limit gets more requests and questions in four
// seconds than one and a half times that, and five.
TEST(Promises, RateLimit_OneMoreThanTheBound_Broken) {
  this->seen.limits.push_back({0, 1, kStart + 10s, kStart + 16s});
  for (int i = 0; i < 6; ++i) {
    this->AddArrival(std::to_string(i), 12s + i * 100ms);
    this->seen.questions.push_back({"", 0, 1, kStart + 12050ms + i * 100ms});
  }
  const auto broken = Judge(this->seen, this->bounds);
  CHECK_EQUAL(1, broken.size());
  CHECK(Promise::kRateLimit == broken[0].promise);
}

TEST(Promises, RateLimit_AsManyAsItMayGet_Kept) {
  this->seen.limits.push_back({0, 1, kStart + 10s, kStart + 16s});
  for (int i = 0; i < 11; ++i) {
    this->AddArrival(std::to_string(i), 12s + i * 100ms);
  }
  CHECK(Judge(this->seen, this->bounds).empty());
}

// It has not said it yet, or not for long enough to be heard.
TEST(Promises, RateLimit_BeforeItWasHeard_Kept) {
  this->seen.limits.push_back({0, 1, kStart + 10s, kStart + 16s});
  for (int i = 0; i < 30; ++i) {
    this->AddArrival(std::to_string(i), 9700ms + i * 20ms);
  }
  CHECK(Judge(this->seen, this->bounds).empty());
}

// Failure: a node goes on saying that it is ready and takes no connection.
TEST(Promises, ReadyTakes_TwoInARowNotTaken_Broken) {
  this->seen.connections = {
      {0, kStart, 5ms}, {0, kStart + 1s}, {0, kStart + 2s}};
  CHECK(this->IsBroken(Promise::kReadyTakes));
}

TEST(Promises, ReadyTakes_OneNotTaken_Kept) {
  this->seen.connections = {
      {0, kStart}, {0, kStart + 1s, 5ms}, {0, kStart + 2s}};
  CHECK_FALSE(this->IsBroken(Promise::kReadyTakes));
}

TEST(Promises, ReadyTakes_WhileTheNodeIsPaused_Kept) {
  this->seen.connections = {{0, kStart + 1s}, {0, kStart + 2s}};
  this->Disturb(DisturbanceKind::kNode, 500ms, 3s);
  CHECK_FALSE(this->IsBroken(Promise::kReadyTakes));
}

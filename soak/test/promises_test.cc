// Tests of the promise checks of the soak: for each promise, observations that
// break it and similar observations that are allowed.

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
  Observations observations;
  Bounds bounds;

  void setup() override {
    this->observations.ended = kStart + 60s;
  }

  /// Adds a safe request that was served correctly.
  RequestRow& AddServed(const std::string& id, Duration at) {
    RequestRow row;
    row.id = id;
    row.route = "levels";
    row.sent = kStart + at;
    row.ended = row.sent + 40ms;
    row.outcome = RequestOutcome::kAnswer;
    row.status = 200;
    row.is_own = true;
    this->observations.requests.push_back(row);
    this->AddRun(id, at, 0);
    return this->observations.requests.back();
  }

  RequestRow& AddUnsafe(const std::string& id, Duration at) {
    RequestRow& row = this->AddServed(id, at);
    row.kind = RequestKind::kUnsafe;
    return row;
  }

  void AddForTeam(const std::string& id, size_t team, Duration at) {
    this->AddServed(id, at).team = team;
  }

  void AddRun(const std::string& id, Duration at, size_t upstream) {
    this->observations.runs.push_back({id, upstream, 0, kStart + at});
  }

  void AddArrival(const std::string& id, Duration at) {
    this->observations.arrivals.push_back({id, 0, 1, kStart + at});
  }

  void Cut(size_t node, Duration from, Duration to) {
    this->observations.cuts.push_back({node, kStart + from, kStart + to});
  }

  /// Adds requests of one node, of which the first `failed` were refused.
  void AddTries(size_t node, size_t count, size_t failed, Duration at) {
    for (size_t i = 0; i < count; ++i) {
      const std::string id =
          "t" + std::to_string(node) + "-" + std::to_string(i);
      RequestRow& row = this->AddServed(id, at + i * 1ms);
      row.node = node;
      row.status = i < failed ? 503 : 200;
    }
  }

  void Disturb(DisturbanceKind kind, Duration from, Duration to) {
    this->observations.disturbances.push_back(
        {kind, 0, kStart + from, kStart + to});
  }

  bool IsBroken(Promise promise) {
    const auto found = FindViolations(this->observations, this->bounds);
    return std::any_of(found.begin(), found.end(), [promise](const auto& row) {
      return row.promise == promise;
    });
  }
};

TEST(Promises, AllPromises_NothingBroken_NothingFound) {
  this->AddServed("a", 1s);
  this->AddUnsafe("b", 1s);
  CHECK(FindViolations(this->observations, this->bounds).empty());
}

TEST(Promises, OwnAnswer_ResponseOfOtherRequest_Found) {
  this->AddServed("a", 1s).is_own = false;
  CHECK(this->IsBroken(Promise::kOwnAnswer));
}

TEST(Promises, OwnAnswer_NodeReturns502_Allowed) {
  RequestRow& row = this->AddServed("a", 1s);
  row.is_own = false;
  row.status = 502;
  CHECK_FALSE(this->IsBroken(Promise::kOwnAnswer));
}

TEST(Promises, Once_UnsafeRequestRunTwice_Found) {
  this->AddUnsafe("a", 1s);
  this->AddRun("a", 1100ms, 1);
  CHECK(this->IsBroken(Promise::kOnce));
}

TEST(Promises, Once_SafeRequestRunTwice_Allowed) {
  this->AddServed("a", 1s);
  this->AddRun("a", 1100ms, 1);
  CHECK_FALSE(this->IsBroken(Promise::kOnce));
}

// Failure: a request is refused as not executed, and an upstream that had
// queued it executes it later.
TEST(Promises, NotRun_RefusedRequestRunLater_Found) {
  this->AddUnsafe("a", 1s).status = 503;
  CHECK(this->IsBroken(Promise::kNotRun));
}

TEST(Promises, NotRun_StatusWithoutGuarantee_Allowed) {
  this->AddUnsafe("a", 1s).status = 504;
  CHECK_FALSE(this->IsBroken(Promise::kNotRun));
}

TEST(Promises, Leaving_NewRequestAfterBound_Found) {
  this->observations.leaving.push_back({0, kStart + 5s});
  this->AddServed("a", 8s);
  CHECK(this->IsBroken(Promise::kLeaving));
}

TEST(Promises, Leaving_WithinBoundOrStoreDown_Allowed) {
  this->observations.leaving.push_back({0, kStart + 5s});
  this->AddServed("a", 6s);
  CHECK_FALSE(this->IsBroken(Promise::kLeaving));
  this->AddServed("b", 8s);
  this->Disturb(DisturbanceKind::kStore, 4s, 6s);
  CHECK_FALSE(this->IsBroken(Promise::kLeaving));
}

TEST(Promises, Shutdown_RunningRequestCutOff_Found) {
  this->Disturb(DisturbanceKind::kShutdown, 5s, 8s);
  this->AddServed("a", 6s).outcome = RequestOutcome::kBroken;
  CHECK(this->IsBroken(Promise::kShutdown));
}

TEST(Promises, Shutdown_ConnectionOfUnreadRequestClosed_Allowed) {
  this->Disturb(DisturbanceKind::kShutdown, 5s, 8s);
  this->AddServed("a", 6s).outcome = RequestOutcome::kBroken;
  this->observations.runs.clear();
  CHECK_FALSE(this->IsBroken(Promise::kShutdown));
}

TEST(Promises, Shutdown_OtherNodeAborts_Found) {
  this->Disturb(DisturbanceKind::kShutdown, 5s, 8s);
  RequestRow& row = this->AddServed("a", 6s);
  row.node = 1;
  row.status = 502;
  CHECK(this->IsBroken(Promise::kShutdown));
}

// An upstream's 503 without proof may be replaced, a connection not closed.
TEST(Promises, Shutdown_UnprovenAnswerReplaced_Allowed) {
  this->Disturb(DisturbanceKind::kShutdown, 5s, 8s);
  RequestRow& row = this->AddUnsafe("a", 6s);
  row.status = 502;
  CHECK(this->IsBroken(Promise::kShutdown));
  this->observations.unproven.insert("a");
  CHECK_FALSE(this->IsBroken(Promise::kShutdown));
  this->observations.requests.back().outcome = RequestOutcome::kBroken;
  CHECK(this->IsBroken(Promise::kShutdown));
}

TEST(Promises, Shutdown_ForwardedPipelinedRequestCutOff_Found) {
  this->Disturb(DisturbanceKind::kShutdown, 5s, 8s);
  RequestRow& row = this->AddServed("a", 6s);
  row.outcome = RequestOutcome::kBroken;
  row.is_pipelined = true;
  CHECK(this->IsBroken(Promise::kShutdown));
}

TEST(Promises, Configuration_RemovedRouteServedAfterBound_Found) {
  this->observations.routes.push_back(
      {"levels", false, kStart + 5s, kStart + 5s});
  this->AddServed("a", 7500ms);
  CHECK(this->IsBroken(Promise::kConfiguration));
}

TEST(Promises, Configuration_AddedRouteUnknownAfterBound_Found) {
  this->observations.routes.push_back(
      {"levels", true, kStart + 5s, kStart + 5s});
  this->AddServed("a", 7500ms).status = 404;
  CHECK(this->IsBroken(Promise::kConfiguration));
}

TEST(Promises, Configuration_ChangedAgainBeforeResponse_Allowed) {
  this->observations.routes.push_back(
      {"levels", false, kStart + 5s, kStart + 5s});
  this->observations.routes.push_back(
      {"levels", true, kStart + 7s, kStart + 7s});
  this->AddServed("a", 7500ms);
  CHECK_FALSE(this->IsBroken(Promise::kConfiguration));
}

TEST(Promises, NoReturn_ServedAfterNotFound_Found) {
  this->observations.routes.push_back({"levels", true, kStart, kStart});
  this->observations.routes.push_back(
      {"levels", false, kStart + 5s, kStart + 5s});
  this->AddServed("a", 5500ms).status = 404;
  this->AddServed("b", 6500ms);
  CHECK(this->IsBroken(Promise::kNoReturn));
}

// A route is added, removed, added and removed, and a node applies each change
// late: its 404 is due to the first removal, and it then serves the route by
// the second addition. A success after the second removal is a violation.
TEST(Promises, NoReturn_TwoChangesBehind_Allowed) {
  this->observations.routes.push_back({"levels", true, kStart, kStart});
  this->observations.routes.push_back(
      {"levels", false, kStart + 2s, kStart + 2s});
  this->observations.routes.push_back(
      {"levels", true, kStart + 5s, kStart + 5s});
  this->observations.routes.push_back(
      {"levels", false, kStart + 5300ms, kStart + 5300ms});
  this->AddServed("a", 5400ms).status = 404;
  this->AddServed("b", 6500ms);
  this->AddServed("c", 7500ms).status = 404;
  CHECK_FALSE(this->IsBroken(Promise::kNoReturn));
  this->AddServed("d", 8500ms);
  CHECK(this->IsBroken(Promise::kNoReturn));
}

TEST(Promises, NoReturn_NodeRestarted_Allowed) {
  this->observations.routes.push_back({"levels", true, kStart, kStart});
  this->observations.routes.push_back(
      {"levels", false, kStart + 5s, kStart + 5s});
  this->AddServed("a", 5500ms).status = 404;
  this->Disturb(DisturbanceKind::kNode, 5600ms, 5900ms);
  this->AddServed("b", 6500ms);
  CHECK_FALSE(this->IsBroken(Promise::kNoReturn));
}

TEST(Promises, Repeats_AboveBudget_Found) {
  for (int i = 0; i < 30; ++i) {
    const std::string id = std::to_string(i);
    this->AddServed(id, 1s);
    this->AddRun(id, 1100ms, 1);
  }
  CHECK(this->IsBroken(Promise::kRepeats));
}

TEST(Promises, Repeats_WithinBudget_Allowed) {
  for (int i = 0; i < 30; ++i) {
    const std::string id = std::to_string(i);
    this->AddServed(id, 1s);
    if (i < 25) {
      this->AddRun(id, 1100ms, 1);
    }
  }
  CHECK_FALSE(this->IsBroken(Promise::kRepeats));
}

TEST(Promises, Recovery_FewServedAfterBound_Found) {
  this->observations.all_restarted = kStart + 5s;
  for (int i = 0; i < 10; ++i) {
    this->AddServed(std::to_string(i), 20s).status = i == 0 ? 200 : 503;
  }
  CHECK(this->IsBroken(Promise::kRecovery));
}

TEST(Promises, CallerGone_StartedAfterBound_Found) {
  for (int i = 0; i < 4; ++i) {
    RequestRow& row = this->AddServed(std::to_string(i), 1s);
    row.outcome = RequestOutcome::kCallerLeft;
    row.ended = row.sent;
    this->observations.runs.back().began = kStart + 2s;
  }
  CHECK(this->IsBroken(Promise::kCallerGone));
}

TEST(Promises, Timeout_AnsweredLongAfterTimeout_Found) {
  for (int i = 0; i < 4; ++i) {
    RequestRow& row = this->AddServed(std::to_string(i), 1s);
    row.ended = row.sent + 2400ms;
  }
  CHECK(this->IsBroken(Promise::kTimeout));
}

TEST(Promises, StaysUp_UnexpectedExit_Found) {
  this->observations.unexpected_exits.push_back({2, kStart + 5s});
  CHECK(this->IsBroken(Promise::kStaysUp));
}

TEST_GROUP(SoakPlan){};

TEST(SoakPlan, Plan_SameSeed_IsEqual) {
  const Plan a = MakePlan(7, 4, 12s);
  const Plan b = MakePlan(7, 4, 12s);
  CHECK_EQUAL(a.steps.size(), b.steps.size());
  for (size_t i = 0; i < a.steps.size(); ++i) {
    CHECK(a.steps[i].fault == b.steps[i].fault);
    CHECK(a.steps[i].at == b.steps[i].at);
  }
}

TEST(SoakPlan, Plan_ManySeeds_HaveEveryFault) {
  std::vector<size_t> counts(static_cast<size_t>(Fault::kCount));
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    for (const Step& step : MakePlan(seed, 4, 12s).steps) {
      ++counts[static_cast<size_t>(step.fault)];
    }
  }
  CHECK(std::find(counts.begin(), counts.end(), 0U) == counts.end());
}

// Failure: the plan of a seed that found a fault changes, and the test that
// runs it covers the fault no more.
TEST(SoakPlan, Plan_WithoutCuts_KeepsThePlansOfOlderSeeds) {
  const Plan plan = MakePlan(9246, 4, 12s, kDefaultGap, FaultSet::kWithoutCuts);
  CHECK_EQUAL(8, plan.steps.size());
  CHECK(plan.steps[0].fault == Fault::kDataCentreDrain);
  CHECK(plan.steps[0].at == 2839ms);
  CHECK(plan.steps[7].fault == Fault::kNodeKill);
  CHECK(plan.steps[7].at == 10262ms);
}

// Failure: a request reaches an upstream in a data centre one second after the
// drain of that data centre was accepted.
TEST(Promises, Drained_ArrivalAfterBound_Found) {
  this->observations.drains.push_back({1, kStart + 10s, kStart + 13s});
  this->AddArrival("in-time", 10100ms);
  this->AddArrival("late", 11s);
  this->AddArrival("back", 13100ms);
  const auto broken = FindViolations(this->observations, this->bounds);
  CHECK_EQUAL(1, broken.size());
  CHECK(Promise::kDrained == broken[0].promise);
  STRCMP_EQUAL("late", broken[0].ids[0].c_str());
}

TEST(Promises, Drained_NodePausedDuringDrain_NotChecked) {
  this->observations.drains.push_back({1, kStart + 10s, kStart + 13s});
  this->AddArrival("late", 11s);
  this->Disturb(DisturbanceKind::kNode, 10s, 11s);
  CHECK(FindViolations(this->observations, this->bounds).empty());
}

// A path that was cut holds what was sent before the drain. It does so no
// longer once the paths have been undisturbed for the stability period.
TEST(Promises, Drained_PathsCutShortlyBefore_NotChecked) {
  this->observations.drains.push_back({1, kStart + 10s, kStart + 20s});
  this->AddArrival("held", 11s);
  this->AddArrival("late", 18s);
  this->Disturb(DisturbanceKind::kUpstream, 9s, 10500ms);
  const auto broken = FindViolations(this->observations, this->bounds);
  CHECK_EQUAL(1, broken.size());
  CHECK(Promise::kDrained == broken[0].promise);
  STRCMP_EQUAL("late", broken[0].ids[0].c_str());
}

// Failure: a node that has received no updates for long still serves a revoked
// key.
TEST(Promises, KeyRevoked_ServedAfterBoundDespiteFaults_Found) {
  this->observations.keys.push_back({1, kStart + 4s, kStart + 12s});
  this->AddForTeam("in-time", 1, 6s);
  this->AddForTeam("late", 1, 9s);
  this->AddForTeam("other", 0, 9s);
  this->AddForTeam("given-back", 1, 13s);
  this->Disturb(DisturbanceKind::kNode, 2s, 12s);
  const auto broken = FindViolations(this->observations, this->bounds);
  CHECK_EQUAL(1, broken.size());
  CHECK(Promise::kKeyRevoked == broken[0].promise);
  STRCMP_EQUAL("late", broken[0].ids.front().c_str());
}

// A paused node holds a request until its key is restored.
TEST(Promises, KeyRevoked_RunAfterRestoration_Allowed) {
  this->observations.keys.push_back({1, kStart + 4s, kStart + 12s});
  this->AddForTeam("waited", 1, 11s);
  this->observations.runs.back().began = kStart + 12s + 1ms;
  CHECK_FALSE(this->IsBroken(Promise::kKeyRevoked));
}

TEST(Promises, KeyRevoked_RunJustBeforeRestoration_Found) {
  this->observations.keys.push_back({1, kStart + 4s, kStart + 12s});
  this->AddForTeam("early", 1, 11s);
  this->observations.runs.back().began = kStart + 12s - 1ms;
  CHECK(this->IsBroken(Promise::kKeyRevoked));
}

// Failure: nodes that are cut off from each other each serve the whole quota of
// a team.
TEST(Promises, TeamQuota_AboveBound_Found) {
  for (int i = 0; i < 60; ++i) {
    this->AddForTeam("l" + std::to_string(i), 2, 6s + i * 50ms);
  }
  const auto broken = FindViolations(this->observations, this->bounds);
  CHECK_EQUAL(1, broken.size());
  CHECK(Promise::kTeamQuota == broken[0].promise);
}

TEST(Promises, TeamQuota_AtBound_Allowed) {
  for (int i = 0; i < 59; ++i) {
    this->AddForTeam("l" + std::to_string(i), 2, 6s + i * 50ms);
  }
  CHECK(FindViolations(this->observations, this->bounds).empty());
}

// Failure: a cold upstream gets 17 requests in a second; the bound is 16.
TEST(Promises, Cold_OneAboveBound_Found) {
  this->observations.cold_periods.push_back({0, kStart + 10s, kStart + 12s});
  for (int i = 0; i < 17; ++i) {
    this->AddArrival(std::to_string(i), 10s + i * 50ms);
  }
  const auto broken = FindViolations(this->observations, this->bounds);
  CHECK_EQUAL(1, broken.size());
  CHECK(Promise::kCold == broken[0].promise);
}

TEST(Promises, Cold_AtBound_Allowed) {
  this->observations.cold_periods.push_back({0, kStart + 10s, kStart + 12s});
  for (int i = 0; i < 32; ++i) {
    this->AddArrival(std::to_string(i), 10s + i * 63ms);
  }
  CHECK(FindViolations(this->observations, this->bounds).empty());
}

// Failure: an upstream that advertises a rate limit gets more requests and
// health checks in four seconds than one and a half times the limit plus five.
TEST(Promises, RateLimit_OneAboveBound_Found) {
  this->observations.limits.push_back({0, 1, kStart + 10s, kStart + 16s});
  for (int i = 0; i < 6; ++i) {
    this->AddArrival(std::to_string(i), 12s + i * 100ms);
    this->observations.health_checks.push_back(
        {"", 0, 1, kStart + 12050ms + i * 100ms});
  }
  const auto broken = FindViolations(this->observations, this->bounds);
  CHECK_EQUAL(1, broken.size());
  CHECK(Promise::kRateLimit == broken[0].promise);
}

TEST(Promises, RateLimit_AtBound_Allowed) {
  this->observations.limits.push_back({0, 1, kStart + 10s, kStart + 16s});
  for (int i = 0; i < 11; ++i) {
    this->AddArrival(std::to_string(i), 12s + i * 100ms);
  }
  CHECK(FindViolations(this->observations, this->bounds).empty());
}

// The upstream has not advertised the limit yet, or not for long enough for the
// nodes to apply it.
TEST(Promises, RateLimit_BeforeNodesApplyIt_Allowed) {
  this->observations.limits.push_back({0, 1, kStart + 10s, kStart + 16s});
  for (int i = 0; i < 30; ++i) {
    this->AddArrival(std::to_string(i), 9700ms + i * 20ms);
  }
  CHECK(FindViolations(this->observations, this->bounds).empty());
}

// Failure: an upstream that says that it leaves, or asks for rest, gets more
// than two requests from each node.
TEST(Promises, Notice_OneRequestAboveBound_Found) {
  this->observations.said_leaving = {{0, kStart + 10s, kStart + 15s}};
  this->observations.rests = {{1, kStart + 10s, kStart + 15s}};
  for (int i = 0; i < 9; ++i) {
    const Duration at = 13s + i * 100ms;
    this->observations.arrivals.push_back({"", 0, 0, kStart + at});
    this->observations.arrivals.push_back({"", 1, 0, kStart + at});
  }
  CHECK(this->IsBroken(Promise::kLeavingSaid));
  CHECK(this->IsBroken(Promise::kRest));
}

// Before the bound, at the bound, and after the notice.
TEST(Promises, Notice_AtBoundOrAtOtherTimes_Allowed) {
  this->observations.said_leaving = {{0, kStart + 10s, kStart + 15s}};
  this->observations.rests = {{1, kStart + 10s, kStart + 15s}};
  for (int i = 0; i < 8; ++i) {
    const Duration at = 13s + i * 100ms;
    this->observations.arrivals.push_back({"", 0, 0, kStart + at});
    this->observations.arrivals.push_back({"", 1, 0, kStart + at});
    this->observations.arrivals.push_back({"", 0, 0, kStart + at - 3s});
    this->observations.arrivals.push_back({"", 1, 0, kStart + 10s});
    this->observations.arrivals.push_back({"", 1, 0, kStart + 16s});
  }
  CHECK_FALSE(this->IsBroken(Promise::kLeavingSaid));
  CHECK_FALSE(this->IsBroken(Promise::kRest));
}

// Failure: a node that is cut from all upstreams refuses its callers, although
// other nodes could dispatch for it.
TEST(Promises, CutServed_CallersOfCutNodeRefused_Found) {
  this->Cut(1, 10s, 20s);
  this->AddTries(0, 100, 0, 14s);
  this->AddTries(1, 100, 14, 14s);
  CHECK(this->IsBroken(Promise::kCutServed));
}

TEST(Promises, CutServed_FewCallersRefused_Allowed) {
  this->Cut(1, 10s, 20s);
  this->AddTries(0, 100, 0, 14s);
  this->AddTries(1, 100, 12, 14s);
  CHECK_FALSE(this->IsBroken(Promise::kCutServed));
}

// Other faults of the same time.
TEST(Promises, CutServed_OthersRefusedAsWell_Allowed) {
  this->Cut(1, 10s, 20s);
  this->AddTries(0, 100, 30, 14s);
  this->AddTries(1, 100, 50, 14s);
  CHECK_FALSE(this->IsBroken(Promise::kCutServed));
}

TEST(Promises, CutServed_FarMoreThanAtOthers_Found) {
  this->Cut(1, 10s, 20s);
  this->AddTries(0, 100, 30, 14s);
  this->AddTries(1, 100, 55, 14s);
  CHECK(this->IsBroken(Promise::kCutServed));
}

TEST(Promises, CutServed_JustAfterTheCut_Allowed) {
  this->Cut(1, 10s, 20s);
  this->AddTries(0, 100, 0, 11s);
  this->AddTries(1, 100, 100, 11s);
  CHECK_FALSE(this->IsBroken(Promise::kCutServed));
}

TEST(Promises, CutServed_OnlyOtherCutNodesToCompareWith_Allowed) {
  this->Cut(0, 10s, 20s);
  this->Cut(1, 10s, 20s);
  this->AddTries(0, 100, 100, 14s);
  this->AddTries(1, 100, 100, 14s);
  CHECK_FALSE(this->IsBroken(Promise::kCutServed));
}

// Failure: the failures of another node that is cut at the same time hide those
// of this one.
TEST(Promises, CutServed_AnotherCutNodeFailsToo_Found) {
  this->Cut(1, 10s, 20s);
  this->Cut(2, 10s, 20s);
  this->AddTries(0, 100, 0, 14s);
  this->AddTries(1, 100, 50, 14s);
  this->AddTries(2, 100, 50, 14s);
  CHECK(this->IsBroken(Promise::kCutServed));
}

TEST(Promises, CutServed_CutNodeKilled_Allowed) {
  this->Cut(0, 10s, 20s);
  this->AddTries(1, 100, 0, 14s);
  this->AddTries(0, 100, 100, 14s);
  this->Disturb(DisturbanceKind::kNode, 13s, 15s);
  CHECK_FALSE(this->IsBroken(Promise::kCutServed));
}

TEST(Promises, CutServed_LimitedTeamRefused_Allowed) {
  this->Cut(1, 10s, 20s);
  this->AddTries(0, 100, 0, 14s);
  this->AddTries(1, 100, 100, 14s);
  for (RequestRow& row : this->observations.requests) {
    row.team = static_cast<size_t>(SoakTeam::kLimited);
  }
  CHECK_FALSE(this->IsBroken(Promise::kCutServed));
}

// Failure: a node keeps reporting ready and accepts no connection.
TEST(Promises, ReadyTakes_TwoConsecutiveMisses_Found) {
  this->observations.connections = {
      {0, kStart, 5ms}, {0, kStart + 1s}, {0, kStart + 2s}};
  CHECK(this->IsBroken(Promise::kReadyTakes));
}

TEST(Promises, ReadyTakes_SingleMiss_Allowed) {
  this->observations.connections = {
      {0, kStart}, {0, kStart + 1s, 5ms}, {0, kStart + 2s}};
  CHECK_FALSE(this->IsBroken(Promise::kReadyTakes));
}

TEST(Promises, ReadyTakes_NodePaused_Allowed) {
  this->observations.connections = {{0, kStart + 1s}, {0, kStart + 2s}};
  this->Disturb(DisturbanceKind::kNode, 500ms, 3s);
  CHECK_FALSE(this->IsBroken(Promise::kReadyTakes));
}

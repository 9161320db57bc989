// Tests of claims with random histories: the invariants hold in every history,
// and the check of the invariants detects each missing safety rule.

#include <cstdlib>
#include <string>

#include "claim_simulation.h"

#include <CppUTest/TestHarness.h>

namespace {

using basilsill::test::HistoryResult;
using basilsill::test::Mutation;
using basilsill::test::RunClaimHistory;

constexpr uint64_t kHistories = 3000;
constexpr uint64_t kMaxSeedsPerMutation = 3000;

// For a longer manual run, set BASILSILL_HISTORIES=200000.
uint64_t HistoriesToRun() {
  const char* wanted = std::getenv("BASILSILL_HISTORIES");
  return wanted == nullptr ? kHistories : std::strtoull(wanted, nullptr, 10);
}

// @returns the first seed whose history violates an invariant, or 0.
uint64_t FindViolation(Mutation mutation, uint64_t max_seeds) {
  for (uint64_t seed = 1; seed <= max_seeds; ++seed) {
    if (!RunClaimHistory(seed, mutation, false).violation.empty()) {
      return seed;
    }
  }
  return 0;
}

void CheckIsDetected(Mutation mutation) {
  CHECK(FindViolation(mutation, kMaxSeedsPerMutation) != 0);
}

}  // namespace

TEST_GROUP(ClaimHistory){};

// Callers retry requests through other VMs. Meanwhile VMs pause between any two
// steps, die and lose messages to each other, and the log is down, slow or
// trimmed, loses answers and applies appends late. In every order of events, a
// key runs at most once and has one response, a request reported as not-run did
// not run, and a key that was never granted does not stay blocked.
TEST(ClaimHistory, RandomFaults_ManySeeds_EveryInvariantHolds) {
  HistoryResult total;
  for (uint64_t seed = 1; seed <= HistoriesToRun(); ++seed) {
    const HistoryResult result = RunClaimHistory(seed, Mutation::kNone, false);
    if (!result.violation.empty()) {
      const HistoryResult again = RunClaimHistory(seed, Mutation::kNone, true);
      const std::string failure = "seed " + std::to_string(seed) + ": " +
                                  again.violation + "\n" + again.trace;
      FAIL(failure.c_str());
    }
    total.runs += result.runs;
    total.reported_not_run += result.reported_not_run;
    total.reported_unknown += result.reported_unknown;
    total.replayed += result.replayed;
    total.read_after_abandonment += result.read_after_abandonment;
    total.broken_streams += result.broken_streams;
  }
  // The histories cover every kind of outcome.
  CHECK(total.runs > 0);
  CHECK(total.reported_not_run > 0);
  CHECK(total.reported_unknown > 0);
  CHECK(total.replayed > 0);
  CHECK(total.read_after_abandonment > 0);
  CHECK(total.broken_streams > 0);
}

TEST(ClaimHistory, Check_DispatchOnAppendAnswer_IsDetected) {
  CheckIsDetected(Mutation::kDispatchOnAppend);
}

TEST(ClaimHistory, Check_DispatchOnOwnRecord_IsDetected) {
  CheckIsDetected(Mutation::kDispatchOnOwnRecord);
}

TEST(ClaimHistory, Check_DispatchAfterRefusal_IsDetected) {
  CheckIsDetected(Mutation::kDispatchAfterRefusal);
}

TEST(ClaimHistory, Check_ClaimOfUnresponsiveVmReleased_IsDetected) {
  CheckIsDetected(Mutation::kStealClaims);
}

TEST(ClaimHistory, Check_RunningRequestReleased_IsDetected) {
  CheckIsDetected(Mutation::kReleaseRunning);
}

TEST(ClaimHistory, Check_AttemptUsedAtTwoVms_IsDetected) {
  CheckIsDetected(Mutation::kReuseAttempts);
}

TEST(ClaimHistory, Check_GapInHistoryIgnored_IsDetected) {
  CheckIsDetected(Mutation::kIgnoreGaps);
}

TEST(ClaimHistory, Check_BodiesNotCompared_IsDetected) {
  CheckIsDetected(Mutation::kIgnoreBodies);
}

TEST(ClaimHistory, Check_ReleaseBeforeClaimIgnored_IsDetected) {
  CheckIsDetected(Mutation::kNoTombstones);
}

TEST(ClaimHistory, Check_AbandonedClaimsNotReleased_IsDetected) {
  CheckIsDetected(Mutation::kKeepLateClaims);
}

TEST(ClaimHistory, Check_LostAnswersTreatedAsRejected_IsDetected) {
  CheckIsDetected(Mutation::kRejectLostAnswers);
}

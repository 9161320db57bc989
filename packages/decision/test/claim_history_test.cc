// Random histories of requests that must not repeat: what must hold in every
// one of them, and that the check would notice if a guard were missing.

#include <cstdlib>
#include <string>

#include "claim_simulation.h"

#include <CppUTest/TestHarness.h>

namespace {

using basilsill::test::HistoryResult;
using basilsill::test::Mutation;
using basilsill::test::RunClaimHistory;

constexpr uint64_t kHistories = 3000;
constexpr uint64_t kMostToFindMutation = 3000;

// A longer run by hand: BASILSILL_HISTORIES=200000.
uint64_t HistoriesToRun() {
  const char* wanted = std::getenv("BASILSILL_HISTORIES");
  return wanted == nullptr ? kHistories : std::strtoull(wanted, nullptr, 10);
}

// @returns the first seed whose history breaks an invariant, 0 if none does.
uint64_t FindViolation(Mutation mutation, uint64_t most) {
  for (uint64_t seed = 1; seed <= most; ++seed) {
    if (!RunClaimHistory(seed, mutation, false).violation.empty()) {
      return seed;
    }
  }
  return 0;
}

void CheckIsNoticed(Mutation mutation) {
  CHECK(FindViolation(mutation, kMostToFindMutation) != 0);
}

}  // namespace

TEST_GROUP(ClaimHistory){};

// Callers send confirmations and send them again through other VMs while VMs
// pause between any two steps, die, ask each other and lose the messages, and
// the log is down, slow, trimmed, loses answers and takes appends late.
// Whatever the order: at most one run a key, not-run means not run, one
// answer, and no key that nobody ran is lost for good.
TEST(ClaimHistory, RandomFaults_ManySeeds_EveryInvariantHolds) {
  HistoryResult total;
  for (uint64_t seed = 1; seed <= HistoriesToRun(); ++seed) {
    const HistoryResult result = RunClaimHistory(seed, Mutation::kNone, false);
    if (!result.violation.empty()) {
      const HistoryResult again = RunClaimHistory(seed, Mutation::kNone, true);
      const std::string story = "seed " + std::to_string(seed) + ": " +
                                again.violation + "\n" + again.trace;
      FAIL(story.c_str());
    }
    total.runs += result.runs;
    total.told_not_run += result.told_not_run;
    total.told_unknown += result.told_unknown;
    total.replayed += result.replayed;
    total.landed_late += result.landed_late;
    total.broken_streams += result.broken_streams;
  }
  // The histories reach what they are meant for.
  CHECK(total.runs > 0);
  CHECK(total.told_not_run > 0);
  CHECK(total.told_unknown > 0);
  CHECK(total.replayed > 0);
  CHECK(total.landed_late > 0);
  CHECK(total.broken_streams > 0);
}

TEST(ClaimHistory, Check_DispatchOnAppendAnswer_IsNoticed) {
  CheckIsNoticed(Mutation::kDispatchOnAppend);
}

TEST(ClaimHistory, Check_DispatchOnOwnRecord_IsNoticed) {
  CheckIsNoticed(Mutation::kDispatchOnOwnRecord);
}

TEST(ClaimHistory, Check_DispatchAfterRefusal_IsNoticed) {
  CheckIsNoticed(Mutation::kDispatchAfterRefusal);
}

TEST(ClaimHistory, Check_ClaimsOfSilentVmsStolen_IsNoticed) {
  CheckIsNoticed(Mutation::kStealClaims);
}

TEST(ClaimHistory, Check_RunningRequestReleased_IsNoticed) {
  CheckIsNoticed(Mutation::kReleaseRunning);
}

TEST(ClaimHistory, Check_AttemptUsedAtTwoVms_IsNoticed) {
  CheckIsNoticed(Mutation::kReuseAttempts);
}

TEST(ClaimHistory, Check_GapInHistoryIgnored_IsNoticed) {
  CheckIsNoticed(Mutation::kIgnoreGaps);
}

TEST(ClaimHistory, Check_BodiesNotCompared_IsNoticed) {
  CheckIsNoticed(Mutation::kIgnoreBodies);
}

TEST(ClaimHistory, Check_ReleaseBeforeClaimForgotten_IsNoticed) {
  CheckIsNoticed(Mutation::kNoTombstones);
}

TEST(ClaimHistory, Check_LateClaimsKept_IsNoticed) {
  CheckIsNoticed(Mutation::kKeepLateClaims);
}

TEST(ClaimHistory, Check_LostAnswersTrusted_IsNoticed) {
  CheckIsNoticed(Mutation::kTrustLostAnswers);
}

// Tests that the waits between a change and its effect fit into every bound.

#include "basilsill/decision/staleness_budget.h"

#include "basilsill/decision/topic_follower.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::Duration;
using basilsill::LogPosition;
using basilsill::StalenessBudget;
using basilsill::TimePoint;
using basilsill::TopicFollower;
using basilsill::TopicFollowerOptions;

namespace {

constexpr bool Fits(Duration bound) {
  return StalenessBudget::For(bound, false).Worst() <= bound &&
         StalenessBudget::For(bound, true).Worst() <= bound;
}

// Failure: each wait is sensible by itself, and their sum is longer than the
// bound.
static_assert(Fits(StalenessBudget::kShortestBound));
static_assert(Fits(2000ms));
static_assert(Fits(2500ms));
static_assert(Fits(3000ms));
static_assert(Fits(4000ms));
static_assert(Fits(11000ms));

}  // namespace

TEST_GROUP(StalenessBudget){};

TEST(StalenessBudget, ReadDelay_AnySizeOfFleet_WithinMaxSilence) {
  const StalenessBudget budget = StalenessBudget::For(2000ms, true);
  TopicFollowerOptions options;
  options.interval = budget.interval;
  options.max_silence = budget.max_silence;
  options.degraded_max_silence = 1800ms;
  const TimePoint now{1s};
  for (const size_t rank : {0U, 1U, 29U, 115U, 299U, 3718U}) {
    TopicFollower follower(options);
    follower.SetRank(rank);
    follower.OnPage(now, LogPosition(10), false, "k");
    follower.OnPeerUpdate(now, LogPosition(10), LogPosition(11));
    CHECK(follower.due() <= now + budget.max_silence);
  }
}

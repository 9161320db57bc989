#include "basilsill/decision/view_build_throttle.h"

#include <CppUTest/TestHarness.h>

using basilsill::Duration;
using basilsill::TimePoint;
using basilsill::ViewBuildThrottle;
using namespace std::chrono_literals;

namespace {

/// @returns the fraction of ten seconds spent on views that take `cost` each,
/// with a change at every tick.
double FractionSpent(Duration cost) {
  ViewBuildThrottle throttle;
  TimePoint now{1s};
  Duration spent{0};
  while (now < TimePoint(11s)) {
    if (throttle.MayBuild(now)) {
      throttle.OnBuilt(now, now + cost);
      spent += cost;
    }
    now += 100ms;
  }
  return std::chrono::duration<double>(spent) /
         std::chrono::duration<double>(10s);
}

}  // namespace

TEST_GROUP(ViewBuildThrottle){};

TEST(ViewBuildThrottle, CheapViews_ChangeAtEveryTick_BuiltAtEveryTick) {
  DOUBLES_EQUAL(0.1, FractionSpent(10ms), 0.001);
}

// Failure: a small VM in a large fleet spends all its time on building views.
TEST(ViewBuildThrottle, CostlyViews_ChangeAtEveryTick_TimeIsBounded) {
  CHECK(FractionSpent(50ms) <= 0.11);
  CHECK(FractionSpent(100ms) <= 0.21);
}

TEST(ViewBuildThrottle, CostlyView_NextChange_WaitsAtMostMaxWait) {
  ViewBuildThrottle throttle;
  const TimePoint now{1s};
  throttle.OnBuilt(now, now + 3s);
  CHECK(throttle.MayBuild(now + 3s + ViewBuildThrottle::kMaxWait));
}

#include "basilsill/decision/view_build_throttle.h"

#include <CppUTest/TestHarness.h>

using basilsill::Duration;
using basilsill::TimePoint;
using basilsill::ViewBuildThrottle;
using namespace std::chrono_literals;

namespace {

/// @returns how much of ten seconds goes into views that take `cost` each, with
/// a change at every tick.
double PartSpent(Duration cost) {
  ViewBuildThrottle pace;
  TimePoint now{1s};
  Duration spent{0};
  while (now < TimePoint(11s)) {
    if (pace.MayBuild(now)) {
      pace.OnBuilt(now, now + cost);
      spent += cost;
    }
    now += 100ms;
  }
  return std::chrono::duration<double>(spent) /
         std::chrono::duration<double>(10s);
}

}  // namespace

TEST_GROUP(ViewBuildThrottle){};

TEST(ViewBuildThrottle, CheapViews_ChangeAtEveryTick_EachTickHasOne) {
  DOUBLES_EQUAL(0.1, PartSpent(10ms), 0.001);
}

// A small VM of a large fleet does nothing but make views.
TEST(ViewBuildThrottle, CostlyViews_TwiceTheCost_TakeABoundedPart) {
  CHECK(PartSpent(50ms) <= 0.11);
  CHECK(PartSpent(100ms) <= 0.21);
}

TEST(ViewBuildThrottle, AnyCost_NoChangeWaitsForLong) {
  ViewBuildThrottle pace;
  const TimePoint now{1s};
  pace.OnBuilt(now, now + 3s);
  CHECK(pace.MayBuild(now + 3s + ViewBuildThrottle::kMaxWait));
}

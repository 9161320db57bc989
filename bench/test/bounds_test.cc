// Tests of bars, bounds and checks of benchmark figures.

#include <vector>

#include "bounds.h"

#include <CppUTest/TestHarness.h>

namespace basilsill::bench {

TEST_GROUP(Bounds){
    Check WithBound(double value, double bar, bool at_least = false){
        std::vector<Check> checks = {{"name", value, bar, 0, at_least}};
SetBounds(checks);
return checks[0];
}  // namespace basilsill::bench
}
;  // namespace basilsill::bench

TEST(Bounds, SetBounds_BarMet_BoundNoWeakerThanBar) {
  DOUBLES_EQUAL(1.1, this->WithBound(1.09, 1.1).bound, 1e-9);
  DOUBLES_EQUAL(0.9, this->WithBound(0.91, 0.9, true).bound, 1e-9);
}

TEST(Bounds, SetBounds_BarMissed_BoundFollowsMeasuredValue) {
  Check check = this->WithBound(2, 1.1);
  CHECK(check.MissesBar());
  CHECK_FALSE(check.BreaksBound());
  check.value = 2.2;
  CHECK(check.BreaksBound());
}

TEST(Bounds, SetBounds_NoBar_AddsMargin) {
  Check check = this->WithBound(10, kNoBar);
  CHECK_FALSE(check.MissesBar());
  DOUBLES_EQUAL(10.5, check.bound, 1e-9);
}

TEST(Bounds, AtLeast_ValueBelowBound_BreaksBound) {
  Check check = this->WithBound(1, kNoBar, true);
  check.value = 0.9;
  CHECK(check.BreaksBound());
}

// Failure: a strategy improves its latency figures by refusing slow requests,
// because requests without an answer are not checked.
TEST(Bounds, MakeChecks_RequestsLost_BarMissed) {
  Figures own;
  own.case_name = "fail_fast";
  own.deployment = "sofia";
  own.strategy = "basilsill";
  own.measured.answered = 0.9;
  bool found = false;
  for (const Check& check : MakeChecks({own})) {
    if (check.name == "fail_fast/sofia/without_answer") {
      found = true;
      CHECK(check.MissesBar());
    }
  }
  CHECK(found);
}

}  // namespace basilsill::bench

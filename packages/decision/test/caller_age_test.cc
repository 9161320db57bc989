// Tests the estimate of how long ago a caller made its first attempt.

#include <pcg_random.hpp>

#include "basilsill/decision/caller_age.h"

#include <CppUTest/TestHarness.h>

using basilsill::CallerAge;
using basilsill::CreditClaim;
using basilsill::CreditNeed;
using basilsill::Duration;
using basilsill::IsInTime;
using basilsill::LeaseTime;
using basilsill::MakeCreditNeed;
using basilsill::RuleHandle;
using basilsill::TrafficClass;
using namespace std::chrono_literals;

TEST_GROUP(CallerAge) {
  LeaseTime now{std::chrono::hours(1)};
  CallerAge ages;
  RuleHandle rule{1, 0};
  pcg64 random{7};

  /// Callers with a full time of 3 s: one first attempt, then a later one.
  void LearnPairs(int count) {
    for (int i = 0; i < count; ++i) {
      this->ages.Learn(this->now, this->rule, 3000ms);
      this->ages.Learn(this->now, this->rule,
                       std::chrono::milliseconds(500 + this->random() % 2400));
      this->now += 50ms;
    }
  }

  std::optional<Duration> AgeOf(std::chrono::milliseconds declared) {
    return this->ages.AgeOf(this->now, this->rule, declared).age;
  }
};

TEST(CallerAge, AgeOf_FullTimeSentOften_IsTheDifference) {
  this->LearnPairs(100);
  CHECK(this->AgeOf(3000ms) == Duration(0ms));
  CHECK(this->AgeOf(2300ms) == Duration(700ms));
}

TEST(CallerAge, AgeOf_NothingSentOften_IsLearning) {
  this->ages.Learn(this->now, this->rule, 3000ms);
  CHECK_TRUE(this->ages.AgeOf(this->now, this->rule, 3000ms).is_learning);
}

TEST(CallerAge, AgeOf_TwoKindsOfCallers_IsTheSmallerFullTimeNotBelow) {
  for (int i = 0; i < 50; ++i) {
    this->ages.Learn(this->now, this->rule, 3000ms);
    this->ages.Learn(this->now, this->rule, 10000ms);
  }
  CHECK(this->AgeOf(2900ms) == Duration(100ms));
  CHECK(this->AgeOf(9000ms) == Duration(1000ms));
}

// Failure: callers that were refused at once come back after nearly the same
// time. If what they declare then is taken for a full time, they pass for new
// ones.
TEST(CallerAge, AgeOf_ReturnsWithinMilliseconds_AreNotTakenForNew) {
  for (int i = 0; i < 200; ++i) {
    this->ages.Learn(this->now, this->rule, 3000ms);
    this->ages.Learn(this->now, this->rule,
                     std::chrono::milliseconds(1985 + this->random() % 5));
  }
  CHECK(this->AgeOf(1987ms) == Duration(1013ms));
}

// Failure: a caller that sends other values than all others changes the age,
// and so the priority, of the others.
TEST(CallerAge, AgeOf_OneCallerSendsOtherValues_OthersKeepTheirAge) {
  for (int i = 0; i < 100; ++i) {
    this->LearnPairs(10);
    this->ages.Learn(this->now, this->rule, 2500ms);
    this->ages.Learn(this->now, this->rule,
                     std::chrono::milliseconds(this->random() % 100000));
  }
  CHECK(this->AgeOf(3000ms) == Duration(0ms));
  CHECK(this->AgeOf(2400ms) == Duration(600ms));
}

// Failure: a caller declares more than all others, so that it would count as
// new for longer.
TEST(CallerAge, AgeOf_LongerThanUsual_IsUnknownAndLate) {
  this->LearnPairs(100);
  const CallerAge::Estimate estimate =
      this->ages.AgeOf(this->now, this->rule, 60000ms);
  CHECK_FALSE(estimate.age.has_value());
  CHECK_FALSE(estimate.is_learning);
  const CreditNeed need = MakeCreditNeed(
      {TrafficClass::kUrgent, 250ms, 60000ms, false, 60s}, estimate, 110ms);
  CHECK_FALSE(IsInTime(need));
}

TEST(CallerAge, MakeCreditNeed_UnreadableTime_IsLate) {
  CreditClaim claim{TrafficClass::kUrgent, 250ms, std::nullopt, true, 3s};
  CHECK_FALSE(IsInTime(MakeCreditNeed(claim, {}, 110ms)));
}

TEST(CallerAge, MakeCreditNeed_FirstAttempt_HasTheTargetLessTheWork) {
  const CreditNeed need =
      MakeCreditNeed({TrafficClass::kUrgent, 250ms, 3000ms, false, 3s},
                     {Duration(0ms), false}, 110ms);
  CHECK_TRUE(need.until_target > 110ms && need.until_target < 140ms);
  CHECK_FALSE(need.is_returning);
}

TEST(CallerAge, LearnWork_Steady_IsThatTime) {
  this->LearnPairs(1);
  for (int i = 0; i < 10; ++i) {
    this->ages.LearnWork(this->rule, 110ms);
  }
  CHECK(this->ages.WorkOf(this->rule) == Duration(110ms));
}

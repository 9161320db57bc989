// Tests of which requests a VM that shuts down still passes on.

#include "basilsill/decision/shutdown_admission.h"

#include <CppUTest/TestHarness.h>

using basilsill::Duration;
using basilsill::RuleHandle;
using basilsill::ShutdownAdmission;
using basilsill::TimePoint;
using namespace std::chrono_literals;

// A VM that ends six seconds after the start of its shutdown.
TEST_GROUP(ShutdownAdmission) {
  TimePoint now{std::chrono::hours(1)};
  ShutdownAdmission admission;
  RuleHandle rule{1, 0};

  void Serve(Duration time) {
    this->admission.OnAnswered(this->now, this->rule, time);
  }

  void Begin() {
    this->admission.Begin(this->now + 6s);
  }

  /// Begins the shutdown and lets `time` pass, with the drain after two
  /// seconds.
  void ShutDownFor(Duration time) {
    this->Begin();
    this->now += time;
    if (time >= 2s) {
      this->admission.BeginDrain();
    }
  }

  bool Admits(Duration deadline = 30s) const {
    return this->admission.Admits(this->now, this->rule, this->now + deadline);
  }
};

TEST(ShutdownAdmission, Admits_NoShutdown_Always) {
  this->Serve(20s);
  CHECK(this->Admits());
}

// Failure: a request is passed on, although its upstream works longer than the
// VM still lives.
TEST(ShutdownAdmission, Admits_WorkLongerThanTheRest_Refused) {
  this->Serve(2500ms);
  this->ShutDownFor(2s);
  CHECK(this->Admits());
  this->now += 1s;
  CHECK_FALSE(this->Admits());
}

TEST(ShutdownAdmission, Admits_ShortWork_UntilClosed) {
  this->Serve(160ms);
  this->ShutDownFor(5s);
  CHECK(this->Admits());
  this->admission.Close();
  CHECK_FALSE(this->Admits());
}

// Failure: the same rule has short requests and long ones, and the long ones
// are cut.
TEST(ShutdownAdmission, Admits_WorkDiffers_LongestCounts) {
  this->Serve(100ms);
  this->Serve(3s);
  this->Serve(100ms);
  this->ShutDownFor(3s);
  CHECK_FALSE(this->Admits());
}

// While callers still come, a request that may be answered in time is not
// turned away.
TEST(ShutdownAdmission, Admits_CallersStillCome_ShortestCounts) {
  this->Serve(1s);
  this->Serve(20s);
  this->ShutDownFor(1s);
  CHECK(this->Admits());
}

TEST(ShutdownAdmission, Admits_CallersStillComeAndNoneIsInTime_Refused) {
  this->Serve(20s);
  this->ShutDownFor(0s);
  CHECK_FALSE(this->Admits());
}

// The request ends in time, whatever its upstream does.
TEST(ShutdownAdmission, Admits_DeadlineBeforeTheEnd_PassedOn) {
  this->Serve(5s);
  this->ShutDownFor(3s);
  CHECK(this->Admits(2s));
  CHECK_FALSE(this->Admits(4s));
}

TEST(ShutdownAdmission, Admits_WorkUnknown_DeadlineDecides) {
  this->ShutDownFor(1s);
  CHECK(this->Admits());
  this->ShutDownFor(3s);
  CHECK(this->Admits(2s));
  CHECK_FALSE(this->Admits());
}

TEST(ShutdownAdmission, Admits_LongWorkLongAgo_Forgotten) {
  this->Serve(10s);
  for (int i = 0; i < 3; ++i) {
    this->now += 61s;
    this->Serve(100ms);
  }
  this->ShutDownFor(3s);
  CHECK(this->Admits());
}

TEST(ShutdownAdmission, Admits_OtherRuleInItsPlace_WorkUnknown) {
  this->Serve(100ms);
  this->rule.generation += 1;
  this->ShutDownFor(3s);
  CHECK_FALSE(this->Admits());
}

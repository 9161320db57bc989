// Tests the state of the emulated platform in virtual time.

#include "basilsill/ctl/platform_state.h"

#include <CppUTest/TestHarness.h>

using namespace basilsill::ctl;  // NOLINT: a test's own file.
using basilsill::TimePoint;
using std::chrono::milliseconds;

TEST_GROUP(PlatformState) {
  PlatformState state;
  TimePoint now{std::chrono::hours(1)};
  uint64_t first = 0;

  AppendOutcome AppendOne(const std::string& body) {
    return Append(state, "s", {body}, now, first);
  }

  StreamBounds Bounds() {
    return state.streams["s"].Bounds();
  }

  void List(const std::string& name) {
    state.vms.Put({name, "lyulin", {"127.0.0.1", 1}, false}, now);
  }
};

TEST(PlatformState, Append_Records_NumberedWithoutGaps) {
  CHECK(Append(state, "s", {"a", "b"}, now, first) == AppendOutcome::kAnswered);
  CHECK_EQUAL(0U, first);
  AppendOne("c");
  CHECK_EQUAL(2U, first);
  CHECK(state.streams["s"].At(1) == "b");
  Append(state, "other", {"x"}, now, first);
  CHECK_EQUAL(0U, first);
}

TEST(PlatformState, Append_AboveRetention_OldestRemoved) {
  PlatformFaults faults;
  faults.retention_records = 2;
  SetFaults(state, faults);
  for (const char* body : {"a", "b", "c"}) {
    AppendOne(body);
  }
  CHECK((Bounds() == StreamBounds{1, 3}));
  CHECK(state.streams["s"].At(2) == "c");
  faults.retention_records = 0;
  SetFaults(state, faults);
  CHECK((Bounds() == StreamBounds{3, 3}));
}

TEST(PlatformState, Append_Down_NoEffect) {
  PlatformFaults faults;
  faults.down = true;
  SetFaults(state, faults);
  CHECK(AppendOne("a") == AppendOutcome::kDown);
  CHECK((Bounds() == StreamBounds{0, 0}));
}

TEST(PlatformState, Append_AnswersToDrop_TakesEffectEachTime) {
  PlatformFaults faults;
  faults.drop_answers = 1;
  SetFaults(state, faults);
  CHECK(AppendOne("a") == AppendOutcome::kDropped);
  CHECK(AppendOne("b") == AppendOutcome::kAnswered);
  CHECK((Bounds() == StreamBounds{0, 2}));
}

TEST(PlatformState, Append_RateLimited_AllowsRateOverTime) {
  PlatformFaults faults;
  faults.appends_per_second = 100;
  SetFaults(state, faults);
  int allowed = 0;
  for (int i = 0; i < 1000; ++i) {
    allowed += AppendOne("x") == AppendOutcome::kAnswered ? 1 : 0;
    now += milliseconds(1);
  }
  // 100 appends in one second, plus the initial burst.
  CHECK(allowed >= 100);
  CHECK(allowed <= 111);
  CHECK_EQUAL(static_cast<uint64_t>(allowed), Bounds().end);
}

TEST(PlatformState, VmTable_PastTime_ReturnsVersionOfThatTime) {
  List("one");
  now += milliseconds(100);
  List("two");
  CHECK_EQUAL(2U, state.vms.At(now).vms.size());
  CHECK_EQUAL(1U, state.vms.At(now - milliseconds(1)).vms.size());
  CHECK_EQUAL(0U, state.vms.At(now - milliseconds(101)).vms.size());
  CHECK(state.vms.TimeOfChangeAfter(1) == now);
  CHECK_FALSE(state.vms.TimeOfChangeAfter(2).has_value());
}

TEST(PlatformState, VmTable_RemoveUnknown_VersionUnchanged) {
  List("one");
  CHECK_FALSE(state.vms.Remove("two", now));
  CHECK_EQUAL(1U, state.vms.At(now).number);
  CHECK(state.vms.Remove("one", now));
  CHECK_EQUAL(2U, state.vms.At(now).number);
}

TEST(PlatformState, VmTable_ManyVersions_OldestRemoved) {
  const TimePoint start = now;
  for (size_t i = 0; i < 2 * VmTable::kVersionsKept; ++i) {
    now += milliseconds(1);
    List("one");
  }
  CHECK_EQUAL(2 * VmTable::kVersionsKept, state.vms.At(now).number);
  CHECK_EQUAL(VmTable::kVersionsKept + 1, state.vms.At(start).number);
}

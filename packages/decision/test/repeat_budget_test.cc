// Tests of the limit on repeats, and of the weighted choice between the parts
// of a split.

#include "basilsill/decision/repeat_budget.h"

#include <vector>

#include "basilsill/decision/split_chooser.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::Duration;
using basilsill::RepeatBudget;
using basilsill::RepeatBudgetOptions;
using basilsill::RuleRow;
using basilsill::SplitChooser;
using basilsill::TimePoint;

TEST_GROUP(RepeatBudget) {
  RepeatBudget budget;
  RepeatBudgetOptions options{0.2, 5, 10s};
  TimePoint now{100s};

  size_t TakeAll() {
    size_t taken = 0;
    while (this->budget.Take(this->now, this->options)) {
      ++taken;
    }
    return taken;
  }
};

TEST(RepeatBudget, Take_NoRequests_AllowsSlackOnce) {
  CHECK_EQUAL(5, this->TakeAll());
  this->now += 5s;
  CHECK_EQUAL(0, this->TakeAll());
}

TEST(RepeatBudget, Take_WithRequests_AllowsRatioAndSlack) {
  for (int i = 0; i < 100; ++i) {
    this->budget.OnRequest(this->now, this->options);
  }
  CHECK_EQUAL(25, this->TakeAll());
}

// Failure: less important repeats use up what is kept for others.
TEST(RepeatBudget, Take_WithReservedShare_LeavesThatShare) {
  for (int i = 0; i < 100; ++i) {
    this->budget.OnRequest(this->now, this->options);
  }
  size_t taken = 0;
  while (this->budget.Take(this->now, this->options, 0.5)) {
    ++taken;
  }
  CHECK_EQUAL(12, taken);
  CHECK_EQUAL(13, this->TakeAll());
}

TEST(RepeatBudget, Take_AfterWindow_AllowsSlackAgain) {
  this->TakeAll();
  this->now += 11s;
  CHECK_EQUAL(5, this->TakeAll());
}

// Failure: all upstreams of a service fail for a long time, every request could
// be repeated, and some window of ten seconds, wherever it begins, has more
// repeats than the limit.
TEST(RepeatBudget, Take_AllFailForLong_LimitHoldsInEveryWindow) {
  std::vector<TimePoint> requests;
  std::vector<TimePoint> repeats;
  for (int i = 0; i < 4000; ++i) {
    this->now += 10ms;
    requests.push_back(this->now);
    this->budget.OnRequest(this->now, this->options);
    if (this->budget.Take(this->now, this->options)) {
      repeats.push_back(this->now);
    }
  }
  for (const TimePoint begin : repeats) {
    const auto within = [&](const std::vector<TimePoint>& times) {
      size_t count = 0;
      for (const TimePoint time : times) {
        count += time >= begin && time < begin + 10s ? 1 : 0;
      }
      return static_cast<double>(count);
    };
    // A window has at most 1000 requests; those of the window before it count
    // if they are more.
    CHECK(within(repeats) <= 0.2 * 1000 + 5);
  }
}

TEST_GROUP(SplitChooser) {
  RuleRow rule;

  void setup() override {
    this->rule.handle = {3, 0};
    this->rule.split = {{{0, 0}, 90}, {{1, 0}, 10}};
  }
};

// Failure: fourteen VMs with few requests each all start with the same part of
// the split, so the shares over all VMs are wrong.
TEST(SplitChooser, Choose_ManyVmsWithFewRequests_SharesHold) {
  size_t second = 0;
  for (uint64_t vm = 0; vm < 14; ++vm) {
    SplitChooser chooser(vm);
    for (int i = 0; i < 25; ++i) {
      second += chooser.Choose(this->rule).index == 1 ? 1 : 0;
    }
  }
  CHECK(second >= 25);
  CHECK(second <= 45);
}

TEST(SplitChooser, Choose_OneVm_OffByAFewAtMost) {
  SplitChooser chooser(1);
  size_t second = 0;
  for (int i = 0; i < 1000; ++i) {
    second += chooser.Choose(this->rule).index == 1 ? 1 : 0;
  }
  CHECK(second >= 97);
  CHECK(second <= 103);
}

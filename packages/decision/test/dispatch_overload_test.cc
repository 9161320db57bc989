// Tests of the queue under overload, with requests whose latency target is far
// below their deadline.

#include <algorithm>
#include <vector>

#include "decision_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::AttemptEnd;
using basilsill::DispatcherOptions;
using basilsill::DispatchHarness;
using basilsill::DispatchRequest;
using basilsill::Duration;
using basilsill::ShortMillis;
using basilsill::TimePoint;

namespace {

constexpr Duration kRequestDuration = 160ms;
constexpr ShortMillis kLatencyTarget{400};
constexpr Duration kDeadline = 1200ms;

DispatcherOptions Options() {
  DispatcherOptions options;
  options.features.send_ahead = false;
  options.features.hedge = false;
  return options;
}

}  // namespace

TEST_GROUP(DispatchOverload) {
  DispatchHarness harness{Options()};
  std::vector<TimePoint> offered_at;
  size_t within_target = 0;
  size_t late = 0;

  void setup() override {
    for (int i = 0; i < 4; ++i) {
      this->harness.fixture.AddUpstream(0, 2);
    }
    this->harness.Apply();
  }

  void Offer(bool with_target) {
    DispatchRequest request = this->harness.Request();
    request.deadline = this->harness.now + kDeadline;
    request.good_for = with_target ? kLatencyTarget : ShortMillis(0);
    this->harness.Offer(request);
    this->offered_at.push_back(this->harness.now);
    this->started_at.push_back(basilsill::kNever);
  }

  void Step() {
    this->harness.Advance(1ms);
    const auto running = this->harness.running;
    for (const auto& run : running) {
      TimePoint& started = this->started_at.at(run.cookie - 1);
      started = std::min(started, this->harness.now);
      if (this->harness.now - started < kRequestDuration) {
        continue;
      }
      this->harness.End(run.cookie, AttemptEnd::kAnswered);
      const Duration took =
          this->harness.now - this->offered_at.at(run.cookie - 1);
      ++(took <= kLatencyTarget ? this->within_target : this->late);
    }
  }

  void Run(double per_second, Duration length, bool with_target) {
    const Duration gap(static_cast<int64_t>(1e9 / per_second));
    const TimePoint end = this->harness.now + length;
    for (TimePoint next = this->harness.now; this->harness.now < end;) {
      if (this->harness.now >= next) {
        this->Offer(with_target);
        next += gap;
      }
      this->Step();
    }
  }

  std::vector<TimePoint> started_at;
};

// Requests arrive at twice the rate that eight slots can serve, for five
// seconds. Served in order of arrival, the queue grows as long as the deadline
// allows, and nearly every answer misses the target.
TEST(DispatchOverload, Queue_WithoutLatencyTarget_NearlyAllLate) {
  this->Run(100, 5s, false);
  CHECK(this->within_target * 3 < this->late);
}

// With the same load, requests that can still meet their target go first, so
// that most of the upstreams' work is useful.
TEST(DispatchOverload, Queue_WithLatencyTarget_MostAnswersInTime) {
  this->Run(100, 5s, true);
  CHECK(this->within_target > 4 * this->late);
  CHECK(this->within_target > 200);
}

// Requests that were moved back are served after the overload, not dropped.
TEST(DispatchOverload, Queue_OverloadEnds_LateOnesAreServed) {
  this->Run(100, 500ms, true);
  const size_t refused = this->harness.refused.size();
  for (int i = 0; i < 2000; ++i) {
    this->Step();
  }
  CHECK(this->late > 0);
  CHECK_EQUAL(this->offered_at.size(),
              this->within_target + this->late + this->harness.refused.size());
  CHECK(this->harness.refused.size() - refused <= this->late);
}

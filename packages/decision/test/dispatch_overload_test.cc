// Tests of a queue under more load than the upstreams can do, with requests
// whose answers are worth most within an aim that is far below their deadline.

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

constexpr Duration kWork = 160ms;
constexpr ShortMillis kAim{400};
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
  size_t in_aim = 0;
  size_t late = 0;

  void setup() override {
    for (int i = 0; i < 4; ++i) {
      this->harness.fixture.AddUpstream(0, 2);
    }
    this->harness.Apply();
  }

  void Offer(bool with_aim) {
    DispatchRequest request = this->harness.Request();
    request.deadline = this->harness.now + kDeadline;
    request.good_for = with_aim ? kAim : ShortMillis(0);
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
      if (this->harness.now - started < kWork) {
        continue;
      }
      this->harness.End(run.cookie, AttemptEnd::kAnswered);
      const Duration took =
          this->harness.now - this->offered_at.at(run.cookie - 1);
      ++(took <= kAim ? this->in_aim : this->late);
    }
  }

  void Run(double per_second, Duration length, bool with_aim) {
    const Duration gap(static_cast<int64_t>(1e9 / per_second));
    const TimePoint end = this->harness.now + length;
    for (TimePoint next = this->harness.now; this->harness.now < end;) {
      if (this->harness.now >= next) {
        this->Offer(with_aim);
        next += gap;
      }
      this->Step();
    }
  }

  std::vector<TimePoint> started_at;
};

// Callers come at twice the rate that eight slots can do, for five seconds.
// In order of arrival the queue soon is as long as the deadline allows, and
// nearly every answer comes after the aim.
TEST(DispatchOverload, Queue_WithoutAims_NearlyAllLate) {
  this->Run(100, 5s, false);
  CHECK(this->in_aim * 3 < this->late);
}

// The same, but those that can still be answered in good time go first: most
// of what the upstreams can do is of use.
TEST(DispatchOverload, Queue_WithAims_MostAnswersInGoodTime) {
  this->Run(100, 5s, true);
  CHECK(this->in_aim > 4 * this->late);
  CHECK(this->in_aim > 200);
}

// What has been passed is served once the rush is over, not dropped.
TEST(DispatchOverload, Queue_RushOver_LateOnesAreServed) {
  this->Run(100, 500ms, true);
  const size_t refused = this->harness.refused.size();
  for (int i = 0; i < 2000; ++i) {
    this->Step();
  }
  CHECK(this->late > 0);
  CHECK_EQUAL(this->offered_at.size(),
              this->in_aim + this->late + this->harness.refused.size());
  CHECK(this->harness.refused.size() - refused <= this->late);
}

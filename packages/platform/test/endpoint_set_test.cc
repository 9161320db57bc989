// Tests of the choice of endpoints and of their back-off, in virtual time.

#include "basilsill/platform/endpoint_set.h"

#include <CppUTest/TestHarness.h>

using basilsill::BackoffSettings;
using basilsill::EndpointSet;
using basilsill::TimePoint;
using std::chrono::milliseconds;

namespace {

constexpr uint64_t kSeed = 7;
constexpr BackoffSettings kBackoff{milliseconds(100), milliseconds(800)};

}  // namespace

TEST_GROUP(EndpointSet) {
  EndpointSet set{{{"127.0.0.1", 1}, {"127.0.0.1", 2}}, kBackoff, kSeed};
  TimePoint now{std::chrono::hours(1)};
  std::vector<bool> none_tried = std::vector<bool>(2, false);

  size_t Choose() {
    return set.Choose(now, none_tried).value();
  }

  /// Lets `position` fail and advances `now` to the end of its back-off. The
  /// other endpoint stays unavailable.
  /// @returns the back-off.
  milliseconds BackoffAfterFailure(size_t position) {
    set.ReportFailure(position, now);
    set.ReportFailure(1 - position, now + std::chrono::hours(1));
    const auto backoff = set.NextAvailableAt(now) - now;
    now = set.NextAvailableAt(now);
    return std::chrono::duration_cast<milliseconds>(backoff);
  }
};

TEST(EndpointSet, Choose_FirstFailed_SecondUntilBackoffEnds) {
  CHECK_EQUAL(0U, Choose());
  set.ReportFailure(0, now);
  CHECK_EQUAL(1U, Choose());
  now += kBackoff.min;
  CHECK_EQUAL(0U, Choose());
}

TEST(EndpointSet, Choose_SecondAnswered_PrefersSecond) {
  set.ReportFailure(0, now);
  set.ReportAnswer(1);
  now += kBackoff.max;
  CHECK_EQUAL(1U, Choose());
}

TEST(EndpointSet, Choose_AllTriedOrBackingOff_None) {
  set.ReportFailure(0, now);
  CHECK_FALSE(set.Choose(now, {false, true}).has_value());
  CHECK(set.NextAvailableAt(now) == now);
  set.ReportFailure(1, now);
  CHECK(set.NextAvailableAt(now) > now);
}

// Failure: while the platform is down, VMs call it again too often, wait longer
// than the maximum back-off, or all retry at the same moment.
TEST(EndpointSet, ReportFailure_Repeatedly_BackoffDoublesUpToMaximum) {
  milliseconds most = kBackoff.min;
  for (int i = 0; i < 10; ++i) {
    const milliseconds backoff = BackoffAfterFailure(0);
    CHECK(backoff >= most / 2);
    CHECK(backoff <= most);
    most = std::min(most * 2, kBackoff.max);
  }
}

TEST(EndpointSet, ReportFailure_OtherSeed_OtherBackoff) {
  EndpointSet other{{{"127.0.0.1", 1}}, kBackoff, kSeed + 1};
  other.ReportFailure(0, now);
  set.ReportFailure(0, now);
  set.ReportFailure(1, now + std::chrono::hours(1));
  CHECK(other.NextAvailableAt(now) != set.NextAvailableAt(now));
}

TEST(EndpointSet, ReportAnswer_AfterFailures_ResetsBackoff) {
  BackoffAfterFailure(0);
  BackoffAfterFailure(0);
  set.ReportAnswer(0);
  CHECK(BackoffAfterFailure(0) <= kBackoff.min);
}

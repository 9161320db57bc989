// Random histories of VMs that follow a topic of the store: no VM in touch
// lacks a record for longer than the bound, whatever fails.

#include "staleness_simulation.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::test::PlayStaleness;
using basilsill::test::StalenessOptions;
using basilsill::test::StalenessReport;

namespace {

constexpr uint64_t kHistories = 500;
constexpr size_t kLargeFleet = 116;

void CheckHistory(const StalenessOptions& options) {
  const StalenessReport report = PlayStaleness(options);
  STRCMP_EQUAL("", report.first_late.c_str());
  CHECK_EQUAL(0, report.late);
  CHECK_EQUAL(0, report.lost_offsets);
}

}  // namespace

TEST_GROUP(StalenessHistory) {
  StalenessOptions options;
};

// Failure: connections to the store or links between VMs go silent, calls get
// no answer, VMs freeze, and the waits of one VM after each other add up to
// more than the bound.
TEST(StalenessHistory, Configuration_TwoFaults_KnownWithinBound) {
  for (uint64_t seed = 0; seed < kHistories; ++seed) {
    this->options.seed = seed;
    CheckHistory(this->options);
  }
}

TEST(StalenessHistory, Configuration_FourFaults_KnownWithinBound) {
  this->options.faults = 4;
  for (uint64_t seed = 0; seed < kHistories; ++seed) {
    this->options.seed = seed;
    CheckHistory(this->options);
  }
}

TEST(StalenessHistory, BulkTopic_TwoFaults_KnownWithinBound) {
  this->options.is_bulk = true;
  for (uint64_t seed = 0; seed < kHistories; ++seed) {
    this->options.seed = seed;
    CheckHistory(this->options);
  }
}

TEST(StalenessHistory, Configuration_LargeFleet_KnownWithinBound) {
  this->options.vms = kLargeFleet;
  this->options.bound = 2500ms;
  for (uint64_t seed = 0; seed < kHistories / 10; ++seed) {
    this->options.seed = seed;
    CheckHistory(this->options);
  }
}

// Failure: the store is restored, and VMs read on from offsets of the log
// before it, miss what was written since, or wait for each other.
TEST(StalenessHistory, Configuration_StoreRestored_KnownWithinBound) {
  for (uint64_t seed = 0; seed < kHistories; ++seed) {
    this->options.seed = seed;
    this->options.restores.count = 1 + seed % 2;
    CheckHistory(this->options);
  }
}

TEST(StalenessHistory, BulkTopic_StoreRestored_KnownWithinBound) {
  this->options.is_bulk = true;
  for (uint64_t seed = 0; seed < kHistories; ++seed) {
    this->options.seed = seed;
    this->options.restores.count = 1 + seed % 2;
    CheckHistory(this->options);
  }
}

// Failure: after a restore every VM of a large fleet lists the topic.
TEST(StalenessHistory, LargeFleet_StoreRestored_FewListings) {
  this->options.vms = kLargeFleet;
  this->options.bound = 2500ms;
  this->options.faults = 0;
  this->options.restores.count = 1;
  for (uint64_t seed = 0; seed < kHistories / 10; ++seed) {
    this->options.seed = seed;
    const StalenessReport report = PlayStaleness(this->options);
    STRCMP_EQUAL("", report.first_late.c_str());
    CHECK(report.listings <= kLargeFleet / 10);
  }
}

// Tests of the drain state of data centres.

#include "basilsill/decision/data_centre_drains.h"

#include <string>
#include <vector>

#include <pcg_random.hpp>

#include "basilsill/base/limits.h"

#include <CppUTest/TestHarness.h>

using basilsill::DataCentreDrains;
using basilsill::LogPosition;

TEST_GROUP(DataCentreDrains) {
  DataCentreDrains drains;

  bool IsDrained(const std::string& name) const {
    return this->drains.drained().contains(name);
  }
};

TEST(DataCentreDrains, Record_OfTwoDataCentres_DrainsBoth) {
  CHECK(this->drains.OnRecord(LogPosition(4), "lyulin", true));
  CHECK(this->drains.OnRecord(LogPosition(7), "druzhba", true));
  CHECK(this->IsDrained("lyulin"));
  CHECK(this->IsDrained("druzhba"));
  CHECK(this->drains.OnRecord(LogPosition(9), "lyulin", false));
  CHECK_FALSE(this->IsDrained("lyulin"));
  CHECK(this->IsDrained("druzhba"));
}

// Failure: a drain is ended and started again within a second, and the records
// arrive over two paths in another order. The record with the highest offset
// must count.
TEST(DataCentreDrains, Record_DrainEndedAndRestarted_HighestOffsetCounts) {
  this->drains.OnRecord(LogPosition(4), "lyulin", true);
  this->drains.OnRecord(LogPosition(6), "lyulin", true);
  CHECK_FALSE(this->drains.OnRecord(LogPosition(5), "lyulin", false));
  CHECK(this->IsDrained("lyulin"));
}

// Failure: after the drain has ended, another VM sends the older record that
// had started it. If it were applied, the data centre would be drained again
// and get no work.
TEST(DataCentreDrains, Record_OlderThanEndOfDrain_ChangesNothing) {
  this->drains.OnRecord(LogPosition(4), "lyulin", true);
  this->drains.OnRecord(LogPosition(5), "lyulin", false);
  CHECK_FALSE(this->drains.OnRecord(LogPosition(4), "lyulin", true));
  CHECK_FALSE(this->IsDrained("lyulin"));
}

// Failure: the store drops its history, including the record that ended a
// drain, before this VM reads it. Only a complete listing shows that the drain
// has ended.
TEST(DataCentreDrains, Listing_WithoutRecord_EndsDrain) {
  this->drains.OnRecord(LogPosition(4), "lyulin", true);
  this->drains.OnRecord(LogPosition(5), "druzhba", true);
  this->drains.BeginListing();
  this->drains.OnRecord(LogPosition(5), "druzhba", true);
  this->drains.EndListing();
  CHECK_FALSE(this->IsDrained("lyulin"));
  CHECK(this->IsDrained("druzhba"));
  CHECK_FALSE(this->drains.OnRecord(LogPosition(4), "lyulin", true));
  CHECK(this->drains.OnRecord(LogPosition(8), "lyulin", true));
}

// Failure: a call for a page fails, and the listing restarts from its
// beginning. Only the completed listing may change the drains.
TEST(DataCentreDrains, Listing_Restarted_OnlyCompleteListingCounts) {
  this->drains.OnRecord(LogPosition(4), "lyulin", true);
  this->drains.BeginListing();
  CHECK(this->IsDrained("lyulin"));
  this->drains.BeginListing();
  this->drains.OnRecord(LogPosition(4), "lyulin", true);
  this->drains.EndListing();
  CHECK(this->IsDrained("lyulin"));
}

// Failure: another VM sends the whole topic to a starting VM while its own
// listing is in flight. The answer of that listing contains a later record and
// ends the listing a second time; if that ended a drain, work would go to a
// drained data centre.
TEST(DataCentreDrains, Listing_EndedTwice_KeepsLaterRecord) {
  this->drains.BeginListing();
  this->drains.BeginListing();
  this->drains.OnRecord(LogPosition(4), "lyulin", true);
  this->drains.EndListing();
  this->drains.OnRecord(LogPosition(4), "lyulin", true);
  this->drains.OnRecord(LogPosition(9), "druzhba", true);
  this->drains.EndListing();
  CHECK(this->IsDrained("lyulin"));
  CHECK(this->IsDrained("druzhba"));
}

TEST(DataCentreDrains, Version_RecordRepeatsKnownState_Unchanged) {
  this->drains.OnRecord(LogPosition(4), "lyulin", true);
  const uint64_t version = this->drains.version();
  this->drains.OnRecord(LogPosition(4), "lyulin", true);
  this->drains.OnRecord(LogPosition(6), "lyulin", true);
  this->drains.OnRecord(LogPosition(3), "druzhba", false);
  CHECK_EQUAL(version, this->drains.version());
}

// The names come from keys that another writer sets, so their number is
// unbounded.
TEST(DataCentreDrains, Record_MoreNamesThanCapacity_KeepsDrainedOnes) {
  this->drains.OnRecord(LogPosition(1), "lyulin", true);
  for (uint64_t i = 0; i < 10 * basilsill::limits::kMaxDataCentres; ++i) {
    this->drains.OnRecord(LogPosition(2 + i), "dc-" + std::to_string(i),
                          i % 2 == 0);
  }
  CHECK(this->IsDrained("lyulin"));
  CHECK(this->drains.drained().size() <= basilsill::limits::kMaxDataCentres);
}

// Records arrive in any order and any number of times. Once the last one has
// arrived, the state must be that of the last record in the store.
TEST(DataCentreDrains, RandomHistory_AllRecordsSeen_MatchesStore) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    pcg32 random(seed);
    DataCentreDrains receiver;
    bool last = false;
    const uint64_t end = 1 + random(12);
    std::vector<bool> written;
    for (uint64_t offset = 0; offset < end; ++offset) {
      last = random(2) == 0;
      written.push_back(last);
    }
    for (int i = 0; i < 100; ++i) {
      const uint64_t offset = random(static_cast<uint32_t>(end));
      receiver.OnRecord(LogPosition(offset), "lyulin", written[offset]);
    }
    receiver.OnRecord(LogPosition(end - 1), "lyulin", last);
    CHECK_EQUAL_TEXT(last, receiver.drained().contains("lyulin"),
                     std::to_string(seed).c_str());
  }
}

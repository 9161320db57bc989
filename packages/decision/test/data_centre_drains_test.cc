// Tests of which data centres the operator drains.

#include "basilsill/decision/data_centre_drains.h"

#include <string>
#include <vector>

#include <pcg_random.hpp>

#include "basilsill/base/limits.h"

#include <CppUTest/TestHarness.h>

using basilsill::DataCentreDrains;

TEST_GROUP(DataCentreDrains) {
  DataCentreDrains drains;

  bool IsDrained(const std::string& name) const {
    return this->drains.drained().contains(name);
  }
};

TEST(DataCentreDrains, Record_OfTwoDataCentres_BothDrained) {
  CHECK(this->drains.OnRecord(4, "lyulin", true));
  CHECK(this->drains.OnRecord(7, "druzhba", true));
  CHECK(this->IsDrained("lyulin"));
  CHECK(this->IsDrained("druzhba"));
  CHECK(this->drains.OnRecord(9, "lyulin", false));
  CHECK_FALSE(this->IsDrained("lyulin"));
  CHECK(this->IsDrained("druzhba"));
}

// A data centre is taken back and drained again within a second, and its
// records arrive by two ways, in another order. The last one written counts.
TEST(DataCentreDrains, Record_TakenBackAndDrainedAgain_LastWordCounts) {
  this->drains.OnRecord(4, "lyulin", true);
  this->drains.OnRecord(6, "lyulin", true);
  CHECK_FALSE(this->drains.OnRecord(5, "lyulin", false));
  CHECK(this->IsDrained("lyulin"));
}

// A VM tells the record that had drained a data centre to one that has heard of
// the taking back already. Taken, it would keep work away for good.
TEST(DataCentreDrains, Record_OlderThanTheTakingBack_ChangesNothing) {
  this->drains.OnRecord(4, "lyulin", true);
  this->drains.OnRecord(5, "lyulin", false);
  CHECK_FALSE(this->drains.OnRecord(4, "lyulin", true));
  CHECK_FALSE(this->IsDrained("lyulin"));
}

// The store drops its history while nobody reads, and with it the record that
// took a data centre back. Only a whole list shows that it is gone.
TEST(DataCentreDrains, Listing_WithoutTheRecord_TakenBack) {
  this->drains.OnRecord(4, "lyulin", true);
  this->drains.OnRecord(5, "druzhba", true);
  this->drains.BeginListing();
  this->drains.OnRecord(5, "druzhba", true);
  this->drains.EndListing();
  CHECK_FALSE(this->IsDrained("lyulin"));
  CHECK(this->IsDrained("druzhba"));
  CHECK_FALSE(this->drains.OnRecord(4, "lyulin", true));
  CHECK(this->drains.OnRecord(8, "lyulin", true));
}

// A call for a page of the list fails, and the list is read from its start.
TEST(DataCentreDrains, Listing_BegunAnew_OnlyTheWholeOneCounts) {
  this->drains.OnRecord(4, "lyulin", true);
  this->drains.BeginListing();
  CHECK(this->IsDrained("lyulin"));
  this->drains.BeginListing();
  this->drains.OnRecord(4, "lyulin", true);
  this->drains.EndListing();
  CHECK(this->IsDrained("lyulin"));
}

// A VM that starts lists the topic, and is told it whole by another VM before
// its own list comes. That list has a record more, and ends a listing that has
// ended already: taken back then, work would go to a drained data centre.
TEST(DataCentreDrains, Listing_EndedTwice_LaterRecordStays) {
  this->drains.BeginListing();
  this->drains.BeginListing();
  this->drains.OnRecord(4, "lyulin", true);
  this->drains.EndListing();
  this->drains.OnRecord(4, "lyulin", true);
  this->drains.OnRecord(9, "druzhba", true);
  this->drains.EndListing();
  CHECK(this->IsDrained("lyulin"));
  CHECK(this->IsDrained("druzhba"));
}

TEST(DataCentreDrains, Version_SaysWhatIsKnown_Unchanged) {
  this->drains.OnRecord(4, "lyulin", true);
  const uint64_t version = this->drains.version();
  this->drains.OnRecord(4, "lyulin", true);
  this->drains.OnRecord(6, "lyulin", true);
  this->drains.OnRecord(3, "druzhba", false);
  CHECK_EQUAL(version, this->drains.version());
}

// Names come from another writer's keys, which nobody bounds.
TEST(DataCentreDrains, Record_MoreNamesThanFit_DrainedOnesAreKept) {
  this->drains.OnRecord(1, "lyulin", true);
  for (uint64_t i = 0; i < 10 * basilsill::limits::kMaxDataCentres; ++i) {
    this->drains.OnRecord(2 + i, "dc-" + std::to_string(i), i % 2 == 0);
  }
  CHECK(this->IsDrained("lyulin"));
  CHECK(this->drains.drained().size() <= basilsill::limits::kMaxDataCentres);
}

// Whatever order records come in, and however often: once all of them have
// come, what stands last in the store is what is believed.
TEST(DataCentreDrains, RandomHistory_AllRecordsSeen_EndsAsTheStoreHasIt) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    pcg32 random(seed);
    DataCentreDrains told;
    bool last = false;
    const uint64_t end = 1 + random(12);
    std::vector<bool> written;
    for (uint64_t offset = 0; offset < end; ++offset) {
      last = random(2) == 0;
      written.push_back(last);
    }
    for (int i = 0; i < 100; ++i) {
      const uint64_t offset = random(static_cast<uint32_t>(end));
      told.OnRecord(offset, "lyulin", written[offset]);
    }
    told.OnRecord(end - 1, "lyulin", last);
    CHECK_EQUAL_TEXT(last, told.drained().contains("lyulin"),
                     std::to_string(seed).c_str());
  }
}

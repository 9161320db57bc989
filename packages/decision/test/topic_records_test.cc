// Tests of what a VM keeps of a topic for other VMs.

#include "basilsill/decision/topic_records.h"

#include <CppUTest/TestHarness.h>

using basilsill::KeyedRecord;
using basilsill::TopicRecords;

TEST_GROUP(TopicRecords) {
  TopicRecords records;

  static KeyedRecord Record(const std::string& key, uint64_t offset,
                            bool removed = false) {
    return {key, removed ? "" : "v" + std::to_string(offset), offset, removed};
  }
};

TEST(TopicRecords, Keep_OlderThanKnown_ChangesNothing) {
  this->records.Keep(Record("a", 5));
  CHECK_FALSE(this->records.IsNewer(Record("a", 4)));
  this->records.Keep(Record("a", 4));
  CHECK_EQUAL(5, this->records.From(0).at(0).offset);
  this->records.Keep(Record("a", 6, true));
  CHECK(this->records.From(0).empty());
}

// Configurations come in quick succession, each the whole of it. Only the last
// one counts, and each one told goes to every VM.
TEST(TopicRecords, Untold_KeyChangedOften_OnlyItsLastIsTold) {
  for (uint64_t offset = 0; offset < 10; ++offset) {
    this->records.AddRecent(Record("config", offset));
  }
  this->records.AddRecent(Record("other", 10));
  const auto untold = this->records.RecentFrom(0);
  CHECK_EQUAL(2, untold.size());
  CHECK_EQUAL(9, untold[0].offset);
}

// The store drops its history, and with it the record that took a key away.
// Told to a VM that starts, the key's last record would be served by there.
TEST(TopicRecords, Listing_WithoutAKey_NotToldToThoseThatStart) {
  this->records.Keep(Record("a", 5));
  this->records.Keep(Record("b", 6));
  this->records.BeginListing();
  this->records.OnListed("b");
  this->records.EndListing();
  const auto told = this->records.From(0);
  CHECK_EQUAL(1, told.size());
  STRCMP_EQUAL("b", told[0].key.c_str());
}

// A VM is told the topic whole while its own list is on its way, which has a
// record more and ends the listing a second time.
TEST(TopicRecords, Listing_EndedTwice_LaterRecordIsTold) {
  this->records.BeginListing();
  this->records.OnListed("a");
  this->records.Keep(Record("a", 5));
  this->records.EndListing();
  this->records.OnListed("b");
  this->records.Keep(Record("b", 6));
  this->records.EndListing();
  CHECK_EQUAL(2, this->records.From(0).size());
}

// A removal is the last word of its key like any other.
TEST(TopicRecords, Untold_ChangedThenRemoved_RemovalIsTold) {
  this->records.AddRecent(Record("a", 1));
  this->records.AddRecent(Record("a", 2, true));
  const auto untold = this->records.RecentFrom(0);
  CHECK_EQUAL(1, untold.size());
  CHECK(untold[0].removed);
}

// News can overtake one another; an older one must not take the place of the
// newer.
TEST(TopicRecords, Untold_OlderComesLate_NewerStays) {
  this->records.AddRecent(Record("a", 7));
  this->records.AddRecent(Record("a", 3));
  CHECK_EQUAL(1, this->records.RecentFrom(4).size());
  this->records.ForgetRecentBefore(8);
  CHECK(this->records.RecentFrom(0).empty());
}

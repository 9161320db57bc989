// Tests of the records of a topic that a VM keeps for other VMs.

#include "basilsill/decision/topic_records.h"

#include <CppUTest/TestHarness.h>

using basilsill::KeyedRecord;
using basilsill::LogPosition;
using basilsill::TopicRecords;

TEST_GROUP(TopicRecords) {
  TopicRecords records;

  static KeyedRecord Record(const std::string& key, uint64_t offset,
                            bool removed = false) {
    return {key, removed ? "" : "v" + std::to_string(offset),
            LogPosition(offset), removed};
  }
};

TEST(TopicRecords, Keep_OlderThanKnown_ChangesNothing) {
  this->records.Keep(Record("a", 5));
  CHECK_FALSE(this->records.IsNewer(Record("a", 4)));
  this->records.Keep(Record("a", 4));
  CHECK_EQUAL(5, this->records.From(LogPosition(0)).at(0).position.offset);
  this->records.Keep(Record("a", 6, true));
  CHECK(this->records.From(LogPosition(0)).empty());
}

// Failure: configurations arrive in quick succession, each a complete one, and
// all of them are sent to every VM although only the last counts.
TEST(TopicRecords, RecentFrom_KeyChangedOften_HasOnlyItsLast) {
  for (uint64_t offset = 0; offset < 10; ++offset) {
    this->records.AddRecent(Record("config", offset));
  }
  this->records.AddRecent(Record("other", 10));
  const auto recent = this->records.RecentFrom(LogPosition(0));
  CHECK_EQUAL(2, recent.size());
  CHECK_EQUAL(9, recent[0].position.offset);
}

// Failure: the store drops its history, including the record that removed a
// key. A starting VM that received the last record of the key would apply it,
// although the key no longer exists.
TEST(TopicRecords, Listing_WithoutKey_ErasesIt) {
  this->records.Keep(Record("a", 5));
  this->records.Keep(Record("b", 6));
  this->records.BeginListing();
  this->records.OnListed("b");
  this->records.EndListing();
  const auto kept = this->records.From(LogPosition(0));
  CHECK_EQUAL(1, kept.size());
  STRCMP_EQUAL("b", kept[0].key.c_str());
}

// Failure: another VM sends the whole topic while this VM's own listing is in
// flight. The answer of that listing contains a later record and ends the
// listing a second time, which must not remove records.
TEST(TopicRecords, Listing_EndedTwice_KeepsLaterRecord) {
  this->records.BeginListing();
  this->records.OnListed("a");
  this->records.Keep(Record("a", 5));
  this->records.EndListing();
  this->records.OnListed("b");
  this->records.Keep(Record("b", 6));
  this->records.EndListing();
  CHECK_EQUAL(2, this->records.From(LogPosition(0)).size());
}

// A removal counts as the last record of its key.
TEST(TopicRecords, RecentFrom_ChangedThenRemoved_HasRemoval) {
  this->records.AddRecent(Record("a", 1));
  this->records.AddRecent(Record("a", 2, true));
  const auto recent = this->records.RecentFrom(LogPosition(0));
  CHECK_EQUAL(1, recent.size());
  CHECK(recent[0].removed);
}

// Failure: updates arrive out of order, and an older record replaces a newer
// one of the same key.
TEST(TopicRecords, AddRecent_OlderArrivesLate_NewerIsKept) {
  this->records.AddRecent(Record("a", 7));
  this->records.AddRecent(Record("a", 3));
  CHECK_EQUAL(1, this->records.RecentFrom(LogPosition(4)).size());
  this->records.ForgetRecentBefore(LogPosition(8));
  CHECK(this->records.RecentFrom(LogPosition(0)).empty());
}

#ifndef BASILSILL_DECISION_TOPIC_RECORDS_H_
#define BASILSILL_DECISION_TOPIC_RECORDS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

/// The records of a topic of the platform's record store that a VM keeps for
/// other VMs: the newest record of each key for VMs that start, and recent
/// changes for VMs that follow the topic. Pure.

namespace basilsill {

struct KeyedRecord {
  std::string key;
  std::string value;
  uint64_t offset = 0;
  bool removed = false;  ///< The record removes the key.
};

class TopicRecords {
 public:
  /// @returns true if the record is newer than the one kept for its key.
  /// Records can arrive more than once.
  bool IsNewer(const KeyedRecord& record) const;

  /// Replaces the record kept for the key if `record` is newer.
  void Keep(const KeyedRecord& record);

  /// Mark the start and end of a complete listing. A key for which OnListed is
  /// not called between them is removed: the store no longer has the record of
  /// its removal.
  void BeginListing();
  void OnListed(const std::string& key);
  void EndListing();

  /// Adds a record that changed something and that other VMs may not have.
  void AddRecent(const KeyedRecord& record);

  /// Drops the recent records before offset `settled`; no VM needs them.
  void ForgetRecentBefore(uint64_t settled);

  /// @returns the offset from which on `RecentFrom` has all records that
  /// changed something.
  uint64_t recent_complete_since() const { return this->complete_from; }

  /// @returns the recent records from offset `start` on that are the last of
  /// their key.
  std::vector<KeyedRecord> RecentFrom(uint64_t start) const;

  /// @returns the newest record of each key whose offset is at least `start`,
  /// ordered by offset.
  std::vector<KeyedRecord> From(uint64_t start) const;

 private:
  std::map<std::string, KeyedRecord> newest;
  std::deque<KeyedRecord> recent;
  uint64_t complete_from = 0;  ///< See recent_complete_since().
  std::set<std::string> listed;
  bool listing = false;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_TOPIC_RECORDS_H_

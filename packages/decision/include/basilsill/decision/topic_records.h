#ifndef BASILSILL_DECISION_TOPIC_RECORDS_H_
#define BASILSILL_DECISION_TOPIC_RECORDS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "basilsill/base/log_position.h"

/// The records of a topic of the platform's record store that a VM keeps for
/// other VMs: the newest record of each key for VMs that start, and recent
/// changes for VMs that follow the topic. Pure.

namespace basilsill {

struct KeyedRecord {
  std::string key;
  std::string value;
  LogPosition position;
  bool removed = false;  ///< The record removes the key.
};

class TopicRecords {
 public:
  /// @returns true if the record is newer than the one kept for its key.
  /// Records can arrive more than once.
  bool IsNewer(const KeyedRecord& record) const;

  /// Replaces the record kept for the key if `record` is newer.
  void Keep(const KeyedRecord& record);

  /// Replaces the record kept for the key by `record`, which is newer by its
  /// contents, whatever its position.
  void Replace(const KeyedRecord& record);

  /// Mark the start and end of a complete listing. A key for which OnListed is
  /// not called between them is removed: the store no longer has the record of
  /// its removal.
  void BeginListing();
  void OnListed(const std::string& key);
  void EndListing();

  /// Ends a listing that is incomplete or of a copy; no key is removed.
  void CancelListing() { this->listing = false; }

  /// Adds a record that changed something and that other VMs may not have.
  void AddRecent(const KeyedRecord& record);

  /// Drops the recent records before `settled`; no VM needs them.
  void ForgetRecentBefore(LogPosition settled);

  /// @returns the position from which on `RecentFrom` has all records that
  /// changed something.
  LogPosition recent_complete_since() const { return this->complete_from; }

  /// @returns the recent records from `start` on that are the last of their
  /// key.
  std::vector<KeyedRecord> RecentFrom(LogPosition start) const;

  /// @returns the newest record of each key from `start` on, ordered by
  /// position.
  std::vector<KeyedRecord> From(LogPosition start) const;

  /// @returns the newest record of `key`; null if there is none.
  const KeyedRecord* Find(const std::string& key) const;

  /// @returns the number of keys whose newest record is of an era before `era`.
  size_t CountBefore(uint64_t era) const;

 private:
  std::map<std::string, KeyedRecord> newest;
  std::deque<KeyedRecord> recent;
  LogPosition complete_from;  ///< See recent_complete_since().
  std::set<std::string> listed;
  bool listing = false;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_TOPIC_RECORDS_H_

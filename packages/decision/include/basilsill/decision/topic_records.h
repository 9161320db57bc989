#ifndef BASILSILL_DECISION_TOPIC_RECORDS_H_
#define BASILSILL_DECISION_TOPIC_RECORDS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

/// What a VM keeps of a topic of a platform's record store for other VMs: the
/// newest record of each key for those that start, and what is new for those
/// that follow the topic. Pure.

namespace basilsill {

struct KeyedRecord {
  std::string key;
  std::string value;
  uint64_t offset = 0;
  bool removed = false;  ///< It takes the key away.
};

class TopicRecords {
 public:
  /// @returns false if the record is no newer than the one kept of its key:
  /// records are told more than once.
  bool IsNewer(const KeyedRecord& record) const;

  /// Keeps a newer record in the place of the one known of its key.
  void Keep(const KeyedRecord& record);

  /// The whole topic is being listed anew. A key that OnListed does not name
  /// between these two calls is gone: the record that took it away is lost.
  void BeginListing();
  void OnListed(const std::string& key);
  void EndListing();

  /// `record` said something new, and other VMs may not know it.
  void AddRecent(const KeyedRecord& record);

  /// Nobody will be told what stands before `settled`.
  void ForgetRecentBefore(uint64_t settled);

  /// @returns from which offset on `UntoldFrom` knows all that said something
  /// new.
  uint64_t recent_complete_since() const { return this->complete_from; }

  /// @returns what may not be known elsewhere, from offset `start` on: of each
  /// key the last record.
  std::vector<KeyedRecord> RecentFrom(uint64_t start) const;

  /// @returns the newest record of each key, of those at offset `start` or
  /// later, in the order of their offsets.
  std::vector<KeyedRecord> From(uint64_t start) const;

 private:
  std::map<std::string, KeyedRecord> newest;
  std::deque<KeyedRecord> recent;
  uint64_t complete_from =
      0;  ///< Nothing is missing in `recent` from there on.
  std::set<std::string> listed;
  bool listing = false;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_TOPIC_RECORDS_H_

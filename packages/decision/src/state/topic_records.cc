#include "basilsill/decision/topic_records.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace basilsill {
namespace {

// Number of recent records kept: more than arrive within the time in which an
// update reaches all VMs, also when all upstreams change at once.
constexpr size_t kMaxRecent = 4096;

}  // namespace

bool TopicRecords::IsNewer(const KeyedRecord& record) const {
  const auto known = this->newest.find(record.key);
  return known == this->newest.end() ||
         known->second.position < record.position;
}

void TopicRecords::Keep(const KeyedRecord& record) {
  if (this->IsNewer(record)) {
    this->Replace(record);
  }
}

void TopicRecords::Replace(const KeyedRecord& record) {
  if (record.removed) {
    this->newest.erase(record.key);
  } else {
    this->newest[record.key] = record;
  }
}

void TopicRecords::BeginListing() {
  this->listing = true;
  this->listed.clear();
}

void TopicRecords::OnListed(const std::string& key) {
  if (this->listing) {
    this->listed.insert(key);
  }
}

// Failure: the store drops its history, including the record that removed a
// key. This VM lists the topic and stops using the key, but keeps the last
// record of the key and sends it to every starting VM, which then uses a
// removed key. So a key that is missing from a listing is erased here too. A
// second EndListing, which happens if another VM sent the whole topic
// meanwhile, erases nothing.
void TopicRecords::EndListing() {
  if (!std::exchange(this->listing, false)) {
    return;
  }
  std::erase_if(this->newest, [this](const auto& record) {
    return !this->listed.contains(record.first);
  });
}

void TopicRecords::AddRecent(const KeyedRecord& record) {
  if (this->recent.size() == kMaxRecent) {
    this->complete_from =
        std::max(this->complete_from, this->recent.front().position + 1);
    this->recent.pop_front();
  }
  this->recent.push_back(record);
}

void TopicRecords::ForgetRecentBefore(LogPosition settled) {
  this->complete_from = std::max(this->complete_from, settled);
  std::erase_if(this->recent, [settled](const KeyedRecord& record) {
    return record.position < settled;
  });
}

// Failure: a key changes ten times between two updates, 15 KB each, and all ten
// records go to every VM although only the last one counts. The traffic between
// data centres rises tenfold while configurations change in quick succession.
std::vector<KeyedRecord> TopicRecords::RecentFrom(LogPosition start) const {
  std::map<std::string_view, LogPosition> last;
  for (const KeyedRecord& record : this->recent) {
    LogPosition& position = last[record.key];
    position = std::max(position, record.position);
  }
  std::vector<KeyedRecord> records;
  for (const KeyedRecord& record : this->recent) {
    if (record.position >= start && record.position == last.at(record.key)) {
      records.push_back(record);
    }
  }
  return records;
}

std::vector<KeyedRecord> TopicRecords::From(LogPosition start) const {
  std::vector<KeyedRecord> records;
  for (const auto& [key, record] : this->newest) {
    if (record.position >= start) {
      records.push_back(record);
    }
  }
  std::sort(records.begin(), records.end(),
            [](const KeyedRecord& a, const KeyedRecord& b) {
              return a.position < b.position;
            });
  return records;
}

const KeyedRecord* TopicRecords::Find(const std::string& key) const {
  const auto known = this->newest.find(key);
  return known == this->newest.end() ? nullptr : &known->second;
}

size_t TopicRecords::CountBefore(uint64_t era) const {
  return static_cast<size_t>(std::count_if(
      this->newest.begin(), this->newest.end(),
      [era](const auto& row) { return row.second.position.era < era; }));
}

}  // namespace basilsill

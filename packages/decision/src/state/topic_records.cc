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
  return known == this->newest.end() || known->second.offset < record.offset;
}

void TopicRecords::Keep(const KeyedRecord& record) {
  if (!this->IsNewer(record)) {
    return;
  }
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
        std::max(this->complete_from, this->recent.front().offset + 1);
    this->recent.pop_front();
  }
  this->recent.push_back(record);
}

void TopicRecords::ForgetRecentBefore(uint64_t settled) {
  this->complete_from = std::max(this->complete_from, settled);
  std::erase_if(this->recent, [settled](const KeyedRecord& record) {
    return record.offset < settled;
  });
}

// Failure: a key changes ten times between two updates, 15 KB each, and all ten
// records go to every VM although only the last one counts. The traffic between
// data centres rises tenfold while configurations change in quick succession.
std::vector<KeyedRecord> TopicRecords::RecentFrom(uint64_t start) const {
  std::map<std::string_view, uint64_t> last;
  for (const KeyedRecord& record : this->recent) {
    uint64_t& offset = last[record.key];
    offset = std::max(offset, record.offset);
  }
  std::vector<KeyedRecord> records;
  for (const KeyedRecord& record : this->recent) {
    if (record.offset >= start && record.offset == last.at(record.key)) {
      records.push_back(record);
    }
  }
  return records;
}

std::vector<KeyedRecord> TopicRecords::From(uint64_t start) const {
  std::vector<KeyedRecord> records;
  for (const auto& [key, record] : this->newest) {
    if (record.offset >= start) {
      records.push_back(record);
    }
  }
  std::sort(records.begin(), records.end(),
            [](const KeyedRecord& a, const KeyedRecord& b) {
              return a.offset < b.offset;
            });
  return records;
}

}  // namespace basilsill

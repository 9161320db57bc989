#include "basilsill/decision/group_append.h"

#include <map>
#include <string_view>
#include <utility>

#include "basilsill/base/limits.h"

namespace basilsill {
namespace {

// How long the first record of a group waits for more. The VMs of a starting
// fleet send their records within some hundred milliseconds, and a record is
// not needed before its VM serves requests.
constexpr Duration kGroupDelay = std::chrono::milliseconds(20);

// Far below the platform's limit for one call, but more than the records that
// wait when a large fleet starts and only few VMs append for the others.
constexpr size_t kMaxWaiting = 1024;

}  // namespace

bool GroupAppend::Add(TimePoint now, AppendRequest request) {
  if (this->waiting.size() >= kMaxWaiting) {
    return false;
  }
  if (this->waiting.empty()) {
    this->oldest_added_at = now;
  }
  this->waiting.push_back(std::move(request));
  return true;
}

TimePoint GroupAppend::due() const {
  return this->call_in_flight || this->waiting.empty()
             ? kNever
             : this->oldest_added_at + kGroupDelay;
}

std::vector<KeyedRecord> GroupAppend::Begin() {
  this->call_in_flight = true;
  this->in_flight = std::exchange(this->waiting, {});
  std::map<std::string_view, size_t> newest_by_key;
  for (size_t i = 0; i < this->in_flight.size(); ++i) {
    newest_by_key[this->in_flight[i].record.key] = i;
  }
  std::vector<KeyedRecord> records;
  records.reserve(newest_by_key.size());
  for (const auto& [key, index] : newest_by_key) {
    records.push_back(this->in_flight[index].record);
  }
  return records;
}

std::vector<AppendRequest> GroupAppend::End() {
  this->call_in_flight = false;
  return std::exchange(this->in_flight, {});
}

}  // namespace basilsill

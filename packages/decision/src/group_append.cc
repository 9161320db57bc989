#include "basilsill/decision/group_append.h"

#include <map>
#include <string_view>
#include <utility>

#include "basilsill/base/limits.h"

namespace basilsill {
namespace {

// The first record waits this long for others. VMs of a fleet that starts come
// within some hundred milliseconds; none of them needs to be known sooner than
// it serves.
constexpr Duration kGatherTime = std::chrono::milliseconds(20);

// Far below what the platform takes in a call; more than wait in a start of a
// large fleet with few that help.
constexpr size_t kMaxWaiting = 1024;

}  // namespace

bool GroupAppend::Add(TimePoint now, AppendRequest request) {
  if (this->waiting.size() >= kMaxWaiting) {
    return false;
  }
  if (this->waiting.empty()) {
    this->first_at = now;
  }
  this->waiting.push_back(std::move(request));
  return true;
}

TimePoint GroupAppend::due() const {
  return this->busy || this->waiting.empty() ? kNever
                                             : this->first_at + kGatherTime;
}

std::vector<KeyedRecord> GroupAppend::Begin() {
  this->busy = true;
  this->on_the_way = std::exchange(this->waiting, {});
  std::map<std::string_view, size_t> last;
  for (size_t i = 0; i < this->on_the_way.size(); ++i) {
    last[this->on_the_way[i].record.key] = i;
  }
  std::vector<KeyedRecord> records;
  records.reserve(last.size());
  for (const auto& [key, index] : last) {
    records.push_back(this->on_the_way[index].record);
  }
  return records;
}

std::vector<AppendRequest> GroupAppend::End() {
  this->busy = false;
  return std::exchange(this->on_the_way, {});
}

}  // namespace basilsill

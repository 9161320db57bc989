#include "unreachable_shards.h"

#include <algorithm>

namespace basilsill {
namespace {

// Pause before such a VM is asked again. It doubles up to the maximum.
constexpr Duration kMinPause = std::chrono::milliseconds(250);
constexpr Duration kMaxPause = std::chrono::seconds(1);

// Owners that have to refuse within this time for the shard to be down.
constexpr ptrdiff_t kRefusingOwners = 2;
constexpr Duration kDownTime = std::chrono::seconds(1);

constexpr Duration kForgetAfter = std::chrono::seconds(10);

}  // namespace

UnreachableShards::Mark* UnreachableShards::Find(VmHandle vm, ShardKey shard) {
  const auto found = this->marks.find(shard);
  if (found == this->marks.end()) {
    return nullptr;
  }
  const auto mark =
      std::find_if(found->second.begin(), found->second.end(),
                   [vm](const Mark& other) { return other.vm == vm; });
  return mark == found->second.end() ? nullptr : &*mark;
}

void UnreachableShards::OnRefused(TimePoint now, VmHandle vm, ShardKey shard) {
  Mark* mark = this->Find(vm, shard);
  if (mark == nullptr) {
    mark = &this->marks[shard].emplace_back(Mark{vm, now, now, Duration(0)});
  }
  mark->refused_at = now;
  mark->pause = std::clamp(2 * mark->pause, kMinPause, kMaxPause);
  mark->until = now + mark->pause;
}

void UnreachableShards::OnChosen(TimePoint now, VmHandle vm, ShardKey shard) {
  Mark* mark = this->Find(vm, shard);
  if (mark != nullptr) {
    mark->until = now + mark->pause;
  }
}

void UnreachableShards::OnReached(VmHandle vm, ShardKey shard) {
  const auto found = this->marks.find(shard);
  if (found == this->marks.end()) {
    return;
  }
  std::erase_if(found->second,
                [vm](const Mark& mark) { return mark.vm == vm; });
  if (found->second.empty()) {
    this->marks.erase(found);
  }
}

bool UnreachableShards::MayAsk(TimePoint now,
                               VmHandle vm,
                               ShardKey shard) const {
  const auto found = this->marks.find(shard);
  return found == this->marks.end() ||
         std::none_of(found->second.begin(), found->second.end(),
                      [&](const Mark& mark) {
                        return mark.vm == vm && mark.until > now;
                      });
}

bool UnreachableShards::IsDown(TimePoint now, ShardKey shard) const {
  const auto found = this->marks.find(shard);
  return found != this->marks.end() &&
         std::count_if(found->second.begin(), found->second.end(),
                       [now](const Mark& mark) {
                         return now < mark.refused_at + kDownTime;
                       }) >= kRefusingOwners;
}

void UnreachableShards::Tick(TimePoint now) {
  if (this->marks.empty()) {
    return;
  }
  boost::unordered::erase_if(this->marks, [now](auto& entry) {
    std::erase_if(entry.second, [now](const Mark& mark) {
      return mark.until + kForgetAfter < now;
    });
    return entry.second.empty();
  });
}

}  // namespace basilsill

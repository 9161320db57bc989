#include <algorithm>

#include "dispatcher_core.h"
#include "upstream_choice.h"

namespace basilsill {
namespace {

// Pause of the upstreams while the path is lost. A request that is let through
// after it finds out if the path is back and nobody has noticed.
constexpr Duration kLostPathPause = std::chrono::seconds(1);
constexpr uint8_t kLostPathFailures = 3;

void MarkUnreachable(TimePoint now, UpstreamSlots& upstream) {
  upstream.unreachable = true;
  upstream.failures = std::max(upstream.failures, kLostPathFailures);
  upstream.paused_until = std::max(upstream.paused_until, now + kLostPathPause);
}

void MarkReachable(TimePoint now, UpstreamSlots& upstream) {
  if (upstream.unreachable) {
    upstream.unreachable = false;
    upstream.failures = 0;
    upstream.paused_until = now;
  }
}

}  // namespace

void DispatcherCore::OnReach(TimePoint now,
                             DataCentreHandle data_centre,
                             bool reachable) {
  std::erase(this->unreachable, data_centre);
  if (!reachable) {
    this->unreachable.push_back(data_centre);
  }
  for (uint32_t row = 0; row < this->shards.size(); ++row) {
    ShardState& shard = this->shards.at(row);
    const ShardRow* in_view =
        shard.in_use ? this->shards.Locate(shard.key).shard : nullptr;
    if (in_view == nullptr || in_view->data_centre != data_centre) {
      continue;
    }
    if (!reachable) {
      this->ApplyReach(now, shard);
      const Verdict verdict = this->CheckUsable(now, shard);
      if (verdict.refusal != Refusal::kNone) {
        this->FlushWaiting(shard, verdict);
      }
      continue;
    }
    for (UpstreamSlots& upstream : shard.upstreams) {
      MarkReachable(now, upstream);
    }
    RecountSlots(now, shard);
    this->Pump(now, row);
  }
}

void DispatcherCore::ApplyReach(TimePoint now, ShardState& shard) {
  const ShardRow* in_view = this->shards.Locate(shard.key).shard;
  const bool is_lost =
      in_view != nullptr &&
      std::find(this->unreachable.begin(), this->unreachable.end(),
                in_view->data_centre) != this->unreachable.end();
  if (!is_lost) {
    return;
  }
  for (UpstreamSlots& upstream : shard.upstreams) {
    MarkUnreachable(now, upstream);
  }
  RecountSlots(now, shard);
}

bool DispatcherCore::ReachesShard(TimePoint now, ShardKey key) const {
  const uint32_t row = this->shards.Find(key);
  if (row == kNoRow) {
    return true;
  }
  bool is_unreachable = false;
  for (const UpstreamSlots& upstream : this->shards.at(row).upstreams) {
    const bool takes_work = TakesWork(now, upstream);
    if (takes_work && !upstream.unreachable) {
      return true;
    }
    is_unreachable |= takes_work;
  }
  return !is_unreachable;
}

}  // namespace basilsill

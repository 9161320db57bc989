#include "direct_path.h"

#include <algorithm>

namespace basilsill {
namespace {

constexpr Duration kFailurePause = std::chrono::milliseconds(100);
constexpr Duration kMaxPause = std::chrono::seconds(5);
constexpr Duration kDrainTime = std::chrono::minutes(2);
constexpr uint8_t kMaxFailures = 8;

}  // namespace

UpstreamHandle DirectPath::Choose(TimePoint now,
                                  const ServiceRow& service,
                                  DataCentreHandle near,
                                  UpstreamHandle avoid) {
  const UpstreamHandle chosen = this->Draw(now, service, near, true, avoid);
  return IsValid(chosen) ? chosen
                         : this->Draw(now, service, near, false, avoid);
}

// Reservoir sampling of two candidates, then the one with less in flight.
UpstreamHandle DirectPath::Draw(TimePoint now,
                                const ServiceRow& service,
                                DataCentreHandle near,
                                bool only_near,
                                UpstreamHandle avoid) {
  std::array<UpstreamHandle, 2> drawn;
  uint32_t seen = 0;
  for (const UpstreamRow& row : service.upstreams) {
    const bool wanted = !only_near || row.data_centre == near;
    if (!wanted || row.handle == avoid || !this->Takes(now, row)) {
      continue;
    }
    ++seen;
    const uint32_t place = seen <= 2 ? seen - 1 : this->random(seen);
    if (place < drawn.size()) {
      drawn[place] = row.handle;
    }
  }
  if (!IsValid(drawn[1])) {
    return drawn[0];
  }
  const bool first =
      this->StateOf(drawn[0]).in_flight <= this->StateOf(drawn[1]).in_flight;
  return first ? drawn[0] : drawn[1];
}

bool DirectPath::Takes(TimePoint now, const UpstreamRow& row) {
  return !row.leaving && !row.drained && row.slots > 0 &&
         this->StateOf(row.handle).paused_until <= now;
}

DirectPath::UpstreamState& DirectPath::StateOf(UpstreamHandle handle) {
  if (handle.index >= this->upstreams.size()) {
    this->upstreams.resize(handle.index + 1);
  }
  UpstreamState& state = this->upstreams[handle.index];
  if (state.handle != handle) {
    state = UpstreamState();
    state.handle = handle;
  }
  return state;
}

void DirectPath::Begin(UpstreamHandle upstream) {
  ++this->StateOf(upstream).in_flight;
}

void DirectPath::End(TimePoint now, UpstreamHandle upstream, Refusal refusal) {
  UpstreamState& state = this->StateOf(upstream);
  state.in_flight -= state.in_flight > 0 ? 1 : 0;
  const bool failed = refusal == Refusal::kUpstreamConnectFailed ||
                      refusal == Refusal::kUpstreamShed ||
                      refusal == Refusal::kUpstreamDied;
  if (!failed) {
    state.failures = 0;
    return;
  }
  const Duration pause = kFailurePause * (1 << state.failures);
  state.paused_until =
      std::max(state.paused_until, now + std::min(pause, kMaxPause));
  state.failures = std::min<uint8_t>(state.failures + 1, kMaxFailures);
}

void DirectPath::OnDrainSign(TimePoint now, UpstreamHandle upstream) {
  this->StateOf(upstream).paused_until = now + kDrainTime;
}

}  // namespace basilsill

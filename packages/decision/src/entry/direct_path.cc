#include "direct_path.h"

#include <algorithm>

namespace basilsill {
namespace {

constexpr Duration kFailurePause = std::chrono::milliseconds(100);
constexpr Duration kMaxPause = std::chrono::seconds(5);
constexpr uint8_t kMaxFailures = 8;

// How long an upstream that advertises a rate limit gets no requests on the
// direct path.
constexpr Duration kRateLimitPause = std::chrono::minutes(1);

// Requests per second to an upstream that may be cold.
constexpr uint32_t kColdShare = 1;

}  // namespace

UpstreamHandle DirectPath::Choose(TimePoint now,
                                  const ServiceRow& service,
                                  DataCentreHandle near,
                                  UpstreamHandle avoid) {
  const UpstreamHandle chosen = this->Draw(now, service, near, true, avoid);
  return IsValid(chosen) ? chosen
                         : this->Draw(now, service, near, false, avoid);
}

// Draws two candidates by reservoir sampling and takes the one with less in
// flight.
UpstreamHandle DirectPath::Draw(TimePoint now,
                                const ServiceRow& service,
                                DataCentreHandle near,
                                bool only_near,
                                UpstreamHandle avoid) {
  std::array<UpstreamHandle, 2> drawn;
  uint32_t candidates = 0;
  for (const UpstreamRow& row : service.upstreams) {
    const bool is_in_scope = !only_near || row.data_centre == near;
    if (!is_in_scope || row.handle == avoid ||
        !this->IsEligible(now, service, row)) {
      continue;
    }
    ++candidates;
    const uint32_t place =
        candidates <= 2 ? candidates - 1 : this->random(candidates);
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

// Any number of VMs may use the direct path at the same time, and none of them
// sends load queries. So if the service bounds requests to cold upstreams, an
// upstream known to be cold gets nothing, and any other gets only kColdShare.
// An upstream that advertises a rate limit gets nothing either: no part of the
// limit is safe if every VM uses it.
bool DirectPath::IsEligible(TimePoint now,
                            const ServiceRow& service,
                            const UpstreamRow& row) {
  UpstreamState& state = this->StateOf(row.handle);
  const bool is_bounded = service.cold.requests_per_second > 0;
  state.cold_quota.SetShare(is_bounded ? kColdShare : 0);
  return !row.leaving && !row.drained && row.slots > 0 &&
         state.paused_until <= now && state.rate_limited_until <= now &&
         !(is_bounded && row.cold) && state.cold_quota.MayStart(now, true) &&
         !this->WantsNoRequests(now, service, row);
}

bool DirectPath::WantsNoRequests(TimePoint now,
                                 const ServiceRow& service,
                                 const UpstreamRow& row) {
  if (this->notices->empty()) {
    return false;
  }
  UpstreamState& state = this->StateOf(row.handle);
  if (state.incarnation == 0) {
    state.incarnation = KeyOfIncarnation(service, row);
  }
  const NoticeTimes times = this->notices->Find(state.incarnation);
  return times.leaving_until > now || times.rest_until > now;
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

void DirectPath::Begin(TimePoint now, UpstreamHandle upstream) {
  UpstreamState& state = this->StateOf(upstream);
  ++state.in_flight;
  state.cold_quota.OnStart(now);
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

void DirectPath::OnRateLimit(TimePoint now,
                             UpstreamHandle upstream,
                             const AdvertisedRateLimit& advertised) {
  if (advertised.presence == RateLimitPresence::kNamed) {
    this->StateOf(upstream).rate_limited_until = now + kRateLimitPause;
  }
}

}  // namespace basilsill

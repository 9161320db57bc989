#include "cold_quota.h"

#include <algorithm>

namespace basilsill {
namespace {

// One second, and the time that opening a connection may take: without it,
// requests started within two different seconds could reach an upstream within
// one.
constexpr Duration kWindow = std::chrono::milliseconds(1200);

// VMs that may consider themselves the dispatcher of an upstream at the same
// time.
constexpr uint32_t kMaxDispatchers = ShardRow::kOwners;

// An upstream is queried when at most this many requests may still be sent, so
// that its answer arrives before the first request has to wait for it.
constexpr uint32_t kQueryThreshold = 1;

// An upstream that has not answered a load query after this time is busy,
// unreachable or gone, and may be queried again.
constexpr Duration kQueryTimeout = std::chrono::milliseconds(20);

}  // namespace

uint32_t ColdShareOf(const ColdStartLimits& cold_limits) {
  if (cold_limits.requests_per_second == 0) {
    return 0;
  }
  return std::max<uint32_t>(1,
                            cold_limits.requests_per_second / kMaxDispatchers);
}

void ColdQuota::BeginDispatch(TimePoint now) {
  this->starts.assign(this->share, now);
  this->oldest = 0;
}

void ColdQuota::OnColdTimeReported(TimePoint now, Duration cold_for) {
  this->reported_cold_until = now + cold_for;
  if (cold_for <= Duration(0)) {
    this->starts.clear();
    this->oldest = 0;
  }
}

void ColdQuota::OnStart(TimePoint now) {
  if (this->share == 0) {
    return;
  }
  if (this->starts.size() < this->share) {
    this->starts.push_back(now);
    return;
  }
  this->oldest %= this->starts.size();
  this->starts[this->oldest] = now;
  this->oldest = (this->oldest + 1) % this->starts.size();
}

uint32_t ColdQuota::CountLeft(TimePoint now) const {
  const auto counts =
      std::count_if(this->starts.begin(), this->starts.end(),
                    [now](TimePoint start) { return now - start < kWindow; });
  const auto used = static_cast<uint32_t>(counts);
  return used < this->share ? this->share - used : 0;
}

bool ColdQuota::MayStart(TimePoint now, bool reports_cold) const {
  if (this->share == 0 || (!reports_cold && now >= this->assumed_cold_until)) {
    return true;
  }
  return this->CountLeft(now) > 0;
}

bool ColdQuota::IsLoadQueryUseful(TimePoint now) const {
  return this->share > 0 && now >= this->reported_cold_until &&
         now - this->queried_at >= kQueryTimeout &&
         this->CountLeft(now) <= kQueryThreshold;
}

}  // namespace basilsill

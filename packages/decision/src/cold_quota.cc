#include "cold_quota.h"

#include <algorithm>

namespace basilsill {
namespace {

// A second, and as long as a connection may take to open: requests that were
// begun in two seconds may reach an upstream within one.
constexpr Duration kWindow = std::chrono::milliseconds(1200);

// VMs that may believe at one time that they dispatch for an upstream.
constexpr uint32_t kDispatchers = ShardRow::kOwners;

// It is asked while so many requests may still be sent, so that its answer
// comes before the first one has to wait for it.
constexpr uint32_t kAskFrom = 1;

// One that has not answered by now is busy, cut off or gone.
constexpr Duration kLoadQueryTimeout = std::chrono::milliseconds(20);

}  // namespace

uint32_t ColdShareOf(const ColdTerms& terms) {
  if (terms.requests_per_second == 0) {
    return 0;
  }
  return std::max<uint32_t>(1, terms.requests_per_second / kDispatchers);
}

void ColdQuota::BeginDispatch(TimePoint now) {
  this->starts.assign(this->share, now);
  this->oldest = 0;
}

void ColdQuota::OnColdTimeReported(TimePoint now, Duration cold_for) {
  this->told_cold_until = now + cold_for;
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

bool ColdQuota::MayStart(TimePoint now, bool is_told) const {
  if (this->share == 0 || (!is_told && now >= this->assumed_cold_until)) {
    return true;
  }
  return this->CountLeft(now) > 0;
}

bool ColdQuota::IsWorthAsking(TimePoint now) const {
  return this->share > 0 && now >= this->told_cold_until &&
         now - this->asked_at >= kLoadQueryTimeout &&
         this->CountLeft(now) <= kAskFrom;
}

}  // namespace basilsill

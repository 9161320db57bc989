#include "basilsill/decision/configuration_freshness.h"

#include <algorithm>

namespace basilsill {

void ConfigurationFreshness::OnRead(LeaseTime begun) {
  this->newest_at = std::max(this->newest_at, begun);
}

uint64_t ConfigurationFreshness::TakeStamp(LeaseTime now) {
  this->sent.at(this->next_sent) = {++this->stamp, now};
  this->next_sent = (this->next_sent + 1) % this->sent.size();
  return this->stamp;
}

void ConfigurationFreshness::OnVouch(LeaseTime now,
                                     const FreshnessVouch& vouch) {
  for (const Stamp& stamp : this->sent) {
    if (stamp.at != LeaseTime() && stamp.number == vouch.stamp) {
      // The other VM's clock may run faster than this one.
      const LeaseTime vouched_at = std::min(now, stamp.at + vouch.held);
      this->newest_at = std::max(this->newest_at, vouched_at - vouch.age);
    }
  }
}

void ConfigurationFreshness::OnStamp(LeaseTime now,
                                     VmHandle vm,
                                     uint64_t stamp) {
  this->received[vm.index] = {stamp, now};
}

std::optional<FreshnessVouch> ConfigurationFreshness::VouchFor(
    LeaseTime now,
    VmHandle vm) const {
  const auto found = this->received.find(vm.index);
  if (found == this->received.end() || this->newest_at == LeaseTime::min()) {
    return std::nullopt;
  }
  const Stamp& stamp = found->second;
  return FreshnessVouch{stamp.number, now - stamp.at, now - this->newest_at};
}

}  // namespace basilsill

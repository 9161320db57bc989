#include "basilsill/decision/quota.h"

#include <cmath>
#include <utility>

namespace basilsill {

void RecentCount::Add(LeaseTime now, double added) {
  this->count = this->At(now) + added;
  this->counted_at = now;
}

double RecentCount::At(LeaseTime now) const {
  const std::chrono::duration<double> passed = now - this->counted_at;
  const std::chrono::duration<double> span = kSpan;
  return this->count * std::exp(-passed / span);
}

void LenderChoice::SetCandidates(std::vector<VmHandle> vms) {
  if (vms != this->candidates) {
    this->candidates = std::move(vms);
    this->position = 0;
  }
}

VmHandle LenderChoice::current() const {
  return this->candidates.empty() ? VmHandle{}
                                  : this->candidates[this->position];
}

void LenderChoice::PassOver(VmHandle vm) {
  if (!this->candidates.empty() && vm == this->current()) {
    this->position = (this->position + 1) % this->candidates.size();
  }
}

}  // namespace basilsill

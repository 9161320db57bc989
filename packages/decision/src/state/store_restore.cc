#include "basilsill/decision/store_restore.h"

namespace basilsill {

EraResult StoreRestore::OnEra(LeaseTime now, uint64_t era) {
  if (this->is_known && era <= this->latest) {
    return era < this->latest ? EraResult::kOutdated : EraResult::kCurrent;
  }
  const bool is_later = this->is_known;
  this->is_known = true;
  this->latest = era;
  this->since = now;
  this->restored_at = LeaseTime::min();
  if (is_later || (this->has_failed && era > 0)) {
    this->restored_at = now;
  }
  return EraResult::kNew;
}

// Reports do not extend the time: otherwise two VMs that report the same
// restore to each other would extend it for ever.
void StoreRestore::OnRestoreReported(LeaseTime now) {
  if (this->restored_at == LeaseTime::min()) {
    this->restored_at = now;
  }
}

bool StoreRestore::IsRewritten(LeaseTime at) const {
  return this->restored_at == LeaseTime::min() ||
         at >= this->restored_at + kRewriteTime;
}

}  // namespace basilsill

#include "basilsill/decision/quota_lease.h"

#include <utility>

namespace basilsill {
namespace {

using std::chrono::milliseconds;

// Several renewals in a row may fail before the lease expires.
constexpr milliseconds kRenewInterval{1000};

// A later candidate waits this long for the first candidate to take the share.
constexpr milliseconds kTakeoverDelay{400};

// Calls of OnNeeded that are further apart do not count as one continuing need.
constexpr milliseconds kNeedGap{2000};

// The lease is not renewed if the share has not been needed for this long.
constexpr milliseconds kIdleAfter{30000};

constexpr milliseconds kRetryPause{200};

// Time that another VM waits beyond the term, in case the clocks of the two VMs
// run at different speeds.
constexpr milliseconds kClockMargin{200};

}  // namespace

QuotaLease::QuotaLease(std::string vm, uint64_t process)
    : self{std::move(vm), process} {}

void QuotaLease::OnNeeded(LeaseTime now, bool is_first) {
  if (this->needed_at == LeaseTime::min() || now - this->needed_at > kNeedGap) {
    this->needed_since = now;
  }
  this->needed_at = now;
  this->needed_first = is_first;
}

bool QuotaLease::IsWanted(LeaseTime now) const {
  if (this->given_up || this->needed_at == LeaseTime::min() ||
      now - this->needed_at >= kIdleAfter) {
    return false;
  }
  if (this->Holds(now) || this->needed_first) {
    return true;
  }
  return now - this->needed_at < kNeedGap &&
         this->needed_at - this->needed_since >= kTakeoverDelay;
}

bool QuotaLease::IsFree(LeaseTime now) const {
  if (!this->known_record || this->known_record->holder.empty() ||
      this->known_record->holder == this->self.holder) {
    return true;
  }
  return now - this->unchanged_since >= kTerm + kClockMargin;
}

QuotaLeaseCall QuotaLease::Begin(LeaseTime now, QuotaLeaseCall call) {
  this->call_in_flight = call;
  this->call_begun = now;
  return call;
}

QuotaLeaseCall QuotaLease::NextCall(LeaseTime now) {
  if (this->call_in_flight != QuotaLeaseCall::kNone ||
      now < this->next_call_at) {
    return QuotaLeaseCall::kNone;
  }
  if (this->given_up && this->Holds(now)) {
    // Stops lending now, whether or not the write succeeds.
    this->held_until = LeaseTime::min();
    this->to_write = {};
    return this->Begin(now, QuotaLeaseCall::kWrite);
  }
  if (!this->IsWanted(now)) {
    return QuotaLeaseCall::kNone;
  }
  if (!this->is_known || this->must_reread) {
    return this->Begin(now, QuotaLeaseCall::kRead);
  }
  if (!this->IsFree(now)) {
    return QuotaLeaseCall::kNone;
  }
  this->to_write = this->self;
  return this->Begin(now, QuotaLeaseCall::kWrite);
}

void QuotaLease::OnRead(LeaseTime now,
                        const std::optional<QuotaLeaseRecord>& record,
                        uint64_t end) {
  this->call_in_flight = QuotaLeaseCall::kNone;
  this->must_reread = false;
  if (!this->is_known || end != this->log_end || record != this->known_record) {
    this->unchanged_since = now;
  }
  this->is_known = true;
  this->known_record = record;
  this->log_end = end;
}

void QuotaLease::OnWritten(LeaseTime now, uint64_t end) {
  this->call_in_flight = QuotaLeaseCall::kNone;
  this->log_end = end;
  this->unchanged_since = now;
  if (!this->Holds(now)) {
    this->unused = !this->known_record.has_value();
    this->own = this->known_record == this->self;
  }
  this->known_record = this->to_write;
  if (this->to_write.holder.empty()) {
    return;
  }
  this->held_until = this->call_begun + kTerm;
  this->next_call_at = this->call_begun + kRenewInterval;
}

void QuotaLease::OnConflict(LeaseTime now) {
  this->call_in_flight = QuotaLeaseCall::kNone;
  this->must_reread = true;
  this->next_call_at = now;
}

// The write may have taken effect, or may still do so.
void QuotaLease::OnFailed(LeaseTime now) {
  this->call_in_flight = QuotaLeaseCall::kNone;
  this->must_reread = true;
  this->next_call_at = now + kRetryPause;
}

}  // namespace basilsill

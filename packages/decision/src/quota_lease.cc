#include "basilsill/decision/quota_lease.h"

#include <utility>

namespace basilsill {
namespace {

using std::chrono::milliseconds;

// Some writes may fail in a row before the lease ends.
constexpr milliseconds kRenewEvery{1000};

// A later candidate waits so long for the first one to take the share.
constexpr milliseconds kStepInAfter{400};

// Two questions that are further apart belong to two needs.
constexpr milliseconds kNeedGap{2000};

// A share that nobody needs is not renewed.
constexpr milliseconds kIdleAfter{30000};

constexpr milliseconds kRetryPause{200};

// What another VM waits beyond the term, for clocks that run at two speeds.
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
         this->needed_at - this->needed_since >= kStepInAfter;
}

bool QuotaLease::IsFree(LeaseTime now) const {
  if (!this->seen || this->seen->holder.empty() ||
      this->seen->holder == this->self.holder) {
    return true;
  }
  return now - this->seen_since >= kTerm + kClockMargin;
}

QuotaLeaseCall QuotaLease::Begin(LeaseTime now, QuotaLeaseCall call) {
  this->under_way = call;
  this->call_begun = now;
  return call;
}

QuotaLeaseCall QuotaLease::NextCall(LeaseTime now) {
  if (this->under_way != QuotaLeaseCall::kNone || now < this->next_call_at) {
    return QuotaLeaseCall::kNone;
  }
  if (this->given_up && this->Holds(now)) {
    // From here on it lends nothing, whatever becomes of the call.
    this->held_until = LeaseTime::min();
    this->to_write = {};
    return this->Begin(now, QuotaLeaseCall::kWrite);
  }
  if (!this->IsWanted(now)) {
    return QuotaLeaseCall::kNone;
  }
  if (!this->is_known || this->reads_again) {
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
  this->under_way = QuotaLeaseCall::kNone;
  this->reads_again = false;
  if (!this->is_known || end != this->log_end || record != this->seen) {
    this->seen_since = now;
  }
  this->is_known = true;
  this->seen = record;
  this->log_end = end;
}

void QuotaLease::OnWritten(LeaseTime now, uint64_t end) {
  this->under_way = QuotaLeaseCall::kNone;
  this->log_end = end;
  this->seen_since = now;
  if (!this->Holds(now)) {
    this->unused = !this->seen.has_value();
    this->own = this->seen == this->self;
  }
  this->seen = this->to_write;
  if (this->to_write.holder.empty()) {
    return;
  }
  this->held_until = this->call_begun + kTerm;
  this->next_call_at = this->call_begun + kRenewEvery;
}

void QuotaLease::OnConflict(LeaseTime now) {
  this->under_way = QuotaLeaseCall::kNone;
  this->reads_again = true;
  this->next_call_at = now;
}

// The write may have been done, or may yet be.
void QuotaLease::OnFailed(LeaseTime now) {
  this->under_way = QuotaLeaseCall::kNone;
  this->reads_again = true;
  this->next_call_at = now + kRetryPause;
}

}  // namespace basilsill

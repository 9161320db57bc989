#include "basilsill/decision/quota_lease.h"

#include <algorithm>
#include <array>
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

// A VM that released the lease leaves the share to others for this time.
constexpr milliseconds kReleasePause{1000};

// Time that another VM waits beyond the term, in case the clocks of the two VMs
// run at different speeds.
constexpr milliseconds kClockMargin{200};

// A term as another VM's clock may measure it, if the clocks differ in speed by
// less than 2 %.
constexpr milliseconds kLongestTerm{3600};
static_assert(QuotaLease::kTerm * 102 / 100 <= kLongestTerm);

// A VM that is asked to look at the record does so again after this time.
constexpr milliseconds kRereadInterval{1000};

}  // namespace

std::string_view NameOf(QuotaShareHistory::Kind kind) {
  constexpr std::array<std::string_view, 3> names{"unknown", "unused", "own"};
  static_assert(names.size() ==
                static_cast<size_t>(QuotaShareHistory::Kind::kCount));
  return names.at(static_cast<size_t>(kind));
}

QuotaLease::QuotaLease(std::string vm, uint64_t process, LeaseTime started_at)
    : self{std::move(vm), process}, started(started_at) {}

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
  if (this->Holds(now) || this->needed_first || this->IsOfEarlierProcess()) {
    return true;
  }
  if (this->HasPromise() && now >= this->promised_free_at) {
    return true;
  }
  return now - this->needed_at < kNeedGap &&
         this->needed_at - this->needed_since >= kTakeoverDelay;
}

// @returns true if the log may lack the record of a valid lease, because the
// store was restored from a copy after that record was written.
bool QuotaLease::IsOfEarlierEra() const {
  const uint64_t record_era = this->known_record ? this->known_record->era : 0;
  return record_era < this->log_end.era;
}

bool QuotaLease::IsFree(LeaseTime now) const {
  if (this->IsOfEarlierEra()) {
    if (this->Holds(now)) {
      return true;
    }
    if (now < this->era_since + kTerm + kClockMargin) {
      return false;
    }
  }
  if (!this->known_record || this->known_record->holder.empty() ||
      this->known_record->holder == this->self.holder) {
    return true;
  }
  if (this->HasPromise() && now >= this->promised_free_at) {
    return true;
  }
  return now - this->unchanged_since >= kTerm + kClockMargin;
}

bool QuotaLease::IsOwn(const std::optional<QuotaLeaseRecord>& record) const {
  return record && record->holder == this->self.holder &&
         record->process == this->self.process;
}

// A VM runs one process at a time, so an earlier one of this VM has ended.
bool QuotaLease::IsOfEarlierProcess() const {
  return this->known_record &&
         this->known_record->holder == this->self.holder &&
         !this->IsOwn(this->known_record);
}

// A promise counts for one record only: the holder lends on if it writes
// another one, and then this VM's write fails.
bool QuotaLease::HasPromise() const {
  return this->is_known && this->promised_end.offset != 0 &&
         this->promised_end == this->log_end;
}

void QuotaLease::OnPromise(LeaseTime now, LogPosition end, Duration left) {
  const Duration longest =
      std::min<Duration>(left, kTerm) + (kLongestTerm - kTerm);
  if (end != this->promised_end || now + longest < this->promised_free_at) {
    this->promised_free_at = now + longest;
  }
  this->promised_end = end;
}

void QuotaLease::OnNewerRecord(LogPosition end) {
  if (end > this->log_end) {
    this->must_reread = true;
  }
}

Duration QuotaLease::TimeLeft(LeaseTime now) const {
  return this->Holds(now) ? this->held_until - now : Duration(0);
}

bool QuotaLease::MustRead(LeaseTime now) const {
  if (this->is_asked && !this->Holds(now) && !this->given_up &&
      (!this->is_known || now - this->read_at >= kRereadInterval)) {
    return true;
  }
  return this->IsWanted(now) && (!this->is_known || this->must_reread);
}

// @returns what the newest record, of another process, tells about lending.
QuotaShareHistory QuotaLease::HistoryOfRecord(LeaseTime now) const {
  QuotaShareHistory history;
  if (this->IsOfEarlierEra()) {
    history.unlent_since =
        std::max(this->era_since, this->unchanged_since) + kLongestTerm;
    if (now - this->era_since >= kStartWindow) {
      history.recent_starts = 0;
    }
    return history;
  }
  if (!this->known_record) {
    history.kind = QuotaShareHistory::Kind::kUnused;
    history.recent_starts = 0;
    return history;
  }
  history.recent_starts = this->known_record->recent_starts;
  if (this->known_record->holder.empty()) {
    history.unlent_since = this->unchanged_since;
  } else if (this->IsOfEarlierProcess()) {
    history.unlent_since = this->started;
  } else {
    history.unlent_since = this->unchanged_since + kLongestTerm;
    if (this->HasPromise()) {
      history.unlent_since =
          std::min(history.unlent_since, this->promised_free_at);
    }
  }
  // Whoever the record counts had begun before it was written.
  if (now - this->unchanged_since >= kStartWindow) {
    history.recent_starts = 0;
  }
  return history;
}

// @returns the count to write: it includes this process until it has held the
// lease for a window.
std::optional<uint32_t> QuotaLease::RecentStarts(LeaseTime now) const {
  if (this->Holds(now) && now - this->held_since >= kStartWindow) {
    return 0;
  }
  if (!this->known_history.recent_starts) {
    return std::nullopt;
  }
  return *this->known_history.recent_starts + 1;
}

// A write whose answer is lost may have taken effect. The record is then of
// this process, which has not lent under it: what is known of earlier lending
// stays.
void QuotaLease::PrepareWrite(LeaseTime now) {
  if (!this->IsOwn(this->known_record) && !this->Holds(now)) {
    this->known_history = this->HistoryOfRecord(now);
  }
  const bool is_release = this->given_up || this->must_release;
  this->to_write = is_release ? QuotaLeaseRecord{} : this->self;
  this->to_write.recent_starts = this->RecentStarts(now);
  this->to_write.era = this->log_end.era;
}

QuotaLeaseCall QuotaLease::Begin(LeaseTime now, QuotaLeaseCall call) {
  this->call_in_flight = call;
  this->call_begun = now;
  return call;
}

// Stops lending now, whether or not the write succeeds.
QuotaLeaseCall QuotaLease::BeginRelease(LeaseTime now) {
  this->PrepareWrite(now);
  this->must_release = false;
  this->held_until = LeaseTime::min();
  this->needed_at = LeaseTime::min();
  return this->Begin(now, QuotaLeaseCall::kWrite);
}

QuotaLeaseCall QuotaLease::NextCall(LeaseTime now) {
  if (this->call_in_flight != QuotaLeaseCall::kNone ||
      now < this->next_call_at) {
    return QuotaLeaseCall::kNone;
  }
  // Failure: the lease expires before it can be released. Without this, the
  // next take-over would write a release, and this VM would never lend again.
  this->must_release = this->must_release && this->Holds(now);
  if ((this->given_up || this->must_release) && this->Holds(now)) {
    return this->BeginRelease(now);
  }
  if (this->MustRead(now)) {
    this->is_asked = false;
    return this->Begin(now, QuotaLeaseCall::kRead);
  }
  if (!this->IsWanted(now) || !this->IsFree(now)) {
    return QuotaLeaseCall::kNone;
  }
  this->PrepareWrite(now);
  return this->Begin(now, QuotaLeaseCall::kWrite);
}

void QuotaLease::OnRead(LeaseTime now,
                        const std::optional<QuotaLeaseRecord>& record,
                        LogPosition end,
                        LeaseTime first_known) {
  this->call_in_flight = QuotaLeaseCall::kNone;
  this->must_reread = false;
  this->read_at = now;
  if (!this->is_known || end != this->log_end || record != this->known_record) {
    this->unchanged_since = now;
  }
  this->is_known = true;
  this->known_record = record;
  this->log_end = end;
  this->era_since = first_known;
}

void QuotaLease::OnWritten(LeaseTime now, LogPosition end) {
  this->call_in_flight = QuotaLeaseCall::kNone;
  this->log_end = end;
  this->unchanged_since = now;
  this->known_record = this->to_write;
  if (this->to_write.holder.empty()) {
    this->next_call_at = now + kReleasePause;
    return;
  }
  if (!this->Holds(now)) {
    this->begun_with = this->known_history;
    this->held_since = now;
  }
  this->held_until = this->call_begun + kTerm;
  this->next_call_at = this->call_begun + kRenewInterval;
  if (this->Holds(now)) {
    this->known_history.kind = QuotaShareHistory::Kind::kOwn;
  }
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

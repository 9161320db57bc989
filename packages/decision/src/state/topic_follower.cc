#include "basilsill/decision/topic_follower.h"

#include <algorithm>
#include <utility>

#include "basilsill/decision/staleness_budget.h"

namespace basilsill {
namespace {

constexpr uint32_t kMaxDoublings = 8;

// Limits on the answer to a read: normally, and after a failed call. An
// overloaded store still serves many small answers where it serves no large
// one.
constexpr size_t kMaxReadBytes = 1024 * 1024;
constexpr size_t kMinReadBytes = 64 * 1024;

// Minimum time for which records are retained for other VMs: longer than a VM
// usually is frozen or cut off.
constexpr Duration kRetention = std::chrono::seconds(10);

// Interval between the reads of VMs whose peers declined: some dozens of reads
// a second, each of the records that a large topic gains in a second, whatever
// the size of the fleet.
constexpr Duration kReaderStagger = std::chrono::milliseconds(40);
constexpr Duration kMaxReaderWait = std::chrono::seconds(10);

// The longest time that a call takes while the store is well. No VM is without
// an update for longer than the longest silence plus one call, so records that
// this VM had before that time are known to all.
constexpr Duration kMaxCallTime =
    staleness::kMaxConnectionSilence + staleness::kAnswerTime;

// Rank whose delay is half-way between the shortest and the longest.
constexpr int64_t kHalfSpreadRank = 5;

// Pause between two held reads, so that records that come in quick succession
// are read several at a time.
constexpr Duration kHoldPause = std::chrono::milliseconds(20);

// The store normally answers within some milliseconds; a call that takes this
// long shows that it is degraded.
constexpr Duration kSlowCallThreshold = std::chrono::milliseconds(100);

// How long the store counts as degraded after the begin of the last call that
// showed it. Together with one call this is below the three seconds within
// which every VM must be up to date again.
constexpr Duration kDegradedPeriod = std::chrono::milliseconds(2500);

// How long a topic counts as busy after a new record: about as long as the VMs
// of a fleet take to start.
constexpr Duration kBusyPeriod = std::chrono::milliseconds(1000);

}  // namespace

TopicFollower::TopicFollower(const TopicFollowerOptions& options)
    : options(options), read_bytes(kMaxReadBytes) {}

TopicCall TopicFollower::NextCall() const {
  TopicCall call;
  const bool must_list = this->listing || this->is_era_over();
  call.kind = must_list ? TopicCallKind::kListNewest : TopicCallKind::kReadOn;
  call.after = this->after;
  call.from = this->from;
  call.max_bytes = this->read_bytes;
  if (this->ShouldRequestFromPeer()) {
    call.kind = TopicCallKind::kRequestFromPeer;
  }
  if (call.kind == TopicCallKind::kReadOn && this->CanHoldRead()) {
    call.hold = this->options.hold;
  }
  return call;
}

// Failure: no VM of a large fleet receives an update for a moment, and each
// reads what it has missed. Together the reads exceed what the store can serve,
// so every call times out; each VM retries, by then for more records, and the
// store stays overloaded until the fleet is stopped.
bool TopicFollower::ShouldRequestFromPeer() const {
  return this->options.is_bulk && this->is_gapless() && this->has_peers &&
         !this->peers_declined &&
         this->requests_to_peers < staleness::kMaxRequestsToPeers;
}

void TopicFollower::OnPeerRequestSent(TimePoint now) {
  ++this->requests_to_peers;
  this->next_at = now + staleness::kPeerTimeout;
}

// All VMs of a data centre may be declined at once, so they read one after the
// other. A VM whose peers do not answer at all is cut off, and reads after the
// time-outs.
void TopicFollower::OnPeerDeclined(TimePoint now) {
  if (this->requests_to_peers == 0 || this->peers_declined) {
    return;
  }
  this->peers_declined = true;
  const auto place = static_cast<int64_t>(this->rank);
  this->next_at = now + std::min(kReaderStagger * place, kMaxReaderWait);
}

bool TopicFollower::is_fresh(TimePoint now) const {
  return this->is_gapless() &&
         now - this->fresh_at <= this->options.max_silence;
}

// A held read does not delay the detection of a lost answer: the hold replaces
// the pause that the VM would otherwise make before the read.
bool TopicFollower::CanHoldRead() const {
  return this->options.hold > Duration(0) && this->rank == 0 &&
         this->available();
}

// The pages of a listing are not a snapshot: records appended while they are
// read may be in none of them. So after several pages the VM reads at once from
// the end offset of the first page. A listing of one page has missed nothing,
// and later records arrive by a regular read or an update; this saves a
// starting VM one call.
bool TopicFollower::OnPage(TimePoint now,
                           LogPosition end,
                           bool more,
                           std::string last_key) {
  this->failures = 0;
  const bool is_snapshot = this->first_page && !more;
  this->busy_until = now + kBusyPeriod;
  if (this->first_page) {
    this->BeginAt(now, end);
    this->first_page = false;
  }
  this->next_at = now;
  if (more && !last_key.empty()) {
    this->after = std::move(last_key);
    this->listing = true;
    return false;
  }
  this->after.clear();
  this->listing = false;
  this->listed_once = true;
  this->fresh_at = now;
  if (is_snapshot && !this->CanHoldRead()) {
    this->next_at = now + this->ReadDelay(now);
  }
  return true;
}

// Other VMs that have read the era before get an update that begins there, so
// the positions of that era are kept until they are replaced in turn.
void TopicFollower::BeginAt(TimePoint now, LogPosition end) {
  const bool begins_era = this->listed_once && end.era > this->from.era;
  this->from = end;
  this->store_era = std::max(this->store_era, end.era);
  if (begins_era) {
    return;
  }
  this->settled_position = end;
  this->settling_position = end;
  this->settling_since = now;
  this->retained_position = end;
  this->retaining_position = end;
  this->retaining_since = now;
}

// Failure: the store is restored, and all VMs of a large fleet list all topics
// at once. So VMs of higher rank wait for an update of the first ones.
void TopicFollower::OnEra(TimePoint now, uint64_t era) {
  if (era <= this->store_era) {
    return;
  }
  this->store_era = era;
  this->first_page = true;
  this->after.clear();
  if (this->is_era_over()) {
    this->next_at = now + this->ByRank(Duration(0), this->options.max_silence);
  }
}

// If the topic grows by more than one read returns, the next read is due at
// once; otherwise the VM that reads for the fleet would fall further and
// further behind.
void TopicFollower::OnRecords(TimePoint now,
                              LogPosition next,
                              LogPosition end) {
  this->failures = 0;
  this->read_bytes = std::min(2 * this->read_bytes, kMaxReadBytes);
  const bool is_behind = next < end && next > this->from;
  this->Advance(now, next);
  if (is_behind) {
    this->next_at = now;
    return;
  }
  this->fresh_at = now;
  this->requests_to_peers = 0;
  this->peers_declined = false;
  this->next_at =
      now + (this->CanHoldRead() ? kHoldPause : this->ReadDelay(now));
}

void TopicFollower::Advance(TimePoint now, LogPosition next) {
  if (now - this->settling_since >= this->options.max_silence + kMaxCallTime) {
    this->settled_position = this->settling_position;
    this->settling_position = this->from;
    this->settling_since = now;
  }
  if (now - this->retaining_since >= kRetention) {
    this->retained_position = this->retaining_position;
    this->retaining_position = this->from;
    this->retaining_since = now;
  }
  if (next > this->from) {
    this->busy_until = now + kBusyPeriod;
  }
  this->from = std::max(this->from, next);
  this->store_era = std::max(this->store_era, this->from.era);
}

LogPosition TopicFollower::BeginUpdate() {
  const LogPosition start =
      std::max(this->settled_position, this->previous_sent_position);
  this->previous_sent_position = this->sent_position;
  this->sent_position = this->from;
  return start;
}

// Failure: after an outage of the store or of links, all relays read for
// themselves and each sends what it has read to all others, which forward it: a
// VM gets each record from every relay of the fleet, and a configuration of 80
// KB fills a link of 10 Mbit/s for seconds. A VM that lacks records that are
// not forwarded again detects the gap and reads.
LogPosition TopicFollower::BeginForward(LogPosition first, LogPosition next) {
  if (next <= this->sent_position) {
    return next;
  }
  this->previous_sent_position = this->sent_position;
  this->sent_position = next;
  return first;
}

// Each rank gets a different delay. Those of the first ranks are far apart,
// since an update of one must arrive before the next VM reads; those of the
// last ranks are close together, since these VMs hardly ever read.
Duration TopicFollower::ByRank(Duration first, Duration last) const {
  const auto place = static_cast<int64_t>(this->rank);
  const Duration range = std::max(Duration(0), last - first);
  return first + range * place / (place + kHalfSpreadRank);
}

// Failure: the store is back, and a VM that has just read, the last time before
// the store stops to count as degraded, waits for the longer silence all the
// same. So the longer silence ends with the time for which the store counts as
// degraded.
Duration TopicFollower::ReadDelay(TimePoint now) const {
  const Duration longest = std::clamp(
      this->degraded_until - now, this->options.max_silence,
      std::max(this->options.max_silence, this->options.degraded_max_silence));
  return this->ByRank(this->Interval(now), longest);
}

Duration TopicFollower::Interval(TimePoint now) const {
  const TopicFollowerOptions& given = this->options;
  if (given.empty_interval > Duration(0) && this->from.offset == 0) {
    return given.empty_interval;
  }
  const bool is_busy =
      given.busy_interval > Duration(0) && now < this->busy_until;
  return is_busy ? given.busy_interval : given.interval;
}

// An old update, e.g. of a VM that was paused before it sent it, does not show
// that there are no newer records, so it does not delay the next read.
bool TopicFollower::OnPeerUpdate(TimePoint now,
                                 LogPosition first,
                                 LogPosition next) {
  if (!this->listed_once || this->listing || next < this->from) {
    return false;
  }
  if (first > this->from) {
    if (!this->is_era_over()) {
      this->next_at = std::min(this->next_at, now);
    }
    return false;
  }
  const bool is_new = next > this->from;
  this->Advance(now, next);
  if (this->is_era_over()) {
    return is_new;
  }
  this->fresh_at = now;
  this->requests_to_peers = 0;
  this->peers_declined = false;
  if (this->options.is_bulk && this->has_peers) {
    this->failures = 0;
  }
  // While the store does not answer this VM, updates from others do not end its
  // retries, which detect when the store is back.
  if (this->failures == 0) {
    this->next_at = now + this->ReadDelay(now);
  }
  return is_new;
}

void TopicFollower::OnTrimmed(TimePoint now) {
  this->failures = 0;
  this->listing = true;
  this->first_page = true;
  this->after.clear();
  this->next_at = now;
}

// Failure: a call gets no answer and lasts until its timeout, and only then the
// pause begins, so that the VM reads again after their sum. The pause limits
// how often calls are made, so it is counted from the begin of the call.
void TopicFollower::OnFailed(TimePoint now, TimePoint begun) {
  this->next_at =
      std::max(now + this->options.retry_min, begun + this->RetryPause());
  this->failed_call_begun = begun;
  ++this->failures;
  this->degraded_until = begun + kDegradedPeriod;
  this->read_bytes = kMinReadBytes;
  this->requests_to_peers = 0;
  this->peers_declined = false;
}

// After a failure a listing continues after the last page received. Restarted
// from the beginning, a long one would never end while the store is overloaded.
//
// Failure: the store is down, and each of a hundred VMs retries several times a
// second, which makes thousands of refused calls. So VMs of higher rank retry
// less often: the first VMs detect early enough for the fleet that the store is
// back, and send updates to the others; a VM that receives none still detects
// it within its bound.
Duration TopicFollower::RetryPause() const {
  const auto doubled = int64_t{1} << std::min(this->failures, kMaxDoublings);
  if (!this->listed_once) {
    return std::min(this->options.retry_min * doubled, this->options.retry_max);
  }
  const auto place = static_cast<int64_t>(this->rank);
  return std::min(this->options.retry_min * doubled * (1 + place),
                  this->ByRank(this->options.retry_max,
                               this->options.degraded_max_silence));
}

// Failure: the store is back, as the read of one topic has shown, and the VM
// waits for its turn to read another one, whose records have changed meanwhile.
void TopicFollower::OnStoreAnswered(TimePoint now) {
  if (this->failures == 0) {
    return;
  }
  const TimePoint first = this->failed_call_begun + this->options.retry_max;
  this->next_at = std::min(this->next_at, std::max(now, first));
}

void TopicFollower::OnCallLatency(TimePoint now, Duration took) {
  if (took >= kSlowCallThreshold) {
    this->degraded_until = now - took + kDegradedPeriod;
  }
}

}  // namespace basilsill

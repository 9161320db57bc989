#include "basilsill/decision/topic_follower.h"

#include <algorithm>
#include <utility>

namespace basilsill {
namespace {

constexpr uint32_t kMaxDoublings = 8;

// What one read brings at most, and after a read that failed. A store that has
// too much to do gets through many small answers where it gets through no large
// one.
constexpr size_t kMaxReadBytes = 1024 * 1024;
constexpr size_t kMinReadBytes = 64 * 1024;

// Peers that are asked in a row, and what one may take to answer.
constexpr uint32_t kPeersAsked = 2;
constexpr Duration kPeerTime = std::chrono::milliseconds(200);

// Kept to be told, at least: longer than a VM is frozen or cut off as a rule.
constexpr Duration kRetained = std::chrono::seconds(10);

// Between two VMs that read what their peers could not tell them: some dozens a
// second, each a second's worth of a large topic, whatever the size of the
// fleet.
constexpr Duration kReaderGap = std::chrono::milliseconds(40);
constexpr Duration kMaxReaderWait = std::chrono::seconds(10);

// Nobody is without news for longer than the longest silence and one call; what
// was known here so long ago is known to all.
constexpr Duration kCallTime = std::chrono::milliseconds(450);

// Place in the order whose patience is half-way to the longest.
constexpr int64_t kHalfWay = 5;

// Between two reads that the store holds: records that come in quick succession
// are then read several at a time.
constexpr Duration kHoldPause = std::chrono::milliseconds(20);

// An answer of the store takes some milliseconds; one that takes this long
// comes from a store in trouble.
constexpr Duration kSlowCall = std::chrono::milliseconds(100);

// So long after its last sign, trouble may be over for as long as every VM must
// be informed in time again (three seconds), and one call.
constexpr Duration kTroubleLasts = std::chrono::milliseconds(1800);

// After the last new record, others may follow for about as long as the VMs of
// a fleet take to start.
constexpr Duration kBusyLasts = std::chrono::milliseconds(1000);

}  // namespace

TopicFollower::TopicFollower(const TopicFollowerOptions& options)
    : options(options), read_bytes(kMaxReadBytes) {}

TopicCall TopicFollower::NextCall() const {
  TopicCall call;
  call.kind =
      this->listing ? TopicCallKind::kListNewest : TopicCallKind::kReadOn;
  call.after = this->after;
  call.from = this->from;
  call.max_bytes = this->read_bytes;
  if (this->AsksPeers()) {
    call.kind = TopicCallKind::kAskPeer;
  }
  if (call.kind == TopicCallKind::kReadOn && this->Holds()) {
    call.hold = this->options.hold;
  }
  return call;
}

// Failure: all VMs of a large fleet hear nothing for a moment, and each reads
// what it has missed. Together they ask for many times what the store can give,
// so that no answer is in time; each asks again, by now for more, and the store
// does nothing else until the fleet is stopped. It shows as calls that run into
// their time-out on every VM, for good.
bool TopicFollower::AsksPeers() const {
  return this->options.is_bulk && !this->listing && this->has_peers &&
         !this->peers_declined && this->peers_asked < kPeersAsked;
}

void TopicFollower::OnAskedPeer(TimePoint now) {
  ++this->peers_asked;
  this->next_at = now + kPeerTime;
}

// All of a data centre may be declined at once, so they read one after the
// other. One whose peers say nothing at all is cut off, and reads soon.
void TopicFollower::OnPeerDeclined(TimePoint now) {
  if (this->peers_asked == 0 || this->peers_declined) {
    return;
  }
  this->peers_declined = true;
  const auto place = static_cast<int64_t>(this->rank);
  this->next_at = now + std::min(kReaderGap * place, kMaxReaderWait);
}

bool TopicFollower::is_fresh(TimePoint now) const {
  return this->is_gapless() &&
         now - this->fresh_at <= this->options.max_silence;
}

// A call whose answer is lost is found out no later than without: it takes the
// time that the VM would have waited before it.
bool TopicFollower::Holds() const {
  return this->options.hold > Duration(0) && this->rank == 0 &&
         this->available();
}

// Pages are not a snapshot: what is appended while they are read may be in
// none of them. So reading goes on at once from the end as the first page had
// it. A list of one page has missed nothing, and what comes after it is read or
// heard of like anything else: a VM that starts makes no call for it.
bool TopicFollower::OnPage(TimePoint now,
                           uint64_t end,
                           bool more,
                           std::string last_key) {
  this->failures = 0;
  const bool is_snapshot = this->first_page && !more;
  this->busy_until = now + kBusyLasts;
  if (this->first_page) {
    this->from = end;
    this->settled_offset = end;
    this->settling_offset = end;
    this->settling_since = now;
    this->retained_offset = end;
    this->retaining_offset = end;
    this->retaining_since = now;
    this->first_page = false;
  }
  this->next_at = now;
  if (more && !last_key.empty()) {
    this->after = std::move(last_key);
    return false;
  }
  this->after.clear();
  this->listing = false;
  this->whole = true;
  this->fresh_at = now;
  if (is_snapshot && !this->Holds()) {
    this->next_at = now + this->Patience(now);
  }
  return true;
}

// A topic that grows by more than one read brings is read on at once: else the
// VM that reads for all would fall back further and further.
void TopicFollower::OnRecords(TimePoint now, uint64_t next, uint64_t end) {
  this->failures = 0;
  this->read_bytes = std::min(2 * this->read_bytes, kMaxReadBytes);
  const bool is_behind = next < end && next > this->from;
  this->Advance(now, next);
  if (is_behind) {
    this->next_at = now;
    return;
  }
  this->fresh_at = now;
  this->peers_asked = 0;
  this->peers_declined = false;
  this->next_at = now + (this->Holds() ? kHoldPause : this->Patience(now));
}

void TopicFollower::Advance(TimePoint now, uint64_t next) {
  if (now - this->settling_since >= this->options.max_silence + kCallTime) {
    this->settled_offset = this->settling_offset;
    this->settling_offset = this->from;
    this->settling_since = now;
  }
  if (now - this->retaining_since >= kRetained) {
    this->retained_offset = this->retaining_offset;
    this->retaining_offset = this->from;
    this->retaining_since = now;
  }
  if (next > this->from) {
    this->busy_until = now + kBusyLasts;
  }
  this->from = std::max(this->from, next);
}

uint64_t TopicFollower::BeginNews() {
  const uint64_t start =
      std::max(this->settled_offset, this->told_twice_offset);
  this->told_twice_offset = this->told_offset;
  this->told_offset = this->from;
  return start;
}

// Between the two, all in different places: the first ones far apart, since one
// of them is to be heard before the next acts, the last ones close together,
// since they hardly ever come to act.
Duration TopicFollower::ByPlace(Duration first, Duration last) const {
  const auto place = static_cast<int64_t>(this->rank);
  const Duration room = std::max(Duration(0), last - first);
  return first + room * place / (place + kHalfWay);
}

Duration TopicFollower::Patience(TimePoint now) const {
  const Duration longest = now < this->trouble_until
                               ? this->options.degraded_max_silence
                               : this->options.max_silence;
  return this->ByPlace(this->Interval(now), longest);
}

Duration TopicFollower::Interval(TimePoint now) const {
  const TopicFollowerOptions& given = this->options;
  if (given.empty_interval > Duration(0) && this->from == 0) {
    return given.empty_interval;
  }
  const bool is_busy =
      given.busy_interval > Duration(0) && now < this->busy_until;
  return is_busy ? given.busy_interval : given.interval;
}

// Old news, as a VM sends that was paused in between, says nothing of what is
// the newest now, and does not count as a sign.
bool TopicFollower::OnNews(TimePoint now, uint64_t first, uint64_t next) {
  if (!this->whole || this->listing || next < this->from) {
    return false;
  }
  if (first > this->from) {
    this->next_at = std::min(this->next_at, now);
    return false;
  }
  const bool is_new = next > this->from;
  this->Advance(now, next);
  this->fresh_at = now;
  this->peers_asked = 0;
  this->peers_declined = false;
  if (this->options.is_bulk && this->has_peers) {
    this->failures = 0;
  }
  // While the store does not answer this VM, hearing of it from others is as
  // good, but does not end the retries: they tell whether it is back.
  if (this->failures == 0) {
    this->next_at = now + this->Patience(now);
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

void TopicFollower::OnFailed(TimePoint now) {
  this->next_at = now + this->RetryPause();
  ++this->failures;
  this->trouble_until = now + kTroubleLasts;
  this->read_bytes = kMinReadBytes;
  this->peers_asked = 0;
  this->peers_declined = false;
}

// A list goes on after the last page that came. Begun anew, a long one would
// never end while the store has much to do.
//
// Failure: the store is down for all, and each of a hundred VMs asks it some
// times a second. It shows as thousands of refused calls. The first VMs find
// out soon enough for all that the store is back, and tell them; one that
// nobody can tell still finds out before it must know.
Duration TopicFollower::RetryPause() const {
  const auto doubled = int64_t{1} << std::min(this->failures, kMaxDoublings);
  if (!this->whole) {
    return std::min(this->options.retry_min * doubled, this->options.retry_max);
  }
  const auto place = static_cast<int64_t>(this->rank);
  return std::min(this->options.retry_min * doubled * (1 + place),
                  this->ByPlace(this->options.retry_max,
                                this->options.degraded_max_silence));
}

void TopicFollower::OnCallLatency(TimePoint now, Duration took) {
  if (took >= kSlowCall) {
    this->trouble_until = now + kTroubleLasts;
  }
}

}  // namespace basilsill

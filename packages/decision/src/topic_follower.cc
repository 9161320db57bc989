#include "basilsill/decision/topic_follower.h"

#include <algorithm>
#include <utility>

namespace basilsill {
namespace {

constexpr uint32_t kMaxDoublings = 8;

// Nobody is without news for longer than the longest silence and one call; what
// was known here so long ago is known to all.
constexpr Duration kCallTime = std::chrono::milliseconds(450);

// Place in the order whose patience is half-way to the longest.
constexpr int64_t kHalfWay = 5;

// Below this number of VMs each lists for itself: it is ready sooner, and all
// of them together make few calls. Above, a start of the whole fleet would make
// some ten calls a VM.
constexpr size_t kSmallFleet = 32;

// A VM that tells all does so within a tick of its control thread after the
// link is up.
constexpr Duration kHelpTime = std::chrono::milliseconds(400);

}  // namespace

Duration StartPatience(size_t rank, size_t known) {
  const bool lists = rank < kStartHelpers || known < kSmallFleet;
  return lists ? Duration(0) : kHelpTime;
}

TopicFollower::TopicFollower(const TopicFollowerOptions& options)
    : options(options) {}

TopicCall TopicFollower::NextCall() const {
  TopicCall call;
  call.kind =
      this->listing ? TopicCallKind::kListNewest : TopicCallKind::kReadOn;
  call.after = this->after;
  call.from = this->from;
  return call;
}

// Pages are not a snapshot: what is appended while they are read may be in
// none of them. So reading goes on from the end as the first page had it.
bool TopicFollower::OnPage(TimePoint now,
                           uint64_t end,
                           bool more,
                           std::string last_key) {
  this->failures = 0;
  if (this->first_page) {
    this->from = end;
    this->settled_offset = end;
    this->settling_offset = end;
    this->settling_since = now;
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
  return true;
}

void TopicFollower::OnRecords(TimePoint now, uint64_t next) {
  this->failures = 0;
  this->Advance(now, next);
  this->next_at = now + this->Patience();
}

void TopicFollower::Advance(TimePoint now, uint64_t next) {
  if (now - this->settling_since >= this->options.max_silence + kCallTime) {
    this->settled_offset = this->settling_offset;
    this->settling_offset = this->from;
    this->settling_since = now;
  }
  this->from = std::max(this->from, next);
}

// Between the interval and the longest silence, all in different places: the
// first ones far apart, since one of them is to be heard before the next reads,
// the last ones close together, since they hardly ever come to read.
Duration TopicFollower::Patience() const {
  const auto place = static_cast<int64_t>(this->rank);
  const Duration room =
      std::max(Duration(0), this->options.max_silence - this->options.interval);
  return this->options.interval + room * place / (place + kHalfWay);
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
  // While the store does not answer this VM, hearing of it from others is as
  // good, but does not end the retries: they tell whether it is back.
  if (this->failures == 0) {
    this->next_at = now + this->Patience();
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
  const Duration pause =
      this->options.retry_min *
      (int64_t{1} << std::min(this->failures, kMaxDoublings));
  ++this->failures;
  this->next_at = now + std::min(pause, this->options.retry_max);
  if (this->listing) {
    this->after.clear();
    this->first_page = true;
  }
}

}  // namespace basilsill

#include "basilsill/decision/topic_follower.h"

#include <algorithm>
#include <utility>

namespace basilsill {
namespace {

constexpr uint32_t kMaxDoublings = 8;

}  // namespace

TopicFollower::TopicFollower(const TopicFollowerOptions& options)
    : options(options) {}

TopicCall TopicFollower::NextCall() const {
  TopicCall call;
  call.kind =
      this->listing ? TopicCallKind::kListNewest : TopicCallKind::kReadOn;
  call.after = this->after;
  call.from = this->from;
  call.wait = this->options.wait;
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
  this->from = std::max(this->from, next);
  this->next_at = now + this->options.interval;
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

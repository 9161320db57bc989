#include "basilsill/decision/announcement.h"

#include <algorithm>

namespace basilsill {
namespace {

// A helper collects requests before it writes, and its call takes some
// milliseconds. A helper that has not answered within this time is gone, or its
// call is failing.
constexpr Duration kHelperTimeout = std::chrono::milliseconds(250);

// Range of the additional delay by which the direct writes of VMs without a
// helper are spread out.
constexpr uint64_t kDirectWriteSpreadMs = 250;

// Between two attempts. The delay does no harm: a VM that is not listed is
// still known to the VMs that it opens links to.
constexpr Duration kRetryInterval = std::chrono::milliseconds(400);

}  // namespace

void Announcement::Begin(TimePoint now, bool others_listed, uint64_t spread) {
  this->spread = spread;
  this->state = State::kWaiting;
  this->direct_write_at = now;
  if (others_listed) {
    this->direct_write_at +=
        kHelperTimeout +
        std::chrono::milliseconds(spread % kDirectWriteSpreadMs);
  }
}

void Announcement::OnLinked(VmHandle vm) {
  const bool known = std::find(this->peers.begin(), this->peers.end(), vm) !=
                     this->peers.end();
  if (!known) {
    this->peers.push_back(vm);
  }
}

AnnouncementStep Announcement::Next(TimePoint now) {
  const bool open =
      this->state == State::kWaiting || this->state == State::kRequested;
  if (open && now >= this->direct_write_at) {
    this->state = State::kWriting;
    return {AnnouncementStepKind::kWriteDirectly, {}, 0};
  }
  if (this->state != State::kWaiting || this->next_peer >= this->peers.size()) {
    return {};
  }
  this->state = State::kRequested;
  this->requested_helper = this->peers[this->next_peer++];
  return {AnnouncementStepKind::kRequestWrite, this->requested_helper,
          ++this->number};
}

TimePoint Announcement::due() const {
  const bool open =
      this->state == State::kWaiting || this->state == State::kRequested;
  return open ? this->direct_write_at : kNever;
}

void Announcement::OnHelperAnswer(TimePoint /*now*/,
                                  VmHandle vm,
                                  uint64_t answered,
                                  bool written) {
  if (this->state != State::kRequested || vm != this->requested_helper ||
      answered != this->number) {
    return;
  }
  this->state = written ? State::kDone : State::kWaiting;
}

void Announcement::OnDirectWriteDone(TimePoint now, bool written) {
  if (written) {
    this->state = State::kDone;
    return;
  }
  // The platform may serve a peer although it refuses this VM, so all peers are
  // asked again.
  this->state = State::kWaiting;
  this->next_peer = 0;
  this->direct_write_at = now + kRetryInterval;
}

void Announcement::OnListed(TimePoint now, bool is_current) {
  if (is_current && this->state != State::kWriting) {
    this->state = State::kDone;
  } else if (!is_current && this->state == State::kDone) {
    this->next_peer = 0;
    this->Begin(now, !this->peers.empty(), this->spread);
  }
}

}  // namespace basilsill

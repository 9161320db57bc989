#include "membership_trust.h"

#include <algorithm>
#include <cmath>

namespace basilsill {
namespace {

constexpr double kMaxDoublings = 16;

}  // namespace

bool PeerTrust::Suspect(TimePoint now, const MembershipOptions& options) {
  this->steady_since = kNever;
  if (this->suspected) {
    return false;
  }
  this->penalty = this->PenaltyAt(now, options) + 1;
  this->penalty_at = now;
  this->suspected = true;
  return true;
}

void PeerTrust::OnSignOfLife(TimePoint now) {
  this->steady_since = std::min(this->steady_since, now);
}

bool PeerTrust::TryTrust(TimePoint now, const MembershipOptions& options) {
  // Failure: a link breaks every few seconds and works in between. Requests
  // sent while it works are lost at the next break, and every change moves the
  // shards of the peer back and forth. The required time without failure grows
  // with each break, so the peer gets no work until its link is stable.
  if (!this->suspected || this->steady_since == kNever ||
      now - this->steady_since < this->RequiredSteadyTime(now, options)) {
    return false;
  }
  this->suspected = false;
  return true;
}

Duration PeerTrust::RequiredSteadyTime(TimePoint now,
                                       const MembershipOptions& options) const {
  const double excess =
      this->PenaltyAt(now, options) - options.damping_threshold;
  if (excess <= 0) {
    return Duration::zero();
  }
  const double factor = std::exp2(std::min(excess, kMaxDoublings));
  const std::chrono::duration<double> hold(
      std::chrono::duration<double>(options.damping_hold).count() * factor);
  return std::min(std::chrono::duration_cast<Duration>(hold),
                  options.damping_hold_max);
}

double PeerTrust::PenaltyAt(TimePoint now,
                            const MembershipOptions& options) const {
  const std::chrono::duration<double> age = now - this->penalty_at;
  const std::chrono::duration<double> half_life = options.damping_half_life;
  return this->penalty * std::exp2(-age / half_life);
}

}  // namespace basilsill

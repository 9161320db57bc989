#ifndef BASILSILL_DECISION_MEMBERSHIP_TRUST_H_
#define BASILSILL_DECISION_MEMBERSHIP_TRUST_H_

#include "basilsill/base/time.h"
#include "basilsill/decision/membership.h"

/// Whether one peer is trusted to work: suspicion, and damping of peers that
/// fail and recover repeatedly.

namespace basilsill {

class PeerTrust {
 public:
  bool IsSuspected() const { return this->suspected; }

  /// The peer failed or is silent. Restarts the period of continuous signs of
  /// life that TryTrust requires.
  /// @returns true if the peer was trusted until now.
  bool Suspect(TimePoint now, const MembershipOptions& options);

  /// A message arrived from the peer.
  void OnSignOfLife(TimePoint now);

  /// @returns true if the peer was suspected and is trusted from now on.
  bool TryTrust(TimePoint now, const MembershipOptions& options);

 private:
  Duration RequiredSteadyTime(TimePoint now,
                              const MembershipOptions& options) const;
  double PenaltyAt(TimePoint now, const MembershipOptions& options) const;

  bool suspected = false;
  TimePoint steady_since = kNever;
  double penalty = 0;  ///< As of `penalty_at`.
  TimePoint penalty_at;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_MEMBERSHIP_TRUST_H_

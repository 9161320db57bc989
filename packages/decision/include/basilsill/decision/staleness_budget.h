#ifndef BASILSILL_DECISION_STALENESS_BUDGET_H_
#define BASILSILL_DECISION_STALENESS_BUDGET_H_

#include "basilsill/base/time.h"

/// How the bound within which a change on the platform must take effect on
/// every VM is divided among the waits on its way. The waits follow each other,
/// so it is their sum that must stay below the bound.

namespace basilsill {

/// Parts of the sum that are the same for every bound.
namespace staleness {

/// The way of an update from the VM that read it to another one.
inline constexpr Duration kRelayTime = std::chrono::milliseconds(100);

/// Number of relays that are asked for records before the store is read, and
/// the time that each has to answer.
inline constexpr int kMaxRequestsToPeers = 2;
inline constexpr Duration kPeerTimeout = std::chrono::milliseconds(100);

/// The longest silence of a kept connection to the store: fifty times what the
/// store takes to answer, and one retransmission.
inline constexpr Duration kMaxConnectionSilence =
    std::chrono::milliseconds(200);

/// Opening a connection to the store, and the answer on it.
inline constexpr Duration kAnswerTime = std::chrono::milliseconds(250);

/// From the answer until all workers use the new view.
inline constexpr Duration kApplyTime = std::chrono::milliseconds(200);

/// Shares of the bound, in thousandths. A longer silence would not make reads
/// rarer, since a VM usually receives an update in each interval.
inline constexpr int kMaxSilenceShare = 525;
inline constexpr int kIntervalShare = 300;
inline constexpr int kWholeShare = 1000;

}  // namespace staleness

struct StalenessBudget {
  /// Time between two reads of the VM that reads for the fleet.
  Duration interval{0};
  /// The longest time that a VM waits for an update before it reads, or asks
  /// its relays.
  Duration max_silence{0};
  /// Asking relays first; 0 for a topic that is always read from the store.
  Duration peer_requests{0};

  /// @param bound Longest time from a change until it takes effect. For one
  /// shorter than kShortestBound the waits are those of kShortestBound.
  /// @param asks_peers A VM asks its relays before it reads.
  static constexpr StalenessBudget For(Duration bound, bool asks_peers);

  /// @returns the time from a change until it takes effect on a VM that
  /// receives no update and whose kept connection to the store is dead.
  constexpr Duration Worst() const {
    return staleness::kRelayTime + this->max_silence + this->peer_requests +
           staleness::kMaxConnectionSilence + staleness::kAnswerTime +
           staleness::kApplyTime;
  }

  /// The shortest bound that can be kept.
  static constexpr Duration kShortestBound = std::chrono::milliseconds(1200);
};

constexpr StalenessBudget StalenessBudget::For(Duration bound,
                                               bool asks_peers) {
  bound = bound < kShortestBound ? kShortestBound : bound;
  StalenessBudget budget;
  if (asks_peers) {
    budget.peer_requests =
        staleness::kMaxRequestsToPeers * staleness::kPeerTimeout;
  }
  const Duration left = bound - budget.Worst();
  const Duration most =
      bound * staleness::kMaxSilenceShare / staleness::kWholeShare;
  budget.max_silence = left < most ? left : most;
  // The other VMs wait longer than the interval, by their rank.
  const Duration longest = budget.max_silence * staleness::kIntervalShare /
                           staleness::kMaxSilenceShare;
  const Duration usual =
      bound * staleness::kIntervalShare / staleness::kWholeShare;
  budget.interval = longest < usual ? longest : usual;
  return budget;
}

}  // namespace basilsill

#endif  // BASILSILL_DECISION_STALENESS_BUDGET_H_

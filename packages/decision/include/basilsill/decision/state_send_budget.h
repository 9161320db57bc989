#ifndef BASILSILL_DECISION_STATE_SEND_BUDGET_H_
#define BASILSILL_DECISION_STATE_SEND_BUDGET_H_

#include <cstddef>

#include "basilsill/base/time.h"

/// Token bucket that limits the bandwidth which this VM spends on sending state
/// to other VMs: in one use the full state to starting VMs that request it, in
/// another updates to all VMs. Pure.
///
/// Failure: a VM with a narrow link becomes the first in the order of
/// RankLiveVms, because larger VMs restart or because it started before them.
/// It sends the full state, which is megabytes long, to every linked VM and
/// thereby saturates its link: its own calls get no answer, and other VMs
/// suspect it although it works. Starting VMs therefore ask one VM at a time,
/// and this limit lets a VM with a narrow link serve only a few of them. It
/// declines the others at once, and they ask elsewhere.

namespace basilsill {

class StateSendBudget {
 public:
  /// @param link_bytes_per_second Bandwidth of this VM's link; 0 if unknown,
  /// which means no limit.
  explicit StateSendBudget(double link_bytes_per_second);

  /// @returns true if `bytes` octets may be sent now.
  bool HasRoom(TimePoint now, size_t bytes);

  /// As HasRoom, and deducts `bytes` from the budget if it returns true.
  bool Take(TimePoint now, size_t bytes);

 private:
  double rate;  ///< Octets per second for starting VMs; also the burst.
  double available_bytes;  ///< Octets that may be sent now.
  TimePoint filled_at{};
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_STATE_SEND_BUDGET_H_

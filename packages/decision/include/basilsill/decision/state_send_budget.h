#ifndef BASILSILL_DECISION_STATE_SEND_BUDGET_H_
#define BASILSILL_DECISION_STATE_SEND_BUDGET_H_

#include <cstddef>

#include "basilsill/base/time.h"

/// Which VMs that start this one tells all that it knows, and when. It tells
/// those that ask, as far as its link allows. Pure.
///
/// Failure: a VM with a narrow link comes to stand first in the order of work
/// for all, as the larger ones restart or since it started before them. It told
/// every VM that it is linked with all it knows, megabytes that clog its link.
/// It shows as a VM whose own calls get no answer, which others suspect, while
/// nothing is wrong with it. Asked by one after the other and bound by its link
/// it tells few, and the others are told so at once and ask elsewhere.

namespace basilsill {

class StateSendBudget {
 public:
  /// @param link_bytes_per_second Of this VM's link; 0: not known, no bound.
  explicit StateSendBudget(double link_bytes_per_second);

  /// @returns true if so many octets may be told now.
  bool HasRoom(TimePoint now, size_t bytes);

  /// As HasRoom; if they may, they are counted.
  bool Take(TimePoint now, size_t bytes);

 private:
  double rate;  ///< Octets a second for those that start.
  double room;  ///< Octets that may be told at once.
  TimePoint filled_at{};
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_STATE_SEND_BUDGET_H_

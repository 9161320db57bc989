#ifndef BASILSILL_DECISION_STATE_FETCH_H_
#define BASILSILL_DECISION_STATE_FETCH_H_

#include <cstddef>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"

/// Whom a VM that starts asks for all that others know: one linked VM at a
/// time, since the answer is long. First its helpers (StartHelpers), as their
/// links come up; any other one only if these have not told in time, since of
/// two that start each could wait for the other. One that has no room says so
/// at once, and the next is asked. Pure.
///
/// Failure: the platform refuses a VM that starts, for seconds, while it serves
/// the others. The VM refuses all that callers ask of it, though all it lacks
/// is known next door. It knows nobody, but the others know it by its
/// announcement of before, and whoever comes before it in the ring keeps a link
/// to it. So it asks on any link, whoever opened it. What it is told is as true
/// as what the others serve by.

namespace basilsill {

class StateFetch {
 public:
  /// A link with `vm` works.
  /// @param is_helper It is one of this VM's StartHelpers.
  void OnLinked(TimePoint now, VmHandle vm, bool is_helper);

  /// `vm` does not tell. @param later It has nothing yet and will tell.
  void OnDeclined(TimePoint now, VmHandle vm, bool later);

  /// @returns whom to ask now, or none while an answer is waited for. Each call
  /// that returns one counts as a question.
  VmHandle Next(TimePoint now);

 private:
  std::vector<VmHandle> peers;  ///< To be asked now, by turns.
  std::vector<VmHandle> others;
  size_t turn = 0;
  TimePoint others_at = kNever;  ///< From then on others are asked too.
  VmHandle asked;
  TimePoint next_at{};  ///< When another one is asked, if nothing comes.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_STATE_FETCH_H_

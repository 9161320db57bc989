#ifndef BASILSILL_DECISION_STATE_FETCH_H_
#define BASILSILL_DECISION_STATE_FETCH_H_

#include <cstddef>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"

/// Selects the peers from which a starting VM requests the full state, one
/// linked VM at a time because the answer is long. The VM asks its helpers
/// (StartupPeers) first, as their links come up, and any other linked VM only
/// if the helpers have not answered in time: if VMs that start together asked
/// each other, each could wait for the other. A peer without send budget
/// declines at once, and the next one is asked. Pure.
///
/// Failure: the platform refuses a starting VM for seconds while it serves the
/// others. The VM refuses all requests of callers, although its peers have the
/// state that it lacks. It knows no other VM, but the others know it from an
/// earlier announcement, and some of them keep links to it. So it asks over any
/// link, whichever side opened it. It receives the same state that its peers
/// use to route requests.

namespace basilsill {

class StateFetch {
 public:
  /// The link with `vm` is up.
  /// @param is_helper Whether `vm` is one of this VM's StartupPeers.
  void OnLinked(TimePoint now, VmHandle vm, bool is_helper);

  /// `vm` declined the request.
  /// @param later `vm` has no state yet and will send it once it has.
  void OnDeclined(TimePoint now, VmHandle vm, bool later);

  /// @returns the VM to ask now; invalid if none is to be asked, e.g. while an
  /// answer is pending. Each call that returns a VM counts as a request to it.
  VmHandle Next(TimePoint now);

 private:
  std::vector<VmHandle> peers;  ///< Asked in turn.
  std::vector<VmHandle> others;
  size_t next_peer = 0;
  TimePoint include_others_at = kNever;  ///< When `others` join `peers`.
  VmHandle pending_peer;
  TimePoint next_at{};  ///< When the next peer is asked if no answer comes.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_STATE_FETCH_H_

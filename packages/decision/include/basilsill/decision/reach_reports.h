#ifndef BASILSILL_DECISION_REACH_REPORTS_H_
#define BASILSILL_DECISION_REACH_REPORTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/membership.h"

/// Which paths to upstreams a VM reports to its peers, and when. Combines what
/// its workers observe. Pure; belongs to the control thread.

namespace basilsill {

/// What follows from a change of reports.
struct ReachStep {
  bool send = false;   ///< The peers are to be sent the lists.
  bool build = false;  ///< A view is to be built at once.
};

class ReachReports {
 public:
  /// Worker `worker` can't connect to the upstreams of `unreachable`. The VM
  /// counts as cut from a data centre while one of its workers is: the requests
  /// of a shard all go to the same worker.
  void SetWorker(uint16_t worker, std::vector<DataCentreHandle> unreachable);

  /// Applies what the workers observe to `members`.
  /// @param incarnation Of this VM.
  ReachStep Update(TimePoint now, uint64_t incarnation, Membership& members);

  /// A peer has sent its list.
  ReachStep OnPeer(TimePoint now,
                   VmHandle vm,
                   uint64_t incarnation,
                   std::vector<DataCentreHandle> unreachable,
                   Membership& members);

  /// @returns the data centres that heartbeats report as unreachable, in order
  /// of handles.
  const std::vector<DataCentreHandle>& unreachable() const {
    return this->reported;
  }

 private:
  std::map<uint16_t, std::vector<DataCentreHandle>> workers;
  std::vector<DataCentreHandle> reported;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_REACH_REPORTS_H_

#ifndef BASILSILL_DECISION_PATH_REPORT_H_
#define BASILSILL_DECISION_PATH_REPORT_H_

#include <vector>

#include "basilsill/decision/view.h"

/// What workers and VMs tell each other about paths to upstreams.

namespace basilsill {

/// What a worker, or a VM, reports of its paths to the upstreams of data
/// centres.
struct PathReport {
  /// It can't connect to their upstreams.
  std::vector<DataCentreHandle> unreachable;
  /// Other VMs report that they can't reach these, and this one has opened a
  /// connection there since.
  std::vector<DataCentreHandle> reached;

  friend bool operator==(const PathReport&, const PathReport&) = default;
};

/// What the control side tells its workers.
struct PathDoubts {
  /// Other VMs report that they can't reach these.
  std::vector<DataCentreHandle> doubted;
  /// Of these, those to which the path is to be checked now.
  std::vector<DataCentreHandle> check;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_PATH_REPORT_H_

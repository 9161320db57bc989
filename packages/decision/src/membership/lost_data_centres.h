#ifndef BASILSILL_DECISION_LOST_DATA_CENTRES_H_
#define BASILSILL_DECISION_LOST_DATA_CENTRES_H_

#include <cstdint>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"

/// Tells the loss of a data centre's upstreams from the loss of a VM's own path
/// to them, from the reports of VMs.

namespace basilsill {

/// What the live VMs report about a data centre. VMs that report all data
/// centres say only that their own paths are lost; they are not counted, except
/// in `reports`.
struct PathReports {
  uint32_t own_vms = 0;    ///< VMs in the data centre.
  uint32_t own = 0;        ///< Of these, those that can't reach it.
  uint32_t other_vms = 0;  ///< VMs in other data centres.
  uint32_t others = 0;     ///< Of these, those that can't reach it.
  uint32_t reports = 0;    ///< All VMs that can't reach it.
  uint32_t reached = 0;    ///< VMs that reach it.
};

class LostDataCentres {
 public:
  void Update(TimePoint now,
              DataCentreHandle data_centre,
              const PathReports& reports);

  /// @returns true if nobody reaches the upstreams of `data_centre`.
  bool IsLost(DataCentreHandle data_centre) const;

  /// @returns true if it is not known yet, or not any more, whether the data
  /// centre is lost. Its reports are not used until it is.
  bool IsUndecided(DataCentreHandle data_centre) const;

 private:
  struct State {
    bool lost = false;
    bool undecided = false;
    TimePoint first_report_at = kNever;
    TimePoint undecided_until{};
  };

  std::vector<State> states;  ///< By index of the handle.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_LOST_DATA_CENTRES_H_

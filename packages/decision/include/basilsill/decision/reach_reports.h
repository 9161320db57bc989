#ifndef BASILSILL_DECISION_REACH_REPORTS_H_
#define BASILSILL_DECISION_REACH_REPORTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/membership.h"
#include "basilsill/decision/path_report.h"

/// Which paths to upstreams a VM reports to its peers, and when. Combines what
/// its workers observe with the reports of other VMs, so that a loss that all
/// VMs observe is reported by a few. Pure; belongs to the control thread.

namespace basilsill {

/// What follows from a change of reports.
struct ReachStep {
  bool send = false;   ///< The peers are to be sent `ReachReports::report`.
  bool build = false;  ///< A view is to be built at once.
  /// The workers are to be given `doubts`.
  bool doubts_changed = false;
  PathDoubts doubts;
  /// `ReachReports::Tick` is to be called then; kNever: at the next tick.
  TimePoint due = kNever;
};

class ReachReports {
 public:
  /// A worker reports its paths. The VM counts as cut from a data centre while
  /// one of its workers is: the requests of a shard all go to the same worker.
  ReachStep OnWorker(TimePoint now,
                     uint16_t worker,
                     PathReport paths,
                     Membership& members);

  /// A peer has sent its report.
  ReachStep OnPeer(TimePoint now,
                   VmHandle vm,
                   uint64_t incarnation,
                   PathReport report,
                   Membership& members);

  /// To be called at each tick of the control side, after that of `members`.
  ReachStep Tick(TimePoint now, Membership& members);

  /// @returns what heartbeats report.
  const PathReport& report() const { return this->sent; }

 private:
  ReachStep Update(TimePoint now, Membership& members);
  PathReport Combine() const;
  bool MayReport(TimePoint now,
                 DataCentreHandle data_centre,
                 const Membership& members);
  bool MayConfirm(TimePoint now,
                  DataCentreHandle data_centre,
                  const Membership& members);
  PathReport Choose(TimePoint now, const Membership& members);
  void SetDoubts(TimePoint now, const Membership& members, ReachStep& step);

  std::map<uint16_t, PathReport> workers;
  /// Since when this VM can't reach these, and nothing else kept it from
  /// reporting that.
  std::map<DataCentreHandle, TimePoint> silent_since;
  /// Since when it matters that this VM reaches these.
  std::map<DataCentreHandle, TimePoint> confirm_since;
  PathReport sent;
  PathDoubts doubts;
  std::vector<DataCentreHandle> lost;
  TimePoint due = kNever;  ///< When a report that waits may be sent.
  TimePoint check_at{};    ///< Next check of what `sent` reports as reached.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_REACH_REPORTS_H_

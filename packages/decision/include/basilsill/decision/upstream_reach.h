#ifndef BASILSILL_DECISION_UPSTREAM_REACH_H_
#define BASILSILL_DECISION_UPSTREAM_REACH_H_

#include <cstdint>
#include <memory>
#include <vector>

#include <pcg_random.hpp>

#include "basilsill/base/time.h"
#include "basilsill/decision/path_report.h"
#include "basilsill/decision/view.h"

/// Which data centres' upstreams this VM can connect to. A connection that
/// fails says that the upstream is down or that this VM has lost its path to
/// it. If connections to upstreams of several services of a data centre fail in
/// a row and none succeeds, the path is lost, or the whole data centre is down.

namespace basilsill {

enum class ReachEventKind : uint8_t {
  kUnreachable,  ///< Connections to upstreams of `data_centre` fail.
  kReachable,    ///< A connection was opened there again.
  /// A connection was opened there while other VMs could not.
  kConfirmed,
  kCount
};

struct ReachEvent {
  ReachEventKind kind = ReachEventKind::kCount;
  DataCentreHandle data_centre;
  size_t failed = 0;   ///< For kUnreachable: number of upstreams that failed.
  Duration lasted{0};  ///< For kReachable: time since kUnreachable.
};

/// State of one worker. Used by one thread only.
class UpstreamReach {
 public:
  static std::unique_ptr<UpstreamReach> Create(uint64_t seed);

  /// Adopts `view`. If another VM has lost its path to a data centre and this
  /// VM may dispatch there, its own path is checked. While many VMs can't reach
  /// a data centre, each probes less often; once one of them reaches it again,
  /// the others probe at once. A data centre that is lost for all is probed by
  /// all.
  void ApplyView(TimePoint now, const RoutingViewPtr& view);

  /// Reports that a connection to `upstream`, which is in `data_centre`, was
  /// opened or could not be.
  void OnConnect(TimePoint now,
                 DataCentreHandle data_centre,
                 UpstreamHandle upstream,
                 bool connected);

  /// Adopts what other VMs report.
  void SetDoubts(TimePoint now, const PathDoubts& doubts);

  /// Schedules probes of data centres that can't be reached.
  void Tick(TimePoint now);

  /// @returns true if no upstream in `data_centre` can be connected to.
  bool IsUnreachable(DataCentreHandle data_centre) const;

  /// @returns the data centres that can't be reached, in order of handles.
  std::vector<DataCentreHandle> Unreachable() const;

  /// @returns what this worker reports of its paths, in order of handles.
  PathReport Report() const;

  /// @returns the upstreams to which a connection is to be opened now; its
  /// result is to be reported by OnConnect.
  std::vector<UpstreamHandle> TakeProbes();

  /// @returns the changes since the last call, in order.
  std::vector<ReachEvent> TakeEvents();

 private:
  struct Candidate {
    UpstreamHandle upstream;
    ServiceHandle service;
    DataCentreHandle data_centre;
  };
  /// A probe without a result yet.
  struct Probe {
    UpstreamHandle upstream;
    TimePoint at;
    bool is_counted = false;  ///< As failed, since it takes long.
  };
  struct DataCentreState {
    /// Upstreams to which connections failed since the last one that succeeded.
    std::vector<Candidate> failed;
    TimePoint failed_at{};
    std::vector<Probe> pending;
    TimePoint unreachable_since = kNever;  ///< kNever: reachable.
    TimePoint probe_at = kNever;
    uint32_t other_vms = 0;   ///< Other VMs that can't reach the data centre.
    bool lost = false;        ///< As in the view.
    TimePoint returned_at{};  ///< When it was no longer lost.
    bool doubted = false;     ///< Another VM reports that it can't reach it.
    bool confirmed = false;   ///< It was reached since.
    TimePoint next_check{};   ///< Of other upstreams, after one has failed.
    Duration check_pause{0};
    /// Upstreams that can be connected to, in the view of that version.
    std::vector<Candidate> candidates;
    uint64_t candidates_version = 0;
  };

  explicit UpstreamReach(uint64_t seed) : random(seed) {}

  DataCentreState& StateOf(DataCentreHandle data_centre);
  const std::vector<Candidate>& CandidatesIn(DataCentreHandle data_centre);
  void OnConnected(TimePoint now, DataCentreHandle data_centre);
  void OnFailed(TimePoint now,
                DataCentreHandle data_centre,
                UpstreamHandle upstream);
  void CheckPath(TimePoint now, DataCentreHandle data_centre);
  void CheckOtherPaths(TimePoint now, DataCentreHandle lost);
  void ApplyLoss(TimePoint now, DataCentreState& state, bool is_lost);
  static bool TakeCheck(TimePoint now, DataCentreState& state);
  void SetUnreachable(TimePoint now, DataCentreHandle data_centre);
  static bool IsEvidence(const std::vector<Candidate>& failed,
                         const std::vector<Candidate>& candidates);
  void ProbeOthers(TimePoint now,
                   const Candidate& failed,
                   const std::vector<Candidate>& candidates);
  void AddProbe(TimePoint now, const Candidate& candidate);
  static bool TakePending(DataCentreState& state, UpstreamHandle upstream);
  void CountLateProbes(TimePoint now, DataCentreHandle data_centre);
  Duration ProbePause(const DataCentreState& state);

  RoutingViewPtr view;
  std::vector<DataCentreState> states;  ///< By index of the handle.
  std::vector<UpstreamHandle> probes;
  std::vector<ReachEvent> events;
  pcg32 random;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_UPSTREAM_REACH_H_

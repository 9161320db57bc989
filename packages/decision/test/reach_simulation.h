#ifndef BASILSILL_DECISION_TEST_REACH_SIMULATION_H_
#define BASILSILL_DECISION_TEST_REACH_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <pcg_random.hpp>

#include "basilsill/decision/entry.h"
#include "basilsill/decision/membership.h"
#include "basilsill/decision/reach_reports.h"
#include "basilsill/decision/upstream_reach.h"
#include "decision_fixture.h"

/// Simulation of VMs that accept and dispatch requests, in virtual time, while
/// VMs lose their paths to the upstreams of data centres. The paths between VMs
/// always work. Each VM has a table of the fleet, reports to its peers which
/// data centres it can't reach, and builds views as the control side does.

namespace basilsill {

/// What happens between a VM and the upstreams of a data centre.
enum class PathState : uint8_t {
  kOpen,
  kHangs,    ///< Nothing arrives, on connections old and new.
  kResets,   ///< Connections are reset once, new ones get no answer.
  kRefuses,  ///< Connections that are open work, new ones are refused.
  kStopped,  ///< Connections are reset once, new ones are refused.
  kCount
};

struct ReachSimulationOptions {
  uint32_t data_centres = 4;
  uint32_t vms = 13;        ///< In turn in each data centre.
  uint32_t upstreams = 12;  ///< In turn in each data centre.
  uint16_t slots = 2;
  double requests_per_second = 60;
  std::chrono::milliseconds request_duration{60};
  uint32_t services = 1;  ///< The upstreams belong to them in turn.
  /// Every second VM of a data centre is too small to dispatch for others. It
  /// has no links to other small VMs.
  bool has_small_vms = false;
  /// Time until the other VMs act on what a VM tells them.
  std::chrono::milliseconds report_delay{40};
  /// The window is short, so that budgets are settled when paths are lost.
  RepeatBudgetOptions repeats{0.2, 58, std::chrono::milliseconds(500)};
};

/// What the VMs have done since the start or the last reset.
struct ReachCounts {
  std::vector<uint32_t> views;  ///< By VM.
  /// Shards whose first owner was another one in the VM's previous view, by VM.
  std::vector<uint32_t> owner_changes;
  uint32_t reports = 0;   ///< Changes of its paths that a VM sent to its peers.
  uint32_t messages = 0;  ///< Sent for these, to each peer.
  uint64_t bytes = 0;
  /// Shards that a VM began to dispatch for.
  std::set<std::pair<uint32_t, ShardKey>> dispatched;
  /// Pairs of entry VM and dispatcher.
  std::set<std::pair<uint32_t, uint32_t>> links;
};

class ReachSimulation {
 public:
  ReachSimulation(uint64_t seed, const ReachSimulationOptions& options);

  void Run(Duration time);
  /// Makes no further requests, and runs until all have ended.
  void Finish();

  void SetPath(uint32_t vm, uint32_t data_centre, PathState state);
  /// Sets the paths of a VM to all data centres.
  void SetPaths(uint32_t vm, PathState state);
  /// Sets the paths of all VMs to a data centre.
  void SetDataCentre(uint32_t data_centre, PathState state);

  /// @returns the number of requests that ended without an answer although they
  /// were made later than `settled_after` after the first connection that
  /// failed since the last change of a path, and a VM reached the upstreams.
  size_t CountLost(Duration settled_after) const;
  /// @returns the number of requests that were made in such times.
  size_t CountSettled(Duration settled_after) const;

  /// @returns the number of requests made in that time that ended without an
  /// answer, or that took longer than `time`.
  size_t CountRefused(TimePoint from, TimePoint to) const;
  size_t CountSlower(TimePoint from, TimePoint to, Duration time) const;
  /// @returns the number of requests made in that time.
  size_t CountMade(TimePoint from, TimePoint to) const;

  void ResetCounts();
  const ReachCounts& counts() const { return this->count; }
  TimePoint time() const { return this->now; }
  /// @returns when a connection failed first since the last change of a path.
  TimePoint first_failure() const { return this->failed_connect_at; }

  size_t requests() const { return this->open_requests.size(); }
  size_t connects() const { return this->connect_count; }
  size_t failed_connects() const { return this->failed_connect_count; }
  pcg32& rng() { return this->random; }
  const ReachSimulationOptions& settings() const { return this->options; }

 private:
  struct Vm {
    std::unique_ptr<Membership> members;
    ReachReports reports;
    uint64_t built_membership = 0;
    RoutingViewPtr view;
    TimePoint tick_at;
    bool is_small = false;
    std::unique_ptr<EntryRouter> router;
    std::unique_ptr<Dispatcher> dispatcher;
    std::unique_ptr<UpstreamReach> reach;
    std::vector<PathState> paths;  ///< By data centre.
    std::vector<uint32_t> kept;    ///< Idle connections, by upstream.
  };
  struct Request {
    uint32_t entry_vm = 0;
    EntryHandle entry;
    Target target;
    uint32_t hops = 0;
    TimePoint made;
    TimePoint ended = kNever;
    /// First connection that failed since the last change; kNever if none did.
    TimePoint failed_connect_at = kNever;
    TimePoint changed_at;
    bool can_be_served = false;
    bool finished = false;
    bool answered = false;
  };
  /// What a connection or a request on it comes to, and when.
  struct Outcome {
    bool on_new_connection = false;
    bool connected = true;
    Duration time{0};
    AttemptEnd end = AttemptEnd::kCount;  ///< kCount: nothing comes.
  };
  struct Attempt {
    uint32_t vm = 0;
    uint64_t cookie = 0;
    AttemptHandle attempt;
    UpstreamHandle upstream;
    TimePoint ends;
    Outcome outcome;
  };

  void CreateVm(uint32_t vm);
  VmHello HelloOf(uint32_t vm) const;
  void Rebuild(uint32_t vm);
  std::shared_ptr<RoutingView> BuildView(uint32_t vm);
  void CountView(uint32_t vm, const RoutingView* before);
  void TickControl(uint32_t vm);
  void Perform(uint32_t vm, const ReachStep& step);
  void SendReports(uint32_t vm);
  std::vector<std::string> NamesOf(
      uint32_t vm,
      const std::vector<DataCentreHandle>& handles) const;
  std::vector<DataCentreHandle> HandlesOf(
      uint32_t vm,
      const std::vector<std::string>& names);
  bool AreLinked(uint32_t vm, uint32_t other) const;
  DataCentreHandle DataCentreOf(uint32_t vm, UpstreamHandle upstream) const;
  void Step();
  void Offer();
  void Post(Duration delay, std::function<void()> task);
  void Route(uint64_t id);
  void SendToDispatcher(uint64_t id);
  void SendToUpstream(uint64_t id);
  void HandleActions(uint32_t vm);
  void HandleReach(uint32_t vm);
  void Report(uint32_t vm);
  void Probe(uint32_t vm, UpstreamHandle upstream);
  void OnConnect(uint32_t vm, UpstreamHandle upstream, bool connected);
  Outcome Draw(uint32_t vm, UpstreamHandle upstream);
  PathState& PathTo(uint32_t vm, UpstreamHandle upstream);
  void BreakConnections(uint32_t vm, uint32_t data_centre, PathState state);
  void EndAttempts();
  void End(const Attempt& attempt);
  void SendAnswer(uint32_t vm, uint64_t cookie, Refusal refusal, uint8_t sends);
  void Reply(uint64_t id, uint32_t hop, Refusal refusal, uint8_t sends);
  void OnReply(uint64_t id, Refusal refusal, uint8_t sends);
  bool IsSettled(const Request& request, Duration settled_after) const;

  ReachSimulationOptions options;
  pcg32 random;
  TimePoint now{std::chrono::seconds(100)};
  TimePoint changed_at{};
  TimePoint failed_connect_at = kNever;
  std::vector<Vm> vms;
  std::map<uint64_t, Request> open_requests;
  std::vector<Attempt> attempts;
  std::multimap<TimePoint, std::function<void()>> messages;
  ReachCounts count;
  size_t connect_count = 0;
  size_t failed_connect_count = 0;
  uint64_t next_id = 1;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_TEST_REACH_SIMULATION_H_

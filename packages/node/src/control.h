#ifndef BASILSILL_NODE_CONTROL_H_
#define BASILSILL_NODE_CONTROL_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "basilsill/decision/configuration_status.h"
#include "basilsill/decision/membership.h"
#include "basilsill/decision/reach_reports.h"
#include "basilsill/decision/view_build_throttle.h"
#include "basilsill/decision/view_builder.h"
#include "basilsill/node/settings.h"
#include "basilsill/node/state_source.h"
#include "control_links.h"
#include "metrics.h"
#include "quota_host.h"

/// The control side of a node: keeps links to peers and publishes a routing
/// view when the state or the membership has changed. Runs on one thread.

namespace basilsill {

struct ControlOptions {
  uint64_t incarnation = 0;
  std::vector<Endpoint> workers;  ///< Where this node's workers accept links.
  /// As in Installation.
  std::chrono::milliseconds api_key_max_age{0};
  std::vector<std::string> data_centres;
};

/// Callbacks from the control side to the rest of the node.
struct ControlHandlers {
  /// Gives the workers a view. `on_in_force` may be null; it is called on the
  /// control thread once all workers use the view.
  std::function<void(const RoutingViewPtr& view,
                     const std::function<void()>& on_in_force)>
      publish;
  /// Peers reported crashes of upstreams.
  std::function<void(const std::vector<CrashReport>&)> on_crashes;
  /// Other VMs reported rate limits.
  std::function<void(const std::vector<RateLimitReport>&)> on_rate_limits;
  /// Other VMs have reported lost paths to upstreams, or no longer do.
  std::function<void(const PathDoubts&)> on_path_doubts;
  /// The configuration of the published view is known to have been the newest
  /// at `as_of`.
  std::function<void(LeaseTime as_of)> on_as_of;
  /// A lender has answered the quota request of a worker.
  std::function<void(uint16_t worker, const QuotaAnswer&)> on_quota_answer;
};

/// Creates the source of state, given the endpoint of control links.
using MakeStateSource =
    std::function<Result<std::unique_ptr<StateSource>>(const Endpoint&)>;

class Control final : private StateSourceHost {
 public:
  /// @param settings Must outlive the result, as must `counts`.
  static Result<std::unique_ptr<Control>> Create(
      IoContext& context,
      const Settings& settings,
      const ControlOptions& options,
      ControlHandlers handlers,
      ControlMetrics& counts,
      const MakeStateSource& make_source);

  void Start();
  void Stop();

  /// Notifies peers that this VM is leaving.
  void Leave();

  /// Reports to peers the upstream crashes that this node's workers saw.
  void SendCrashes(std::vector<CrashReport> crashes);

  /// Sends each VM the rate limits that are addressed to it.
  void SendRateLimits(const std::vector<RateLimitUpdate>& updates);

  /// Takes what a worker reports of its paths to upstreams.
  void ReportPaths(uint16_t worker, PathReport paths);

  /// Requests credits of teams' quotas for a worker.
  void RequestQuotaCredits(uint16_t worker, QuotaRequest request) {
    this->quotas.RequestCredits(worker, std::move(request));
  }

  /// @returns true while there is a view with which callers can be served.
  bool ready() const {
    return this->current_view != nullptr && this->source->ready() &&
           this->api_keys_verified;
  }
  const RoutingViewPtr& view() const { return this->current_view; }
  const Membership& membership() const override { return *this->members; }
  const std::string& vm_name() const { return this->settings.vm.name; }
  const InForceTable& in_force() const { return this->in_force_table; }
  Endpoint endpoint() const { return this->links.endpoint(); }

 private:
  Control(IoContext& context,
          const Settings& settings,
          const ControlOptions& options,
          ControlHandlers handlers,
          ControlMetrics& counts,
          std::unique_ptr<StateSource> source,
          Acceptor acceptor);

  // StateSourceHost
  void OnStateChanged() override;
  void OnVmList(uint64_t version, const std::vector<ListedVm>& vms) override;
  bool SendToPeer(VmHandle vm, const wire::PeerMessage& message) override;
  std::vector<VmHandle> LinkedPeers() const override {
    return this->links.Linked();
  }
  void OnPlatformCall(PlatformCall purpose) override {
    this->counts.platform_calls[static_cast<size_t>(purpose)].Add();
  }
  void OnStoreEra(uint64_t era) override {
    this->counts.store_era.Set(static_cast<int64_t>(era));
  }
  void OnRecordIgnored(FailureKind reason) override {
    this->counts.records_ignored[static_cast<size_t>(reason)].Add();
  }

  ControlLinkHandlers MakeLinkHandlers();
  QuotaHostHandlers MakeQuotaHandlers();
  boost::asio::awaitable<void> TickLoop();
  void Tick(TimePoint now);
  void CountVms();
  void PumpMembership();
  void Perform(const MembershipAction& action);
  void SetNeeds(TimePoint now);
  void CollectNeeds();
  std::set<VmHandle> CollectWorkers() const;
  void RebuildIfChanged();
  void LogView(bool has_new_offset) const;
  std::function<void()> MakeInForceHandler() const;
  void OnLinked(VmHandle vm);
  void ApplyReach(VmHandle from, const wire::Heartbeat& heartbeat);
  void Perform(const ReachStep& step);
  boost::asio::awaitable<void> TickReachAt(TimePoint due);
  std::vector<DataCentreHandle> InternDataCentres(
      const std::vector<std::string>& names);
  std::vector<std::string> NamesOf(
      const std::vector<DataCentreHandle>& handles) const;
  void OnHeartbeat(VmHandle from, const wire::Heartbeat& heartbeat);
  void OnMessage(VmHandle from, const wire::PeerMessage& message);
  void PublishAsOf();
  void CheckApiKeyAge(LeaseTime now);
  wire::Heartbeat MakeHeartbeat(bool answer_wanted) const;

  IoContext& context;
  const Settings& settings;
  uint64_t incarnation;
  ControlHandlers handlers;
  ControlMetrics& counts;
  std::unique_ptr<StateSource> source;
  std::unique_ptr<Membership> members;
  ControlLinks links;
  QuotaHost quotas;
  InForceTable in_force_table;
  std::unique_ptr<ViewBuilder> builder;
  RoutingViewPtr current_view;
  std::vector<PeerNeed> needs;
  /// View and membership version from which `needs` was collected.
  RoutingViewPtr needs_view;
  uint64_t needs_membership = 0;
  uint64_t built_membership = 0;
  uint64_t counted_membership = 0;
  uint64_t built_views = 0;
  ViewBuildThrottle build_throttle;
  std::chrono::milliseconds api_key_max_age;
  LeaseTime published_as_of = LeaseTime::min();
  /// False while there are API keys that can't be relied on, because the
  /// configuration may be outdated.
  bool api_keys_verified = true;
  ReachReports reach;
  bool leaving = false;
  bool configuration_changed = false;
  bool stopped = false;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_CONTROL_H_

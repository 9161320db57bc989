#ifndef BASILSILL_NODE_CONTROL_H_
#define BASILSILL_NODE_CONTROL_H_

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "basilsill/decision/configuration_status.h"
#include "basilsill/decision/membership.h"
#include "basilsill/decision/view_build_throttle.h"
#include "basilsill/decision/view_builder.h"
#include "basilsill/node/settings.h"
#include "basilsill/node/state_source.h"
#include "control_links.h"
#include "metrics.h"
#include "quota_host.h"

/// The control side of a node: keeps links to peers, and publishes a routing
/// view whenever its source of state or membership changed. All on one thread.

namespace basilsill {

struct ControlOptions {
  uint64_t incarnation = 0;
  std::vector<Endpoint> workers;  ///< Where this node's workers take links.
  /// As in Installation.
  std::chrono::milliseconds api_key_max_age{0};
  std::vector<std::string> data_centres;
};

/// What the control side tells the rest of the node.
struct ControlHandlers {
  std::function<void(RoutingViewPtr)> publish;
  /// Deaths of upstreams that peers saw.
  std::function<void(const std::vector<CrashReport>&)> on_crashes;
  /// Other VMs heard of rate limits.
  std::function<void(const std::vector<RateLimitReport>&)> on_rate_limits;
  /// The configuration of the published view certainly was the newest then.
  std::function<void(LeaseTime as_of)> on_as_of;
  /// A lender answers what a worker asked.
  std::function<void(uint16_t worker, const QuotaAnswer&)> on_quota_answer;
};

/// Makes the source of state, once the endpoint of control links is known.
using MakeStateSource =
    std::function<Result<std::unique_ptr<StateSource>>(const Endpoint&)>;

class Control final : private StateSourceHost {
 public:
  /// @param settings Must outlive the control side, as must `counts`.
  static Result<std::unique_ptr<Control>> Create(
      IoContext& context,
      const Settings& settings,
      const ControlOptions& options,
      ControlHandlers handlers,
      ControlMetrics& counts,
      const MakeStateSource& make_source);

  void Start();
  void Stop();

  /// Tells peers that this VM leaves.
  void Leave();

  /// Tells peers of deaths of upstreams that this node's workers saw.
  void SendCrashes(std::vector<CrashReport> crashes);

  /// Tells each VM what it has to know of rate limits.
  void SendRateLimits(const std::vector<RateLimitUpdate>& news);

  /// A worker needs credits of teams' quotas.
  void RequestQuotaCredits(uint16_t worker, QuotaRequest request) {
    this->quotas.Ask(worker, std::move(request));
  }

  /// @returns true while there is a view that callers can be served by.
  bool ready() const {
    return this->current_view != nullptr && this->source->ready() &&
           this->api_keys_verified;
  }
  const RoutingViewPtr& view() const { return this->current_view; }
  const Membership& membership() const override { return *this->members; }
  const std::string& vm_name() const { return this->settings.vm.name; }
  const InForceTable& in_force() const { return this->force; }
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
  void OnLinked(VmHandle vm);
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
  InForceTable force;
  std::unique_ptr<ViewBuilder> builder;
  RoutingViewPtr current_view;
  std::vector<PeerNeed> needs;
  /// What `needs` were collected from.
  RoutingViewPtr needs_of_view;
  uint64_t needs_of_membership = 0;
  uint64_t built_membership = 0;
  uint64_t counted_membership = 0;
  uint64_t built_views = 0;
  ViewBuildThrottle pace;
  std::chrono::milliseconds api_key_max_age;
  LeaseTime published_as_of = LeaseTime::min();
  /// False while API keys can't be relied on and there are some.
  bool api_keys_verified = true;
  bool leaving = false;
  bool configuration_changed = false;
  bool stopped = false;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_CONTROL_H_

#include "rig.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <random>
#include <set>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <pcg_random.hpp>

#include "callers.h"
#include "fake_store.h"
#include "fleet.h"
#include "platform_text.h"
#include "sleep.h"
#include "upstreams.h"

namespace basilsill::soak {
namespace {

namespace asio = boost::asio;
using adapter::test::FakeStore;
using adapter::test::RouteText;
using adapter::test::StoreMode;
using adapter::test::TeamText;
using std::chrono::milliseconds;

constexpr milliseconds kStartTimeout{15000};
constexpr milliseconds kStartPollInterval{50};
constexpr milliseconds kLagInterval{20};
// Time after the end of the traffic in which open requests can be answered.
constexpr milliseconds kFinalAnswersTime{3000};
// With the factor and slack of the settings, the bound for a cold upstream is
// sixteen requests in any second.
constexpr double kColdRate = 5.6;
constexpr char kToggledRoute[] = "extra";
// When the team's key is revoked, and for how long beyond the revocation bound.
constexpr milliseconds kRevokedAfter{2000};
constexpr milliseconds kRevokedFor{4000};
// When idle connections use up the descriptors of a node, and for how long.
constexpr milliseconds kFloodedAfter{3500};
constexpr milliseconds kFloodedFor{3500};
// Added to the duration of a cut, as its promise counts from three seconds on.
constexpr milliseconds kExtraCutTime{4500};
// Restores of the store: when the next copy is made, how old it gets, how long
// the store is away, and when the operator writes again.
constexpr milliseconds kMaxCopyPause{3000};
constexpr milliseconds kMaxCopyAge{5000};
constexpr milliseconds kMaxRestoreTime{1500};
constexpr milliseconds kMaxRewriteDelay{400};

// Upstreams whose answers are faulty: the shares of their requests, answers and
// health checks. Most requests are served all the same.
constexpr double kRejectingShare = 0.1;
constexpr double kUnprovenShare = 0.01;
constexpr double kCopyingShare = 0.1;
constexpr double kIllShare = 0.2;

class Rig {
 public:
  Rig(const Plan& plan, const RigOptions& options)
      : plan(plan),
        options(options),
        upstreams(this->io,
                  this->store,
                  this->observations,
                  plan.seed,
                  MakeBehaviour(options)),
        fleet(this->io, this->MakeFleetOptions(), this->observations),
        callers(this->io,
                this->fleet,
                this->MakeCallersOptions(),
                this->observations),
        restore_random(plan.seed) {
    this->upstreams.SetClientLinks([this](const ConnectionPorts& ports) {
      this->fleet.FindConnections();
      return this->fleet.UpstreamLink(ports);
    });
  }

  Observations Run() {
    if (this->options.restores) {
      // Nodes start in an era of the store, not in one without.
      this->store.KeepCopy();
      this->store.RestoreCopy();
    }
    this->PublishConfiguration();
    this->fleet.Start();
    asio::co_spawn(this->io, this->RunTraffic(), asio::detached);
    asio::co_spawn(this->io, this->MeasureLag(), asio::detached);
    this->io.run();
    return std::move(this->observations);
  }

 private:
  static adapter::test::FakeUpstreamBehaviour MakeBehaviour(
      const RigOptions& options) {
    adapter::test::FakeUpstreamBehaviour usual;
    if (options.faulty_answers) {
      usual.rejecting = kRejectingShare;
      usual.unproven = kUnprovenShare;
      usual.copying = kCopyingShare;
      usual.ill = kIllShare;
    }
    return usual;
  }

  FleetOptions MakeFleetOptions() const {
    FleetOptions fleet;
    fleet.program = this->options.program;
    fleet.directory = this->options.directory;
    fleet.nodes = this->plan.nodes;
    fleet.store = this->store.endpoint();
    fleet.bounds = this->options.bounds;
    return fleet;
  }

  CallersOptions MakeCallersOptions() const {
    CallersOptions callers;
    callers.callers = this->options.callers;
    callers.seed = this->plan.seed;
    return callers;
  }

  // Publishes the operator's configuration, with or without the toggled route.
  void PublishConfiguration() {
    const auto make = [this](const char* name, const char* kind,
                             size_t service) {
      return ToText(RouteText{name, kind, ServiceNames()[service],
                              this->options.bounds.timeout});
    };
    std::vector<std::string> routes = {make("levels", "safe", 0),
                                       make("pickups", "unsafe", 1),
                                       make("files", "download", 0)};
    if (this->has_toggled_route) {
      routes.push_back(make(kToggledRoute, "safe", 0));
    }
    const TimePoint sent = MonotonicClock::now();
    this->published = adapter::test::WithTeams(
        adapter::test::WithColdUpstreams(
            adapter::test::ConfigurationText(VersionText(++this->version),
                                             routes, ServiceNames()),
            kColdRate),
        this->MakeTeams());
    this->store.Put(adapter::test::kOperatorTopic,
                    adapter::test::kConfigurationKey, this->published);
    this->observations.routes.push_back(
        {kToggledRoute, this->has_toggled_route, sent, MonotonicClock::now()});
  }

  std::vector<TeamText> MakeTeams() const {
    TeamText limited{"limited", {KeyOf(SoakTeam::kLimited)}};
    limited.rate = this->options.bounds.quota_rate;
    limited.burst = this->options.bounds.quota_burst;
    TeamText revoked{"revoked", {}};
    if (!this->is_key_revoked) {
      revoked.keys.push_back(KeyOf(SoakTeam::kRevoked));
    }
    return {{"plain", {KeyOf(SoakTeam::kPlain)}}, limited, revoked};
  }

  // Not a step of the plan, so that the plan of each seed stays the same.
  asio::awaitable<void> RevokeKey() {
    co_await Sleep(kRevokedAfter);
    this->is_key_revoked = true;
    this->PublishConfiguration();
    const size_t row = this->observations.keys.size();
    this->observations.keys.push_back(
        {static_cast<size_t>(SoakTeam::kRevoked), MonotonicClock::now()});
    co_await Sleep(this->options.bounds.revoke + kRevokedFor);
    if (!this->is_finished) {
      this->observations.keys[row].restored = MonotonicClock::now();
      this->is_key_revoked = false;
      this->PublishConfiguration();
    }
  }

  // Not a step of the plan either.
  asio::awaitable<void> Flood() {
    co_await Sleep(kFloodedAfter);
    co_await this->fleet.Flood(this->plan.seed, kFloodedFor);
  }

  // Formats a version as eight hexadecimal digits. Successive versions differ
  // by more than one.
  static std::string VersionText(uint64_t version) {
    constexpr uint64_t base = 0x10000000;
    constexpr uint64_t step = 3;
    std::array<char, 2 * sizeof(uint64_t)> text{};
    const auto [end, error] = std::to_chars(
        text.data(), text.data() + text.size(), base + version * step, 16);
    return {text.data(), end};
  }

  // The delay of timers shows how busy the machine is.
  asio::awaitable<void> MeasureLag() {
    while (!this->is_finished) {
      const TimePoint due = MonotonicClock::now() + kLagInterval;
      co_await Sleep(kLagInterval);
      this->observations.lag =
          std::max(this->observations.lag, MonotonicClock::now() - due);
    }
  }

  asio::awaitable<void> RunTraffic() {
    const TimePoint limit = MonotonicClock::now() + kStartTimeout;
    while (!this->fleet.IsAnyReady() && MonotonicClock::now() < limit) {
      co_await Sleep(kStartPollInterval);
    }
    this->callers.Start();
    asio::co_spawn(this->io, this->RevokeKey(), asio::detached);
    asio::co_spawn(this->io, this->Flood(), asio::detached);
    if (this->options.restores) {
      asio::co_spawn(this->io, this->RestoreStore(), asio::detached);
    }
    const TimePoint start = MonotonicClock::now();
    for (const Step& step : this->plan.steps) {
      co_await Sleep(start + step.at - MonotonicClock::now());
      asio::co_spawn(this->io, this->InjectFault(step), asio::detached);
    }
    co_await Sleep(start + this->plan.duration - MonotonicClock::now());
    this->callers.Stop();
    co_await Sleep(kFinalAnswersTime);
    this->Finish();
  }

  void Finish() {
    this->is_finished = true;
    this->observations.ended = MonotonicClock::now();
    this->fleet.Stop();
    this->upstreams.Stop();
    this->io.stop();
  }

  asio::awaitable<void> InjectFault(Step step) {
    if (step.fault <= Fault::kAllKill ||
        step.fault == Fault::kStoreRefusesSome) {
      co_await this->fleet.InjectFault(step);
    } else if (step.fault < Fault::kStoreRefusesSome) {
      co_await this->InjectStoreFault(step);
    } else if (step.fault == Fault::kRouteChange) {
      this->has_toggled_route = !this->has_toggled_route;
      this->PublishConfiguration();
    } else if (step.fault == Fault::kDataCentreDrain) {
      co_await this->Drain(step);
    } else if (step.fault >= Fault::kCutSilent) {
      co_await this->Cut(step);
    } else {
      co_await this->upstreams.InjectFault(step);
    }
  }

  // Drains of different data centres may overlap. A data centre that is already
  // drained is skipped.
  asio::awaitable<void> Drain(Step step) {
    const size_t data_centre = step.target % DataCentreNames().size();
    if (!this->drained.insert(data_centre).second) {
      co_return;
    }
    const std::string key =
        adapter::test::DrainKey(DataCentreNames()[data_centre]);
    this->store.Put(adapter::test::kOperatorTopic, key, "{}");
    const size_t row = this->observations.drains.size();
    this->observations.drains.push_back({data_centre, MonotonicClock::now()});
    co_await Sleep(step.duration);
    if (!this->is_finished) {
      this->observations.drains[row].lifted = MonotonicClock::now();
      this->store.Remove(adapter::test::kOperatorTopic, key);
      this->drained.erase(data_centre);
    }
  }

  void ApplyCuts(bool resets) {
    this->fleet.FindConnections();
    this->upstreams.ApplyClientLinks(
        [this](const ConnectionPorts& ports) {
          return this->fleet.UpstreamLink(ports);
        },
        resets);
  }

  asio::awaitable<void> Cut(Step step) {
    const std::vector<size_t> nodes = this->fleet.BeginCut(step);
    if (nodes.empty()) {
      co_return;
    }
    const size_t row = this->observations.BeginDisturbance(
        DisturbanceKind::kUpstream, std::nullopt);
    const size_t first = this->observations.cuts.size();
    for (const size_t node : nodes) {
      this->observations.cuts.push_back({node, MonotonicClock::now()});
    }
    this->ApplyCuts(step.fault == Fault::kCutReset);
    co_await Sleep(step.duration + kExtraCutTime);
    if (this->is_finished) {
      co_return;
    }
    this->fleet.EndCut(nodes);
    this->ApplyCuts(false);
    for (size_t i = 0; i < nodes.size(); ++i) {
      this->observations.cuts[first + i].to = MonotonicClock::now();
    }
    this->observations.EndDisturbance(row);
  }

  asio::awaitable<void> InjectStoreFault(const Step& step) {
    if (this->has_store_fault) {
      co_return;
    }
    this->has_store_fault = true;
    const size_t row = this->observations.BeginDisturbance(
        DisturbanceKind::kStore, std::nullopt);
    this->ApplyStoreFault(step.fault);
    co_await Sleep(step.duration);
    this->store.SetMode(StoreMode::kAvailable);
    this->fleet.SetStoreLinks(LinkState::kNormal);
    this->observations.EndDisturbance(row);
    this->has_store_fault = false;
  }

  milliseconds DrawTime(milliseconds longest) {
    return milliseconds(std::uniform_int_distribution<int64_t>(
        0, longest.count())(this->restore_random));
  }

  // Not steps of the plan, so that the plan of each seed stays the same.
  asio::awaitable<void> RestoreStore() {
    while (!this->is_finished) {
      co_await Sleep(this->DrawTime(kMaxCopyPause));
      this->store.KeepCopy();
      co_await Sleep(this->DrawTime(kMaxCopyAge));
      if (!this->is_finished && !this->has_store_fault) {
        co_await this->RestoreCopy();
      }
    }
  }

  asio::awaitable<void> RestoreCopy() {
    this->has_store_fault = true;
    const size_t row = this->observations.BeginDisturbance(
        DisturbanceKind::kStore, std::nullopt);
    this->store.SetMode(StoreMode::kRefusing);
    co_await Sleep(this->DrawTime(kMaxRestoreTime));
    this->store.RestoreCopy();
    this->store.SetMode(StoreMode::kAvailable);
    co_await Sleep(this->DrawTime(kMaxRewriteDelay));
    if (this->is_finished) {
      co_return;
    }
    this->WriteAgain();
    asio::co_spawn(this->io, this->upstreams.WriteEntriesAgain(),
                   asio::detached);
    this->observations.EndDisturbance(row);
    this->has_store_fault = false;
  }

  // The operator writes again what a restore of the store may have lost.
  void WriteAgain() {
    this->store.Put(adapter::test::kOperatorTopic,
                    adapter::test::kConfigurationKey, this->published);
    for (size_t i = 0; i < DataCentreNames().size(); ++i) {
      const std::string key = adapter::test::DrainKey(DataCentreNames()[i]);
      if (this->drained.contains(i)) {
        this->store.Put(adapter::test::kOperatorTopic, key, "{}");
      } else {
        this->store.Remove(adapter::test::kOperatorTopic, key);
      }
    }
  }

  void ApplyStoreFault(Fault fault) {
    switch (fault) {
      case Fault::kStoreDown:
        this->store.SetMode(StoreMode::kRefusing);
        break;
      case Fault::kStoreBusy:
        this->store.SetMode(StoreMode::kBusy);
        break;
      case Fault::kStoreSilent:
        this->store.SetMode(StoreMode::kSilent);
        break;
      default:
        this->fleet.SetStoreLinks(LinkState::kSlow);
        break;
    }
  }

  Plan plan;
  RigOptions options;
  Observations observations;
  FakeStore store;
  asio::io_context io;
  Upstreams upstreams;
  Fleet fleet;
  Callers callers;
  uint64_t version = 0;
  std::string published;  ///< Newest configuration.
  pcg32 restore_random;
  bool has_toggled_route = true;
  bool is_key_revoked = false;
  std::set<size_t> drained;  ///< Data centres drained at present.
  bool has_store_fault = false;
  bool is_finished = false;
};

}  // namespace

Observations RunPlan(const Plan& plan, const RigOptions& options) {
  return Rig(plan, options).Run();
}

}  // namespace basilsill::soak

#include "rig.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

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

constexpr milliseconds kStartLimit{15000};
constexpr milliseconds kStartLook{50};
constexpr milliseconds kMeterInterval{20};
// What is open when traffic ends has this long to be answered.
constexpr milliseconds kLastAnswers{3000};
// With the settings' factor and slack, sixteen requests in any second.
constexpr double kColdRate = 5.6;
constexpr char kMovingRoute[] = "extra";
// When a team's key is taken away, and for how long beyond the bound.
constexpr milliseconds kRevokedAfter{2000};
constexpr milliseconds kRevokedFor{4000};
// When idle connections fill a node, and for how long.
constexpr milliseconds kFloodedAfter{3500};
constexpr milliseconds kFloodedFor{3500};

class Rig {
 public:
  Rig(const Plan& plan, const RigOptions& options)
      : plan(plan),
        options(options),
        upstreams(this->io, this->store, this->seen, plan.seed),
        fleet(this->io, this->MakeFleetOptions(), this->seen),
        callers(this->io, this->fleet, this->MakeCallersOptions(), this->seen) {
  }

  Observations Run() {
    this->Configure();
    this->fleet.Start();
    asio::co_spawn(this->io, this->Carry(), asio::detached);
    asio::co_spawn(this->io, this->Meter(), asio::detached);
    this->io.run();
    return std::move(this->seen);
  }

 private:
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

  // The operator's configuration, with the moving route or without it.
  void Configure() {
    const auto make = [this](const char* name, const char* kind,
                             size_t service) {
      return ToText(RouteText{name, kind, ServiceNames()[service],
                              this->options.bounds.timeout});
    };
    std::vector<std::string> routes = {make("levels", "safe", 0),
                                       make("pickups", "unsafe", 1),
                                       make("files", "download", 0)};
    if (this->has_moving_route) {
      routes.push_back(make(kMovingRoute, "safe", 0));
    }
    const TimePoint sent = MonotonicClock::now();
    this->store.Put(
        adapter::test::kOperatorTopic, adapter::test::kConfigurationKey,
        adapter::test::WithTeams(
            adapter::test::WithColdUpstreams(
                adapter::test::ConfigurationText(VersionText(++this->version),
                                                 routes, ServiceNames()),
                kColdRate),
            this->MakeTeams()));
    this->seen.routes.push_back(
        {kMovingRoute, this->has_moving_route, sent, MonotonicClock::now()});
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

  // Beside the plan, so that a seed's plan stays what it was.
  asio::awaitable<void> Revoke() {
    co_await Sleep(kRevokedAfter);
    this->is_key_revoked = true;
    this->Configure();
    const size_t row = this->seen.keys.size();
    this->seen.keys.push_back(
        {static_cast<size_t>(SoakTeam::kRevoked), MonotonicClock::now()});
    co_await Sleep(this->options.bounds.revoke + kRevokedFor);
    if (!this->over) {
      this->seen.keys[row].given_back = MonotonicClock::now();
      this->is_key_revoked = false;
      this->Configure();
    }
  }

  // Beside the plan as well.
  asio::awaitable<void> Flood() {
    co_await Sleep(kFloodedAfter);
    co_await this->fleet.Flood(this->plan.seed, kFloodedFor);
  }

  // Eight hexadecimal digits; versions grow in steps.
  static std::string VersionText(uint64_t version) {
    constexpr uint64_t base = 0x10000000;
    constexpr uint64_t step = 3;
    std::array<char, 2 * sizeof(uint64_t)> text{};
    const auto [end, error] = std::to_chars(
        text.data(), text.data() + text.size(), base + version * step, 16);
    return {text.data(), end};
  }

  // How late timers come tells how busy the machine is.
  asio::awaitable<void> Meter() {
    while (!this->over) {
      const TimePoint due = MonotonicClock::now() + kMeterInterval;
      co_await Sleep(kMeterInterval);
      this->seen.lag = std::max(this->seen.lag, MonotonicClock::now() - due);
    }
  }

  asio::awaitable<void> Carry() {
    const TimePoint limit = MonotonicClock::now() + kStartLimit;
    while (!this->fleet.IsAnyReady() && MonotonicClock::now() < limit) {
      co_await Sleep(kStartLook);
    }
    this->callers.Start();
    asio::co_spawn(this->io, this->Revoke(), asio::detached);
    asio::co_spawn(this->io, this->Flood(), asio::detached);
    const TimePoint start = MonotonicClock::now();
    for (const Step& step : this->plan.steps) {
      co_await Sleep(start + step.at - MonotonicClock::now());
      asio::co_spawn(this->io, this->Harm(step), asio::detached);
    }
    co_await Sleep(start + this->plan.lasts - MonotonicClock::now());
    this->callers.Stop();
    co_await Sleep(kLastAnswers);
    this->Finish();
  }

  void Finish() {
    this->over = true;
    this->seen.ended = MonotonicClock::now();
    this->fleet.Stop();
    this->upstreams.Stop();
    this->io.stop();
  }

  asio::awaitable<void> Harm(Step step) {
    if (step.fault <= Fault::kAllKill ||
        step.fault == Fault::kStoreRefusesSome) {
      co_await this->fleet.Harm(step);
    } else if (step.fault < Fault::kStoreRefusesSome) {
      co_await this->HarmStore(step);
    } else if (step.fault == Fault::kRouteChange) {
      this->has_moving_route = !this->has_moving_route;
      this->Configure();
    } else if (step.fault == Fault::kDataCentreDrain) {
      co_await this->Drain(step);
    } else {
      co_await this->upstreams.Harm(step);
    }
  }

  // Several may overlap; one that is drained already is left alone.
  asio::awaitable<void> Drain(Step step) {
    const size_t data_centre = step.target % DataCentreNames().size();
    if (!this->drained.insert(data_centre).second) {
      co_return;
    }
    const std::string key =
        adapter::test::DrainKey(DataCentreNames()[data_centre]);
    this->store.Put(adapter::test::kOperatorTopic, key, "{}");
    const size_t row = this->seen.drains.size();
    this->seen.drains.push_back({data_centre, MonotonicClock::now()});
    co_await Sleep(step.lasts);
    if (!this->over) {
      this->seen.drains[row].taken_back = MonotonicClock::now();
      this->store.Remove(adapter::test::kOperatorTopic, key);
      this->drained.erase(data_centre);
    }
  }

  asio::awaitable<void> HarmStore(const Step& step) {
    if (this->store_is_harmed) {
      co_return;
    }
    this->store_is_harmed = true;
    const size_t row =
        this->seen.BeginDisturbance(DisturbanceKind::kStore, std::nullopt);
    this->SetStore(step.fault);
    co_await Sleep(step.lasts);
    this->store.SetMode(StoreMode::kWell);
    this->fleet.SetStoreLinks(LinkState::kWell);
    this->seen.EndDisturbance(row);
    this->store_is_harmed = false;
  }

  void SetStore(Fault fault) {
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
  Observations seen;
  FakeStore store;
  asio::io_context io;
  Upstreams upstreams;
  Fleet fleet;
  Callers callers;
  uint64_t version = 0;
  bool has_moving_route = true;
  bool is_key_revoked = false;
  std::set<size_t> drained;  ///< Data centres, now.
  bool store_is_harmed = false;
  bool over = false;
};

}  // namespace

Observations RunPlan(const Plan& plan, const RigOptions& options) {
  return Rig(plan, options).Run();
}

}  // namespace basilsill::soak

#include "model/flows.h"
#include "model/scenarios.h"

namespace basilsill::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStragglerPeriod = milliseconds(300);
constexpr double kStragglerFactor = 8;
constexpr double kBurstFactor = 3;
constexpr double kNearSaturation = 0.9;

/// Rate limit of the noisy team and load of the quiet team, as a share of the
/// slots' capacity.
constexpr double kTeamShare = 0.25;

/// Burst of the rate limit, in seconds of its rate.
constexpr double kQuotaBurst = 0.5;

}  // namespace

Scenario MakeEvenLoad(const Deployment& deployment, double load) {
  Scenario scenario;
  scenario.deployment = deployment;
  scenario.flows = MixedFlows(deployment, load);
  // Near saturation queue lengths change slowly, so a longer run is needed.
  scenario.length = load > kNearSaturation ? seconds(40) : seconds(15);
  return scenario;
}

Scenario MakeBurst(const Deployment& deployment, double load) {
  Scenario scenario = MakeEvenLoad(deployment, load);
  for (Flow& flow : scenario.flows) {
    if (flow.measured) {
      flow.burst_factor = kBurstFactor;
    }
  }
  return scenario;
}

/// In each period, another random instance of the readings service is slow.
Scenario MakeStraggler(const Deployment& deployment, double load) {
  Scenario scenario = MakeReadings(deployment, load);
  scenario.length = seconds(30);
  const std::vector<size_t>& all =
      deployment.services.at(kReadingsService).instances;
  Random random(scenario.seed);
  size_t slow = all.front();
  for (Duration at{0}; at < scenario.warm_up + scenario.length;
       at += kStragglerPeriod) {
    const size_t next = all[DrawIndex(random, all.size())];
    scenario.disturbances.push_back(
        {at, [slow, next](SimulatedCluster& cluster) {
           cluster.upstreams().SetSlowdown(slow, 1);
           cluster.upstreams().SetSlowdown(next, kStragglerFactor);
         }});
    slow = next;
  }
  return scenario;
}

/// After 1 s without traffic all teams start at once, without open connections
/// to upstreams.
Scenario MakeSimultaneousStart(const Deployment& deployment) {
  Scenario scenario;
  scenario.deployment = deployment;
  scenario.models_connect_time = true;
  scenario.length = seconds(3);
  for (size_t i = 0; i < deployment.services.size(); ++i) {
    scenario.flows.push_back(MakeFlow("reads-" + std::to_string(i), i,
                                      TrafficClass::kOrdinary, 0.5));
    scenario.flows.back().starts_at = scenario.warm_up;
  }
  return scenario;
}

/// Two teams share the instances of the readings service. The rate limit of the
/// noisy team is a quarter of their capacity; the team sends `times` that rate.
/// The limit applies only if `limited`.
Scenario MakeNoisyNeighbour(const Deployment& deployment,
                            double times,
                            bool limited) {
  Scenario scenario;
  scenario.deployment = deployment;
  TeamLimits limits;
  Flow quiet =
      MakeFlow("quiet", kReadingsService, TrafficClass::kOrdinary, kTeamShare);
  Flow noisy = MakeFlow("noisy", kReadingsService, TrafficClass::kOrdinary,
                        kTeamShare * times);
  noisy.measured = false;
  if (limited) {
    limits.requests_per_second = kTeamShare *
                                 SlotsOf(deployment, kReadingsService) /
                                 InSeconds(noisy.mean);
    limits.burst = kQuotaBurst * limits.requests_per_second;
  }
  noisy.team = AddTeam(scenario.deployment, "noisy", limits);
  scenario.flows = {quiet, noisy};
  scenario.length = seconds(20);
  return scenario;
}

/// A steady load of long answers runs beside readings on the same instances.
Scenario MakeDownloads(const Deployment& deployment, double downloads) {
  Scenario scenario = MakeReadings(deployment, 0.3);
  scenario.flows.push_back(
      MakeBulk("downloads", kReadingsService, milliseconds(200), downloads));
  scenario.length = seconds(20);
  return scenario;
}

Scenario MakeOverload(const Deployment& deployment) {
  Scenario scenario = MakeReadings(deployment, 2);
  scenario.flows.front().resends = 3;
  scenario.flows.front().deadline = seconds(1);
  return scenario;
}

}  // namespace basilsill::bench

#include "model/shed_cases.h"

#include <array>
#include <cmath>
#include <string>

namespace basilsill::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kDataCentres = 3;
constexpr size_t kVms = 9;

constexpr RepeatBudgetOptions kFleetLimit{0.2, 58, seconds(10)};

/// The sheds begin when dispatchers have had their roles for the window of the
/// limit on repeats, so that they have their whole share of it.
constexpr Duration kShedFrom = seconds(12);
constexpr Duration kSettle = milliseconds(500);

constexpr double kSigma = 0.3;

constexpr std::array kCauseNames = {"free slots", "full slots", "one upstream"};

constexpr std::array kFirstCallers = {
    ShedDeployment::Callers{"drafts", TrafficClass::kUrgent, true,
                            milliseconds(250), milliseconds(110), seconds(3),
                            0.2},
    ShedDeployment::Callers{"certifying", TrafficClass::kOrdinary, false,
                            milliseconds(400), milliseconds(150), seconds(4),
                            0.2},
    ShedDeployment::Callers{"downloads", TrafficClass::kBulk, false,
                            milliseconds(1000), milliseconds(91), seconds(6),
                            0.1},
};
constexpr std::array kSecondCallers = {
    ShedDeployment::Callers{"meter reads", TrafficClass::kOrdinary, true,
                            milliseconds(1000), milliseconds(310), seconds(5),
                            0.3},
    ShedDeployment::Callers{"valve commands", TrafficClass::kOrdinary, false,
                            milliseconds(1200), milliseconds(410), seconds(6),
                            0.2},
};
constexpr std::array kDeployments = {
    ShedDeployment{"first", 8, 4, 2, milliseconds(16), kFirstCallers},
    ShedDeployment{"second", 8, 6, 1, milliseconds(6), kSecondCallers},
};

Deployment MakeDeployment(const ShedDeployment& from) {
  Deployment deployment;
  deployment.name = from.name;
  deployment.teams.push_back({"team", {}});
  ServiceSpec service;
  service.name = "service";
  for (size_t i = 0; i < kDataCentres; ++i) {
    deployment.data_centres.push_back("dc-" + std::to_string(i));
  }
  for (size_t i = 0; i < kVms; ++i) {
    deployment.vms.push_back(i % kDataCentres);
  }
  for (size_t i = 0; i < kDataCentres * from.upstreams_per_data_centre; ++i) {
    service.instances.push_back(i);
    deployment.instances.push_back({0, i % kDataCentres, from.slots});
  }
  deployment.services.push_back(std::move(service));
  return deployment;
}

Flow MakeCallers(const ShedDeployment& deployment,
                 const ShedDeployment::Callers& callers) {
  Flow flow;
  flow.name = callers.name;
  flow.traffic_class = callers.traffic_class;
  flow.idempotent = callers.idempotent;
  flow.hedge = callers.idempotent;
  flow.deadline = callers.full_time;
  flow.mean = callers.work;
  flow.sigma = kSigma;
  flow.load = callers.load;
  flow.resends = deployment.returns;
  flow.target = callers.target;
  return flow;
}

/// @returns the load in slots at which an upstream with one slot and the queue
/// of the cases with kFull sheds `share` of requests that arrive at random.
double LoadWhenFull(double share) {
  static_assert(kShedQueueLimit == 1);
  // The share is load^2 / (1 + load + load^2).
  const double odds = share / (1 - share);
  return (odds + std::sqrt(odds * odds + 4 * odds)) / 2;
}

Disturbance MakeSheds(ShedCause cause, double share) {
  return {kShedFrom, [cause, share](SimulatedCluster& cluster) {
            const size_t count = cluster.deployment().instances.size();
            const size_t shedding =
                cause == ShedCause::kOneOnly ? kDataCentres : count;
            for (size_t i = 0; i < shedding; ++i) {
              if (cause != ShedCause::kFull) {
                cluster.upstreams().SetShedShare(i, share);
                continue;
              }
              cluster.upstreams().SetCapacity(i, kSlotsWhenFull,
                                              kShedQueueLimit);
            }
          }};
}

}  // namespace

std::string_view NameOf(ShedCause cause) {
  return kCauseNames.at(static_cast<size_t>(cause));
}

std::span<const ShedDeployment> ShedDeployments() {
  return kDeployments;
}

Scenario MakeShedScenario(const ShedDeployment& deployment,
                          ShedCause cause,
                          double share) {
  Scenario scenario;
  scenario.deployment = MakeDeployment(deployment);
  for (const ShedDeployment::Callers& callers : deployment.callers) {
    scenario.flows.push_back(MakeCallers(deployment, callers));
  }
  if (cause == ShedCause::kFull) {
    double load = 0;
    for (const Flow& flow : scenario.flows) {
      load += flow.load * deployment.slots;
    }
    for (Flow& flow : scenario.flows) {
      flow.load *= LoadWhenFull(share) / load;
    }
  }
  scenario.disturbances = {MakeSheds(cause, share)};
  scenario.warm_up = kShedFrom + kSettle;
  scenario.length = seconds(15);
  scenario.idle = seconds(5);
  scenario.reports_load = true;
  scenario.caller_round_trip = deployment.caller_round_trip;
  scenario.repeats = kFleetLimit;
  return scenario;
}

}  // namespace basilsill::bench

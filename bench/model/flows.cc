#include "model/flows.h"

#include <utility>

namespace basilsill::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Deadline of bulk and background requests, whose callers can wait.
constexpr Duration kBackgroundDeadline = seconds(20);

Flow MakeBackground(std::string name, size_t service, double load) {
  Flow flow =
      MakeFlow(std::move(name), service, TrafficClass::kBackground, load);
  flow.deadline = kBackgroundDeadline;
  flow.measured = false;
  return flow;
}

}  // namespace

Flow MakeFlow(std::string name,
              size_t service,
              TrafficClass traffic_class,
              double load) {
  Flow flow;
  flow.name = std::move(name);
  flow.service = service;
  flow.team = service;
  flow.traffic_class = traffic_class;
  flow.load = load;
  flow.hedge = traffic_class == TrafficClass::kUrgent;
  return flow;
}

Flow MakeNonIdempotent(std::string name, size_t service, double load) {
  Flow flow = MakeFlow(std::move(name), service, TrafficClass::kUrgent, load);
  flow.idempotent = false;
  flow.hedge = false;
  return flow;
}

Flow MakeBulk(std::string name, size_t service, Duration mean, double load) {
  Flow flow = MakeFlow(std::move(name), service, TrafficClass::kBulk, load);
  flow.mean = mean;
  flow.deadline = kBackgroundDeadline;
  flow.measured = false;
  return flow;
}

std::vector<Flow> MixedFlows(const Deployment& deployment, double load) {
  if (deployment.name == "sofia") {
    return {
        MakeFlow("fill-reads", 0, TrafficClass::kUrgent, load),
        MakeNonIdempotent("confirmations", 1, load),
        MakeFlow("report-lists", 2, TrafficClass::kOrdinary, load * 0.6),
        MakeBulk("exports", 2, milliseconds(40), load * 0.4),
        MakeFlow("bank-lists", 3, TrafficClass::kOrdinary, load * 0.7),
        MakeBackground("overviews", 3, load * 0.3),
    };
  }
  return {
      MakeFlow("readings", 0, TrafficClass::kUrgent, load),
      MakeNonIdempotent("notices", 1, load),
      MakeFlow("partner-reads", 2, TrafficClass::kOrdinary, load * 0.6),
      MakeBulk("downloads", 2, milliseconds(80), load * 0.4),
      MakeFlow("inflow-reads", 3, TrafficClass::kOrdinary, load * 0.5),
      MakeBackground("inflow-overviews", 3, load * 0.5),
  };
}

Scenario MakeReadings(const Deployment& deployment, double load) {
  Scenario scenario;
  scenario.deployment = deployment;
  scenario.flows = {
      MakeFlow("readings", kReadingsService, TrafficClass::kUrgent, load)};
  return scenario;
}

}  // namespace basilsill::bench

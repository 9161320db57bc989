#include "figures.h"

#include <algorithm>

namespace basilsill::bench {
namespace {

using FlowList = std::vector<const FlowMetrics*>;

double ShareOf(const FlowList& flows,
               std::initializer_list<OutcomeKind> kinds,
               uint64_t requests) {
  uint64_t count = 0;
  for (const FlowMetrics* flow : flows) {
    for (const OutcomeKind kind : kinds) {
      count += flow->Count(kind);
    }
  }
  return requests == 0
             ? 0
             : static_cast<double>(count) / static_cast<double>(requests);
}

FlowFigures Summarize(const FlowList& flows) {
  FlowFigures figures;
  for (const FlowMetrics* flow : flows) {
    figures.requests += flow->requests();
  }
  const uint64_t all = figures.requests;
  figures.latency = PercentilesOf(flows);
  figures.answered = ShareOf(flows, {OutcomeKind::kAnswered}, all);
  figures.failed = ShareOf(flows, {OutcomeKind::kFailed}, all);
  figures.refused = ShareOf(flows, {OutcomeKind::kRefused}, all);
  figures.unknown = ShareOf(flows,
                            {OutcomeKind::kUnknown, OutcomeKind::kCallerTimeout,
                             OutcomeKind::kEntryLost},
                            all);
  return figures;
}

/// @returns the answered demand divided by the capacity of the services' slots.
double GoodputOf(const Scenario& scenario, const Metrics& metrics) {
  double served = 0;
  double slots = 0;
  std::vector<bool> seen(scenario.deployment.services.size(), false);
  for (size_t i = 0; i < scenario.flows.size(); ++i) {
    const Flow& flow = scenario.flows[i];
    served +=
        static_cast<double>(metrics.flows[i].Count(OutcomeKind::kAnswered)) *
        InSeconds(flow.mean);
    slots +=
        seen[flow.service] ? 0 : SlotsOf(scenario.deployment, flow.service);
    seen[flow.service] = true;
  }
  return served / (slots * InSeconds(metrics.window));
}

template <typename Counts>
void AddCounts(Counts& sum, const Counts& counts) {
  for (size_t i = 0; i < sum.size(); ++i) {
    sum[i] += counts[i];
  }
}

}  // namespace

Figures FiguresOf(const Scenario& scenario, const Metrics& metrics) {
  Figures figures;
  FlowList measured;
  for (size_t i = 0; i < scenario.flows.size(); ++i) {
    const FlowMetrics& flow = metrics.flows[i];
    FlowFigures row = Summarize({&flow});
    row.name = scenario.flows[i].name;
    row.measured = scenario.flows[i].measured;
    figures.requests += row.requests;
    figures.flows.push_back(row);
    AddCounts(figures.refusals, flow.refusals);
    AddCounts(figures.retries, flow.retries);
    if (row.measured) {
      measured.push_back(&flow);
    }
  }
  figures.measured = Summarize(measured);
  const auto requests =
      static_cast<double>(std::max<uint64_t>(figures.requests, 1));
  const auto per_request = [requests](uint64_t count) {
    return static_cast<double>(count) / requests;
  };
  figures.attempts = per_request(metrics.submissions);
  figures.goodput = GoodputOf(scenario, metrics);
  figures.measuring_messages = per_request(metrics.measuring_messages);
  figures.measuring_bytes = per_request(metrics.measuring_bytes);
  figures.carried_bytes = per_request(metrics.carried_bytes);
  figures.idle_messages =
      static_cast<double>(metrics.idle_messages) / InSeconds(metrics.idle);
  figures.deaths = metrics.deaths;
  figures.late_submissions = metrics.late_submissions;
  figures.last_late_submission = metrics.last_late_submission;
  return figures;
}

}  // namespace basilsill::bench

#ifndef BASILSILL_BENCH_FIGURES_H_
#define BASILSILL_BENCH_FIGURES_H_

#include <string>
#include <vector>

#include "model/simulated_cluster.h"

/// Figures of one run, used by the report and the bounds checks.

namespace basilsill::bench {

struct FlowFigures {
  std::string name;
  bool measured = true;
  uint64_t requests = 0;
  Percentiles latency;
  /// Shares of the requests, 0 to 1.
  double answered = 0;
  double failed = 0;   ///< Answered with an error by an upstream.
  double refused = 0;  ///< Refused; the request did not run.
  double unknown = 0;  ///< The request may have run, or no answer arrived.
};

struct Figures {
  std::string case_name;
  std::string deployment;
  std::string strategy;
  std::vector<FlowFigures> flows;
  FlowFigures measured;  ///< All measured flows combined.
  std::array<uint64_t, static_cast<size_t>(Refusal::kCount)> refusals{};
  std::array<uint64_t, static_cast<size_t>(Retry::kCount)> retries{};
  uint64_t requests = 0;  ///< Requests of all flows.
  double attempts = 0;    ///< Attempts at upstreams per request.
  /// Answered demand divided by the capacity of the slots.
  double goodput = 0;
  double measuring_messages = 0;  ///< Per request.
  double measuring_bytes = 0;     ///< Per request.
  double carried_bytes = 0;       ///< Load figures on answers, per request.
  /// Measuring messages per second without arrivals.
  double idle_messages = 0;
  uint64_t deaths = 0;  ///< Crashes of upstreams, caused by requests they ran.
  /// Attempts that reached a draining instance.
  uint64_t late_submissions = 0;
  Duration last_late_submission{0};  ///< Time since its drain began.
};

/// @returns the figures of one run. The caller sets the names.
Figures FiguresOf(const Scenario& scenario, const Metrics& metrics);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_FIGURES_H_

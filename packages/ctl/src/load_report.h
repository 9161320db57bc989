#ifndef BASILSILL_CTL_LOAD_REPORT_H_
#define BASILSILL_CTL_LOAD_REPORT_H_

#include <array>
#include <iosfwd>
#include <string>

#include "basilsill/ctl/load.h"

/// Evaluates a load report and formats it as a table or as JSON.

namespace basilsill::ctl {

/// Failures that a good run may contain. Wrong responses are never allowed.
struct LoadTolerance {
  bool refusals = false;
  bool broken = false;
};

/// Quantiles in the rows of the table.
inline constexpr std::array kLoadQuantiles = {0.5, 0.9, 0.99, 0.999};

/// @returns true if each side sent requests, all responses were right or within
/// `tolerance`, all idle connections stayed open or `tolerance.broken` is set,
/// and the execution counts are complete and agree with the outcomes.
bool IsGood(const LoadReport& report, const LoadTolerance& tolerance);

/// @returns the latency that the load balancer adds at one quantile: the
/// quantile of the through side minus that of the direct side.
/// @pre The report has both sides.
Duration AddedLatency(const LoadReport& report, double fraction);

/// @returns the attempts of the first side, which the measured processes serve;
/// used for the CPU time per request.
uint64_t MeasuredRequests(const LoadReport& report);

void PrintReport(const LoadReport& report, std::ostream& out);

std::string ReportJson(const LoadReport& report,
                       const LoadTolerance& tolerance);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_LOAD_REPORT_H_

#ifndef BASILSILL_BENCH_REPORT_H_
#define BASILSILL_BENCH_REPORT_H_

#include <ostream>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "figures.h"

/// Report of the policy benchmark as Markdown and as JSON.

namespace basilsill::bench {

/// Writes one Markdown table for each case and deployment.
void WriteTables(std::ostream& out, const std::vector<Figures>& results);

/// Writes Markdown tables over all cases: p99 and p99.9 latency, requests
/// without an answer and measuring cost, with a column for each strategy.
void WriteSummary(std::ostream& out, const std::vector<Figures>& results);

/// @returns all figures of each run and its flows.
boost::json::value ToJson(const std::vector<Figures>& results);

/// Writes `value` with line breaks and keeps the order of its members.
void WriteJson(std::ostream& out,
               const boost::json::value& value,
               const std::string& indent = "");

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_REPORT_H_

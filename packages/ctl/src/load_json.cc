// Formats the load report as JSON.

#include <string>

#include <boost/json.hpp>

#include "load_report.h"

namespace basilsill::ctl {
namespace {

namespace json = boost::json;
using std::chrono::duration;

double Milliseconds(Duration time) {
  return duration<double, std::milli>(time).count();
}

json::object LatencyJson(const LoadHistogram& histogram) {
  return {{"count", histogram.count()},
          {"mean", Milliseconds(histogram.mean())},
          {"p50", Milliseconds(histogram.Quantile(0.5))},
          {"p90", Milliseconds(histogram.Quantile(0.9))},
          {"p99", Milliseconds(histogram.Quantile(0.99))},
          {"p99.9", Milliseconds(histogram.Quantile(0.999))},
          {"max", Milliseconds(histogram.max())}};
}

json::object VerdictsJson(const LoadVerdictCounts& counts) {
  json::object object;
  for (size_t i = 0; i < counts.size(); ++i) {
    object[NameOf(static_cast<LoadVerdict>(i))] = counts[i];
  }
  return object;
}

json::object KindJson(const LoadKindReport& kind) {
  return {{"name", kind.name},
          {"latency_ms", LatencyJson(kind.right)},
          {"refused_latency_ms", LatencyJson(kind.refused)},
          {"outcomes", VerdictsJson(kind.verdicts)}};
}

json::object SideJson(const LoadSideReport& side, Duration elapsed) {
  const LoadKindReport total = side.Total();
  const auto right =
      static_cast<double>(CountOf(total.verdicts, LoadVerdictClass::kRight));
  const double run_seconds = duration<double>(elapsed).count();
  json::object object = KindJson(total);
  object["name"] = side.side == LoadSide::kThrough ? "through" : "direct";
  object["attempts"] = VerdictsJson(side.attempts);
  object["resends"] = side.resends;
  object["late"] = side.late;
  object["bytes"] = side.bytes;
  object["right_per_second"] = run_seconds > 0 ? right / run_seconds : 0.0;
  json::object statuses;
  for (const auto& [status, count] : side.statuses) {
    statuses[std::to_string(status)] = count;
  }
  json::object refusals;
  for (const auto& [reason, count] : side.refusals) {
    refusals[reason] = count;
  }
  json::array kinds;
  for (const LoadKindReport& kind : side.kinds) {
    kinds.push_back(KindJson(kind));
  }
  object["statuses"] = std::move(statuses);
  object["refusals"] = std::move(refusals);
  object["kinds"] = std::move(kinds);
  return object;
}

json::object AddedJson(const LoadReport& report) {
  return {{"p50", Milliseconds(AddedLatency(report, 0.5))},
          {"p90", Milliseconds(AddedLatency(report, 0.9))},
          {"p99", Milliseconds(AddedLatency(report, 0.99))},
          {"p99.9", Milliseconds(AddedLatency(report, 0.999))}};
}

json::object ProcessJson(const LoadProcessReport& process, uint64_t requests) {
  const double cpu_us = duration<double, std::micro>(process.cpu).count();
  return {{"pid", process.pid},
          {"cpu_ms", cpu_us / 1000},
          {"cpu_us_per_request",
           requests == 0 ? 0.0 : cpu_us / static_cast<double>(requests)},
          {"memory_at_start", process.memory_at_start},
          {"memory_at_end", process.memory_at_end},
          {"memory_peak", process.memory_peak}};
}

json::object ExecutionsJson(const LoadExecutionReport& executions) {
  return {{"keys", executions.keys},
          {"ran_once", executions.ran_once},
          {"ran_twice", executions.ran_twice},
          {"not_run_but_ran", executions.not_run_but_ran},
          {"right_but_not_run", executions.right_but_not_run},
          {"unreachable", executions.unreachable}};
}

}  // namespace

std::string ReportJson(const LoadReport& report,
                       const LoadTolerance& tolerance) {
  json::object object;
  object["good"] = IsGood(report, tolerance);
  object["elapsed_ms"] = Milliseconds(report.elapsed);
  json::array sides;
  for (const LoadSideReport& side : report.sides) {
    sides.push_back(SideJson(side, report.elapsed));
  }
  object["sides"] = std::move(sides);
  if (report.sides.size() > 1) {
    object["added_ms"] = AddedJson(report);
  }
  object["start_lag_ms"] = LatencyJson(report.start_lag);
  json::array processes;
  for (const LoadProcessReport& process : report.processes) {
    processes.push_back(ProcessJson(process, MeasuredRequests(report)));
  }
  object["processes"] = std::move(processes);
  object["idle"] = json::object{{"opened", report.idle.opened},
                                {"failed", report.idle.failed},
                                {"lost", report.idle.lost}};
  if (report.executions) {
    object["executions"] = ExecutionsJson(*report.executions);
  }
  return json::serialize(object);
}

}  // namespace basilsill::ctl

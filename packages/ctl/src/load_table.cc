// Formats the load report as a table.

#include <array>
#include <cstdio>
#include <ostream>
#include <string>

#include "load_report.h"

namespace basilsill::ctl {
namespace {

using std::chrono::duration;

constexpr size_t kNumberWidth = 10;
constexpr size_t kNameWidth = 24;
constexpr double kMebibyte = 1024.0 * 1024.0;

std::string Number(double value, int decimals) {
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), "%.*f", decimals, value);
  return text.data();
}

std::string Milliseconds(Duration time) {
  return Number(duration<double, std::milli>(time).count(), 3);
}

std::string Padded(std::string text, size_t width) {
  text.resize(std::max(text.size(), width), ' ');
  return text;
}

std::string Right(const std::string& text, size_t width = kNumberWidth) {
  return text.size() < width ? std::string(width - text.size(), ' ') + text
                             : text;
}

std::string_view NameOf(LoadSide side) {
  return side == LoadSide::kThrough ? "through" : "direct";
}

void PrintLatencyRow(const std::string& name,
                     const LoadHistogram& histogram,
                     std::ostream& out) {
  out << Padded(name, kNameWidth) << Right(std::to_string(histogram.count()));
  for (const double fraction : kLoadQuantiles) {
    out << Right(Milliseconds(histogram.Quantile(fraction)));
  }
  out << Right(Milliseconds(histogram.max())) << '\n';
}

void PrintSideLatency(const LoadSideReport& side, std::ostream& out) {
  const std::string name(NameOf(side.side));
  const LoadKindReport total = side.Total();
  PrintLatencyRow(name, total.right, out);
  if (side.kinds.size() > 1) {
    for (const LoadKindReport& kind : side.kinds) {
      PrintLatencyRow("  " + kind.name, kind.right, out);
    }
  }
  if (total.refused.count() > 0) {
    PrintLatencyRow("  refused", total.refused, out);
  }
}

void PrintLatency(const LoadReport& report, std::ostream& out) {
  out << Padded("latency, ms", kNameWidth) << Right("count") << Right("p50")
      << Right("p90") << Right("p99") << Right("p99.9") << Right("max") << '\n';
  for (const LoadSideReport& side : report.sides) {
    PrintSideLatency(side, out);
  }
  if (report.sides.size() > 1) {
    out << Padded("added", kNameWidth) << Right("");
    for (const double fraction : kLoadQuantiles) {
      out << Right(Milliseconds(AddedLatency(report, fraction)));
    }
    out << '\n';
  }
  if (report.start_lag.count() > 0) {
    PrintLatencyRow("started late by", report.start_lag, out);
  }
}

void PrintCount(const std::string& name, uint64_t count, std::ostream& out) {
  out << "  " << Padded(name, kNameWidth - 2) << Right(std::to_string(count))
      << '\n';
}

void PrintVerdicts(const std::string& prefix,
                   const LoadVerdictCounts& counts,
                   std::ostream& out) {
  for (size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] > 0) {
      const auto verdict = static_cast<LoadVerdict>(i);
      PrintCount(prefix + std::string(ctl::NameOf(verdict)), counts[i], out);
    }
  }
}

void PrintOutcomes(const LoadSideReport& side,
                   Duration elapsed,
                   std::ostream& out) {
  const LoadKindReport total = side.Total();
  const uint64_t right = CountOf(total.verdicts, LoadVerdictClass::kRight);
  const double run_seconds = duration<double>(elapsed).count();
  out << "\noutcomes, " << NameOf(side.side) << '\n';
  PrintVerdicts("", total.verdicts, out);
  if (side.late > 0) {
    PrintCount("late", side.late, out);
  }
  if (side.resends > 0) {
    PrintCount("resends", side.resends, out);
  }
  if (side.resends > 0) {
    PrintVerdicts("attempts: ", side.attempts, out);
  }
  for (const auto& [status, count] : side.statuses) {
    PrintCount("attempts with " + std::to_string(status), count, out);
  }
  for (const auto& [reason, count] : side.refusals) {
    PrintCount("attempts: " + reason, count, out);
  }
  if (run_seconds > 0) {
    out << "  " << Padded("right answers/s", kNameWidth - 2)
        << Right(Number(static_cast<double>(right) / run_seconds, 0)) << '\n'
        << "  " << Padded("MiB/s", kNameWidth - 2)
        << Right(Number(
               static_cast<double>(side.bytes) / kMebibyte / run_seconds, 1))
        << '\n';
  }
}

void PrintProcesses(const LoadReport& report, std::ostream& out) {
  const uint64_t requests = MeasuredRequests(report);
  out << '\n'
      << Padded("process", kNameWidth) << Right("cpu ms")
      << Right("us/request", kNumberWidth + 2) << Right("MiB start", 11)
      << Right("MiB end") << Right("MiB peak") << '\n';
  for (const LoadProcessReport& process : report.processes) {
    const double cpu_us = duration<double, std::micro>(process.cpu).count();
    out << Padded(std::to_string(process.pid), kNameWidth)
        << Right(Number(cpu_us / 1000, 0))
        << Right(requests == 0
                     ? "-"
                     : Number(cpu_us / static_cast<double>(requests), 1),
                 kNumberWidth + 2)
        << Right(Number(process.memory_at_start / kMebibyte, 1), 11)
        << Right(Number(process.memory_at_end / kMebibyte, 1))
        << Right(Number(process.memory_peak / kMebibyte, 1)) << '\n';
  }
}

void PrintExecutions(const LoadExecutionReport& executions, std::ostream& out) {
  out << "\nrequests that must not repeat\n";
  PrintCount("sent", executions.keys, out);
  PrintCount("ran once", executions.ran_once, out);
  PrintCount("ran twice or more", executions.ran_twice, out);
  PrintCount("not-run, but ran", executions.not_run_but_ran, out);
  PrintCount("right, but never ran", executions.right_but_not_run, out);
  PrintCount("upstreams not asked", executions.unreachable, out);
}

}  // namespace

void PrintReport(const LoadReport& report, std::ostream& out) {
  if (!report.sides.empty()) {
    PrintLatency(report, out);
  }
  for (const LoadSideReport& side : report.sides) {
    PrintOutcomes(side, report.elapsed, out);
  }
  if (report.idle.opened + report.idle.failed > 0) {
    out << "\nidle connections\n";
    PrintCount("held", report.idle.opened, out);
    PrintCount("failed to open", report.idle.failed, out);
    PrintCount("lost", report.idle.lost, out);
  }
  if (!report.processes.empty()) {
    PrintProcesses(report, out);
  }
  if (report.executions) {
    PrintExecutions(*report.executions, out);
  }
}

}  // namespace basilsill::ctl

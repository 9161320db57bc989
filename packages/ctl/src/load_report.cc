#include "load_report.h"

#include <numeric>

namespace basilsill::ctl {
namespace {

struct VerdictRow {
  std::string_view name;
  LoadVerdictClass verdict_class;
};

constexpr LoadVerdictClass kBroken = LoadVerdictClass::kBroken;
constexpr LoadVerdictClass kWrong = LoadVerdictClass::kWrong;

// Rows in the order of the enum.
constexpr std::array<VerdictRow, static_cast<size_t>(LoadVerdict::kCount)>
    kVerdicts = {{
        {"right", LoadVerdictClass::kRight},
        {"refused", LoadVerdictClass::kRefused},
        {"connect-failed", kBroken},
        {"closed", kBroken},
        {"cut-short", kBroken},
        {"malformed", kBroken},
        {"timed-out", kBroken},
        {"wrong-tag", kWrong},
        {"wrong-digest", kWrong},
        {"wrong-body", kWrong},
        {"wrong-upload", kWrong},
        {"unexplained", kWrong},
    }};

void AddCounts(const LoadVerdictCounts& from, LoadVerdictCounts& to) {
  for (size_t i = 0; i < to.size(); ++i) {
    to[i] += from[i];
  }
}

bool IsGoodSide(const LoadSideReport& side, const LoadTolerance& tolerance) {
  // Attempts count as well: a successful resend does not make up for an
  // earlier wrong response.
  const LoadVerdictCounts finals = side.Total().verdicts;
  const uint64_t refused = CountOf(finals, LoadVerdictClass::kRefused);
  const uint64_t broken =
      CountOf(side.attempts, kBroken) + CountOf(finals, kBroken);
  const uint64_t wrong =
      CountOf(side.attempts, kWrong) + CountOf(finals, kWrong);
  const uint64_t calls =
      std::accumulate(finals.begin(), finals.end(), uint64_t{0});
  return calls > 0 && wrong == 0 && (refused == 0 || tolerance.refusals) &&
         (broken == 0 || tolerance.broken);
}

bool IsGoodExecution(const LoadExecutionReport& executions) {
  return executions.ran_twice == 0 && executions.not_run_but_ran == 0 &&
         executions.right_but_not_run == 0 && executions.unreachable == 0;
}

}  // namespace

std::string_view NameOf(LoadVerdict verdict) {
  return kVerdicts.at(static_cast<size_t>(verdict)).name;
}

LoadVerdictClass ClassOf(LoadVerdict verdict) {
  return kVerdicts.at(static_cast<size_t>(verdict)).verdict_class;
}

uint64_t CountOf(const LoadVerdictCounts& counts, LoadVerdictClass wanted) {
  uint64_t sum = 0;
  for (size_t i = 0; i < counts.size(); ++i) {
    sum += kVerdicts[i].verdict_class == wanted ? counts[i] : 0;
  }
  return sum;
}

void LoadSideReport::Merge(const LoadSideReport& other) {
  for (size_t i = 0; i < this->kinds.size(); ++i) {
    this->kinds[i].right.Merge(other.kinds[i].right);
    this->kinds[i].refused.Merge(other.kinds[i].refused);
    AddCounts(other.kinds[i].verdicts, this->kinds[i].verdicts);
  }
  AddCounts(other.attempts, this->attempts);
  for (const auto& [status, count] : other.statuses) {
    this->statuses[status] += count;
  }
  for (const auto& [reason, count] : other.refusals) {
    this->refusals[reason] += count;
  }
  this->resends += other.resends;
  this->late += other.late;
  this->bytes += other.bytes;
}

LoadKindReport LoadSideReport::Total() const {
  LoadKindReport total;
  total.name = "all";
  for (const LoadKindReport& kind : this->kinds) {
    total.right.Merge(kind.right);
    total.refused.Merge(kind.refused);
    AddCounts(kind.verdicts, total.verdicts);
  }
  return total;
}

bool IsGood(const LoadReport& report, const LoadTolerance& tolerance) {
  for (const LoadSideReport& side : report.sides) {
    if (!IsGoodSide(side, tolerance)) {
      return false;
    }
  }
  if (report.executions && !IsGoodExecution(*report.executions)) {
    return false;
  }
  const bool idle_kept = report.idle.failed == 0 && report.idle.lost == 0;
  return idle_kept || tolerance.broken;
}

Duration AddedLatency(const LoadReport& report, double fraction) {
  return report.sides.at(0).Total().right.Quantile(fraction) -
         report.sides.at(1).Total().right.Quantile(fraction);
}

uint64_t MeasuredRequests(const LoadReport& report) {
  if (report.sides.empty()) {
    return 0;
  }
  const LoadVerdictCounts& attempts = report.sides.front().attempts;
  return std::accumulate(attempts.begin(), attempts.end(), uint64_t{0});
}

}  // namespace basilsill::ctl

#include "bounds.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <limits>
#include <sstream>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include "basilsill/base/error.h"
#include "report.h"
#include "runner.h"

namespace basilsill::bench {
namespace {

/// Margin of figures of bulk and background requests. These requests wait by
/// design, and their wait times vary strongly with every code change.
constexpr double kBackgroundMargin = 0.25;

// Least margins of figures whose value is close to zero.
constexpr double kMinAttemptsMargin = 0.05;
constexpr double kMinLateMargin = 0.1;

// Bars that apply to all cases.
constexpr double kBaselineBar = 1.0;
constexpr double kMessagesBar = 0.05;
constexpr double kIdleMessagesBar = 0;

class CheckMaker {
 public:
  explicit CheckMaker(const std::vector<Figures>& results) : results(results) {}

  std::vector<Check> Make() {
    for (const Figures& own : this->results) {
      if (own.strategy == kOwnStrategy) {
        this->AddFor(own);
      }
    }
    this->AddMeasuring();
    return std::move(this->checks);
  }

 private:
  void AddFor(const Figures& own) {
    const CaseChecks& checked = FindCase(own.case_name)->checks;
    if (checked.oracle) {
      this->AddOracle(own, checked.to_oracle);
    }
    if (checked.baselines) {
      this->AddBaselines(own);
      this->Add(own, "without_answer", 1 - own.measured.answered, checked.lost);
    }
    if (!checked.base.empty()) {
      this->AddRatio(own, checked.base, checked.to_base);
    }
    if (checked.goodput != kNoBar) {
      this->Add(own, "goodput", own.goodput, checked.goodput, true);
    }
    if (checked.attempts != kNoBar) {
      this->Add(own, "attempts_per_request", own.attempts, checked.attempts)
          .min_margin = kMinAttemptsMargin;
    }
    if (checked.deaths != kNoBar) {
      this->Add(own, "deaths", static_cast<double>(own.deaths), checked.deaths);
    }
    if (checked.last_late_seconds != kNoBar) {
      this->Add(own, "last_late_submission_s",
                InSeconds(own.last_late_submission), checked.last_late_seconds)
          .min_margin = kMinLateMargin;
    }
  }

  void AddOracle(const Figures& own, double bar) {
    const Figures* oracle = this->Find(own.case_name, own.deployment, kOracle);
    if (oracle == nullptr) {
      return;
    }
    this->Add(own, "p99_to_oracle", WorstRatio(own, *oracle, true), bar);
    const double unmeasured = WorstRatio(own, *oracle, false);
    if (unmeasured > 0) {
      this->Add(own, "bulk_and_background_p99_to_oracle", unmeasured).margin =
          kBackgroundMargin;
      this->Add(own, "bulk_and_background_without_answer", WorstLoss(own))
          .margin = kBackgroundMargin;
    }
  }

  /// The highest ratio of p99 to that of the same flow of the oracle, over the
  /// flows that are (`measured`) or are not part of the measured figures.
  static double WorstRatio(const Figures& own,
                           const Figures& oracle,
                           bool measured) {
    double worst = 0;
    for (size_t i = 0; i < own.flows.size(); ++i) {
      if (own.flows[i].measured == measured) {
        worst = std::max(
            worst, own.flows[i].latency.p99 / oracle.flows[i].latency.p99);
      }
    }
    return worst;
  }

  /// The highest share of requests without an answer of the flows that are not
  /// measured.
  static double WorstLoss(const Figures& own) {
    double worst = 0;
    for (const FlowFigures& flow : own.flows) {
      worst = std::max(worst, flow.measured ? 0 : 1 - flow.answered);
    }
    return worst;
  }

  void AddBaselines(const Figures& own) {
    double best = std::numeric_limits<double>::max();
    for (const Figures& other : this->results) {
      const bool same_case = other.case_name == own.case_name &&
                             other.deployment == own.deployment;
      if (same_case && other.strategy != kOwnStrategy &&
          other.strategy != kOracle) {
        best = std::min(best, other.measured.latency.p99);
      }
    }
    if (best < std::numeric_limits<double>::max()) {
      this->Add(own, "p99_to_best_baseline", own.measured.latency.p99 / best,
                kBaselineBar);
    }
  }

  void AddRatio(const Figures& own, std::string_view without, double bar) {
    const Figures* base =
        this->Find(std::string(without), own.deployment, kOwnStrategy);
    if (base != nullptr) {
      this->Add(own, "p99_to_" + std::string(without),
                own.measured.latency.p99 / base->measured.latency.p99, bar);
    }
  }

  /// Adds one check of each measuring figure for all cases: the worst value.
  void AddMeasuring() {
    Check messages{"all/measuring_messages_per_request", 0, kMessagesBar};
    Check idle{"all/idle_messages_per_second", 0, kIdleMessagesBar};
    for (const Figures& own : this->results) {
      if (own.strategy == kOwnStrategy) {
        messages.value = std::max(messages.value, own.measuring_messages);
        idle.value = std::max(idle.value, own.idle_messages);
      }
    }
    this->checks.push_back(messages);
    this->checks.push_back(idle);
  }

  Check& Add(const Figures& own,
             const std::string& figure,
             double value,
             double bar = kNoBar,
             bool at_least = false) {
    Check check;
    check.name = own.case_name + "/" + own.deployment + "/" + figure;
    check.value = value;
    check.bar = bar;
    check.at_least = at_least;
    this->checks.push_back(check);
    return this->checks.back();
  }

  const Figures* Find(const std::string& case_name,
                      const std::string& deployment,
                      const std::string& strategy) const {
    const auto found = std::find_if(
        this->results.begin(), this->results.end(), [&](const Figures& row) {
          return row.case_name == case_name && row.deployment == deployment &&
                 row.strategy == strategy;
        });
    return found == this->results.end() ? nullptr : &*found;
  }

  const std::vector<Figures>& results;
  std::vector<Check> checks;
};

[[noreturn]] void Fail(FailureKind kind,
                       const std::filesystem::path& path,
                       std::string detail) {
  throw FailureError(Failure{kind, path.string(), std::move(detail)});
}

boost::json::value ReadJson(const std::filesystem::path& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  if (!in) {
    Fail(FailureKind::kUnreadable, path, "can't be read");
  }
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(text.str(), error);
  if (error) {
    Fail(FailureKind::kSyntax, path, error.message());
  }
  return value;
}

boost::json::object ToRow(const Check& check) {
  boost::json::object row{
      {"name", check.name}, {"measured", check.value}, {"bound", check.bound}};
  if (check.bar != kNoBar) {
    row["bar"] = check.bar;
  }
  if (check.at_least) {
    row["at_least"] = true;
  }
  return row;
}

void WriteCheck(std::ostream& out, const Check& check) {
  out << "| " << check.name << " | " << check.value << " | "
      << (check.at_least ? ">= " : "<= ") << check.bound << " | ";
  if (check.bar == kNoBar) {
    out << "- |";
  } else {
    out << (check.at_least ? ">= " : "<= ") << check.bar << " |";
  }
  out << (check.MissesBar() ? " misses the bar" : "")
      << (check.BreaksBound() ? " BREAKS THE BOUND" : "") << " |\n";
}

}  // namespace

bool Check::MissesBar() const {
  if (this->bar == kNoBar) {
    return false;
  }
  return this->at_least ? this->value < this->bar : this->value > this->bar;
}

bool Check::BreaksBound() const {
  return this->at_least ? this->value < this->bound : this->value > this->bound;
}

bool IsChecked(const CaseSpec& spec, std::string_view strategy) {
  if (strategy == kOwnStrategy) {
    return true;
  }
  return strategy == kOracle ? spec.checks.oracle : spec.checks.baselines;
}

std::vector<Check> MakeChecks(const std::vector<Figures>& results) {
  return CheckMaker(results).Make();
}

void SetBounds(std::vector<Check>& checks) {
  for (Check& check : checks) {
    const double margin =
        std::max(check.value * check.margin, check.min_margin);
    check.bound = check.at_least ? check.value - margin : check.value + margin;
    if (check.bar == kNoBar || check.MissesBar()) {
      continue;
    }
    check.bound = check.at_least ? std::max(check.bound, check.bar)
                                 : std::min(check.bound, check.bar);
  }
}

void ReadBounds(const std::filesystem::path& path, std::vector<Check>& checks) {
  const boost::json::value file = ReadJson(path);
  const boost::json::array& rows = file.at("checks").as_array();
  for (Check& check : checks) {
    const auto found = std::find_if(
        rows.begin(), rows.end(), [&check](const boost::json::value& row) {
          return row.at("name").as_string() == check.name;
        });
    if (found == rows.end()) {
      Fail(FailureKind::kMissingField, path, "no bound for " + check.name);
    }
    check.bound = boost::json::value_to<double>(found->at("bound"));
  }
}

void UpdateBounds(const std::filesystem::path& path,
                  const std::vector<Check>& checks) {
  boost::json::array rows;
  if (std::filesystem::exists(path)) {
    rows = ReadJson(path).at("checks").as_array();
  }
  for (const Check& check : checks) {
    const auto found = std::find_if(
        rows.begin(), rows.end(), [&check](const boost::json::value& row) {
          return row.at("name").as_string() == check.name;
        });
    if (found == rows.end()) {
      rows.push_back(ToRow(check));
    } else {
      *found = ToRow(check);
    }
  }
  std::ofstream out(path);
  WriteJson(out, boost::json::object{{"checks", rows}});
  out << "\n";
  if (!out) {
    Fail(FailureKind::kUnreadable, path, "can't be written");
  }
}

size_t WriteCheckResults(std::ostream& out, const std::vector<Check>& checks) {
  size_t missed = 0;
  size_t broken = 0;
  out << std::setprecision(4)
      << "\n| check | measured | bound | bar | |\n|---|---|---|---|---|\n";
  for (const Check& check : checks) {
    WriteCheck(out, check);
    missed += check.MissesBar() ? 1 : 0;
    broken += check.BreaksBound() ? 1 : 0;
  }
  out << "\n"
      << checks.size() << " checks, " << missed << " bars missed, " << broken
      << " bounds broken\n";
  return broken;
}

}  // namespace basilsill::bench

#include "report.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "model/cases.h"

namespace basilsill::bench {
namespace {

std::string Fixed(double value, int digits) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(digits) << value;
  return out.str();
}

std::string Percent(double share) {
  return share == 0 ? "0" : Fixed(share * 100, 2) + "%";
}

void AppendCount(std::string& list, std::string_view name, uint64_t count) {
  if (count > 0) {
    list += (list.empty() ? "" : ", ") + std::string(name) + " " +
            std::to_string(count);
  }
}

std::string RefusalList(const Figures& figures) {
  std::string list;
  for (size_t i = 1; i < figures.refusals.size(); ++i) {
    AppendCount(list, InfoOf(static_cast<Refusal>(i)).name,
                figures.refusals.at(i));
  }
  return list;
}

std::string RetryList(const Figures& figures) {
  std::string list;
  for (size_t i = 1; i < figures.retries.size(); ++i) {
    AppendCount(list, NameOf(static_cast<Retry>(i)), figures.retries.at(i));
  }
  return list;
}

void WriteHeading(std::ostream& out, const Figures& figures) {
  out << "\n### " << figures.case_name << ", " << figures.deployment << "\n\n";
  for (const CaseSpec& spec : Cases()) {
    if (spec.name == figures.case_name) {
      out << "Case: " << spec.description << ".\n\n";
    }
  }
  out << "| strategy | p50 | p99 | p99.9 | answered | errors | not run |"
         " unknown | goodput | attempts | messages | bytes | carried |"
         " idle/s | refusals | retries |\n"
         "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
}

void WriteRow(std::ostream& out, const Figures& figures) {
  const FlowFigures& flow = figures.measured;
  out << "| " << figures.strategy << " | " << Fixed(flow.latency.p50, 1)
      << " | " << Fixed(flow.latency.p99, 1) << " | "
      << Fixed(flow.latency.p999, 1) << " | " << Percent(flow.answered) << " | "
      << Percent(flow.failed) << " | " << Percent(flow.refused) << " | "
      << Percent(flow.unknown) << " | " << Fixed(figures.goodput, 3) << " | "
      << Fixed(figures.attempts, 3) << " | "
      << Fixed(figures.measuring_messages, 3) << " | "
      << Fixed(figures.measuring_bytes, 0) << " | "
      << Fixed(figures.carried_bytes, 0) << " | "
      << Fixed(figures.idle_messages, 1) << " | " << RefusalList(figures)
      << " | " << RetryList(figures) << " |\n";
}

using Cell = std::string (*)(const Figures&);

std::string P99Cell(const Figures& figures) {
  return Fixed(figures.measured.latency.p99, 1);
}

std::string P999Cell(const Figures& figures) {
  return Fixed(figures.measured.latency.p999, 1);
}

std::string LostCell(const Figures& figures) {
  return Percent(1 - figures.measured.answered);
}

std::string MessagesCell(const Figures& figures) {
  return Fixed(figures.measuring_messages, 2) + " (" +
         Fixed(figures.measuring_bytes, 0) + " B), idle " +
         Fixed(figures.idle_messages, 0) + "/s";
}

/// Writes a row for each case and deployment, with a column for each strategy.
void WriteSummaryTable(std::ostream& out,
                       std::string_view title,
                       const std::vector<Figures>& results,
                       Cell cell) {
  std::vector<std::string> strategies;
  for (const Figures& figures : results) {
    if (std::find(strategies.begin(), strategies.end(), figures.strategy) ==
        strategies.end()) {
      strategies.push_back(figures.strategy);
    }
  }
  out << "\n### " << title << "\n\n| case | deployment |";
  for (const std::string& strategy : strategies) {
    out << " " << strategy << " |";
  }
  out << "\n|---|---|";
  for (size_t i = 0; i < strategies.size(); ++i) {
    out << "---|";
  }
  const Figures* previous = nullptr;
  for (const Figures& figures : results) {
    if (previous == nullptr || previous->case_name != figures.case_name ||
        previous->deployment != figures.deployment) {
      out << "\n| " << figures.case_name << " | " << figures.deployment << " |";
    }
    out << " " << cell(figures) << " |";
    previous = &figures;
  }
  out << "\n";
}

boost::json::object FlowToJson(const FlowFigures& flow) {
  return {{"name", flow.name},          {"measured", flow.measured},
          {"requests", flow.requests},  {"p50_ms", flow.latency.p50},
          {"p99_ms", flow.latency.p99}, {"p999_ms", flow.latency.p999},
          {"answered", flow.answered},  {"failed", flow.failed},
          {"refused", flow.refused},    {"unknown", flow.unknown}};
}

boost::json::object RunToJson(const Figures& figures) {
  boost::json::array flows;
  for (const FlowFigures& flow : figures.flows) {
    flows.push_back(FlowToJson(flow));
  }
  boost::json::object refusals;
  boost::json::object retries;
  for (size_t i = 1; i < figures.refusals.size(); ++i) {
    if (figures.refusals.at(i) > 0) {
      refusals[InfoOf(static_cast<Refusal>(i)).name] = figures.refusals.at(i);
    }
  }
  for (size_t i = 1; i < figures.retries.size(); ++i) {
    if (figures.retries.at(i) > 0) {
      retries[NameOf(static_cast<Retry>(i))] = figures.retries.at(i);
    }
  }
  return {{"case", figures.case_name},
          {"deployment", figures.deployment},
          {"strategy", figures.strategy},
          {"measured", FlowToJson(figures.measured)},
          {"flows", flows},
          {"refusals", refusals},
          {"retries", retries},
          {"attempts_per_request", figures.attempts},
          {"goodput", figures.goodput},
          {"measuring_messages_per_request", figures.measuring_messages},
          {"measuring_bytes_per_request", figures.measuring_bytes},
          {"carried_bytes_per_request", figures.carried_bytes},
          {"idle_messages_per_second", figures.idle_messages},
          {"deaths", figures.deaths},
          {"late_submissions", figures.late_submissions},
          {"last_late_submission_s", InSeconds(figures.last_late_submission)}};
}

}  // namespace

void WriteTables(std::ostream& out, const std::vector<Figures>& results) {
  const Figures* previous = nullptr;
  for (const Figures& figures : results) {
    if (previous == nullptr || previous->case_name != figures.case_name ||
        previous->deployment != figures.deployment) {
      WriteHeading(out, figures);
    }
    WriteRow(out, figures);
    previous = &figures;
  }
}

void WriteSummary(std::ostream& out, const std::vector<Figures>& results) {
  WriteSummaryTable(out, "p99 in ms, a lost request counts as its deadline",
                    results, P99Cell);
  WriteSummaryTable(out, "p99.9 in ms", results, P999Cell);
  WriteSummaryTable(out, "Share of requests without an answer", results,
                    LostCell);
  WriteSummaryTable(out, "Measuring messages (and bytes) a request", results,
                    MessagesCell);
}

boost::json::value ToJson(const std::vector<Figures>& results) {
  boost::json::array runs;
  for (const Figures& figures : results) {
    runs.push_back(RunToJson(figures));
  }
  return boost::json::object{{"runs", runs}};
}

void WriteJson(std::ostream& out,
               const boost::json::value& value,
               const std::string& indent) {
  const std::string inner = indent + "  ";
  const char* separator = "\n";
  if (value.is_object() && !value.get_object().empty()) {
    out << "{";
    for (const auto& member : value.get_object()) {
      out << separator << inner << boost::json::serialize(member.key()) << ": ";
      WriteJson(out, member.value(), inner);
      separator = ",\n";
    }
    out << "\n" << indent << "}";
  } else if (value.is_array() && !value.get_array().empty()) {
    out << "[";
    for (const boost::json::value& item : value.get_array()) {
      out << separator << inner;
      WriteJson(out, item, inner);
      separator = ",\n";
    }
    out << "\n" << indent << "]";
  } else if (value.is_double()) {
    std::ostringstream number;
    number << std::setprecision(6) << value.get_double();
    out << number.str();
  } else {
    out << boost::json::serialize(value);
  }
}

}  // namespace basilsill::bench

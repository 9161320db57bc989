#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include "basilsill/base/error.h"
#include "report.h"

/// Compares the figures of all benchmarks with their bounds and with the last
/// committed figures.

namespace basilsill::bench {
namespace {

/// Bar of the time of one decision at the largest size, in nanoseconds. Times
/// depend on the machine, so they have no bound.
constexpr const char* kTimeBar = "| - | <= 2000";
constexpr const char* kLargest = "Decision/instances:14000";

struct Figure {
  std::string name;
  double value = 0;
};

std::string Short(double value) {
  std::ostringstream out;
  out << std::setprecision(4) << value;
  return out.str();
}

boost::json::value ReadJson(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  if (!in) {
    throw FailureError(
        Failure{FailureKind::kUnreadable, path, "can't be read"});
  }
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(text.str(), error);
  if (error) {
    throw FailureError(Failure{FailureKind::kSyntax, path, error.message()});
  }
  return value;
}

/// Reads a file written by `--write-bounds` of the other programs.
void ReadChecks(const std::string& path, std::vector<Figure>& figures) {
  const boost::json::value file = ReadJson(path);
  for (const boost::json::value& row : file.at("checks").as_array()) {
    figures.push_back({boost::json::value_to<std::string>(row.at("name")),
                       boost::json::value_to<double>(row.at("measured"))});
  }
}

/// Reads the medians from the JSON output of Google Benchmark, in nanoseconds.
void ReadTimes(const std::string& path, std::vector<Figure>& figures) {
  const boost::json::value file = ReadJson(path);
  for (const boost::json::value& row : file.at("benchmarks").as_array()) {
    const boost::json::object& run = row.as_object();
    if (!run.contains("aggregate_name") ||
        run.at("aggregate_name").as_string() != "median") {
      continue;
    }
    const double unit = run.at("time_unit").as_string() == "us" ? 1e3 : 1;
    figures.push_back(
        {"time_ns/" + boost::json::value_to<std::string>(run.at("run_name")),
         unit * boost::json::value_to<double>(run.at("cpu_time"))});
  }
}

/// @returns the table cells with the bound and the bar of `name`; "-" if it has
/// none.
std::string BoundOf(const boost::json::array& bounds, const std::string& name) {
  for (const boost::json::value& row : bounds) {
    const boost::json::object& check = row.as_object();
    if (check.at("name").as_string() != name) {
      continue;
    }
    const std::string sense = check.contains("at_least") ? ">= " : "<= ";
    const auto number = [&check](const char* key) {
      return Short(boost::json::value_to<double>(check.at(key)));
    };
    return "| " + sense + number("bound") + " | " +
           (check.contains("bar") ? sense + number("bar") : "-");
  }
  return name.find(kLargest) == std::string::npos ? "| - | -" : kTimeBar;
}

void WriteComparison(std::ostream& out,
                     const std::vector<Figure>& figures,
                     const boost::json::array& bounds,
                     const boost::json::object& previous) {
  out << "| figure | now | bound | bar | before | now / before |\n"
         "|---|---|---|---|---|---|\n";
  for (const Figure& figure : figures) {
    out << "| " << figure.name << " | " << Short(figure.value) << " "
        << BoundOf(bounds, figure.name) << " | ";
    const boost::json::value* before = previous.if_contains(figure.name);
    if (before == nullptr) {
      out << "- | - |\n";
      continue;
    }
    const auto value = boost::json::value_to<double>(*before);
    out << Short(value) << " | "
        << (value == 0 ? "-" : Short(figure.value / value)) << " |\n";
  }
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine line(
      "Compares benchmark figures with their bounds and the last committed "
      "ones");
  TCLAP::MultiArg<std::string> checks(
      "", "checks", "File written by --write-bounds", false, "file", line);
  TCLAP::MultiArg<std::string> times(
      "", "times", "File written by --benchmark_out", false, "file", line);
  TCLAP::ValueArg<std::string> previous("", "previous",
                                        "File of the figures to compare with",
                                        true, "", "file", line);
  TCLAP::ValueArg<std::string> bounds("", "bounds", "File of the bounds", true,
                                      "", "file", line);
  TCLAP::SwitchArg update("", "update",
                          "Write the new figures to the --previous file", line);
  line.parse(argc, argv);

  std::vector<Figure> figures;
  for (const std::string& path : checks.getValue()) {
    ReadChecks(path, figures);
  }
  for (const std::string& path : times.getValue()) {
    ReadTimes(path, figures);
  }
  boost::json::object before;
  if (std::ifstream(previous.getValue())) {
    before = ReadJson(previous.getValue()).as_object();
  }
  WriteComparison(std::cout, figures,
                  ReadJson(bounds.getValue()).at("checks").as_array(), before);
  if (update.getValue()) {
    boost::json::object now;
    for (const Figure& figure : figures) {
      now[figure.name] = figure.value;
    }
    std::ofstream out(previous.getValue());
    WriteJson(out, now);
    out << "\n";
  }
  return 0;
}

}  // namespace
}  // namespace basilsill::bench

int main(int argc, char** argv) {
  try {
    return basilsill::bench::Run(argc, argv);
  } catch (const basilsill::FailureError& error) {
    std::cerr << error.what() << "\n";
  }
  return 2;
}

#include "load_command.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <utility>
#include <vector>

#include <tclap/CmdLine.h>

#include "basilsill/base/endpoint.h"
#include "basilsill/ctl/load.h"
#include "load_mix.h"
#include "load_report.h"

namespace basilsill::ctl {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

using Endpoints = TCLAP::MultiArg<std::string>;

/// The command line of `load`.
struct LoadArguments {
  TCLAP::CmdLine line{"Generates load and checks every response.", ' ',
                      BASILSILL_VERSION};
  // Endpoints.
  Endpoints target{"",    "target",       "A node; may be repeated.",
                   false, "ADDRESS:PORT", this->line};
  Endpoints direct{"",    "direct",       "An upstream, for comparison.",
                   false, "ADDRESS:PORT", this->line};
  Endpoints executions_at{"",
                          "executions-at",
                          "An emulated upstream to query for execution counts.",
                          false,
                          "ADDRESS:PORT",
                          this->line};
  // Amount of load.
  TCLAP::ValueArg<double> rate{
      "", "rate", "Requests/s on each side.", false, 100, "N", this->line};
  TCLAP::ValueArg<double> duration{
      "", "duration", "Duration of the load.", false, 5, "SECONDS", this->line};
  TCLAP::ValueArg<double> warmup{
      "",        "warmup", "Initial time whose latencies are not counted.",
      false,     0,        "SECONDS",
      this->line};
  TCLAP::ValueArg<uint64_t> requests{
      "",  "requests", "Maximum number of requests on each side.", false, 0,
      "N", this->line};
  TCLAP::ValueArg<size_t> connections{
      "",  "connections", "Connections on each side.", false, 16,
      "N", this->line};
  TCLAP::ValueArg<size_t> idle{
      "",  "idle-connections", "Idle connections to hold.", false, 0,
      "N", this->line};
  TCLAP::SwitchArg closed_loop{"", "max-throughput",
                               "Send the next request on each response.",
                               this->line};
  TCLAP::ValueArg<size_t> threads{
      "", "threads", "Threads that send requests.", false, 1, "N", this->line};
  TCLAP::SwitchArg spin{"", "spin", "Busy-poll instead of sleeping.",
                        this->line};
  TCLAP::ValueArg<uint64_t> seed{
      "",  "seed",    "Random seed of arrivals and mix.", false, 1,
      "S", this->line};
  // Requests.
  TCLAP::ValueArg<std::string> mix{
      "", "mix", "File with a mix of requests.", false, "", "FILE", this->line};
  TCLAP::ValueArg<std::string> name{
      "",     "class",   "Name of the requests in the report.", false, "all",
      "NAME", this->line};
  TCLAP::ValueArg<std::string> method{"",    "method", "HTTP method.", false,
                                      "GET", "METHOD", this->line};
  TCLAP::ValueArg<std::string> host{"",          "host", "Host header.", false,
                                    "load.test", "HOST", this->line};
  TCLAP::ValueArg<std::string> path{
      "", "path", "Path of the request.", false, "/", "PATH", this->line};
  TCLAP::MultiArg<std::string> headers{
      "",    "header",     "A header of the request.",
      false, "NAME:VALUE", this->line};
  TCLAP::ValueArg<size_t> body_bytes{
      "", "body-bytes", "Bytes to upload.", false, 0, "N", this->line};
  TCLAP::SwitchArg once{
      "", "once", "Must not run twice: send an idempotency key.", this->line};
  TCLAP::SwitchArg crash{
      "", "crash", "Crash the upstream that runs the request.", this->line};
  // Behaviour of the caller.
  TCLAP::ValueArg<int64_t> deadline{
      "",  "deadline-ms", "Deadline of each request.", false, 0,
      "D", this->line};
  TCLAP::ValueArg<int64_t> timeout{
      "",  "timeout-ms", "Time-out of each request.", false, 10000,
      "T", this->line};
  TCLAP::ValueArg<unsigned> resends{
      "",  "resend",  "Maximum number of resends of a request.", false, 0,
      "N", this->line};
  // Report.
  TCLAP::MultiArg<int> processes{"",    "cpu-of", "ID of a process to measure.",
                                 false, "PID",    this->line};
  TCLAP::SwitchArg allow_refusals{"", "allow-refusals",
                                  "Refusals don't fail the run.", this->line};
  TCLAP::SwitchArg allow_broken{
      "", "allow-broken",
      "Missing, truncated or malformed responses don't fail the run.",
      this->line};
  TCLAP::ValueArg<std::string> output{
      "",        "output", "Format of the report: table or json.",
      false,     "table",  "FORMAT",
      this->line};
};

Result<std::vector<LoadEndpoint>> ReadEndpoints(const Endpoints& argument) {
  std::vector<LoadEndpoint> endpoints;
  for (const std::string& text : argument) {
    const Result<Endpoint> endpoint =
        ParseEndpoint(text, "--" + argument.getName());
    if (!endpoint) {
      return endpoint.error();
    }
    endpoints.push_back({endpoint.value().address, endpoint.value().port});
  }
  return endpoints;
}

milliseconds FromSeconds(double value) {
  return duration_cast<milliseconds>(std::chrono::duration<double>(value));
}

Result<LoadKind> ReadKind(const LoadArguments& arguments) {
  LoadKind kind;
  kind.name = arguments.name.getValue();
  kind.method = arguments.method.getValue();
  kind.host = arguments.host.getValue();
  kind.path = arguments.path.getValue();
  kind.body_bytes = arguments.body_bytes.getValue();
  kind.once = arguments.once.getValue();
  kind.crash = arguments.crash.getValue();
  for (const std::string& text : arguments.headers) {
    const size_t colon = text.find(':');
    if (colon == std::string::npos || colon == 0) {
      return Failure{FailureKind::kSyntax, "--header",
                     "found " + text + ", allowed is NAME:VALUE"};
    }
    kind.headers.push_back({text.substr(0, colon), text.substr(colon + 1)});
  }
  return kind;
}

CheckedResult<std::vector<LoadKind>> ReadMix(const LoadArguments& arguments) {
  if (!arguments.mix.isSet()) {
    auto kind = ReadKind(arguments);
    if (kind.has_error()) {
      return std::vector<Failure>{kind.error()};
    }
    return std::vector<LoadKind>{kind.value()};
  }
  std::ifstream file(arguments.mix.getValue());
  if (!file) {
    return std::vector<Failure>{{FailureKind::kUnreadable,
                                 arguments.mix.getValue(), "can't be opened"}};
  }
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  return ParseLoadMix(text);
}

// Reads one list of endpoints; appends to `failures` on an error.
void CollectEndpoints(const Endpoints& argument,
                      std::vector<LoadEndpoint>& endpoints,
                      std::vector<Failure>& failures) {
  auto read = ReadEndpoints(argument);
  if (read.has_error()) {
    failures.push_back(read.error());
  } else {
    endpoints = std::move(read.value());
  }
}

LoadOptions ReadNumbers(const LoadArguments& arguments) {
  LoadOptions options;
  options.rate = arguments.rate.getValue();
  options.duration = FromSeconds(arguments.duration.getValue());
  options.warmup = FromSeconds(arguments.warmup.getValue());
  options.requests = arguments.requests.getValue();
  options.connections = arguments.connections.getValue();
  options.idle_connections = arguments.idle.getValue();
  options.closed_loop = arguments.closed_loop.getValue();
  options.threads = arguments.threads.getValue();
  options.spin = arguments.spin.getValue();
  options.seed = arguments.seed.getValue();
  options.timeout = milliseconds(arguments.timeout.getValue());
  options.resends = arguments.resends.getValue();
  options.processes = arguments.processes.getValue();
  if (arguments.deadline.isSet()) {
    options.deadline = milliseconds(arguments.deadline.getValue());
  }
  return options;
}

CheckedResult<LoadOptions> ReadOptions(const LoadArguments& arguments) {
  LoadOptions options = ReadNumbers(arguments);
  std::vector<Failure> failures;
  CollectEndpoints(arguments.target, options.targets, failures);
  CollectEndpoints(arguments.direct, options.direct, failures);
  CollectEndpoints(arguments.executions_at, options.executions_at, failures);
  auto mix = ReadMix(arguments);
  if (mix.has_error()) {
    failures.insert(failures.end(), mix.error().begin(), mix.error().end());
  } else {
    options.mix = std::move(mix.value());
  }
  const std::string& output = arguments.output.getValue();
  if (output != "table" && output != "json") {
    failures.push_back({FailureKind::kOutOfRange, "--output",
                        "found " + output + ", allowed are table and json"});
  }
  if (!failures.empty()) {
    return failures;
  }
  return options;
}

}  // namespace

ExitStatus RunLoadCommand(const CommandArguments& arguments) {
  // On the heap, since TCLAP keeps pointers to the members.
  const auto parsed = std::make_unique<LoadArguments>();
  if (const auto status = ParseArguments(parsed->line, arguments)) {
    return *status;
  }
  const auto options = ReadOptions(*parsed);
  if (options.has_error()) {
    for (const Failure& failure : options.error()) {
      std::cerr << ToString(failure) << '\n';
    }
    return ExitStatus::kUsage;
  }
  const auto report = RunLoad(options.value());
  if (report.has_error()) {
    std::cerr << ToString(report.error()) << '\n';
    return ExitStatus::kUsage;
  }
  const LoadTolerance tolerance{parsed->allow_refusals.getValue(),
                                parsed->allow_broken.getValue()};
  if (parsed->output.getValue() == "json") {
    std::cout << ReportJson(report.value(), tolerance) << '\n';
  } else {
    PrintReport(report.value(), std::cout);
  }
  return IsGood(report.value(), tolerance) ? ExitStatus::kOk
                                           : ExitStatus::kFailed;
}

}  // namespace basilsill::ctl

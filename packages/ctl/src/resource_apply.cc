// `basilsillctl apply`, `drain` and `undrain`.

#include <algorithm>
#include <iostream>
#include <utility>

#include <tclap/CmdLine.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "basilsill/decision/resource.h"
#include "resource_client.h"
#include "resource_commands.h"
#include "resource_file.h"
#include "resource_options.h"
#include "resource_print.h"
#include "run_command.h"

namespace basilsill::ctl {
namespace {

namespace asio = boost::asio;
using StatusAwaitable = asio::awaitable<ExitStatus>;

constexpr std::string_view kDataCentreKind = "data-centres";

/// Interval at which --wait polls whether a change is in force.
constexpr std::chrono::milliseconds kWaitPollInterval{100};

// Returns the spec in the form in which nodes write it, with all defaults, so
// that a file that omits defaults compares equal. An invalid spec is returned
// unchanged.
std::string CanonicalSpec(const ResourcePath& path, const std::string& spec) {
  const auto position = std::find(std::begin(kResourceKinds),
                                  std::end(kResourceKinds), path.kind);
  const auto kind = static_cast<ResourceKind>(
      std::distance(std::begin(kResourceKinds), position));
  const auto resource = ReadResource({kind, path.name}, spec);
  return resource ? WriteResource(resource.value()) : spec;
}

bool IsSame(const DeclaredResource& declared, const ResourceAnswer& current) {
  return IsSameJson(CanonicalSpec(declared.path, declared.spec),
                    CanonicalSpec(declared.path, current.body));
}

/// Outcome of `apply` for one resource.
struct ApplyResult {
  std::string_view action;
  ResourceAnswer resource;
};

asio::awaitable<ApiResult<ApplyResult>> ApplyOne(
    ResourceClient& client,
    const DeclaredResource& declared) {
  const auto current = co_await client.Get(declared.path);
  if (!current) {
    co_return current.error();
  }
  const auto& known = current.value();
  if (known && IsSame(declared, *known)) {
    co_return ApplyResult{"unchanged", *known};
  }
  auto base = declared.version;
  if (!base && known) {
    base = known->version;
  }
  auto put = co_await client.Put(declared.path, declared.spec, base);
  if (!put) {
    co_return put.error();
  }
  co_return ApplyResult{known ? "replaced" : "created", std::move(put.value())};
}

void PrintApplied(OutputFormat format, const ApplyResult& applied) {
  const ResourceAnswer& resource = applied.resource;
  if (format == OutputFormat::kJson) {
    std::cout << "{\"action\":\"" << applied.action
              << "\",\"resource\":" << resource.whole << "}\n";
    return;
  }
  std::cout << applied.action << ' ' << resource.kind << '/' << resource.name
            << " version " << resource.version << '\n';
}

asio::awaitable<void> Sleep(std::chrono::milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

// Polls until version `wanted.version` or a later one is in force on every VM.
StatusAwaitable WaitInForce(ResourceClient& client,
                            const ResourceAnswer& wanted,
                            TimePoint deadline) {
  const ResourcePath path{wanted.kind, wanted.name};
  ResourceAnswer seen = wanted;
  while (seen.version < wanted.version || !seen.in_force) {
    if (MonotonicClock::now() >= deadline) {
      std::cerr << path.kind << '/' << path.name << " is in force on "
                << seen.in_force_on.size() << " VMs, not yet on all\n";
      co_return ExitStatus::kUnavailable;
    }
    co_await Sleep(kWaitPollInterval);
    auto current = co_await client.Get(path);
    if (!current) {
      co_return ReportError(current.error());
    }
    if (!current.value()) {
      co_return ReportMissing(path);
    }
    seen = *std::move(current.value());
  }
  co_return ExitStatus::kOk;
}

StatusAwaitable Apply(ResourceClient& client,
                      const std::vector<DeclaredResource>& declared,
                      const ResourceOptions& options,
                      bool wait) {
  std::vector<ResourceAnswer> accepted;
  for (const DeclaredResource& resource : declared) {
    const auto applied = co_await ApplyOne(client, resource);
    if (!applied) {
      std::cerr << resource.path.kind << '/' << resource.path.name << ", after "
                << accepted.size() << " of " << declared.size() << ":\n";
      co_return ReportError(applied.error());
    }
    PrintApplied(options.format(), applied.value());
    accepted.push_back(applied.value().resource);
  }
  const TimePoint deadline = MonotonicClock::now() + options.timeout();
  for (size_t i = 0; wait && i < accepted.size(); ++i) {
    const ExitStatus status =
        co_await WaitInForce(client, accepted[i], deadline);
    if (status != ExitStatus::kOk) {
      co_return status;
    }
  }
  co_return ExitStatus::kOk;
}

// Sets whether a data centre is drained.
ExitStatus SetDrained(bool drained,
                      const std::string& help,
                      const CommandArguments& arguments) {
  TCLAP::CmdLine line(
      help +
          " Exit status: 0 accepted, 2 usage, 3 conflict, 4 rejected, 5 "
          "unavailable or unresolved.",
      ' ', BASILSILL_VERSION);
  ResourceOptions options(line);
  TCLAP::SwitchArg wait("w", "wait", "Wait until in force on every live VM.",
                        line);
  TCLAP::UnlabeledValueArg<std::string> name("name", "Data centre.", true, "",
                                             "DATA-CENTRE", line);
  if (const auto status = options.Parse(line, arguments)) {
    return *status;
  }
  const auto path = CheckPath(std::string(kDataCentreKind), name.getValue());
  if (!path) {
    return ExitStatus::kUsage;
  }
  const Resource wanted{path->name, DataCentreSpec{drained}};
  DeclaredResource declared;
  declared.path = *path;
  declared.spec = WriteResource(wanted);
  asio::io_context io;
  ResourceClient client = options.MakeClient(io);
  return RunCommand(io, Apply(client, {declared}, options, wait.getValue()));
}

}  // namespace

ExitStatus RunDrain(const CommandArguments& arguments) {
  return SetDrained(true,
                    "Stops sending new requests to the upstreams of a data "
                    "centre; running requests continue.",
                    arguments);
}

ExitStatus RunUndrain(const CommandArguments& arguments) {
  return SetDrained(false, "Ends the drain of a data centre.", arguments);
}

ExitStatus RunApply(const CommandArguments& arguments) {
  TCLAP::CmdLine line(
      "Creates or replaces resources from a JSON file (comments allowed): one "
      "object {\"kind\", \"name\", \"spec\"} or an array of them, applied in "
      "the order given. Each change is based on the current version, or on the "
      "entry's \"version\". Stops at the first resource that is not accepted. "
      "Exit status: 0 all accepted, 2 usage, 3 conflict, 4 rejected, 5 "
      "unavailable or unresolved.",
      ' ', BASILSILL_VERSION);
  ResourceOptions options(line);
  TCLAP::ValueArg<std::string> file("f", "file",
                                    "File to apply; - for standard input.",
                                    true, "", "FILE", line);
  TCLAP::SwitchArg wait("w", "wait", "Wait until in force on every live VM.",
                        line);
  if (const auto status = options.Parse(line, arguments)) {
    return *status;
  }
  const auto declared = ReadResourceFile(file.getValue());
  if (!declared) {
    PrintFailures(std::cerr, declared.error());
    return ExitStatus::kUsage;
  }
  asio::io_context io;
  ResourceClient client = options.MakeClient(io);
  return RunCommand(io,
                    Apply(client, declared.value(), options, wait.getValue()));
}

}  // namespace basilsill::ctl

#include "resource_commands.h"

#include <iostream>
#include <utility>

#include <tclap/CmdLine.h>
#include <boost/asio/io_context.hpp>

#include "resource_client.h"
#include "resource_options.h"
#include "resource_print.h"
#include "run_command.h"

namespace basilsill::ctl {
namespace {

namespace asio = boost::asio;
constexpr std::string_view kAllKinds = "all";

using StatusAwaitable = asio::awaitable<ExitStatus>;

StatusAwaitable Get(ResourceClient& client,
                    const ResourcePath& path,
                    OutputFormat format) {
  const auto resource = co_await client.Get(path);
  if (!resource) {
    co_return ReportError(resource.error());
  }
  if (!resource.value()) {
    co_return ReportMissing(path);
  }
  PrintResource(std::cout, format, *resource.value());
  co_return ExitStatus::kOk;
}

StatusAwaitable List(ResourceClient& client,
                     const std::vector<std::string>& kinds,
                     OutputFormat format) {
  std::vector<ResourceAnswer> all;
  for (const std::string& kind : kinds) {
    auto list = co_await client.List(kind);
    if (!list) {
      co_return ReportError(list.error());
    }
    auto& found = list.value().resources;
    std::move(found.begin(), found.end(), std::back_inserter(all));
  }
  PrintResources(std::cout, format, all);
  co_return ExitStatus::kOk;
}

StatusAwaitable Delete(ResourceClient& client,
                       const ResourcePath& path,
                       std::optional<uint64_t> base) {
  if (!base) {
    const auto current = co_await client.Get(path);
    if (!current) {
      co_return ReportError(current.error());
    }
    if (!current.value()) {
      co_return ReportMissing(path);
    }
    base = current.value()->version;
  }
  const auto deleted = co_await client.Delete(path, *base);
  co_return deleted ? ExitStatus::kOk : ReportError(deleted.error());
}

StatusAwaitable Status(ResourceClient& client, OutputFormat format) {
  const auto status = co_await client.Status();
  if (!status) {
    co_return ReportError(status.error());
  }
  PrintDocument(std::cout, format, status.value());
  co_return ExitStatus::kOk;
}

}  // namespace

ExitStatus RunGet(const CommandArguments& arguments) {
  TCLAP::CmdLine line(
      "Shows one resource. Exit status: 0 shown, 2 usage, 4 "
      "no such resource, 5 unavailable.",
      ' ', BASILSILL_VERSION);
  ResourceOptions options(line);
  TCLAP::UnlabeledValueArg<std::string> kind("kind", "Resource kind.", true, "",
                                             "KIND", line);
  TCLAP::UnlabeledValueArg<std::string> name("name", "Resource name.", true, "",
                                             "NAME", line);
  if (const auto status = options.Parse(line, arguments)) {
    return *status;
  }
  const auto path = CheckPath(kind.getValue(), name.getValue());
  if (!path) {
    return ExitStatus::kUsage;
  }
  asio::io_context io;
  ResourceClient client = options.MakeClient(io);
  return RunCommand(io, Get(client, *path, options.format()));
}

ExitStatus RunList(const CommandArguments& arguments) {
  TCLAP::CmdLine line(
      "Shows the resources of one kind or of all kinds. Exit status: "
      "0 shown, 2 usage, 5 unavailable.",
      ' ', BASILSILL_VERSION);
  ResourceOptions options(line);
  TCLAP::UnlabeledValueArg<std::string> kind("kind", "Resource kind, or 'all'.",
                                             true, "", "KIND", line);
  if (const auto status = options.Parse(line, arguments)) {
    return *status;
  }
  std::vector<std::string> kinds(std::begin(kResourceKinds),
                                 std::end(kResourceKinds));
  if (kind.getValue() != kAllKinds) {
    const auto checked = CheckKind(kind.getValue());
    if (!checked) {
      return ExitStatus::kUsage;
    }
    kinds = {*checked};
  }
  asio::io_context io;
  ResourceClient client = options.MakeClient(io);
  return RunCommand(io, List(client, kinds, options.format()));
}

ExitStatus RunDelete(const CommandArguments& arguments) {
  TCLAP::CmdLine line(
      "Deletes one resource. Exit status: 0 deleted, 2 usage, "
      "3 conflict, 4 rejected, 5 unavailable or unresolved.",
      ' ', BASILSILL_VERSION);
  ResourceOptions options(line);
  TCLAP::ValueArg<uint64_t> version(
      "", "if-version",
      "Version that the resource must have (default: the current one).", false,
      0, "VERSION", line);
  TCLAP::UnlabeledValueArg<std::string> kind("kind", "Resource kind.", true, "",
                                             "KIND", line);
  TCLAP::UnlabeledValueArg<std::string> name("name", "Resource name.", true, "",
                                             "NAME", line);
  if (const auto status = options.Parse(line, arguments)) {
    return *status;
  }
  const auto path = CheckPath(kind.getValue(), name.getValue());
  if (!path) {
    return ExitStatus::kUsage;
  }
  const auto base =
      version.isSet() ? std::optional(version.getValue()) : std::nullopt;
  asio::io_context io;
  ResourceClient client = options.MakeClient(io);
  return RunCommand(io, Delete(client, *path, base));
}

ExitStatus RunStatus(const CommandArguments& arguments) {
  TCLAP::CmdLine line(
      "Shows the status of the installation, as one node reports it. Exit "
      "status: 0 shown, 2 usage, 5 unavailable.",
      ' ', BASILSILL_VERSION);
  ResourceOptions options(line);
  if (const auto status = options.Parse(line, arguments)) {
    return *status;
  }
  asio::io_context io;
  ResourceClient client = options.MakeClient(io);
  return RunCommand(io, Status(client, options.format()));
}

}  // namespace basilsill::ctl

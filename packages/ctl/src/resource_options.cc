#include "resource_options.h"

#include <iostream>

#include <boost/asio/io_context.hpp>

#include "basilsill/decision/resource.h"

namespace basilsill::ctl {
namespace {

constexpr unsigned kDefaultSeconds = 30;
const Endpoint kDefaultNode{"127.0.0.1", 8082};

std::vector<std::string> FormatNames() {
  return {"table", "json"};
}

}  // namespace

ResourceOptions::ResourceOptions(TCLAP::CmdLine& line)
    : formats([] {
        auto names = FormatNames();
        return TCLAP::ValuesConstraint<std::string>(names);
      }()),
      node("n",
           "node",
           "Admin endpoint of a node, repeated for failover (default " +
               ToString(kDefaultNode) + ").",
           false,
           "ADDRESS:PORT",
           line),
      output("o",
             "output",
             "Output format.",
             false,
             "table",
             &this->formats,
             line),
      seconds("",
              "timeout",
              "Time limit of each call and of --wait, in seconds.",
              false,
              kDefaultSeconds,
              "SECONDS",
              line) {}

std::optional<ExitStatus> ResourceOptions::Parse(
    TCLAP::CmdLine& line,
    const CommandArguments& arguments) {
  if (const auto status = ParseArguments(line, arguments)) {
    return status;
  }
  for (const std::string& text : this->node.getValue()) {
    auto endpoint = ParseEndpoint(text, "--node");
    if (!endpoint) {
      std::cerr << ToString(endpoint.error()) << '\n';
      return ExitStatus::kUsage;
    }
    this->endpoints.push_back(std::move(endpoint.value()));
  }
  if (this->endpoints.empty()) {
    this->endpoints.push_back(kDefaultNode);
  }
  return std::nullopt;
}

OutputFormat ResourceOptions::format() const {
  return this->output.getValue() == "json" ? OutputFormat::kJson
                                           : OutputFormat::kTable;
}

std::chrono::milliseconds ResourceOptions::timeout() const {
  return std::chrono::seconds(this->seconds.getValue());
}

ResourceClient ResourceOptions::MakeClient(boost::asio::io_context& io) const {
  return ResourceClient(io.get_executor(), this->endpoints, this->timeout());
}

std::optional<std::string> CheckKind(const std::string& text) {
  const auto kind = FindResourceKind(text);
  if (!kind) {
    std::cerr << "unknown kind '" << text << "'; must be one of";
    for (const std::string_view known : kResourceKinds) {
      std::cerr << ' ' << known;
    }
    std::cerr << '\n';
    return std::nullopt;
  }
  return std::string(*kind);
}

std::optional<ResourcePath> CheckPath(const std::string& kind,
                                      const std::string& name) {
  const auto checked_kind = CheckKind(kind);
  if (!checked_kind) {
    return std::nullopt;
  }
  if (!IsResourceName(name)) {
    std::cerr << "'" << name
              << "' is not a resource name: must have only lower-case letters, "
                 "digits and inner hyphens, expected length at most "
              << limits::kMaxNameLength << '\n';
    return std::nullopt;
  }
  return ResourcePath{*checked_kind, name};
}

}  // namespace basilsill::ctl

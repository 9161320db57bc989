#ifndef BASILSILL_CTL_RESOURCE_OPTIONS_H_
#define BASILSILL_CTL_RESOURCE_OPTIONS_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "basilsill/base/endpoint.h"
#include "command.h"
#include "resource_client.h"
#include "resource_print.h"

namespace boost::asio {
class io_context;
}

/// Command-line arguments that all resource commands share.

namespace basilsill::ctl {

/// Adds the shared arguments to a command line and gives access to their values
/// after Parse().
class ResourceOptions {
 public:
  explicit ResourceOptions(TCLAP::CmdLine& line);

  /// Parses `arguments` and checks the shared ones.
  /// @returns the status to exit with at once, or nothing to continue.
  std::optional<ExitStatus> Parse(TCLAP::CmdLine& line,
                                  const CommandArguments& arguments);

  const std::vector<Endpoint>& nodes() const { return this->endpoints; }
  OutputFormat format() const;
  std::chrono::milliseconds timeout() const;

  /// @returns a client of the nodes given with --node, which runs on `io`.
  ResourceClient MakeClient(boost::asio::io_context& io) const;

 private:
  TCLAP::ValuesConstraint<std::string> formats;
  TCLAP::MultiArg<std::string> node;
  TCLAP::ValueArg<std::string> output;
  TCLAP::ValueArg<unsigned> seconds;
  std::vector<Endpoint> endpoints;
};

/// @returns the kind with the name `text`. If there is none, prints an error
/// and returns nothing.
std::optional<std::string> CheckKind(const std::string& text);

/// @returns a path whose parts are safe in a request target. If the kind or the
/// name is invalid, prints an error and returns nothing.
std::optional<ResourcePath> CheckPath(const std::string& kind,
                                      const std::string& name);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_RESOURCE_OPTIONS_H_

#ifndef BASILSILL_CTL_RESOURCE_CLIENT_H_
#define BASILSILL_CTL_RESOURCE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "basilsill/base/endpoint.h"
#include "basilsill/platform/http_client.h"
#include "command.h"
#include "resource_answer.h"

/// Client for the resource API of nodes.

namespace basilsill::ctl {

/// Error of a call: the first failure, and all that the node reported.
struct ApiError : Failure {
  ExitStatus exit = ExitStatus::kFailed;
  std::vector<Failure> failures;
};
template <typename T>
using ApiResult = boost::outcome_v2::basic_result<T, ApiError, ThrowFailure>;

/// Kind and name of a resource in API paths.
struct ResourcePath {
  std::string kind;
  std::string name;
};

/// Sends each call to one node after the other until one answers. A change has
/// an id that makes it idempotent across all nodes, so that a change with an
/// unknown outcome is retried.
class ResourceClient {
 public:
  /// @param timeout Of one call to one node.
  ResourceClient(boost::asio::any_io_executor executor,
                 std::vector<Endpoint> nodes,
                 std::chrono::milliseconds timeout);

  /// @returns the resource, or nothing if it does not exist.
  boost::asio::awaitable<ApiResult<std::optional<ResourceAnswer>>> Get(
      ResourcePath path);

  /// @returns all resources of `kind`.
  boost::asio::awaitable<ApiResult<ResourceList>> List(std::string kind);

  /// Creates or replaces a resource.
  /// @param base Version that the change is based on; nothing to create the
  /// resource.
  /// @returns the resource as accepted. The error kUnresolved means that the
  /// outcome is unknown.
  boost::asio::awaitable<ApiResult<ResourceAnswer>>
  Put(ResourcePath path, std::string spec, std::optional<uint64_t> base);

  /// Deletes a resource whose current version is `base`.
  /// @returns ExitStatus::kOk. The error kUnresolved means that the outcome is
  /// unknown.
  boost::asio::awaitable<ApiResult<ExitStatus>> Delete(ResourcePath path,
                                                       uint64_t base);

  /// @returns the status of a node, JSON.
  boost::asio::awaitable<ApiResult<std::string>> Status();

 private:
  boost::asio::awaitable<ApiResult<HttpAnswer>> Call(HttpCall call);
  boost::asio::awaitable<ApiResult<HttpAnswer>> CallEachNode(
      const HttpCall& call);

  HttpClient http;
  std::vector<Endpoint> nodes;
  std::chrono::milliseconds timeout;
};

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_RESOURCE_CLIENT_H_

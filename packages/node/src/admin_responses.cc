#include "admin_responses.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "basilsill/node/log.h"

namespace basilsill {
namespace {

constexpr uint16_t kBadRequest = 400;
constexpr uint16_t kNotFound = 404;
constexpr uint16_t kMethodNotAllowed = 405;
constexpr uint16_t kInternalError = 500;

struct KindStatus {
  FailureKind kind;
  uint16_t status;
};

/// Statuses of the failure kinds; kinds not listed here give 400.
constexpr std::array kStatuses = {
    KindStatus{FailureKind::kInUse, 409},
    KindStatus{FailureKind::kConflict, 409},
    KindStatus{FailureKind::kNotFound, 404},
    KindStatus{FailureKind::kLimitReached, 429},
    KindStatus{FailureKind::kPlatformUnavailable, 503},
    KindStatus{FailureKind::kPlatformRejected, 502},
    KindStatus{FailureKind::kTrimmed, 410},
    KindStatus{FailureKind::kUnresolved, 504},
    KindStatus{FailureKind::kNetwork, 502},
};

AdminResponse InternalErrorResponse(const AdminRequest& request,
                                    std::string_view fault) {
  Log(Event::kAdminRequestFailed,
      {{"method", request.method}, {"path", request.path}, {"fault", fault}});
  return FailureResponse(kInternalError,
                         {FailureKind::kInternal, request.path,
                          "internal fault; see the log of the node"});
}

}  // namespace

AdminResponse FailureResponse(uint16_t status,
                              std::span<const Failure> failures) {
  boost::json::array list;
  for (const Failure& failure : failures) {
    list.push_back({{"kind", std::string(FailureName(failure.kind))},
                    {"path", failure.path},
                    {"detail", failure.detail}});
  }
  AdminResponse response;
  response.head.status = status;
  response.body = boost::json::serialize(
                      boost::json::value{{"failures", std::move(list)}}) +
                  "\n";
  return response;
}

uint16_t HttpStatusOf(FailureKind kind) {
  const auto row =
      std::find_if(kStatuses.begin(), kStatuses.end(),
                   [kind](const KindStatus& s) { return s.kind == kind; });
  return row == kStatuses.end() ? kBadRequest : row->status;
}

AdminResponse FailureResponse(uint16_t status, const Failure& failure) {
  return FailureResponse(status, std::span(&failure, 1));
}

AdminResponse NoRouteResponse(const NoRoute& no_route,
                              const AdminRequest& request) {
  if (no_route.allowed_methods.empty()) {
    return FailureResponse(kNotFound,
                           {FailureKind::kNotFound, request.path,
                            "the admin port has no route for this path"});
  }
  AdminResponse response = FailureResponse(
      kMethodNotAllowed,
      {FailureKind::kNotFound, request.path,
       "method " + request.method +
           " is not allowed; allowed methods: " + no_route.allowed_methods});
  response.head.headers.push_back({"Allow", no_route.allowed_methods});
  return response;
}

AdminResponse ExceptionResponse(const std::exception_ptr& thrown,
                                const AdminRequest& request) {
  try {
    std::rethrow_exception(thrown);
  } catch (const FailureError& error) {
    return FailureResponse(HttpStatusOf(error.failure().kind), error.failure());
  } catch (const std::exception& error) {
    return InternalErrorResponse(request, error.what());
  } catch (...) {
    return InternalErrorResponse(request, "unknown");
  }
}

}  // namespace basilsill

#ifndef BASILSILL_NODE_ADMIN_RESPONSES_H_
#define BASILSILL_NODE_ADMIN_RESPONSES_H_

#include <cstdint>
#include <exception>
#include <span>

#include "admin_router.h"
#include "basilsill/base/error.h"

/// Error responses of the admin port.

namespace basilsill {

/// @returns `{"failures": [{"kind": ..., "path": ..., "detail": ...}, ...]}`.
AdminResponse FailureResponse(uint16_t status,
                              std::span<const Failure> failures);
AdminResponse FailureResponse(uint16_t status, const Failure& failure);

/// @returns the HTTP status for a failure of `kind`.
uint16_t HttpStatusOf(FailureKind kind);

/// @returns 404 if the path has no route, else 405 with an `Allow` header.
AdminResponse NoRouteResponse(const NoRoute& no_route,
                              const AdminRequest& request);

/// @returns the response to a request whose handler threw: for a FailureError a
/// FailureResponse with the status from HttpStatusOf, for any other exception
/// one with status 500. The latter exceptions are also logged.
AdminResponse ExceptionResponse(const std::exception_ptr& thrown,
                                const AdminRequest& request);

}  // namespace basilsill

#endif  // BASILSILL_NODE_ADMIN_RESPONSES_H_

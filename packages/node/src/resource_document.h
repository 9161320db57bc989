#ifndef BASILSILL_NODE_RESOURCE_DOCUMENT_H_
#define BASILSILL_NODE_RESOURCE_DOCUMENT_H_

#include <optional>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

#include "control.h"
#include "log_source.h"

/// JSON documents in the responses of the resource API.

namespace basilsill {

/// @returns the name of `kind` in API paths, such as "upstream-sets".
std::string PathNameOf(ResourceKind kind);

/// @returns the kind whose PathNameOf is `name`; none if there is no such kind.
std::optional<ResourceKind> KindOfPath(std::string_view name);

/// @returns the resource with its kind, name, version, body and status.
boost::json::object MakeResourceDocument(const Control& control,
                                         const ResourceId& id,
                                         const ResourceEntry& entry);

/// @returns the response body of `GET /api/v1/status`.
boost::json::object MakeStatusDocument(const Control& control,
                                       const LogSource& log);

}  // namespace basilsill

#endif  // BASILSILL_NODE_RESOURCE_DOCUMENT_H_

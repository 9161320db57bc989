#ifndef BASILSILL_NODE_RESOURCE_DOCUMENT_H_
#define BASILSILL_NODE_RESOURCE_DOCUMENT_H_

#include <optional>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

#include "control.h"
#include "log_source.h"

/// Resources as the API's answers show them.

namespace basilsill {

/// @returns the name of `kind` in paths, such as "upstream-sets".
std::string PathNameOf(ResourceKind kind);

/// @returns the kind that a path calls `name`.
std::optional<ResourceKind> KindOfPath(std::string_view name);

/// @returns the resource with its version, body and status.
boost::json::object MakeResourceDocument(const Control& control,
                                         const ResourceId& id,
                                         const ResourceEntry& entry);

/// @returns what `GET /api/v1/status` answers.
boost::json::object MakeStatusDocument(const Control& control,
                                       const LogSource& log);

}  // namespace basilsill

#endif  // BASILSILL_NODE_RESOURCE_DOCUMENT_H_

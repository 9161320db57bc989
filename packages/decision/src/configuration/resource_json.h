#ifndef BASILSILL_DECISION_SRC_RESOURCE_JSON_H_
#define BASILSILL_DECISION_SRC_RESOURCE_JSON_H_

#include <string>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "basilsill/decision/resource.h"

/// Resources as parts of larger JSON documents: records and checkpoints.

namespace basilsill {

/// Reads the resource `id` from `value`.
/// @param path JSON pointer of `value`.
/// @param failures Receives the faults. If there are any, the returned resource
/// must not be used.
Resource ReadResource(const ResourceId& id,
                      const boost::json::value& value,
                      const std::string& path,
                      std::vector<Failure>& failures);

/// @returns `resource` in the form that ReadResource reads.
boost::json::object ToJson(const Resource& resource);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SRC_RESOURCE_JSON_H_

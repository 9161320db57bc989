#ifndef BASILSILL_NODE_LOAD_QUERY_H_
#define BASILSILL_NODE_LOAD_QUERY_H_

#include <string>

#include "basilsill/decision/dispatch.h"
#include "upstream_attempt.h"
#include "upstream_pool.h"

/// Queries the load of an upstream through its health check, on a connection of
/// the pool that requests use too.

namespace basilsill {

/// @param path Path of the health check.
Task<LoadQueryReport> QueryUpstreamLoad(UpstreamPool& pool,
                                        AttemptTarget target,
                                        std::string path);

}  // namespace basilsill

#endif  // BASILSILL_NODE_LOAD_QUERY_H_

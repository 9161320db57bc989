#ifndef BASILSILL_CTL_LOAD_EXECUTIONS_H_
#define BASILSILL_CTL_LOAD_EXECUTIONS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "basilsill/base/error.h"
#include "basilsill/ctl/load.h"
#include "load_worker.h"

/// Compares the outcomes that callers saw with the executions that the
/// upstreams counted.

namespace basilsill::ctl {

/// Number of executions by idempotency key, over all upstreams.
using LoadExecutions = std::map<std::string, uint64_t, std::less<>>;

/// Adds the executions in the body of an upstream's `GET /_control/stats`.
/// @returns kSyntax if `stats` is no such body.
Result<void> AddExecutions(std::string_view stats, LoadExecutions& executions);

/// @returns the executions of `keys`, and the contradictions between their
/// outcomes and `executions`. Does not set `unreachable`.
LoadExecutionReport CompareExecutions(const std::vector<LoadKeyOutcome>& keys,
                                      const LoadExecutions& executions);

/// Queries each upstream of `endpoints`; blocks.
/// @param unreachable Set to the number of upstreams that returned no counts.
LoadExecutions FetchExecutions(const std::vector<LoadEndpoint>& endpoints,
                               uint64_t& unreachable);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_LOAD_EXECUTIONS_H_

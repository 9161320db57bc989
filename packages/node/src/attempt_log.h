#ifndef BASILSILL_NODE_ATTEMPT_LOG_H_
#define BASILSILL_NODE_ATTEMPT_LOG_H_

#include <string>

#include "basilsill/base/endpoint.h"
#include "basilsill/decision/dispatch.h"
#include "upstream_attempt.h"

/// Log lines about attempts at upstreams and about state changes of upstreams.

namespace basilsill {

/// One attempt that has ended.
struct EndedAttempt {
  const std::string& request_id;
  const std::string& upstream;  ///< Its instance id, or its endpoint.
  const DispatchAction& action;
  const AttemptReport& report;
  const AttemptTrace& trace;
  Duration waited;  ///< From arrival at the dispatcher to the attempt's start.
  Duration took;    ///< Time at the upstream.
};

/// Logs one line for each attempt. Failures have an event of their own, so that
/// they remain visible among many successes.
void LogAttempt(const EndedAttempt& attempt);

/// Logs a state change of an upstream. Events that concern only scheduling are
/// not logged.
void LogUpstreamEvent(const UpstreamEvent& event, const Endpoint& upstream);

}  // namespace basilsill

#endif  // BASILSILL_NODE_ATTEMPT_LOG_H_

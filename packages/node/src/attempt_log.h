#ifndef BASILSILL_NODE_ATTEMPT_LOG_H_
#define BASILSILL_NODE_ATTEMPT_LOG_H_

#include <string>

#include "basilsill/base/endpoint.h"
#include "basilsill/decision/dispatch.h"

/// What the log tells of attempts at upstreams and of upstreams themselves.

namespace basilsill {

/// One attempt that has ended.
struct EndedAttempt {
  const std::string& request_id;
  const std::string& upstream;  ///< Its id, or its endpoint.
  const DispatchAction& action;
  const AttemptReport& report;
  Duration waited;  ///< From the request's arrival at the dispatcher.
  Duration took;    ///< At the upstream.
};

/// One line an attempt. Failures have an event of their own, so that a flood of
/// successes does not crowd them out.
void LogAttempt(const EndedAttempt& attempt);

/// Kinds that only tell of scheduling have no line.
void LogUpstreamEvent(const UpstreamEvent& event, const Endpoint& upstream);

}  // namespace basilsill

#endif  // BASILSILL_NODE_ATTEMPT_LOG_H_

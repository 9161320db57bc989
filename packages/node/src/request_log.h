#ifndef BASILSILL_NODE_REQUEST_LOG_H_
#define BASILSILL_NODE_REQUEST_LOG_H_

#include <string_view>

#include "basilsill/base/event.h"
#include "caller_host.h"
#include "http_message.h"

/// Logs how requests of callers ended.

namespace basilsill {

/// Logs the end of a request without a complete answer, with the dispatchers
/// that were asked and what each of them said.
/// @param team Name of the caller's team.
void LogRequestEnd(Event event,
                   const RoutingView& view,
                   const RequestMessage& request,
                   std::string_view team,
                   const RequestEnd& end);

}  // namespace basilsill

#endif  // BASILSILL_NODE_REQUEST_LOG_H_

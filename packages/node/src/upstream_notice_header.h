#ifndef BASILSILL_NODE_UPSTREAM_NOTICE_HEADER_H_
#define BASILSILL_NODE_UPSTREAM_NOTICE_HEADER_H_

#include "basilsill/base/endpoint.h"
#include "basilsill/base/error.h"
#include "basilsill/decision/upstream_notice.h"
#include "basilsill/node/installation.h"
#include "http_message.h"

/// Reads what an upstream says in the head of an answer about the new requests
/// that it wants.

namespace basilsill {

/// @returns whether the answer says that the upstream is leaving: `1` or `true`
/// does, `0` or `false` does not. kSyntax for any other value, kDuplicate if
/// the header appears more than once.
Result<bool> ParseLeaving(const HttpFields& answer, const std::string& name);

/// @returns how long the upstream wants no requests, from `Retry-After` of an
/// answer with status 503; 0 if it does not say. kSyntax if the value is not a
/// decimal number of seconds, kOutOfRange if it is negative or not finite,
/// kDuplicate if the header appears more than once. A value above
/// limits::kMaxUpstreamRest is reduced to it.
Result<Duration> ParseRest(const HttpFields& answer, unsigned status);

/// Reads both. A malformed value is logged and counts as not said.
UpstreamNotice ReadNotice(const HttpFields& answer,
                          unsigned status,
                          const HeaderNames& names,
                          const Endpoint& upstream);

}  // namespace basilsill

#endif  // BASILSILL_NODE_UPSTREAM_NOTICE_HEADER_H_

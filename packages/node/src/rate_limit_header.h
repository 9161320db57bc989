#ifndef BASILSILL_NODE_RATE_LIMIT_HEADER_H_
#define BASILSILL_NODE_RATE_LIMIT_HEADER_H_

#include <string>

#include "basilsill/base/endpoint.h"
#include "basilsill/base/error.h"
#include "basilsill/decision/dispatch.h"
#include "http_message.h"

/// The rate limit that an upstream names in the head of an answer.

namespace basilsill {

/// @param name Of the header; empty if upstreams have none.
/// @returns what `answer` says; kSyntax if it is no decimal number, kOutOfRange
/// if it is negative or not finite, kDuplicate if it stands there twice.
Result<AdvertisedRateLimit> ParseRateLimit(const HttpFields& answer,
                                           const std::string& name);

/// As `ParseRateLimit`; what can't be read is logged, and says nothing.
AdvertisedRateLimit ReadRateLimit(const HttpFields& answer,
                                  const std::string& name,
                                  const Endpoint& upstream);

}  // namespace basilsill

#endif  // BASILSILL_NODE_RATE_LIMIT_HEADER_H_

#ifndef BASILSILL_NODE_RATE_LIMIT_HEADER_H_
#define BASILSILL_NODE_RATE_LIMIT_HEADER_H_

#include <string>

#include "basilsill/base/endpoint.h"
#include "basilsill/base/error.h"
#include "basilsill/decision/dispatch.h"
#include "http_message.h"

/// Reads the rate limit that an upstream advertises in the head of an answer.

namespace basilsill {

/// @param name Name of the header; empty if upstreams advertise none.
/// @returns the advertised rate limit; kSyntax if the value is not a decimal
/// number, kOutOfRange if it is negative or not finite, kDuplicate if the
/// header appears more than once.
Result<AdvertisedRateLimit> ParseRateLimit(const HttpFields& answer,
                                           const std::string& name);

/// As `ParseRateLimit`, but logs a malformed value and returns kUnknown.
AdvertisedRateLimit ReadRateLimit(const HttpFields& answer,
                                  const std::string& name,
                                  const Endpoint& upstream);

}  // namespace basilsill

#endif  // BASILSILL_NODE_RATE_LIMIT_HEADER_H_

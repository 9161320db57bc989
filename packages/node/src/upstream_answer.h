#ifndef BASILSILL_NODE_UPSTREAM_ANSWER_H_
#define BASILSILL_NODE_UPSTREAM_ANSWER_H_

#include <functional>

#include "http_message.h"
#include "upstream_pool.h"

/// Reads the answer to what was sent last on a connection to an upstream, and
/// skips what belongs to something that was sent before.

namespace basilsill {

/// @returns true if the answer with these headers is the expected one.
using IsExpectedAnswer = std::function<bool(const HttpFields& headers)>;

/// Reads answers until the expected one, whose head is then read and whose body
/// is not. An upstream can send an answer a second time, when the next one on
/// the connection is due.
/// @param no_body The expected answer has no body whatever its head says.
/// @returns kMalformed if too many answers belong to something else.
Task<HeadStatus> ReadExpectedHead(UpstreamConnection& connection,
                                  bool no_body,
                                  const IsExpectedAnswer& is_expected);

/// Reads an answer's body and discards it, so that the connection can carry
/// another request.
/// @param max_bytes Gives up after this many bytes.
/// @returns true if the end of the body was reached.
Task<bool> DropBody(UpstreamConnection& connection, size_t max_bytes);

}  // namespace basilsill

#endif  // BASILSILL_NODE_UPSTREAM_ANSWER_H_

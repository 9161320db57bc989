#ifndef BASILSILL_NODE_REFUSAL_ANSWER_H_
#define BASILSILL_NODE_REFUSAL_ANSWER_H_

#include <string>

#include "basilsill/node/installation.h"
#include "http_message.h"

/// The answers that the system itself generates for refused requests. Their
/// status, promise and reason come from the table of refusals.

namespace basilsill {

struct RefusalAnswer {
  AnswerHead head;   ///< With promise, reason and Retry-After.
  std::string body;  ///< The same as JSON.
};

/// @returns the answer to the caller for `outcome`.
RefusalAnswer MakeRefusalAnswer(const RequestMessage& request,
                                const ServeOutcome& outcome,
                                const HeaderNames& names);

}  // namespace basilsill

#endif  // BASILSILL_NODE_REFUSAL_ANSWER_H_

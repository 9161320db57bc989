#ifndef BASILSILL_NODE_REFUSAL_ANSWER_H_
#define BASILSILL_NODE_REFUSAL_ANSWER_H_

#include <string>

#include "basilsill/node/installation.h"
#include "http_message.h"

/// The answers that the system makes itself: status, promise and reason come
/// from the one table of reasons.

namespace basilsill {

struct RefusalAnswer {
  AnswerHead head;   ///< Promise, reason and when to come back.
  std::string body;  ///< JSON with the same.
};

/// @returns what the caller is told of `outcome`.
RefusalAnswer MakeRefusalAnswer(const RequestMessage& request,
                                const ServeOutcome& outcome,
                                const HeaderNames& names);

}  // namespace basilsill

#endif  // BASILSILL_NODE_REFUSAL_ANSWER_H_

#ifndef BASILSILL_NODE_REFUSAL_ANSWER_H_
#define BASILSILL_NODE_REFUSAL_ANSWER_H_

#include <string>

#include "basilsill/node/installation.h"
#include "http_message.h"
#include "metrics.h"

/// The answers that the system itself generates for refused requests. Their
/// status, promise and reason come from the table of refusals, and a promise
/// needs the proof that no send of the request has run it.

namespace basilsill {

struct RefusalAnswer {
  AnswerHead head;   ///< With promise, reason and Retry-After.
  std::string body;  ///< The same as JSON.
};

/// @param unsettled_before Unsettled sends of `request` before those that led
/// to `outcome`.
/// @param counts Counts replaced refusals, which are also logged.
/// @returns `outcome`; its refusal, if it promises that the request has not run
/// though a send since then may have run it, is replaced by one that promises
/// nothing.
ServeOutcome WithoutFalsePromise(const RequestMessage& request,
                                 uint32_t unsettled_before,
                                 const ServeOutcome& outcome,
                                 WorkerMetrics& counts);

/// @returns the answer to the caller for `outcome`.
RefusalAnswer MakeRefusalAnswer(const RequestMessage& request,
                                const ServeOutcome& outcome,
                                const HeaderNames& names);

}  // namespace basilsill

#endif  // BASILSILL_NODE_REFUSAL_ANSWER_H_

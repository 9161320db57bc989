#ifndef BASILSILL_NODE_ONCE_EXCHANGE_H_
#define BASILSILL_NODE_ONCE_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>

#include "async_event.h"
#include "claim_host.h"
#include "http_message.h"

/// A request that must not repeat, at its entry worker: acquires its claim,
/// serves it once, and records the outcome.

namespace basilsill {

/// The services of the worker that an exchange uses.
struct OnceServices {
  ClaimHost* claims = nullptr;
  Executor executor;
  uint64_t origin = 0;       ///< Identifies this process, see MakeClaimOrigin.
  std::string key_header{};  ///< Name of the header with the idempotency key.
  size_t kept_answer_bytes = limits::kMaxStoredResponseBytes;
};

/// Serves the request without regard to its key.
using ServeFunction =
    std::function<Task<ServeOutcome>(RequestMessage&, AnswerSink&)>;

/// Serves `request` through `serve` if its claim is granted, or replays the
/// stored response of its key.
/// @param team Name of the team, which scopes the key.
/// @param sequence Never used before by this process.
Task<ServeOutcome> ServeOnce(OnceServices services,
                             const std::string& team,
                             uint64_t sequence,
                             RequestMessage& request,
                             AnswerSink& sink,
                             ServeFunction serve);

}  // namespace basilsill

#endif  // BASILSILL_NODE_ONCE_EXCHANGE_H_

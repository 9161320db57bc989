#ifndef BASILSILL_NODE_LINK_EXCHANGE_H_
#define BASILSILL_NODE_LINK_EXCHANGE_H_

#include "http_message.h"
#include "peer_link.h"

/// One request over a data link, at its entry worker.

namespace basilsill {

/// Sends the request's body while it waits for the answer, passes the answer
/// on, and returns the outcome.
class LinkExchange {
 public:
  LinkExchange(PeerLinkPtr link,
               LinkStreamPtr stream,
               RequestMessage& request,
               AnswerSink& sink);

  /// @param inlined Bytes of the complete body that were sent with the Open.
  Task<ServeOutcome> Run(size_t inlined);

 private:
  enum class Step : uint8_t { kContinue, kDone, kCount };

  Task<void> SendBody(size_t inlined);
  Task<void> StopBody();
  Task<ServeOutcome> ReceiveAnswer();
  Task<Step> OnAnswer(wire::Answer answer);
  Task<Step> OnData(wire::Data data);
  Task<Step> OnEnd(const wire::End& end);
  void OnRefused(const wire::Refused& refused);
  void OnLost(wire::StreamProgress progress);
  Step NextStep(bool receiver_there, bool last);
  bool HasWholeAnswer() const;

  PeerLinkPtr link;
  LinkStreamPtr stream;
  RequestMessage& request;
  AnswerSink& sink;
  AsyncEvent body_sent;
  ServeOutcome outcome;
  bool answer_started = false;
  bool answer_ended = false;  ///< The answer has no further pieces.
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_LINK_EXCHANGE_H_

#ifndef BASILSILL_NODE_UPSTREAM_ATTEMPT_H_
#define BASILSILL_NODE_UPSTREAM_ATTEMPT_H_

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "async_event.h"
#include "basilsill/decision/dispatch.h"
#include "http_message.h"
#include "upstream_pool.h"

/// One attempt of a request at one upstream: sends it and takes its answer. An
/// answer of usual size is held until it is whole, so that one that breaks can
/// be replaced by another attempt's; a longer one goes on to the sink while it
/// comes.

namespace basilsill {

/// What the host of an attempt decides while it runs.
struct AttemptHooks {
  /// An answer begins that is too long to hold.
  /// @returns false if another attempt answers already; this one ends.
  std::function<bool()> on_answer;
  /// The connection was an old one and broke before any answer, as one does
  /// that the upstream was just closing.
  /// @returns true if the request may be sent there once more.
  std::function<bool()> may_resend;
};

/// A whole answer that was not passed on yet.
struct BufferedAnswer {
  AnswerHead head;
  std::string body;
};

class UpstreamAttempt {
 public:
  UpstreamAttempt(UpstreamPool& pool,
                  AttemptTarget target,
                  const RequestMessage& request,
                  AnswerSink& sink,
                  AttemptHooks hooks);

  /// Runs to the end.
  Task<AttemptReport> Run();

  /// Aborts a running attempt: the connection is closed, so that the
  /// upstream can see that nobody waits any more.
  void Cancel();

  /// As `Cancel`, but the attempt ends as timed out.
  void TimeOut();

  /// @returns true once part of an answer was passed on.
  bool answer_started() const { return this->has_started; }

  /// After `Run`: the answer, if it was held.
  std::optional<BufferedAnswer>& buffered() { return this->buffered_answer; }

 private:
  Task<bool> Connect(bool fresh);
  Task<bool> SendHead();
  Task<void> SendStreamedBody();
  Task<void> SendLastChunk();
  Task<bool> SendPiece(std::span<const char> piece);
  void StartStreamedBody();
  Task<void> StopStreamedBody();
  Task<HeadStatus> ReadAnswerHead();
  Task<HeadStatus> ReadMatchingHead();
  bool MatchesRequestId() const;
  Task<AttemptReport> Exchange();
  Task<AttemptReport> ReadAnswer();
  Task<AttemptReport> ReadOrStreamAnswer();
  Task<AttemptReport> StreamAnswer(AnswerHead head, std::string body_start);
  AnswerHead MakeHead();
  AttemptReport Failed(AttemptEnd end) const;
  AttemptReport Answered(unsigned status) const;
  AttemptEnd Classify() const;
  std::string_view AnswerHeader(const std::string& name) const;
  UpstreamLoad ReadLoad() const;

  UpstreamPool& pool;
  AttemptTarget target;
  const RequestMessage& request;
  AnswerSink& sink;
  AttemptHooks hooks;
  UpstreamConnectionPtr connection;
  std::optional<BufferedAnswer> buffered_answer;
  UpstreamLoad load;
  AdvertisedRateLimit rate_limit;
  AttemptEnd aborted = AttemptEnd::kCount;
  bool drain_sign = false;
  bool has_started = false;
  bool body_started = false;  ///< `body_sent` will be set.
  bool sending_body = false;
  bool reusable = false;
  AsyncEvent body_sent;
};

/// @returns what the header text of an upstream says of its load; not known if
/// it is not of the form "running,waiting,slots[,slowness in percent]".
UpstreamLoad ParseLoad(std::string_view text);

}  // namespace basilsill

#endif  // BASILSILL_NODE_UPSTREAM_ATTEMPT_H_

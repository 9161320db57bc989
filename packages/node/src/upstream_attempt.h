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

/// One attempt of a request at one upstream: sends the request and receives the
/// answer. An answer of usual size is buffered until it is complete, so that
/// the answer of another attempt can replace one that breaks off; a longer one
/// is streamed to the sink.

namespace basilsill {

/// Decisions that the host of an attempt makes while the attempt runs.
struct AttemptHooks {
  /// Called when the head of an answer is read that says something about the
  /// requests that the upstream wants.
  std::function<void(const UpstreamNotice&)> on_notice;
  /// Called when an answer begins that is too long to buffer.
  /// @returns false if another attempt is already answering; this attempt then
  /// ends.
  std::function<bool()> on_answer;
  /// Called when a reused connection broke before any answer, which happens if
  /// the upstream closes it while the request is being sent.
  /// @returns true if the request may be sent to this upstream once more.
  std::function<bool()> may_resend;
};

/// What showed that an attempt did not run its request.
enum class NotRunProof : uint8_t {
  kNone,
  kNotSent,      ///< No byte of the request was sent.
  kHeader,       ///< The answer has the header that says so.
  kMisdirected,  ///< Another instance answered that it is not the expected one.
  kCount
};

/// @returns the name of `proof` in logs.
std::string_view NameOf(NotRunProof proof);

/// The connection and the answer of an attempt, for the log.
struct AttemptTrace {
  uint64_t connection = 0;       ///< Serial number; 0: none was opened.
  uint32_t carried = 0;          ///< Sends on the connection before this one.
  uint32_t skipped_answers = 0;  ///< Late answers that arrived before its own.
  uint16_t status = 0;           ///< Of its answer; 0 if no head arrived.
  NotRunProof proof = NotRunProof::kNone;
};

/// A complete answer that was not passed on yet.
struct BufferedAnswer {
  AnswerHead head;
  std::string body;
};

class UpstreamAttempt {
 public:
  UpstreamAttempt(UpstreamPool& pool,
                  AttemptTarget target,
                  RequestMessage& request,
                  AnswerSink& sink,
                  AttemptHooks hooks);

  /// Runs the attempt to its end.
  Task<AttemptReport> Run();

  /// Aborts a running attempt. Closes the connection, so that the upstream can
  /// detect that the answer is no longer needed.
  void Cancel();

  /// As `Cancel`, but the attempt ends as timed out.
  void TimeOut();

  /// @returns true once part of an answer was passed on.
  bool answer_started() const { return this->has_started; }

  const AttemptTrace& trace() const { return this->traced; }

  /// After `Run`: the answer, if it was buffered.
  std::optional<BufferedAnswer>& buffered() { return this->buffered_answer; }

 private:
  Task<bool> Connect(bool fresh);
  Task<bool> SendHead();
  Task<void> SendStreamedBody();
  Task<void> SendLastChunk();
  Task<bool> SendPiece(std::span<const char> piece);
  bool NoteWrite(const NetError& error);
  void StartStreamedBody();
  Task<void> StopStreamedBody();
  Task<HeadStatus> ReadOwnHead();
  bool IsOwn(const HttpFields& headers) const;
  Task<AttemptReport> Exchange();
  void BeginSend();
  void ReleaseConnection();
  NotRunProof ProofOf(AttemptEnd end) const;
  Task<AttemptReport> ReadAnswer();
  Task<BodyPiece> ReadBody(std::span<char> buffer);
  Task<AttemptReport> ReadOrStreamAnswer();
  Task<AttemptReport> StreamAnswer(AnswerHead head, std::string body_start);
  Task<AttemptReport> StreamPieces(const AnswerHead& head,
                                   const std::string& body_start);
  AnswerHead MakeHead();
  AttemptReport Failed(AttemptEnd end) const;
  AttemptReport Answered(unsigned status) const;
  AttemptEnd Classify() const;
  bool IsUnprovenPromise(unsigned status) const;
  void NoteNotice(AttemptEnd end);
  std::string_view AnswerHeader(const std::string& name) const;
  UpstreamLoad ReadLoad() const;

  UpstreamPool& pool;
  AttemptTarget target;
  RequestMessage& request;
  AnswerSink& sink;
  AttemptHooks hooks;
  UpstreamConnectionPtr connection;
  std::optional<BufferedAnswer> buffered_answer;
  UpstreamLoad load;
  AdvertisedRateLimit rate_limit;
  UpstreamNotice notice;
  AttemptTrace traced;
  AttemptEnd aborted = AttemptEnd::kCount;
  bool has_started = false;
  bool body_started = false;  ///< `body_sent` will be set.
  bool sending_body = false;
  bool reusable = false;
  AsyncEvent body_sent;
};

/// @returns the load that an upstream reports in a header value of the form
/// "running,waiting,slots[,slowness in percent]"; not known if `text` has
/// another form.
UpstreamLoad ParseLoad(std::string_view text);

}  // namespace basilsill

#endif  // BASILSILL_NODE_UPSTREAM_ATTEMPT_H_

#ifndef BASILSILL_NODE_CALLER_EXCHANGE_H_
#define BASILSILL_NODE_CALLER_EXCHANGE_H_

#include <chrono>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "async_event.h"
#include "caller_host.h"
#include "http_message.h"
#include "http_reader.h"

/// One request of a caller and its answer. A connection can have several in
/// flight; their answers are written in the order of the requests.

namespace basilsill {

/// The part of a connection that its exchanges use.
class CallerWriter {
 public:
  virtual ~CallerWriter() = default;

  /// Decides whether the connection closes after the answer that is about to be
  /// written. If it does, no further request is read from it.
  /// @param must_close The exchange requires the close.
  /// @returns true if the connection closes.
  virtual bool DecideClose(bool must_close) = 0;

  /// Writes bytes of the answer of the first exchange in order.
  virtual Task<NetError> Write(
      std::span<const boost::asio::const_buffer> buffers) = 0;

  /// Resets the connection, so that the caller sees that the answer is
  /// incomplete.
  virtual void AbortConnection() = 0;

  /// While set, the connection is reset when the process ends.
  virtual void SetResetOnClose(bool resets) = 0;
};

class CallerExchange : public std::enable_shared_from_this<CallerExchange>,
                       private AnswerSink {
 public:
  /// @param writer Must outlive the exchange, as must `host`.
  CallerExchange(CallerHost& host, CallerWriter& writer);

  /// Reads the request's properties from its head.
  /// @param reader Has read the head of the request.
  /// @returns false if the request is refused whatever its body is; `Serve`
  /// then only sends the refusal.
  bool TakeHead(RequestReader& reader);

  /// Marks the request as unreadable; `Serve` then only sends the refusal.
  void SetFault(Refusal refusal);

  /// The rest of the body is not read: the connection closes after the answer.
  void LeaveBodyUnread() { this->must_close = true; }

  /// Sets the complete body of a request that was sent in chunks.
  void SetWholeBody(std::string body);

  /// Serves the request and writes its answer.
  Task<void> Serve();

  /// Allows this exchange to write: all earlier answers have been written.
  void SetTurn() {
    this->has_turn = true;
    this->turn.Set();
  }

  /// The caller has disconnected: cancels the request, unless it must not
  /// repeat.
  void Abandon();

  /// Takes the request back if this VM ends before it could be answered. It is
  /// answered as not run, unless an upstream has it.
  void WithdrawIfLate();

  /// Cancels a request that is past its deadline, whichever component works on
  /// it, unless its complete answer only waits for its turn.
  void Tick(TimePoint now);

  RequestMessage& message() { return this->request; }

  /// @returns true if `Serve` needs the complete body.
  bool wants_whole_body() const;

  bool answer_started() const { return this->has_started; }
  TimePoint last_written() const { return this->written_at; }
  TimePoint began_at() const { return this->began; }

 private:
  void SetNoRoute();
  bool CheckApiKey(const HttpFields& headers, const RuleRow& rule);
  void FillRequest(const RequestReader::Parser& parser, const RuleRow& rule);
  void SetDeadline(const HttpFields& headers, const RuleRow& rule);
  void SetTeam(const RuleRow& rule);
  Task<ServeOutcome> ServeWithinQuota();
  CreditClaim MakeCreditClaim() const;
  Task<ServeOutcome> ServeByRule();
  Task<ServeOutcome> PassOn();
  Task<void> Refuse(const ServeOutcome& outcome);
  ServeOutcome MapExpiredOutcome(ServeOutcome outcome) const;
  void AbortUnfinishedAnswer();
  bool HasWholeAnswer() const;
  Task<bool> Begin(const AnswerHead& head,
                   std::span<const char> piece,
                   bool last);
  bool FitsDeclaredLength(size_t size, bool last);
  void ReportEnd(const ServeOutcome& outcome);
  Task<NetError> WriteLastChunk(const HttpFields* trailers);
  void CancelWork();

  // AnswerSink
  Task<bool> Start(const AnswerHead& head,
                   std::span<const char> piece,
                   bool last) override;
  Task<bool> Continue(std::span<const char> piece,
                      bool last,
                      const HttpFields* trailers) override;
  void Break() override;

  CallerHost& host;
  CallerWriter& writer;
  RequestMessage request;
  /// Time left that the caller declares; below zero if it can't be read.
  std::optional<std::chrono::milliseconds> declared_time;
  TeamHandle key_team;  ///< Team of the API key, if the rule requires one.
  Refusal fault = Refusal::kNone;
  AsyncEvent turn;
  std::string out;
  TimePoint began;
  TimePoint written_at{};
  /// Bytes of the body that the head declares and that are not yet written.
  std::optional<uint64_t> body_left;
  bool http_1_0 = false;
  bool must_close = false;
  bool chunked_answer = false;
  bool ends_with_close = false;  ///< Only the close ends the answer.
  bool has_turn = false;
  bool has_started = false;
  bool has_ended = false;  ///< The answer was written up to its end.
  bool expired = false;
  bool abandoned = false;
  bool answer_aborted = false;  ///< The answer broke off before its end.
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_CALLER_EXCHANGE_H_

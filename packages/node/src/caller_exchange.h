#ifndef BASILSILL_NODE_CALLER_EXCHANGE_H_
#define BASILSILL_NODE_CALLER_EXCHANGE_H_

#include <memory>
#include <span>
#include <string>

#include "async_event.h"
#include "caller_host.h"
#include "http_message.h"
#include "http_reader.h"

/// One request of a caller with its answer. A connection can have several at
/// once; each writes its answer when it is its turn.

namespace basilsill {

/// The connection, as an exchange sees it.
class CallerWriter {
 public:
  virtual ~CallerWriter() = default;

  /// @returns true if the connection has to close after the answer that is
  /// about to be written; no further request is then taken from it.
  virtual bool DecideClose(bool must_close) = 0;

  /// Writes bytes of the answer whose turn it is.
  virtual Task<NetError> Write(
      std::span<const boost::asio::const_buffer> buffers) = 0;

  /// The answer can't be finished: the caller must see that.
  virtual void AbortConnection() = 0;
};

class CallerExchange : public std::enable_shared_from_this<CallerExchange>,
                       private AnswerSink {
 public:
  /// @param writer Outlives the exchange, as does `host`.
  CallerExchange(CallerHost& host, CallerWriter& writer);

  /// Takes over what the head says.
  /// @param reader Has read the head of the request.
  /// @returns false if the request is refused whatever its body is; `Serve`
  /// then only refuses it.
  bool TakeHead(RequestReader& reader);

  /// The request can't be read; `Serve` only refuses it.
  void SetFault(Refusal refusal);

  /// The rest of the body stays unread: the connection ends with the answer.
  void LeaveBodyUnread() { this->must_close = true; }

  /// Gives the whole body of a request that came in chunks.
  void SetWholeBody(std::string body);

  /// Has the request served and its answer written.
  Task<void> Serve();

  /// It is this exchange's turn to write.
  void SetTurn() { this->turn.Set(); }

  /// The caller is gone: work for it ends.
  void Abandon();

  /// Ends a request that is past its time, whoever still works on it.
  void Tick(TimePoint now);

  RequestMessage& message() { return this->request; }

  /// @returns true if `Serve` needs the body whole.
  bool wants_whole_body() const;

  bool answer_started() const { return this->has_started; }
  TimePoint last_written() const { return this->written_at; }
  TimePoint began_at() const { return this->began; }

 private:
  bool CheckApiKey(const HttpFields& headers, const RuleRow& rule);
  void FillRequest(const RequestReader::Parser& parser, const RuleRow& rule);
  void SetDeadline(const HttpFields& headers, const RuleRow& rule);
  void SetTeam(const RuleRow& rule);
  Task<ServeOutcome> ServeWithinQuota();
  Task<ServeOutcome> ServeByRule();
  Task<void> Refuse(const ServeOutcome& outcome);
  ServeOutcome MapExpiredOutcome(ServeOutcome outcome) const;
  void ReportEnd(Refusal refusal);
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
  TeamHandle key_team;  ///< Whose API key the caller gave, if it needs one.
  Refusal fault = Refusal::kNone;
  AsyncEvent turn;
  std::string out;
  TimePoint began;
  TimePoint written_at{};
  bool http_1_0 = false;
  bool must_close = false;
  bool chunked_answer = false;
  bool has_turn = false;
  bool has_started = false;
  bool expired = false;
  bool abandoned = false;
  bool answer_aborted = false;  ///< The answer, by this side.
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_CALLER_EXCHANGE_H_

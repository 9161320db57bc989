#ifndef BASILSILL_NODE_CALLER_SESSION_H_
#define BASILSILL_NODE_CALLER_SESSION_H_

#include <deque>
#include <memory>
#include <span>
#include <string>

#include "async_event.h"
#include "caller_exchange.h"
#include "caller_host.h"
#include "http_reader.h"
#include "net.h"

/// One connection of a caller. Reads further requests while earlier ones are
/// being served, and writes the answers in the order of the requests.

namespace basilsill {

class CallerSession : public std::enable_shared_from_this<CallerSession>,
                      private CallerWriter,
                      private BodySource {
 public:
  CallerSession(CallerHost& host, Socket socket);

  /// Serves the connection until it is closed.
  Task<void> Run();

  /// Closes the connection if no request is in flight on it.
  void Drain();

  /// Takes back the requests that this node can't answer before it ends and
  /// that no upstream has.
  void WithdrawLate();

  /// Called periodically by the worker: closes connections that have been idle
  /// for too long, and ends requests that stall or exceed their time limit.
  void Tick(TimePoint now);

 private:
  using ExchangePtr = std::shared_ptr<CallerExchange>;

  Task<bool> ReadOne();
  Task<bool> ReadWholeBody(CallerExchange& exchange);
  Task<bool> ReadKnownBody(std::string& body, uint64_t length);
  Task<bool> ReadChunkedBody(CallerExchange& exchange);
  Task<void> ServeInline(ExchangePtr exchange);
  void ServeConcurrently(const ExchangePtr& exchange);
  void RefuseUnreadable(HeadStatus status);
  ExchangePtr Add();
  void Remove(const ExchangePtr& exchange);
  void Abandon();
  Task<void> ShutdownAndLinger();
  void BeginLinger();
  void CheckLinger(TimePoint now);
  bool LeavesRequestUnread() const;
  void AbortRequests();
  bool IsStalled(TimePoint now) const;
  void CheckIdle(TimePoint now);

  // CallerWriter
  bool DecideClose(bool must_close) override;
  Task<NetError> Write(
      std::span<const boost::asio::const_buffer> buffers) override;
  void AbortConnection() override;
  void SetResetOnClose(bool resets) override;

  void FilterTrailers(bool at_end);

  // BodySource
  Task<BodyPiece> Read(std::span<char> buffer) override;
  void Stop() override;
  const HttpFields* trailers() const override {
    return this->forwarded_trailers ? &*this->forwarded_trailers : nullptr;
  }

  CallerHost& host;
  Socket socket;
  RequestReader reader;
  std::deque<ExchangePtr> exchanges;  ///< The first one may write.
  AsyncBroadcast changed;             ///< An exchange was removed.
  /// Trailers of the last body read, without headers reserved to this VM.
  std::optional<HttpFields> forwarded_trailers;
  std::string body_prefix;  ///< Start of the streamed body, already read.
  TimePoint idle_since;
  TimePoint head_since = kNever;       ///< Start of an incomplete request head.
  TimePoint reading_since = kNever;    ///< Start of the pending body read.
  bool awaits_continue = false;        ///< 100 Continue is due.
  TimePoint lingering_since = kNever;  ///< Set by `BeginLinger`.
  bool closing = false;                ///< No further request is read.
  bool broken = false;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_CALLER_SESSION_H_

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

/// One connection of a caller. Reads requests while earlier ones are being
/// served, and lets the answers out in the order of the requests.

namespace basilsill {

class CallerSession : public std::enable_shared_from_this<CallerSession>,
                      private CallerWriter,
                      private BodySource {
 public:
  CallerSession(CallerHost& host, Socket socket);

  /// Serves the connection to its end.
  Task<void> Run();

  /// Ends the connection once no request is in flight on it.
  void Drain();

  /// Called now and then by the worker: closes connections that are idle for
  /// too long, and ends requests that stall or take too long.
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
  AsyncBroadcast changed;             ///< Of `exchanges`.
  /// Of the body that was read last, without what callers may not say.
  std::optional<HttpFields> forwarded_trailers;
  std::string body_prefix;  ///< Read already, of the body being streamed.
  TimePoint idle_since;
  TimePoint head_since = kNever;  ///< First byte of a head that is not whole.
  TimePoint reading_since = kNever;    ///< Of the body read that is pending.
  bool awaits_continue = false;        ///< And was not told yet.
  TimePoint lingering_since = kNever;  ///< The caller has to close since then.
  bool closing = false;                ///< No further request is taken.
  bool broken = false;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_CALLER_SESSION_H_

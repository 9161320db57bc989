#ifndef BASILSILL_CTL_LOAD_CONNECTION_H_
#define BASILSILL_CTL_LOAD_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "basilsill/ctl/load.h"
#include "load_check.h"
#include "load_schedule.h"

/// One keep-alive connection of the load generator.

namespace basilsill::ctl {

/// The data of one attempt that the connection sends.
struct LoadAttempt {
  const LoadKind* kind = nullptr;
  std::string tag;
  std::string key;  ///< Idempotency key; empty if there is none.
  /// Remaining time until the deadline, for the deadline header.
  std::optional<std::chrono::milliseconds> deadline_left;
};

class LoadConnection {
 public:
  using OnDone = std::function<void(LoadConnection&, LoadAttemptResult)>;

  /// @param done Called once for each Send(), but never from within Send().
  LoadConnection(boost::asio::io_context& io,
                 boost::asio::ip::tcp::endpoint endpoint,
                 OnDone done);
  ~LoadConnection();
  LoadConnection(const LoadConnection&) = delete;
  LoadConnection& operator=(const LoadConnection&) = delete;

  /// Opens the connection before its first use.
  /// @param opened Called with true if the connection is open.
  void Open(std::function<void(bool)> opened);

  /// Sends one request; connects first if the connection is closed.
  void Send(const LoadAttempt& attempt);

  /// Closes the connection if an exchange is active, which then ends with
  /// kTimedOut.
  void TimeOut();

  void Close();

  /// @returns true if the peer closed this idle connection, or if it was never
  /// open.
  bool IsClosed();

  /// Frees the buffers until the next Send(), unless an exchange is active.
  void ReleaseMemory();

  /// The request in flight; set and used by the owner of the connection.
  LoadCall call;
  TimePoint timeout_at = kNever;  ///< Time-out of the request in flight.
  size_t pool = 0;                ///< Index of the owner's pool.

 private:
  struct Exchange;

  void Connect(std::function<void(bool)> opened);
  void Write();
  void Read();
  void OnRead(boost::system::error_code error);
  void ConsumeBody();
  void Complete();
  void Fail(LoadVerdict verdict);
  void FinishExchange(LoadAttemptResult result);

  boost::asio::ip::tcp::endpoint address;
  boost::asio::ip::tcp::socket socket;
  OnDone on_done;
  /// Incremented by Close(), so that handlers of an aborted exchange can tell
  /// that it has ended.
  uint64_t epoch = 0;
  std::unique_ptr<Exchange> exchange;
};

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_LOAD_CONNECTION_H_

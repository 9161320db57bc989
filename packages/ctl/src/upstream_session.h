#ifndef BASILSILL_CTL_UPSTREAM_SESSION_H_
#define BASILSILL_CTL_UPSTREAM_SESSION_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "upstream_instance.h"

/// Sessions of an emulated instance.

namespace basilsill::ctl {

struct UpstreamRequest;

/// One connection of an emulated instance. It serves one request at a time.
class UpstreamSession : public std::enable_shared_from_this<UpstreamSession> {
 public:
  UpstreamSession(std::shared_ptr<UpstreamInstance> instance,
                  boost::asio::ip::tcp::socket socket);
  ~UpstreamSession();
  UpstreamSession(const UpstreamSession&) = delete;
  UpstreamSession& operator=(const UpstreamSession&) = delete;

  /// Serves requests until the connection closes.
  boost::asio::awaitable<void> Run();

  /// Applies a decision of the state machine about the current request.
  void Resume(const UpstreamStep& decision);

  /// Closes the connection at once, also while a request is in progress.
  void Close();

 private:
  enum class Phase : uint8_t {
    kIdle,
    kQueued,
    kRunning,
    kRefused,
    kClosed,  ///< The caller or the instance closed the connection.
    kCount
  };

  // Each of these answers one request and returns false if the connection must
  // be closed.
  boost::asio::awaitable<bool> Serve(const UpstreamRequest& request);
  boost::asio::awaitable<bool> ServeControl(const UpstreamRequest& request);
  boost::asio::awaitable<bool> ServeJob(const UpstreamRequest& request);
  boost::asio::awaitable<bool> AnswerRefusal(const UpstreamRequest& request);
  boost::asio::awaitable<bool> AnswerPattern(const UpstreamRequest& request,
                                             uint64_t size);
  boost::asio::awaitable<bool> AnswerText(const UpstreamRequest& request,
                                          unsigned status,
                                          std::string body,
                                          std::string_view reason = {});
  boost::asio::awaitable<bool> StreamPattern(const UpstreamRequest& request,
                                             uint64_t size);

  /// Submits a job and waits until it has run, was refused, or the connection
  /// closed.
  boost::asio::awaitable<Phase> RunJob(UpstreamJob job);
  /// Starts to wait for input, to detect that the caller closes the connection.
  void WatchForClose();
  void OnReadable();

  std::shared_ptr<UpstreamInstance> instance;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer wake_timer;
  boost::beast::flat_buffer buffer;
  std::vector<char> chunk;  ///< Allocated at the first streamed body.
  Phase phase = Phase::kIdle;
  UpstreamStep step;  ///< The last decision about the current request.
  bool watching_for_close = false;
};

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_UPSTREAM_SESSION_H_

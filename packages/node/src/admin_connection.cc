#include "admin_connection.h"

#include <algorithm>
#include <exception>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "admin_responses.h"
#include "basilsill/base/limits.h"

namespace basilsill {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::awaitable;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kReadBytes = 4096;
constexpr unsigned kHttp11 = 11;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
/// Limits on the input that CloseGently reads and discards.
constexpr std::chrono::milliseconds kLingerTime{1000};
constexpr size_t kMaxLingerBytes = 1024 * 1024;

using Parser = http::request_parser<http::string_body>;
using Reply = http::response<http::string_body>;

/// Socket and read buffer of one client connection.
struct Session {
  explicit Session(tcp::socket socket)
      : stream(std::move(socket)), stopped(this->stream.get_executor()) {
    this->stopped.expires_at(std::chrono::steady_clock::time_point::max());
  }

  void Stop() {
    this->stopped.cancel();
    error_code ignored;
    this->stream.socket().close(ignored);
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer{limits::kMaxUnparsedBytes};
  asio::steady_timer stopped;  ///< Never expires; Stop cancels it.
};

/// Properties of a request that determine how its response is framed.
struct Framing {
  unsigned version = kHttp11;
  bool keep_alive = false;
  bool head_only = false;
};

/// Result of a handler: a response, an exception, or neither if a stream
/// handler returned normally.
struct HandlerOutcome {
  std::optional<AdminResponse> response;
  std::exception_ptr thrown;
};

std::string_view View(beast::string_view text) {
  return {text.data(), text.size()};
}

AdminRequest MakeRequest(const http::request<http::string_body>& message) {
  AdminRequest request;
  request.method = message.method_string();
  const std::string_view target = View(message.target());
  const size_t path_end = std::min(target.find('?'), target.size());
  request.path = target.substr(0, path_end);
  request.query = target.substr(std::min(path_end + 1, target.size()));
  for (const auto& field : message) {
    request.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  request.body = message.body();
  return request;
}

template <typename Message>
void FillHead(Message& message, const AdminHead& head) {
  message.result(head.status);
  message.set(http::field::content_type, head.content_type);
  for (const HttpHeader& header : head.headers) {
    message.set(header.name, header.value);
  }
}

/// @returns 431 if the header is too large, 413 if the body is too large, 400
/// for any other input that Beast rejects.
AdminResponse MalformedResponse(error_code error) {
  const Failure failure{FailureKind::kSyntax, "", error.message()};
  if (error == http::error::header_limit) {
    return FailureResponse(431, failure);
  }
  if (error == http::error::body_limit) {
    return FailureResponse(413, failure);
  }
  return FailureResponse(400, failure);
}

/// @returns true if the input is not valid HTTP or exceeds a limit, false if
/// there is no error or the connection itself failed.
bool IsMalformed(error_code error) {
  return error.category() ==
         http::make_error_code(http::error::bad_method).category();
}

/// Writes a response of unknown length: with chunked transfer coding, or for
/// HTTP/1.0 delimited by the end of the connection.
class ChunkedStream : public AdminStream {
 public:
  ChunkedStream(Session& session,
                unsigned version,
                std::chrono::milliseconds write_timeout)
      : session(session), version(version), write_timeout(write_timeout) {}

  void SetHead(AdminHead new_head) override {
    this->head = std::move(new_head);
  }

  awaitable<void> Write(std::string_view chunk) override {
    if (!this->started) {
      co_await this->SendHead();
    }
    if (chunk.empty()) {
      co_return;  // An empty chunk would end the response.
    }
    this->RestartWriteTimeout();
    if (this->IsChunked()) {
      co_await asio::async_write(this->session.stream,
                                 http::make_chunk(asio::buffer(chunk)),
                                 use_awaitable);
    } else {
      co_await asio::async_write(this->session.stream, asio::buffer(chunk),
                                 use_awaitable);
    }
  }

  awaitable<void> Finish() {
    if (!this->started) {
      co_await this->SendHead();
    }
    if (this->IsChunked()) {
      this->RestartWriteTimeout();
      co_await asio::async_write(this->session.stream, http::make_chunk_last(),
                                 use_awaitable);
    }
  }

  bool IsChunked() const { return this->version >= kHttp11; }
  bool is_started() const { return this->started; }

 private:
  awaitable<void> SendHead() {
    http::response<http::empty_body> message;
    message.version(this->version);
    FillHead(message, this->head);
    message.chunked(this->IsChunked());
    message.keep_alive(this->IsChunked());
    http::response_serializer<http::empty_body> serializer(message);
    this->started = true;
    this->RestartWriteTimeout();
    co_await http::async_write_header(this->session.stream, serializer,
                                      use_awaitable);
  }

  void RestartWriteTimeout() {
    this->session.stream.expires_after(this->write_timeout);
  }

  Session& session;
  unsigned version;
  std::chrono::milliseconds write_timeout;
  AdminHead head;
  bool started = false;
};

/// Waits until the client disconnects or the server stops. Bytes that arrive
/// meanwhile belong to the next request and are left in the socket.
/// @param eof_means_gone Whether a half-closed connection counts as
/// disconnected. Some simple clients shut down their sending side and still
/// wait for the response.
awaitable<void> WaitUntilGone(Session& session, bool eof_means_gone) {
  error_code error;
  co_await session.stream.socket().async_wait(
      tcp::socket::wait_read, asio::redirect_error(use_awaitable, error));
  if (!session.stream.socket().is_open()) {
    co_return;
  }
  const bool ended = session.stream.socket().available(error) == 0;
  if (error || (ended && eof_means_gone)) {
    co_return;
  }
  co_await session.stopped.async_wait(
      asio::redirect_error(use_awaitable, error));
}

awaitable<HandlerOutcome> CallHandler(const AdminHandler& handler,
                                      const AdminRequest& request) {
  HandlerOutcome outcome;
  try {
    outcome.response = co_await handler(request);
  } catch (...) {
    outcome.thrown = std::current_exception();
  }
  co_return outcome;
}

awaitable<HandlerOutcome> CallHandler(const AdminStreamHandler& handler,
                                      const AdminRequest& request,
                                      ChunkedStream& stream) {
  HandlerOutcome outcome;
  try {
    co_await handler(request, stream);
  } catch (...) {
    outcome.thrown = std::current_exception();
  }
  co_return outcome;
}

}  // namespace

/// Reads requests from one connection and writes the responses.
struct AdminConnection::State {
  State(tcp::socket socket,
        const AdminOptions& options,
        const AdminRouter& router)
      : session(std::move(socket)), options(options), router(router) {}

  awaitable<void> Serve() {
    bool keep_alive = true;
    while (keep_alive) {
      keep_alive = co_await this->ServeOne();
    }
    co_await this->CloseGently();
  }

  /// Reads one request and writes its response.
  /// @returns false if the connection must be closed.
  awaitable<bool> ServeOne() {
    co_await this->WaitForBytes();
    Parser parser;
    parser.header_limit(static_cast<uint32_t>(this->options.max_header_bytes));
    parser.body_limit(this->options.max_body_bytes);
    this->session.stream.expires_after(this->options.read_timeout);
    const error_code error = co_await this->Read(parser);
    if (IsMalformed(error)) {
      const AdminResponse response = MalformedResponse(error);
      co_await this->Send(response, Framing{});
      co_return false;
    }
    if (error) {
      throw boost::system::system_error(error);
    }
    const bool keep_alive = parser.get().keep_alive();
    const Framing framing{parser.get().version(), keep_alive,
                          parser.get().method() == http::verb::head};
    const AdminRequest request = MakeRequest(parser.get());
    co_return co_await this->HandleRequest(request, framing);
  }

  /// Waits for the first bytes of the next request, up to the idle timeout.
  awaitable<void> WaitForBytes() {
    if (this->session.buffer.size() > 0) {
      co_return;
    }
    this->session.stream.expires_after(this->options.idle_timeout);
    const size_t received = co_await this->session.stream.async_read_some(
        this->session.buffer.prepare(kReadBytes), use_awaitable);
    this->session.buffer.commit(received);
  }

  awaitable<error_code> Read(Parser& parser) {
    error_code error;
    co_await http::async_read_header(
        this->session.stream, this->session.buffer, parser,
        asio::redirect_error(use_awaitable, error));
    if (error) {
      co_return error;
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      co_await asio::async_write(this->session.stream, asio::buffer(kContinue),
                                 use_awaitable);
    }
    co_await http::async_read(this->session.stream, this->session.buffer,
                              parser,
                              asio::redirect_error(use_awaitable, error));
    co_return error;
  }

  awaitable<bool> HandleRequest(const AdminRequest& request,
                                const Framing& framing) {
    // No timeout applies to the handler itself, only to writes.
    this->session.stream.expires_never();
    const auto found = this->router.Find(request.method, request.path);
    if (const NoRoute* const no_route = std::get_if<NoRoute>(&found)) {
      const AdminResponse response = NoRouteResponse(*no_route, request);
      co_return co_await this->Send(response, framing);
    }
    const AdminRoute& route = *std::get<const AdminRoute*>(found);
    if (const auto* const buffered =
            std::get_if<AdminHandler>(&route.handler)) {
      co_return co_await this->HandleBuffered(*buffered, request, framing);
    }
    if (framing.head_only) {
      // A stream's head is only known once its handler runs.
      const AdminResponse response = NoRouteResponse({"GET"}, request);
      co_return co_await this->Send(response, framing);
    }
    const auto& streamed = std::get<AdminStreamHandler>(route.handler);
    co_return co_await this->HandleStreamed(streamed, request, framing);
  }

  awaitable<bool> HandleBuffered(const AdminHandler& handler,
                                 const AdminRequest& request,
                                 const Framing& framing) {
    using asio::experimental::awaitable_operators::operator||;
    auto outcome =
        co_await (CallHandler(handler, request) ||
                  WaitUntilGone(this->session, /*eof_means_gone=*/false));
    if (outcome.index() != 0) {
      co_return false;
    }
    const HandlerOutcome ended = std::get<0>(std::move(outcome));
    const AdminResponse response =
        ended.response ? *ended.response
                       : ExceptionResponse(ended.thrown, request);
    co_return co_await this->Send(response, framing);
  }

  awaitable<bool> HandleStreamed(const AdminStreamHandler& handler,
                                 const AdminRequest& request,
                                 const Framing& framing) {
    using asio::experimental::awaitable_operators::operator||;
    ChunkedStream stream(this->session, framing.version,
                         this->options.write_timeout);
    auto outcome =
        co_await (CallHandler(handler, request, stream) ||
                  WaitUntilGone(this->session, /*eof_means_gone=*/true));
    if (outcome.index() != 0) {
      co_return false;
    }
    const std::exception_ptr thrown = std::get<0>(outcome).thrown;
    if (thrown && !stream.is_started()) {
      const AdminResponse response = ExceptionResponse(thrown, request);
      co_return co_await this->Send(response, framing);
    }
    if (thrown) {
      // The head has been sent. Closing the connection without the last chunk
      // is the only way to show the client that the response is incomplete.
      ExceptionResponse(thrown, request);  // Called to log the exception.
      this->session.Stop();
      co_return false;
    }
    co_await stream.Finish();
    co_return stream.IsChunked() && framing.keep_alive;
  }

  /// @returns whether the connection stays open.
  awaitable<bool> Send(const AdminResponse& response, Framing framing) {
    Reply reply;
    reply.version(framing.version);
    FillHead(reply, response.head);
    reply.body() = response.body;
    reply.keep_alive(framing.keep_alive);
    reply.prepare_payload();
    this->session.stream.expires_after(this->options.write_timeout);
    http::response_serializer<http::string_body> serializer(reply);
    if (framing.head_only) {
      co_await http::async_write_header(this->session.stream, serializer,
                                        use_awaitable);
    } else {
      co_await http::async_write(this->session.stream, serializer,
                                 use_awaitable);
    }
    co_return framing.keep_alive;
  }

  /// Shuts down the sending side, then reads and discards input for a limited
  /// time. If the socket were closed with unread input, the kernel would reset
  /// the connection and the client could lose the error response.
  awaitable<void> CloseGently() {
    error_code error;
    this->session.stream.socket().shutdown(tcp::socket::shutdown_send, error);
    this->session.stream.expires_after(kLingerTime);
    size_t discarded = 0;
    while (!error && discarded < kMaxLingerBytes) {
      this->session.buffer.clear();
      discarded += co_await this->session.stream.async_read_some(
          this->session.buffer.prepare(kReadBytes),
          asio::redirect_error(use_awaitable, error));
    }
  }

  Session session;
  const AdminOptions& options;
  const AdminRouter& router;
};

AdminConnection::AdminConnection(tcp::socket socket,
                                 const AdminOptions& options,
                                 const AdminRouter& router)
    : state(std::make_unique<State>(std::move(socket), options, router)) {}

AdminConnection::~AdminConnection() = default;

awaitable<void> AdminConnection::Serve() {
  return this->state->Serve();
}

void AdminConnection::Stop() {
  this->state->session.Stop();
}

}  // namespace basilsill

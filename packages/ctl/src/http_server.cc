#include "basilsill/ctl/http_server.h"

#include <memory>
#include <set>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace basilsill::ctl {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr size_t kMaxRequestBytes = limits::kMaxPlatformAnswerBytes;

ServerRequest ToServerRequest(http::request<http::string_body> message) {
  ServerRequest request;
  request.method = message.method_string();
  const std::string target = message.target();
  const size_t question_mark = target.find('?');
  request.path = target.substr(0, question_mark);
  if (question_mark != std::string::npos) {
    request.query = target.substr(question_mark + 1);
  }
  for (const auto& field : message) {
    request.headers.push_back({field.name_string(), field.value()});
  }
  request.body = std::move(message.body());
  return request;
}

http::response<http::string_body> ToMessage(ServerReply reply,
                                            bool keep_alive) {
  http::response<http::string_body> message;
  message.version(11);
  message.result(reply.status);
  message.set(http::field::content_type, "application/json");
  for (const HttpHeader& header : reply.headers) {
    message.set(header.name, header.value);
  }
  message.keep_alive(keep_alive);
  message.body() = std::move(reply.body);
  message.prepare_payload();
  return message;
}

}  // namespace

struct HttpServer::State {
  State(asio::io_context& io, ServerHandler request_handler)
      : acceptor(io), handler(std::move(request_handler)) {}

  tcp::acceptor acceptor;
  ServerHandler handler;
  std::set<beast::tcp_stream*> open;
  bool stopped = false;
};

namespace {

/// Registers a connection in `State::open` for the lifetime of its session.
template <typename State>
class OpenStreamGuard {
 public:
  OpenStreamGuard(State& server_state, beast::tcp_stream& open_stream)
      : state(server_state), stream(open_stream) {
    this->state.open.insert(&this->stream);
  }
  OpenStreamGuard(const OpenStreamGuard&) = delete;
  OpenStreamGuard& operator=(const OpenStreamGuard&) = delete;
  ~OpenStreamGuard() { this->state.open.erase(&this->stream); }

 private:
  State& state;
  beast::tcp_stream& stream;
};

template <typename State>
asio::awaitable<void> Serve(std::shared_ptr<State> state,
                            beast::tcp_stream stream) {
  const OpenStreamGuard guard(*state, stream);
  beast::flat_buffer buffer;
  while (!state->stopped) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxRequestBytes);
    const auto [read_error, received] =
        co_await http::async_read(stream, buffer, parser, kNoThrow);
    if (read_error) {
      co_return;
    }
    const bool keep_alive = parser.get().keep_alive();
    auto reply = co_await state->handler(ToServerRequest(parser.release()));
    if (!reply || state->stopped) {
      co_return;
    }
    auto message = ToMessage(*std::move(reply), keep_alive);
    const bool stays_open = message.keep_alive();
    const auto [write_error, written] =
        co_await http::async_write(stream, message, kNoThrow);
    if (write_error || !stays_open) {
      co_return;
    }
  }
}

template <typename State>
void Start(std::shared_ptr<State> state, tcp::socket socket) {
  beast::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const auto executor = state->acceptor.get_executor();
  beast::tcp_stream stream(std::move(socket));
  asio::co_spawn(executor, Serve(std::move(state), std::move(stream)),
                 asio::detached);
}

template <typename State>
asio::awaitable<void> Accept(std::shared_ptr<State> state) {
  while (!state->stopped) {
    tcp::socket socket(state->acceptor.get_executor());
    const auto [error] =
        co_await state->acceptor.async_accept(socket, kNoThrow);
    if (!error) {
      Start(state, std::move(socket));
    }
  }
}

}  // namespace

Result<HttpServer> HttpServer::Listen(asio::io_context& io,
                                      const Endpoint& endpoint,
                                      ServerHandler handler) {
  auto state = std::make_shared<State>(io, std::move(handler));
  beast::error_code error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  const tcp::endpoint listen_endpoint(address, endpoint.port);
  if (!error) {
    state->acceptor.open(listen_endpoint.protocol(), error);
  }
  if (!error) {
    state->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    state->acceptor.bind(listen_endpoint, error);
  }
  if (!error) {
    state->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Failure{FailureKind::kNetwork, ToString(endpoint), error.message()};
  }
  asio::co_spawn(io, Accept(state), asio::detached);
  return HttpServer(std::move(state));
}

HttpServer::HttpServer(std::shared_ptr<State> listening_state)
    : state(std::move(listening_state)) {}
HttpServer::HttpServer(HttpServer&& other) noexcept = default;

HttpServer& HttpServer::operator=(HttpServer&& other) noexcept {
  std::swap(this->state, other.state);
  return *this;
}

HttpServer::~HttpServer() {
  this->Stop();
}

Endpoint HttpServer::endpoint() const {
  const tcp::endpoint local = this->state->acceptor.local_endpoint();
  return {local.address().to_string(), local.port()};
}

void HttpServer::Stop() {
  if (this->state == nullptr || this->state->stopped) {
    return;
  }
  this->state->stopped = true;
  beast::error_code ignored;
  this->state->acceptor.close(ignored);
  for (beast::tcp_stream* stream : this->state->open) {
    stream->close();
  }
}

std::string_view QueryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return pair.substr(equals + 1);
    }
  }
  return {};
}

std::string_view HeaderValue(const ServerRequest& request,
                             std::string_view name) {
  for (const HttpHeader& header : request.headers) {
    if (beast::iequals(header.name, {name.data(), name.size()})) {
      return header.value;
    }
  }
  return {};
}

}  // namespace basilsill::ctl

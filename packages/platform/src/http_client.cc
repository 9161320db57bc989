#include "basilsill/platform/http_client.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "basilsill/base/http_status.h"

namespace basilsill {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

using Request = http::request<http::string_body>;
using Parser = http::response_parser<http::string_body>;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

// How long a server counts as slow after a call on a new connection took longer
// than a kept one may be silent.
constexpr std::chrono::seconds kSlowServerTime{2};

constexpr std::array<std::string_view, static_cast<size_t>(HttpMethod::kCount)>
    kMethodNames = {"GET", "POST", "PUT", "DELETE"};

struct Connection {
  explicit Connection(asio::any_io_executor executor)
      : stream(std::move(executor)) {}

  Endpoint endpoint;
  beast::tcp_stream stream;
  beast::flat_buffer buffer{limits::kMaxUnparsedBytes};
  TimePoint idle_since;
};

// Returns whether `connection` can be reused. A server may close a connection
// while it is idle; a call sent on it would fail with its effect reported as
// unknown, although it had none. Checking the socket before sending leaves only
// the moment between the check and the write.
bool IsUsable(Connection& connection, TimePoint now) {
  char byte = 0;
  const ssize_t seen = ::recv(connection.stream.socket().native_handle(), &byte,
                              1, MSG_PEEK | MSG_DONTWAIT);
  const bool is_quiet = seen < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return is_quiet && now - connection.idle_since < limits::kPlatformIdleTimeout;
}

constexpr std::array<std::string_view,
                     static_cast<size_t>(CallConnection::kCount)>
    kConnectionNames = {"none", "new", "kept"};

HttpFailure MakeFailure(const Endpoint& endpoint,
                        beast::error_code error,
                        CallConnection connection) {
  FailureKind kind = FailureKind::kNetwork;
  if (error == http::error::body_limit || error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    kind = FailureKind::kOversizedFrame;
  } else if (error.category() ==
                 http::make_error_code(http::error::bad_version).category() &&
             error != http::error::end_of_stream &&
             error != http::error::partial_message) {
    kind = FailureKind::kSyntax;
  }
  return {{kind, ToString(endpoint), error.message()},
          connection != CallConnection::kNone,
          connection};
}

// @returns the value of the header `name`, if `answer` has it.
std::optional<std::string> HeaderOf(const Parser::value_type& answer,
                                    const std::string& name) {
  const auto found = name.empty() ? answer.end() : answer.find(name);
  if (found == answer.end()) {
    return std::nullopt;
  }
  return std::string(found->value());
}

// When the head of the answer, and the whole of it, must have arrived.
struct ExchangeEnd {
  TimePoint head;
  TimePoint whole;
};

void ExpireAt(beast::tcp_stream& stream, TimePoint at) {
  const Duration left = at - MonotonicClock::now();
  stream.expires_after(std::max(left, Duration(0)));
}

Request MakeRequest(const Endpoint& endpoint, HttpCall call) {
  Request request;
  request.version(11);
  request.method_string(NameOf(call.method));
  request.target(call.target);
  request.set(http::field::host, ToString(endpoint));
  for (const HttpHeader& header : call.headers) {
    request.set(header.name, header.value);
  }
  request.body() = std::move(call.body);
  request.prepare_payload();
  return request;
}

/// A call in the form in which it is made, perhaps twice.
struct PreparedCall {
  Request request;
  std::string answer_header;
  size_t max_answer_bytes = 0;
  Duration timeout{0};
  Duration max_silence{0};
  TimePoint begun;
  TimePoint end;
  bool may_repeat = false;
};

PreparedCall Prepare(const Endpoint& endpoint,
                     HttpCall call,
                     TimePoint slow_until) {
  PreparedCall prepared;
  prepared.answer_header = call.answer_header;
  prepared.max_answer_bytes = call.max_answer_bytes;
  prepared.timeout = call.timeout;
  prepared.max_silence = call.max_silence;
  prepared.begun = MonotonicClock::now();
  prepared.end = prepared.begun + call.timeout;
  prepared.may_repeat = call.repeatable && call.max_silence.count() > 0 &&
                        prepared.begun >= slow_until;
  prepared.request = MakeRequest(endpoint, std::move(call));
  return prepared;
}

asio::awaitable<beast::error_code> Connect(
    std::shared_ptr<Connection> connection) {
  beast::error_code error;
  const auto address =
      asio::ip::make_address(connection->endpoint.address, error);
  if (error) {
    co_return error;
  }
  const asio::ip::tcp::endpoint target(address, connection->endpoint.port);
  connection->stream.expires_after(limits::kPlatformConnectTimeout);
  const auto [connect_error] =
      co_await connection->stream.async_connect(target, kNoThrow);
  if (!connect_error) {
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true),
                                           error);
  }
  co_return connect_error;
}

}  // namespace

std::string_view NameOf(HttpMethod method) {
  return kMethodNames.at(static_cast<size_t>(method));
}

std::string_view NameOf(CallConnection connection) {
  return kConnectionNames.at(static_cast<size_t>(connection));
}

struct HttpClient::Pool {
  explicit Pool(asio::any_io_executor on) : executor(std::move(on)) {}

  // Returns the most recently used connection, so that surplus connections stay
  // idle until they time out; nullptr if none can be reused.
  std::shared_ptr<Connection> Acquire(const Endpoint& endpoint) {
    for (auto it = this->idle.rbegin(); it != this->idle.rend(); ++it) {
      if ((*it)->endpoint == endpoint &&
          IsUsable(**it, MonotonicClock::now())) {
        auto connection = *it;
        this->idle.erase(std::next(it).base());
        return connection;
      }
    }
    return nullptr;
  }

  void Release(std::shared_ptr<Connection> connection) {
    const TimePoint now = MonotonicClock::now();
    connection->idle_since = now;
    connection->stream.expires_never();
    std::erase_if(this->idle,
                  [now](auto& other) { return !IsUsable(*other, now); });
    if (!this->closed && this->idle.size() < limits::kMaxIdlePlatformLinks) {
      this->idle.push_back(std::move(connection));
    }
  }

  void CloseIdle(const Endpoint& endpoint) {
    std::erase_if(this->idle, [&endpoint](const auto& connection) {
      return connection->endpoint == endpoint;
    });
  }

  // If a new connection was as slow as the kept one, silence is the server's.
  void NoteRepeat(const PreparedCall& call, Duration took) {
    if (took > call.max_silence) {
      this->slow_until = MonotonicClock::now() + kSlowServerTime;
    }
  }

  asio::awaitable<HttpResult> CallKept(std::shared_ptr<Connection> connection,
                                       const PreparedCall& call);

  // Opens a connection for the call. The answer must arrive by `end`, and
  // within the call's timeout once the connection is open.
  asio::awaitable<HttpResult> CallNew(Endpoint endpoint,
                                      const PreparedCall& call,
                                      TimePoint end);

  asio::awaitable<HttpResult> Exchange(std::shared_ptr<Connection> connection,
                                       CallConnection kind,
                                       const PreparedCall& call,
                                       ExchangeEnd end);

  asio::any_io_executor executor;
  std::vector<std::shared_ptr<Connection>> idle;
  std::set<std::shared_ptr<Connection>> busy;
  /// Until then, silence does not show that a connection is dead, since the
  /// server was slow on a new one, too.
  TimePoint slow_until{};
  bool closed = false;
};

// Makes a call on an open connection, which is kept if it can serve more calls.
asio::awaitable<HttpResult> HttpClient::Pool::Exchange(
    std::shared_ptr<Connection> connection,
    CallConnection kind,
    const PreparedCall& call,
    ExchangeEnd end) {
  const Endpoint& endpoint = connection->endpoint;
  const TimePoint sent = MonotonicClock::now();
  ExpireAt(connection->stream, end.head);
  const auto [write_error, written] =
      co_await http::async_write(connection->stream, call.request, kNoThrow);
  if (write_error) {
    co_return MakeFailure(endpoint, write_error, kind);
  }
  Parser parser;
  parser.body_limit(call.max_answer_bytes);
  parser.header_limit(limits::kMaxHeaderBytes);
  const auto [head_error, head_bytes] = co_await http::async_read_header(
      connection->stream, connection->buffer, parser, kNoThrow);
  if (head_error) {
    co_return MakeFailure(endpoint, head_error, kind);
  }
  // Failure: a server in trouble answers with a status that HTTP does not have,
  // which is neither a success nor a refusal without effect.
  if (!IsFinalStatus(parser.get().result_int())) {
    co_return MakeFailure(endpoint,
                          http::make_error_code(http::error::bad_status), kind);
  }
  ExpireAt(connection->stream, end.whole);
  const auto [read_error, received] = co_await http::async_read(
      connection->stream, connection->buffer, parser, kNoThrow);
  if (read_error) {
    co_return MakeFailure(endpoint, read_error, kind);
  }
  auto answer = parser.release();
  if (answer.keep_alive() && connection->buffer.size() == 0) {
    this->Release(connection);
  }
  std::optional<std::string> header = HeaderOf(answer, call.answer_header);
  co_return HttpAnswer{answer.result_int(), std::move(answer.body()), kind,
                       MonotonicClock::now() - sent, std::move(header)};
}

namespace {

/// Keeps a connection in `Pool::busy` for the duration of a call, so that Close
/// can cancel it.
template <typename Pool>
class BusyGuard {
 public:
  BusyGuard(Pool& where, std::shared_ptr<Connection> which)
      : pool(where), connection(std::move(which)) {
    this->pool.busy.insert(this->connection);
  }
  BusyGuard(const BusyGuard&) = delete;
  BusyGuard& operator=(const BusyGuard&) = delete;
  ~BusyGuard() { this->pool.busy.erase(this->connection); }

 private:
  Pool& pool;
  std::shared_ptr<Connection> connection;
};

}  // namespace

asio::awaitable<HttpResult> HttpClient::Pool::CallKept(
    std::shared_ptr<Connection> connection,
    const PreparedCall& call) {
  const BusyGuard guard(*this, connection);
  ExchangeEnd end{call.end, call.end};
  if (call.may_repeat) {
    end.head = std::min(call.end, call.begun + call.max_silence);
  }
  HttpResult result =
      co_await this->Exchange(connection, CallConnection::kKept, call, end);
  co_return result;
}

asio::awaitable<HttpResult> HttpClient::Pool::CallNew(Endpoint endpoint,
                                                      const PreparedCall& call,
                                                      TimePoint end) {
  const auto connection = std::make_shared<Connection>(this->executor);
  connection->endpoint = endpoint;
  const BusyGuard guard(*this, connection);
  const beast::error_code error = co_await Connect(connection);
  if (error || this->closed) {
    co_return MakeFailure(endpoint, error, CallConnection::kNone);
  }
  const TimePoint last = std::min(end, MonotonicClock::now() + call.timeout);
  const ExchangeEnd both{last, last};
  HttpResult result =
      co_await this->Exchange(connection, CallConnection::kNew, call, both);
  co_return result;
}

HttpClient::HttpClient(asio::any_io_executor executor)
    : pool(std::make_shared<Pool>(std::move(executor))) {}

asio::awaitable<HttpResult> HttpClient::Call(Endpoint endpoint, HttpCall call) {
  return CallOn(this->pool, std::move(endpoint), std::move(call));
}

// Failure: connections go silent for good, without an end or a reset. Each call
// on a kept one lasts until its timeout, and the next call is made on the next
// kept one, which is silent too. So a repeatable call is made again on a new
// connection soon, and the other kept connections are closed.
asio::awaitable<HttpResult> HttpClient::CallOn(std::shared_ptr<Pool> pool,
                                               Endpoint endpoint,
                                               HttpCall call) {
  const PreparedCall prepared =
      Prepare(endpoint, std::move(call), pool->slow_until);
  const std::shared_ptr<Connection> kept = pool->Acquire(endpoint);
  if (!kept) {
    HttpResult only = co_await pool->CallNew(endpoint, prepared, kNever);
    co_return only;
  }
  HttpResult result = co_await pool->CallKept(kept, prepared);
  const bool is_lost = !result && result.error().kind == FailureKind::kNetwork;
  if (!is_lost || !prepared.may_repeat || pool->closed) {
    co_return result;
  }
  pool->CloseIdle(endpoint);
  const TimePoint repeated = MonotonicClock::now();
  result = co_await pool->CallNew(endpoint, prepared, prepared.end);
  pool->NoteRepeat(prepared, MonotonicClock::now() - repeated);
  co_return result;
}

void HttpClient::Close() {
  this->pool->closed = true;
  this->pool->idle.clear();
  for (const auto& connection : this->pool->busy) {
    connection->stream.cancel();
  }
}

}  // namespace basilsill

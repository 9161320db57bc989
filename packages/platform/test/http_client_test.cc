// Tests of the HTTP client's kept connections.

#include "basilsill/platform/http_client.h"

#include <array>
#include <string>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "run_awaitable.h"

#include <CppUTest/TestHarness.h>

using basilsill::CallConnection;
using basilsill::Endpoint;
using basilsill::HttpCall;
using basilsill::HttpClient;
using basilsill::HttpResult;
using basilsill::RunAwaitable;
using basilsill::StartedCall;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr auto kNoThrow = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr milliseconds kMaxSilence{100};
constexpr milliseconds kTimeout{1000};

/// Answers the first `answers` requests on each connection and none after them.
class FallsSilent {
 public:
  FallsSilent(boost::asio::io_context& io, size_t answers)
      : io(io),
        answers(answers),
        acceptor(io,
                 tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    boost::asio::co_spawn(io, this->Accept(), boost::asio::detached);
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

  size_t connections = 0;
  /// Time until an answer on a connection after the first.
  milliseconds later_delay{0};

 private:
  boost::asio::awaitable<void> Accept() {
    for (;;) {
      tcp::socket socket(this->io);
      const auto [error] =
          co_await this->acceptor.async_accept(socket, kNoThrow);
      if (error) {
        co_return;
      }
      const milliseconds delay =
          this->connections++ == 0 ? milliseconds(0) : this->later_delay;
      boost::asio::co_spawn(this->io, this->Serve(std::move(socket), delay),
                            boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Serve(tcp::socket socket, milliseconds delay) {
    const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    std::array<char, 4096> request;
    for (size_t served = 0;; ++served) {
      const auto [error, size] = co_await socket.async_read_some(
          boost::asio::buffer(request), kNoThrow);
      if (error) {
        co_return;
      }
      boost::asio::steady_timer timer(this->io, delay);
      co_await timer.async_wait(kNoThrow);
      if (served < this->answers) {
        co_await boost::asio::async_write(socket, boost::asio::buffer(reply),
                                          kNoThrow);
      }
    }
  }

  boost::asio::io_context& io;
  size_t answers;
  tcp::acceptor acceptor;
};

HttpCall Call() {
  HttpCall call;
  call.timeout = kTimeout;
  call.max_silence = kMaxSilence;
  return call;
}

}  // namespace

TEST_GROUP(HttpClient) {
  boost::asio::io_context io;
  HttpClient client{io.get_executor()};

  HttpResult Make(const FallsSilent& server, HttpCall call = Call()) {
    return RunAwaitable(this->io,
                        this->client.Call(server.endpoint(), std::move(call)));
  }

  /// Makes two calls at once, so that two connections are kept.
  void KeepTwo(const FallsSilent& server) {
    StartedCall<HttpResult> first(this->io,
                                  this->client.Call(server.endpoint(), Call()));
    StartedCall<HttpResult> second(
        this->io, this->client.Call(server.endpoint(), Call()));
    CHECK(first.Wait().has_value());
    CHECK(second.Wait().has_value());
  }
};

// Failure: all kept connections have gone silent, and each call lasts until its
// timeout and fails, one for each of them.
TEST(HttpClient, Call_KeptConnectionsSilent_FirstCallAnsweredOnNewOne) {
  const FallsSilent server(this->io, 1);
  this->KeepTwo(server);
  const HttpResult result = this->Make(server);
  CHECK(result.has_value());
  CHECK(result.value().connection == CallConnection::kNew);
  CHECK_EQUAL(3, server.connections);
}

TEST(HttpClient, Call_NotRepeatable_FailsOnKeptConnection) {
  const FallsSilent server(this->io, 1);
  CHECK(this->Make(server).has_value());
  HttpCall once = Call();
  once.repeatable = false;
  const HttpResult result = this->Make(server, std::move(once));
  CHECK_FALSE(result.has_value());
  CHECK(result.error().connection == CallConnection::kKept);
  CHECK_EQUAL(1, server.connections);
}

// Failure: the server is slow, and every call to it is made twice, which makes
// it slower.
TEST(HttpClient, Call_ServerSlow_NextCallNotRepeated) {
  FallsSilent server(this->io, 1000);
  server.later_delay = 2 * kMaxSilence;
  this->KeepTwo(server);
  const size_t before = server.connections;
  for (int i = 0; i < 5; ++i) {
    const HttpResult result = this->Make(server);
    CHECK(result.has_value());
  }
  CHECK(server.connections <= before + 1);
}

#include "net.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <memory>
#include <utility>

#include <boost/asio/basic_socket_acceptor.hpp>

namespace basilsill {
namespace {

using ReusePort =
    boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

using UserTimeout =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

Failure NetworkFailure(const Endpoint& endpoint, const NetError& error) {
  return {FailureKind::kNetwork,
          endpoint.address + ":" + std::to_string(endpoint.port),
          error.message()};
}

enum class Peeked : uint8_t { kNothing, kData, kClosed, kCount };

Peeked Peek(Socket& socket) {
  char byte = 0;
  const ssize_t got =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0) {
    return Peeked::kData;
  }
  const bool empty = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return empty ? Peeked::kNothing : Peeked::kClosed;
}

}  // namespace

Result<Tcp::endpoint> ToTcpEndpoint(const Endpoint& endpoint) {
  NetError error;
  const auto address = boost::asio::ip::make_address(endpoint.address, error);
  if (error) {
    return Failure{FailureKind::kSyntax, endpoint.address,
                   "not an IP address: " + error.message()};
  }
  return Tcp::endpoint(address, endpoint.port);
}

Endpoint FromTcpEndpoint(const Tcp::endpoint& endpoint) {
  return {endpoint.address().to_string(), endpoint.port()};
}

Result<Acceptor> Listen(IoContext& context,
                        const Endpoint& endpoint,
                        bool shared) {
  Result<Tcp::endpoint> address = ToTcpEndpoint(endpoint);
  if (!address) {
    return address.error();
  }
  Acceptor acceptor(context.get_executor());
  NetError error;
  acceptor.open(address.value().protocol(), error);
  if (!error) {
    acceptor.set_option(Acceptor::reuse_address(true), error);
  }
  if (!error && shared) {
    acceptor.set_option(ReusePort(true), error);
  }
  if (!error) {
    acceptor.bind(address.value(), error);
  }
  if (!error) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return NetworkFailure(endpoint, error);
  }
  return acceptor;
}

Task<Result<Socket>> ConnectTo(Executor executor,
                               Endpoint endpoint,
                               std::chrono::milliseconds timeout) {
  const Result<Tcp::endpoint> address = ToTcpEndpoint(endpoint);
  if (!address) {
    co_return address.error();
  }
  // The timer's handler may still be queued when this coroutine has ended, so
  // it owns the socket too.
  const auto socket = std::make_shared<Socket>(executor);
  Timer timer(executor, timeout);
  timer.async_wait([socket](const NetError& error) {
    if (!error) {
      NetError ignored;
      socket->close(ignored);
    }
  });
  const auto [error] = co_await socket->async_connect(address.value(), kTask);
  const bool timed_out = timer.cancel() == 0;
  if (error || timed_out) {
    co_return NetworkFailure(endpoint,
                             timed_out ? boost::asio::error::timed_out : error);
  }
  NetError ignored;
  socket->set_option(Tcp::no_delay(true), ignored);
  co_return std::move(*socket);
}

void SetUserTimeout(Socket& socket, std::chrono::milliseconds timeout) {
  NetError ignored;
  socket.set_option(UserTimeout(static_cast<int>(timeout.count())), ignored);
}

void CloseWithReset(Socket& socket) {
  NetError ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

// Asio closes in order in the destructor of a socket whose option was set
// through it.
void SetResetOnClose(Socket& socket, bool resets) {
  const linger option{resets ? 1 : 0, 0};
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &option,
               sizeof option);
}

bool IsStale(Socket& socket) {
  return Peek(socket) != Peeked::kNothing;
}

bool IsClosedByPeer(Socket& socket) {
  return Peek(socket) == Peeked::kClosed;
}

}  // namespace basilsill

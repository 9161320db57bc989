#ifndef BASILSILL_NODE_NET_H_
#define BASILSILL_NODE_NET_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "basilsill/base/error.h"
#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"

/// The Asio types of the node. They are bound to one executor type, so that no
/// call on the path of a request goes through a type-erased executor. Each
/// io_context is run by one thread.

namespace basilsill {

using IoContext = boost::asio::io_context;
using Executor = IoContext::executor_type;
using Tcp = boost::asio::ip::tcp;
using Socket = boost::asio::basic_stream_socket<Tcp, Executor>;
using Acceptor = boost::asio::basic_socket_acceptor<Tcp, Executor>;
using Timer =
    boost::asio::basic_waitable_timer<MonotonicClock,
                                      boost::asio::wait_traits<MonotonicClock>,
                                      Executor>;
using NetError = boost::system::error_code;

/// A coroutine of the node.
template <typename T>
using Task = boost::asio::awaitable<T, Executor>;

/// Completion token: `auto [error, value] = co_await op(kTask)`. Socket errors
/// are returned as values; exceptions are reserved for programming errors.
inline constexpr auto kTask =
    boost::asio::as_tuple(boost::asio::use_awaitable_t<Executor>());

/// @returns the socket address of `endpoint`, or kSyntax if its address is not
/// an IP address.
Result<Tcp::endpoint> ToTcpEndpoint(const Endpoint& endpoint);

/// @returns `endpoint` as an Endpoint.
Endpoint FromTcpEndpoint(const Tcp::endpoint& endpoint);

/// Opens a listening socket.
/// @param shared Lets several sockets of this process listen on one port.
/// @returns kSyntax for an address that is not an IP address, kNetwork if the
/// address can't be bound.
Result<Acceptor> Listen(IoContext& context,
                        const Endpoint& endpoint,
                        bool shared);

/// Opens a connection.
/// @returns kSyntax for an address that is not an IP address, kNetwork if no
/// connection is established within `timeout`.
Task<Result<Socket>> ConnectTo(Executor executor,
                               Endpoint endpoint,
                               std::chrono::milliseconds timeout);

/// Makes the kernel end the connection if data sent on it is not acknowledged
/// for `timeout` (TCP_USER_TIMEOUT).
void SetUserTimeout(Socket& socket, std::chrono::milliseconds timeout);

/// Closes the connection with a reset, never with a clean end.
void CloseWithReset(Socket& socket);

/// Makes every close of the connection reset it, also the one by the system
/// when the process ends.
void SetResetOnClose(Socket& socket, bool resets);

/// @returns true if the peer of an idle connection has closed it or sent
/// unexpected data.
bool IsStale(Socket& socket);

/// @returns true if the peer has closed or reset the connection and everything
/// that it sent before was read.
bool IsClosedByPeer(Socket& socket);

}  // namespace basilsill

#endif  // BASILSILL_NODE_NET_H_

#include "admin_server.h"

#include <exception>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "admin_connection.h"
#include "basilsill/base/handle.h"

namespace basilsill {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

/// Delay after a failed accept, for example when the process has no free file
/// descriptors. An immediate retry would busy-loop.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

struct ConnectionTag;
using ConnectionHandle = Handle<ConnectionTag>;
using ConnectionPtr = std::shared_ptr<AdminConnection>;

}  // namespace

struct AdminServer::State : std::enable_shared_from_this<State> {
  State(asio::io_context& context,
        const AdminOptions& options,
        const AdminRouter& router)
      : context(context),
        options(options),
        router(router),
        acceptor(context),
        connections(options.max_connections) {}

  void Listen() {
    const tcp::endpoint endpoint(
        asio::ip::make_address(this->options.listen.address),
        this->options.listen.port);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
  }

  awaitable<void> Accept() {
    while (this->acceptor.is_open()) {
      error_code error;
      tcp::socket socket = co_await this->acceptor.async_accept(
          asio::redirect_error(use_awaitable, error));
      if (!this->acceptor.is_open()) {
        co_return;
      }
      if (error) {
        co_await this->Pause();
      } else {
        this->Admit(std::move(socket));
      }
    }
  }

  awaitable<void> Pause() {
    asio::steady_timer timer(this->context, kAcceptRetryDelay);
    error_code ignored;
    co_await timer.async_wait(asio::redirect_error(use_awaitable, ignored));
  }

  /// Serves the connection. Closes it without a response if max_connections are
  /// open already.
  void Admit(tcp::socket socket) {
    auto connection = std::make_shared<AdminConnection>(
        std::move(socket), this->options, this->router);
    const ConnectionHandle handle = this->connections.Create(connection);
    if (!IsValid(handle)) {
      return;
    }
    asio::co_spawn(this->context, connection->Serve(),
                   [self = this->shared_from_this(), connection,
                    handle](const std::exception_ptr&) {
                     // An error of the connection is ignored: the client is
                     // gone.
                     self->connections.Destroy(handle);
                   });
  }

  asio::io_context& context;
  const AdminOptions options;
  const AdminRouter& router;
  tcp::acceptor acceptor;
  HandleTable<ConnectionPtr, ConnectionTag> connections;
};

Result<std::unique_ptr<AdminServer>> AdminServer::Create(
    asio::io_context& context,
    const AdminOptions& options,
    const AdminRouter& router) {
  auto state = std::make_shared<State>(context, options, router);
  try {
    state->Listen();
  } catch (const boost::system::system_error& error) {
    return Failure{
        FailureKind::kNetwork,
        options.listen.address + ":" + std::to_string(options.listen.port),
        error.what()};
  }
  asio::co_spawn(context, state->Accept(),
                 [state](const std::exception_ptr&) {});
  return std::unique_ptr<AdminServer>(new AdminServer(std::move(state)));
}

AdminServer::AdminServer(std::shared_ptr<State> state)
    : state(std::move(state)) {}

AdminServer::~AdminServer() {
  this->Stop();
}

uint16_t AdminServer::port() const {
  return this->state->acceptor.local_endpoint().port();
}

void AdminServer::Stop() {
  error_code ignored;
  this->state->acceptor.close(ignored);
  this->state->connections.ForEach(
      [](ConnectionHandle, const ConnectionPtr& connection) {
        connection->Stop();
      });
}

}  // namespace basilsill

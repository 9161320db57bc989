#ifndef BASILSILL_NODE_TEST_ADMIN_FIXTURE_H_
#define BASILSILL_NODE_TEST_ADMIN_FIXTURE_H_

#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "admin_server.h"

/// An admin server on its own thread, and a client that sends raw bytes.

namespace basilsill {

/// Client with blocking calls. If one hangs, the time limit of the test ends
/// it.
class RawClient {
 public:
  explicit RawClient(uint16_t port) : socket(this->context) {
    this->socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  }

  void Send(std::string_view bytes) {
    // The server may reject the input and close before it has read all of it.
    boost::system::error_code ignored;
    boost::asio::write(this->socket, boost::asio::buffer(bytes), ignored);
  }

  /// @returns all bytes up to the end of the connection.
  std::string ReadToEnd() {
    boost::system::error_code ended;
    boost::asio::read(this->socket, boost::asio::dynamic_buffer(this->received),
                      ended);
    return std::move(this->received);
  }

  /// @returns the bytes up to and including `mark`.
  std::string ReadUntil(std::string_view mark) {
    const size_t size = boost::asio::read_until(
        this->socket, boost::asio::dynamic_buffer(this->received), mark);
    std::string bytes = this->received.substr(0, size);
    this->received.erase(0, size);
    return bytes;
  }

  void EndSending() {
    this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
  }
  void Close() { this->socket.close(); }

 private:
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket;
  std::string received;
};

/// Runs an admin server on its own thread until destruction.
class RunningAdmin {
 public:
  explicit RunningAdmin(AdminOptions options, const AdminRouter& router) {
    options.listen = {"127.0.0.1", 0};
    this->server = AdminServer::Create(this->context, options, router).value();
    this->number = this->server->port();
    this->thread = std::thread([this] { this->context.run(); });
  }

  ~RunningAdmin() {
    this->Stop();
    this->thread.join();
  }

  /// Stops the server; its thread ends once all handlers have ended.
  void Stop() {
    boost::asio::post(this->context, [this] { this->server->Stop(); });
  }

  uint16_t port() const { return this->number; }

  /// Sends `bytes` on a new connection.
  /// @returns all bytes that the server sends until it closes the connection.
  std::string Exchange(std::string_view bytes) const {
    RawClient client(this->number);
    client.Send(bytes);
    return client.ReadToEnd();
  }

  /// @returns the response to a well-formed request on a new connection.
  std::string Request(const std::string& method,
                      const std::string& target,
                      const std::string& body = "") const {
    return this->Exchange(method + " " + target +
                          " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                          "Content-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body);
  }

 private:
  boost::asio::io_context context{1};
  std::unique_ptr<AdminServer> server;
  uint16_t number = 0;
  std::thread thread;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_TEST_ADMIN_FIXTURE_H_

// Tests which process the soak takes a connection for.

#include "client_ports.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <CppUTest/TestHarness.h>

using basilsill::soak::ConnectionsOf;
using boost::asio::ip::tcp;

TEST_GROUP(ClientPorts){};

// Failure: a cut of one node harms another one, or none.
TEST(ClientPorts, ConnectionsOf_OwnProcess_HasItsConnections) {
  boost::asio::io_context io;
  tcp::acceptor acceptor(
      io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  tcp::socket client(io);
  client.connect(acceptor.local_endpoint());
  const uint16_t server_port = acceptor.local_endpoint().port();
  const uint16_t client_port = client.local_endpoint().port();
  CHECK(ConnectionsOf(::getpid()).contains({server_port, client_port}));
  client.close();
  CHECK_FALSE(ConnectionsOf(::getpid()).contains({server_port, client_port}));
  CHECK_FALSE(ConnectionsOf(0).contains({server_port, client_port}));
}

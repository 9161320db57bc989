#include "raw_upstream.h"

#include <array>
#include <utility>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace basilsill::test {
namespace {

using boost::asio::ip::tcp;
using NetError = boost::system::error_code;

}  // namespace

std::string RawUpstream::Exchange::ReadUntil(const std::string& end) {
  std::string bytes;
  NetError ignored;
  boost::asio::read_until(this->socket, boost::asio::dynamic_buffer(bytes), end,
                          ignored);
  return bytes;
}

bool RawUpstream::Exchange::Write(const std::string& bytes) {
  NetError ignored;
  boost::asio::write(this->socket, boost::asio::buffer(bytes), ignored);
  return !ignored;
}

void RawUpstream::Exchange::Reset() {
  NetError ignored;
  this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  this->socket.close(ignored);
}

void RawUpstream::Exchange::WaitForClose() {
  std::array<char, 1024> dropped{};
  NetError error;
  while (!error) {
    this->socket.read_some(boost::asio::buffer(dropped), error);
  }
}

std::string RawUpstream::Exchange::Read(size_t size) {
  std::string bytes;
  NetError ignored;
  boost::asio::read(this->socket, boost::asio::dynamic_buffer(bytes, size),
                    ignored);
  return bytes;
}

RawUpstream::RawUpstream(std::function<void(Exchange&)> serve)
    : acceptor(this->io, {boost::asio::ip::address_v4::loopback(), 0}),
      serve(std::move(serve)),
      thread([this] { this->Accept(); }) {}

RawUpstream::~RawUpstream() {
  // Closing the acceptor does not wake a blocked accept; a connection does.
  this->ends = true;
  tcp::socket last(this->io);
  NetError ignored;
  last.connect(this->acceptor.local_endpoint(), ignored);
  this->thread.join();
}

// Serves one connection at a time: a test that needs a second one ends the
// first.
void RawUpstream::Accept() {
  for (;;) {
    tcp::socket socket(this->io);
    NetError error;
    this->acceptor.accept(socket, error);
    if (error || this->ends) {
      return;
    }
    Exchange exchange(socket);
    this->serve(exchange);
  }
}

RawAnswer SendAndRead(uint16_t port,
                      const std::string& bytes,
                      const std::function<void()>& on_first) {
  boost::asio::io_context io;
  tcp::socket socket(io);
  socket.connect({boost::asio::ip::address_v4::loopback(), port});
  NetError error;
  boost::asio::write(socket, boost::asio::buffer(bytes), error);
  RawAnswer answer;
  std::array<char, 16 * 1024> piece{};
  while (!error) {
    const size_t size = socket.read_some(boost::asio::buffer(piece), error);
    const bool first = answer.bytes.empty() && size > 0;
    answer.bytes.append(piece.data(), size);
    if (first && on_first) {
      on_first();
    }
  }
  answer.was_reset = error == boost::asio::error::connection_reset;
  return answer;
}

}  // namespace basilsill::test

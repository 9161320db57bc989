#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

constexpr int kBacklog = 256;
constexpr size_t kReadBytes = 16384;
constexpr uint16_t kFirstPort = 21000;
constexpr uint16_t kPorts = 9000;

sockaddr_in MakeAddress(const std::string& address, uint16_t port) {
  sockaddr_in made{};
  made.sin_family = AF_INET;
  made.sin_port = htons(port);
  inet_pton(AF_INET, address.c_str(), &made.sin_addr);
  return made;
}

int BindTo(const std::string& address, uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in bound = MakeAddress(address, port);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&bound),
           sizeof(bound)) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

int LeftUntil(Clock::time_point until) {
  if (until == Clock::time_point::max()) {
    return -1;
  }
  const auto left = std::chrono::ceil<Milliseconds>(until - Clock::now());
  return static_cast<int>(std::max<int64_t>(0, left.count()));
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

void ParseHead(const std::string& head, Message& message) {
  size_t at = head.find("\r\n");
  message.start_line = head.substr(0, at);
  while (at != std::string::npos && at + 2 < head.size()) {
    const size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string line = head.substr(begin, at - begin);
    const size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    const size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers[Lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
  }
}

bool FillTo(Connection& connection, size_t size, Clock::time_point until) {
  while (connection.buffer.size() < size) {
    if (connection.Fill(until) <= 0) {
      return false;
    }
  }
  return true;
}

// Takes bytes up to and including `end` from the buffer.
bool TakeTo(Connection& connection,
            const std::string& end,
            std::string& taken,
            Clock::time_point until) {
  size_t found = connection.buffer.find(end);
  while (found == std::string::npos) {
    if (connection.Fill(until) <= 0) {
      return false;
    }
    found = connection.buffer.find(end);
  }
  taken = connection.buffer.substr(0, found + end.size());
  connection.buffer.erase(0, found + end.size());
  return true;
}

bool ReadChunks(Connection& connection,
                Message& message,
                Clock::time_point until) {
  for (;;) {
    std::string line;
    if (!TakeTo(connection, "\r\n", line, until)) {
      return false;
    }
    const size_t size = std::strtoul(line.c_str(), nullptr, 16);
    if (!FillTo(connection, size + 2, until)) {
      return false;
    }
    message.body += connection.buffer.substr(0, size);
    connection.buffer.erase(0, size + 2);
    if (size == 0) {
      return true;
    }
  }
}

}  // namespace

Connection::~Connection() {
  close(this->descriptor);
}

bool Connection::Write(const std::string& bytes) const {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t now = send(this->descriptor, bytes.data() + sent,
                             bytes.size() - sent, MSG_NOSIGNAL);
    if (now <= 0) {
      return false;
    }
    sent += static_cast<size_t>(now);
  }
  return true;
}

int Connection::Fill(Clock::time_point until) {
  pollfd wait{this->descriptor, POLLIN, 0};
  if (poll(&wait, 1, LeftUntil(until)) <= 0) {
    return -1;
  }
  char bytes[kReadBytes];
  const ssize_t got = recv(this->descriptor, bytes, sizeof(bytes), 0);
  if (got > 0) {
    this->buffer.append(bytes, static_cast<size_t>(got));
  }
  return got > 0 ? 1 : static_cast<int>(got);
}

bool Connection::HasClosed() const {
  char byte = 0;
  const ssize_t got = recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::ResetAtClose() const {
  const linger at_once{1, 0};
  setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &at_once,
             sizeof(at_once));
}

std::string Message::Header(const std::string& name) const {
  const auto found = this->headers.find(Lower(name));
  return found == this->headers.end() ? std::string() : found->second;
}

ReadResult ReadMessage(Connection& connection,
                       Message& message,
                       Clock::time_point until) {
  message = Message();
  std::string head;
  if (!TakeTo(connection, "\r\n\r\n", head, until)) {
    return connection.buffer.empty() ? ReadResult::kNothing
                                     : ReadResult::kIncomplete;
  }
  ParseHead(head, message);
  if (Lower(message.Header("Transfer-Encoding")) == "chunked") {
    return ReadChunks(connection, message, until) ? ReadResult::kWhole
                                                  : ReadResult::kIncomplete;
  }
  const std::string length = message.Header("Content-Length");
  const size_t size =
      length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
  if (!FillTo(connection, size, until)) {
    return ReadResult::kIncomplete;
  }
  message.body = connection.buffer.substr(0, size);
  connection.buffer.erase(0, size);
  return ReadResult::kWhole;
}

int ConnectTo(const std::string& address, uint16_t port, Milliseconds timeout) {
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in to = MakeAddress(address, port);
  connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  pollfd wait{descriptor, POLLOUT, 0};
  const int ready = poll(&wait, 1, static_cast<int>(timeout.count()));
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
  if (ready <= 0 || error != 0) {
    close(descriptor);
    return -1;
  }
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
  return descriptor;
}

Server::Server(const std::string& address, uint16_t port, Serve serve)
    : descriptor(BindTo(address, port)) {
  if (this->descriptor < 0 || listen(this->descriptor, kBacklog) != 0) {
    std::fprintf(stderr, "can't listen at %s:%u\n", address.c_str(), port);
    std::_Exit(2);
  }
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
  this->bound_port = ntohs(bound.sin_port);
  std::thread([this, serve = std::move(serve)] {
    this->Accept(serve);
  }).detach();
}

void Server::Accept(const Serve& serve) const {
  for (;;) {
    const int accepted =
        accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::thread([accepted, serve] {
      Connection connection(accepted);
      serve(connection);
    }).detach();
  }
}

uint16_t FindFreePorts(const std::string& address, uint16_t count) {
  // Below the ports that the kernel gives out by itself.
  const auto first = static_cast<uint16_t>(getpid() * 37 % kPorts);
  for (uint16_t i = 0; i < kPorts; i = static_cast<uint16_t>(i + count)) {
    const auto port = static_cast<uint16_t>(kFirstPort + (first + i) % kPorts);
    bool free = true;
    for (uint16_t next = 0; free && next < count; ++next) {
      const int bound = BindTo(address, static_cast<uint16_t>(port + next));
      free = bound >= 0;
      close(bound);
    }
    if (free) {
      return port;
    }
  }
  return 0;
}

}  // namespace review

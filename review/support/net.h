#ifndef BASILSILL_REVIEW_SUPPORT_NET_H_
#define BASILSILL_REVIEW_SUPPORT_NET_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

/// Blocking TCP and HTTP/1.1 for the stand-ins. Every address is a loopback
/// address.

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Reads from a socket and keeps what was read beyond a message.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor(descriptor) {}
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection();

  /// @returns false if the peer has closed or the time is over.
  bool Write(const std::string& bytes) const;
  /// Adds what arrives next to `buffer`.
  /// @returns 1 if bytes came, 0 at the end of the stream, -1 after a reset or
  /// at `until`.
  int Fill(Clock::time_point until);
  /// @returns true if the peer has closed the connection.
  bool HasClosed() const;
  /// Makes the close a reset.
  void ResetAtClose() const;

  std::string buffer;

 private:
  int descriptor;
};

/// The head of a message, its header names in lower case, and the body.
struct Message {
  std::string start_line;
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
};

enum class ReadResult { kWhole, kNothing, kIncomplete };

/// Reads one message whose body has a length or chunks.
ReadResult ReadMessage(Connection& connection,
                       Message& message,
                       Clock::time_point until = Clock::time_point::max());

/// @returns the descriptor of a connection to `address`, -1 if there is none.
int ConnectTo(const std::string& address, uint16_t port, Milliseconds timeout);

/// Listens, and serves each connection on a thread of its own.
class Server {
 public:
  using Serve = std::function<void(Connection&)>;

  Server(const std::string& address, uint16_t port, Serve serve);

  uint16_t port() const { return this->bound_port; }

 private:
  void Accept(const Serve& serve) const;

  int descriptor = -1;
  uint16_t bound_port = 0;
};

/// @returns a port that is free at `address`, with `count` - 1 free ones behind
/// it.
uint16_t FindFreePorts(const std::string& address, uint16_t count);

}  // namespace review

#endif  // BASILSILL_REVIEW_SUPPORT_NET_H_

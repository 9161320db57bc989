#ifndef BASILSILL_NODE_TEST_RAW_UPSTREAM_H_
#define BASILSILL_NODE_TEST_RAW_UPSTREAM_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

/// An upstream whose every byte is determined by the test.

namespace basilsill::test {

/// The blank line that ends the head of a message.
inline const std::string kHeadEnd = "\r\n\r\n";

class RawUpstream {
 public:
  /// One connection of the upstream, served on the upstream's thread.
  class Exchange {
   public:
    explicit Exchange(boost::asio::ip::tcp::socket& socket) : socket(socket) {}

    /// Reads up to and including `end`.
    /// @returns everything that was read; it does not end with `end` if the
    /// peer closed before.
    std::string ReadUntil(const std::string& end);
    /// @returns false if the peer has closed.
    bool Write(const std::string& bytes);
    /// Resets the connection.
    void Reset();
    /// Blocks until the peer closes.
    void WaitForClose();
    /// Reads `size` bytes, or fewer if the peer closes before.
    std::string Read(size_t size);

   private:
    boost::asio::ip::tcp::socket& socket;
  };

  /// @param serve Called for each connection, which is closed when it returns.
  explicit RawUpstream(std::function<void(Exchange&)> serve);
  ~RawUpstream();

  uint16_t port() const { return this->acceptor.local_endpoint().port(); }

 private:
  void Accept();

  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor;
  std::function<void(Exchange&)> serve;
  std::atomic<bool> ends{false};
  std::thread thread;
};

/// The result of sending raw bytes as a caller.
struct RawAnswer {
  std::string bytes;
  bool was_reset = false;
};

/// Sends `bytes` and reads until the connection ends.
/// @param on_first Called once, when the first bytes of the answer have
/// arrived.
RawAnswer SendAndRead(uint16_t port,
                      const std::string& bytes,
                      const std::function<void()>& on_first = {});

}  // namespace basilsill::test

#endif  // BASILSILL_NODE_TEST_RAW_UPSTREAM_H_

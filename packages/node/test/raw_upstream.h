#ifndef BASILSILL_NODE_TEST_RAW_UPSTREAM_H_
#define BASILSILL_NODE_TEST_RAW_UPSTREAM_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

/// An upstream of which a test says each byte.

namespace basilsill::test {

/// Ends the head of a message.
inline const std::string kHeadEnd = "\r\n\r\n";

class RawUpstream {
 public:
  /// One connection of the upstream, used on a thread of its own.
  class Exchange {
   public:
    explicit Exchange(boost::asio::ip::tcp::socket& socket) : socket(socket) {}

    /// Reads until `end` has come.
    /// @returns all that was read, without `end` if the caller closed before.
    std::string ReadUntil(const std::string& end);
    /// @returns false if the other side has closed.
    bool Write(const std::string& bytes);
    /// Blocks until the other side closes.
    void WaitForClose();
    /// Reads `size` octets, or fewer if the other side closes before.
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

/// What a caller got that sent raw bytes.
struct RawAnswer {
  std::string bytes;
  bool was_reset = false;
};

/// Sends `bytes` and reads until the connection ends. The callback is called
/// once, when something of the answer has come.
RawAnswer SendAndRead(uint16_t port,
                      const std::string& bytes,
                      const std::function<void()>& on_first = {});

}  // namespace basilsill::test

#endif  // BASILSILL_NODE_TEST_RAW_UPSTREAM_H_

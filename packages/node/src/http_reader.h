#ifndef BASILSILL_NODE_HTTP_READER_H_
#define BASILSILL_NODE_HTTP_READER_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <utility>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "http_message.h"
#include "net.h"

/// Reads HTTP/1.1 messages from a connection with Beast's parser, first the
/// head and then the body piece by piece. Used for both callers and upstreams.

namespace basilsill {

/// Result of reading a head.
enum class HeadStatus : uint8_t {
  kOk,
  kClosed,     ///< The connection closed before the first byte.
  kBroken,     ///< It closed or failed within the head.
  kTooLarge,   ///< The head exceeds its size limit.
  kMalformed,  ///< Not HTTP, with a status that HTTP does not have, or
               ///< ambiguous in a way that allows request smuggling.
  kCount
};

/// Checks the raw text of a head for forms that Beast's parser accepts but that
/// servers interpret differently: obsolete line folding, bare CR or LF, white
/// space before a colon, repeated Content-Length, and a Transfer-Encoding other
/// than one `chunked` of HTTP/1.1.
/// @param head Text up to and including the blank line.
bool IsStrictHead(std::string_view head);

/// Reads one direction of one connection.
template <bool is_request>
class HttpReader {
 public:
  using Parser =
      boost::beast::http::parser<is_request, boost::beast::http::buffer_body>;

  struct Limits {
    size_t header_bytes = limits::kMaxHeaderBytes;
    uint64_t body_bytes = limits::kMaxBodyBytes;
  };

  explicit HttpReader(const Limits& limits) : limits(limits) {}

  /// Sets the limits for the messages that follow.
  void SetLimits(const Limits& next) { this->limits = next; }

  /// Reads the next head.
  /// @param no_body The message has no body whatever its head says: it answers
  /// a HEAD request.
  Task<HeadStatus> ReadHead(Socket& socket, bool no_body = false);

  /// Reads the next piece of the body into `buffer`.
  /// @param socket Source of further bytes.
  Task<BodyPiece> ReadBody(Socket& socket, std::span<char> buffer);

  /// @returns how the body is delimited according to the last head.
  BodyFraming framing() const;

  /// @returns true if nothing but the end of the connection ends the body.
  bool ends_with_connection() const {
    return this->parser && this->parser->need_eof();
  }

  /// @returns true if the complete message was read.
  bool done() const { return this->parser && this->parser->is_done(); }

  /// @returns the fields after a chunked body; nullptr if there are none or the
  /// body was not read to its end.
  const HttpFields* trailers() const;

  /// @returns true if a head was read, so that `message` can be called.
  bool has_message() const { return this->parser.has_value(); }

  /// @returns true if bytes beyond the last message have been read.
  bool has_more() const { return this->buffer.size() > 0; }

  /// The message as far as it was read. The fields of its head remain until the
  /// first piece of a chunked body is read.
  Parser& message() { return *this->parser; }

  /// @returns the number of bytes received since the last call.
  uint64_t TakeReceived() { return std::exchange(this->received, 0); }

  /// Frees memory that an idle connection does not need.
  void Shrink();

 private:
  bool ParseHead(size_t head_size, bool no_body);
  void DropHeadFields();

  Limits limits;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  bool head_dropped = false;
  uint64_t received = 0;
};

using RequestReader = HttpReader<true>;
using AnswerReader = HttpReader<false>;

}  // namespace basilsill

#endif  // BASILSILL_NODE_HTTP_READER_H_

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

/// Reads HTTP/1.1 messages from a connection, the head first and then the
/// body piece by piece, through Beast's parser. The same code serves callers
/// and upstreams.

namespace basilsill {

/// How the reading of a head ended.
enum class HeadStatus : uint8_t {
  kOk,
  kClosed,     ///< The connection closed before the first byte.
  kBroken,     ///< It closed or failed in the middle.
  kTooLarge,   ///< The head is above its limit.
  kMalformed,  ///< Not HTTP, or a form that invites request smuggling.
  kCount
};

/// Checks the raw text of a head for what Beast's parser lets through and
/// other servers read in different ways: obsolete line folding, bare CR or LF,
/// white space before a colon, repeated Content-Length, a Transfer-Encoding
/// other than one `chunked` of HTTP/1.1.
/// @param head Text up to and including the blank line.
bool IsStrictHead(std::string_view head);

/// One direction of one connection.
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

  /// Replaces the limits, for messages that follow.
  void SetLimits(const Limits& next) { this->limits = next; }

  /// Reads the next head.
  /// @param no_body The message has no body whatever its head says: it
  /// answers a HEAD request.
  Task<HeadStatus> ReadHead(Socket& socket, bool no_body = false);

  /// Reads the next piece of the body.
  /// @param socket Where more bytes come from.
  /// @param buffer Where they go.
  Task<BodyPiece> ReadBody(Socket& socket, std::span<char> buffer);

  /// @returns what the last head says of the body.
  BodyFraming framing() const;

  /// @returns true if the whole message was read.
  bool done() const { return this->parser && this->parser->is_done(); }

  /// @returns the fields that came after a chunked body, nullptr if there are
  /// none or the body was not read to its end.
  const HttpFields* trailers() const;

  /// @returns true if a head was read, so that `message` can be called.
  bool has_message() const { return this->parser.has_value(); }

  /// @returns true if bytes beyond the last message were read already.
  bool has_more() const { return this->buffer.size() > 0; }

  /// The message as far as it was read. The fields of its head are there until
  /// the first piece of a chunked body is asked for.
  Parser& message() { return *this->parser; }

  /// @returns how many bytes were read since the last call.
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

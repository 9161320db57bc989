#include "http_reader.h"

#include <algorithm>

#include "basilsill/base/http_status.h"
#include "basilsill/base/text.h"

namespace basilsill {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view kBlankLine = "\r\n\r\n";
constexpr std::string_view kBlanks = " \t";
constexpr std::string_view kHttp10 = "HTTP/1.0";
constexpr size_t kReadBytes = 8 * 1024;

template <typename Buffer>
std::string_view TextOf(const Buffer& buffer) {
  const auto data = buffer.cdata();
  return {static_cast<const char*>(data.data()), data.size()};
}

// Ignores the case of ASCII letters only, as HTTP does for field names.
bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

bool IsStrictFieldLine(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  const bool folded = line.front() == ' ' || line.front() == '\t';
  const char before = line[colon - 1];
  return !folded && before != ' ' && before != '\t';
}

// Beast accepts a list of equal numbers as one number; other servers do not.
bool IsPlainNumber(std::string_view value) {
  return !value.empty() && std::all_of(value.begin(), value.end(), [](char c) {
    return c >= '0' && c <= '9';
  });
}

// Counts the fields of a head that determine where its body ends.
struct FramingFields {
  int lengths = 0;
  int codings = 0;

  // Beast treats a request with a coding other than chunked as one without a
  // body, so that its body is read as the next request. Beast also accepts
  // chunks in HTTP/1.0, which old servers pass on without decoding them.
  bool Add(std::string_view line, bool http_1_0) {
    const size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = Trimmed(line.substr(colon + 1), kBlanks);
    if (EqualsIgnoreCase(name, "content-length")) {
      ++this->lengths;
      return IsPlainNumber(value);
    }
    if (EqualsIgnoreCase(name, "transfer-encoding")) {
      ++this->codings;
      return !http_1_0 && EqualsIgnoreCase(value, "chunked");
    }
    return true;
  }

  bool IsClear() const { return this->lengths + this->codings <= 1; }
};

bool HasKnownStatus(const http::request_header<>& /*request*/) {
  return true;
}

bool HasKnownStatus(const http::response_header<>& answer) {
  const unsigned status = answer.result_int();
  return IsInterimStatus(status) || IsFinalStatus(status);
}

}  // namespace

bool IsStrictHead(std::string_view head) {
  FramingFields framing;
  bool first = true;
  bool http_1_0 = false;
  while (!head.empty()) {
    const size_t end = head.find("\r\n");
    if (end == std::string_view::npos) {
      return false;
    }
    const std::string_view line = head.substr(0, end);
    head.remove_prefix(end + 2);
    if (line.find_first_of(std::string_view("\r\n\0", 3)) !=
        std::string_view::npos) {
      return false;
    }
    if (line.empty()) {
      return head.empty() && framing.IsClear();
    }
    if (first) {
      http_1_0 = line.starts_with(kHttp10) || line.ends_with(kHttp10);
    } else if (!IsStrictFieldLine(line) || !framing.Add(line, http_1_0)) {
      return false;
    }
    first = false;
  }
  return false;
}

template <bool is_request>
Task<HeadStatus> HttpReader<is_request>::ReadHead(Socket& socket,
                                                  bool no_body) {
  this->parser.reset();
  bool any = this->buffer.size() > 0;
  size_t searched = 0;
  for (;;) {
    const std::string_view text = TextOf(this->buffer);
    const size_t from =
        searched < kBlankLine.size() ? 0 : searched - kBlankLine.size();
    const size_t end = text.find(kBlankLine, from);
    if (end != std::string_view::npos &&
        end + kBlankLine.size() <= this->limits.header_bytes) {
      const size_t size = end + kBlankLine.size();
      if (!IsStrictHead(text.substr(0, size)) ||
          !this->ParseHead(size, no_body)) {
        co_return HeadStatus::kMalformed;
      }
      co_return HeadStatus::kOk;
    }
    if (text.size() >= this->limits.header_bytes) {
      co_return HeadStatus::kTooLarge;
    }
    // A head whose lines end in a bare LF never contains the blank line that is
    // searched for. It is refused at once instead of when the connection times
    // out.
    if (text.find("\n\n") != std::string_view::npos) {
      co_return HeadStatus::kMalformed;
    }
    searched = text.size();
    const auto [error, size] = co_await socket.async_read_some(
        this->buffer.prepare(kReadBytes), kTask);
    if (error) {
      co_return any ? HeadStatus::kBroken : HeadStatus::kClosed;
    }
    this->buffer.commit(size);
    this->received += size;
    any = true;
  }
}

template <bool is_request>
bool HttpReader<is_request>::ParseHead(size_t head_size, bool no_body) {
  this->parser.emplace();
  this->head_dropped = false;
  this->parser->header_limit(
      static_cast<uint32_t>(this->limits.header_bytes + 1));
  this->parser->body_limit(this->limits.body_bytes);
  this->parser->skip(no_body);
  this->parser->eager(false);
  NetError error;
  const auto data = this->buffer.cdata();
  const size_t used =
      this->parser->put(boost::asio::buffer(data.data(), head_size), error);
  this->buffer.consume(used);
  this->parser->eager(true);
  return !error && this->parser->is_header_done() &&
         HasKnownStatus(this->parser->get());
}

template <bool is_request>
BodyFraming HttpReader<is_request>::framing() const {
  if (this->parser->is_done()) {
    const auto length = this->parser->content_length();
    return length && *length == 0 ? BodyFraming{BodyKind::kLength, 0}
                                  : BodyFraming{};
  }
  if (this->parser->chunked()) {
    return {BodyKind::kChunked, 0};
  }
  if (const auto length = this->parser->content_length()) {
    return {BodyKind::kLength, *length};
  }
  return {is_request ? BodyKind::kNone : BodyKind::kUntilClose, 0};
}

template <bool is_request>
const HttpFields* HttpReader<is_request>::trailers() const {
  if (!this->done() || !this->head_dropped) {
    return nullptr;
  }
  const HttpFields& fields = this->parser->get();
  return fields.begin() == fields.end() ? nullptr : &fields;
}

// Beast adds trailers to the fields of the head, so that a sender could pass
// trailers off as headers. The caller of ReadBody has already read the head, so
// its fields are removed and only trailers remain in the message.
template <bool is_request>
void HttpReader<is_request>::DropHeadFields() {
  if (this->parser->chunked() && !this->head_dropped) {
    this->parser->get().clear();
    this->head_dropped = true;
  }
}

template <bool is_request>
Task<BodyPiece> HttpReader<is_request>::ReadBody(Socket& socket,
                                                 std::span<char> buffer) {
  if (this->parser->is_done()) {
    co_return BodyPiece{};
  }
  this->DropHeadFields();
  auto& body = this->parser->get().body();
  body.data = buffer.data();
  body.size = buffer.size();
  for (;;) {
    if (this->buffer.size() > 0) {
      NetError error;
      const size_t used = this->parser->put(this->buffer.cdata(), error);
      this->buffer.consume(used);
      if (this->head_dropped && this->parser->is_done()) {
        RemoveHopByHop(this->parser->get());
      }
      const bool wants_more =
          error == http::error::need_more || error == http::error::need_buffer;
      if (error && !wants_more) {
        co_return BodyPiece{false, true, 0};
      }
    }
    // The buffer now contains at most the line end of a chunk, which the parser
    // reads only with the next chunk; the piece does not wait for it.
    const size_t got = buffer.size() - body.size;
    if (this->parser->is_done() || got > 0) {
      co_return BodyPiece{true, this->parser->is_done(), got};
    }
    // Bounds the memory that an endless chunk extension or trailer can occupy.
    if (this->buffer.size() >= this->limits.header_bytes) {
      co_return BodyPiece{false, true, 0};
    }
    const auto [error, size] = co_await socket.async_read_some(
        this->buffer.prepare(std::max(kReadBytes, buffer.size())), kTask);
    if (error) {
      // Only a body that is delimited by the close may end with it.
      NetError eof_error;
      if (error == boost::asio::error::eof && this->parser->need_eof()) {
        this->parser->put_eof(eof_error);
        co_return BodyPiece{!eof_error, true, buffer.size() - body.size};
      }
      co_return BodyPiece{false, true, 0};
    }
    this->buffer.commit(size);
    this->received += size;
  }
}

template <bool is_request>
void HttpReader<is_request>::Shrink() {
  this->parser.reset();
  if (this->buffer.size() == 0) {
    this->buffer = boost::beast::flat_buffer();
  }
}

template class HttpReader<true>;
template class HttpReader<false>;

}  // namespace basilsill

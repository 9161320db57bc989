#include "http_reference.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <span>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace basilsill::test {
namespace {

constexpr size_t kPieceBytes = 1000;
constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";
constexpr std::string_view kEndOfLine = "\r\n";

struct SocketPair {
  explicit SocketPair(IoContext& io)
      : writer(io.get_executor()), reader(io.get_executor()) {
    Acceptor acceptor = Listen(io, Endpoint{"127.0.0.1", 0}, false).value();
    this->writer.connect(acceptor.local_endpoint());
    acceptor.accept(this->reader);
  }

  Socket writer;
  Socket reader;
};

Task<void> WriteAndClose(Socket& socket, std::string_view bytes) {
  const auto buffer = boost::asio::buffer(bytes.data(), bytes.size());
  co_await boost::asio::async_write(socket, buffer, kTask);
  NetError ignored;
  socket.shutdown(Socket::shutdown_send, ignored);
}

template <bool is_request>
Task<std::optional<std::string>> ReadWholeBody(HttpReader<is_request>& reader,
                                               Socket& socket) {
  std::string body;
  std::vector<char> buffer(kPieceBytes);
  BodyPiece piece;
  do {
    piece = co_await reader.ReadBody(socket, buffer);
    if (!piece.ok) {
      co_return std::nullopt;
    }
    body.append(buffer.data(), piece.size);
  } while (!piece.last);
  co_return body;
}

Task<void> ReadAllRequests(Socket& socket, ReadingOutcome& end) {
  RequestReader reader({});
  for (;;) {
    end.status = co_await reader.ReadHead(socket);
    if (end.status != HeadStatus::kOk) {
      break;
    }
    const auto& message = reader.message().get();
    ParsedRequest request;
    request.method = message.method_string();
    request.target = message.target();
    std::optional<std::string> body = co_await ReadWholeBody(reader, socket);
    end.body_broken = !body.has_value();
    if (end.body_broken) {
      break;
    }
    request.body = std::move(*body);
    end.whole.push_back(std::move(request));
  }
  NetError ignored;
  socket.close(ignored);
}

Task<void> ReadAllAnswers(Socket& socket) {
  AnswerReader reader({});
  HeadStatus status = co_await reader.ReadHead(socket);
  while (status == HeadStatus::kOk) {
    const std::optional<std::string> body =
        co_await ReadWholeBody(reader, socket);
    status = HeadStatus::kBroken;
    if (body.has_value()) {
      status = co_await reader.ReadHead(socket);
    }
  }
  NetError ignored;
  socket.close(ignored);
}

bool IsToken(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           const bool letter = (c | 0x20) >= 'a' && (c | 0x20) <= 'z';
           const bool digit = c >= '0' && c <= '9';
           return letter || digit ||
                  kTokenMarks.find(static_cast<char>(c)) !=
                      std::string_view::npos;
         });
}

bool IsFieldValue(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return c == '\t' || (c >= ' ' && c != 0x7f);
  });
}

std::string Lower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c | 0x20) : c;
  });
  return lower;
}

std::string_view Trimmed(std::string_view text) {
  const size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::optional<uint64_t> NumberOf(std::string_view text, int base) {
  uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [used, error] = std::from_chars(text.data(), end, number, base);
  const bool whole = !text.empty() && error == std::errc() && used == end;
  return whole ? std::optional(number) : std::nullopt;
}

/// Parses the requests in a sequence of bytes, one after the other.
class StrictParser {
 public:
  explicit StrictParser(std::string_view bytes) : left(bytes) {}

  std::optional<ParsedRequest> Next() {
    ParsedRequest request;
    const bool whole = this->TakeStartLine(request) && this->TakeFields() &&
                       this->TakeBody(request.body);
    return whole ? std::optional(std::move(request)) : std::nullopt;
  }

 private:
  std::optional<std::string_view> TakeLine() {
    const size_t end = this->left.find(kEndOfLine);
    if (end == std::string_view::npos) {
      return std::nullopt;
    }
    const std::string_view line = this->left.substr(0, end);
    this->left.remove_prefix(end + kEndOfLine.size());
    return line;
  }

  bool TakeStartLine(ParsedRequest& request) {
    this->length.reset();
    this->chunked = false;
    const auto line = this->TakeLine();
    if (!line) {
      return false;
    }
    const size_t first = line->find(' ');
    const size_t last = line->rfind(' ');
    if (first == std::string_view::npos || first == last) {
      return false;
    }
    request.method = line->substr(0, first);
    request.target = line->substr(first + 1, last - first - 1);
    const std::string_view version = line->substr(last + 1);
    this->http_1_1 = version == "HTTP/1.1";
    const bool plain_target =
        std::all_of(request.target.begin(), request.target.end(),
                    [](unsigned char c) { return c > ' ' && c != 0x7f; });
    return IsToken(request.method) && plain_target &&
           (this->http_1_1 || version == "HTTP/1.0");
  }

  bool TakeFields() {
    for (;;) {
      const auto line = this->TakeLine();
      if (!line || line->empty()) {
        return line.has_value();
      }
      const size_t colon = line->find(':');
      if (colon == std::string_view::npos ||
          !this->OnField(line->substr(0, colon),
                         Trimmed(line->substr(colon + 1)))) {
        return false;
      }
    }
  }

  bool OnField(std::string_view name, std::string_view value) {
    if (!IsToken(name) || !IsFieldValue(value)) {
      return false;
    }
    const std::string lower = Lower(name);
    if (lower == "content-length") {
      const bool first = !this->length && !this->chunked;
      this->length = NumberOf(value, 10);
      return first && this->length.has_value();
    }
    if (lower == "transfer-encoding") {
      const bool first = !this->length && !this->chunked;
      this->chunked = Lower(value) == "chunked";
      return first && this->chunked && this->http_1_1;
    }
    return true;
  }

  bool TakeBody(std::string& body) {
    if (!this->chunked) {
      return this->TakeBytes(this->length.value_or(0), body);
    }
    for (;;) {
      const auto line = this->TakeLine();
      if (!line || !IsFieldValue(*line)) {
        return false;
      }
      const auto size = NumberOf(Trimmed(line->substr(0, line->find(';'))), 16);
      if (!size) {
        return false;
      }
      if (*size == 0) {
        return this->TakeTrailers();
      }
      std::string end;
      if (!this->TakeBytes(*size, body) || !this->TakeBytes(2, end) ||
          end != kEndOfLine) {
        return false;
      }
    }
  }

  // Only the end of the trailers is checked: they are serialized again when
  // they are passed on.
  bool TakeTrailers() {
    for (;;) {
      const auto line = this->TakeLine();
      if (!line || line->empty()) {
        return line.has_value();
      }
    }
  }

  bool TakeBytes(uint64_t count, std::string& out) {
    if (count > this->left.size()) {
      return false;
    }
    out += this->left.substr(0, count);
    this->left.remove_prefix(count);
    return true;
  }

  std::string_view left;
  std::optional<uint64_t> length;
  bool chunked = false;
  bool http_1_1 = false;
};

}  // namespace

ReadingOutcome ReadRequests(std::string_view bytes) {
  IoContext io(1);
  SocketPair pair(io);
  ReadingOutcome end;
  boost::asio::co_spawn(io, WriteAndClose(pair.writer, bytes),
                        boost::asio::detached);
  boost::asio::co_spawn(io, ReadAllRequests(pair.reader, end),
                        boost::asio::detached);
  io.run();
  return end;
}

void ReadAnswers(std::string_view bytes) {
  IoContext io(1);
  SocketPair pair(io);
  boost::asio::co_spawn(io, WriteAndClose(pair.writer, bytes),
                        boost::asio::detached);
  boost::asio::co_spawn(io, ReadAllAnswers(pair.reader), boost::asio::detached);
  io.run();
}

std::vector<ParsedRequest> ParseStrictly(std::string_view bytes) {
  StrictParser parser(bytes);
  std::vector<ParsedRequest> requests;
  while (auto request = parser.Next()) {
    requests.push_back(std::move(*request));
  }
  return requests;
}

bool AgreesWithStrictParser(const ReadingOutcome& end, std::string_view bytes) {
  const std::vector<ParsedRequest> expected = ParseStrictly(bytes);
  const bool no_more = end.whole.size() <= expected.size();
  return no_more &&
         std::equal(end.whole.begin(), end.whole.end(), expected.begin());
}

}  // namespace basilsill::test

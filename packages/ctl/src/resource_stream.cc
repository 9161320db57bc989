#include "resource_stream.h"

#include <array>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "basilsill/base/limits.h"

namespace basilsill::ctl {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr unsigned kOk = 200;

/// Splits received bytes into lines and passes them to the handler.
class LineSplitter {
 public:
  explicit LineSplitter(LineHandler handle) : handler(std::move(handle)) {}

  /// @returns false if the handler returned false.
  bool Add(std::string_view bytes) {
    this->pending += bytes;
    size_t begin = 0;
    for (size_t end = this->pending.find('\n'); end != std::string::npos;
         end = this->pending.find('\n', begin)) {
      const std::string_view whole = this->pending;
      if (!this->handler(whole.substr(begin, end - begin))) {
        return false;
      }
      begin = end + 1;
    }
    this->pending.erase(0, begin);
    return true;
  }

  size_t pending_bytes() const { return this->pending.size(); }

 private:
  LineHandler handler;
  std::string pending;
};

StreamResult ConnectionFailure(const Endpoint& endpoint,
                               beast::error_code error) {
  StreamResult end;
  end.failure =
      Failure{FailureKind::kNetwork, ToString(endpoint), error.message()};
  return end;
}

// Connects and sends the request.
asio::awaitable<beast::error_code> SendRequest(beast::tcp_stream& stream,
                                               const Endpoint& endpoint,
                                               const std::string& target) {
  beast::error_code error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  if (error) {
    co_return error;
  }
  const asio::ip::tcp::endpoint where(address, endpoint.port);
  stream.expires_after(limits::kPlatformConnectTimeout);
  const auto [connect_error] = co_await stream.async_connect(where, kNoThrow);
  if (connect_error) {
    co_return connect_error;
  }
  http::request<http::empty_body> request(http::verb::get, target, 11);
  request.set(http::field::host, ToString(endpoint));
  const auto [write_error, written] =
      co_await http::async_write(stream, request, kNoThrow);
  co_return write_error;
}

}  // namespace

asio::awaitable<StreamResult> StreamLines(Endpoint endpoint,
                                          std::string target,
                                          LineHandler handle) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  const beast::error_code request_error =
      co_await SendRequest(stream, endpoint, target);
  if (request_error) {
    co_return ConnectionFailure(endpoint, request_error);
  }
  beast::flat_buffer buffer{limits::kMaxUnparsedBytes};
  http::response_parser<http::buffer_body> parser;
  parser.body_limit(boost::none);
  std::array<char, limits::kBodyChunkBytes> chunk{};
  StreamResult end;
  LineSplitter lines(std::move(handle));
  do {
    stream.expires_after(limits::kMaxPlatformWait);
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    auto [error, received] =
        co_await http::async_read_some(stream, buffer, parser, kNoThrow);
    if (error && error != http::error::need_buffer) {
      co_return ConnectionFailure(endpoint, error);
    }
    if (!parser.is_header_done()) {
      continue;
    }
    const std::string_view bytes(chunk.data(),
                                 chunk.size() - parser.get().body().size);
    if (parser.get().result_int() != kOk) {
      end.refusal.body += bytes;
    } else if (!lines.Add(bytes)) {
      end.stopped_by_handler = true;
      co_return end;
    }
    if (lines.pending_bytes() + end.refusal.body.size() >
        limits::kMaxPlatformAnswerBytes) {
      end.failure = Failure{FailureKind::kOversizedFrame, ToString(endpoint),
                            "a line or an error body exceeds the size limit"};
      co_return end;
    }
  } while (!parser.is_done());
  if (parser.get().result_int() != kOk) {
    end.refusal.status = parser.get().result_int();
  }
  co_return end;
}

}  // namespace basilsill::ctl

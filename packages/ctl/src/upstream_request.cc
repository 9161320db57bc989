#include "upstream_request.h"

#include <algorithm>
#include <span>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include "basilsill/base/limits.h"
#include "basilsill/base/text.h"
#include "upstream_body.h"

namespace basilsill::ctl {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

using Parser = http::request_parser<http::buffer_body>;

boost::beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

UpstreamRequest FromHeader(const Parser::value_type& header) {
  const auto field = [&header](std::string_view name) {
    return std::string_view(header[ToBeast(name)]);
  };
  UpstreamRequest request;
  request.method = header.method();
  request.target = std::string_view(header.target());
  request.tag = field(kTagHeader);
  request.keep_alive = header.keep_alive();
  request.job.idempotency_key = field(kKeyHeader);
  request.job.crash = field(kEmulateHeader) == kEmulateCrash;
  if (const auto deadline = ParseNumber<uint64_t>(field(kDeadlineHeader))) {
    const uint64_t limit = limits::kMaxDeadline.count();
    request.job.deadline =
        MonotonicClock::now() +
        std::chrono::milliseconds(std::min(*deadline, limit));
  }
  return request;
}

asio::awaitable<bool> SendContinue(tcp::socket& socket) {
  http::response<http::empty_body> interim(http::status::continue_, 11);
  auto [error, size] = co_await http::async_write(socket, interim, kAwaitTuple);
  co_return !error;
}

// Reads the body. Returns false if the connection fails before its end.
asio::awaitable<bool> ReadBody(tcp::socket& socket,
                               boost::beast::flat_buffer& buffer,
                               std::vector<char>& chunk,
                               Parser& parser,
                               UpstreamRequest& request) {
  chunk.resize(limits::kBodyChunkBytes);
  // Beast reads at most the free capacity of the buffer, which would be 1.5 KB
  // per read without this.
  buffer.reserve(limits::kBodyChunkBytes);
  BodyDigest digest;
  while (!parser.is_done()) {
    auto& body = parser.get().body();
    body.data = chunk.data();
    body.size = chunk.size();
    auto [error, size] =
        co_await http::async_read(socket, buffer, parser, kAwaitTuple);
    if (error && error != http::error::need_buffer) {
      co_return false;
    }
    const size_t filled = chunk.size() - body.size;
    digest.Add(std::span(chunk).first(filled));
    request.body_size += filled;
    if (request.KeepsBody() && request.body_size <= kMaxEchoBytes) {
      request.body.append(chunk.data(), filled);
    }
  }
  request.body_digest = digest.Text();
  co_return true;
}

}  // namespace

std::string_view UpstreamRequest::path() const {
  return std::string_view(this->target).substr(0, this->target.find('?'));
}

bool UpstreamRequest::KeepsBody() const {
  return this->path() == kEchoPath || this->path() == kStatePath;
}

asio::awaitable<std::optional<UpstreamRequest>> ReadRequest(
    tcp::socket& socket,
    boost::beast::flat_buffer& buffer,
    std::vector<char>& chunk) {
  Parser parser;
  parser.header_limit(limits::kMaxHeaderBytes);
  parser.body_limit(limits::kMaxBodyBytes);
  auto [error, size] =
      co_await http::async_read_header(socket, buffer, parser, kAwaitTuple);
  if (error) {
    co_return std::nullopt;
  }
  UpstreamRequest request = FromHeader(parser.get());
  if (parser.is_done()) {
    co_return request;
  }
  const std::string_view expect = parser.get()[http::field::expect];
  // Each co_await is a statement of its own, because gcc 12 miscompiles a
  // co_await within a short-circuit expression.
  if (expect == "100-continue") {
    const bool sent = co_await SendContinue(socket);
    if (!sent) {
      co_return std::nullopt;
    }
  }
  const bool whole = co_await ReadBody(socket, buffer, chunk, parser, request);
  if (!whole) {
    co_return std::nullopt;
  }
  co_return request;
}

}  // namespace basilsill::ctl

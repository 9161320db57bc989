#include "load_connection.h"

#include <optional>
#include <span>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "basilsill/base/limits.h"
#include "upstream_request.h"

namespace basilsill::ctl {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr unsigned kHttp11 = 11;
constexpr std::string_view kPromiseHeader = "Basilsill-Promise";
constexpr std::string_view kReasonHeader = "Basilsill-Reason";
constexpr std::string_view kRetryAfterHeader = "Retry-After";

using Request = http::request<http::string_body>;
using Parser = http::response_parser<http::buffer_body>;

boost::beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

Request MakeRequest(const LoadAttempt& attempt) {
  const LoadKind& kind = *attempt.kind;
  Request request;
  request.version(kHttp11);
  request.method_string(kind.method);
  request.target(kind.path);
  request.set(http::field::host, kind.host);
  request.set(ToBeast(kTagHeader), attempt.tag);
  for (const LoadHeader& header : kind.headers) {
    request.set(header.name, header.value);
  }
  if (!attempt.key.empty()) {
    request.set(ToBeast(kKeyHeader), attempt.key);
  }
  if (attempt.deadline_left) {
    request.set(ToBeast(kDeadlineHeader),
                std::to_string(attempt.deadline_left->count()));
  }
  if (kind.crash) {
    request.set(ToBeast(kEmulateHeader), ToBeast(kEmulateCrash));
  }
  if (kind.body_bytes > 0) {
    request.body() = MakePattern(PatternSeed(attempt.tag), kind.body_bytes);
    request.content_length(request.body().size());
  }
  return request;
}

LoadExpectation ExpectationOf(const LoadAttempt& attempt,
                              const Request& request) {
  LoadExpectation expected;
  expected.tag = attempt.tag;
  expected.size = ExpectedSize(attempt.kind->path, attempt.kind->body_bytes);
  expected.has_body = attempt.kind->method != "HEAD";
  if (!request.body().empty()) {
    expected.upload_digest = DigestText(request.body());
  }
  return expected;
}

LoadResponseHead HeadOf(const Parser::value_type& response) {
  const auto field = [&response](std::string_view name) {
    return std::string_view(response[ToBeast(name)]);
  };
  LoadResponseHead head;
  head.status = response.result_int();
  head.upstream = field(kUpstreamHeader);
  head.tag = field(kTagHeader);
  head.digest = field(kDigestHeader);
  head.received_digest = field(kReceivedDigestHeader);
  head.promise = field(kPromiseHeader);
  head.reason = field(kReasonHeader);
  head.retry_after = field(kRetryAfterHeader);
  head.refused = field(kRefusedHeader);
  return head;
}

}  // namespace

/// A request in flight and its response. The buffers are reused by the next
/// exchange.
struct LoadConnection::Exchange {
  Request request;
  std::optional<Parser> parser;
  LoadResponseCheck check;
  boost::beast::flat_buffer buffer{limits::kMaxUnparsedBytes};
  std::vector<char> chunk = std::vector<char>(limits::kBodyChunkBytes);
  bool active = false;
};

LoadConnection::LoadConnection(asio::io_context& io,
                               tcp::endpoint endpoint,
                               OnDone done)
    : address(std::move(endpoint)), socket(io), on_done(std::move(done)) {}

LoadConnection::~LoadConnection() = default;

void LoadConnection::Open(std::function<void(bool)> opened) {
  this->Connect(std::move(opened));
}

void LoadConnection::Connect(std::function<void(bool)> opened) {
  this->Close();
  this->socket.async_connect(
      this->address, [this, opened = std::move(opened),
                      own_epoch = this->epoch](error_code error) {
        if (own_epoch != this->epoch) {
          return;
        }
        error_code ignored;
        this->socket.set_option(tcp::no_delay(true), ignored);
        this->socket.non_blocking(true, ignored);
        if (error) {
          this->Close();
        }
        opened(!error);
      });
}

void LoadConnection::Send(const LoadAttempt& attempt) {
  if (this->exchange == nullptr) {
    this->exchange = std::make_unique<Exchange>();
  }
  Exchange& ex = *this->exchange;
  ex.request = MakeRequest(attempt);
  ex.check = LoadResponseCheck(ExpectationOf(attempt, ex.request));
  ex.parser.emplace();
  ex.parser->body_limit(limits::kMaxBodyBytes);
  ex.parser->skip(attempt.kind->method == "HEAD");
  ex.active = true;
  if (!this->IsClosed()) {
    this->Write();
    return;
  }
  this->Connect([this](bool opened) {
    if (opened) {
      this->Write();
    } else {
      this->Fail(LoadVerdict::kConnectFailed);
    }
  });
}

void LoadConnection::Write() {
  http::async_write(this->socket, this->exchange->request,
                    [this, own_epoch = this->epoch](error_code error, size_t) {
                      if (own_epoch == this->epoch && error) {
                        this->Fail(LoadVerdict::kClosed);
                      } else if (own_epoch == this->epoch) {
                        this->Read();
                      }
                    });
}

void LoadConnection::Read() {
  Exchange& ex = *this->exchange;
  auto& body = ex.parser->get().body();
  body.data = ex.chunk.data();
  body.size = ex.chunk.size();
  http::async_read(this->socket, ex.buffer, *ex.parser,
                   [this, own_epoch = this->epoch](error_code error, size_t) {
                     if (own_epoch == this->epoch) {
                       this->OnRead(error);
                     }
                   });
}

void LoadConnection::OnRead(error_code error) {
  this->ConsumeBody();
  if (error == http::error::need_buffer) {
    // Beast limits each read to the capacity of the buffer; without this, long
    // bodies would be read in pieces of 1.5 KB.
    this->exchange->buffer.reserve(limits::kBodyChunkBytes);
    this->Read();
  } else if (!error) {
    this->Complete();
  } else if (error == http::error::end_of_stream ||
             !this->exchange->parser->got_some()) {
    this->Fail(LoadVerdict::kClosed);
  } else if (error == http::error::partial_message ||
             error.category() == asio::error::get_system_category()) {
    this->Fail(LoadVerdict::kCutShort);
  } else {
    this->Fail(LoadVerdict::kMalformed);
  }
}

void LoadConnection::ConsumeBody() {
  Exchange& ex = *this->exchange;
  const size_t filled = ex.chunk.size() - ex.parser->get().body().size;
  ex.check.AddBody(std::span<const char>(ex.chunk).first(filled));
}

void LoadConnection::Complete() {
  Exchange& ex = *this->exchange;
  const LoadAttemptResult result = ex.check.Finish(HeadOf(ex.parser->get()));
  if (!ex.parser->get().keep_alive()) {
    this->Close();
  }
  this->FinishExchange(result);
}

void LoadConnection::Fail(LoadVerdict verdict) {
  LoadAttemptResult result;
  result.verdict = verdict;
  result.bytes = this->exchange->check.size();
  this->Close();
  this->FinishExchange(result);
}

void LoadConnection::FinishExchange(LoadAttemptResult result) {
  this->exchange->active = false;
  this->on_done(*this, std::move(result));
}

void LoadConnection::TimeOut() {
  if (this->exchange != nullptr && this->exchange->active) {
    this->Fail(LoadVerdict::kTimedOut);
  }
}

void LoadConnection::Close() {
  error_code ignored;
  ++this->epoch;
  this->socket.close(ignored);
  if (this->exchange != nullptr) {
    this->exchange->buffer.clear();
  }
}

// A peek at an idle connection returns end of file if the peer has closed it.
// Bytes on an idle connection belong to no request. Such a connection can't be
// reused and therefore also counts as closed.
bool LoadConnection::IsClosed() {
  if (!this->socket.is_open()) {
    return true;
  }
  char byte = 0;
  error_code error;
  this->socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                       error);
  return error != asio::error::would_block;
}

void LoadConnection::ReleaseMemory() {
  if (this->exchange != nullptr && !this->exchange->active) {
    this->exchange.reset();
  }
}

}  // namespace basilsill::ctl

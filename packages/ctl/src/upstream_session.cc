#include "upstream_session.h"

#include <algorithm>
#include <span>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include "basilsill/base/limits.h"
#include "basilsill/base/text.h"
#include "upstream_body.h"
#include "upstream_json.h"
#include "upstream_request.h"

namespace basilsill::ctl {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

constexpr unsigned kHttp11 = 11;
/// Larger answers are streamed from a bounded buffer.
constexpr size_t kMaxBufferedAnswerBytes = size_t{64} * 1024;
/// Number of pattern bytes to digest before yielding to other connections.
constexpr size_t kDigestBytesPerYield = size_t{1024} * 1024;
constexpr std::string_view kReasonHeader = "X-Emulated-Reason";

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kUnavailable = 503;

boost::beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

std::string_view RefusalReason(UpstreamStepKind kind) {
  switch (kind) {
    case UpstreamStepKind::kRefuseShed:
      return "shed";
    case UpstreamStepKind::kRefuseDraining:
      return "draining";
    default:
      return "deadline-passed";
  }
}

// Sets the version and the headers that every answer has.
template <typename Body>
void SetCommonHeaders(http::response<Body>& answer,
                      const UpstreamInstance& instance,
                      const UpstreamRequest& request,
                      const std::string& digest) {
  answer.version(kHttp11);
  answer.keep_alive(request.keep_alive);
  answer.set(ToBeast(kUpstreamHeader), instance.name());
  answer.set(ToBeast(kDigestHeader), digest);
  if (!request.tag.empty()) {
    answer.set(ToBeast(kTagHeader), request.tag);
  }
  if (!request.body_digest.empty()) {
    answer.set(ToBeast(kReceivedDigestHeader), request.body_digest);
    answer.set(ToBeast(kReceivedBytesHeader),
               std::to_string(request.body_size));
  }
  if (instance.state().behaviour().draining) {
    answer.set(ToBeast(kDrainingHeader), "1");
  }
  if (const double limit = instance.state().behaviour().rate_limit;
      limit >= 0) {
    answer.set(ToBeast(kRateLimitHeader), std::to_string(limit));
  }
}

// Returns the digest of a long pattern. Yields to other connections meanwhile.
asio::awaitable<std::string> DigestPattern(uint64_t seed,
                                           uint64_t size,
                                           std::span<char> memory) {
  BodyDigest digest;
  uint64_t next_yield = kDigestBytesPerYield;
  for (uint64_t offset = 0; offset < size;) {
    const auto piece =
        memory.first(std::min<uint64_t>(memory.size(), size - offset));
    FillPattern(seed, offset, piece);
    digest.Add(piece);
    offset += piece.size();
    if (offset >= next_yield) {
      next_yield += kDigestBytesPerYield;
      co_await asio::post(asio::use_awaitable);
    }
  }
  co_return digest.Text();
}

// Writes `answer` with the pattern as its body, in pieces through `memory`. If
// `cut_after` is not 0, stops and returns false after the piece that reaches
// it.
asio::awaitable<bool> WritePattern(tcp::socket& socket,
                                   http::response<http::buffer_body>& answer,
                                   uint64_t seed,
                                   uint64_t size,
                                   uint64_t cut_after,
                                   std::span<char> memory) {
  http::response_serializer<http::buffer_body> serializer(answer);
  for (uint64_t offset = 0; offset < size;) {
    const auto piece =
        memory.first(std::min<uint64_t>(memory.size(), size - offset));
    FillPattern(seed, offset, piece);
    offset += piece.size();
    answer.body().data = piece.data();
    answer.body().size = piece.size();
    answer.body().more = offset < size;
    auto [error, written] =
        co_await http::async_write(socket, serializer, kAwaitTuple);
    const bool cut = cut_after > 0 && offset >= cut_after;
    if (cut || (error && error != http::error::need_buffer)) {
      co_return false;
    }
  }
  co_return true;
}

}  // namespace

UpstreamSession::UpstreamSession(std::shared_ptr<UpstreamInstance> owner,
                                 tcp::socket connection)
    : instance(std::move(owner)),
      socket(std::move(connection)),
      wake_timer(this->socket.get_executor()) {
  error_code ignored;
  this->socket.non_blocking(true, ignored);
}

UpstreamSession::~UpstreamSession() {
  this->instance->RemoveSession(*this);
}

asio::awaitable<void> UpstreamSession::Run() {
  const Duration delay = this->instance->state().behaviour().accept_delay;
  if (delay > Duration::zero()) {
    this->wake_timer.expires_after(delay);
    co_await this->wake_timer.async_wait(kAwaitTuple);
  }
  bool open = true;
  while (open && this->phase != Phase::kClosed) {
    const auto request =
        co_await ReadRequest(this->socket, this->buffer, this->chunk);
    if (!request) {
      break;
    }
    const bool served = co_await this->Serve(*request);
    open = served && request->keep_alive;
  }
  this->Close();
}

void UpstreamSession::Resume(const UpstreamStep& decision) {
  this->step = decision;
  this->phase = decision.kind == UpstreamStepKind::kRun ? Phase::kRunning
                                                        : Phase::kRefused;
  this->wake_timer.cancel();
}

void UpstreamSession::Close() {
  error_code ignored;
  this->phase = Phase::kClosed;
  this->socket.close(ignored);
  this->wake_timer.cancel();
}

asio::awaitable<bool> UpstreamSession::Serve(const UpstreamRequest& request) {
  const std::string_view path = request.path();
  if (path == kLoadPath || path.starts_with("/_control/")) {
    co_return co_await this->ServeControl(request);
  }
  co_return co_await this->ServeJob(request);
}

asio::awaitable<bool> UpstreamSession::ServeControl(
    const UpstreamRequest& request) {
  UpstreamState& state = this->instance->state();
  if (request.path() == kLoadPath) {
    const UpstreamLoad load = state.ReportLoad(MonotonicClock::now());
    co_return co_await this->AnswerText(
        request, kOk,
        LoadJson(this->instance->name(), load, state.behaviour().slots));
  }
  if (request.path() == kStatsPath) {
    co_return co_await this->AnswerText(
        request, kOk, CountsJson(this->instance->name(), state.counts()));
  }
  if (request.path() != kStatePath) {
    co_return co_await this->AnswerText(request, kNotFound, "{}");
  }
  if (request.method != http::verb::put) {
    co_return co_await this->AnswerText(request, kOk,
                                        BehaviourJson(state.behaviour()));
  }
  const auto change = ParseUpstreamChange(request.body, state.behaviour());
  if (change.has_error()) {
    co_return co_await this->AnswerText(request, kBadRequest,
                                        FailuresJson(change.error()));
  }
  this->instance->Change(change.value().behaviour);
  const bool open = co_await this->AnswerText(
      request, kOk, BehaviourJson(change.value().behaviour));
  if (change.value().crash) {
    this->instance->Crash(*change.value().crash);
  }
  co_return open;
}

asio::awaitable<bool> UpstreamSession::ServeJob(
    const UpstreamRequest& request) {
  const Phase outcome = co_await this->RunJob(request.job);
  if (outcome == Phase::kClosed) {
    co_return false;
  }
  if (outcome == Phase::kRefused) {
    co_return co_await this->AnswerRefusal(request);
  }
  const std::string_view path = request.path();
  if (path == kEchoPath) {
    if (request.body_size > kMaxEchoBytes) {
      co_return co_await this->AnswerText(request, kTooLarge, "");
    }
    co_return co_await this->AnswerText(request, kOk, request.body);
  }
  if (!path.starts_with(kBytesPath)) {
    co_return co_await this->AnswerPattern(
        request, this->instance->state().behaviour().answer_bytes);
  }
  const auto size = ParseNumber<uint64_t>(path.substr(kBytesPath.size()));
  if (!size || *size > limits::kMaxBodyBytes) {
    co_return co_await this->AnswerText(request, kBadRequest, "");
  }
  co_return co_await this->AnswerPattern(request, *size);
}

asio::awaitable<bool> UpstreamSession::AnswerRefusal(
    const UpstreamRequest& request) {
  return this->AnswerText(request, kUnavailable, "",
                          RefusalReason(this->step.kind));
}

asio::awaitable<bool> UpstreamSession::AnswerText(
    const UpstreamRequest& request,
    unsigned status,
    std::string body,
    std::string_view reason) {
  http::response<http::string_body> answer;
  answer.result(status);
  SetCommonHeaders(answer, *this->instance, request, DigestText(body));
  if (!reason.empty()) {
    answer.set(ToBeast(kRefusedHeader), "1");
    answer.set(ToBeast(kReasonHeader), ToBeast(reason));
    answer.keep_alive(request.keep_alive &&
                      this->step.kind != UpstreamStepKind::kRefuseDraining);
  }
  answer.content_length(body.size());
  if (request.method != http::verb::head) {
    this->instance->MaybeCorrupt(body);
    answer.body() = std::move(body);
  }
  auto [error, size] =
      co_await http::async_write(this->socket, answer, kAwaitTuple);
  co_return !error && answer.keep_alive();
}

asio::awaitable<bool> UpstreamSession::AnswerPattern(
    const UpstreamRequest& request,
    uint64_t size) {
  if (size > kMaxBufferedAnswerBytes) {
    return this->StreamPattern(request, size);
  }
  return this->AnswerText(request, kOk,
                          MakePattern(PatternSeed(request.tag), size));
}

asio::awaitable<bool> UpstreamSession::StreamPattern(
    const UpstreamRequest& request,
    uint64_t size) {
  const uint64_t seed = PatternSeed(request.tag);
  this->chunk.resize(limits::kBodyChunkBytes);
  const std::string digest = co_await DigestPattern(seed, size, this->chunk);
  http::response<http::buffer_body> answer;
  SetCommonHeaders(answer, *this->instance, request, digest);
  answer.content_length(size);
  answer.body().more = true;
  if (request.method == http::verb::head) {
    http::response_serializer<http::buffer_body> serializer(answer);
    auto [error, written] = co_await http::async_write_header(
        this->socket, serializer, kAwaitTuple);
    co_return !error;
  }
  co_return co_await WritePattern(this->socket, answer, seed, size,
                                  this->instance->state().behaviour().cut_after,
                                  this->chunk);
}

asio::awaitable<UpstreamSession::Phase> UpstreamSession::RunJob(
    UpstreamJob job) {
  this->phase = Phase::kQueued;
  const UpstreamJobHandle handle =
      this->instance->Submit(*this, std::move(job));
  while (this->phase == Phase::kQueued || this->phase == Phase::kRunning) {
    const bool running = this->phase == Phase::kRunning;
    if (running && MonotonicClock::now() >= this->step.finish) {
      break;
    }
    this->WatchForClose();
    this->wake_timer.expires_at(asio::steady_timer::time_point(
        running ? this->step.finish.time_since_epoch() : Duration::max()));
    co_await this->wake_timer.async_wait(kAwaitTuple);
  }
  const Phase outcome = this->phase;
  if (outcome == Phase::kRunning) {
    this->instance->Finish(handle);
  } else if (outcome == Phase::kClosed) {
    this->instance->Cancel(handle);
  }
  co_return outcome;
}

void UpstreamSession::WatchForClose() {
  if (this->watching_for_close) {
    return;
  }
  this->watching_for_close = true;
  this->socket.async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this()](error_code) { self->OnReadable(); });
}

// If the caller closed the connection, the socket is readable but has no bytes.
// If it has bytes, they belong to a pipelined request, which Run() reads later.
void UpstreamSession::OnReadable() {
  this->watching_for_close = false;
  if (this->phase != Phase::kQueued && this->phase != Phase::kRunning) {
    return;
  }
  char byte = 0;
  error_code error;
  this->socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                       error);
  if (error && error != asio::error::would_block) {
    this->phase = Phase::kClosed;
    this->wake_timer.cancel();
  }
}

}  // namespace basilsill::ctl

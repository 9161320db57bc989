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
/// Answers above this are streamed from a bounded buffer.
constexpr size_t kMaxWholeAnswerBytes = size_t{64} * 1024;
/// Pattern bytes digested before other connections get their turn.
constexpr size_t kDigestTurnBytes = size_t{1024} * 1024;
constexpr std::string_view kReasonHeader = "X-Emulated-Reason";

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kUnavailable = 503;

boost::beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

std::string_view RefusalText(UpstreamStepKind kind) {
  switch (kind) {
    case UpstreamStepKind::kRefuseShed:
      return "shed";
    case UpstreamStepKind::kRefuseDraining:
      return "draining";
    default:
      return "deadline-passed";
  }
}

// Headers that every answer carries.
template <typename Body>
void SetHead(http::response<Body>& answer,
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

// The digest of a long pattern, computed in turns with other connections.
asio::awaitable<std::string> DigestPattern(uint64_t seed,
                                           uint64_t size,
                                           std::span<char> memory) {
  BodyDigest digest;
  uint64_t turn_end = kDigestTurnBytes;
  for (uint64_t offset = 0; offset < size;) {
    const auto piece =
        memory.first(std::min<uint64_t>(memory.size(), size - offset));
    FillPattern(seed, offset, piece);
    digest.Add(piece);
    offset += piece.size();
    if (offset >= turn_end) {
      turn_end += kDigestTurnBytes;
      co_await asio::post(asio::use_awaitable);
    }
  }
  co_return digest.Text();
}

// Writes the body of `answer` in pieces that all use the same memory; breaks
// off when `cut_after` bytes are sent, if that is not 0.
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
      wake(this->socket.get_executor()) {
  error_code ignored;
  this->socket.non_blocking(true, ignored);
}

UpstreamSession::~UpstreamSession() {
  this->instance->Forget(*this);
}

asio::awaitable<void> UpstreamSession::Run() {
  const Duration delay = this->instance->state().behaviour().accept_delay;
  if (delay > Duration::zero()) {
    this->wake.expires_after(delay);
    co_await this->wake.async_wait(kAwaitTuple);
  }
  bool open = true;
  while (open && this->phase != Phase::kGone) {
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
  this->wake.cancel();
}

void UpstreamSession::Close() {
  error_code ignored;
  this->phase = Phase::kGone;
  this->socket.close(ignored);
  this->wake.cancel();
}

asio::awaitable<bool> UpstreamSession::Serve(const UpstreamRequest& request) {
  const std::string_view path = request.path();
  if (path == kLoadPath || path.starts_with("/_control/")) {
    co_return co_await this->ServeControl(request);
  }
  co_return co_await this->ServeWork(request);
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

asio::awaitable<bool> UpstreamSession::ServeWork(
    const UpstreamRequest& request) {
  const Phase outcome = co_await this->RunWork(request.work);
  if (outcome == Phase::kGone) {
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
                          RefusalText(this->step.kind));
}

asio::awaitable<bool> UpstreamSession::AnswerText(
    const UpstreamRequest& request,
    unsigned status,
    std::string body,
    std::string_view reason) {
  http::response<http::string_body> answer;
  answer.result(status);
  SetHead(answer, *this->instance, request, DigestText(body));
  if (!reason.empty()) {
    answer.set(ToBeast(kRefusedHeader), "1");
    answer.set(ToBeast(kReasonHeader), ToBeast(reason));
    answer.keep_alive(request.keep_alive &&
                      this->step.kind != UpstreamStepKind::kRefuseDraining);
  }
  answer.content_length(body.size());
  if (request.method != http::verb::head) {
    this->instance->MayCorrupt(body);
    answer.body() = std::move(body);
  }
  auto [error, size] =
      co_await http::async_write(this->socket, answer, kAwaitTuple);
  co_return !error && answer.keep_alive();
}

asio::awaitable<bool> UpstreamSession::AnswerPattern(
    const UpstreamRequest& request,
    uint64_t size) {
  if (size > kMaxWholeAnswerBytes) {
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
  SetHead(answer, *this->instance, request, digest);
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

asio::awaitable<UpstreamSession::Phase> UpstreamSession::RunWork(
    UpstreamWork work) {
  this->phase = Phase::kQueued;
  const UpstreamWorkHandle handle =
      this->instance->Submit(*this, std::move(work));
  while (this->phase == Phase::kQueued || this->phase == Phase::kRunning) {
    const bool running = this->phase == Phase::kRunning;
    if (running && MonotonicClock::now() >= this->step.finish) {
      break;
    }
    this->WatchForClose();
    this->wake.expires_at(asio::steady_timer::time_point(
        running ? this->step.finish.time_since_epoch() : Duration::max()));
    co_await this->wake.async_wait(kAwaitTuple);
  }
  const Phase outcome = this->phase;
  if (outcome == Phase::kRunning) {
    this->instance->Finish(handle);
  } else if (outcome == Phase::kGone) {
    this->instance->Cancel(handle);
  }
  co_return outcome;
}

void UpstreamSession::WatchForClose() {
  if (this->watching) {
    return;
  }
  this->watching = true;
  this->socket.async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this()](error_code) { self->OnReadable(); });
}

// A caller that goes away shows as a readable socket without bytes. Bytes are
// a pipelined request, which Run() reads later.
void UpstreamSession::OnReadable() {
  this->watching = false;
  if (this->phase != Phase::kQueued && this->phase != Phase::kRunning) {
    return;
  }
  char byte = 0;
  error_code error;
  this->socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                       error);
  if (error && error != asio::error::would_block) {
    this->phase = Phase::kGone;
    this->wake.cancel();
  }
}

}  // namespace basilsill::ctl

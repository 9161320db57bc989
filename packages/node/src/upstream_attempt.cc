#include "upstream_attempt.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>

#include "rate_limit_header.h"
#include "timeout.h"
#include "upstream_answer.h"
#include "upstream_notice_header.h"

namespace basilsill {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

milliseconds RemainingTime(const RequestMessage& request) {
  const auto left = request.entry.deadline - MonotonicClock::now();
  return std::max(std::chrono::duration_cast<milliseconds>(left),
                  milliseconds(0));
}

// Answers up to this size are buffered until they are complete. This covers
// nearly all answers except the longest downloads (the mean size is 90 KB where
// sizes are known).
constexpr size_t kBufferedAnswerBytes = 192 * 1024;

constexpr std::array kPromisingStatuses = {
    http::status::request_timeout, http::status::misdirected_request,
    http::status::too_many_requests, http::status::service_unavailable};

bool IsSuccess(unsigned status) {
  return status / 100 == 2;
}

template <typename Number>
bool TakeNumber(std::string_view& text, Number& number) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc()) {
    return false;
  }
  text.remove_prefix(static_cast<size_t>(end - text.data()));
  if (!text.empty() && text.front() == ',') {
    text.remove_prefix(1);
  }
  return true;
}

constexpr std::array<std::string_view, static_cast<size_t>(NotRunProof::kCount)>
    kProofNames = {"none", "not-sent", "header", "misdirected"};

}  // namespace

std::string_view NameOf(NotRunProof proof) {
  return kProofNames.at(static_cast<size_t>(proof));
}

UpstreamLoad ParseLoad(std::string_view text) {
  UpstreamLoad load;
  uint32_t percent = 0;
  const bool counts = TakeNumber(text, load.running) &&
                      TakeNumber(text, load.waiting) &&
                      TakeNumber(text, load.slots);
  if (!counts) {
    return {};
  }
  load.known = true;
  if (TakeNumber(text, percent) && percent > 0) {
    load.slowness = percent / 100.0;
    load.reports_slowness = true;
  }
  return load;
}

UpstreamAttempt::UpstreamAttempt(UpstreamPool& pool,
                                 AttemptTarget target,
                                 RequestMessage& request,
                                 AnswerSink& sink,
                                 AttemptHooks hooks)
    : pool(pool),
      target(std::move(target)),
      request(request),
      sink(sink),
      hooks(std::move(hooks)),
      body_sent(pool.executor()) {}

void UpstreamAttempt::Cancel() {
  this->aborted = AttemptEnd::kCancelled;
  if (this->connection) {
    CloseWithReset(this->connection->socket);
  }
}

void UpstreamAttempt::TimeOut() {
  this->Cancel();
  this->aborted = AttemptEnd::kTimedOut;
}

AttemptReport UpstreamAttempt::Failed(AttemptEnd end) const {
  AttemptReport report;
  report.end = this->aborted != AttemptEnd::kCount ? this->aborted : end;
  report.answer_started = this->has_started;
  report.load = this->load;
  report.rate_limit = this->rate_limit;
  report.notice = this->notice;
  return report;
}

AttemptReport UpstreamAttempt::Answered(unsigned status) const {
  AttemptReport report = this->Failed(AttemptEnd::kAnswered);
  report.status = static_cast<uint16_t>(status);
  return report;
}

Task<AttemptReport> UpstreamAttempt::Run() {
  const bool connected = co_await this->Connect(false);
  if (!connected) {
    this->traced.proof = NotRunProof::kNotSent;
    co_return this->Failed(AttemptEnd::kConnectFailed);
  }
  const bool reused = this->connection->reused;
  AttemptReport report = co_await this->Exchange();
  // If an upstream closes an idle connection just as a request is sent on it,
  // the request fails as if the upstream had died. An idempotent request whose
  // body is buffered is sent once more, to the same upstream on a new
  // connection; for any other request the outcome stays unknown.
  const bool maybe_stale =
      report.end == AttemptEnd::kDied && reused && !this->has_started &&
      this->request.entry.idempotent && this->request.source == nullptr;
  if (maybe_stale && this->hooks.may_resend()) {
    const bool connected_again = co_await this->Connect(true);
    if (connected_again) {
      this->pool.metrics().CountRetry(Retry::kStaleConnection);
      report = co_await this->Exchange();
      report.may_have_run_before = true;
    }
  }
  this->ReleaseConnection();
  co_return report;
}

// Failure: a request is rejected, and its next send goes over the same
// connection. A late copy of the rejection, which has the same request id, is
// taken for the answer, and the caller is told that the request has not run.
void UpstreamAttempt::ReleaseConnection() {
  UpstreamConnectionPtr owned = std::move(this->connection);
  if (!this->reusable || this->sending_body || !owned || owned->write_failed) {
    return;
  }
  const TimePoint now = MonotonicClock::now();
  const bool may_be_sent_again = !IsSuccess(this->traced.status);
  const bool can_keep =
      !may_be_sent_again ||
      owned->failed.Add(now, HashRequestId(this->request.request_id),
                        this->request.entry.deadline);
  if (can_keep) {
    this->pool.Release(now, std::move(owned));
  }
}

Task<bool> UpstreamAttempt::Connect(bool fresh) {
  if (this->aborted != AttemptEnd::kCount) {
    co_return false;
  }
  this->connection = nullptr;
  if (!fresh) {
    this->connection = this->pool.TakeIdle(
        this->target, HashRequestId(this->request.request_id));
  }
  if (!this->connection) {
    this->connection = co_await this->pool.Open(this->target);
  }
  co_return this->connection != nullptr&& this->aborted == AttemptEnd::kCount;
}

void UpstreamAttempt::BeginSend() {
  this->request.sends.Begin();
  this->traced = AttemptTrace();
  this->traced.connection = this->connection->serial;
  this->traced.carried = this->connection->sends++;
}

Task<AttemptReport> UpstreamAttempt::Exchange() {
  this->BeginSend();
  // A failed send does not end the attempt: the upstream may have answered
  // before it closed, for example to shed the request.
  const bool sent = co_await this->SendHead();
  if (sent && this->request.source != nullptr) {
    this->StartStreamedBody();
  }
  const AttemptReport report = co_await this->ReadAnswer();
  co_await this->StopStreamedBody();
  this->pool.metrics().upstream_bytes_received.Add(
      this->connection->reader.TakeReceived());
  co_return report;
}

Task<AttemptReport> UpstreamAttempt::ReadAnswer() {
  const HeadStatus status = co_await this->ReadOwnHead();
  if (status == HeadStatus::kMalformed || status == HeadStatus::kTooLarge) {
    co_return this->Failed(AttemptEnd::kMalformed);
  }
  if (status != HeadStatus::kOk) {
    co_return this->Failed(AttemptEnd::kDied);
  }
  this->load = this->ReadLoad();
  this->rate_limit =
      ReadRateLimit(this->connection->reader.message().get(),
                    this->pool.names().rate_limit, this->target.endpoint);
  const AttemptEnd end = this->Classify();
  this->traced.status = static_cast<uint16_t>(
      this->connection->reader.message().get().result_int());
  this->traced.proof = this->ProofOf(end);
  if (this->traced.proof != NotRunProof::kNone) {
    this->request.sends.EndAsNotRun();
  }
  this->NoteNotice(end);
  if (end == AttemptEnd::kShed || end == AttemptEnd::kMisdirected) {
    // The connection can carry another request.
    const bool keep = this->connection->reader.message().keep_alive();
    const bool dropped =
        co_await DropBody(*this->connection, kBufferedAnswerBytes);
    this->reusable = keep && dropped && !this->connection->reader.has_more() &&
                     !this->notice.leaving && end == AttemptEnd::kShed;
  }
  if (end != AttemptEnd::kAnswered) {
    co_return this->Failed(end);
  }
  const AttemptReport report = co_await this->ReadOrStreamAnswer();
  co_return report;
}

// The host learns of the notice now: a long answer ends much later. An answer
// from another upstream at the address says nothing of the one that was asked.
void UpstreamAttempt::NoteNotice(AttemptEnd end) {
  const auto& answer = this->connection->reader.message().get();
  if (end != AttemptEnd::kMisdirected) {
    this->notice = ReadNotice(answer, answer.result_int(), this->pool.names(),
                              this->target.endpoint);
  }
  if (this->notice.any()) {
    this->hooks.on_notice(this->notice);
  }
}

// The request id that the upstream echoes tells the answer from late ones to
// earlier requests, since no connection carries a request again that failed on
// it.
Task<HeadStatus> UpstreamAttempt::ReadOwnHead() {
  const bool no_body = this->request.method == "HEAD";
  const uint32_t skipped_before = this->connection->skipped_answers;
  const HeadStatus status = co_await ReadExpectedHead(
      *this->connection, no_body,
      [this](const HttpFields& headers) { return this->IsOwn(headers); });
  this->traced.skipped_answers =
      this->connection->skipped_answers - skipped_before;
  co_return status;
}

bool UpstreamAttempt::IsOwn(const HttpFields& headers) const {
  const HeaderNames& names = this->pool.names();
  const std::string_view id = HeaderValue(headers, names.request_id);
  const bool may_lack_id = !names.request_id_is_echoed;
  return id == this->request.request_id || (id.empty() && may_lack_id);
}

Task<bool> UpstreamAttempt::SendHead() {
  std::string head;
  const HeaderNames& names = this->pool.names();
  UpstreamHead upstream;
  upstream.deadline_name = names.deadline;
  upstream.remaining = RemainingTime(this->request);
  if (!this->target.incarnation.id.empty()) {
    upstream.expected_name = names.expected_instance;
    upstream.expected_instance = this->target.incarnation.id;
  }
  AppendRequestHead(head, this->request, upstream);
  const std::array<boost::asio::const_buffer, 2> buffers = {
      boost::asio::buffer(head), boost::asio::buffer(this->request.whole_body)};
  const auto [error, size] = co_await boost::asio::async_write(
      this->connection->socket, buffers, kTask);
  this->pool.metrics().upstream_bytes_sent.Add(size);
  co_return this->NoteWrite(error);
}

// The body is sent while the answer is read. Otherwise, an upstream that
// answers while it reads could block on its full send buffer and stop reading,
// which would be a deadlock.
void UpstreamAttempt::StartStreamedBody() {
  this->body_started = true;
  this->sending_body = true;
  boost::asio::co_spawn(
      this->pool.executor(), this->SendStreamedBody(),
      [this](const std::exception_ptr& /*error*/) { this->body_sent.Set(); });
}

Task<void> UpstreamAttempt::StopStreamedBody() {
  if (!this->body_started) {
    co_return;
  }
  if (this->sending_body) {
    this->request.source->Stop();
    CloseWithReset(this->connection->socket);
  }
  co_await this->body_sent.Wait();
}

Task<void> UpstreamAttempt::SendStreamedBody() {
  std::vector<char> buffer(limits::kBodyChunkBytes);
  BodyPiece piece;
  do {
    piece = co_await this->request.source->Read(buffer);
    if (!piece.ok) {
      // The caller's body broke off: the upstream must not take it for
      // complete.
      CloseWithReset(this->connection->socket);
      co_return;
    }
    const bool sent =
        co_await this->SendPiece(std::span(buffer.data(), piece.size));
    if (!sent) {
      co_return;
    }
  } while (!piece.last);
  if (this->request.framing.kind == BodyKind::kChunked) {
    co_await this->SendLastChunk();
  }
  this->sending_body = false;
}

Task<void> UpstreamAttempt::SendLastChunk() {
  Socket& socket = this->connection->socket;
  const HttpFields* trailers = this->request.source->trailers();
  if (trailers == nullptr) {
    const auto [error, size] = co_await boost::asio::async_write(
        socket, http::make_chunk_last(), kTask);
    this->NoteWrite(error);
    co_return;
  }
  const auto last = http::make_chunk_last(*trailers);
  const auto [error, size] =
      co_await boost::asio::async_write(socket, last, kTask);
  this->NoteWrite(error);
}

Task<bool> UpstreamAttempt::SendPiece(std::span<const char> piece) {
  const boost::asio::const_buffer data(piece.data(), piece.size());
  NetError error;
  if (this->request.framing.kind != BodyKind::kChunked) {
    error = std::get<0>(co_await boost::asio::async_write(
        this->connection->socket, data, kTask));
  } else if (!piece.empty()) {
    error = std::get<0>(co_await boost::asio::async_write(
        this->connection->socket, http::make_chunk(data), kTask));
  }
  if (!error) {
    this->pool.metrics().upstream_bytes_sent.Add(piece.size());
  }
  co_return this->NoteWrite(error);
}

bool UpstreamAttempt::NoteWrite(const NetError& error) {
  this->connection->write_failed = this->connection->write_failed || error;
  return !error;
}

std::string_view UpstreamAttempt::AnswerHeader(const std::string& name) const {
  return name.empty()
             ? std::string_view()
             : HeaderValue(this->connection->reader.message().get(), name);
}

UpstreamLoad UpstreamAttempt::ReadLoad() const {
  return ParseLoad(this->AnswerHeader(this->pool.names().load));
}

// Classifies an attempt by the head of its answer. If upstreams sign their
// answers, a successful answer without the signature, or with a content
// encoding, which nobody requested, is not what the upstream meant to send.
AttemptEnd UpstreamAttempt::Classify() const {
  const HeaderNames& names = this->pool.names();
  const auto& answer = this->connection->reader.message().get();
  const unsigned status = answer.result_int();
  if (status == static_cast<unsigned>(http::status::misdirected_request) &&
      !this->target.incarnation.id.empty()) {
    return AttemptEnd::kMisdirected;
  }
  if (!IsSuccess(status) && !this->AnswerHeader(names.not_run).empty()) {
    return AttemptEnd::kShed;
  }
  if (this->IsUnprovenPromise(status)) {
    return AttemptEnd::kMalformed;
  }
  const bool sealed =
      names.seal.empty() || !this->AnswerHeader(names.seal).empty();
  const bool encoded =
      !names.seal.empty() && answer.count(http::field::content_encoding) > 0;
  if (IsSuccess(status) && (!sealed || encoded)) {
    return AttemptEnd::kMalformed;
  }
  return AttemptEnd::kAnswered;
}

// Failure: an upstream runs a request that must not repeat and answers with a
// status that callers take for the promise that it has not run. A caller that
// gets this answer sends the request once more.
bool UpstreamAttempt::IsUnprovenPromise(unsigned status) const {
  return this->pool.names().promise_by_status &&
         !this->request.entry.idempotent &&
         std::find(kPromisingStatuses.begin(), kPromisingStatuses.end(),
                   static_cast<http::status>(status)) !=
             kPromisingStatuses.end();
}

NotRunProof UpstreamAttempt::ProofOf(AttemptEnd end) const {
  if (end != AttemptEnd::kShed && end != AttemptEnd::kMisdirected) {
    return NotRunProof::kNone;
  }
  return this->AnswerHeader(this->pool.names().not_run).empty()
             ? NotRunProof::kMisdirected
             : NotRunProof::kHeader;
}

AnswerHead UpstreamAttempt::MakeHead() {
  auto& reader = this->connection->reader;
  const auto& answer = reader.message().get();
  AnswerHead head;
  head.status = answer.result_int();
  head.reason = answer.reason();
  head.framing = reader.framing();
  head.headers = answer;
  RemoveHopByHop(head.headers);
  if (head.framing.kind == BodyKind::kNone &&
      answer.count(http::field::content_length) > 0) {
    // The answer to HEAD gives the length of a body that does not follow.
    head.headers.set(http::field::content_length,
                     answer[http::field::content_length]);
  }
  return head;
}

// Failure: an upstream resets the connection while the body of the request is
// still being written. If a write gets the reset, the read after it gets the
// bytes that had arrived and then an ordinary end. So the end of the connection
// ends an answer only if no operation on the connection has failed.
Task<BodyPiece> UpstreamAttempt::ReadBody(std::span<char> buffer) {
  UpstreamConnection& from = *this->connection;
  const BodyPiece piece = co_await from.reader.ReadBody(from.socket, buffer);
  if (!piece.ok || !piece.last || !from.reader.ends_with_connection()) {
    co_return piece;
  }
  // The result of a write that ended before the read may still be queued.
  co_await boost::asio::post(this->pool.executor(),
                             boost::asio::use_awaitable_t<Executor>());
  co_return from.write_failed ? BodyPiece{false, true, 0} : piece;
}

// Reads the answer until it is complete or too long to buffer; streams the
// latter.
Task<AttemptReport> UpstreamAttempt::ReadOrStreamAnswer() {
  auto& reader = this->connection->reader;
  AnswerHead head = this->MakeHead();
  const bool keep = reader.message().keep_alive();
  // Without buffering, an answer may be a stream that its caller reads as it
  // arrives.
  const size_t buffer_limit =
      this->pool.buffers_answers() ? kBufferedAnswerBytes : 0;
  std::string body;
  std::vector<char> buffer(limits::kBodyChunkBytes);
  BodyPiece piece;
  do {
    piece = co_await this->ReadBody(buffer);
    if (!piece.ok) {
      co_return this->Failed(AttemptEnd::kDied);
    }
    body.append(buffer.data(), piece.size);
  } while (!piece.last && body.size() < buffer_limit);
  const bool may_keep = keep && !this->notice.leaving;
  if (!piece.last || reader.trailers() != nullptr) {
    const AttemptReport report =
        co_await this->StreamAnswer(std::move(head), std::move(body));
    this->reusable = report.end == AttemptEnd::kAnswered && may_keep &&
                     reader.done() && !reader.has_more();
    co_return report;
  }
  if (head.framing.kind != BodyKind::kNone) {
    head.framing = {BodyKind::kLength, body.size()};
  }
  const unsigned status = head.status;
  this->buffered_answer = BufferedAnswer{std::move(head), std::move(body)};
  this->reusable = may_keep && reader.done() && !reader.has_more();
  co_return this->Answered(status);
}

Task<AttemptReport> UpstreamAttempt::StreamAnswer(AnswerHead head,
                                                  std::string body_start) {
  if (!this->hooks.on_answer()) {
    this->Cancel();
    co_return this->Failed(AttemptEnd::kCancelled);
  }
  // Failure: an upstream sends a body without end. The deadline of a request
  // applies until its answer starts, so its slot and the connections would stay
  // in use.
  std::optional<Timeout> limit;
  if (this->pool.answers_end_at_deadline()) {
    limit.emplace(this->pool.executor(), this->request.entry.deadline,
                  [this] { this->TimeOut(); });
  }
  const AttemptReport report = co_await this->StreamPieces(head, body_start);
  co_return report;
}

Task<AttemptReport> UpstreamAttempt::StreamPieces(
    const AnswerHead& head,
    const std::string& body_start) {
  this->has_started = true;
  // The head and the first piece are sent before trailers are known, so the end
  // of the answer is always sent separately.
  bool receiver_there = co_await this->sink.Start(head, body_start, false);
  std::vector<char> buffer(limits::kBodyChunkBytes);
  BodyPiece piece;
  piece.last = false;
  while (piece.ok && !piece.last && receiver_there) {
    piece = co_await this->ReadBody(buffer);
    if (piece.ok) {
      receiver_there = co_await this->sink.Continue(
          std::span(buffer.data(), piece.size), piece.last,
          this->connection->reader.trailers());
    }
  }
  if (!piece.ok) {
    this->sink.Break();
    co_return this->Failed(AttemptEnd::kDied);
  }
  if (!receiver_there) {
    this->Cancel();
    co_return this->Failed(AttemptEnd::kCancelled);
  }
  co_return this->Answered(head.status);
}

}  // namespace basilsill

#include "caller_session.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/write.hpp>

namespace basilsill {
namespace {

using std::chrono::milliseconds;

// Maximum number of requests of one connection in flight; later ones stay
// unread. A caller that sends more is slowed down by TCP flow control.
constexpr size_t kMaxInFlight = 16;
// A chunked body up to this size is buffered completely, like one with a
// length.
constexpr size_t kBufferedBodyBytes = 16 * 1024;
// Time for the caller to close after the last answer. Closing earlier, with
// unread bytes of the caller in the socket, would reset the connection and
// destroy the part of the answer that is still on its way: 90 KB take a tenth
// of a second on a slow VM's link, and more when several answers share it.
constexpr milliseconds kLingerTime{1500};
// An idle connection is closed this much later than the advertised limit, so
// that no request that is sent within the limit crosses the close.
constexpr milliseconds kIdleGrace{1000};
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

RequestReader::Limits ReaderLimits(const CallerLimits& limits) {
  return {limits.header_bytes, limits.body_bytes};
}

}  // namespace

CallerSession::CallerSession(CallerHost& host, Socket socket)
    : host(host),
      socket(std::move(socket)),
      reader(ReaderLimits(host.caller_limits())),
      changed(host.executor()),
      idle_since(MonotonicClock::now()) {}

Task<void> CallerSession::Run() {
  const auto self = this->shared_from_this();
  NetError ignored;
  this->socket.set_option(Tcp::no_delay(true), ignored);
  bool keep_reading = true;
  while (keep_reading) {
    keep_reading = co_await this->ReadOne();
  }
  while (!this->exchanges.empty()) {
    co_await this->changed.Wait();
  }
  if (this->broken) {
    CloseWithReset(this->socket);
  } else if (this->closing) {
    co_await this->ShutdownAndLinger();
  } else {
    // The caller was not told that this connection closes, so a request may be
    // on its way. It is left unread: the caller then sees a reset and knows
    // that the request can be sent again.
    NetError ignored;
    this->socket.close(ignored);
  }
}

// Reading continues while requests are served, which also detects that the
// caller has disconnected.
Task<bool> CallerSession::ReadOne() {
  this->reader.SetLimits(ReaderLimits(this->host.caller_limits()));
  const HeadStatus status = co_await this->reader.ReadHead(this->socket);
  this->head_since = kNever;
  if (status == HeadStatus::kClosed || status == HeadStatus::kBroken) {
    this->Abandon();
    co_return false;
  }
  this->closing = this->closing || this->LeavesRequestUnread();
  if (this->closing) {
    co_return false;
  }
  if (status != HeadStatus::kOk) {
    this->RefuseUnreadable(status);
    co_return false;
  }
  const ExchangePtr exchange = this->Add();
  const bool accepted = exchange->TakeHead(this->reader);
  const auto& message = this->reader.message().get();
  this->awaits_continue = !HeaderValue(message, "Expect").empty();
  const bool keep = this->reader.message().keep_alive();
  const bool whole = co_await this->ReadWholeBody(*exchange);
  if (this->broken) {
    // The request was counted when its head arrived but never served. Unless
    // its end is counted too, the worker never becomes idle.
    exchange->Abandon();
    co_await this->ServeInline(exchange);
    co_return false;
  }
  if (!whole) {
    if (!accepted) {
      exchange->LeaveBodyUnread();
    }
    exchange->message().source = this;
    co_await this->ServeInline(exchange);
    co_return !this->broken && this->reader.done() && !this->closing;
  }
  this->ServeConcurrently(exchange);
  while (this->exchanges.size() >= kMaxInFlight) {
    co_await this->changed.Wait();
  }
  co_return keep || !this->exchanges.empty();
}

// Failure: a caller pipelines requests at a VM that shuts down. The answers
// wait for the first one, and those that are not written by the end of the
// drain are lost. So requests behind one in flight are left unread: they are
// neither served nor answered, and the caller sends them again elsewhere, as it
// does after an answer that closes the connection.
bool CallerSession::LeavesRequestUnread() const {
  return this->host.draining() && !this->exchanges.empty();
}

void CallerSession::RefuseUnreadable(HeadStatus status) {
  const ExchangePtr exchange = this->Add();
  exchange->SetFault(status == HeadStatus::kTooLarge
                         ? Refusal::kHeaderTooLarge
                         : Refusal::kMalformedRequest);
  this->ServeConcurrently(exchange);
}

CallerSession::ExchangePtr CallerSession::Add() {
  CallerWriter& writer = *this;
  auto exchange = std::make_shared<CallerExchange>(this->host, writer);
  this->exchanges.push_back(exchange);
  if (this->exchanges.size() == 1) {
    exchange->SetTurn();
  }
  return exchange;
}

void CallerSession::Remove(const ExchangePtr& exchange) {
  std::erase(this->exchanges, exchange);
  this->host.counters().caller_bytes_received.Add(this->reader.TakeReceived());
  this->idle_since = MonotonicClock::now();
  if (!this->exchanges.empty()) {
    this->exchanges.front()->SetTurn();
  } else if (this->closing) {
    this->BeginLinger();
  }
  this->changed.Notify();
}

void CallerSession::ServeConcurrently(const ExchangePtr& exchange) {
  const auto self = this->shared_from_this();
  boost::asio::co_spawn(this->host.executor(), exchange->Serve(),
                        [self, exchange](const std::exception_ptr& /*error*/) {
                          self->Remove(exchange);
                        });
}

Task<void> CallerSession::ServeInline(ExchangePtr exchange) {
  co_await exchange->Serve();
  this->Remove(exchange);
}

// @returns true if the complete body was read, false if it has to be streamed.
Task<bool> CallerSession::ReadWholeBody(CallerExchange& exchange) {
  const BodyFraming framing = this->reader.framing();
  std::string& body = exchange.message().whole_body;
  const bool chunked = framing.kind == BodyKind::kChunked;
  if (chunked && this->host.buffers_unsized_bodies()) {
    const bool whole = co_await this->ReadChunkedBody(exchange);
    co_return whole;
  }
  const bool too_long = chunked || framing.length > kBufferedBodyBytes;
  if (!exchange.wants_whole_body() && too_long) {
    co_return false;
  }
  const bool read = co_await this->ReadKnownBody(body, framing.length);
  this->broken = this->broken || !read;
  co_return read;
}

Task<bool> CallerSession::ReadKnownBody(std::string& body, uint64_t length) {
  body.resize(length);
  size_t have = 0;
  while (have < body.size()) {
    const BodyPiece piece = co_await this->Read(std::span(body).subspan(have));
    if (!piece.ok) {
      co_return false;
    }
    have += piece.size;
  }
  co_return true;
}

// A short chunked body is passed on with its length, so that it can be sent
// again on a retry. A longer one is streamed, starting with the bytes that were
// read here.
Task<bool> CallerSession::ReadChunkedBody(CallerExchange& exchange) {
  std::string body;
  BodyPiece piece;
  std::vector<char> buffer(kBufferedBodyBytes);
  do {
    piece = co_await this->Read(buffer);
    if (!piece.ok) {
      this->broken = true;
      co_return false;
    }
    body.append(buffer.data(), piece.size);
  } while (!piece.last && body.size() < kBufferedBodyBytes);
  if (!piece.last || this->reader.trailers() != nullptr) {
    this->body_prefix = std::move(body);
    co_return false;
  }
  exchange.SetWholeBody(std::move(body));
  co_return true;
}

Task<BodyPiece> CallerSession::Read(std::span<char> buffer) {
  if (!this->body_prefix.empty()) {
    const size_t size = std::min(buffer.size(), this->body_prefix.size());
    std::copy_n(this->body_prefix.begin(), size, buffer.begin());
    this->body_prefix.erase(0, size);
    const bool last = this->body_prefix.empty() && this->reader.done();
    this->FilterTrailers(last);
    co_return BodyPiece{true, last, size};
  }
  const bool expects_continue =
      this->awaits_continue && !this->reader.has_more();
  if (expects_continue && this->exchanges.size() == 1) {
    this->awaits_continue = false;
    const auto [error, size] = co_await boost::asio::async_write(
        this->socket, boost::asio::buffer(kContinue), kTask);
    if (error) {
      co_return BodyPiece{false, true, 0};
    }
  }
  this->reading_since = MonotonicClock::now();
  const BodyPiece piece = co_await this->reader.ReadBody(this->socket, buffer);
  this->reading_since = kNever;
  this->FilterTrailers(piece.last);
  co_return piece;
}

// Removes trailers with the names of headers that only this VM may set.
void CallerSession::FilterTrailers(bool at_end) {
  const HttpFields* trailers = at_end ? this->reader.trailers() : nullptr;
  this->forwarded_trailers.reset();
  if (trailers != nullptr) {
    this->forwarded_trailers = *trailers;
    this->forwarded_trailers->erase(this->host.names().api_key);
    this->forwarded_trailers->erase(this->host.names().team);
  }
}

void CallerSession::Stop() {
  // Only a read can be pending: the answer was written completely.
  NetError ignored;
  this->socket.cancel(ignored);
}

// An answer does not close the connection while later requests are in flight:
// they may be running, and their answers would be lost. Unread bytes of a
// request that will not be served do not keep the connection open.
bool CallerSession::DecideClose(bool must_close) {
  const bool is_alone = this->exchanges.size() <= 1;
  const bool has_next = this->reader.has_more() && !this->host.draining();
  const bool is_last = is_alone && !has_next;
  const bool unread =
      is_alone && this->reader.has_message() && !this->reader.done();
  const bool close = must_close || unread || (this->host.leaving() && is_last);
  this->closing = this->closing || close;
  return close;
}

Task<NetError> CallerSession::Write(
    std::span<const boost::asio::const_buffer> buffers) {
  const std::vector<boost::asio::const_buffer> all(buffers.begin(),
                                                   buffers.end());
  const auto [error, size] =
      co_await boost::asio::async_write(this->socket, all, kTask);
  this->broken = this->broken || error;
  co_return error;
}

void CallerSession::AbortConnection() {
  this->broken = true;
  CloseWithReset(this->socket);
}

void CallerSession::SetResetOnClose(bool resets) {
  basilsill::SetResetOnClose(this->socket, resets);
}

void CallerSession::Abandon() {
  const std::deque<ExchangePtr> open = this->exchanges;
  for (const ExchangePtr& exchange : open) {
    exchange->Abandon();
  }
}

// Closing while bytes of the caller are unread sends a reset, which can
// overtake the answer and destroy it before the caller has read it. So only the
// sending side is shut down, and further input is read and discarded for a
// short time.
Task<void> CallerSession::ShutdownAndLinger() {
  this->BeginLinger();
  std::vector<char> dropped(kBufferedBodyBytes);
  NetError error;
  while (!error) {
    error = std::get<0>(co_await this->socket.async_read_some(
        boost::asio::buffer(dropped), kTask));
  }
  NetError ignored;
  this->socket.close(ignored);
}

// From here on the caller is expected to close; `Tick` closes the connection if
// it does not.
void CallerSession::BeginLinger() {
  this->lingering_since =
      std::min(this->lingering_since, MonotonicClock::now());
  NetError ignored;
  this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
}

// Failure: a VM that shuts down closes connections without a request in flight
// while the last answer is still on its way. If bytes of the caller are unread,
// the close resets the connection, and the caller gets a truncated answer.
// Connections that linger are left alone, since they close by themselves.
void CallerSession::Drain() {
  const bool is_lingering = this->lingering_since != kNever;
  if (!is_lingering && this->exchanges.empty() && !this->reader.has_more()) {
    NetError ignored;
    this->socket.cancel(ignored);
  }
}

void CallerSession::WithdrawLate() {
  const std::deque<ExchangePtr> open = this->exchanges;
  for (const ExchangePtr& exchange : open) {
    exchange->WithdrawIfLate();
  }
}

void CallerSession::AbortRequests() {
  this->AbortConnection();
  this->Abandon();
}

void CallerSession::Tick(TimePoint now) {
  if (this->broken) {
    return;
  }
  if (this->lingering_since != kNever) {
    this->CheckLinger(now);
    return;
  }
  if (this->exchanges.empty()) {
    this->CheckIdle(now);
    return;
  }
  const std::deque<ExchangePtr> open = this->exchanges;
  for (const ExchangePtr& exchange : open) {
    exchange->Tick(now);
  }
  const CallerExchange& first = *open.front();
  const bool too_long =
      now - first.began_at() > this->host.request_total() + milliseconds(100);
  if (too_long || this->IsStalled(now)) {
    this->AbortRequests();
  }
}

// A caller that does not read its answer, or stops sending its body, would
// occupy memory indefinitely.
bool CallerSession::IsStalled(TimePoint now) const {
  const milliseconds stall_timeout = this->host.caller_limits().idle_timeout;
  const CallerExchange& first = *this->exchanges.front();
  const bool answer_stalls =
      first.answer_started() && now - first.last_written() > stall_timeout;
  const bool body_stalls = this->reading_since != kNever &&
                           now - this->reading_since > stall_timeout;
  return answer_stalls || (body_stalls && !first.answer_started());
}

void CallerSession::CheckLinger(TimePoint now) {
  if (now - this->lingering_since > kLingerTime) {
    NetError ignored;
    this->socket.close(ignored);
  }
}

void CallerSession::CheckIdle(TimePoint now) {
  const CallerLimits& limits = this->host.caller_limits();
  if (!this->reader.has_more()) {
    if (now - this->idle_since > limits.idle_timeout + kIdleGrace) {
      NetError ignored;
      this->socket.cancel(ignored);
    }
    return;
  }
  this->head_since = std::min(this->head_since, now);
  if (now - this->head_since > limits.header_timeout && !this->closing) {
    this->closing = true;
    NetError ignored;
    this->socket.cancel(ignored);
  }
}

}  // namespace basilsill

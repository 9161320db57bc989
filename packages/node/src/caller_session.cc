#include "caller_session.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <xxhash.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_cat.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include "entry_host.h"
#include "once_exchange.h"
#include "refusal_answer.h"

namespace basilsill {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

// A body up to this size is held whole: it can be sent again on a retry and
// goes out with its head in one write.
constexpr uint64_t kHeldBodyBytes = 16 * 1024;
// A request that must not repeat is compared by body with its resends, so its
// body is held whole up to this size and refused above it.
constexpr uint64_t kOnceBodyBytes = 64 * 1024;
// A caller is watched for going away once its request has taken this long;
// before that the watch would cost more than the work it saves.
constexpr milliseconds kWatchAfter{5};
// How long the rest of a refused request is read and dropped.
constexpr milliseconds kLingerTime{500};
// A request whose deadline is its total time is refused in time to be told so.
constexpr milliseconds kAnswerGrace{100};
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

std::string HostOf(const HttpFields& headers) {
  std::string_view host = HeaderValue(headers, "Host");
  const size_t colon = host.rfind(':');
  if (colon != std::string_view::npos && host.back() != ']') {
    host = host.substr(0, colon);
  }
  std::string lower(host);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return lower;
}

std::string_view FindHeader(const void* headers, std::string_view name) {
  return HeaderValue(*static_cast<const HttpFields*>(headers), name);
}

// The deadline a caller asks for can shorten or lengthen that of the rule,
// within the system's own limit.
milliseconds DeadlineOf(const HttpFields& headers, const RuleRow& rule) {
  const std::string_view text = HeaderValue(headers, header::kDeadline);
  int64_t asked = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), asked);
  if (text.empty() || error != std::errc() ||
      end != text.data() + text.size() || asked < 0) {
    return rule.deadline;
  }
  return std::min(milliseconds(asked), limits::kMaxDeadline);
}

Fingerprint FingerprintOf(const RequestMessage& request, const RuleRow& rule) {
  uint64_t hash = XXH3_64bits(rule.name.data(), rule.name.size());
  for (const std::string* part :
       {&request.method, &request.target, &request.whole_body}) {
    hash = XXH3_64bits_withSeed(part->data(), part->size(), hash);
  }
  return hash;
}

}  // namespace

CallerSession::CallerSession(CallerHost& host, Socket socket)
    : host(host),
      socket(std::move(socket)),
      reader(host.caller_limits()),
      state_since(MonotonicClock::now()) {}

Task<void> CallerSession::Run() {
  const auto self = this->shared_from_this();
  NetError ignored;
  this->socket.set_option(Tcp::no_delay(true), ignored);
  bool go_on = true;
  while (go_on) {
    go_on = co_await this->ServeOne();
    this->state = State::kIdle;
    this->state_since = MonotonicClock::now();
    if (this->host.draining() && !this->reader.has_more()) {
      go_on = false;
    }
  }
  if (this->broken) {
    CloseWithReset(this->socket);
  } else {
    co_await this->CloseGently();
  }
}

// Closing while bytes of the caller are still unread sends a reset, which can
// overtake the answer and destroy it before the caller has read it. So the
// sending side is closed first, and what still comes is read and dropped, for
// a short while.
Task<void> CallerSession::CloseGently() {
  NetError ignored;
  this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
  const bool all_read = this->reader.has_message() && this->reader.done();
  if (!all_read) {
    const auto self = this->shared_from_this();
    Timer limit(this->socket.get_executor(), kLingerTime);
    limit.async_wait([self](const NetError& error) {
      if (!error) {
        NetError unused;
        self->socket.close(unused);
      }
    });
    std::vector<char> dropped(kHeldBodyBytes);
    NetError error;
    while (!error) {
      error = std::get<0>(co_await this->socket.async_read_some(
          boost::asio::buffer(dropped), kTask));
    }
    limit.cancel();
  }
  this->socket.close(ignored);
}

Task<bool> CallerSession::ServeOne() {
  const HeadStatus status = co_await this->reader.ReadHead(this->socket);
  if (status == HeadStatus::kClosed || status == HeadStatus::kBroken) {
    co_return false;
  }
  this->state = State::kServing;
  this->state_since = MonotonicClock::now();
  this->request_since = this->state_since;
  this->answer_started = false;
  this->awaits_continue = false;
  RequestMessage request;
  request.request_id = this->host.NewRequestId();
  this->host.OnRequestStarted();
  if (status != HeadStatus::kOk) {
    this->keep_alive = false;
    const Refusal refusal = status == HeadStatus::kTooLarge
                                ? Refusal::kHeaderTooLarge
                                : Refusal::kMalformedRequest;
    this->Done(request, refusal);
    co_await this->Refuse(request, {false, refusal, Duration(0)});
    co_return false;
  }
  const auto& message = this->reader.message().get();
  this->keep_alive = message.keep_alive();
  this->http_1_0 = message.version() < 11;
  this->awaits_continue = !HeaderValue(message, "Expect").empty();
  this->current = &request;
  const bool ok = co_await this->ServeMessage(request);
  this->current = nullptr;
  co_return ok&& this->keep_alive&& this->reader.done();
}

Task<bool> CallerSession::ServeMessage(RequestMessage& request) {
  const auto& message = this->reader.message().get();
  request.method = message.method_string();
  request.target = message.target();
  request.framing = this->reader.framing();
  const RoutingViewPtr view = this->host.view();
  const std::string host_name = HostOf(message);
  RequestHead head;
  head.method = request.method;
  head.host = host_name;
  head.path = request.target;
  head.headers = static_cast<const HttpFields*>(&message);
  head.find_header = &FindHeader;
  const RuleRow* rule = view ? MatchRule(*view, head) : nullptr;

  ServeOutcome outcome;
  outcome.refusal = view ? Refusal::kNoRoute : Refusal::kNoConfiguration;
  if (rule != nullptr && !this->FillRequest(request, *rule)) {
    outcome.refusal = Refusal::kBodyTooLarge;
  } else if (rule != nullptr) {
    co_await this->ReadWholeBody(request);
    if (this->broken) {
      request.caller_gone = true;
      this->Done(request, Refusal::kCallerGone);
      co_return false;
    }
    request.entry.fingerprint = FingerprintOf(request, *rule);
    outcome = co_await this->ServeByRule(request);
  }
  this->Done(request, outcome.answered ? Refusal::kNone : outcome.refusal);
  if (!outcome.answered && !this->broken) {
    co_await this->Refuse(request, outcome);
  }
  co_return !this->broken;
}

void CallerSession::Done(const RequestMessage& request, Refusal refusal) {
  this->host.counters().caller_bytes_received.Add(this->reader.TakeReceived());
  this->host.OnRequestDone(
      request,
      {refusal, this->answer_cut, MonotonicClock::now() - this->request_since});
}

Task<ServeOutcome> CallerSession::ServeByRule(RequestMessage& request) {
  AnswerSink& sink = *this;
  EntryHost& entry = this->host.entry();
  if (!request.once) {
    const ServeOutcome outcome = co_await entry.Serve(request, sink);
    co_return outcome;
  }
  const TeamRow* team = FindTeam(*this->host.view(), request.entry.team);
  const std::string team_name = team != nullptr ? team->name : "";
  const uint64_t sequence = this->host.NextOnceSequence();
  ServeFunction serve = [&entry](RequestMessage& message, AnswerSink& keeping) {
    return entry.Serve(message, keeping);
  };
  OnceServices services = this->host.once_services();
  const ServeOutcome outcome =
      co_await ServeOnce(std::move(services), team_name, sequence, request,
                         sink, std::move(serve));
  co_return outcome;
}

bool CallerSession::FillRequest(RequestMessage& request, const RuleRow& rule) {
  const auto& message = this->reader.message().get();
  const RoutingView& view = *this->host.view();
  const ServiceRow* service = FindService(view, rule.service);
  request.headers = message;
  RemoveHopByHop(request.headers);
  request.headers.erase(http::field::expect);
  request.headers.erase({header::kDeadline.data(), header::kDeadline.size()});
  const std::string_view id = HeaderValue(message, header::kRequestId);
  if (!id.empty()) {
    request.request_id = std::string(id);
  }
  request.headers.set("X-Request-Id", request.request_id);
  request.headers.insert(http::field::via, this->host.via());

  request.rule = rule.handle;
  request.hedge = rule.hedge;
  request.once = rule.once;
  EntryRequest& entry = request.entry;
  entry.service = rule.service;
  entry.team = service != nullptr ? service->team : TeamHandle{};
  entry.traffic_class = rule.traffic_class;
  entry.deadline = this->request_since + std::min(DeadlineOf(message, rule),
                                                  this->host.request_total());
  entry.idempotent =
      !rule.once && (rule.idempotent || IsIdempotentMethod(request.method));
  const bool known = request.framing.kind != BodyKind::kChunked;
  entry.replayable = known && request.framing.length <= kHeldBodyBytes;
  const bool too_large_for_once =
      rule.once && (!known || request.framing.length > kOnceBodyBytes);
  return !too_large_for_once &&
         request.framing.length <= this->host.caller_limits().body_bytes;
}

Task<void> CallerSession::ReadWholeBody(RequestMessage& request) {
  if (!request.entry.replayable && !request.once) {
    request.source = this;
    co_return;
  }
  request.whole_body.resize(request.framing.length);
  size_t have = 0;
  while (have < request.whole_body.size()) {
    const BodyPiece piece =
        co_await this->Read(std::span(request.whole_body).subspan(have));
    if (!piece.ok) {
      this->broken = true;
      co_return;
    }
    have += piece.size;
  }
}

Task<BodyPiece> CallerSession::Read(std::span<char> buffer) {
  const bool waits_for_go = this->awaits_continue && !this->reader.has_more() &&
                            !this->answer_started;
  if (waits_for_go) {
    this->awaits_continue = false;
    const auto [error, size] = co_await boost::asio::async_write(
        this->socket, boost::asio::buffer(kContinue), kTask);
    if (error) {
      co_return BodyPiece{false, true, 0};
    }
  }
  this->reading_since = MonotonicClock::now();
  this->reading_body = true;
  const BodyPiece piece = co_await this->reader.ReadBody(this->socket, buffer);
  this->reading_body = false;
  co_return piece;
}

void CallerSession::Stop() {
  // Only a read can be pending: the answer was written to its end.
  NetError ignored;
  this->socket.cancel(ignored);
}

Task<void> CallerSession::Refuse(const RequestMessage& request,
                                 const ServeOutcome& outcome) {
  if (!this->reader.has_message() || !this->reader.done()) {
    this->keep_alive = false;
  }
  const RefusalAnswer answer = MakeRefusalAnswer(request, outcome);
  std::span<const char> body(answer.body);
  if (request.method == "HEAD") {
    body = {};
  }
  co_await this->Start(answer.head, body, true);
}

Task<bool> CallerSession::Start(const AnswerHead& head,
                                std::span<const char> piece,
                                bool last) {
  this->answer_started = true;
  AnswerHead sent = head;
  const bool open_ended = head.framing.kind == BodyKind::kChunked ||
                          head.framing.kind == BodyKind::kUntilClose;
  this->chunked_answer = open_ended && !this->http_1_0;
  if (open_ended) {
    sent.framing.kind =
        this->chunked_answer ? BodyKind::kChunked : BodyKind::kUntilClose;
    this->keep_alive = this->keep_alive && this->chunked_answer;
  }
  const bool close_after =
      !this->keep_alive || this->host.draining() || !this->reader.done();
  this->keep_alive = !close_after;
  this->out.clear();
  AppendAnswerHead(this->out, sent, close_after);
  co_return co_await this->Continue(piece, last, nullptr);
}

Task<bool> CallerSession::Continue(std::span<const char> piece,
                                   bool last,
                                   const HttpFields* trailers) {
  const boost::asio::const_buffer head = boost::asio::buffer(this->out);
  const boost::asio::const_buffer data(piece.data(), piece.size());
  NetError error;
  if (!this->chunked_answer) {
    const std::array<boost::asio::const_buffer, 2> buffers = {head, data};
    error = std::get<0>(
        co_await boost::asio::async_write(this->socket, buffers, kTask));
  } else {
    if (piece.empty()) {
      error = std::get<0>(
          co_await boost::asio::async_write(this->socket, head, kTask));
    } else {
      error = std::get<0>(co_await boost::asio::async_write(
          this->socket, boost::beast::buffers_cat(head, http::make_chunk(data)),
          kTask));
    }
    if (last && !error) {
      error = co_await this->WriteLastChunk(trailers);
    }
  }
  const size_t written = error ? 0 : this->out.size() + piece.size();
  this->host.counters().caller_bytes_sent.Add(written);
  this->out.clear();
  this->state_since = MonotonicClock::now();
  if (error && this->current != nullptr) {
    this->current->caller_gone = true;
  }
  this->broken = this->broken || error;
  co_return !this->broken;
}

Task<NetError> CallerSession::WriteLastChunk(const HttpFields* trailers) {
  if (trailers != nullptr) {
    co_return std::get<0>(co_await boost::asio::async_write(
        this->socket, http::make_chunk_last(*trailers), kTask));
  }
  co_return std::get<0>(co_await boost::asio::async_write(
      this->socket, http::make_chunk_last(), kTask));
}

void CallerSession::Break() {
  this->broken = true;
  this->answer_cut = true;
  CloseWithReset(this->socket);
}

// Closing the connection alone would leave whoever waits for a silent upstream
// waiting.
void CallerSession::CutOff() {
  this->Break();
  this->EndUpstreamWork();
}

void CallerSession::Drain() {
  if (this->state == State::kIdle) {
    NetError ignored;
    this->socket.cancel(ignored);
  }
}

void CallerSession::Tick(TimePoint now, milliseconds idle_timeout) {
  const Duration since = now - this->state_since;
  if (this->state == State::kIdle) {
    if (since > idle_timeout) {
      CloseWithReset(this->socket);
    }
    return;
  }
  const bool too_long =
      now - this->request_since > this->host.request_total() + kAnswerGrace;
  if (!this->broken && (too_long || this->Stalls(now, idle_timeout))) {
    this->CutOff();
    return;
  }
  const bool waits = this->state == State::kServing && !this->answer_started &&
                     since > kWatchAfter;
  // A request that must not repeat goes on without its caller, so that the
  // resend finds an answer.
  const bool ends_with_caller =
      this->current != nullptr && !this->current->once;
  if (waits && ends_with_caller && !this->watching && this->reader.done() &&
      !this->reader.has_more()) {
    this->WatchCaller();
  }
}

bool CallerSession::Stalls(TimePoint now, milliseconds idle_timeout) const {
  const bool answer_stalls =
      this->answer_started && now - this->state_since > idle_timeout;
  const bool body_stalls =
      this->reading_body && now - this->reading_since > idle_timeout;
  return answer_stalls || (body_stalls && !this->answer_started);
}

void CallerSession::EndUpstreamWork() {
  if (this->current == nullptr) {
    return;
  }
  this->current->caller_gone = true;
  if (this->current->on_caller_gone) {
    // The callee may replace the function while it runs.
    const auto notify = this->current->on_caller_gone;
    notify();
  }
}

void CallerSession::WatchCaller() {
  this->watching = true;
  this->socket.async_wait(Socket::wait_read, [self = this->shared_from_this()](
                                                 const NetError& error) {
    self->OnCallerReadable(error);
  });
}

void CallerSession::OnCallerReadable(const NetError& error) {
  this->watching = false;
  const bool gone = !error && this->current != nullptr && this->reader.done() &&
                    IsClosedByPeer(this->socket);
  if (!gone) {
    return;
  }
  this->broken = true;
  this->EndUpstreamWork();
}

}  // namespace basilsill

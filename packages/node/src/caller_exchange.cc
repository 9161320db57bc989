#include "caller_exchange.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>
#include <vector>

#include <xxhash.h>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>

#include "basilsill/base/text.h"
#include "basilsill/decision/api_keys.h"
#include "entry_host.h"
#include "once_exchange.h"
#include "refusal_answer.h"

namespace basilsill {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

// A body up to this size is buffered completely: it can be sent again on a
// retry, and it is sent with the request head in one write.
constexpr uint64_t kBufferedBodyBytes = 16 * 1024;
// The body of a request that must not repeat is compared with the bodies of its
// retries, so it is buffered up to this size; a larger one is refused.
constexpr uint64_t kOnceBodyBytes = 64 * 1024;
// The component that works on a request ends it at its deadline. If that
// component does not respond, for example a dispatcher on a VM that is frozen
// or unreachable, the entry VM ends the request. It does so this much later, so
// that in the usual case the caller gets the more specific reason.
constexpr milliseconds kDeadlineGrace{40};
// A node receives its configuration within a few tenths of a second after its
// start, or when an outage of the platform ends, which takes seconds. A caller
// that retries earlier wastes an attempt.
constexpr milliseconds kNoConfigurationRetryAfter{1000};

// Another VM accepts the request at once.
constexpr milliseconds kShuttingDownRetryAfter{10};

std::string HostOf(const HttpFields& headers) {
  std::string_view host = HeaderValue(headers, "Host");
  const size_t colon = host.rfind(':');
  if (colon != std::string_view::npos && host.back() != ']') {
    host = host.substr(0, colon);
  }
  return ToLowerAscii(host);
}

// Without a Host header, or with two, the rule could be matched by another host
// than the one that the upstream serves.
bool HasOneHost(const HttpFields& headers, bool http_1_0) {
  const size_t count = headers.count(http::field::host);
  return count == 1 || (http_1_0 && count == 0);
}

std::string_view FindHeader(const void* headers, std::string_view name) {
  return HeaderValue(*static_cast<const HttpFields*>(headers), name);
}

constexpr milliseconds kUnreadableTime{-1};

// @returns the time left that a caller declares; kUnreadableTime if it can't be
// read; nothing if it declares none.
std::optional<milliseconds> DeclaredTime(std::string_view text) {
  if (text.empty()) {
    return std::nullopt;
  }
  const std::optional<int64_t> requested = ParseNumber<int64_t>(text);
  if (!requested || *requested < 0) {
    return kUnreadableTime;
  }
  return std::min(milliseconds(*requested), limits::kMaxDeadline);
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

CallerExchange::CallerExchange(CallerHost& host, CallerWriter& writer)
    : host(host),
      writer(writer),
      turn(host.executor()),
      began(MonotonicClock::now()) {
  this->request.request_id = host.NewRequestId();
  host.OnRequestStarted();
}

void CallerExchange::SetFault(Refusal refusal) {
  this->fault = refusal;
  this->must_close = true;
}

bool CallerExchange::TakeHead(RequestReader& reader) {
  const auto& parser = reader.message();
  const auto& message = parser.get();
  this->http_1_0 = message.version() < 11;
  this->must_close = !message.keep_alive();
  this->request.method = message.method_string();
  this->request.target = message.target();
  this->request.framing = reader.framing();
  const std::string_view id =
      HeaderValue(message, this->host.names().request_id);
  if (!id.empty()) {
    this->request.request_id = std::string(id);
  }
  if (!HasOneHost(message, this->http_1_0)) {
    this->SetFault(Refusal::kMalformedRequest);
    return false;
  }
  const RoutingViewPtr view = this->host.view();
  if (!view) {
    this->fault = Refusal::kNoConfiguration;
    return false;
  }
  const std::string host_name = HostOf(message);
  RequestHead head;
  head.method = this->request.method;
  head.host = host_name;
  head.path = this->request.target;
  head.headers = static_cast<const HttpFields*>(&message);
  head.find_header = &FindHeader;
  const RuleRow* rule = MatchRule(*view, head);
  if (rule == nullptr) {
    this->SetNoRoute();
    return false;
  }
  if (!this->CheckApiKey(message, *rule)) {
    return false;
  }
  this->FillRequest(parser, *rule);
  const BodyFraming& framing = this->request.framing;
  const bool known = framing.kind != BodyKind::kChunked;
  const bool too_large_for_once =
      rule->once && (!known || framing.length > kOnceBodyBytes);
  if (too_large_for_once ||
      framing.length > this->host.caller_limits().body_bytes) {
    this->SetFault(Refusal::kBodyTooLarge);
    return false;
  }
  return true;
}

// Failure: a VM has not heard of a change for longer than it may take effect,
// and answers 404 for a route that stands in it. The caller takes that for
// final.
void CallerExchange::SetNoRoute() {
  this->fault = this->host.routes_verified()
                    ? Refusal::kNoRoute
                    : Refusal::kConfigurationUnverified;
}

// Authenticates each request of a connection by its own API key. An unknown key
// may belong to a configuration that has not arrived yet, so the key is refused
// as unknown only while the configuration is verified to be recent.
bool CallerExchange::CheckApiKey(const HttpFields& headers,
                                 const RuleRow& rule) {
  if (!rule.requires_api_key) {
    return true;
  }
  if (!this->host.api_keys_verified()) {
    this->fault = Refusal::kApiKeysUnverified;
    return false;
  }
  const std::string& name = this->host.names().api_key;
  const size_t count = headers.count(name);
  const std::string_view key = HeaderValue(headers, name);
  if (count > 1 || (count == 1 && !IsApiKey(key))) {
    this->fault = Refusal::kApiKeyMalformed;
    return false;
  }
  if (count == 1) {
    this->key_team = this->host.view()->api_keys->Find(DigestApiKey(key));
  }
  if (!IsValid(this->key_team)) {
    this->fault = Refusal::kApiKeyUnknown;
    return false;
  }
  return true;
}

// Sets the team header for upstreams; a caller's own header of that name is
// removed, so that no caller can claim another team.
void CallerExchange::SetTeam(const RuleRow& rule) {
  const RoutingView& view = *this->host.view();
  const HeaderNames& names = this->host.names();
  HttpFields& headers = this->request.headers;
  headers.erase(names.api_key);
  headers.erase(names.team);
  EntryRequest& entry = this->request.entry;
  const ServiceRow* service = FindService(view, entry.service);
  entry.team = service != nullptr ? service->team : TeamHandle{};
  entry.traffic_class = rule.traffic_class;
  const TeamRow* team = FindTeam(view, this->key_team);
  if (team != nullptr) {
    headers.set(names.team, team->name);
    entry.team = team->handle;
    entry.traffic_class = team->traffic_class.value_or(rule.traffic_class);
  }
}

void CallerExchange::FillRequest(const RequestReader::Parser& parser,
                                 const RuleRow& rule) {
  const auto& message = parser.get();
  const HeaderNames& names = this->host.names();
  HttpFields& headers = this->request.headers;
  headers = message;
  RemoveHopByHop(headers);
  headers.erase(http::field::expect);
  headers.erase(names.deadline);
  headers.set(names.request_id, this->request.request_id);
  if (names.via) {
    headers.insert(http::field::via, this->host.via());
  }
  this->request.rule = rule.handle;
  this->request.hedge = rule.hedge;
  this->request.once = rule.once;
  EntryRequest& entry = this->request.entry;
  entry.service = this->host.ChooseService(rule);
  entry.max_attempts = rule.max_attempts;
  this->SetTeam(rule);
  if (rule.target_latency > milliseconds(0)) {
    this->request.good_until = this->began + rule.target_latency;
  }
  entry.idempotent =
      !rule.once &&
      (rule.idempotent ||
       (rule.max_attempts == 0 && IsIdempotentMethod(this->request.method)));
  const bool known = this->request.framing.kind != BodyKind::kChunked;
  entry.replayable =
      known && this->request.framing.length <= kBufferedBodyBytes;
  this->SetDeadline(message, rule);
}

void CallerExchange::SetDeadline(const HttpFields& headers,
                                 const RuleRow& rule) {
  this->declared_time =
      DeclaredTime(HeaderValue(headers, this->host.names().deadline));
  // The deadline that a caller requests replaces that of the rule, up to the
  // limit of the system.
  milliseconds time = this->declared_time.value_or(kUnreadableTime);
  if (time == kUnreadableTime) {
    time = rule.deadline;
  }
  time = std::min(time, this->host.request_total());
  if (rule.timeout > milliseconds(0)) {
    time = std::min(time, rule.timeout);
  }
  this->request.entry.deadline = this->began + time;
}

void CallerExchange::SetWholeBody(std::string body) {
  this->request.framing = {BodyKind::kLength, body.size()};
  this->request.whole_body = std::move(body);
  this->request.entry.replayable = true;
}

bool CallerExchange::wants_whole_body() const {
  return this->fault == Refusal::kNone &&
         (this->request.entry.replayable || this->request.once);
}

Task<void> CallerExchange::Serve() {
  const auto self = this->shared_from_this();
  ServeOutcome outcome;
  outcome.refusal = this->fault;
  if (this->fault == Refusal::kNoConfiguration) {
    outcome.retry_after = kNoConfigurationRetryAfter;
  }
  if (this->abandoned) {
    outcome.refusal = Refusal::kCallerGone;
  } else if (this->fault == Refusal::kNone &&
             (this->request.withdrawn || !this->host.Admits(this->request))) {
    outcome.refusal = Refusal::kShuttingDown;
  } else if (this->fault == Refusal::kNone) {
    const RuleRow* rule = FindRule(*this->host.view(), this->request.rule);
    if (rule != nullptr) {
      this->request.entry.fingerprint = FingerprintOf(this->request, *rule);
    }
    outcome = co_await this->ServeWithinQuota();
    outcome = this->MapExpiredOutcome(outcome);
    outcome =
        WithoutFalsePromise(this->request, 0, outcome, this->host.counters());
  }
  if (outcome.refusal == Refusal::kShuttingDown) {
    outcome.retry_after =
        std::max<Duration>(outcome.retry_after, kShuttingDownRetryAfter);
  }
  this->AbortUnfinishedAnswer();
  this->ReportEnd(outcome);
  if (!this->has_started && !this->abandoned) {
    co_await this->Refuse(outcome);
  }
}

// Failure: an answer ends early on a path that does not call `Break`. The next
// answer follows on the connection, and the caller reads it as the rest of the
// body. Only the exchange knows whether the end of its answer was written.
void CallerExchange::AbortUnfinishedAnswer() {
  if (!this->has_started || this->has_ended) {
    return;
  }
  this->answer_aborted = this->answer_aborted || !this->abandoned;
  this->abandoned = true;
  this->writer.AbortConnection();
}

// A request that was cancelled here at its deadline is reported as an upstream
// timeout, not as abandoned by its caller. The same holds if its answer was
// still incomplete then, so that nothing of it was sent.
ServeOutcome CallerExchange::MapExpiredOutcome(ServeOutcome outcome) const {
  const bool was_not_sent = outcome.answered && !this->has_started;
  const bool was_cancelled =
      !outcome.answered && outcome.refusal == Refusal::kCallerGone;
  if (this->expired && (was_not_sent || was_cancelled)) {
    outcome.answered = false;
    outcome.refusal = Refusal::kUpstreamTimeout;
  }
  return outcome;
}

void CallerExchange::ReportEnd(const ServeOutcome& outcome) {
  this->request.caller_gone = this->abandoned;
  RequestEnd end;
  end.refusal = outcome.answered ? Refusal::kNone : outcome.refusal;
  end.source = outcome.source;
  end.broken = this->answer_aborted;
  end.elapsed = MonotonicClock::now() - this->began;
  this->host.OnRequestDone(this->request, end);
}

CreditClaim CallerExchange::MakeCreditClaim() const {
  CreditClaim claim;
  claim.traffic_class = this->request.entry.traffic_class;
  if (this->request.good_until != kNever) {
    claim.target = std::chrono::duration_cast<milliseconds>(
        this->request.good_until - this->began);
  }
  claim.is_malformed = this->declared_time == kUnreadableTime;
  if (!claim.is_malformed) {
    claim.declared = this->declared_time;
  }
  claim.time_left = this->request.entry.deadline - MonotonicClock::now();
  return claim;
}

// A request takes its credit before it is passed on, wherever it is queued
// afterwards. The caller sent it before that moment, and an upstream receives
// it later, so the requests counted here in a window are at least those that
// the upstreams count in it.
Task<ServeOutcome> CallerExchange::ServeWithinQuota() {
  const TeamRow* team = FindTeam(*this->host.view(), this->request.entry.team);
  if (team == nullptr || team->limits.requests_per_second <= 0) {
    const ServeOutcome outcome = co_await this->ServeByRule();
    co_return outcome;
  }
  const TeamKey key = MakeTeamKey(team->name);
  const RuleHandle rule = this->request.rule;
  const CreditClaim claim = this->MakeCreditClaim();
  const QuotaDecision decision =
      co_await this->host.TakeQuota(key, rule, claim);
  if (decision.verdict != QuotaVerdict::kGranted) {
    const bool exhausted = decision.verdict == QuotaVerdict::kExhausted;
    co_return ServeOutcome{
        false, exhausted ? Refusal::kTeamRateLimit : Refusal::kQuotaUnavailable,
        decision.retry_after};
  }
  ServeOutcome outcome;
  outcome.refusal = Refusal::kCallerGone;
  bool ran = false;
  if (!this->abandoned && !this->expired) {
    outcome = co_await this->ServeByRule();
    ran =
        outcome.answered || InfoOf(outcome.refusal).promise != Promise::kNotRun;
  }
  if (!ran) {
    this->host.ReturnQuota(key, decision.credit);
  }
  co_return outcome;
}

Task<ServeOutcome> CallerExchange::ServeByRule() {
  const TimePoint passed_on_at = MonotonicClock::now();
  const ServeOutcome outcome = co_await this->PassOn();
  if (outcome.answered) {
    this->host.OnServed(this->request.rule,
                        MonotonicClock::now() - passed_on_at);
  }
  co_return outcome;
}

Task<ServeOutcome> CallerExchange::PassOn() {
  AnswerSink& sink = *this;
  EntryHost& entry = this->host.entry();
  if (!this->request.once) {
    const ServeOutcome outcome = co_await entry.Serve(this->request, sink);
    co_return outcome;
  }
  const TeamRow* team = FindTeam(*this->host.view(), this->request.entry.team);
  const std::string team_name = team != nullptr ? team->name : "";
  const uint64_t sequence = this->host.NextOnceSequence();
  ServeFunction serve = [&entry](RequestMessage& message,
                                 AnswerSink& recording) {
    return entry.Serve(message, recording);
  };
  OnceServices services = this->host.once_services();
  const ServeOutcome outcome =
      co_await ServeOnce(std::move(services), team_name, sequence,
                         this->request, sink, std::move(serve));
  co_return outcome;
}

Task<void> CallerExchange::Refuse(const ServeOutcome& outcome) {
  const RefusalAnswer answer =
      MakeRefusalAnswer(this->request, outcome, this->host.names());
  std::span<const char> body(answer.body);
  if (this->request.method == "HEAD") {
    body = {};
  }
  while (!this->has_turn && !this->abandoned) {
    co_await this->turn.Wait();
  }
  if (!this->abandoned) {
    co_await this->Begin(answer.head, body, true);
  }
}

Task<bool> CallerExchange::Start(const AnswerHead& head,
                                 std::span<const char> piece,
                                 bool last) {
  while (!this->has_turn && !this->abandoned && !this->expired) {
    co_await this->turn.Wait();
  }
  if (this->abandoned || this->expired) {
    co_return false;
  }
  co_return co_await this->Begin(head, piece, last);
}

Task<bool> CallerExchange::Begin(const AnswerHead& head,
                                 std::span<const char> piece,
                                 bool last) {
  this->has_started = true;
  this->written_at = MonotonicClock::now();
  AnswerHead sent = head;
  const bool open_ended = head.framing.kind == BodyKind::kChunked ||
                          head.framing.kind == BodyKind::kUntilClose;
  this->chunked_answer = open_ended && !this->http_1_0;
  if (!open_ended) {
    const bool has_body = head.framing.kind == BodyKind::kLength &&
                          this->request.method != "HEAD";
    this->body_left = has_body ? head.framing.length : 0;
  }
  if (open_ended) {
    sent.framing.kind =
        this->chunked_answer ? BodyKind::kChunked : BodyKind::kUntilClose;
  }
  this->ends_with_close = open_ended && !this->chunked_answer;
  if (this->ends_with_close) {
    // Failure: the process ends within the answer, the system closes the
    // connection in order, and the caller takes the part for the whole.
    this->writer.SetResetOnClose(true);
  }
  const bool close =
      this->writer.DecideClose(this->must_close || this->ends_with_close);
  this->out.clear();
  AppendAnswerHead(this->out, sent, close);
  co_return co_await this->Continue(piece, last, nullptr);
}

Task<bool> CallerExchange::Continue(std::span<const char> piece,
                                    bool last,
                                    const HttpFields* trailers) {
  if (!this->FitsDeclaredLength(piece.size(), last)) {
    this->Break();
    co_return false;
  }
  std::vector<boost::asio::const_buffer> buffers;
  if (!this->out.empty()) {
    buffers.push_back(boost::asio::buffer(this->out));
  }
  const boost::asio::const_buffer data(piece.data(), piece.size());
  NetError error;
  if (!this->chunked_answer || piece.empty()) {
    if (!piece.empty()) {
      buffers.push_back(data);
    }
    error = co_await this->writer.Write(buffers);
  } else {
    const auto chunk = http::make_chunk(data);
    for (const boost::asio::const_buffer part : chunk) {
      buffers.push_back(part);
    }
    error = co_await this->writer.Write(buffers);
  }
  if (this->chunked_answer && last && !error) {
    error = co_await this->WriteLastChunk(trailers);
  }
  this->host.counters().caller_bytes_sent.Add(
      error ? 0 : this->out.size() + piece.size());
  this->out.clear();
  this->written_at = MonotonicClock::now();
  if (error) {
    this->abandoned = true;
    this->request.caller_gone = true;
  }
  this->has_ended = last && !error;
  if (this->has_ended && this->ends_with_close) {
    this->writer.SetResetOnClose(false);
  }
  co_return !error;
}

// @returns false if the body would be longer or shorter than the head says.
bool CallerExchange::FitsDeclaredLength(size_t size, bool last) {
  if (!this->body_left) {
    return true;
  }
  if (size > *this->body_left) {
    return false;
  }
  *this->body_left -= size;
  return !last || *this->body_left == 0;
}

Task<NetError> CallerExchange::WriteLastChunk(const HttpFields* trailers) {
  std::vector<boost::asio::const_buffer> buffers;
  NetError error;
  if (trailers == nullptr) {
    const auto last = http::make_chunk_last();
    buffers.assign(last.begin(), last.end());
    error = co_await this->writer.Write(buffers);
    co_return error;
  }
  const auto last = http::make_chunk_last(*trailers);
  buffers.assign(last.begin(), last.end());
  error = co_await this->writer.Write(buffers);
  co_return error;
}

void CallerExchange::Break() {
  this->answer_aborted = true;
  this->abandoned = true;
  this->writer.AbortConnection();
}

void CallerExchange::Abandon() {
  if (this->abandoned) {
    return;
  }
  // A request that must not repeat continues without its caller, so that a
  // retry gets its answer.
  this->abandoned = true;
  this->turn.Set();
  if (!this->request.once) {
    this->CancelWork();
  }
}

void CallerExchange::WithdrawIfLate() {
  if (!this->has_started && !this->request.withdrawn &&
      !this->host.Admits(this->request)) {
    Withdraw(this->request);
  }
}

void CallerExchange::Tick(TimePoint now) {
  // The grace is subtracted from `now`: adding it to a deadline of kNever would
  // overflow.
  const bool late = now - kDeadlineGrace >= this->request.entry.deadline;
  if (late && !this->has_started && !this->expired && !this->abandoned &&
      !this->request.once && !this->HasWholeAnswer()) {
    this->expired = true;
    this->turn.Set();
    this->CancelWork();
  }
}

// A complete answer that only waits for the answers before it is worth more to
// the caller than a refusal.
bool CallerExchange::HasWholeAnswer() const {
  return this->request.has_whole_answer && this->request.has_whole_answer();
}

// Notifies the component that works on the request. Closing the caller's
// connection would not end a wait for a silent upstream.
void CallerExchange::CancelWork() {
  this->request.caller_gone = true;
  if (this->request.on_caller_gone) {
    // The callee may replace the function while it runs.
    const auto notify = this->request.on_caller_gone;
    notify();
  }
}

}  // namespace basilsill

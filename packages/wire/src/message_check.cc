#include "message_check.h"

#include <cmath>
#include <string>
#include <string_view>
#include <type_traits>

#include "basilsill/base/http_status.h"
#include "stream_id.h"

namespace basilsill::wire {
namespace {

constexpr size_t kMaxAddressLength = 64;
constexpr size_t kMaxMethodLength = 64;
constexpr size_t kMaxPhraseLength = 256;

bool Contains(std::string_view text, char octet) {
  return text.find(octet) != std::string_view::npos;
}

/// @returns false if `text` contains CR, LF or NUL. An upstream or a caller
/// that received such a head would parse it as two heads.
/// @remarks Three searches by the C library are faster than one loop.
bool IsOneLine(std::string_view text) {
  return !Contains(text, '\r') && !Contains(text, '\n') &&
         !Contains(text, '\0');
}

/// @returns true if `text` is not empty and has neither blanks nor control
/// characters.
/// @remarks The loop has no early exit, so that it compiles without branches.
bool IsWord(std::string_view text) {
  bool is_word = !text.empty();
  for (const char octet : text) {
    const auto code = static_cast<unsigned char>(octet);
    is_word &= code > ' ' && code != 0x7f;
  }
  return is_word;
}

bool IsFieldName(std::string_view text) {
  return IsWord(text) && !Contains(text, ':');
}

/// Records the first invalid field of a message.
class Checker {
 public:
  /// Records the field at `path` as invalid unless `allowed`.
  void Require(bool allowed, std::string_view path, std::string_view detail) {
    if (!allowed && this->path.empty()) {
      this->path = path;
      this->detail = detail;
    }
  }

  void RequireName(std::string_view name, std::string_view path) {
    this->Require(name.size() <= limits::kMaxNameLength, path,
                  "longer than the maximum name length");
  }

  void RequireStream(const StreamId& stream) {
    this->Require(stream.index < limits::kMaxStreamsPerLink &&
                      stream.generation <= kMaxGeneration &&
                      stream.opener < LinkSide::kCount,
                  "/stream", "not a valid stream id");
  }

  void RequireHeaders(const HeaderList& headers, std::string_view path) {
    this->Require(headers.size() <= limits::kMaxHeaderFields, path,
                  "too many header fields");
    this->Require(headers.text().size() <= limits::kMaxPeerHeaderBytes, path,
                  "header fields too long");
    this->Require(IsOneLine(headers.text()), path,
                  "a field contains CR, LF or NUL");
    for (const HeaderView field : headers) {
      this->Require(IsFieldName(field.name), path, "malformed field name");
    }
  }

  void RequireBody(const BodyFraming& framing, const Bytes& body, bool end) {
    const bool known = framing.kind == BodyKind::kKnown;
    this->Require(framing.kind < BodyKind::kCount, "/framing",
                  "unknown body kind");
    this->Require(known || framing.length == 0, "/framing",
                  "length without a body kind that has one");
    this->Require(framing.kind != BodyKind::kNone || (end && body.empty()),
                  "/framing",
                  "body kind is none, but there are octets or no end");
    this->Require(!known || body.size() <= framing.length, "/body",
                  "longer than the length in framing");
    this->Require(!known || !end || body.size() == framing.length, "/body",
                  "shorter than the length in framing");
    this->Require(body.size() <= limits::kMaxInlineBodyBytes, "/body",
                  "longer than a body in a head may be");
  }

  void RequireChunk(const Bytes& bytes) {
    this->Require(bytes.size() <= limits::kBodyChunkBytes, "/bytes",
                  "longer than the maximum chunk");
  }

  Result<void> Finish() const {
    if (this->path.empty()) {
      return boost::outcome_v2::success();
    }
    return Failure{FailureKind::kOutOfRange, std::string(this->path),
                   std::string(this->detail)};
  }

 private:
  std::string_view path;
  std::string_view detail;
};

void Check(Checker& check, const Hello& hello) {
  check.Require(hello.role < LinkRole::kCount, "/role", "unknown role");
  check.Require(
      IsWord(hello.vm), "/vm",
      "not a valid name: empty, or with blanks or control characters");
  check.RequireName(hello.vm, "/vm");
  check.RequireName(hello.data_centre, "/data_centre");
  check.Require(hello.control.address.size() <= kMaxAddressLength, "/control",
                "malformed address");
  check.Require(hello.stream_window >= limits::kMaxInlineBodyBytes,
                "/stream_window", "smaller than the maximum body in a head");
  check.Require(hello.workers.size() <= limits::kMaxWorkersPerVm, "/workers",
                "too many workers");
  for (const Endpoint& worker : hello.workers) {
    check.Require(
        IsWord(worker.address) && worker.address.size() <= kMaxAddressLength,
        "/workers", "malformed address");
  }
}

void Check(Checker& check, const Open& open) {
  check.RequireStream(open.stream);
  check.RequireName(open.service, "/service");
  check.RequireName(open.team, "/team");
  check.RequireName(open.rule, "/rule");
  check.Require(open.traffic_class < TrafficClass::kCount, "/traffic_class",
                "unknown class");
  check.Require(IsWord(open.method) && open.method.size() <= kMaxMethodLength,
                "/method", "malformed method");
  check.Require(
      IsWord(open.target) && open.target.size() <= limits::kMaxHeaderBytes,
      "/target", "malformed target");
  check.RequireHeaders(open.headers, "/headers");
  check.RequireBody(open.framing, open.body, open.end);
}

void Check(Checker& check, const Answer& answer) {
  check.RequireStream(answer.stream);
  check.Require(IsFinalStatus(answer.status), "/status",
                "not the status of a final answer");
  check.Require(
      IsOneLine(answer.phrase) && answer.phrase.size() <= kMaxPhraseLength,
      "/phrase", "malformed reason phrase");
  check.RequireHeaders(answer.headers, "/headers");
  check.RequireBody(answer.framing, answer.body, answer.end);
}

void Check(Checker& check, const Data& data) {
  check.RequireStream(data.stream);
  check.RequireChunk(data.bytes);
  check.Require(!data.bytes.empty(), "/bytes", "empty");
}

void Check(Checker& check, const End& end) {
  check.RequireStream(end.stream);
  check.RequireHeaders(end.trailers, "/trailers");
}

void Check(Checker& check, const Credit& credit) {
  check.RequireStream(credit.stream);
  check.Require(credit.bytes > 0, "/bytes", "empty");
}

void Check(Checker& check, const Refused& refused) {
  check.RequireStream(refused.stream);
  check.Require(
      refused.refusal != Refusal::kNone && refused.refusal < Refusal::kCount,
      "/refusal", "unknown reason");
}

void Check(Checker& check, const Reset& reset) {
  check.RequireStream(reset.stream);
  check.Require(
      reset.reason != Refusal::kNone && reset.reason < Refusal::kCount,
      "/reason", "unknown reason");
}

void Check(Checker& check, const Cancel& cancel) {
  check.RequireStream(cancel.stream);
}

void Check(Checker& check, const Withdraw& withdraw) {
  check.RequireStream(withdraw.stream);
}

void Check(Checker& check, const Heartbeat& heartbeat) {
  check.Require(heartbeat.state < VmState::kCount, "/state", "unknown state");
  check.Require(heartbeat.crashes.size() <= limits::kMaxCrashReports,
                "/crashes", "too many entries");
  check.Require(heartbeat.rate_limits.size() <= limits::kMaxRateLimitReports,
                "/rate_limits", "too many entries");
  check.Require(heartbeat.unreachable.size() <= limits::kMaxDataCentres,
                "/unreachable", "too many entries");
  check.Require(heartbeat.reached.size() <= limits::kMaxDataCentres, "/reached",
                "too many entries");
  for (const RateLimitReport& report : heartbeat.rate_limits) {
    check.Require(std::isfinite(report.requests_per_second) &&
                      report.requests_per_second >= 0,
                  "/rate_limits", "must be a finite, non-negative rate");
  }
}

void Check(Checker& check, const SnapshotChunk& chunk) {
  check.RequireChunk(chunk.bytes);
  check.Require(chunk.position <= chunk.total &&
                    chunk.bytes.size() <= chunk.total - chunk.position,
                "/position", "beyond the end of the snapshot");
}

void Check(Checker& check, const StateNews& update) {
  check.Require(update.from <= update.next, "/next",
                "must not be less than from");
  check.Require(update.records.size() <= limits::kMaxUpdateBytes, "/records",
                "too long");
}

void Check(Checker& check, const StateQuestion& question) {
  check.Require(question.wanted.size() <= limits::kMaxTopics, "/wanted",
                "too many entries");
}

void Check(Checker& check, const WriteRequest& request) {
  check.Require(request.record.size() <= limits::kMaxWriteBytes, "/record",
                "too long");
}

void Check(Checker& check, const QuotaRequest& request) {
  check.Require(request.wants.size() <= limits::kMaxQuotaTeams, "/wants",
                "too many entries");
  check.Require(request.returns.size() <= limits::kMaxQuotaTeams, "/returns",
                "too many entries");
  for (const QuotaWant& want : request.wants) {
    check.Require(want.needs.size() <= limits::kMaxQuotaNeeds, "/wants/needs",
                  "too many entries");
  }
}

void Check(Checker& check, const QuotaAnswer& answer) {
  check.Require(answer.grants.size() <= limits::kMaxQuotaTeams, "/grants",
                "too many entries");
  for (const QuotaGrant& grant : answer.grants) {
    check.Require(grant.outcomes.size() <= limits::kMaxQuotaNeeds,
                  "/grants/outcomes", "too many entries");
  }
}

void Check(Checker& /*check*/, const StateStamp& /*stamp*/) {}
void Check(Checker& check, const Summary& summary) {
  check.Require(summary.notices.size() <= limits::kMaxNoticeReports, "/notices",
                "too many entries");
  for (const UpstreamNoticeReport& notice : summary.notices) {
    check.Require(
        notice.rest >= Duration(0) && notice.rest <= limits::kMaxUpstreamRest,
        "/notices", "must be a time up to the longest rest");
  }
}
void Check(Checker& /*check*/, const StateDeclined& /*declined*/) {}
void Check(Checker& /*check*/, const WriteAnswer& /*answer*/) {}
void Check(Checker& /*check*/, const GoAway& /*go_away*/) {}
void Check(Checker& /*check*/, const SnapshotRequest& /*request*/) {}

}  // namespace

Result<void> CheckMessage(const PeerMessage& message) {
  Checker check;
  std::visit([&check](const auto& value) { Check(check, value); }, message);
  return check.Finish();
}

Bytes* PayloadOf(PeerMessage& message) {
  if (auto* data = std::get_if<Data>(&message)) {
    return &data->bytes;
  }
  if (auto* open = std::get_if<Open>(&message)) {
    return &open->body;
  }
  if (auto* answer = std::get_if<Answer>(&message)) {
    return &answer->body;
  }
  if (auto* chunk = std::get_if<SnapshotChunk>(&message)) {
    return &chunk->bytes;
  }
  return nullptr;
}

}  // namespace basilsill::wire

#include "message_reader.h"

#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "basilsill/base/error.h"
#include "schema_values.h"
#include "stream_id.h"

namespace basilsill::wire {
namespace {

[[noreturn]] void Reject(std::string path, std::string detail) {
  throw FailureError(Failure{FailureKind::kMalformedFrame, std::move(path),
                             std::move(detail)});
}

/// Checks the size of a list before memory is allocated for it. Pointers in a
/// message can overlap, so a small frame may contain many large lists.
/// @returns `size`. Throws FailureError if it is greater than `most`.
unsigned CheckedSize(unsigned size, size_t most, const char* path) {
  if (size > most) {
    Reject(path, "list of " + std::to_string(size) +
                     " entries, must be at most " + std::to_string(most));
  }
  return size;
}

template <typename Unit>
Unit ReadTime(int64_t count, const char* path) {
  constexpr auto longest =
      std::chrono::duration_cast<Unit>(Duration(limits::kMaxPeerDuration));
  if (count < 0 || count > longest.count()) {
    Reject(path, "duration out of range");
  }
  return Unit(count);
}

std::chrono::microseconds ReadMicros(int64_t count, const char* path) {
  return ReadTime<std::chrono::microseconds>(count, path);
}

Duration ReadNanos(int64_t count, const char* path) {
  return ReadTime<Duration>(count, path);
}

/// @returns the value `number` of `Enum`, or kCount if there is none.
template <typename Enum, typename Number>
Enum ReadEnum(Number number) {
  const auto value = static_cast<unsigned>(number);
  return value < static_cast<unsigned>(Enum::kCount) ? static_cast<Enum>(value)
                                                     : Enum::kCount;
}

std::string ReadText(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

HeaderList ReadHeaders(schema::HeaderList::Reader reader) {
  const capnp::Data::Reader text = reader.getText();
  const auto list = reader.getEnds();
  const unsigned size =
      CheckedSize(list.size(), 2 * limits::kMaxHeaderFields, "/headers");
  CheckedSize(text.size(), limits::kMaxPeerHeaderBytes, "/headers");
  std::vector<uint32_t> ends(size);
  for (unsigned i = 0; i < size; ++i) {
    ends[i] = list[i];
  }
  HeaderList headers;
  if (!headers.Assign({text.asChars().begin(), text.size()}, std::move(ends))) {
    Reject("/headers", "ends are inconsistent with the text");
  }
  return headers;
}

template <typename Reader, typename Message>
void ReadBody(Reader reader, Message& message) {
  message.framing.kind = ReadEnum<BodyKind>(reader.getBodyKind());
  message.framing.length = reader.getBodyLength();
  message.end = reader.getEnd();
}

Endpoint ReadEndpoint(schema::Endpoint::Reader reader) {
  return {ReadText(reader.getAddress()), reader.getPort()};
}

Hello ReadHello(schema::Hello::Reader reader) {
  Hello hello;
  hello.version = reader.getVersion();
  if (hello.version != kProtocolVersion) {
    throw FailureError(Failure{
        FailureKind::kVersionMismatch, "/version",
        "the peer has protocol version " + std::to_string(hello.version) +
            ", this node " + std::to_string(kProtocolVersion)});
  }
  hello.role = ReadEnum<LinkRole>(reader.getRole());
  hello.vm = ReadText(reader.getVm());
  hello.data_centre = ReadText(reader.getDataCentre());
  hello.leaving = reader.getLeaving();
  hello.capacity = reader.getCapacity();
  hello.control = ReadEndpoint(reader.getControl());
  hello.incarnation = reader.getIncarnation();
  hello.worker = reader.getWorker();
  hello.stream_window = reader.getStreamWindow();
  hello.max_streams = reader.getMaxStreams();
  const auto workers = reader.getWorkers();
  CheckedSize(workers.size(), limits::kMaxWorkersPerVm, "/workers");
  for (const schema::Endpoint::Reader worker : workers) {
    hello.workers.push_back(ReadEndpoint(worker));
  }
  return hello;
}

OnceClaim ReadOnce(schema::OnceClaim::Reader reader) {
  return {{reader.getKeyHigh(), reader.getKeyLow()}, reader.getAttempt()};
}

Open ReadOpen(schema::Open::Reader reader) {
  Open open;
  open.stream = UnpackStreamId(reader.getStream());
  open.shard = reader.getShard();
  open.service = ReadText(reader.getService());
  open.team = ReadText(reader.getTeam());
  open.rule = ReadText(reader.getRule());
  open.traffic_class = ReadEnum<TrafficClass>(reader.getTrafficClass());
  open.deadline = ReadMicros(reader.getDeadline(), "/deadline");
  open.idempotent = reader.getIdempotent();
  open.hedge = reader.getHedge();
  if (reader.hasOnce()) {
    open.once = ReadOnce(reader.getOnce());
  }
  open.fingerprint = reader.getFingerprint();
  open.attempts_left = reader.getAttemptsLeft();
  open.sends = reader.getSends();
  open.max_wait = ReadNanos(reader.getMaxWait(), "/max_wait");
  open.good_for = ReadMicros(reader.getGoodFor(), "/good_for");
  open.method = ReadText(reader.getMethod());
  open.target = ReadText(reader.getTarget());
  open.headers = ReadHeaders(reader.getHeaders());
  ReadBody(reader, open);
  return open;
}

End ReadEnd(schema::End::Reader reader) {
  End end;
  end.stream = UnpackStreamId(reader.getStream());
  if (reader.hasTrailers()) {
    end.trailers = ReadHeaders(reader.getTrailers());
  }
  return end;
}

Answer ReadAnswer(schema::Answer::Reader reader) {
  Answer answer;
  answer.stream = UnpackStreamId(reader.getStream());
  answer.status = reader.getStatus();
  answer.phrase = ReadText(reader.getPhrase());
  answer.headers = ReadHeaders(reader.getHeaders());
  ReadBody(reader, answer);
  return answer;
}

Refused ReadRefused(schema::Refused::Reader reader) {
  Refused refused;
  refused.stream = UnpackStreamId(reader.getStream());
  refused.refusal = ReadEnum<Refusal>(reader.getRefusal());
  refused.not_run = reader.getNotRun();
  refused.retry_after = ReadMicros(reader.getRetryAfter(), "/retry_after");
  refused.sends = reader.getSends();
  return refused;
}

Summary ReadSummary(schema::Summary::Reader reader) {
  Summary summary;
  summary.shard.shard = reader.getShard();
  summary.shard.slots = reader.getSlots();
  summary.shard.busy = reader.getBusy();
  summary.shard.queued = reader.getQueued();
  summary.shard.service_time =
      ReadNanos(reader.getServiceTime(), "/service_time");
  summary.shard.wait = ReadNanos(reader.getWait(), "/wait");
  const auto notices = reader.getNotices();
  summary.notices.reserve(
      CheckedSize(notices.size(), limits::kMaxNoticeReports, "/notices"));
  for (const schema::UpstreamNoticeReport::Reader notice : notices) {
    summary.notices.push_back({notice.getUpstream(), notice.getLeaving(),
                               ReadNanos(notice.getRest(), "/notices")});
  }
  return summary;
}

CrashReport ReadCrash(schema::CrashReport::Reader reader) {
  CrashReport crash;
  crash.id = reader.getId();
  crash.upstream = reader.getUpstream();
  crash.age = ReadNanos(reader.getAge(), "/crashes");
  const auto suspects = reader.getSuspects();
  crash.suspect_count =
      CheckedSize(suspects.size(), CrashReport::kMaxSuspects, "/crashes");
  for (unsigned i = 0; i < crash.suspect_count; ++i) {
    crash.suspects[i] = suspects[i];
  }
  return crash;
}

RateLimitReport ReadRateLimit(schema::RateLimitReport::Reader reader) {
  RateLimitReport report;
  report.shard = reader.getShard();
  report.upstream = reader.getUpstream();
  report.named = reader.getNamed();
  report.requests_per_second = reader.getRequestsPerSecond();
  return report;
}

Heartbeat ReadHeartbeat(schema::Heartbeat::Reader reader) {
  Heartbeat heartbeat;
  heartbeat.incarnation = reader.getIncarnation();
  heartbeat.applied_offset = reader.getAppliedOffset();
  heartbeat.state = ReadEnum<VmState>(reader.getState());
  heartbeat.vm_list_version = reader.getVmListVersion();
  heartbeat.answer_wanted = reader.getAnswerWanted();
  const auto crashes = reader.getCrashes();
  heartbeat.crashes.reserve(
      CheckedSize(crashes.size(), limits::kMaxCrashReports, "/crashes"));
  for (const schema::CrashReport::Reader crash : crashes) {
    heartbeat.crashes.push_back(ReadCrash(crash));
  }
  const auto rate_limits = reader.getRateLimits();
  heartbeat.rate_limits.reserve(CheckedSize(
      rate_limits.size(), limits::kMaxRateLimitReports, "/rate_limits"));
  for (const schema::RateLimitReport::Reader report : rate_limits) {
    heartbeat.rate_limits.push_back(ReadRateLimit(report));
  }
  const auto unreachable = reader.getUnreachable();
  heartbeat.unreachable.reserve(
      CheckedSize(unreachable.size(), limits::kMaxDataCentres, "/unreachable"));
  for (const capnp::Text::Reader name : unreachable) {
    heartbeat.unreachable.emplace_back(name.begin(), name.size());
  }
  const auto reached = reader.getReached();
  heartbeat.reached.reserve(
      CheckedSize(reached.size(), limits::kMaxDataCentres, "/reached"));
  for (const capnp::Text::Reader name : reached) {
    heartbeat.reached.emplace_back(name.begin(), name.size());
  }
  return heartbeat;
}

SnapshotChunk ReadSnapshotChunk(schema::SnapshotChunk::Reader reader) {
  SnapshotChunk chunk;
  chunk.applied_offset = reader.getAppliedOffset();
  chunk.position = reader.getPosition();
  chunk.total = reader.getTotal();
  return chunk;
}

StateNews ReadStateNews(schema::StateNews::Reader reader) {
  StateNews update;
  update.topic = reader.getTopic();
  update.from = LogPosition(reader.getFrom(), reader.getFromEra());
  update.next = LogPosition(reader.getNext(), reader.getNextEra());
  update.whole = reader.getWhole();
  update.more = reader.getMore();
  update.unordered = reader.getUnordered();
  update.unproven = reader.getUnproven();
  update.version = reader.getVersion();
  const capnp::Data::Reader records = reader.getRecords();
  CheckedSize(records.size(), limits::kMaxUpdateBytes, "/records");
  update.records.assign(records.asChars().begin(), records.asChars().end());
  if (reader.hasVouch()) {
    const schema::FreshnessVouch::Reader vouch = reader.getVouch();
    update.vouch = {vouch.getStamp(), ReadNanos(vouch.getHeld(), "/vouch"),
                    ReadNanos(vouch.getAge(), "/vouch")};
  }
  return update;
}

// A class that this version does not know gets the lowest priority.
TrafficClass ReadClass(schema::TrafficClass number) {
  const auto read = ReadEnum<TrafficClass>(number);
  return read == TrafficClass::kCount ? TrafficClass::kBackground : read;
}

std::vector<QuotaNeed> ReadNeeds(schema::QuotaWant::Reader want) {
  std::vector<QuotaNeed> needs;
  const auto rows = want.getNeeds();
  needs.reserve(
      CheckedSize(rows.size(), limits::kMaxQuotaNeeds, "/wants/needs"));
  for (const schema::QuotaNeed::Reader row : rows) {
    QuotaNeed need;
    need.ticket = row.getTicket();
    need.need.traffic_class = ReadClass(row.getTrafficClass());
    need.need.until_target = ReadNanos(row.getUntilTarget(), "/wants/needs");
    need.need.time_left = ReadNanos(row.getTimeLeft(), "/wants/needs");
    need.need.is_returning = row.getReturning();
    needs.push_back(need);
  }
  return needs;
}

std::vector<QuotaOutcome> ReadOutcomes(schema::QuotaGrant::Reader grant) {
  std::vector<QuotaOutcome> outcomes;
  const auto rows = grant.getOutcomes();
  outcomes.reserve(
      CheckedSize(rows.size(), limits::kMaxQuotaNeeds, "/grants/outcomes"));
  for (const schema::QuotaOutcome::Reader row : rows) {
    outcomes.push_back({row.getTicket(), row.getGranted(),
                        ReadNanos(row.getRetryAfter(), "/grants/outcomes")});
  }
  return outcomes;
}

QuotaRequest ReadQuotaRequest(schema::QuotaRequest::Reader reader) {
  QuotaRequest request;
  request.number = reader.getNumber();
  request.of_lender = reader.getOfLender();
  request.lease_end = LogPosition(reader.getLeaseEnd(), reader.getLeaseEra());
  request.lease_left = ReadNanos(reader.getLeaseLeft(), "/leaseLeft");
  const auto wants = reader.getWants();
  request.wants.reserve(
      CheckedSize(wants.size(), limits::kMaxQuotaTeams, "/wants"));
  for (const schema::QuotaWant::Reader want : wants) {
    request.wants.push_back(
        {want.getTeam(), want.getWanted(), ReadNeeds(want)});
  }
  const auto returns = reader.getReturns();
  request.returns.reserve(
      CheckedSize(returns.size(), limits::kMaxQuotaTeams, "/returns"));
  for (const schema::QuotaReturn::Reader row : returns) {
    request.returns.push_back({row.getTeam(), row.getCount(), row.getLentAt()});
  }
  return request;
}

QuotaAnswer ReadQuotaAnswer(schema::QuotaAnswer::Reader reader) {
  QuotaAnswer answer;
  answer.number = reader.getNumber();
  answer.lends = reader.getLends();
  answer.lent_at = reader.getLentAt();
  const auto grants = reader.getGrants();
  answer.grants.reserve(
      CheckedSize(grants.size(), limits::kMaxQuotaTeams, "/grants"));
  for (const schema::QuotaGrant::Reader grant : grants) {
    answer.grants.push_back({grant.getTeam(), grant.getGranted(),
                             ReadNanos(grant.getRetryAfter(), "/grants"),
                             ReadOutcomes(grant), grant.getHeld()});
  }
  return answer;
}

StateQuestion ReadStateQuestion(schema::StateQuestion::Reader reader) {
  StateQuestion question;
  const auto wanted = reader.getWanted();
  question.wanted.reserve(
      CheckedSize(wanted.size(), limits::kMaxTopics, "/wanted"));
  for (const schema::TopicPosition::Reader position : wanted) {
    question.wanted.push_back(
        {position.getTopic(),
         LogPosition(position.getFrom(), position.getFromEra())});
  }
  question.stamp = reader.getStamp();
  question.catches_up = reader.getCatchesUp();
  question.newest = reader.getNewest();
  return question;
}

WriteRequest ReadWriteRequest(schema::WriteRequest::Reader reader) {
  WriteRequest request;
  request.topic = reader.getTopic();
  request.number = reader.getNumber();
  const capnp::Data::Reader record = reader.getRecord();
  CheckedSize(record.size(), limits::kMaxWriteBytes, "/record");
  request.record.assign(record.asChars().begin(), record.asChars().end());
  return request;
}

Reset ReadReset(schema::Reset::Reader reader) {
  return {UnpackStreamId(reader.getStream()),
          ReadEnum<Refusal>(reader.getReason())};
}

}  // namespace

PeerMessage ReadMessage(schema::PeerMessage::Reader reader) {
  switch (reader.which()) {
    case schema::PeerMessage::HELLO:
      return ReadHello(reader.getHello());
    case schema::PeerMessage::OPEN:
      return ReadOpen(reader.getOpen());
    case schema::PeerMessage::DATA:
      return Data{UnpackStreamId(reader.getData().getStream()), {}};
    case schema::PeerMessage::END:
      return ReadEnd(reader.getEnd());
    case schema::PeerMessage::CREDIT:
      return Credit{UnpackStreamId(reader.getCredit().getStream()),
                    reader.getCredit().getBytes()};
    case schema::PeerMessage::ANSWER:
      return ReadAnswer(reader.getAnswer());
    case schema::PeerMessage::REFUSED:
      return ReadRefused(reader.getRefused());
    case schema::PeerMessage::RESET:
      return ReadReset(reader.getReset());
    case schema::PeerMessage::CANCEL:
      return Cancel{UnpackStreamId(reader.getCancel().getStream())};
    case schema::PeerMessage::SUMMARY:
      return ReadSummary(reader.getSummary());
    case schema::PeerMessage::GO_AWAY:
      return GoAway{};
    case schema::PeerMessage::HEARTBEAT:
      return ReadHeartbeat(reader.getHeartbeat());
    case schema::PeerMessage::SNAPSHOT_REQUEST:
      return SnapshotRequest{reader.getSnapshotRequest().getAppliedOffset(),
                             reader.getSnapshotRequest().getPosition()};
    case schema::PeerMessage::SNAPSHOT_CHUNK:
      return ReadSnapshotChunk(reader.getSnapshotChunk());
    case schema::PeerMessage::STATE_NEWS:
      return ReadStateNews(reader.getStateNews());
    case schema::PeerMessage::STATE_QUESTION:
      return ReadStateQuestion(reader.getStateQuestion());
    case schema::PeerMessage::STATE_DECLINED:
      return StateDeclined{reader.getStateDeclined().getLater()};
    case schema::PeerMessage::WRITE_REQUEST:
      return ReadWriteRequest(reader.getWriteRequest());
    case schema::PeerMessage::WRITE_ANSWER:
      return WriteAnswer{reader.getWriteAnswer().getNumber(),
                         reader.getWriteAnswer().getWritten()};
    case schema::PeerMessage::STATE_STAMP:
      return StateStamp{reader.getStateStamp().getStamp()};
    case schema::PeerMessage::QUOTA_REQUEST:
      return ReadQuotaRequest(reader.getQuotaRequest());
    case schema::PeerMessage::QUOTA_ANSWER:
      return ReadQuotaAnswer(reader.getQuotaAnswer());
    case schema::PeerMessage::WITHDRAW:
      return Withdraw{UnpackStreamId(reader.getWithdraw().getStream())};
  }
  Reject("/", "unknown kind of message");
}

}  // namespace basilsill::wire

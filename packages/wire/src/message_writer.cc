#include "message_writer.h"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <string_view>

#include "schema_values.h"
#include "stream_id.h"

namespace basilsill::wire {
namespace {

/// @returns `time` in units of `Unit`, clamped to the range from 0 to
/// limits::kMaxPeerDuration.
template <typename Unit, typename Time>
int64_t CountOf(Time time) {
  constexpr auto longest =
      std::chrono::duration_cast<Time>(Duration(limits::kMaxPeerDuration));
  const Time clamped = std::clamp(time, Time::zero(), longest);
  return std::chrono::duration_cast<Unit>(clamped).count();
}

template <typename Time>
int64_t MicrosOf(Time time) {
  return CountOf<std::chrono::microseconds>(time);
}

int64_t NanosOf(Duration time) {
  return CountOf<std::chrono::nanoseconds>(time);
}

/// Copies `text` into the space that `init` allocates for its size. An empty
/// text is not written, because a reader gets an empty text for a missing one.
template <typename Init>
void WriteText(std::string_view text, Init init) {
  if (text.empty()) {
    return;
  }
  capnp::Text::Builder space = init(static_cast<unsigned>(text.size()));
  std::memcpy(space.begin(), text.data(), text.size());
}

void WriteHeaders(const HeaderList& headers,
                  schema::HeaderList::Builder builder) {
  const std::string& text = headers.text();
  const auto* octets = reinterpret_cast<const capnp::byte*>(text.data());
  builder.setText(capnp::Data::Reader(octets, text.size()));
  const std::vector<uint32_t>& ends = headers.ends();
  auto list = builder.initEnds(static_cast<unsigned>(ends.size()));
  for (unsigned i = 0; i < ends.size(); ++i) {
    list.set(i, ends[i]);
  }
}

template <typename Message, typename Builder>
void WriteBody(const Message& message, Builder& builder) {
  builder.setBodyKind(static_cast<schema::BodyKind>(message.framing.kind));
  builder.setBodyLength(message.framing.length);
  builder.setEnd(message.end);
}

void WriteEndpoint(const Endpoint& endpoint,
                   schema::Endpoint::Builder builder) {
  WriteText(endpoint.address,
            [&](unsigned size) { return builder.initAddress(size); });
  builder.setPort(endpoint.port);
}

void Write(const Hello& hello, schema::PeerMessage::Builder message) {
  auto builder = message.initHello();
  builder.setVersion(hello.version);
  builder.setRole(static_cast<schema::LinkRole>(hello.role));
  WriteText(hello.vm, [&](unsigned size) { return builder.initVm(size); });
  WriteText(hello.data_centre,
            [&](unsigned size) { return builder.initDataCentre(size); });
  builder.setLeaving(hello.leaving);
  builder.setCapacity(hello.capacity);
  WriteEndpoint(hello.control, builder.initControl());
  builder.setIncarnation(hello.incarnation);
  builder.setWorker(hello.worker);
  builder.setStreamWindow(hello.stream_window);
  builder.setMaxStreams(hello.max_streams);
  auto workers =
      builder.initWorkers(static_cast<unsigned>(hello.workers.size()));
  for (unsigned i = 0; i < hello.workers.size(); ++i) {
    WriteEndpoint(hello.workers[i], workers[i]);
  }
}

void WriteOnce(const OnceClaim& once, schema::OnceClaim::Builder builder) {
  builder.setKeyHigh(once.key.high);
  builder.setKeyLow(once.key.low);
  builder.setAttempt(once.attempt);
}

void Write(const Open& open, schema::PeerMessage::Builder message) {
  auto builder = message.initOpen();
  builder.setStream(PackStreamId(open.stream));
  builder.setShard(open.shard);
  WriteText(open.service,
            [&](unsigned size) { return builder.initService(size); });
  WriteText(open.team, [&](unsigned size) { return builder.initTeam(size); });
  WriteText(open.rule, [&](unsigned size) { return builder.initRule(size); });
  builder.setTrafficClass(
      static_cast<schema::TrafficClass>(open.traffic_class));
  builder.setDeadline(MicrosOf(open.deadline));
  builder.setIdempotent(open.idempotent);
  builder.setHedge(open.hedge);
  if (open.once) {
    WriteOnce(*open.once, builder.initOnce());
  }
  builder.setFingerprint(open.fingerprint);
  builder.setAttemptsLeft(open.attempts_left);
  builder.setSends(open.sends);
  builder.setMaxWait(NanosOf(open.max_wait));
  builder.setGoodFor(MicrosOf(open.good_for));
  WriteText(open.method,
            [&](unsigned size) { return builder.initMethod(size); });
  WriteText(open.target,
            [&](unsigned size) { return builder.initTarget(size); });
  WriteHeaders(open.headers, builder.initHeaders());
  WriteBody(open, builder);
}

void Write(const Data& data, schema::PeerMessage::Builder message) {
  message.initData().setStream(PackStreamId(data.stream));
}

void Write(const End& end, schema::PeerMessage::Builder message) {
  auto builder = message.initEnd();
  builder.setStream(PackStreamId(end.stream));
  if (!end.trailers.empty()) {
    WriteHeaders(end.trailers, builder.initTrailers());
  }
}

void Write(const Credit& credit, schema::PeerMessage::Builder message) {
  auto builder = message.initCredit();
  builder.setStream(PackStreamId(credit.stream));
  builder.setBytes(credit.bytes);
}

void Write(const Answer& answer, schema::PeerMessage::Builder message) {
  auto builder = message.initAnswer();
  builder.setStream(PackStreamId(answer.stream));
  builder.setStatus(answer.status);
  WriteText(answer.phrase,
            [&](unsigned size) { return builder.initPhrase(size); });
  WriteHeaders(answer.headers, builder.initHeaders());
  WriteBody(answer, builder);
}

void Write(const Refused& refused, schema::PeerMessage::Builder message) {
  auto builder = message.initRefused();
  builder.setStream(PackStreamId(refused.stream));
  builder.setRefusal(static_cast<uint8_t>(refused.refusal));
  builder.setNotRun(refused.not_run);
  builder.setRetryAfter(MicrosOf(refused.retry_after));
  builder.setSends(refused.sends);
}

void Write(const Reset& reset, schema::PeerMessage::Builder message) {
  auto builder = message.initReset();
  builder.setStream(PackStreamId(reset.stream));
  builder.setReason(static_cast<uint8_t>(reset.reason));
}

void Write(const Cancel& cancel, schema::PeerMessage::Builder message) {
  message.initCancel().setStream(PackStreamId(cancel.stream));
}

void Write(const Withdraw& withdraw, schema::PeerMessage::Builder message) {
  message.initWithdraw().setStream(PackStreamId(withdraw.stream));
}

void Write(const Summary& summary, schema::PeerMessage::Builder message) {
  auto builder = message.initSummary();
  builder.setShard(summary.shard.shard);
  builder.setSlots(summary.shard.slots);
  builder.setBusy(summary.shard.busy);
  builder.setQueued(summary.shard.queued);
  builder.setServiceTime(NanosOf(summary.shard.service_time));
  builder.setWait(NanosOf(summary.shard.wait));
  auto notices =
      builder.initNotices(static_cast<unsigned>(summary.notices.size()));
  for (unsigned i = 0; i < summary.notices.size(); ++i) {
    notices[i].setUpstream(summary.notices[i].upstream);
    notices[i].setLeaving(summary.notices[i].leaving);
    notices[i].setRest(NanosOf(summary.notices[i].rest));
  }
}

void Write(const GoAway& /*go_away*/, schema::PeerMessage::Builder message) {
  message.setGoAway();
}

void WriteCrash(const CrashReport& crash,
                schema::CrashReport::Builder builder) {
  builder.setId(crash.id);
  builder.setUpstream(crash.upstream);
  builder.setAge(NanosOf(crash.age));
  auto suspects = builder.initSuspects(crash.suspect_count);
  for (unsigned i = 0; i < crash.suspect_count; ++i) {
    suspects.set(i, crash.suspects[i]);
  }
}

void WriteRateLimit(const RateLimitReport& report,
                    schema::RateLimitReport::Builder builder) {
  builder.setShard(report.shard);
  builder.setUpstream(report.upstream);
  builder.setNamed(report.named);
  builder.setRequestsPerSecond(report.requests_per_second);
}

// The size is passed, since a name that a peer has sent may contain a zero.
void WriteNames(const std::vector<std::string>& names,
                capnp::List<capnp::Text>::Builder list) {
  for (unsigned i = 0; i < names.size(); ++i) {
    list.set(i, capnp::Text::Reader(names[i].data(), names[i].size()));
  }
}

void Write(const Heartbeat& heartbeat, schema::PeerMessage::Builder message) {
  auto builder = message.initHeartbeat();
  builder.setIncarnation(heartbeat.incarnation);
  builder.setAppliedOffset(heartbeat.applied_offset);
  builder.setState(static_cast<schema::VmState>(heartbeat.state));
  builder.setVmListVersion(heartbeat.vm_list_version);
  builder.setAnswerWanted(heartbeat.answer_wanted);
  auto crashes =
      builder.initCrashes(static_cast<unsigned>(heartbeat.crashes.size()));
  for (unsigned i = 0; i < heartbeat.crashes.size(); ++i) {
    WriteCrash(heartbeat.crashes[i], crashes[i]);
  }
  auto rate_limits = builder.initRateLimits(
      static_cast<unsigned>(heartbeat.rate_limits.size()));
  for (unsigned i = 0; i < heartbeat.rate_limits.size(); ++i) {
    WriteRateLimit(heartbeat.rate_limits[i], rate_limits[i]);
  }
  WriteNames(heartbeat.unreachable,
             builder.initUnreachable(
                 static_cast<unsigned>(heartbeat.unreachable.size())));
  WriteNames(
      heartbeat.reached,
      builder.initReached(static_cast<unsigned>(heartbeat.reached.size())));
}

void Write(const SnapshotRequest& request,
           schema::PeerMessage::Builder message) {
  auto builder = message.initSnapshotRequest();
  builder.setAppliedOffset(request.applied_offset);
  builder.setPosition(request.position);
}

void Write(const SnapshotChunk& chunk, schema::PeerMessage::Builder message) {
  auto builder = message.initSnapshotChunk();
  builder.setAppliedOffset(chunk.applied_offset);
  builder.setPosition(chunk.position);
  builder.setTotal(chunk.total);
}

void Write(const StateNews& update, schema::PeerMessage::Builder message) {
  auto builder = message.initStateNews();
  builder.setTopic(update.topic);
  builder.setFrom(update.from.offset);
  builder.setFromEra(update.from.era);
  builder.setNext(update.next.offset);
  builder.setNextEra(update.next.era);
  builder.setWhole(update.whole);
  builder.setMore(update.more);
  builder.setUnordered(update.unordered);
  builder.setUnproven(update.unproven);
  builder.setVersion(update.version);
  auto records =
      builder.initRecords(static_cast<unsigned>(update.records.size()));
  std::copy(update.records.begin(), update.records.end(),
            records.asChars().begin());
  if (update.vouch) {
    auto vouch = builder.initVouch();
    vouch.setStamp(update.vouch->stamp);
    vouch.setHeld(NanosOf(update.vouch->held));
    vouch.setAge(NanosOf(update.vouch->age));
  }
}

void Write(const StateStamp& stamp, schema::PeerMessage::Builder message) {
  message.initStateStamp().setStamp(stamp.stamp);
}

void WriteNeeds(const QuotaWant& want, schema::QuotaWant::Builder builder) {
  if (want.needs.empty()) {
    return;
  }
  auto rows = builder.initNeeds(static_cast<unsigned>(want.needs.size()));
  for (unsigned i = 0; i < want.needs.size(); ++i) {
    const CreditNeed& need = want.needs[i].need;
    rows[i].setTicket(want.needs[i].ticket);
    rows[i].setTrafficClass(
        static_cast<schema::TrafficClass>(need.traffic_class));
    rows[i].setUntilTarget(NanosOf(std::max(need.until_target, Duration(0))));
    rows[i].setTimeLeft(NanosOf(std::max(need.time_left, Duration(0))));
    rows[i].setReturning(need.is_returning);
  }
}

void WriteOutcomes(const QuotaGrant& grant,
                   schema::QuotaGrant::Builder builder) {
  builder.setHeld(grant.held);
  if (grant.outcomes.empty()) {
    return;
  }
  auto rows =
      builder.initOutcomes(static_cast<unsigned>(grant.outcomes.size()));
  for (unsigned i = 0; i < grant.outcomes.size(); ++i) {
    rows[i].setTicket(grant.outcomes[i].ticket);
    rows[i].setGranted(grant.outcomes[i].is_granted);
    rows[i].setRetryAfter(NanosOf(grant.outcomes[i].retry_after));
  }
}

void Write(const QuotaRequest& request, schema::PeerMessage::Builder message) {
  auto builder = message.initQuotaRequest();
  builder.setNumber(request.number);
  builder.setOfLender(request.of_lender);
  builder.setLeaseEnd(request.lease_end.offset);
  builder.setLeaseEra(request.lease_end.era);
  builder.setLeaseLeft(NanosOf(request.lease_left));
  auto wants = builder.initWants(static_cast<unsigned>(request.wants.size()));
  for (unsigned i = 0; i < request.wants.size(); ++i) {
    wants[i].setTeam(request.wants[i].team);
    wants[i].setWanted(request.wants[i].wanted);
    WriteNeeds(request.wants[i], wants[i]);
  }
  auto returns =
      builder.initReturns(static_cast<unsigned>(request.returns.size()));
  for (unsigned i = 0; i < request.returns.size(); ++i) {
    returns[i].setTeam(request.returns[i].team);
    returns[i].setCount(request.returns[i].count);
    returns[i].setLentAt(request.returns[i].lent_at);
  }
}

void Write(const QuotaAnswer& answer, schema::PeerMessage::Builder message) {
  auto builder = message.initQuotaAnswer();
  builder.setNumber(answer.number);
  builder.setLends(answer.lends);
  builder.setLentAt(answer.lent_at);
  auto grants = builder.initGrants(static_cast<unsigned>(answer.grants.size()));
  for (unsigned i = 0; i < answer.grants.size(); ++i) {
    grants[i].setTeam(answer.grants[i].team);
    grants[i].setGranted(answer.grants[i].granted);
    grants[i].setRetryAfter(NanosOf(answer.grants[i].retry_after));
    WriteOutcomes(answer.grants[i], grants[i]);
  }
}

void Write(const StateQuestion& question,
           schema::PeerMessage::Builder message) {
  auto builder = message.initStateQuestion();
  builder.setStamp(question.stamp);
  builder.setCatchesUp(question.catches_up);
  builder.setNewest(question.newest);
  auto wanted =
      builder.initWanted(static_cast<unsigned>(question.wanted.size()));
  for (unsigned i = 0; i < question.wanted.size(); ++i) {
    wanted[i].setTopic(question.wanted[i].topic);
    wanted[i].setFrom(question.wanted[i].from.offset);
    wanted[i].setFromEra(question.wanted[i].from.era);
  }
}

void Write(const StateDeclined& declined,
           schema::PeerMessage::Builder message) {
  message.initStateDeclined().setLater(declined.later);
}

void Write(const WriteRequest& request, schema::PeerMessage::Builder message) {
  auto builder = message.initWriteRequest();
  builder.setTopic(request.topic);
  builder.setNumber(request.number);
  auto record =
      builder.initRecord(static_cast<unsigned>(request.record.size()));
  std::copy(request.record.begin(), request.record.end(),
            record.asChars().begin());
}

void Write(const WriteAnswer& answer, schema::PeerMessage::Builder message) {
  auto builder = message.initWriteAnswer();
  builder.setNumber(answer.number);
  builder.setWritten(answer.written);
}

}  // namespace

void WriteMessage(const PeerMessage& message,
                  schema::PeerMessage::Builder builder) {
  std::visit([&builder](const auto& value) { Write(value, builder); }, message);
}

}  // namespace basilsill::wire

#include "samples.h"

namespace basilsill::wire {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

Hello SampleHello() {
  Hello hello;
  hello.role = LinkRole::kControl;
  hello.vm = "lyulin-1";
  hello.incarnation = 0x1234567890abcdef;
  hello.worker = 3;
  hello.stream_window = 65536;
  hello.max_streams = 128;
  hello.data_centre = "lyulin";
  hello.control = {"10.0.0.1", 7200};
  hello.leaving = true;
  hello.workers = {{"10.0.0.1", 7201}, {"fe80::1", 7202}};
  return hello;
}

Summary SampleSummary() {
  Summary summary;
  summary.notices = {{7, true, std::chrono::seconds(0)},
                     {8, false, std::chrono::seconds(3)}};
  summary.shard.shard = 77;
  summary.shard.slots = 128;
  summary.shard.busy = 127;
  summary.shard.queued = 4096;
  summary.shard.service_time = Duration(5'000'123);
  summary.shard.wait = limits::kMaxPeerDuration;
  return summary;
}

Heartbeat SampleHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.incarnation = 9;
  heartbeat.applied_offset = 1'000'000;
  heartbeat.state = VmState::kLeaving;
  heartbeat.vm_list_version = 42;
  heartbeat.answer_wanted = true;
  heartbeat.crashes = {{1, 2, microseconds(3), 2, {7, 8}},
                       {4, 5, microseconds(6), 0, {}}};
  heartbeat.rate_limits = {{1, 2, true, 1.7}, {3, 4, false, 0}};
  heartbeat.unreachable = {"lyulin", "druzhba"};
  heartbeat.reached = {"mladost"};
  return heartbeat;
}

Open LargestOpen() {
  Open open = SampleOpen();
  open.stream = {LinkSide::kAcceptor, limits::kMaxStreamsPerLink - 1,
                 0x7fffffff};
  open.service = std::string(limits::kMaxNameLength, 's');
  open.target = "/" + std::string(limits::kMaxHeaderBytes - 1, 't');
  open.headers = {};
  for (size_t i = 0; i < limits::kMaxHeaderFields; ++i) {
    const size_t share = limits::kMaxPeerHeaderBytes / limits::kMaxHeaderFields;
    open.headers.Append("n", std::string(share - 1, 'v'));
  }
  open.body = std::string(limits::kMaxInlineBodyBytes, '\0');
  open.framing = {BodyKind::kKnown, limits::kMaxBodyBytes};
  open.end = false;
  return open;
}

Answer EmptyAnswer() {
  Answer answer;
  answer.stream.index = 0;
  answer.status = 204;
  answer.end = true;
  return answer;
}

}  // namespace

HeaderList SampleHeaders(size_t count) {
  HeaderList headers;
  for (size_t i = 0; i < count; ++i) {
    headers.Append("X-Header-Name-" + std::to_string(i),
                   "a value of ordinary length, " + std::to_string(i));
  }
  return headers;
}

Open SampleOpen() {
  Open open;
  open.stream = {LinkSide::kConnector, 17, 5};
  open.shard = 0xfedcba9876543210;
  open.service = "banklevel";
  open.team = "rodopa";
  open.rule = "levels";
  open.traffic_class = TrafficClass::kUrgent;
  open.deadline = microseconds(1'500'000);
  open.idempotent = true;
  open.hedge = true;
  open.once = OnceClaim{{1, 2}, 3};
  open.fingerprint = 0xabcdef;
  open.attempts_left = 2;
  open.sends = 1;
  open.max_wait = Duration(3'000'001);
  open.good_for = std::chrono::microseconds(250'001);
  open.method = "POST";
  open.target = "/banks/17/level?unit=percent";
  open.headers = SampleHeaders(10);
  open.framing = {BodyKind::kKnown, 5};
  open.body = "hello";
  open.end = true;
  return open;
}

Answer SampleAnswer() {
  Answer answer;
  answer.stream = {LinkSide::kConnector, 17, 5};
  answer.status = 200;
  answer.phrase = "Fine";
  answer.headers = SampleHeaders(10);
  answer.framing = {BodyKind::kStream, 0};
  answer.body = "part of it";
  return answer;
}

std::vector<PeerMessage> SampleMessages() {
  const StreamId stream{LinkSide::kAcceptor, 3, 4};
  const Bytes chunk(limits::kBodyChunkBytes, 'x');
  return {
      SampleHello(),
      SampleOpen(),
      LargestOpen(),
      Data{stream, "some bytes"},
      Data{stream, chunk},
      End{stream, SampleHeaders(2)},
      End{stream, {}},
      Credit{stream, 65536},
      SampleAnswer(),
      EmptyAnswer(),
      Refused{stream, Refusal::kQueueFull, true, microseconds(250'000), 2},
      Reset{stream, Refusal::kUpstreamDied},
      Cancel{stream},
      Withdraw{stream},
      SampleSummary(),
      GoAway{},
      SampleHeartbeat(),
      SnapshotRequest{10, 20},
      SnapshotChunk{10, 20, limits::kBodyChunkBytes + 20, chunk},
      StateNews{1, LogPosition(7), LogPosition(9), "some bytes", false, false},
      StateNews{2, LogPosition(0), LogPosition(9), {}, true, false},
      StateNews{2, LogPosition(0), LogPosition(9), "a part", true, true},
      StateQuestion{{{0, LogPosition(0)}, {2, LogPosition(17)}}},
      StateQuestion{},
      StateDeclined{true},
      WriteRequest{2, 3, "a record"},
      WriteAnswer{3, true},
      StateNews{0, LogPosition(7, 1), LogPosition(4, 2), "b", false, false,
                FreshnessVouch{9, milliseconds(3), milliseconds(70)}, true,
                true, 31},
      StateQuestion{{{0, LogPosition(3, 2)}}, 12, true, true},
      StateStamp{11},
      QuotaRequest{5,
                   true,
                   {{1, 2, {}}, {3, 4, {}}},
                   {{1, 1, 99}},
                   LogPosition(77, 3),
                   milliseconds(2500)},
      QuotaRequest{6,
                   false,
                   {{1,
                     2,
                     {{8,
                       {TrafficClass::kUrgent, milliseconds(140),
                        std::chrono::seconds(3), false}},
                      {9,
                       {TrafficClass::kBackground, milliseconds(0),
                        std::chrono::seconds(1), true}}}}},
                   {}},
      QuotaAnswer{6,
                  true,
                  7,
                  {{1,
                    1,
                    milliseconds(0),
                    {{8, true, milliseconds(0)}, {9, false, milliseconds(30)}},
                    3}}},
      QuotaAnswer{
          5,
          true,
          98,
          {{1, 2, milliseconds(30), {}, 0}, {3, 0, milliseconds(1000), {}, 0}}},
  };
}

std::string BytesOf(const FrameBuffer& buffer) {
  std::vector<std::span<const char>> parts;
  buffer.Gather(parts);
  std::string bytes;
  for (const std::span<const char> part : parts) {
    bytes.append(part.data(), part.size());
  }
  return bytes;
}

std::string BytesOf(std::span<const PeerMessage> messages) {
  FrameEncoder encoder;
  FrameBuffer buffer;
  for (const PeerMessage& message : messages) {
    encoder.Encode(message, buffer).value();
  }
  return BytesOf(buffer);
}

}  // namespace basilsill::wire

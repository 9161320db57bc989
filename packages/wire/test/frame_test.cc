// Tests of the encoder and the decoder, also with split and corrupted input.

#include "basilsill/wire/frame.h"

#include <algorithm>
#include <cstring>

#include "samples.h"

#include <CppUTest/TestHarness.h>

namespace basilsill::wire {
namespace {

/// @returns the first eight octets of a frame, which are its two sizes.
std::string PrefixOf(uint32_t message_size, uint32_t payload_size) {
  std::string prefix(8, '\0');
  std::memcpy(prefix.data(), &message_size, 4);
  std::memcpy(prefix.data() + 4, &payload_size, 4);
  return prefix;
}

FailureKind FailureOf(std::string_view bytes) {
  FrameDecoder decoder;
  std::vector<PeerMessage> messages;
  const Result<void> result = decoder.Decode(bytes, messages);
  return result ? FailureKind::kCount : result.error().kind;
}

FailureKind EncodeFailure(PeerMessage message) {
  FrameEncoder encoder;
  FrameBuffer buffer;
  const Result<void> result = encoder.Encode(std::move(message), buffer);
  CHECK_EQUAL(0, buffer.size());
  return result ? FailureKind::kCount : result.error().kind;
}

}  // namespace

TEST_GROUP(Frame) {
  FrameEncoder encoder;
  FrameBuffer buffer;
  FrameDecoder decoder;
  std::vector<PeerMessage> received;
};

TEST(Frame, Decode_EachKindOfMessage_EqualsEncodedMessage) {
  for (const PeerMessage& message : SampleMessages()) {
    CHECK(this->encoder.Encode(message, this->buffer).has_value());
  }
  CHECK(
      this->decoder.Decode(BytesOf(this->buffer), this->received).has_value());
  CHECK(this->received == SampleMessages());
  CHECK_FALSE(this->decoder.in_frame());
}

TEST(Frame, Decode_SplitAtAnyByte_GivesTheSameMessages) {
  const std::vector<PeerMessage> messages = SampleMessages();
  for (const PeerMessage& message : messages) {
    const std::string bytes = BytesOf(std::span(&message, 1));
    const size_t step = std::max<size_t>(1, bytes.size() / 1024);
    for (size_t cut = 0; cut < bytes.size(); cut += step) {
      FrameDecoder fresh;
      std::vector<PeerMessage> out;
      CHECK(fresh.Decode(std::span(bytes).first(cut), out).has_value());
      CHECK(out.empty());
      CHECK_EQUAL(cut > 0, fresh.in_frame());
      CHECK(fresh.Decode(std::span(bytes).subspan(cut), out).has_value());
      CHECK_EQUAL(1, out.size());
      CHECK(out.front() == message);
    }
  }
}

TEST(Frame, Decode_FedByteByByte_GivesTheSameMessages) {
  const std::string bytes = BytesOf(SampleMessages());
  for (const char& byte : bytes) {
    CHECK(
        this->decoder.Decode(std::span(&byte, 1), this->received).has_value());
  }
  CHECK(this->received == SampleMessages());
}

TEST(Frame, Encode_LargePayload_IsNotCopied) {
  Data data{{LinkSide::kConnector, 1, 1}, Bytes(limits::kBodyChunkBytes, 'x')};
  const char* place = data.bytes.data();
  CHECK(this->encoder.Encode(std::move(data), this->buffer).has_value());
  std::vector<std::span<const char>> parts;
  this->buffer.Gather(parts);
  CHECK_EQUAL(2, parts.size());
  POINTERS_EQUAL(place, parts.back().data());
}

TEST(Frame, Decode_SizesAboveTheLimit_FailsBeforeTheFrame) {
  const auto most = static_cast<uint32_t>(limits::kMaxFrameBytes);
  CHECK(FailureOf(PrefixOf(most + 8, 0)) == FailureKind::kOversizedFrame);
  CHECK(FailureOf(PrefixOf(8, most)) == FailureKind::kOversizedFrame);
  CHECK(FailureOf(PrefixOf(UINT32_MAX - 7, UINT32_MAX)) ==
        FailureKind::kOversizedFrame);
  CHECK(FailureOf(PrefixOf(most, 0)) == FailureKind::kCount);
}

TEST(Frame, Decode_OtherProtocol_Fails) {
  CHECK(FailureOf("GET / HTTP/1.1\r\n") == FailureKind::kOversizedFrame);
  CHECK(FailureOf(PrefixOf(0, 0)) == FailureKind::kMalformedFrame);
  CHECK(FailureOf(PrefixOf(12, 0)) == FailureKind::kMalformedFrame);
}

TEST(Frame, Decode_AfterAFailure_FailsTheSame) {
  const std::string bad = PrefixOf(12, 0);
  const std::string good = BytesOf(SampleMessages());
  CHECK_FALSE(this->decoder.Decode(bad, this->received).has_value());
  const Result<void> again = this->decoder.Decode(good, this->received);
  CHECK(again.error().kind == FailureKind::kMalformedFrame);
  CHECK(this->received.empty());
}

TEST(Frame, Decode_HelloOfAnotherVersion_IsAVersionMismatch) {
  Hello hello;
  hello.vm = "lyulin-1";
  hello.version = kProtocolVersion + 1;
  const PeerMessage message = hello;
  CHECK(FailureOf(BytesOf(std::span(&message, 1))) ==
        FailureKind::kVersionMismatch);
}

TEST(Frame, Decode_PayloadAfterMessageWithoutOne_Fails) {
  const PeerMessage message = GoAway{};
  std::string bytes = BytesOf(std::span(&message, 1));
  bytes[4] = 1;
  CHECK(FailureOf(bytes + "x") == FailureKind::kMalformedFrame);
}

// Failure: a faulty peer or a bit flip lets a header value with a line break
// pass. An upstream would parse it as two headers, or as the start of a second
// request (request smuggling).
TEST(Frame, Encode_HeadWithLineBreak_Fails) {
  const HeaderView fields[] = {{"X-Note", "a\r\nHost: other"},
                               {"X-Note", "a\nb"},
                               {"X-Note", "\r"},
                               {"", "value"},
                               {"X Note", "value"},
                               {"X-Note:", "value"},
                               {"X\r\nY", "value"}};
  for (const HeaderView& field : fields) {
    Open open = SampleOpen();
    open.headers.Append(field.name, field.value);
    CHECK(EncodeFailure(open) == FailureKind::kOutOfRange);
  }
  for (const char* target : {"", "/a b", "/a\r\nb"}) {
    Open open = SampleOpen();
    open.target = target;
    CHECK(EncodeFailure(open) == FailureKind::kOutOfRange);
  }
}

TEST(Frame, Encode_FieldsBeyondTheirLimits_Fails) {
  const StreamId stream{LinkSide::kConnector, 1, 1};
  Open long_team = SampleOpen();
  long_team.team = std::string(limits::kMaxNameLength + 1, 't');
  Open many_fields = SampleOpen();
  many_fields.headers = SampleHeaders(limits::kMaxHeaderFields + 1);
  Answer overrun = SampleAnswer();
  overrun.framing = {BodyKind::kKnown, overrun.body.size() - 1};
  Answer short_of_length = SampleAnswer();
  short_of_length.framing = {BodyKind::kKnown, overrun.body.size() + 1};
  short_of_length.end = true;
  Answer not_none = SampleAnswer();
  not_none.framing = {BodyKind::kNone, 0};
  not_none.end = true;
  const PeerMessage messages[] = {
      long_team,
      many_fields,
      overrun,
      short_of_length,
      not_none,
      Cancel{{LinkSide::kConnector, limits::kMaxStreamsPerLink, 1}},
      Data{stream, Bytes(limits::kBodyChunkBytes + 1, 'x')},
      Data{stream, {}},
      Refused{stream, Refusal::kCount, true, {}}};
  for (const PeerMessage& message : messages) {
    CHECK(EncodeFailure(message) == FailureKind::kOutOfRange);
  }
}

// Failure: the answer of another VM has a status that HTTP does not have, and
// the caller gets it as an answer.
TEST(Frame, Encode_StatusOfNoFinalAnswer_Fails) {
  for (const uint16_t status : {0, 99, 100, 101, 199, 600, 999, 1000}) {
    Answer answer = SampleAnswer();
    answer.status = status;
    CHECK(EncodeFailure(answer) == FailureKind::kOutOfRange);
  }
}

TEST(Frame, Encode_TimesOutOfRange_AreClamped) {
  Open open = SampleOpen();
  open.deadline = std::chrono::microseconds(-1);
  open.max_wait = Duration::max();
  Summary summary;
  summary.shard.wait = Duration::max();
  CHECK(this->encoder.Encode(open, this->buffer).has_value());
  CHECK(this->encoder.Encode(summary, this->buffer).has_value());
  CHECK(
      this->decoder.Decode(BytesOf(this->buffer), this->received).has_value());
  CHECK(std::get<Open>(this->received[0]).deadline.count() == 0);
  CHECK(std::get<Open>(this->received[0]).max_wait == limits::kMaxPeerDuration);
  CHECK(std::get<Summary>(this->received[1]).shard.wait ==
        limits::kMaxPeerDuration);
}

}  // namespace basilsill::wire

#include <bit>
#include <cstring>
#include <exception>
#include <string>
#include <utility>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "basilsill/wire/frame.h"
#include "message_check.h"
#include "message_writer.h"

namespace basilsill::wire {
namespace {

/// Large enough for nearly all messages. Larger ones use further segments.
constexpr size_t kScratchWords = 512;

static_assert(std::endian::native == std::endian::little,
              "sizes are written to the frame as they are in memory");

using Segments = kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>;

Failure Oversized(size_t size) {
  return {FailureKind::kOversizedFrame, "/",
          "frame of " + std::to_string(size) + " bytes, must be at most " +
              std::to_string(limits::kMaxFrameBytes)};
}

void AppendFrame(Segments segments, Bytes payload, FrameBuffer& buffer) {
  const size_t message_size =
      capnp::computeSerializedSizeInWords(segments) * sizeof(capnp::word);
  const uint32_t sizes[] = {static_cast<uint32_t>(message_size),
                            static_cast<uint32_t>(payload.size())};
  const std::span<char> space = buffer.Extend(sizeof(sizes) + message_size);
  std::memcpy(space.data(), sizes, sizeof(sizes));
  kj::ArrayOutputStream stream(kj::arrayPtr(
      reinterpret_cast<kj::byte*>(space.data()) + sizeof(sizes), message_size));
  capnp::writeMessage(stream, segments);
  buffer.AppendPayload(std::move(payload));
}

}  // namespace

/// Memory for the first segment of a message. The message builder requires it
/// to be zero, and zeroes it again when it is destroyed.
struct FrameEncoder::Scratch {
  capnp::word words[kScratchWords] = {};
};

FrameEncoder::FrameEncoder() : scratch(std::make_unique<Scratch>()) {}
FrameEncoder::FrameEncoder(FrameEncoder&&) noexcept = default;
FrameEncoder& FrameEncoder::operator=(FrameEncoder&&) noexcept = default;
FrameEncoder::~FrameEncoder() = default;

Result<void> FrameEncoder::Encode(PeerMessage message, FrameBuffer& buffer) {
  Result<void> checked = CheckMessage(message);
  if (!checked) {
    return checked;
  }
  return this->EncodeChecked(std::move(message), buffer);
}

Result<void> FrameEncoder::EncodeChecked(PeerMessage message,
                                         FrameBuffer& buffer) {
  Bytes* payload = PayloadOf(message);
  try {
    capnp::MallocMessageBuilder builder(
        kj::arrayPtr(this->scratch->words, kScratchWords));
    WriteMessage(message, builder.initRoot<schema::PeerMessage>());
    const Segments segments = builder.getSegmentsForOutput();
    const size_t size =
        capnp::computeSerializedSizeInWords(segments) * sizeof(capnp::word) +
        (payload == nullptr ? 0 : payload->size());
    if (size > limits::kMaxFrameBytes) {
      return Oversized(size);
    }
    AppendFrame(segments, payload == nullptr ? Bytes() : std::move(*payload),
                buffer);
  } catch (const kj::Exception& error) {
    // Uses only the description: when the whole exception is converted to text,
    // the library starts a process to resolve its stack trace.
    return Failure{FailureKind::kOutOfRange, "/",
                   error.getDescription().cStr()};
  }
  return boost::outcome_v2::success();
}

}  // namespace basilsill::wire

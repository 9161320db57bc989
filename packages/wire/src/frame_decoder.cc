#include <algorithm>
#include <cstring>
#include <string>
#include <utility>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include "basilsill/wire/frame.h"
#include "message_check.h"
#include "message_reader.h"

namespace basilsill::wire {
namespace {

constexpr size_t kWordBytes = sizeof(capnp::word);

/// The most deeply nested message has a list of structs in a struct in the
/// root.
constexpr int kNestingLimit = 8;

/// Every field of a message is read only once, so twice the size of the largest
/// frame is enough for any valid message. The limit stops messages with many
/// pointers to the same place.
constexpr uint64_t kTraversalLimitWords =
    2 * limits::kMaxFrameBytes / kWordBytes;

Failure Malformed(std::string detail) {
  return {FailureKind::kMalformedFrame, "/", std::move(detail)};
}

/// @returns the message in `words`. Throws kj::Exception or FailureError.
PeerMessage ParseMessage(std::span<const uint64_t> words) {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kTraversalLimitWords;
  options.nestingLimit = kNestingLimit;
  const auto* start = reinterpret_cast<const capnp::word*>(words.data());
  capnp::FlatArrayMessageReader reader(kj::arrayPtr(start, words.size()),
                                       options);
  if (reader.getEnd() != start + words.size()) {
    throw FailureError(
        Malformed("trailing words after the end of the message"));
  }
  return ReadMessage(reader.getRoot<schema::PeerMessage>());
}

/// @returns the message in `words` together with `payload`; kMalformedFrame or
/// kVersionMismatch if it is not valid.
Result<PeerMessage> ReadFrame(std::span<const uint64_t> words, Bytes payload) {
  try {
    PeerMessage message = ParseMessage(words);
    Bytes* place = PayloadOf(message);
    if (place == nullptr && !payload.empty()) {
      return Malformed("payload after a message of a kind that has none");
    }
    if (place != nullptr) {
      *place = std::move(payload);
    }
    const Result<void> checked = CheckMessage(message);
    if (!checked) {
      return Failure{FailureKind::kMalformedFrame, checked.error().path,
                     checked.error().detail};
    }
    return message;
  } catch (const kj::Exception& error) {
    // Uses only the description: when the whole exception is converted to text,
    // the library starts a process to resolve its stack trace.
    return Malformed(error.getDescription().cStr());
  } catch (const FailureError& error) {
    return error.failure();
  }
}

}  // namespace

Result<void> FrameDecoder::Decode(std::span<const char> bytes,
                                  std::vector<PeerMessage>& messages) {
  while (!this->failure && !bytes.empty()) {
    if (this->prefix_filled < kPrefixBytes) {
      bytes = this->TakePrefix(bytes);
    } else if (this->message_filled < this->message_size) {
      bytes = this->TakeMessage(bytes);
    } else {
      bytes = this->TakePayload(bytes);
    }
    if (!this->failure && this->IsFrameComplete()) {
      this->FinishFrame(messages);
    }
  }
  if (this->failure) {
    return *this->failure;
  }
  return boost::outcome_v2::success();
}

std::span<const char> FrameDecoder::TakePrefix(std::span<const char> bytes) {
  const size_t count =
      std::min(bytes.size(), kPrefixBytes - this->prefix_filled);
  std::memcpy(this->prefix.data() + this->prefix_filled, bytes.data(), count);
  this->prefix_filled += count;
  if (this->prefix_filled == kPrefixBytes) {
    this->BeginFrame();
  }
  return bytes.subspan(count);
}

std::span<const char> FrameDecoder::TakeMessage(std::span<const char> bytes) {
  const size_t count =
      std::min(bytes.size(), this->message_size - this->message_filled);
  auto* space = reinterpret_cast<char*>(this->words.data());
  std::memcpy(space + this->message_filled, bytes.data(), count);
  this->message_filled += count;
  return bytes.subspan(count);
}

std::span<const char> FrameDecoder::TakePayload(std::span<const char> bytes) {
  const size_t count =
      std::min(bytes.size(), this->payload_size - this->payload.size());
  this->payload.append(bytes.data(), count);
  return bytes.subspan(count);
}

void FrameDecoder::BeginFrame() {
  uint32_t sizes[2];
  std::memcpy(sizes, this->prefix.data(), sizeof(sizes));
  this->message_size = sizes[0];
  this->payload_size = sizes[1];
  // Both sizes have 32 bits and are added in 64 bits, so the sum can't overflow
  // to a small number.
  const size_t size = this->message_size + this->payload_size;
  if (size > limits::kMaxFrameBytes) {
    this->failure = Failure{FailureKind::kOversizedFrame, "/",
                            "frame of " + std::to_string(size) +
                                " bytes, must be at most " +
                                std::to_string(limits::kMaxFrameBytes)};
    return;
  }
  if (this->message_size == 0 || this->message_size % kWordBytes != 0) {
    this->failure =
        Malformed("message size is not a positive multiple of 8 bytes");
    return;
  }
  this->words.resize(this->message_size / kWordBytes);
  this->message_filled = 0;
  this->payload.clear();
  this->payload.reserve(this->payload_size);
}

void FrameDecoder::FinishFrame(std::vector<PeerMessage>& messages) {
  Result<PeerMessage> message =
      ReadFrame(this->words, std::exchange(this->payload, {}));
  if (!message) {
    this->failure = message.error();
    return;
  }
  messages.push_back(std::move(message).value());
  this->prefix_filled = 0;
}

bool FrameDecoder::IsFrameComplete() const {
  return this->prefix_filled == kPrefixBytes &&
         this->message_filled == this->message_size &&
         this->payload.size() == this->payload_size;
}

}  // namespace basilsill::wire

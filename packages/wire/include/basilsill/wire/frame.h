#ifndef BASILSILL_WIRE_FRAME_H_
#define BASILSILL_WIRE_FRAME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "basilsill/base/error.h"
#include "basilsill/wire/message.h"

/// Encodes messages as frames and decodes them. Layout of a frame:
///
///   4 octets  size of the message, little-endian, a multiple of 8
///   4 octets  size of the payload, little-endian
///   message   Cap'n Proto, standard framing (schema/peer.capnp)
///   payload   raw octets of a body
///
/// Message and payload together have at most limits::kMaxFrameBytes. The
/// payload is not part of the Cap'n Proto message, so that a chunk of a body is
/// written to the socket without being copied, and is copied only once when
/// received.
///
/// The classes in this file are not thread-safe and do not throw.

namespace basilsill::wire {

/// Buffer of frames to be written. Small parts are stored in one arena; large
/// payloads are stored separately, without a copy.
class FrameBuffer {
 public:
  /// Payloads up to this size are copied into the arena, which is cheaper than
  /// writing them from a separate buffer.
  static constexpr size_t kCopiedPayloadBytes = 2 * 1024;

  /// Adds `count` octets to the arena.
  /// @returns the space to fill; valid until the next call.
  std::span<char> Extend(size_t count);

  /// Adds a payload. Copies it if it has at most kCopiedPayloadBytes, otherwise
  /// keeps it as it is.
  void AppendPayload(Bytes payload);

  /// Replaces the content of `parts` by the parts of this buffer in order, for
  /// a scatter/gather write. The spans are valid until the buffer changes.
  void Gather(std::vector<std::span<const char>>& parts) const;

  /// Removes all frames, but keeps the memory of the arena for reuse.
  void Clear();

  size_t size() const { return this->total; }
  bool empty() const { return this->total == 0; }

 private:
  /// A payload that follows the first `arena_end` octets of the arena.
  struct PlacedPayload {
    size_t arena_end = 0;
    Bytes bytes;
  };

  std::string arena;
  std::vector<PlacedPayload> payloads;
  size_t total = 0;
};

/// Encodes messages as frames. Reuses its scratch space between messages.
class FrameEncoder {
 public:
  FrameEncoder();
  FrameEncoder(FrameEncoder&&) noexcept;
  FrameEncoder& operator=(FrameEncoder&&) noexcept;
  ~FrameEncoder();

  /// Appends `message` to `buffer`. Durations are clamped to the range from 0
  /// to limits::kMaxPeerDuration.
  /// @returns kOutOfRange if the protocol does not allow the value of a field,
  /// kOversizedFrame if the message is too large. On failure `buffer` is not
  /// changed.
  Result<void> Encode(PeerMessage message, FrameBuffer& buffer);

  /// Like Encode, but does not check the fields: they were checked when the
  /// message was queued.
  Result<void> EncodeChecked(PeerMessage message, FrameBuffer& buffer);

 private:
  struct Scratch;

  std::unique_ptr<Scratch> scratch;
};

/// Decodes messages from a stream of bytes, which may be split at any position.
/// Buffers at most one frame.
class FrameDecoder {
 public:
  /// Consumes `bytes` and appends the messages that they complete.
  /// @returns kMalformedFrame, kOversizedFrame or kVersionMismatch. After a
  /// failure it is unknown where the next frame begins, so the link must be
  /// closed. Every later call returns the same failure.
  Result<void> Decode(std::span<const char> bytes,
                      std::vector<PeerMessage>& messages);

  /// @returns true if part of a frame has been received, but not all of it.
  bool in_frame() const { return this->prefix_filled > 0; }

 private:
  static constexpr size_t kPrefixBytes = 8;

  std::span<const char> TakePrefix(std::span<const char> bytes);
  std::span<const char> TakeMessage(std::span<const char> bytes);
  std::span<const char> TakePayload(std::span<const char> bytes);
  void BeginFrame();
  void FinishFrame(std::vector<PeerMessage>& messages);
  bool IsFrameComplete() const;

  std::array<char, kPrefixBytes> prefix{};
  size_t prefix_filled = 0;
  std::vector<uint64_t> words;  ///< The message, aligned for its reader.
  size_t message_size = 0;
  size_t message_filled = 0;
  Bytes payload;
  size_t payload_size = 0;
  std::optional<Failure> failure;
};

}  // namespace basilsill::wire

#endif  // BASILSILL_WIRE_FRAME_H_

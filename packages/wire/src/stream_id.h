#ifndef BASILSILL_WIRE_SRC_STREAM_ID_H_
#define BASILSILL_WIRE_SRC_STREAM_ID_H_

#include <cstdint>

#include "basilsill/wire/message.h"

/// Conversion of stream ids to and from their 64-bit form in the schema.

namespace basilsill::wire {

inline constexpr unsigned kOpenerShift = 63;
inline constexpr unsigned kGenerationShift = 32;
inline constexpr uint32_t kMaxGeneration = 0x7fffffff;

constexpr uint64_t PackStreamId(const StreamId& stream) {
  const uint64_t opener = stream.opener == LinkSide::kAcceptor ? 1 : 0;
  const uint64_t generation = stream.generation & kMaxGeneration;
  return opener << kOpenerShift | generation << kGenerationShift | stream.index;
}

constexpr StreamId UnpackStreamId(uint64_t packed) {
  StreamId stream;
  stream.opener =
      packed >> kOpenerShift == 0 ? LinkSide::kConnector : LinkSide::kAcceptor;
  stream.generation =
      static_cast<uint32_t>(packed >> kGenerationShift) & kMaxGeneration;
  stream.index = static_cast<uint32_t>(packed);
  return stream;
}

}  // namespace basilsill::wire

#endif  // BASILSILL_WIRE_SRC_STREAM_ID_H_

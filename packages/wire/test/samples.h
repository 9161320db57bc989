#ifndef BASILSILL_WIRE_TEST_SAMPLES_H_
#define BASILSILL_WIRE_TEST_SAMPLES_H_

#include <span>
#include <string>
#include <vector>

#include "basilsill/wire/frame.h"
#include "basilsill/wire/message.h"

/// Sample messages for the tests and the benchmark of this package.

namespace basilsill::wire {

/// @returns a header list with `count` fields of typical length.
HeaderList SampleHeaders(size_t count);

Open SampleOpen();
Answer SampleAnswer();

/// @returns one message of each kind with all of its fields set, and messages
/// at the limits of the protocol.
std::vector<PeerMessage> SampleMessages();

/// @returns the encoding of `messages`.
std::string BytesOf(std::span<const PeerMessage> messages);
std::string BytesOf(const FrameBuffer& buffer);

}  // namespace basilsill::wire

#endif  // BASILSILL_WIRE_TEST_SAMPLES_H_

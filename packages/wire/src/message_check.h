#ifndef BASILSILL_WIRE_SRC_MESSAGE_CHECK_H_
#define BASILSILL_WIRE_SRC_MESSAGE_CHECK_H_

#include "basilsill/base/error.h"
#include "basilsill/wire/message.h"

/// Validates the fields of messages. Both the encoder and the decoder use it,
/// so that no message is sent for which the peer would close the link.

namespace basilsill::wire {

/// @returns kOutOfRange with the path of the field if the protocol does not
/// allow the value of a field of `message`.
Result<void> CheckMessage(const PeerMessage& message);

/// @returns the octets of `message` that are sent as the payload of its frame,
/// or nullptr if messages of this kind have none.
Bytes* PayloadOf(PeerMessage& message);

}  // namespace basilsill::wire

#endif  // BASILSILL_WIRE_SRC_MESSAGE_CHECK_H_

#ifndef BASILSILL_WIRE_SRC_MESSAGE_READER_H_
#define BASILSILL_WIRE_SRC_MESSAGE_READER_H_

#include "basilsill/wire/message.h"
#include "peer.capnp.h"

namespace basilsill::wire {

/// Reads a message without its payload. The result is limited in size, but has
/// still to be validated with CheckMessage. Throws kj::Exception, or
/// FailureError of kind kMalformedFrame or kVersionMismatch.
PeerMessage ReadMessage(schema::PeerMessage::Reader reader);

}  // namespace basilsill::wire

#endif  // BASILSILL_WIRE_SRC_MESSAGE_READER_H_

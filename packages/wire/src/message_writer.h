#ifndef BASILSILL_WIRE_SRC_MESSAGE_WRITER_H_
#define BASILSILL_WIRE_SRC_MESSAGE_WRITER_H_

#include "basilsill/wire/message.h"
#include "peer.capnp.h"

namespace basilsill::wire {

/// Writes `message` without its payload to `builder`. `message` must have
/// passed CheckMessage. Throws kj::Exception.
void WriteMessage(const PeerMessage& message,
                  schema::PeerMessage::Builder builder);

}  // namespace basilsill::wire

#endif  // BASILSILL_WIRE_SRC_MESSAGE_WRITER_H_

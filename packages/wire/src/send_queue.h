#ifndef BASILSILL_WIRE_SRC_SEND_QUEUE_H_
#define BASILSILL_WIRE_SRC_SEND_QUEUE_H_

#include <cstddef>

#include <boost/intrusive/list.hpp>

#include "basilsill/base/error.h"
#include "basilsill/wire/frame.h"
#include "stream.h"

/// Queue of the frames to be written on a link, and scheduler of its streams.

namespace basilsill::wire {

class SendQueue {
 public:
  /// Queues an urgent frame, which is sent before any head or body of a stream:
  /// one that belongs to no stream, gives credit, or ends a stream.
  /// @returns the failure of the encoder.
  Result<void> PushUrgent(PeerMessage message);

  /// @returns true if the peer reads too slowly, so that the queued urgent
  /// frames exceed limits::kLinkControlBytes.
  bool IsOverflowing() const {
    return this->urgent.size() > limits::kLinkControlBytes;
  }

  /// Queues octets of `stream`'s body.
  void PushChunk(Stream& stream, Bytes bytes);

  /// Adds `stream` to the streams that wait for a turn, if it has frames to
  /// send and is not waiting already.
  void Schedule(Stream& stream);

  /// Drops all queued frames of `stream`.
  void Drop(Stream& stream);

  /// Moves the urgent frames to `out`, replacing its content.
  void TakeUrgent(FrameBuffer& out);

  /// Removes the next stream from the waiting ones.
  /// @returns the stream, or nullptr if no stream has frames to send.
  Stream* NextTurn();

  /// Appends one turn of `stream` to `out`: whatever is queued of its head, of
  /// its body up to limits::kBodyChunkBytes, and of its end. Schedules the
  /// stream again if more is queued.
  void Serve(Stream& stream, FrameBuffer& out);

  bool HasUrgent() const { return !this->urgent.empty(); }
  bool HasTurns() const { return !this->small.empty() || !this->large.empty(); }

  /// @returns the queued body octets of all streams.
  size_t queued_bytes() const { return this->total_bytes; }

 private:
  using TurnList = boost::intrusive::list<
      Stream,
      boost::intrusive::member_hook<Stream, Stream::Hook, &Stream::turn>,
      boost::intrusive::constant_time_size<false>>;

  void DemoteGrownStreams();
  Bytes PopChunk(Stream& stream);

  FrameEncoder encoder;
  FrameBuffer urgent;
  TurnList small;  ///< Streams whose known octets fit into one chunk.
  TurnList large;  ///< All other streams that wait for a turn.
  /// Octets sent for small streams in a row while large ones waited.
  size_t small_run_bytes = 0;
  size_t total_bytes = 0;
};

}  // namespace basilsill::wire

#endif  // BASILSILL_WIRE_SRC_SEND_QUEUE_H_

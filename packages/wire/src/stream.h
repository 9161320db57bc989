#ifndef BASILSILL_WIRE_SRC_STREAM_H_
#define BASILSILL_WIRE_SRC_STREAM_H_

#include <cstdint>
#include <memory>
#include <vector>

#include <boost/intrusive/list.hpp>

#include "basilsill/wire/message.h"

/// State of one stream of a link.

namespace basilsill::wire {

/// Progress of a body in one direction.
class BodyProgress {
 public:
  /// Starts the body. The head of the stream contains the first `first` octets.
  /// @param end Whether the head contains the complete body.
  void Begin(const BodyFraming& framing, size_t first, bool end) {
    this->known = framing.kind == BodyKind::kKnown;
    this->left = this->known ? framing.length - first : 0;
    this->is_ended = end;
  }

  /// Adds `count` octets.
  /// @returns false if the body has ended or would exceed its known length.
  bool Add(size_t count) {
    if (this->is_ended || (this->known && count > this->left)) {
      return false;
    }
    this->left -= this->known ? count : 0;
    return true;
  }

  /// Ends the body.
  /// @returns false if it has already ended or is shorter than its known
  /// length.
  bool End() {
    if (this->is_ended || (this->known && this->left > 0)) {
      return false;
    }
    this->is_ended = true;
    return true;
  }

  bool ended() const { return this->is_ended; }

  /// @returns the remaining octets of a body of known length, otherwise 0.
  uint64_t known_left() const { return this->left; }

 private:
  uint64_t left = 0;
  bool known = false;
  bool is_ended = false;
};

/// Sending side of a stream.
struct OutgoingHalf {
  std::unique_ptr<PeerMessage> head;  ///< Queued Open or Answer.
  std::vector<Bytes> chunks;          ///< Queued body, next chunk first.
  HeaderList trailers;
  BodyProgress body;         ///< Of the octets that were queued or sent.
  size_t queued_bytes = 0;   ///< Octets in `chunks`.
  size_t credit = 0;         ///< Octets that may still be queued.
  uint64_t sent_bytes = 0;   ///< Octets of the body sent, or in the head.
  bool begun = false;        ///< A head was queued.
  bool head_sent = false;    ///< The head was taken for writing.
  bool end_queued = false;   ///< An End is queued.
  bool wants_event = false;  ///< A kWritable event was requested.
};

/// Receiving side of a stream.
struct IncomingHalf {
  BodyProgress body;
  size_t window_left = 0;  ///< Octets that the peer may still send.
  size_t held = 0;         ///< Octets received but not consumed by the owner.
  size_t unreported = 0;   ///< Octets consumed for which no Credit was sent.
  bool begun = false;      ///< A head was received.
};

struct Stream {
  using Hook = boost::intrusive::list_member_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

  StreamId id;
  OutgoingHalf out;
  IncomingHalf in;
  Hook turn;  ///< Links the streams that have frames to send.
};

}  // namespace basilsill::wire

#endif  // BASILSILL_WIRE_SRC_STREAM_H_

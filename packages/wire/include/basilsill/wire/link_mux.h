#ifndef BASILSILL_WIRE_LINK_MUX_H_
#define BASILSILL_WIRE_LINK_MUX_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "basilsill/base/error.h"
#include "basilsill/base/time.h"
#include "basilsill/wire/frame.h"
#include "basilsill/wire/message.h"

/// State machine of one link between two nodes. It does no I/O: its owner feeds
/// it received bytes and time points, writes the bytes that it produces to the
/// socket, and handles its events.
///
/// A link begins with a Hello in each direction. After that, either side of a
/// data link opens streams, one for each request:
///
///   opener    Open  Data*  End  Withdraw       | Cancel
///   acceptor        Answer  Data*  End | Refused | Reset
///
/// A stream is closed when its answer has ended, or by Refused, Reset or
/// Cancel. Messages of a closed stream that were still in flight are dropped
/// when they arrive. A body of known length can be neither shorter nor longer.
///
/// Memory: the receiver of a body grants a flow-control window
/// (Hello::stream_window, then Credit for the octets that the receiving owner
/// reports as consumed), so that owner never holds more than one window per
/// stream. The sender queues at most limits::kStreamQueueBytes of a stream's
/// body, and at most limits::kMaxInlineBodyBytes of it while all streams
/// together have limits::kLinkQueueBytes queued. The head of a stream is
/// limited by the size of a frame (frame.h), the number of streams by
/// Hello::max_streams, and frames that belong to no open stream by
/// limits::kLinkControlBytes.
///
/// Fairness: streams whose body is not known to be longer than
/// limits::kBodyChunkBytes are sent first. Longer streams are served
/// round-robin with one chunk per turn, and get at least one of every four
/// chunks. A small answer therefore waits for at most one chunk of a long
/// answer.

namespace basilsill::wire {

struct LinkMuxOptions {
  LinkSide side = LinkSide::kConnector;
  Hello hello;  ///< Sent to the peer.
};

/// Progress of a request at the time at which its link was lost.
enum class StreamProgress : uint8_t {
  kNeverSent,  ///< No byte of it was taken for writing: it did not run.
  kSent,       ///< The peer may have received it; it is unknown whether it ran.
  kAnswering,  ///< Part of its answer was received; the answer is incomplete.
  kCount
};

enum class LinkEventKind : uint8_t {
  kReady,     ///< The peer's Hello was received; streams can be sent.
  kOpened,    ///< The peer opened a stream (Open).
  kAnswered,  ///< The head of an answer was received (Answer).
  kData,      ///< Octets of a body (Data); report them with Consumed.
  kEnded,     ///< A body is complete (End). Not emitted if a head has `end`.
  kRefused,   ///< The peer refused the request (Refused); the stream is closed.
  kReset,     ///< The answer was aborted (Reset); the stream is closed.
  kCancelled,  ///< The peer cancelled the stream, which is closed.
  kWithdrawn,  ///< The peer takes the request back, unless an upstream has it.
  kLost,       ///< The link can't continue the stream; it is closed.
  kWritable,   ///< Requested with AwaitWritable.
  kGoAway,     ///< The peer sent GoAway; the link accepts no new streams.
  kMessage,    ///< A message that belongs to no stream, such as Heartbeat.
  kCount
};

struct LinkEvent {
  LinkEventKind kind = LinkEventKind::kCount;
  StreamId stream;
  StreamProgress progress = StreamProgress::kCount;  ///< For kLost.
  PeerMessage message;  ///< The received message, for kinds that have one.
};

class SendQueue;
class StreamTable;
struct Stream;

/// One link. Not thread-safe; does not throw.
///
/// Calls for a stream fail with kNotFound if the stream is closed (the owner
/// may not have handled the event yet), and with kOutOfRange if the message is
/// not allowed in the state of the stream.
class LinkMux {
 public:
  /// @returns kOutOfRange if the Hello is not valid in the protocol.
  static Result<LinkMux> Create(TimePoint now, LinkMuxOptions options);

  LinkMux(LinkMux&&) noexcept;
  LinkMux& operator=(LinkMux&&) noexcept;
  ~LinkMux();

  // Input and output.

  /// Handles bytes that were read from the socket.
  /// @returns a failure of the decoder, kMalformedFrame if the peer violates
  /// the protocol, kLimitReached if the peer sends without reading, or kNetwork
  /// if the link was lost before. After a failure the link must be closed; call
  /// OnLost.
  Result<void> OnBytes(TimePoint now, std::span<const char> bytes);

  /// @returns true if TakeOutput would produce frames.
  bool HasOutput() const;

  /// Replaces the content of `out` by the next frames to write: first all
  /// urgent frames (those that belong to no stream, give credit or end a
  /// stream), then turns of streams until `out` has at least `target_bytes`.
  /// Write all of them before the next call. Keep `target_bytes` small, because
  /// the order of frames can't change any more once they are taken.
  void TakeOutput(TimePoint now,
                  FrameBuffer& out,
                  size_t target_bytes = limits::kBodyChunkBytes);

  /// The connection is lost. Closes each open stream with a kLost event; later
  /// calls fail.
  void OnLost();

  /// Replaces the content of `out` by the events since the last call.
  void TakeEvents(std::vector<LinkEvent>& out);

  // Streams opened by this side.

  /// Queues `open` and sets its `stream` to a new id. It is sent once the
  /// peer's Hello has been received.
  /// @returns the id; or kLimitReached if the peer accepts no further stream or
  /// the queue is full, kNetwork if the link accepts no streams any more,
  /// kOutOfRange if `open` is not valid. On failure nothing is sent.
  Result<StreamId> OpenStream(Open open);

  /// Closes the stream without waiting for its answer. No events follow, but
  /// earlier ones may not have been taken yet.
  void CancelStream(const StreamId& stream);

  /// Takes the request back, unless an upstream has it. A stream that was not
  /// sent yet is lost at once; for any other, the peer is asked.
  void WithdrawStream(const StreamId& stream);

  // Streams opened by the peer.

  /// Queues the head of an answer. Once the end of the answer is queued, the
  /// stream emits no further events.
  Result<void> SendAnswer(Answer answer);

  /// Closes the stream with a refusal instead of an answer.
  Result<void> Refuse(const Refused& refused);

  /// Aborts the answer. The queued part of it is dropped.
  Result<void> ResetStream(const Reset& reset);

  // Bodies, in both directions.

  /// @returns the number of octets that SendData accepts now; 0 if the stream
  /// is closed.
  size_t WritableBytes(const StreamId& stream) const;

  /// Requests one kWritable event as soon as WritableBytes is above 0.
  void AwaitWritable(const StreamId& stream);

  /// Queues octets of a body: at least one, and at most the smaller one of
  /// limits::kBodyChunkBytes and WritableBytes.
  /// @returns kLimitReached for another number of octets; nothing is queued
  /// then.
  Result<void> SendData(const StreamId& stream, Bytes bytes);

  /// Queues the end of a body.
  /// @returns kOutOfRange if the body is shorter than its known length.
  Result<void> SendEnd(const StreamId& stream, HeaderList trailers = {});

  /// The owner has consumed `bytes` octets of a body, received either as Data
  /// or with the head, so the peer may send as many more.
  void Consumed(const StreamId& stream, size_t bytes);

  // The link itself.

  /// Queues a message that belongs to no stream: a Summary on a data link; on a
  /// control link a Heartbeat, Snapshot..., State..., Write... or Quota...
  /// message.
  /// @returns kLimitReached if the peer reads too slowly, kOutOfRange if the
  /// message is not valid on this link, kNetwork if the link is lost.
  Result<void> Post(PeerMessage message);

  /// Sends GoAway: this side accepts and opens no further streams, and streams
  /// that it has not sent yet are lost. The peer answers with GoAway, so that
  /// no stream can be in flight any more once CanClose returns true.
  void SendGoAway();

  /// @returns true if both sides have sent GoAway, all streams are closed and
  /// all output has been taken. Once that output is written, the socket can be
  /// closed without loss.
  bool CanClose() const;

  /// @returns true if OpenStream may succeed.
  bool CanOpenStreams() const;

  bool ready() const { return this->peer_known; }
  const Hello& peer() const { return this->peer_hello; }
  size_t stream_count() const;

  /// @returns the time of the last traffic on the link, or kNever if the link
  /// has open streams or output.
  TimePoint idle_since() const;

  /// @returns the time at which bytes were last received, initially the time at
  /// which the link was created. Received bytes show that the peer is alive.
  TimePoint last_received() const { return this->received_at; }

 private:
  LinkMux(TimePoint now, LinkMuxOptions options);

  Result<void> Receive(PeerMessage message);
  Result<void> ReceiveFirst(const PeerMessage& message);
  Result<void> On(const Hello& hello);
  Result<void> On(Open open);
  Result<void> On(Data data);
  Result<void> On(End end);
  Result<void> On(const Credit& credit);
  Result<void> On(Answer answer);
  Result<void> OnHead(Stream& stream,
                      const BodyFraming& framing,
                      const Bytes& body,
                      bool end);
  Result<void> On(const Refused& refused);
  Result<void> On(const Reset& reset);
  Result<void> On(const Cancel& cancel);
  Result<void> On(const Withdraw& withdraw);
  Result<void> On(const GoAway& go_away);
  Result<void> OnPosted(PeerMessage message, LinkRole role);
  Result<void> On(const Summary& summary);
  Result<void> On(Heartbeat heartbeat);
  Result<void> On(const SnapshotRequest& request);
  Result<void> On(SnapshotChunk chunk);
  Result<void> On(StateNews update);
  Result<void> On(StateQuestion question);
  Result<void> On(const StateDeclined& declined);
  Result<void> On(WriteRequest request);
  Result<void> On(const WriteAnswer& answer);
  Result<void> On(const StateStamp& stamp);
  Result<void> On(QuotaRequest request);
  Result<void> On(QuotaAnswer answer);

  Stream* Find(const StreamId& stream) const;
  Result<Stream*> FindForPeer(const StreamId& stream) const;
  Result<Stream*> FindOwnForPeer(const StreamId& stream) const;
  bool IsOwn(const StreamId& stream) const;
  StreamTable& TableOf(const StreamId& stream) const;

  void Emit(LinkEventKind kind, const Stream& stream, PeerMessage message);
  void NotifyWritable(Stream& stream);
  size_t WritableBytes(const Stream& stream) const;
  Result<void> QueueHead(Stream& stream, PeerMessage head);
  void ServeTurn(Stream& stream, FrameBuffer& out);
  void LoseStream(Stream& stream);
  void LoseUnsentStreams();
  void LoseStreamsAbove(size_t most);
  void Close(Stream& stream);

  LinkMuxOptions options;
  Hello peer_hello;
  std::unique_ptr<StreamTable> own;
  std::unique_ptr<StreamTable> accepted;
  std::unique_ptr<SendQueue> queue;
  FrameDecoder decoder;
  std::vector<PeerMessage> inbox;
  std::vector<LinkEvent> events;
  TimePoint received_at{};
  TimePoint active_at{};
  bool peer_known = false;
  bool go_away_sent = false;
  bool go_away_received = false;
  bool lost = false;
};

}  // namespace basilsill::wire

#endif  // BASILSILL_WIRE_LINK_MUX_H_

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

/// The state of one link between two nodes. Pure: bytes and time points go in,
/// bytes and events come out; the shell owns the socket.
///
/// A link begins with a Hello each way. Then, on a data link, either side
/// opens streams, one a request:
///
///   opener    Open  Data*  End                 | Cancel
///   acceptor        Answer  Data*  End | Refused | Reset
///
/// A stream is over when its answer has ended or with Refused, Reset or
/// Cancel; whatever of it is still on its way is dropped at arrival. A body of
/// a known length can't end early or run over.
///
/// Memory. The receiver of a body grants a window (Hello::stream_window, then
/// Credit for what the shell reports as consumed), so at most a window of each
/// stream is ever held by the receiving shell. The sender queues at most
/// limits::kStreamQueueBytes of a stream's body, and no more than
/// limits::kMaxInlineBodyBytes of it while all streams together have
/// limits::kLinkQueueBytes queued. A stream's head is bounded by what the
/// protocol allows (frame.h), streams by Hello::max_streams, and frames that
/// belong to no stream by limits::kLinkControlBytes.
///
/// Fairness. Streams whose body is, as far as is known, no longer than
/// limits::kBodyChunkBytes go first; the longer ones take turns of one chunk,
/// and get every fourth chunk's worth at least. So a small answer waits for at
/// most one chunk of a long one.

namespace basilsill::wire {

struct LinkMuxOptions {
  LinkSide side = LinkSide::kConnector;
  Hello hello;  ///< What this side says of itself.
};

/// How far a request had come on a link that was lost.
enum class StreamFate : uint8_t {
  kNeverSent,  ///< No byte of it was handed out: it did not run.
  kSent,       ///< The peer may have it: whether it ran is unknown.
  kAnswering,  ///< Part of its answer came: that answer is broken.
  kCount
};

enum class LinkEventKind : uint8_t {
  kReady,      ///< The peer's Hello came; streams flow.
  kOpened,     ///< The peer opened a stream (Open).
  kAnswered,   ///< Head of an answer (Answer).
  kData,       ///< Octets of a body (Data); report them by Consumed.
  kEnded,      ///< A body is whole (End). Not sent for a head with `end` set.
  kRefused,    ///< The peer gave no answer (Refused); the stream is over.
  kReset,      ///< The answer broke (Reset); the stream is over.
  kCancelled,  ///< The peer wants no answer; the stream is over.
  kLost,       ///< The link can't carry the stream; it is over, see `fate`.
  kWritable,   ///< What AwaitWritable asked for.
  kGoAway,     ///< The link takes no new streams.
  kMessage,    ///< A message of no stream: Summary, Heartbeat, Snapshot...
  kCount
};

struct LinkEvent {
  LinkEventKind kind = LinkEventKind::kCount;
  StreamId stream;
  StreamFate fate = StreamFate::kCount;  ///< For kLost.
  PeerMessage message;                   ///< What came, where something did.
};

class SendQueue;
class StreamTable;
struct Stream;

/// One link. Belongs to one thread; never throws.
///
/// Calls about a stream fail with kNotFound when it is over, which the shell
/// need not have learnt yet, and with kOutOfRange when the message is not
/// allowed there.
class LinkMux {
 public:
  /// @returns kOutOfRange if the Hello is not what the protocol allows.
  static Result<LinkMux> Create(TimePoint now, LinkMuxOptions options);

  LinkMux(LinkMux&&) noexcept;
  LinkMux& operator=(LinkMux&&) noexcept;
  ~LinkMux();

  // Bytes.

  /// Takes in what was read from the socket.
  /// @returns a failure of the codec, kMalformedFrame for what the protocol
  /// doesn't allow, or kLimitReached for a peer that sends but doesn't read.
  /// The link has to be closed then; call OnLost.
  Result<void> OnBytes(TimePoint now, std::span<const char> bytes);

  /// @returns true if TakeOutput would give something.
  bool HasOutput() const;

  /// Replaces the content of `out` by the next frames to write: all that
  /// belong to no stream, then turns of streams until there are
  /// `target_bytes`. Write all of it before taking more. Small targets keep
  /// the choice of what goes next in here, where it is fair.
  void TakeOutput(TimePoint now,
                  FrameBuffer& out,
                  size_t target_bytes = limits::kBodyChunkBytes);

  /// The link is gone: each open stream gets a kLost event. Later calls fail.
  void OnLost();

  /// Replaces the content of `out` by the events since the last call.
  void TakeEvents(std::vector<LinkEvent>& out);

  // Streams that this side opens.

  /// Queues `open`, whose `stream` is chosen here. Goes out once the peer's
  /// Hello came.
  /// @returns kLimitReached if the peer takes no further stream or the queue
  /// is full, kNetwork if the link takes none any more. Nothing was sent then.
  Result<StreamId> OpenStream(Open open);

  /// Ends interest in the stream's answer. Events that came before may still
  /// be in the shell's hands; there are no later ones.
  void CancelStream(const StreamId& stream);

  // Streams that the peer opened.

  /// Queues the head of an answer. After the answer's end is queued, the
  /// stream has no further events.
  Result<void> SendAnswer(Answer answer);

  /// Ends the stream in place of an answer.
  Result<void> Refuse(const Refused& refused);

  /// Breaks the answer off; what of it is queued is dropped.
  Result<void> ResetStream(const Reset& reset);

  // Bodies, either way.

  /// @returns how many octets SendData takes now; 0 if the stream is over.
  size_t WritableBytes(const StreamId& stream) const;

  /// Asks for one kWritable event when WritableBytes is above 0.
  void AwaitWritable(const StreamId& stream);

  /// Queues octets of a body, at most a chunk and what is writable.
  /// @returns kLimitReached if that is too much; nothing is queued then.
  Result<void> SendData(const StreamId& stream, Bytes bytes);

  /// Queues the end of a body.
  /// @returns kOutOfRange if it falls short of its known length.
  Result<void> SendEnd(const StreamId& stream, HeaderList trailers = {});

  /// The shell passed on `bytes` of a body, whether they came as Data or with
  /// the head; the peer may send as many again.
  void Consumed(const StreamId& stream, size_t bytes);

  // The link itself.

  /// Queues a Summary (data links), or a message of control links: Heartbeat,
  /// Snapshot..., State..., Write....
  /// @returns kLimitReached if the peer reads too slowly.
  Result<void> Post(PeerMessage message);

  /// Tells the peer that no new streams are taken, and opens none: own streams
  /// that were not yet sent are lost. The peer answers in kind, so that
  /// nothing can be on its way any more once CanClose.
  void SendGoAway();

  /// @returns true if both sides have said GoAway, all streams are over and
  /// all output is taken: closing the socket, once that is written, loses
  /// nothing.
  bool CanClose() const;

  /// @returns true if OpenStream may succeed.
  bool TakesStreams() const;

  bool ready() const { return this->peer_known; }
  const Hello& peer() const { return this->peer_hello; }
  size_t stream_count() const;

  /// @returns since when the link has had neither streams nor bytes to write,
  /// nor any traffic; kNever while it has.
  TimePoint idle_since() const;

  /// @returns when bytes last came, at first when the link was made. Bytes are
  /// evidence that the peer lives.
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
  Result<void> On(const GoAway& go_away);
  Result<void> OnPosted(PeerMessage message, LinkRole role);
  Result<void> On(const Summary& summary);
  Result<void> On(Heartbeat heartbeat);
  Result<void> On(const SnapshotRequest& request);
  Result<void> On(SnapshotChunk chunk);
  Result<void> On(StateNews news);
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
  void Lose(Stream& stream);
  void LoseUnsent();
  void LoseBeyond(size_t most);
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

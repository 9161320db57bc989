#ifndef BASILSILL_WIRE_MESSAGE_H_
#define BASILSILL_WIRE_MESSAGE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "basilsill/base/reason.h"
#include "basilsill/decision/configuration_freshness.h"
#include "basilsill/decision/dispatch.h"
#include "basilsill/decision/quota.h"
#include "basilsill/decision/view.h"
#include "basilsill/wire/header_list.h"

/// The messages that nodes exchange on their links. Plain values: how they
/// look in bytes is the codec's business (frame.h), what they mean for the
/// streams of a link is the mux's (link_mux.h).
///
/// A data link runs between two workers and carries streams, one a request.
/// A control link runs between two control threads and carries no streams.

namespace basilsill::wire {

/// Spoken version of the protocol; peers of another version are turned away.
inline constexpr uint32_t kProtocolVersion = 7;

/// Octets of a body. Moved, never copied, on their way to the socket.
using Bytes = std::string;

/// The two ends of a link.
enum class LinkSide : uint8_t { kConnector, kAcceptor, kCount };

/// What a link is for.
enum class LinkRole : uint8_t { kControl, kData, kCount };

/// Names a stream on its link. The side that opens the stream chooses the
/// index out of those it has free, and raises the generation of an index each
/// time it uses it again, so that a late message never meets another stream.
struct StreamId {
  static constexpr uint32_t kInvalidIndex = UINT32_MAX;

  LinkSide opener = LinkSide::kConnector;
  uint32_t index = kInvalidIndex;
  uint32_t generation = 0;  ///< 31 bits.

  friend bool operator==(const StreamId&, const StreamId&) = default;
};

/// @returns true if `stream` names some stream; it may be over by now.
constexpr bool IsValid(const StreamId& stream) {
  return stream.index != StreamId::kInvalidIndex;
}

/// Lets unordered containers be keyed by a stream of one link.
struct StreamIdHash {
  size_t operator()(const StreamId& stream) const {
    const uint64_t opener = static_cast<uint64_t>(stream.opener);
    const uint64_t name =
        uint64_t{stream.generation} << 32 | opener << 31 | stream.index;
    // Spreads the index over the bits that containers look at.
    return name * 0x9e3779b97f4a7c15;
  }
};

/// How the length of a body is known.
enum class BodyKind : uint8_t {
  kNone,    ///< There is no body, whatever the headers say (HEAD, 204, 304).
  kKnown,   ///< `length` octets follow.
  kStream,  ///< Octets follow until End.
  kCount
};

struct BodyFraming {
  BodyKind kind = BodyKind::kNone;
  uint64_t length = 0;  ///< For kKnown alone.

  friend bool operator==(const BodyFraming&, const BodyFraming&) = default;
};

/// First message each way on every link.
struct Hello {
  uint32_t version = kProtocolVersion;
  LinkRole role = LinkRole::kData;
  std::string vm;            ///< Name of the sending VM.
  uint64_t incarnation = 0;  ///< Of the sending process.
  uint16_t worker = 0;       ///< Of the sender; data links.
  /// Octets that the sender takes on each stream before it gives credit.
  uint32_t stream_window = limits::kStreamWindowBytes;
  /// Streams that the sender lets the peer have open at once.
  uint32_t max_streams = limits::kMaxStreamsPerLink;
  std::vector<Endpoint> workers;  ///< Link acceptors; control links.
  std::string data_centre;        ///< Control links.
  Endpoint control;               ///< Where it listens; control links.
  bool leaving = false;           ///< It takes no new work; control links.
  uint32_t capacity = 0;          ///< Control links: VmRow::capacity.

  friend bool operator==(const Hello&, const Hello&) = default;
};

/// 128-bit digest of an idempotency key together with its team and rule.
struct KeyDigest {
  uint64_t high = 0;
  uint64_t low = 0;

  friend bool operator==(const KeyDigest&, const KeyDigest&) = default;
};

/// Marks a request that must not repeat.
struct OnceClaim {
  KeyDigest key;
  uint64_t attempt = 0;  ///< Names this try of the key's request.

  friend bool operator==(const OnceClaim&, const OnceClaim&) = default;
};

/// Opens a stream: hands a request to the dispatcher of `shard`.
struct Open {
  StreamId stream;
  ShardKey shard = 0;
  std::string service;
  std::string team;
  std::string rule;
  TrafficClass traffic_class = TrafficClass::kOrdinary;
  /// Left of the request's deadline when this was sent; never an absolute
  /// time, since clocks of two VMs differ.
  std::chrono::microseconds deadline{0};
  bool idempotent = false;
  bool hedge = false;
  std::optional<OnceClaim> once;
  Fingerprint fingerprint = 0;
  uint8_t attempts_left = 0;  ///< Further attempts the dispatcher may make.
  uint8_t sends = 0;          ///< DispatchRequest::sends.
  /// Above this wait the dispatcher hands the request back; Target::max_wait.
  /// The longest time of a message stands for any wait.
  Duration max_wait = limits::kMaxPeerDuration;
  /// Left of the time in which an answer is a good one; 0: not known.
  std::chrono::microseconds good_for{0};
  std::string method;
  std::string target;  ///< In origin form.
  HeaderList headers;
  BodyFraming framing;
  Bytes body;        ///< First octets, at most limits::kMaxInlineBodyBytes.
  bool end = false;  ///< `body` is all there is; neither Data nor End follow.

  friend bool operator==(const Open&, const Open&) = default;
};

/// Octets of a body, either way.
struct Data {
  StreamId stream;
  Bytes bytes;  ///< 1 to limits::kBodyChunkBytes.

  friend bool operator==(const Data&, const Data&) = default;
};

/// The body is whole. Without it a body is broken, whatever came before.
struct End {
  StreamId stream;
  HeaderList trailers;

  friend bool operator==(const End&, const End&) = default;
};

/// The receiver has passed on `bytes` and can take as many again.
struct Credit {
  StreamId stream;
  uint32_t bytes = 0;

  friend bool operator==(const Credit&, const Credit&) = default;
};

/// Head of an upstream's answer, passed on unchanged.
struct Answer {
  StreamId stream;
  uint16_t status = 0;
  std::string phrase;  ///< Reason phrase; empty for the status's usual one.
  HeaderList headers;
  BodyFraming framing;
  Bytes body;        ///< As in Open.
  bool end = false;  ///< As in Open.

  friend bool operator==(const Answer&, const Answer&) = default;
};

/// The dispatcher gives the request no upstream's answer. Closes the stream.
struct Refused {
  StreamId stream;
  Refusal refusal = Refusal::kNone;
  /// True if the dispatcher never sent a byte of it to an upstream, or all
  /// upstreams that got one refused it before running it.
  bool not_run = false;
  std::chrono::microseconds retry_after{0};  ///< 0: not said.
  uint8_t sends = 0;                         ///< DispatchAction::sends.

  friend bool operator==(const Refused&, const Refused&) = default;
};

/// A body broke half-way; what came of it must look broken further on.
/// Closes the stream.
struct Reset {
  StreamId stream;
  Refusal reason = Refusal::kNone;

  friend bool operator==(const Reset&, const Reset&) = default;
};

/// The side that opened the stream wants no answer any more. Closes it.
struct Cancel {
  StreamId stream;

  friend bool operator==(const Cancel&, const Cancel&) = default;
};

/// How loaded a shard of the sender is.
struct Summary {
  ShardSummary shard;
};
bool operator==(const Summary& left, const Summary& right);

/// The sender takes no new streams; those that are open go on.
struct GoAway {
  friend bool operator==(const GoAway&, const GoAway&) = default;
};

/// What a VM says of itself on control links.
struct Heartbeat {
  uint64_t incarnation = 0;
  uint64_t applied_offset = 0;  ///< Next configuration record to be read.
  VmState state = VmState::kLive;
  uint64_t vm_list_version = 0;
  std::vector<CrashReport> crashes;  ///< Deaths of upstreams since the last.
  bool answer_wanted = false;        ///< The sender asks for a sign of life.
  /// Of upstreams that the receiver may come to dispatch for.
  std::vector<RateLimitReport> rate_limits;
};
bool operator==(const Heartbeat& left, const Heartbeat& right);

/// Asks for a piece of a configuration snapshot. Pulled a chunk at a time, so
/// neither side queues more than one.
struct SnapshotRequest {
  uint64_t applied_offset = 0;  ///< Of the snapshot; 0 for the newest.
  uint64_t position = 0;        ///< Octets the asker has already.

  friend bool operator==(const SnapshotRequest&,
                         const SnapshotRequest&) = default;
};

/// One piece of a snapshot.
struct SnapshotChunk {
  uint64_t applied_offset = 0;  ///< Where the log goes on after the snapshot.
  uint64_t position = 0;
  uint64_t total = 0;  ///< Octets of the whole; 0: the sender has none.
  Bytes bytes;

  friend bool operator==(const SnapshotChunk&, const SnapshotChunk&) = default;
};

/// What a VM has read of a topic at the platform, for those that have not.
/// Only the source of state knows the form of records.
struct StateNews {
  uint8_t topic = 0;
  uint64_t from = 0;  ///< Offset of the first record.
  uint64_t next = 0;  ///< Offset to read on from; all before it are here.
  Bytes records;
  bool whole = false;  ///< The newest record of each key, for a VM that starts.
  /// More of the whole follows in the next message of this topic.
  bool more = false;
  /// How old all this is, for a receiver that sent a stamp.
  std::optional<FreshnessVouch> vouch{};

  friend bool operator==(const StateNews&, const StateNews&) = default;
};

/// From where on a VM lacks a topic.
struct TopicPosition {
  uint8_t topic = 0;
  uint64_t from = 0;  ///< 0: it has nothing of it.

  friend bool operator==(const TopicPosition&, const TopicPosition&) = default;
};

/// The sender starts, or has heard nothing for long, and asks to be told these
/// topics. Answered by StateNews or StateDeclined.
struct StateQuestion {
  std::vector<TopicPosition> wanted;
  uint64_t stamp = 0;  ///< As in StateStamp.
  /// It knows them up to their positions and wants what came since.
  bool catches_up = false;

  friend bool operator==(const StateQuestion&, const StateQuestion&) = default;
};

/// The sender does not tell what it was asked for.
struct StateDeclined {
  /// It has nothing itself yet and tells as soon as it has. Otherwise its link
  /// is taken by others that it tells.
  bool later = false;

  friend bool operator==(const StateDeclined&, const StateDeclined&) = default;
};

/// The sender wants to be told how old the receiver's next news are.
struct StateStamp {
  uint64_t stamp = 0;  ///< Comes back in StateNews::vouch.

  friend bool operator==(const StateStamp&, const StateStamp&) = default;
};

/// Asks the receiver to write a record at the platform, in one call with those
/// of others.
struct WriteRequest {
  uint8_t topic = 0;
  uint64_t number = 0;  ///< Names the request on its link.
  Bytes record;         ///< As in StateNews; its offset says nothing.

  friend bool operator==(const WriteRequest&, const WriteRequest&) = default;
};

/// What came of a WriteRequest.
struct WriteAnswer {
  uint64_t number = 0;
  /// False: it was not written as far as the sender knows. It may have been.
  bool written = false;

  friend bool operator==(const WriteAnswer&, const WriteAnswer&) = default;
};

/// Any message of a link.
using PeerMessage = std::variant<Hello,
                                 Open,
                                 Data,
                                 End,
                                 Credit,
                                 Answer,
                                 Refused,
                                 Reset,
                                 Cancel,
                                 Summary,
                                 GoAway,
                                 Heartbeat,
                                 SnapshotRequest,
                                 SnapshotChunk,
                                 StateNews,
                                 StateQuestion,
                                 StateDeclined,
                                 WriteRequest,
                                 WriteAnswer,
                                 StateStamp,
                                 QuotaRequest,
                                 QuotaAnswer>;

}  // namespace basilsill::wire

#endif  // BASILSILL_WIRE_MESSAGE_H_

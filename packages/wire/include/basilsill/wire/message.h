#ifndef BASILSILL_WIRE_MESSAGE_H_
#define BASILSILL_WIRE_MESSAGE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "basilsill/base/log_position.h"
#include "basilsill/base/reason.h"
#include "basilsill/decision/configuration_freshness.h"
#include "basilsill/decision/dispatch.h"
#include "basilsill/decision/quota.h"
#include "basilsill/decision/view.h"
#include "basilsill/wire/header_list.h"

/// Messages that nodes exchange on their links, as plain values. frame.h
/// encodes them; link_mux.h applies them to the streams of a link.
///
/// A data link connects two workers and has one stream for each request. A
/// control link connects two control threads and has no streams.

namespace basilsill::wire {

/// Version of the protocol. Links to peers of another version are rejected.
inline constexpr uint32_t kProtocolVersion = 9;

/// Octets of a body. Large ones are moved, not copied, up to the socket write.
using Bytes = std::string;

/// The two ends of a link.
enum class LinkSide : uint8_t { kConnector, kAcceptor, kCount };

/// Purpose of a link.
enum class LinkRole : uint8_t { kControl, kData, kCount };

/// Identifies a stream on its link. The side that opens the stream chooses a
/// free index, and increments the generation of an index each time that it
/// reuses it, so that a late message is never delivered to another stream.
struct StreamId {
  static constexpr uint32_t kInvalidIndex = UINT32_MAX;

  LinkSide opener = LinkSide::kConnector;
  uint32_t index = kInvalidIndex;
  uint32_t generation = 0;  ///< 31 bits.

  friend bool operator==(const StreamId&, const StreamId&) = default;
};

/// @returns true if `stream` identifies a stream, which may be closed by now.
constexpr bool IsValid(const StreamId& stream) {
  return stream.index != StreamId::kInvalidIndex;
}

/// Hash for unordered containers with streams of one link as keys.
struct StreamIdHash {
  size_t operator()(const StreamId& stream) const {
    const uint64_t opener = static_cast<uint64_t>(stream.opener);
    const uint64_t name =
        uint64_t{stream.generation} << 32 | opener << 31 | stream.index;
    // Multiplies by an odd constant to spread the index over all bits.
    return name * 0x9e3779b97f4a7c15;
  }
};

/// How the end of a body is determined.
enum class BodyKind : uint8_t {
  kNone,    ///< No body, regardless of the headers (HEAD, 204, 304).
  kKnown,   ///< `length` octets follow.
  kStream,  ///< Octets follow until End.
  kCount
};

struct BodyFraming {
  BodyKind kind = BodyKind::kNone;
  uint64_t length = 0;  ///< Octets of the body; only for kKnown.

  friend bool operator==(const BodyFraming&, const BodyFraming&) = default;
};

/// First message of each side on every link.
struct Hello {
  uint32_t version = kProtocolVersion;
  LinkRole role = LinkRole::kData;
  std::string vm;            ///< Name of the sending VM.
  uint64_t incarnation = 0;  ///< Of the sending process.
  uint16_t worker = 0;       ///< Index of the sending worker; data links only.
  /// Octets that the sender accepts on each stream before it sends Credit.
  uint32_t stream_window = limits::kStreamWindowBytes;
  /// Maximum number of streams that the peer may have open at the same time.
  uint32_t max_streams = limits::kMaxStreamsPerLink;
  /// Where each worker accepts data links; control links only.
  std::vector<Endpoint> workers;
  std::string data_centre;  ///< Control links only.
  /// Where the sender accepts control links; control links only.
  Endpoint control;
  bool leaving = false;   ///< The sender is draining; control links only.
  uint32_t capacity = 0;  ///< VmRow::capacity; control links only.

  friend bool operator==(const Hello&, const Hello&) = default;
};

/// 128-bit digest of an idempotency key together with its team and rule.
struct KeyDigest {
  uint64_t high = 0;
  uint64_t low = 0;

  friend bool operator==(const KeyDigest&, const KeyDigest&) = default;
};

/// Claim of a request that must run at most once.
struct OnceClaim {
  KeyDigest key;
  uint64_t attempt = 0;  ///< Identifies this attempt to run the request.

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
  /// Time left until the request's deadline when the message was sent. It is
  /// relative because the clocks of two VMs differ.
  std::chrono::microseconds deadline{0};
  bool idempotent = false;
  bool hedge = false;
  std::optional<OnceClaim> once;
  Fingerprint fingerprint = 0;
  uint8_t attempts_left = 0;  ///< Further attempts allowed to the dispatcher.
  uint8_t sends = 0;          ///< DispatchRequest::sends.
  /// Target::max_wait: if the expected wait is longer, the dispatcher refuses
  /// the request. limits::kMaxPeerDuration means no limit.
  Duration max_wait = limits::kMaxPeerDuration;
  /// Time left until the latency target when the message was sent; 0: unknown.
  std::chrono::microseconds good_for{0};
  std::string method;
  std::string target;  ///< In origin form.
  HeaderList headers;
  BodyFraming framing;
  Bytes body;        ///< First octets, at most limits::kMaxInlineBodyBytes.
  bool end = false;  ///< `body` is complete; neither Data nor End follows.

  friend bool operator==(const Open&, const Open&) = default;
};

/// Octets of a body, in either direction.
struct Data {
  StreamId stream;
  Bytes bytes;  ///< 1 to limits::kBodyChunkBytes.

  friend bool operator==(const Data&, const Data&) = default;
};

/// The body is complete. A body without this message is incomplete, unless its
/// head has `end` set.
struct End {
  StreamId stream;
  HeaderList trailers;

  friend bool operator==(const End&, const End&) = default;
};

/// The receiver of a body has consumed `bytes` octets and accepts as many more.
struct Credit {
  StreamId stream;
  uint32_t bytes = 0;

  friend bool operator==(const Credit&, const Credit&) = default;
};

/// Head of an upstream's answer, unchanged.
struct Answer {
  StreamId stream;
  uint16_t status = 0;
  std::string phrase;  ///< Reason phrase; empty for the default of the status.
  HeaderList headers;
  BodyFraming framing;
  Bytes body;        ///< As in Open.
  bool end = false;  ///< As in Open.

  friend bool operator==(const Answer&, const Answer&) = default;
};

/// The dispatcher has no answer of an upstream to pass on. Closes the stream.
struct Refused {
  StreamId stream;
  Refusal refusal = Refusal::kNone;
  /// True if the dispatcher sent no byte of the request to an upstream, or
  /// every upstream to which it sent some refused the request before running
  /// it.
  bool not_run = false;
  std::chrono::microseconds retry_after{0};  ///< 0: not specified.
  uint8_t sends = 0;                         ///< DispatchAction::sends.

  friend bool operator==(const Refused&, const Refused&) = default;
};

/// The answer was aborted. The receiver must not pass on the received part as a
/// complete answer. Closes the stream.
struct Reset {
  StreamId stream;
  Refusal reason = Refusal::kNone;

  friend bool operator==(const Reset&, const Reset&) = default;
};

/// The side that opened the stream no longer needs an answer. Closes the
/// stream.
struct Cancel {
  StreamId stream;

  friend bool operator==(const Cancel&, const Cancel&) = default;
};

/// The side that opened the stream takes its request back, unless an upstream
/// has it. A request that no upstream has is answered with Refused; for any
/// other, the stream goes on.
struct Withdraw {
  StreamId stream;

  friend bool operator==(const Withdraw&, const Withdraw&) = default;
};

/// Load of one shard of the sender.
struct Summary {
  ShardSummary shard;
  /// What upstreams of the shard said to the sender and still holds.
  std::vector<UpstreamNoticeReport> notices;
};
bool operator==(const Summary& left, const Summary& right);

/// The sender accepts no new streams. Open streams continue.
struct GoAway {
  friend bool operator==(const GoAway&, const GoAway&) = default;
};

/// State of the sending VM, on control links.
struct Heartbeat {
  uint64_t incarnation = 0;
  uint64_t applied_offset = 0;  ///< Offset of the next configuration record.
  VmState state = VmState::kLive;
  uint64_t vm_list_version = 0;
  std::vector<CrashReport> crashes;  ///< New crashes of upstreams.
  bool answer_wanted = false;        ///< The receiver must answer at once.
  /// Rate limits of upstreams to which the receiver may dispatch in future.
  std::vector<RateLimitReport> rate_limits;
  /// Names of the data centres whose upstreams the sender can't connect to.
  std::vector<std::string> unreachable;
  /// Names of the data centres to whose upstreams the sender has opened a
  /// connection since another VM reported them as unreachable.
  std::vector<std::string> reached;
};
bool operator==(const Heartbeat& left, const Heartbeat& right);

/// Requests one chunk of a configuration snapshot. The receiver of the snapshot
/// requests one chunk at a time, so neither side queues more than one.
struct SnapshotRequest {
  uint64_t applied_offset = 0;  ///< Of the snapshot; 0 for the newest one.
  uint64_t position = 0;        ///< Octets that the requester already has.

  friend bool operator==(const SnapshotRequest&,
                         const SnapshotRequest&) = default;
};

/// One chunk of a snapshot.
struct SnapshotChunk {
  uint64_t applied_offset = 0;  ///< Offset of the first record not included.
  uint64_t position = 0;
  uint64_t total = 0;  ///< Octets of the snapshot; 0: the sender has none.
  Bytes bytes;

  friend bool operator==(const SnapshotChunk&, const SnapshotChunk&) = default;
};

/// Records of a topic that the sender relays to VMs that do not read the topic
/// from the platform themselves. The format of the records is opaque here; only
/// the source of state interprets it.
struct StateNews {
  uint8_t topic = 0;
  LogPosition from;  ///< First position that the message covers.
  /// Position after the last one that it covers. If the store was restored
  /// from a copy in between, it is of a later era than `from`.
  LogPosition next;
  /// Records that changed nothing are left out.
  Bytes records;
  /// `records` has the newest record of each key, for a VM that has no state of
  /// the topic.
  bool whole = false;
  /// The state of the topic continues in the next message of this topic.
  bool more = false;
  /// Proof of the age of the records, for a receiver that sent a stamp.
  std::optional<FreshnessVouch> vouch{};
  /// The message covers no range: each record is applied if the receiver has no
  /// newer one of its key.
  bool unordered = false;
  /// The store was restored lately, so that having all of its records does not
  /// prove that they are the newest ones.
  bool unproven = false;
  /// Version of the sender's configuration; 0: not stated.
  uint64_t version = 0;

  friend bool operator==(const StateNews&, const StateNews&) = default;
};

/// Position from which on a VM lacks the records of a topic.
struct TopicPosition {
  uint8_t topic = 0;
  LogPosition from;  ///< Default: it has no records of the topic.

  friend bool operator==(const TopicPosition&, const TopicPosition&) = default;
};

/// Requests the records of topics. Sent by a VM that starts or that has
/// received no updates for a long time. Answered by StateNews or StateDeclined.
struct StateQuestion {
  std::vector<TopicPosition> wanted;
  uint64_t stamp = 0;  ///< As in StateStamp.
  /// The sender has all records up to the positions and requests later ones.
  bool catches_up = false;
  /// The sender requests the newest record of each key, in an unordered update,
  /// since the receiver has a newer configuration.
  bool newest = false;

  friend bool operator==(const StateQuestion&, const StateQuestion&) = default;
};

/// The sender declines a StateQuestion.
struct StateDeclined {
  /// True if the sender does not have the complete state yet and sends it once
  /// it does. False if it will not answer: its bandwidth for sending state is
  /// used up by other VMs, or its records are too old or start too late.
  bool later = false;

  friend bool operator==(const StateDeclined&, const StateDeclined&) = default;
};

/// Requests proof of the age of the records in the receiver's next StateNews.
struct StateStamp {
  uint64_t stamp = 0;  ///< Returned in StateNews::vouch.

  friend bool operator==(const StateStamp&, const StateStamp&) = default;
};

/// Asks the receiver to write a record to the platform, in one call together
/// with the records of other VMs.
struct WriteRequest {
  uint8_t topic = 0;
  uint64_t number = 0;  ///< Identifies the request on its link.
  Bytes record;         ///< As in StateNews; its offset has no meaning.

  friend bool operator==(const WriteRequest&, const WriteRequest&) = default;
};

/// Result of a WriteRequest.
struct WriteAnswer {
  uint64_t number = 0;
  /// False if the sender can't confirm the write; the record may have been
  /// written nevertheless.
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
                                 QuotaAnswer,
                                 Withdraw>;

}  // namespace basilsill::wire

#endif  // BASILSILL_WIRE_MESSAGE_H_

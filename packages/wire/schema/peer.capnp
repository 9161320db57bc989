# Encoding of the messages between nodes. include/basilsill/wire/message.h
# documents their meaning. schema/generate generates the files in generated/,
# which are committed, from this file.
#
# Body octets (of Data, SnapshotChunk, Open and Answer) are not part of these
# structs. They follow the message as the payload of the same frame.
#
# Both ends of a link must have the same protocol version, so a field may be
# changed incompatibly if the protocol version is incremented as well.

@0xd6f3a1c25b7e9048;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("basilsill::wire::schema");

# Bit 63: set if the acceptor opened the stream. Bits 32 to 62: generation.
# Bits 0 to 31: index.
using StreamId = UInt64;

# Microseconds.
using Micros = Int64;

# Nanoseconds.
using Nanos = Int64;

# Value of the enum Refusal in basilsill/base/reason.h.
using RefusalNumber = UInt8;

enum LinkRole {
  control @0;
  data @1;
}

enum TrafficClass {
  urgent @0;
  ordinary @1;
  bulk @2;
  background @3;
}

enum BodyKind {
  none @0;
  known @1;
  stream @2;
}

enum VmState {
  live @0;
  suspected @1;
  leaving @2;
}

struct Endpoint {
  address @0 :Text;
  port @1 :UInt16;
}

# All names and values concatenated, and the position at which each of them
# ends.
struct HeaderList {
  text @0 :Data;
  ends @1 :List(UInt32);
}

struct Hello {
  version @0 :UInt32;
  role @1 :LinkRole;
  vm @2 :Text;
  incarnation @3 :UInt64;
  worker @4 :UInt16;
  streamWindow @5 :UInt32;
  maxStreams @6 :UInt32;
  workers @7 :List(Endpoint);
  dataCentre @8 :Text;
  control @9 :Endpoint;
  leaving @10 :Bool;
  capacity @11 :UInt32;
}

struct OnceClaim {
  keyHigh @0 :UInt64;
  keyLow @1 :UInt64;
  attempt @2 :UInt64;
}

struct Open {
  stream @0 :StreamId;
  shard @1 :UInt64;
  service @2 :Text;
  team @3 :Text;
  rule @4 :Text;
  trafficClass @5 :TrafficClass;
  deadline @6 :Micros;
  idempotent @7 :Bool;
  hedge @8 :Bool;
  once @9 :OnceClaim;
  fingerprint @10 :UInt64;
  attemptsLeft @11 :UInt8;
  method @12 :Text;
  target @13 :Text;
  headers @14 :HeaderList;
  bodyKind @15 :BodyKind;
  bodyLength @16 :UInt64;
  end @17 :Bool;
  maxWait @18 :Nanos;
  goodFor @19 :Micros;
  sends @20 :UInt8;
}

# Not named Data, because that is a built-in type.
struct BodyData {
  stream @0 :StreamId;
}

struct End {
  stream @0 :StreamId;
  trailers @1 :HeaderList;
}

struct Credit {
  stream @0 :StreamId;
  bytes @1 :UInt32;
}

struct Answer {
  stream @0 :StreamId;
  status @1 :UInt16;
  phrase @2 :Text;
  headers @3 :HeaderList;
  bodyKind @4 :BodyKind;
  bodyLength @5 :UInt64;
  end @6 :Bool;
}

struct Refused {
  stream @0 :StreamId;
  refusal @1 :RefusalNumber;
  notRun @2 :Bool;
  retryAfter @3 :Micros;
  sends @4 :UInt8;
}

struct Reset {
  stream @0 :StreamId;
  reason @1 :RefusalNumber;
}

struct Cancel {
  stream @0 :StreamId;
}

struct Withdraw {
  stream @0 :StreamId;
}

struct UpstreamNoticeReport {
  upstream @0 :UInt64;
  leaving @1 :Bool;
  rest @2 :Nanos;
}

struct Summary {
  shard @0 :UInt64;
  slots @1 :UInt16;
  busy @2 :UInt16;
  queued @3 :UInt32;
  serviceTime @4 :Nanos;
  wait @5 :Nanos;
  notices @6 :List(UpstreamNoticeReport);
}

struct CrashReport {
  id @0 :UInt64;
  upstream @1 :UInt64;
  age @2 :Nanos;
  suspects @3 :List(UInt64);
}

struct RateLimitReport {
  shard @0 :UInt64;
  upstream @1 :UInt64;
  named @2 :Bool;
  requestsPerSecond @3 :Float64;
}

struct Heartbeat {
  incarnation @0 :UInt64;
  appliedOffset @1 :UInt64;
  state @2 :VmState;
  vmListVersion @3 :UInt64;
  crashes @4 :List(CrashReport);
  answerWanted @5 :Bool;
  rateLimits @6 :List(RateLimitReport);
  # Names of data centres whose upstreams the sender can't connect to.
  unreachable @7 :List(Text);
  # Names of data centres whose upstreams the sender reaches, while other VMs
  # report that they can't.
  reached @8 :List(Text);
}

struct SnapshotRequest {
  appliedOffset @0 :UInt64;
  position @1 :UInt64;
}

struct SnapshotChunk {
  appliedOffset @0 :UInt64;
  position @1 :UInt64;
  total @2 :UInt64;
}

struct FreshnessVouch {
  stamp @0 :UInt64;
  held @1 :Nanos;
  age @2 :Nanos;
}

struct StateNews {
  topic @0 :UInt8;
  from @1 :UInt64;
  next @2 :UInt64;
  records @3 :Data;
  whole @4 :Bool;
  more @5 :Bool;
  vouch @6 :FreshnessVouch;
  fromEra @7 :UInt64;
  nextEra @8 :UInt64;
  unordered @9 :Bool;
  unproven @10 :Bool;
  version @11 :UInt64;
}

struct StateStamp {
  stamp @0 :UInt64;
}

struct TopicPosition {
  topic @0 :UInt8;
  from @1 :UInt64;
  fromEra @2 :UInt64;
}

struct StateQuestion {
  wanted @0 :List(TopicPosition);
  stamp @1 :UInt64;
  catchesUp @2 :Bool;
  newest @3 :Bool;
}

struct StateDeclined {
  later @0 :Bool;
}

struct WriteRequest {
  topic @0 :UInt8;
  number @1 :UInt64;
  record @2 :Data;
}

struct WriteAnswer {
  number @0 :UInt64;
  written @1 :Bool;
}

struct QuotaNeed {
  ticket @0 :UInt64;
  trafficClass @1 :TrafficClass = ordinary;
  untilTarget @2 :Nanos;
  timeLeft @3 :Nanos;
  returning @4 :Bool;
}

struct QuotaWant {
  team @0 :UInt64;
  wanted @1 :UInt32;
  needs @2 :List(QuotaNeed);
}

struct QuotaReturn {
  team @0 :UInt64;
  count @1 :UInt32;
  lentAt @2 :UInt64;
}

struct QuotaRequest {
  number @0 :UInt64;
  ofLender @1 :Bool;
  wants @2 :List(QuotaWant);
  returns @3 :List(QuotaReturn);
  leaseEnd @4 :UInt64;
  leaseLeft @5 :Nanos;
  leaseEra @6 :UInt64;
}

struct QuotaOutcome {
  ticket @0 :UInt64;
  granted @1 :Bool;
  retryAfter @2 :Nanos;
}

struct QuotaGrant {
  team @0 :UInt64;
  granted @1 :UInt32;
  retryAfter @2 :Nanos;
  outcomes @3 :List(QuotaOutcome);
  held @4 :UInt32;
}

struct QuotaAnswer {
  number @0 :UInt64;
  lends @1 :Bool;
  lentAt @2 :UInt64;
  grants @3 :List(QuotaGrant);
}

struct PeerMessage {
  union {
    hello @0 :Hello;
    open @1 :Open;
    data @2 :BodyData;
    end @3 :End;
    credit @4 :Credit;
    answer @5 :Answer;
    refused @6 :Refused;
    reset @7 :Reset;
    cancel @8 :Cancel;
    summary @9 :Summary;
    goAway @10 :Void;
    heartbeat @11 :Heartbeat;
    snapshotRequest @12 :SnapshotRequest;
    snapshotChunk @13 :SnapshotChunk;
    stateNews @14 :StateNews;
    stateQuestion @15 :StateQuestion;
    stateDeclined @16 :StateDeclined;
    writeRequest @17 :WriteRequest;
    writeAnswer @18 :WriteAnswer;
    stateStamp @19 :StateStamp;
    quotaRequest @20 :QuotaRequest;
    quotaAnswer @21 :QuotaAnswer;
    withdraw @22 :Withdraw;
  }
}

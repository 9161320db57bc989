// Tests of the streams of one link: order, flow control, fairness, loss of the
// link and violations of the protocol.

#include "basilsill/wire/link_mux.h"

#include <algorithm>
#include <map>
#include <utility>

#include "link_pair.h"
#include "samples.h"

#include <CppUTest/TestHarness.h>

namespace basilsill::wire {
namespace {

constexpr BodyFraming kStreamed{BodyKind::kStream, 0};
constexpr size_t kChunk = limits::kBodyChunkBytes;

/// Queues body octets on `stream` until `mux` accepts no more.
/// @returns the number of octets queued.
size_t Fill(LinkMux& mux, const StreamId& stream) {
  size_t total = 0;
  while (mux.WritableBytes(stream) > 0) {
    const size_t size = std::min(mux.WritableBytes(stream), kChunk);
    CHECK(mux.SendData(stream, Bytes(size, 'x')).has_value());
    total += size;
  }
  return total;
}

FailureKind KindOf(const Result<void>& result) {
  return result ? FailureKind::kCount : result.error().kind;
}

/// Passes the encoded `messages` to `mux`.
/// @returns the kind of the failure; kCount if there is none.
FailureKind Feed(LinkMux& mux, const std::vector<PeerMessage>& messages) {
  return KindOf(mux.OnBytes(TimePoint(), BytesOf(messages)));
}

}  // namespace

TEST_GROUP(LinkMux) {
  LinkPair pair;
  LinkEnd& entry = this->pair.connector;
  LinkEnd& dispatcher = this->pair.acceptor;

  /// Opens streams from the entry and starts an answer of unknown length on
  /// each.
  std::vector<StreamId> Download(size_t count) {
    std::vector<StreamId> streams;
    for (size_t i = 0; i < count; ++i) {
      streams.push_back(this->pair.OpenAndDeliver());
      const Answer answer = AnswerWith(streams.back(), kStreamed);
      CHECK(this->dispatcher.mux.SendAnswer(answer).has_value());
    }
    this->pair.DeliverAll();
    return streams;
  }

  /// @returns the octets of each body that the entry has received so far, by
  /// index of the stream.
  std::map<uint32_t, size_t> Received() const {
    std::map<uint32_t, size_t> bytes;
    for (const LinkEvent& event : this->entry.received_events) {
      if (event.kind == LinkEventKind::kData) {
        bytes[event.stream.index] += std::get<Data>(event.message).bytes.size();
      }
    }
    return bytes;
  }
};

TEST(LinkMux, Hello_EachWay_MakesBothReady) {
  this->pair.DeliverAll();
  CHECK(this->entry.mux.ready());
  STRCMP_EQUAL("druzhba-1", this->entry.mux.peer().vm.c_str());
  STRCMP_EQUAL("lyulin-1", this->dispatcher.mux.peer().vm.c_str());
}

TEST(LinkMux, Stream_RequestAndAnswerWithBodies_AreReceivedCompletely) {
  const StreamId id =
      this->pair.OpenAndDeliver(OpenWith({BodyKind::kKnown, 7}));
  const LinkEvent& opened = this->dispatcher.Last(LinkEventKind::kOpened);
  CHECK(opened.stream == id);
  CHECK(this->entry.mux.SendData(id, "reading").has_value());
  CHECK(this->entry.mux.SendEnd(id).has_value());
  this->pair.DeliverAll();
  const LinkEvent& data = this->dispatcher.Last(LinkEventKind::kData);
  STRCMP_EQUAL("reading", std::get<Data>(data.message).bytes.c_str());
  CHECK(data.stream == id);
  CHECK_EQUAL(1, this->dispatcher.Count(LinkEventKind::kEnded));

  Answer answer = AnswerWith(id, kStreamed);
  answer.body = "lev";
  CHECK(this->dispatcher.mux.SendAnswer(answer).has_value());
  CHECK(this->dispatcher.mux.SendData(id, "el").has_value());
  CHECK(this->dispatcher.mux.SendEnd(id, SampleHeaders(2)).has_value());
  this->pair.DeliverAll();
  CHECK(std::get<Answer>(this->entry.Last(LinkEventKind::kAnswered).message) ==
        answer);
  const LinkEvent& ended = this->entry.Last(LinkEventKind::kEnded);
  CHECK(std::get<End>(ended.message).trailers == SampleHeaders(2));
  CHECK(ended.stream == id);
  CHECK_EQUAL(0, this->entry.mux.stream_count());
  CHECK_EQUAL(0, this->dispatcher.mux.stream_count());
}

// Failure: a request is cancelled and the next one on the same link reuses its
// index while the answer to the first is in flight. Without a generation in the
// stream id, the second request gets the answer to the first.
TEST(LinkMux, Answer_ToACancelledStream_IsNotDeliveredToItsSuccessor) {
  const StreamId first = this->pair.OpenAndDeliver();
  CHECK(this->dispatcher.mux.SendAnswer(AnswerWith(first, {})).has_value());
  this->entry.mux.CancelStream(first);
  const StreamId second = this->entry.mux.OpenStream(OpenWith({})).value();
  CHECK_EQUAL(first.index, second.index);
  this->pair.DeliverAll();
  CHECK_FALSE(this->pair.failure.has_value());
  CHECK_EQUAL(0, this->entry.Count(LinkEventKind::kAnswered));
  CHECK(this->dispatcher.mux.SendAnswer(AnswerWith(second, {})).has_value());
  this->pair.DeliverAll();
  CHECK(this->entry.Last(LinkEventKind::kAnswered).stream == second);
}

TEST(LinkMux, Cancel_OfAStreamNotYetSent_SendsNothing) {
  const StreamId id = this->entry.mux.OpenStream(OpenWith({})).value();
  this->entry.mux.CancelStream(id);
  this->pair.DeliverAll();
  CHECK_EQUAL(0, this->dispatcher.Count(LinkEventKind::kOpened));
  CHECK_EQUAL(0, this->dispatcher.Count(LinkEventKind::kCancelled));
}

TEST(LinkMux, Cancel_OfASentStream_ReachesTheDispatcher) {
  const StreamId id = this->pair.OpenAndDeliver();
  this->entry.mux.CancelStream(id);
  this->pair.DeliverAll();
  CHECK(this->dispatcher.Last(LinkEventKind::kCancelled).stream == id);
  CHECK(KindOf(this->dispatcher.mux.SendAnswer(AnswerWith(id, {}))) ==
        FailureKind::kNotFound);
}

TEST(LinkMux, Withdraw_OfAStreamNotYetSent_IsLostUnsent) {
  const StreamId id = this->entry.mux.OpenStream(OpenWith({})).value();
  this->entry.mux.WithdrawStream(id);
  this->pair.DeliverAll();
  CHECK(this->entry.Last(LinkEventKind::kLost).progress ==
        StreamProgress::kNeverSent);
  CHECK_EQUAL(0, this->dispatcher.Count(LinkEventKind::kOpened));
}

// The stream stays open: the request may be at an upstream already.
TEST(LinkMux, Withdraw_OfASentStream_CanStillBeAnswered) {
  const StreamId id = this->pair.OpenAndDeliver();
  this->entry.mux.WithdrawStream(id);
  this->pair.DeliverAll();
  CHECK(this->dispatcher.Last(LinkEventKind::kWithdrawn).stream == id);
  CHECK(this->dispatcher.mux.SendAnswer(AnswerWith(id, {})).has_value());
  this->pair.DeliverAll();
  CHECK(this->entry.Last(LinkEventKind::kAnswered).stream == id);
}

TEST(LinkMux, Refuse_BeforeAnAnswer_ClosesTheStreamWithItsReason) {
  const StreamId id = this->pair.OpenAndDeliver();
  const Refused refused{id, Refusal::kQueueFull, true,
                        std::chrono::milliseconds(5)};
  CHECK(this->dispatcher.mux.Refuse(refused).has_value());
  this->pair.DeliverAll();
  CHECK(std::get<Refused>(this->entry.Last(LinkEventKind::kRefused).message) ==
        refused);
  CHECK_EQUAL(0, this->entry.mux.stream_count());
}

// Failure: an upstream crashes in the middle of an answer, and the caller gets
// a body that looks complete, because the entry VM receives an End instead of a
// Reset.
TEST(LinkMux, Reset_InsideAnAnswer_ReplacesItsEnd) {
  const StreamId id = this->Download(1).front();
  Fill(this->dispatcher.mux, id);
  this->pair.Step(this->dispatcher, this->entry);
  CHECK(KindOf(this->dispatcher.mux.Refuse({id, Refusal::kUpstreamDied})) ==
        FailureKind::kOutOfRange);
  CHECK(this->dispatcher.mux.ResetStream({id, Refusal::kUpstreamDied})
            .has_value());
  this->pair.DeliverAll();
  CHECK_EQUAL(1, this->entry.Count(LinkEventKind::kReset));
  CHECK_EQUAL(0, this->entry.Count(LinkEventKind::kEnded));
  CHECK_EQUAL(0, this->dispatcher.mux.stream_count());
}

TEST(LinkMux, KnownLength_BodyOfOtherLength_IsNotSent) {
  const StreamId id =
      this->pair.OpenAndDeliver(OpenWith({BodyKind::kKnown, 4}));
  CHECK(KindOf(this->entry.mux.SendEnd(id)) == FailureKind::kOutOfRange);
  CHECK(KindOf(this->entry.mux.SendData(id, "hello")) ==
        FailureKind::kOutOfRange);
  CHECK(this->entry.mux.SendData(id, "hell").has_value());
  CHECK(this->entry.mux.SendEnd(id).has_value());
  CHECK(KindOf(this->entry.mux.SendEnd(id)) == FailureKind::kOutOfRange);
}

// Failure: a caller stops reading a long answer, and the entry VM buffers more
// than one window of it, or the transfer does not continue when the caller
// reads again.
TEST(LinkMux, Window_ReaderThatStops_BlocksTheSenderUntilItContinues) {
  const StreamId id = this->Download(1).front();
  size_t sent = 0;
  for (size_t step = 0; step < 100; ++step) {
    sent += Fill(this->dispatcher.mux, id);
    this->pair.DeliverAll();
  }
  CHECK_EQUAL(limits::kStreamWindowBytes, sent);
  CHECK_EQUAL(sent, this->Received()[id.index]);
  this->dispatcher.mux.AwaitWritable(id);
  this->entry.mux.Consumed(id, kChunk);
  this->pair.DeliverAll();
  CHECK_EQUAL(0, this->dispatcher.Count(LinkEventKind::kWritable));
  this->entry.mux.Consumed(id, kChunk);
  this->pair.DeliverAll();
  CHECK_EQUAL(1, this->dispatcher.Count(LinkEventKind::kWritable));
  CHECK_EQUAL(2 * kChunk, this->dispatcher.mux.WritableBytes(id));
}

TEST(LinkMux, Queue_LinkThatIsNotWritten_AcceptsALimitedBody) {
  const StreamId id = this->Download(1).front();
  CHECK_EQUAL(limits::kStreamQueueBytes, Fill(this->dispatcher.mux, id));
  CHECK(KindOf(this->dispatcher.mux.SendData(id, "x")) ==
        FailureKind::kLimitReached);
  this->dispatcher.mux.AwaitWritable(id);
  this->pair.Step(this->dispatcher, this->entry);
  CHECK_EQUAL(1, this->dispatcher.Count(LinkEventKind::kWritable));
}

TEST(LinkMux, Queue_LinkThatIsFull_AcceptsInlineBytesPerStreamAndNoNewStreams) {
  const size_t count = limits::kLinkQueueBytes / limits::kStreamQueueBytes;
  const std::vector<StreamId> streams = this->Download(count + 1);
  for (size_t i = 0; i < count; ++i) {
    Fill(this->dispatcher.mux, streams[i]);
  }
  CHECK_EQUAL(limits::kMaxInlineBodyBytes,
              Fill(this->dispatcher.mux, streams.back()));
  CHECK(this->dispatcher.mux.OpenStream(OpenWith({})).error().kind ==
        FailureKind::kLimitReached);
}

// Failure: many chunks of large answers are queued on a link, and a small
// answer waits for more than the one chunk that is being written.
TEST(LinkMux, Turns_SmallAnswerBesideDownloads_WaitsForOneChunk) {
  const std::vector<StreamId> downloads = this->Download(8);
  for (const StreamId& id : downloads) {
    Fill(this->dispatcher.mux, id);
  }
  for (size_t step = 0; step < downloads.size(); ++step) {
    this->pair.Step(this->dispatcher, this->entry);
  }
  const StreamId reading = this->entry.mux.OpenStream(OpenWith({})).value();
  this->pair.Step(this->entry, this->dispatcher);
  Answer answer = AnswerWith(reading, {BodyKind::kKnown, 5});
  answer.body = "level";
  answer.end = true;
  CHECK(this->dispatcher.mux.SendAnswer(answer).has_value());
  const size_t written = this->pair.Step(this->dispatcher, this->entry);
  CHECK(this->entry.Last(LinkEventKind::kAnswered).stream == reading);
  CHECK(written < 2 * kChunk);
}

TEST(LinkMux, Turns_ManyDownloads_ProgressEvenly) {
  const std::vector<StreamId> downloads = this->Download(5);
  for (size_t step = 0; step < 20; ++step) {
    for (const StreamId& id : downloads) {
      Fill(this->dispatcher.mux, id);
    }
    this->pair.Step(this->dispatcher, this->entry);
  }
  const std::map<uint32_t, size_t> received = this->Received();
  CHECK_EQUAL(downloads.size(), received.size());
  for (const auto& [index, bytes] : received) {
    CHECK_EQUAL(20 / downloads.size() * kChunk, bytes);
  }
}

// Failure: small answers use the whole bandwidth of the link, and a large
// answer makes no progress until they stop.
TEST(LinkMux, Turns_EndlessSmallAnswers_LeaveAShareToADownload) {
  const StreamId download = this->Download(1).front();
  this->dispatcher.received_events.clear();
  for (size_t step = 0; step < 64; ++step) {
    while (this->entry.mux.stream_count() < 32) {
      CHECK(this->entry.mux.OpenStream(OpenWith({})).has_value());
    }
    this->pair.Step(this->entry, this->dispatcher);
    for (const LinkEvent& event :
         std::exchange(this->dispatcher.received_events, {})) {
      Answer answer = AnswerWith(event.stream, {BodyKind::kKnown, 4096});
      answer.body = Bytes(4096, 'y');
      answer.end = true;
      const bool is_opened = event.kind == LinkEventKind::kOpened;
      CHECK(!is_opened || this->dispatcher.mux.SendAnswer(answer).has_value());
    }
    this->entry.mux.Consumed(download, kChunk);
    Fill(this->dispatcher.mux, download);
    this->pair.Step(this->dispatcher, this->entry);
  }
  CHECK(this->Received()[download.index] >= 64 / 5 * kChunk);
}

// Failure: a link is lost, and a caller gets the wrong information about a
// request. A request that was never written did not run, one that was written
// may have run, and one whose answer had begun has an incomplete answer.
TEST(LinkMux, Lost_StreamsAtEachStage_ReportTheirProgress) {
  const StreamId sent = this->pair.OpenAndDeliver();
  const StreamId answering = this->pair.OpenAndDeliver();
  this->dispatcher.mux.SendAnswer(AnswerWith(answering, kStreamed)).value();
  this->pair.DeliverAll();
  const StreamId queued = this->entry.mux.OpenStream(OpenWith({})).value();
  this->entry.mux.OnLost();
  this->entry.Collect();
  std::map<uint32_t, StreamProgress> progress_by_index;
  for (const LinkEvent& event : this->entry.received_events) {
    if (event.kind == LinkEventKind::kLost) {
      progress_by_index[event.stream.index] = event.progress;
    }
  }
  const std::map<uint32_t, StreamProgress> expected = {
      {sent.index, StreamProgress::kSent},
      {answering.index, StreamProgress::kAnswering},
      {queued.index, StreamProgress::kNeverSent}};
  CHECK(progress_by_index == expected);
  CHECK_EQUAL(0, this->entry.mux.stream_count());
  CHECK_FALSE(this->entry.mux.HasOutput());
  CHECK(this->entry.mux.OpenStream(OpenWith({})).error().kind ==
        FailureKind::kNetwork);
}

TEST(LinkMux, Lost_BeforeTheHello_ReportsNeverSent) {
  CHECK(this->entry.mux.OpenStream(OpenWith({})).has_value());
  FrameBuffer written;
  this->entry.mux.TakeOutput(TimePoint(), written);
  this->entry.mux.OnLost();
  this->entry.Collect();
  CHECK(this->entry.Last(LinkEventKind::kLost).progress ==
        StreamProgress::kNeverSent);
}

// Failure: one side closes an idle link while a request of the other side is in
// flight, so that it is unknown whether the request ran, although it did not.
// The link is closed only after GoAway was answered, so the request is served.
TEST(LinkMux, GoAway_WithAnOpenInFlight_ServesItBeforeTheClose) {
  this->pair.DeliverAll();
  this->dispatcher.mux.SendGoAway();
  const StreamId id = this->entry.mux.OpenStream(OpenWith({})).value();
  this->pair.Step(this->entry, this->dispatcher);
  CHECK_FALSE(this->dispatcher.mux.CanClose());
  this->pair.DeliverAll();
  CHECK_EQUAL(1, this->entry.Count(LinkEventKind::kGoAway));
  CHECK_FALSE(this->entry.mux.CanOpenStreams());
  CHECK_FALSE(this->dispatcher.mux.CanClose());
  CHECK(this->dispatcher.mux.SendAnswer(AnswerWith(id, {})).has_value());
  this->pair.DeliverAll();
  CHECK_EQUAL(1, this->entry.Count(LinkEventKind::kAnswered));
  CHECK(this->dispatcher.mux.CanClose());
  CHECK(this->entry.mux.CanClose());
}

TEST(LinkMux, GoAway_StreamsNotYetSent_AreLostUnsent) {
  this->pair.DeliverAll();
  this->dispatcher.mux.SendGoAway();
  CHECK(this->entry.mux.OpenStream(OpenWith({})).has_value());
  this->pair.Step(this->dispatcher, this->entry);
  CHECK(this->entry.Last(LinkEventKind::kLost).progress ==
        StreamProgress::kNeverSent);
  this->pair.DeliverAll();
  CHECK_EQUAL(0, this->dispatcher.Count(LinkEventKind::kOpened));
}

TEST(LinkMux, Idle_Link_ReturnsTimeOfLastTraffic) {
  this->pair.now = TimePoint(std::chrono::seconds(5));
  this->pair.DeliverAll();
  CHECK(this->entry.mux.idle_since() == this->pair.now);
  const StreamId id = this->pair.OpenAndDeliver();
  CHECK(this->entry.mux.idle_since() == kNever);
  this->pair.now = TimePoint(std::chrono::seconds(9));
  CHECK(this->dispatcher.mux.SendAnswer(AnswerWith(id, {})).has_value());
  this->pair.DeliverAll();
  CHECK(this->entry.mux.idle_since() == this->pair.now);
}

TEST(LinkMux, MaxStreams_OfThePeer_IsNotExceeded) {
  LinkMuxOptions few = OptionsOf(LinkSide::kAcceptor);
  few.hello.max_streams = 2;
  LinkEnd& early = this->entry;
  for (size_t i = 0; i < 3; ++i) {
    CHECK(early.mux.OpenStream(OpenWith({})).has_value());
  }
  CHECK(Feed(early.mux, {few.hello}) == FailureKind::kCount);
  early.Collect();
  CHECK_EQUAL(1, early.Count(LinkEventKind::kLost));
  CHECK(early.mux.OpenStream(OpenWith({})).error().kind ==
        FailureKind::kLimitReached);
}

// Failure: a faulty peer sends requests and never reads, so that the queued
// refusals fill the memory of this VM.
TEST(LinkMux, Flood_PeerThatDoesNotRead_EndsTheLink) {
  this->pair.DeliverAll();
  LinkMux& mux = this->dispatcher.mux;
  Result<void> result = boost::outcome_v2::success();
  uint32_t generation = 1;
  while (result && generation < 1'000'000) {
    Open open = OpenWith({});
    open.stream = {LinkSide::kConnector, 1, ++generation};
    const std::vector<PeerMessage> messages = {open};
    result = mux.OnBytes(TimePoint(), BytesOf(messages));
    mux.Refuse({open.stream, Refusal::kQueueFull, true}).has_value();
  }
  CHECK(KindOf(result) == FailureKind::kLimitReached);
}

TEST(LinkMux, Control_Link_CarriesItsMessagesAndNoStreams) {
  LinkMuxOptions options = OptionsOf(LinkSide::kConnector);
  options.hello.role = LinkRole::kControl;
  LinkEnd control(options);
  CHECK(Feed(control.mux, {options.hello, Heartbeat{}, SnapshotRequest{},
                           SnapshotChunk{}}) == FailureKind::kCount);
  control.Collect();
  CHECK_EQUAL(3, control.Count(LinkEventKind::kMessage));
  CHECK(control.mux.Post(Heartbeat{}).has_value());
  CHECK(KindOf(control.mux.Post(Summary{})) == FailureKind::kOutOfRange);
  CHECK_FALSE(control.mux.CanOpenStreams());
  CHECK(Feed(control.mux, {SampleOpen()}) == FailureKind::kMalformedFrame);
}

// Failure: a faulty peer violates the protocol, and the message is handled
// instead of ending the link with a typed failure.
TEST(LinkMux, Violation_OfEachRule_EndsTheLink) {
  const Hello hello = OptionsOf(LinkSide::kConnector).hello;
  Hello control = hello;
  control.role = LinkRole::kControl;
  const StreamId id{LinkSide::kConnector, 0, 1};
  const StreamId own{LinkSide::kAcceptor, 0, 1};
  Open open = OpenWith({BodyKind::kKnown, 3});
  open.stream = id;
  Open streamed = OpenWith(kStreamed);
  streamed.stream = id;
  Open older = open;
  older.stream.generation = 0;
  const Data data{id, "1234"};
  std::vector<PeerMessage> flood = {hello, streamed};
  const size_t chunks = limits::kStreamWindowBytes / kChunk;
  flood.insert(flood.end(), chunks, Data{id, Bytes(kChunk, 'x')});
  const std::vector<std::vector<PeerMessage>> violations = {
      {open},
      {GoAway{}},
      {control},
      {hello, hello},
      {hello, Data{id, "1"}},
      {hello, End{id, {}}},
      {hello, Credit{id, 1}},
      {hello, Cancel{id}},
      {hello, Withdraw{id}},
      {hello, AnswerWith(own, {})},
      {hello, Refused{own, Refusal::kNoRoute}},
      {hello, Reset{own, Refusal::kNoRoute}},
      {hello, open, open},
      {hello, open, Cancel{id}, open},
      {hello, open, Cancel{id}, older},
      {hello, open, data},
      {hello, open, Data{id, "12"}, End{id, {}}},
      {hello, open, Data{id, "123"}, End{id, {}}, End{id, {}}},
      {hello, open, AnswerWith(id, {})},
      {hello, open, Refused{id, Refusal::kNoRoute}},
      {hello, open, Reset{id, Refusal::kNoRoute}},
      {hello, open, Credit{id, 1}},
      {hello, open, Cancel{own}},
      {hello, open, Withdraw{own}},
      {hello, GoAway{}, GoAway{}},
      {hello, GoAway{}, open},
      {hello, Heartbeat{}},
      {hello, SnapshotRequest{}},
  };
  for (const std::vector<PeerMessage>& messages : violations) {
    LinkEnd end(OptionsOf(LinkSide::kAcceptor));
    const std::vector<PeerMessage> allowed(messages.begin(),
                                           messages.end() - 1);
    CHECK(Feed(end.mux, allowed) == FailureKind::kCount);
    CHECK(Feed(end.mux, {messages.back()}) == FailureKind::kMalformedFrame);
    CHECK(Feed(end.mux, {hello}) == FailureKind::kNetwork);
  }
  LinkEnd end(OptionsOf(LinkSide::kAcceptor));
  CHECK(Feed(end.mux, flood) == FailureKind::kCount);
  CHECK(Feed(end.mux, {Data{id, "x"}}) == FailureKind::kMalformedFrame);
}

}  // namespace basilsill::wire

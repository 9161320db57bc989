#include "basilsill/wire/link_mux.h"

#include <algorithm>
#include <string>
#include <utility>

#include "message_check.h"
#include "send_queue.h"
#include "stream.h"
#include "stream_table.h"

namespace basilsill::wire {
namespace {

Failure StreamClosed() {
  return {FailureKind::kNotFound, "/stream", "the stream is closed"};
}

Failure NotAllowedHere(std::string detail) {
  return {FailureKind::kOutOfRange, "/", std::move(detail)};
}

Failure LimitReached(std::string detail) {
  return {FailureKind::kLimitReached, "/", std::move(detail)};
}

bool BelongsToRole(const PeerMessage& message, LinkRole role) {
  if (std::holds_alternative<Summary>(message)) {
    return role == LinkRole::kData;
  }
  const bool of_control = std::holds_alternative<Heartbeat>(message) ||
                          std::holds_alternative<SnapshotRequest>(message) ||
                          std::holds_alternative<SnapshotChunk>(message) ||
                          std::holds_alternative<StateNews>(message) ||
                          std::holds_alternative<StateQuestion>(message) ||
                          std::holds_alternative<StateDeclined>(message) ||
                          std::holds_alternative<WriteRequest>(message) ||
                          std::holds_alternative<StateStamp>(message) ||
                          std::holds_alternative<QuotaRequest>(message) ||
                          std::holds_alternative<QuotaAnswer>(message) ||
                          std::holds_alternative<WriteAnswer>(message);
  return of_control && role == LinkRole::kControl;
}

}  // namespace

LinkMux::LinkMux(TimePoint now, LinkMuxOptions options)
    : options(std::move(options)),
      own(std::make_unique<StreamTable>(this->options.side)),
      accepted(std::make_unique<StreamTable>(
          this->options.side == LinkSide::kConnector ? LinkSide::kAcceptor
                                                     : LinkSide::kConnector)),
      queue(std::make_unique<SendQueue>()),
      received_at(now),
      active_at(now) {}

LinkMux::LinkMux(LinkMux&&) noexcept = default;
LinkMux& LinkMux::operator=(LinkMux&&) noexcept = default;
LinkMux::~LinkMux() = default;

Result<LinkMux> LinkMux::Create(TimePoint now, LinkMuxOptions options) {
  LinkMux mux(now, std::move(options));
  const Result<void> queued = mux.queue->PushUrgent(mux.options.hello);
  if (!queued) {
    return queued.error();
  }
  return mux;
}

bool LinkMux::HasOutput() const {
  return !this->lost && (this->queue->HasUrgent() ||
                         (this->peer_known && this->queue->HasTurns()));
}

void LinkMux::TakeOutput(TimePoint now, FrameBuffer& out, size_t target_bytes) {
  out.Clear();
  if (!this->HasOutput()) {
    return;
  }
  this->active_at = now;
  this->queue->TakeUrgent(out);
  while (this->peer_known && out.size() < target_bytes) {
    Stream* stream = this->queue->NextTurn();
    if (stream == nullptr) {
      break;
    }
    this->ServeTurn(*stream, out);
  }
}

void LinkMux::ServeTurn(Stream& stream, FrameBuffer& out) {
  this->queue->Serve(stream, out);
  const bool all_sent = stream.out.body.ended() && !stream.turn.is_linked();
  if (all_sent && !this->IsOwn(stream.id)) {
    this->Close(stream);
    return;
  }
  this->NotifyWritable(stream);
}

void LinkMux::OnLost() {
  this->lost = true;
  const auto lose = [this](Stream& stream) { this->LoseStream(stream); };
  this->own->ForEach(lose);
  this->accepted->ForEach(lose);
}

void LinkMux::TakeEvents(std::vector<LinkEvent>& out) {
  out.clear();
  std::swap(out, this->events);
}

Result<StreamId> LinkMux::OpenStream(Open open) {
  if (!this->CanOpenStreams()) {
    return Failure{FailureKind::kNetwork, "/",
                   "the link accepts no new streams"};
  }
  if (this->own->size() >= this->peer_hello.max_streams ||
      this->queue->queued_bytes() >= limits::kLinkQueueBytes) {
    return LimitReached(
        "the link has reached the stream limit or the queue limit");
  }
  Stream* stream = this->own->Create();
  if (stream == nullptr) {
    return LimitReached("the maximum number of streams is open");
  }
  const StreamId id = stream->id;
  stream->in.window_left = this->options.hello.stream_window;
  stream->out.credit = this->peer_known ? this->peer_hello.stream_window
                                        : limits::kMaxInlineBodyBytes;
  open.stream = id;
  stream->out.body.Begin(open.framing, open.body.size(), open.end);
  const Result<void> queued = this->QueueHead(*stream, std::move(open));
  if (!queued) {
    this->Close(*stream);
    return queued.error();
  }
  return id;
}

Result<void> LinkMux::QueueHead(Stream& stream, PeerMessage head) {
  Result<void> checked = CheckMessage(head);
  if (!checked) {
    return checked;
  }
  OutgoingHalf& out = stream.out;
  const size_t inline_bytes = PayloadOf(head)->size();
  out.credit -= inline_bytes;
  out.sent_bytes += inline_bytes;
  out.begun = true;
  out.head = std::make_unique<PeerMessage>(std::move(head));
  this->queue->Schedule(stream);
  return boost::outcome_v2::success();
}

void LinkMux::CancelStream(const StreamId& id) {
  Stream* stream = this->Find(id);
  if (stream == nullptr || !this->IsOwn(id)) {
    return;
  }
  if (stream->out.head_sent) {
    this->queue->PushUrgent(Cancel{id}).value();
  }
  this->Close(*stream);
}

void LinkMux::WithdrawStream(const StreamId& id) {
  Stream* stream = this->Find(id);
  if (stream == nullptr || !this->IsOwn(id)) {
    return;
  }
  if (stream->out.head_sent) {
    this->queue->PushUrgent(Withdraw{id}).value();
  } else {
    this->LoseStream(*stream);
  }
}

Result<void> LinkMux::SendAnswer(Answer answer) {
  Stream* stream = this->Find(answer.stream);
  if (stream == nullptr) {
    return StreamClosed();
  }
  if (this->IsOwn(stream->id) || stream->out.begun) {
    return NotAllowedHere(
        "this side can't answer the stream, or has already done so");
  }
  if (answer.body.size() > stream->out.credit) {
    return LimitReached("more octets than the peer's window allows");
  }
  const BodyFraming framing = answer.framing;
  const size_t inline_bytes = answer.body.size();
  const bool end = answer.end;
  Result<void> queued = this->QueueHead(*stream, std::move(answer));
  if (queued) {
    stream->out.body.Begin(framing, inline_bytes, end);
  }
  return queued;
}

Result<void> LinkMux::Refuse(const Refused& refused) {
  Stream* stream = this->Find(refused.stream);
  if (stream == nullptr) {
    return StreamClosed();
  }
  if (this->IsOwn(stream->id) || stream->out.head_sent) {
    return NotAllowedHere(
        "refusal of a stream that this side opened or has answered");
  }
  Result<void> queued = this->queue->PushUrgent(refused);
  if (queued) {
    this->Close(*stream);
  }
  return queued;
}

Result<void> LinkMux::ResetStream(const Reset& reset) {
  Stream* stream = this->Find(reset.stream);
  if (stream == nullptr) {
    return StreamClosed();
  }
  if (this->IsOwn(stream->id)) {
    return NotAllowedHere(
        "this side opened the stream: it must be cancelled, not reset");
  }
  Result<void> queued = this->queue->PushUrgent(reset);
  if (queued) {
    this->Close(*stream);
  }
  return queued;
}

size_t LinkMux::WritableBytes(const StreamId& id) const {
  const Stream* stream = this->Find(id);
  return stream == nullptr ? 0 : this->WritableBytes(*stream);
}

size_t LinkMux::WritableBytes(const Stream& stream) const {
  const OutgoingHalf& out = stream.out;
  if (!out.begun || out.body.ended()) {
    return 0;
  }
  const bool link_is_full =
      this->queue->queued_bytes() >= limits::kLinkQueueBytes;
  const size_t share =
      link_is_full ? limits::kMaxInlineBodyBytes : limits::kStreamQueueBytes;
  const size_t room = share - std::min(share, out.queued_bytes);
  return std::min(room, out.credit);
}

void LinkMux::AwaitWritable(const StreamId& id) {
  Stream* stream = this->Find(id);
  if (stream != nullptr) {
    stream->out.wants_event = true;
    this->NotifyWritable(*stream);
  }
}

void LinkMux::NotifyWritable(Stream& stream) {
  if (stream.out.wants_event && this->WritableBytes(stream) > 0) {
    stream.out.wants_event = false;
    this->Emit(LinkEventKind::kWritable, stream, {});
  }
}

Result<void> LinkMux::SendData(const StreamId& id, Bytes bytes) {
  Stream* stream = this->Find(id);
  if (stream == nullptr) {
    return StreamClosed();
  }
  if (bytes.empty() || bytes.size() > limits::kBodyChunkBytes ||
      bytes.size() > this->WritableBytes(*stream)) {
    return LimitReached(
        "the chunk is empty or larger than the writable octets");
  }
  if (!stream->out.body.Add(bytes.size())) {
    return NotAllowedHere(
        "the body exceeds its known length or has already ended");
  }
  stream->out.credit -= bytes.size();
  this->queue->PushChunk(*stream, std::move(bytes));
  return boost::outcome_v2::success();
}

Result<void> LinkMux::SendEnd(const StreamId& id, HeaderList trailers) {
  Stream* stream = this->Find(id);
  if (stream == nullptr) {
    return StreamClosed();
  }
  Result<void> checked = CheckMessage(End{id, trailers});
  if (!checked) {
    return checked;
  }
  if (!stream->out.begun || !stream->out.body.End()) {
    return NotAllowedHere(
        "end of a body that has not begun, has ended or is too short");
  }
  stream->out.trailers = std::move(trailers);
  stream->out.end_queued = true;
  this->queue->Schedule(*stream);
  return boost::outcome_v2::success();
}

void LinkMux::Consumed(const StreamId& id, size_t bytes) {
  Stream* stream = this->Find(id);
  if (stream == nullptr) {
    return;
  }
  IncomingHalf& in = stream->in;
  const size_t consumed = std::min(bytes, in.held);
  in.held -= consumed;
  in.unreported += consumed;
  // Sends one Credit for each quarter of the window. A Credit for each chunk
  // costs more frames; one for half of the window lets the sender run out of
  // credit on links with a long round-trip time.
  const size_t least = this->options.hello.stream_window / 4;
  if (in.body.ended() || in.unreported == 0 || in.unreported < least) {
    return;
  }
  in.window_left += in.unreported;
  const auto credit = static_cast<uint32_t>(std::exchange(in.unreported, 0));
  this->queue->PushUrgent(Credit{id, credit}).value();
}

Result<void> LinkMux::Post(PeerMessage message) {
  if (this->lost) {
    return Failure{FailureKind::kNetwork, "/", "the link is lost"};
  }
  if (!BelongsToRole(message, this->options.hello.role)) {
    return NotAllowedHere("the message is not allowed on a link of this role");
  }
  if (this->queue->IsOverflowing()) {
    return LimitReached("the peer reads too slowly");
  }
  return this->queue->PushUrgent(std::move(message));
}

void LinkMux::SendGoAway() {
  if (this->go_away_sent || this->lost) {
    return;
  }
  this->go_away_sent = true;
  this->queue->PushUrgent(GoAway{}).value();
  this->LoseUnsentStreams();
}

bool LinkMux::CanClose() const {
  return this->go_away_sent && this->go_away_received && !this->HasOutput() &&
         this->stream_count() == 0;
}

bool LinkMux::CanOpenStreams() const {
  return !this->lost && !this->go_away_sent && !this->go_away_received &&
         this->options.hello.role == LinkRole::kData;
}

size_t LinkMux::stream_count() const {
  return this->own->size() + this->accepted->size();
}

TimePoint LinkMux::idle_since() const {
  return this->stream_count() > 0 || this->HasOutput() ? kNever
                                                       : this->active_at;
}

bool LinkMux::IsOwn(const StreamId& id) const {
  return id.opener == this->options.side;
}

StreamTable& LinkMux::TableOf(const StreamId& id) const {
  return this->IsOwn(id) ? *this->own : *this->accepted;
}

Stream* LinkMux::Find(const StreamId& id) const {
  return this->TableOf(id).Find(id);
}

void LinkMux::Emit(LinkEventKind kind,
                   const Stream& stream,
                   PeerMessage message) {
  const bool is_done = stream.out.body.ended() && !this->IsOwn(stream.id);
  if (is_done) {
    // The owner has queued the complete answer and released the stream.
    return;
  }
  LinkEvent event;
  event.kind = kind;
  event.stream = stream.id;
  event.message = std::move(message);
  this->events.push_back(std::move(event));
}

void LinkMux::LoseStream(Stream& stream) {
  const size_t before = this->events.size();
  this->Emit(LinkEventKind::kLost, stream, {});
  if (this->events.size() > before) {
    const StreamProgress progress_if_sent =
        stream.in.begun ? StreamProgress::kAnswering : StreamProgress::kSent;
    this->events.back().progress =
        stream.out.head_sent ? progress_if_sent : StreamProgress::kNeverSent;
  }
  this->Close(stream);
}

void LinkMux::LoseUnsentStreams() {
  this->own->ForEach([this](Stream& stream) {
    if (!stream.out.head_sent) {
      this->LoseStream(stream);
    }
  });
}

void LinkMux::Close(Stream& stream) {
  this->queue->Drop(stream);
  this->TableOf(stream.id).Destroy(stream.id);
}

}  // namespace basilsill::wire

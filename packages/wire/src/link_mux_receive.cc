// The receiving half of the mux. It does not trust the peer: each message is
// validated, and a message that the protocol does not allow ends the link.

#include <string>
#include <utility>

#include "basilsill/wire/link_mux.h"
#include "send_queue.h"
#include "stream.h"
#include "stream_table.h"

namespace basilsill::wire {
namespace {

/// Maximum capacity of the message buffer that is kept between reads. A node
/// has many links, so a larger buffer, allocated for a burst, is freed.
constexpr size_t kMaxKeptMessages = 32;

Failure Violation(std::string detail) {
  return {FailureKind::kMalformedFrame, "/", std::move(detail)};
}

Result<void> Done() {
  return boost::outcome_v2::success();
}

}  // namespace

Result<void> LinkMux::OnBytes(TimePoint now, std::span<const char> bytes) {
  if (this->lost) {
    return Failure{FailureKind::kNetwork, "/", "the link is lost"};
  }
  this->received_at = now;
  this->active_at = now;
  std::vector<PeerMessage> messages = std::move(this->inbox);
  messages.clear();
  Result<void> result = this->decoder.Decode(bytes, messages);
  // Messages that were complete before a malformed frame are still handled.
  for (PeerMessage& message : messages) {
    Result<void> received = this->Receive(std::move(message));
    if (!received) {
      result = std::move(received);
      break;
    }
  }
  if (messages.capacity() <= kMaxKeptMessages) {
    this->inbox = std::move(messages);
  }
  if (result && this->queue->IsOverflowing()) {
    result = Failure{FailureKind::kLimitReached, "/",
                     "the peer sends messages without reading the replies"};
  }
  this->lost = !result.has_value();
  return result;
}

Result<void> LinkMux::Receive(PeerMessage message) {
  if (!this->peer_known) {
    return this->ReceiveFirst(message);
  }
  return std::visit(
      [this](auto&& value) {
        return this->On(std::forward<decltype(value)>(value));
      },
      std::move(message));
}

Result<void> LinkMux::ReceiveFirst(const PeerMessage& message) {
  const auto* hello = std::get_if<Hello>(&message);
  if (hello == nullptr) {
    return Violation("the first message on the link is not a Hello");
  }
  if (hello->role != this->options.hello.role) {
    return Violation("the Hello has another link role than this side");
  }
  this->peer_known = true;
  this->peer_hello = *hello;
  LinkEvent ready;
  ready.kind = LinkEventKind::kReady;
  ready.message = message;
  this->events.push_back(std::move(ready));
  this->LoseStreamsAbove(hello->max_streams);
  const size_t further = hello->stream_window - limits::kMaxInlineBodyBytes;
  this->own->ForEach([this, further](Stream& stream) {
    stream.out.credit += further;
    this->NotifyWritable(stream);
  });
  return Done();
}

void LinkMux::LoseStreamsAbove(size_t most) {
  this->own->ForEach([this, most](Stream& stream) {
    if (this->own->size() > most) {
      this->LoseStream(stream);
    }
  });
}

Result<Stream*> LinkMux::FindForPeer(const StreamId& id) const {
  const StreamTable& table = this->TableOf(id);
  Stream* stream = table.Find(id);
  const bool is_known = stream != nullptr
                            ? !this->IsOwn(id) || stream->out.head_sent
                            : table.WasOpened(id);
  if (!is_known) {
    return Violation("message for a stream that was never opened");
  }
  return stream;
}

Result<Stream*> LinkMux::FindOwnForPeer(const StreamId& id) const {
  if (!this->IsOwn(id)) {
    return Violation("answer to a stream that this side did not open");
  }
  return this->FindForPeer(id);
}

Result<void> LinkMux::On(const Hello& /*hello*/) {
  return Violation("a second Hello");
}

Result<void> LinkMux::On(Open open) {
  if (this->options.hello.role != LinkRole::kData || this->go_away_received ||
      this->IsOwn(open.stream) ||
      this->accepted->size() >= this->options.hello.max_streams) {
    return Violation("the stream may not be opened by the peer");
  }
  Stream* stream = this->accepted->Adopt(open.stream);
  if (stream == nullptr) {
    return Violation("stream id is in use or was used before");
  }
  stream->in.window_left = this->options.hello.stream_window;
  stream->out.credit = this->peer_hello.stream_window;
  const Result<void> begun =
      this->OnHead(*stream, open.framing, open.body, open.end);
  if (!begun) {
    return begun.error();
  }
  this->Emit(LinkEventKind::kOpened, *stream, std::move(open));
  return Done();
}

Result<void> LinkMux::On(Answer answer) {
  const Result<Stream*> found = this->FindOwnForPeer(answer.stream);
  if (!found) {
    return found.error();
  }
  Stream* stream = found.value();
  if (stream == nullptr) {
    return Done();
  }
  Result<void> begun =
      this->OnHead(*stream, answer.framing, answer.body, answer.end);
  if (!begun) {
    return begun;
  }
  const bool end = answer.end;
  this->Emit(LinkEventKind::kAnswered, *stream, std::move(answer));
  if (end) {
    this->Close(*stream);
  }
  return Done();
}

Result<void> LinkMux::OnHead(Stream& stream,
                             const BodyFraming& framing,
                             const Bytes& body,
                             bool end) {
  IncomingHalf& in = stream.in;
  if (in.begun || body.size() > in.window_left) {
    return Violation("second head of a stream, or its body exceeds the window");
  }
  in.begun = true;
  in.window_left -= body.size();
  in.held += body.size();
  in.body.Begin(framing, body.size(), end);
  return Done();
}

Result<void> LinkMux::On(Data data) {
  const Result<Stream*> found = this->FindForPeer(data.stream);
  if (!found) {
    return found.error();
  }
  Stream* stream = found.value();
  if (stream == nullptr) {
    return Done();
  }
  IncomingHalf& in = stream->in;
  const size_t size = data.bytes.size();
  if (!in.begun || size > in.window_left || !in.body.Add(size)) {
    return Violation("octets outside of a body, its length or its window");
  }
  in.window_left -= size;
  in.held += size;
  this->Emit(LinkEventKind::kData, *stream, std::move(data));
  return Done();
}

Result<void> LinkMux::On(End end) {
  const Result<Stream*> found = this->FindForPeer(end.stream);
  if (!found) {
    return found.error();
  }
  Stream* stream = found.value();
  if (stream == nullptr) {
    return Done();
  }
  if (!stream->in.begun || !stream->in.body.End()) {
    return Violation(
        "end of a body that has not begun, has ended or is too short");
  }
  const bool is_own = this->IsOwn(stream->id);
  this->Emit(LinkEventKind::kEnded, *stream, std::move(end));
  if (is_own) {
    this->Close(*stream);
  }
  return Done();
}

Result<void> LinkMux::On(const Credit& credit) {
  const Result<Stream*> found = this->FindForPeer(credit.stream);
  if (!found) {
    return found.error();
  }
  Stream* stream = found.value();
  if (stream == nullptr) {
    return Done();
  }
  const size_t spent = this->peer_hello.stream_window - stream->out.credit;
  if (credit.bytes > spent) {
    return Violation("more credit than octets were sent");
  }
  stream->out.credit += credit.bytes;
  this->NotifyWritable(*stream);
  return Done();
}

Result<void> LinkMux::On(const Refused& refused) {
  const Result<Stream*> found = this->FindOwnForPeer(refused.stream);
  if (!found) {
    return found.error();
  }
  Stream* stream = found.value();
  if (stream == nullptr) {
    return Done();
  }
  if (stream->in.begun) {
    return Violation("refusal after the head of an answer");
  }
  this->Emit(LinkEventKind::kRefused, *stream, refused);
  this->Close(*stream);
  return Done();
}

Result<void> LinkMux::On(const Reset& reset) {
  const Result<Stream*> found = this->FindOwnForPeer(reset.stream);
  if (!found) {
    return found.error();
  }
  Stream* stream = found.value();
  if (stream != nullptr) {
    this->Emit(LinkEventKind::kReset, *stream, reset);
    this->Close(*stream);
  }
  return Done();
}

Result<void> LinkMux::On(const Cancel& cancel) {
  if (this->IsOwn(cancel.stream)) {
    return Violation("cancel of a stream that the peer did not open");
  }
  const Result<Stream*> found = this->FindForPeer(cancel.stream);
  if (!found) {
    return found.error();
  }
  Stream* stream = found.value();
  if (stream != nullptr) {
    this->Emit(LinkEventKind::kCancelled, *stream, cancel);
    this->Close(*stream);
  }
  return Done();
}

Result<void> LinkMux::On(const Withdraw& withdraw) {
  if (this->IsOwn(withdraw.stream)) {
    return Violation("withdrawal of a stream that the peer did not open");
  }
  const Result<Stream*> found = this->FindForPeer(withdraw.stream);
  if (!found) {
    return found.error();
  }
  Stream* stream = found.value();
  if (stream != nullptr) {
    this->Emit(LinkEventKind::kWithdrawn, *stream, withdraw);
  }
  return Done();
}

Result<void> LinkMux::On(const GoAway& go_away) {
  if (this->go_away_received) {
    return Violation("a second GoAway");
  }
  this->go_away_received = true;
  LinkEvent event;
  event.kind = LinkEventKind::kGoAway;
  event.message = go_away;
  this->events.push_back(std::move(event));
  this->SendGoAway();
  return Done();
}

Result<void> LinkMux::OnPosted(PeerMessage message, LinkRole role) {
  if (this->options.hello.role != role) {
    return Violation("message not allowed on a link of this role");
  }
  LinkEvent event;
  event.kind = LinkEventKind::kMessage;
  event.message = std::move(message);
  this->events.push_back(std::move(event));
  return Done();
}

Result<void> LinkMux::On(const Summary& summary) {
  return this->OnPosted(summary, LinkRole::kData);
}

Result<void> LinkMux::On(Heartbeat heartbeat) {
  return this->OnPosted(std::move(heartbeat), LinkRole::kControl);
}

Result<void> LinkMux::On(const SnapshotRequest& request) {
  return this->OnPosted(request, LinkRole::kControl);
}

Result<void> LinkMux::On(SnapshotChunk chunk) {
  return this->OnPosted(std::move(chunk), LinkRole::kControl);
}

Result<void> LinkMux::On(StateNews update) {
  return this->OnPosted(std::move(update), LinkRole::kControl);
}

Result<void> LinkMux::On(StateQuestion question) {
  return this->OnPosted(std::move(question), LinkRole::kControl);
}

Result<void> LinkMux::On(const StateDeclined& declined) {
  return this->OnPosted(declined, LinkRole::kControl);
}

Result<void> LinkMux::On(WriteRequest request) {
  return this->OnPosted(std::move(request), LinkRole::kControl);
}

Result<void> LinkMux::On(const WriteAnswer& answer) {
  return this->OnPosted(answer, LinkRole::kControl);
}

Result<void> LinkMux::On(const StateStamp& stamp) {
  return this->OnPosted(stamp, LinkRole::kControl);
}

Result<void> LinkMux::On(QuotaRequest request) {
  return this->OnPosted(std::move(request), LinkRole::kControl);
}

Result<void> LinkMux::On(QuotaAnswer answer) {
  return this->OnPosted(std::move(answer), LinkRole::kControl);
}

}  // namespace basilsill::wire

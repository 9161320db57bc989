#include "link_stream.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "peer_link.h"

namespace basilsill {
namespace {

bool EndsStream(wire::LinkEventKind kind) {
  return kind == wire::LinkEventKind::kRefused ||
         kind == wire::LinkEventKind::kReset ||
         kind == wire::LinkEventKind::kCancelled ||
         kind == wire::LinkEventKind::kLost;
}

}  // namespace

void LinkStream::Deliver(wire::LinkEvent event) {
  if (event.kind == wire::LinkEventKind::kWritable) {
    this->writable.Set();
    return;
  }
  if (event.kind == wire::LinkEventKind::kWithdrawn) {
    this->withdrawn = true;
    if (this->on_withdrawn) {
      this->on_withdrawn();
    }
    return;
  }
  const bool ends = EndsStream(event.kind);
  this->closed = this->closed || ends;
  this->events.push_back(std::move(event));
  this->arrived.Set();
  if (ends) {
    this->writable.Set();
    if (this->on_closed) {
      this->on_closed();
    }
  }
}

Task<wire::LinkEvent> LinkStream::Next() {
  while (this->events.empty()) {
    co_await this->arrived.Wait();
  }
  wire::LinkEvent event = std::move(this->events.front());
  this->events.pop_front();
  co_return event;
}

LinkBodyWriter::LinkBodyWriter(std::shared_ptr<PeerLink> link,
                               LinkStreamPtr stream)
    : link(std::move(link)), stream(std::move(stream)) {}

Task<bool> LinkBodyWriter::Write(std::span<const char> piece) {
  while (!piece.empty()) {
    size_t room = this->link->WritableBytes(*this->stream);
    while (room == 0 && !this->stream->closed) {
      co_await this->stream->writable.Wait();
      room = this->link->WritableBytes(*this->stream);
    }
    if (this->stream->closed) {
      co_return false;
    }
    const size_t size =
        std::min(std::min(room, piece.size()), limits::kBodyChunkBytes);
    const Result<void> sent = this->link->Send([&](wire::LinkMux& mux) {
      return mux.SendData(this->stream->id, wire::Bytes(piece.data(), size));
    });
    if (!sent) {
      co_return false;
    }
    piece = piece.subspan(size);
  }
  co_return true;
}

bool LinkBodyWriter::Finish(const HttpFields* trailers) {
  const Result<void> sent = this->link->Send([&](wire::LinkMux& mux) {
    return mux.SendEnd(this->stream->id, trailers != nullptr
                                             ? ToHeaderList(*trailers)
                                             : wire::HeaderList());
  });
  return sent.has_value();
}

LinkBodySource::LinkBodySource(std::shared_ptr<PeerLink> link,
                               LinkStreamPtr stream)
    : link(std::move(link)), stream(std::move(stream)) {}

Task<BodyPiece> LinkBodySource::Read(std::span<char> buffer) {
  while (this->unread_offset == this->unread.size() && !this->ended) {
    if (this->stopped) {
      co_return BodyPiece{false, true, 0};
    }
    if (this->stream->events.empty()) {
      co_await this->stream->arrived.Wait();
      continue;
    }
    wire::LinkEvent event = std::move(this->stream->events.front());
    this->stream->events.pop_front();
    if (event.kind == wire::LinkEventKind::kData) {
      this->unread = std::get<wire::Data>(std::move(event.message)).bytes;
      this->unread_offset = 0;
    } else if (event.kind == wire::LinkEventKind::kEnded) {
      this->ended = true;
      this->end_fields =
          FromHeaderList(std::get<wire::End>(event.message).trailers);
    } else {
      co_return BodyPiece{false, true, 0};
    }
  }
  const size_t size =
      std::min(buffer.size(), this->unread.size() - this->unread_offset);
  std::memcpy(buffer.data(), this->unread.data() + this->unread_offset, size);
  this->unread_offset += size;
  this->link->Consumed(*this->stream, size);
  const bool last = this->ended && this->unread_offset == this->unread.size();
  co_return BodyPiece{true, last, size};
}

void LinkBodySource::Stop() {
  this->stopped = true;
  this->stream->arrived.Set();
}

LinkAnswerSink::LinkAnswerSink(const std::shared_ptr<PeerLink>& link,
                               const LinkStreamPtr& stream)
    : link(link), stream(stream), writer(link, stream) {}

Task<bool> LinkAnswerSink::Start(const AnswerHead& head,
                                 std::span<const char> piece,
                                 bool last) {
  const bool inlined = piece.size() <= limits::kMaxInlineBodyBytes;
  wire::Answer answer;
  answer.stream = this->stream->id;
  answer.status = static_cast<uint16_t>(head.status);
  answer.phrase = head.reason;
  answer.headers = ToHeaderList(head.headers);
  answer.framing = ToWireFraming(head.framing);
  const bool whole = last && inlined;
  answer.end = whole;
  if (inlined) {
    answer.body.assign(piece.data(), piece.size());
  }
  const Result<void> sent = this->link->Send(
      [&](wire::LinkMux& mux) { return mux.SendAnswer(std::move(answer)); });
  if (!sent) {
    co_return false;
  }
  this->started = true;
  this->ended = whole;
  if (whole || inlined) {
    co_return true;
  }
  const bool rest = co_await this->Continue(piece, last, nullptr);
  co_return rest;
}

Task<bool> LinkAnswerSink::Continue(std::span<const char> piece,
                                    bool last,
                                    const HttpFields* trailers) {
  const bool sent = co_await this->writer.Write(piece);
  if (!sent || !last) {
    co_return sent;
  }
  this->ended = this->writer.Finish(trailers);
  co_return this->ended;
}

void LinkAnswerSink::Break() {
  this->link->TrySend([this](wire::LinkMux& mux) {
    return mux.ResetStream({this->stream->id, Refusal::kUpstreamDied});
  });
}

wire::HeaderList ToHeaderList(const HttpFields& fields) {
  wire::HeaderList list;
  for (const auto& field : fields) {
    const auto name = field.name_string();
    const auto value = field.value();
    list.Append({name.data(), name.size()}, {value.data(), value.size()});
  }
  return list;
}

HttpFields FromHeaderList(const wire::HeaderList& list) {
  HttpFields fields;
  for (const wire::HeaderView field : list) {
    fields.insert({field.name.data(), field.name.size()},
                  {field.value.data(), field.value.size()});
  }
  return fields;
}

wire::BodyFraming ToWireFraming(const BodyFraming& framing) {
  switch (framing.kind) {
    case BodyKind::kNone:
      return {wire::BodyKind::kNone, 0};
    case BodyKind::kLength:
      return {wire::BodyKind::kKnown, framing.length};
    default:
      return {wire::BodyKind::kStream, 0};
  }
}

BodyFraming FromWireFraming(const wire::BodyFraming& framing) {
  switch (framing.kind) {
    case wire::BodyKind::kNone:
      return {BodyKind::kNone, 0};
    case wire::BodyKind::kKnown:
      return {BodyKind::kLength, framing.length};
    default:
      return {BodyKind::kChunked, 0};
  }
}

}  // namespace basilsill

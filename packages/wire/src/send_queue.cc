#include "send_queue.h"

#include <utility>

namespace basilsill::wire {
namespace {

/// Octets that small streams may send in a row while large streams wait.
/// Without this limit, a steady flow of small answers would starve a large
/// answer.
constexpr size_t kSmallRunBytes = 3 * limits::kBodyChunkBytes;

/// @returns true if the known octets of the stream's body (sent, queued and
/// still expected) fit into one chunk.
bool IsSmall(const OutgoingHalf& out) {
  const uint64_t known_left = out.body.known_left();
  return known_left <= limits::kBodyChunkBytes &&
         out.sent_bytes + out.queued_bytes + known_left <=
             limits::kBodyChunkBytes;
}

bool HasWork(const OutgoingHalf& out) {
  return out.head != nullptr || !out.chunks.empty() || out.end_queued;
}

/// @returns true if `bytes` can be appended to the last queued chunk. Small
/// pieces are merged, because otherwise each of them would need its own string
/// and its own frame.
bool CanJoin(const OutgoingHalf& out, const Bytes& bytes) {
  return !out.chunks.empty() &&
         bytes.size() <= FrameBuffer::kCopiedPayloadBytes &&
         out.chunks.back().size() + bytes.size() <= limits::kBodyChunkBytes;
}

}  // namespace

Result<void> SendQueue::PushUrgent(PeerMessage message) {
  return this->encoder.Encode(std::move(message), this->urgent);
}

void SendQueue::PushChunk(Stream& stream, Bytes bytes) {
  stream.out.queued_bytes += bytes.size();
  this->total_bytes += bytes.size();
  if (CanJoin(stream.out, bytes)) {
    stream.out.chunks.back().append(bytes);
  } else {
    stream.out.chunks.push_back(std::move(bytes));
  }
  this->Schedule(stream);
}

void SendQueue::Schedule(Stream& stream) {
  if (stream.turn.is_linked() || !HasWork(stream.out)) {
    return;
  }
  (IsSmall(stream.out) ? this->small : this->large).push_back(stream);
}

void SendQueue::Drop(Stream& stream) {
  this->total_bytes -= stream.out.queued_bytes;
  stream.out.queued_bytes = 0;
  stream.out.chunks.clear();
  stream.out.head.reset();
  stream.out.end_queued = false;
  stream.turn.unlink();
}

void SendQueue::TakeUrgent(FrameBuffer& out) {
  out.Clear();
  std::swap(out, this->urgent);
}

Stream* SendQueue::NextTurn() {
  this->DemoteGrownStreams();
  const bool large_is_due =
      this->small.empty() || this->small_run_bytes >= kSmallRunBytes;
  const bool take_large = large_is_due && !this->large.empty();
  TurnList& list = take_large ? this->large : this->small;
  if (list.empty()) {
    return nullptr;
  }
  Stream& stream = list.front();
  list.pop_front();
  return &stream;
}

void SendQueue::DemoteGrownStreams() {
  while (!this->small.empty() && !IsSmall(this->small.front().out)) {
    Stream& stream = this->small.front();
    this->small.pop_front();
    this->large.push_back(stream);
  }
}

void SendQueue::Serve(Stream& stream, FrameBuffer& out) {
  OutgoingHalf& half = stream.out;
  const size_t before = out.size();
  const bool is_small = IsSmall(half);
  // The encoding can't fail: the fields were checked when the messages were
  // queued, and with their limits no frame can exceed the maximum size.
  if (half.head != nullptr) {
    this->encoder.EncodeChecked(std::move(*half.head), out).value();
    half.head.reset();
    half.head_sent = true;
  }
  size_t turn_bytes = 0;
  while (!half.chunks.empty() &&
         turn_bytes + half.chunks.front().size() <= limits::kBodyChunkBytes) {
    Data data{stream.id, this->PopChunk(stream)};
    turn_bytes += data.bytes.size();
    this->encoder.EncodeChecked(std::move(data), out).value();
  }
  if (half.chunks.empty() && half.end_queued) {
    End end{stream.id, std::move(half.trailers)};
    this->encoder.EncodeChecked(std::move(end), out).value();
    half.end_queued = false;
  }
  const size_t run = this->small_run_bytes + out.size() - before;
  this->small_run_bytes = is_small && !this->large.empty() ? run : 0;
  this->Schedule(stream);
}

Bytes SendQueue::PopChunk(Stream& stream) {
  OutgoingHalf& half = stream.out;
  Bytes chunk = std::move(half.chunks.front());
  half.chunks.erase(half.chunks.begin());
  half.queued_bytes -= chunk.size();
  half.sent_bytes += chunk.size();
  this->total_bytes -= chunk.size();
  return chunk;
}

}  // namespace basilsill::wire

#include <utility>

#include "basilsill/wire/frame.h"

namespace basilsill::wire {

std::span<char> FrameBuffer::Extend(size_t count) {
  const size_t start = this->arena.size();
  this->arena.resize(start + count);
  this->total += count;
  return std::span<char>(this->arena).subspan(start);
}

void FrameBuffer::AppendPayload(Bytes payload) {
  this->total += payload.size();
  if (payload.size() <= kCopiedPayloadBytes) {
    this->arena.append(payload);
    return;
  }
  this->payloads.push_back({this->arena.size(), std::move(payload)});
}

void FrameBuffer::Gather(std::vector<std::span<const char>>& parts) const {
  parts.clear();
  const std::span<const char> all(this->arena);
  size_t start = 0;
  for (const PlacedPayload& payload : this->payloads) {
    if (payload.arena_end > start) {
      parts.push_back(all.subspan(start, payload.arena_end - start));
      start = payload.arena_end;
    }
    parts.emplace_back(payload.bytes);
  }
  if (start < all.size()) {
    parts.push_back(all.subspan(start));
  }
}

void FrameBuffer::Clear() {
  this->arena.clear();
  this->payloads.clear();
  this->total = 0;
}

}  // namespace basilsill::wire

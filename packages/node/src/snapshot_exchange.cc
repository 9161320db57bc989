#include "snapshot_exchange.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "basilsill/base/limits.h"
#include "basilsill/decision/checkpoint.h"

namespace basilsill {
namespace {

// A snapshot that a peer has not completed within this time is requested from
// another peer.
constexpr std::chrono::seconds kSnapshotTimeout{2};
constexpr uint64_t kMaxSnapshotBytes = 64 * 1024 * 1024;
// Parts are JSON without line breaks, so a line break can separate them.
constexpr char kSeparator = '\n';

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  std::string line;
  while (std::getline(stream, line, kSeparator)) {
    lines.push_back(line);
  }
  return lines;
}

}  // namespace

SnapshotExchange::SnapshotExchange(const ConfigurationFollower& follower,
                                   SnapshotHandlers handlers)
    : follower(follower), handlers(std::move(handlers)) {}

void SnapshotExchange::RefreshOutgoing() {
  this->outgoing_offset = this->follower.state().next_offset();
  this->outgoing.clear();
  const std::string id = "snapshot-" + std::to_string(this->outgoing_offset);
  for (const std::string& part : WriteCheckpoint(this->follower.state(), id)) {
    this->outgoing += part;
    this->outgoing += kSeparator;
  }
}

wire::SnapshotChunk SnapshotExchange::Answer(
    const wire::SnapshotRequest& request) {
  wire::SnapshotChunk chunk;
  if (!this->follower.is_ready()) {
    return chunk;
  }
  if (request.position == 0) {
    this->RefreshOutgoing();
  }
  // The state has changed while the peer was reading, so the peer gets the new
  // snapshot from its start.
  const bool moved =
      request.position > 0 && request.applied_offset != this->outgoing_offset;
  const uint64_t position = moved ? 0 : request.position;
  if (moved) {
    this->RefreshOutgoing();
  }
  chunk.applied_offset = this->outgoing_offset;
  chunk.position = std::min<uint64_t>(position, this->outgoing.size());
  chunk.total = this->outgoing.size();
  chunk.bytes = this->outgoing.substr(chunk.position, limits::kBodyChunkBytes);
  return chunk;
}

void SnapshotExchange::OnChunk(VmHandle from,
                               const wire::SnapshotChunk& chunk) {
  if (from != this->source || chunk.total == 0 ||
      chunk.total > kMaxSnapshotBytes) {
    return;
  }
  if (chunk.position == 0) {
    this->incoming.clear();
    this->incoming_offset = chunk.applied_offset;
  }
  const bool fits = chunk.position == this->incoming.size() &&
                    chunk.applied_offset == this->incoming_offset;
  if (!fits) {
    return;
  }
  this->incoming += chunk.bytes;
  if (this->incoming.size() < chunk.total) {
    this->handlers.send_request(from,
                                {this->incoming_offset, this->incoming.size()});
    return;
  }
  this->source = VmHandle{};
  this->handlers.on_snapshot(SplitLines(std::exchange(this->incoming, {})));
}

void SnapshotExchange::Tick(TimePoint now, const std::vector<VmHandle>& peers) {
  const bool is_waiting = IsValid(this->source);
  if (!this->follower.wants_snapshot()) {
    this->source = VmHandle{};
    return;
  }
  if (peers.empty() ||
      (is_waiting && now - this->requested_at < kSnapshotTimeout)) {
    return;
  }
  this->requested_at = now;
  this->RequestFrom(peers[this->next_peer++ % peers.size()]);
}

void SnapshotExchange::RequestFrom(VmHandle peer) {
  this->incoming.clear();
  this->source = peer;
  if (!this->handlers.send_request(peer, {})) {
    this->source = VmHandle{};
  }
}

}  // namespace basilsill

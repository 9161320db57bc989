#include "plain_peer.h"

#include <chrono>
#include <span>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

namespace basilsill::test {
namespace {

constexpr size_t kPieceBytes = 1024;
constexpr std::chrono::seconds kDeadline{10};

wire::LinkMuxOptions Options(wire::Hello hello, wire::LinkSide side) {
  wire::LinkMuxOptions options;
  options.side = side;
  options.hello = std::move(hello);
  return options;
}

}  // namespace

PlainPeer::PlainPeer(boost::asio::ip::tcp::socket socket,
                     wire::Hello hello,
                     wire::LinkSide side)
    : socket(std::move(socket)),
      mux(wire::LinkMux::Create(MonotonicClock::now(),
                                Options(std::move(hello), side))
              .value()) {}

void PlainPeer::Flush() {
  wire::FrameBuffer frames;
  std::vector<std::span<const char>> parts;
  while (this->mux.HasOutput()) {
    this->mux.TakeOutput(MonotonicClock::now(), frames);
    frames.Gather(parts);
    for (const std::span<const char> part : parts) {
      boost::system::error_code ignored;
      boost::asio::write(
          this->socket, boost::asio::buffer(part.data(), part.size()), ignored);
    }
  }
}

bool PlainPeer::Read() {
  std::vector<char> piece(kPieceBytes);
  boost::system::error_code error;
  const size_t size = this->socket.read_some(boost::asio::buffer(piece), error);
  if (error) {
    return false;
  }
  CHECK(this->mux.OnBytes(MonotonicClock::now(), {piece.data(), size})
            .has_value());
  std::vector<wire::LinkEvent> events;
  this->mux.TakeEvents(events);
  for (const wire::LinkEvent& event : events) {
    this->Take(event);
  }
  return true;
}

bool PlainPeer::ReadUntil(const std::function<bool()>& condition) {
  while (!condition()) {
    this->Flush();
    if (!this->Read()) {
      return false;
    }
  }
  return true;
}

void PlainPeer::Take(const wire::LinkEvent& event) {
  if (event.kind == wire::LinkEventKind::kAnswered) {
    this->status = std::get<wire::Answer>(event.message).status;
  }
  if (event.kind == wire::LinkEventKind::kData) {
    this->body_bytes += std::get<wire::Data>(event.message).bytes.size();
  }
  if (const auto* heartbeat = std::get_if<wire::Heartbeat>(&event.message)) {
    this->received_leaving =
        this->received_leaving || heartbeat->state == VmState::kLeaving;
  }
  this->body_ended =
      this->body_ended || event.kind == wire::LinkEventKind::kEnded;
  this->received_go_away =
      this->received_go_away || event.kind == wire::LinkEventKind::kGoAway;
}

wire::Hello PeerHello(wire::LinkRole role, const std::string& vm) {
  wire::Hello hello;
  hello.role = role;
  hello.vm = vm;
  hello.incarnation = 1;
  return hello;
}

wire::Open PeerRequest(ShardKey shard) {
  wire::Open open;
  open.shard = shard;
  open.service = "banklevel";
  open.team = "rodopa";
  open.rule = "levels";
  open.method = "GET";
  open.target = "/";
  open.deadline = kDeadline;
  open.end = true;
  return open;
}

}  // namespace basilsill::test

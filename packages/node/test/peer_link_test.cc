// Tests of a link's end, with a peer of which each byte is known.

#include "peer_link.h"

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using basilsill::AnswerHead;
using basilsill::BodyKind;
using basilsill::IoContext;
using basilsill::LinkAnswerSink;
using basilsill::LinkCounters;
using basilsill::LinkHandlers;
using basilsill::LinkStreamPtr;
using basilsill::MonotonicClock;
using basilsill::PeerLink;
using basilsill::PeerLinkPtr;
using basilsill::Socket;
using basilsill::Task;
using basilsill::Tcp;
namespace wire = basilsill::wire;

namespace {

constexpr size_t kBodyBytes = 200'000;
// Most of an answer is still in the buffer of the side that sends it.
constexpr int kSmallBuffer = 4096;
constexpr size_t kPieceBytes = 1024;
constexpr int kSummaries = 20'000;

wire::LinkMuxOptions Options(wire::LinkSide side, const std::string& vm) {
  wire::LinkMuxOptions options;
  options.side = side;
  options.hello.vm = vm;
  options.hello.incarnation = 1;
  return options;
}

/// A worker's side of a link, which answers each stream with a long body.
class AnsweringSide {
 public:
  explicit AnsweringSide(Socket socket) {
    LinkHandlers handlers;
    handlers.on_open = [](const PeerLinkPtr& link, LinkStreamPtr stream,
                          const wire::Open&) {
      boost::asio::co_spawn(link->executor(), Answer(link, std::move(stream)),
                            boost::asio::detached);
    };
    this->link = std::make_shared<PeerLink>(
        std::move(socket), Options(wire::LinkSide::kAcceptor, "vm-1"),
        std::move(handlers), this->counts);
  }

  static Task<void> Answer(PeerLinkPtr link, LinkStreamPtr stream) {
    LinkAnswerSink sink(link, stream);
    AnswerHead head;
    head.status = 200;
    head.framing = {BodyKind::kLength, kBodyBytes};
    const std::string body(kBodyBytes, 'x');
    co_await sink.Start(head, body, true);
  }

  LinkCounters counts;
  PeerLinkPtr link;
};

/// The peer: speaks the protocol over a plain blocking socket.
class PlainPeer {
 public:
  explicit PlainPeer(Tcp::socket socket)
      : socket(std::move(socket)),
        mux(wire::LinkMux::Create(MonotonicClock::now(),
                                  Options(wire::LinkSide::kConnector, "vm-2"))
                .value()) {}

  void Flush() {
    wire::FrameBuffer frames;
    std::vector<std::span<const char>> parts;
    while (this->mux.HasOutput()) {
      this->mux.TakeOutput(MonotonicClock::now(), frames);
      frames.Gather(parts);
      for (const std::span<const char> part : parts) {
        boost::system::error_code ignored;
        boost::asio::write(this->socket,
                           boost::asio::buffer(part.data(), part.size()),
                           ignored);
      }
    }
  }

  /// Reads one piece.
  /// @returns false once the link has ended.
  bool Read() {
    std::vector<char> piece(kPieceBytes);
    boost::system::error_code error;
    const size_t size =
        this->socket.read_some(boost::asio::buffer(piece), error);
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

  void Take(const wire::LinkEvent& event) {
    if (event.kind == wire::LinkEventKind::kData) {
      this->body += std::get<wire::Data>(event.message).bytes.size();
    }
    this->ended = this->ended || event.kind == wire::LinkEventKind::kEnded;
  }

  Tcp::socket socket;
  wire::LinkMux mux;
  size_t body = 0;
  bool ended = false;
};

}  // namespace

TEST_GROUP(PeerLink){};

// A VM that shuts down has one answer still to come on a link. The other side
// sends the last of it and, as both want to close, closes at once, with bytes
// of the leaving VM still unread. That resets the connection: what the system
// has not sent yet is dropped, and the caller gets half an answer.
TEST(PeerLink, Drain_LastAnswerUnderWay_ArrivesWhole) {
  IoContext context(1);
  basilsill::Acceptor acceptor(context,
                               {boost::asio::ip::address_v4::loopback(), 0});
  Tcp::socket connecting(context);
  connecting.open(Tcp::v4());
  connecting.set_option(
      boost::asio::socket_base::receive_buffer_size(kSmallBuffer));
  connecting.connect(acceptor.local_endpoint());
  Socket accepted(context);
  acceptor.accept(accepted);
  accepted.set_option(
      boost::asio::socket_base::send_buffer_size(2 * kBodyBytes));
  AnsweringSide answering(std::move(accepted));
  boost::asio::co_spawn(context, answering.link->Run(), boost::asio::detached);
  const std::jthread thread([&context] { context.run(); });

  PlainPeer peer(std::move(connecting));
  peer.Flush();
  while (peer.mux.peer().vm.empty() && peer.Read()) {
  }
  wire::Open open;
  open.service = "s";
  open.team = "t";
  open.rule = "r";
  open.method = "GET";
  open.target = "/";
  open.deadline = std::chrono::seconds(10);
  open.end = true;
  CHECK(peer.mux.OpenStream(std::move(open)).has_value());
  peer.Flush();
  peer.mux.SendGoAway();
  peer.Flush();
  for (int i = 0; i < kSummaries; ++i) {
    CHECK(peer.mux.Post(wire::Summary{}).has_value());
    peer.Flush();
  }
  while (peer.Read()) {
  }
  CHECK_EQUAL(kBodyBytes, peer.body);
  CHECK(peer.ended);
}

// Tests of closing a link, with a peer that the test drives step by step.

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

#include "plain_peer.h"

#include <CppUTest/TestHarness.h>

using basilsill::AnswerHead;
using basilsill::BodyKind;
using basilsill::IoContext;
using basilsill::LinkAnswerSink;
using basilsill::LinkCounters;
using basilsill::LinkHandlers;
using basilsill::LinkStreamPtr;
using basilsill::PeerLink;
using basilsill::PeerLinkPtr;
using basilsill::Socket;
using basilsill::Task;
using basilsill::Tcp;
using basilsill::test::PeerHello;
using basilsill::test::PeerRequest;
using basilsill::test::PlainPeer;
namespace wire = basilsill::wire;

namespace {

constexpr size_t kBodyBytes = 200'000;
// So small that most of an answer stays in the buffer of its sender.
constexpr int kSmallBuffer = 4096;
constexpr int kSummaries = 20'000;

wire::LinkMuxOptions AcceptorOptions() {
  wire::LinkMuxOptions options;
  options.side = wire::LinkSide::kAcceptor;
  options.hello = PeerHello(wire::LinkRole::kData, "vm-1");
  return options;
}

/// A worker's side of a link, which answers each stream with a body of
/// kBodyBytes.
class AnsweringSide {
 public:
  explicit AnsweringSide(Socket socket) {
    LinkHandlers handlers;
    handlers.on_open = [](const PeerLinkPtr& link, LinkStreamPtr stream,
                          const wire::Open&) {
      boost::asio::co_spawn(link->executor(), Answer(link, std::move(stream)),
                            boost::asio::detached);
    };
    this->link =
        std::make_shared<PeerLink>(std::move(socket), AcceptorOptions(),
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

}  // namespace

TEST_GROUP(PeerLink){};

// Failure: a VM that shuts down still expects one answer on a link. The other
// side sends the end of the answer and, since both sides have sent GoAway,
// closes at once, with bytes of the leaving VM still unread. That resets the
// connection and drops the unsent bytes: the caller gets a truncated answer.
TEST(PeerLink, Drain_LastAnswerInFlight_ArrivesComplete) {
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

  PlainPeer peer(std::move(connecting),
                 PeerHello(wire::LinkRole::kData, "vm-2"));
  peer.Flush();
  while (peer.mux.peer().vm.empty() && peer.Read()) {
  }
  CHECK(peer.mux.OpenStream(PeerRequest(0)).has_value());
  peer.Flush();
  peer.mux.SendGoAway();
  peer.Flush();
  for (int i = 0; i < kSummaries; ++i) {
    CHECK(peer.mux.Post(wire::Summary{}).has_value());
    peer.Flush();
  }
  while (peer.Read()) {
  }
  CHECK_EQUAL(kBodyBytes, peer.body_bytes);
  CHECK(peer.body_ended);
}

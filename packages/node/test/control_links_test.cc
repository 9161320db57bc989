// Tests of control links to a peer that goes silent: its connections stay open
// and carry nothing.

#include "control_links.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include "fleet.h"
#include "plain_peer.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::Acceptor;
using basilsill::ControlLinkHandlers;
using basilsill::ControlLinks;
using basilsill::Counter;
using basilsill::Endpoint;
using basilsill::HelloResult;
using basilsill::HelloVerdict;
using basilsill::IoContext;
using basilsill::LinkCounters;
using basilsill::VmHandle;
using basilsill::VmHello;
using basilsill::test::PeerHello;
using basilsill::test::PlainPeer;
using basilsill::test::WaitUntil;
namespace wire = basilsill::wire;

namespace {

constexpr VmHandle kPeer{1, 0};

wire::Heartbeat LeavingHeartbeat() {
  wire::Heartbeat heartbeat;
  heartbeat.state = basilsill::VmState::kLeaving;
  return heartbeat;
}

/// @returns true if a heartbeat that says that the VM leaves arrives soon.
bool ReadsLeaving(PlainPeer& peer) {
  auto read = std::async(std::launch::async, [&peer] {
    return peer.ReadUntil([&peer] { return peer.received_leaving; });
  });
  if (read.wait_for(2s) != std::future_status::ready) {
    peer.socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both);
  }
  return read.get();
}

}  // namespace

TEST_GROUP(ControlLinks) {
  IoContext context{1};
  LinkCounters counts;
  Counter accept_failures;
  std::atomic<size_t> linked = 0;
  std::unique_ptr<ControlLinks> links;
  std::jthread thread;

  void setup() override {
    ControlLinkHandlers handlers;
    handlers.on_hello = [](const VmHello&) {
      return HelloResult{HelloVerdict::kAccepted, kPeer};
    };
    handlers.on_received = [](VmHandle, uint64_t) { return true; };
    handlers.on_linked = [this](VmHandle) { ++this->linked; };
    handlers.on_heartbeat = [](VmHandle, const wire::Heartbeat&) {};
    handlers.on_lost = [](VmHandle, uint64_t) {};
    handlers.on_open_failed = [](VmHandle) {};
    handlers.on_message = [](VmHandle, const wire::PeerMessage&) {};
    basilsill::ControlLinkOptions options;
    options.hello = PeerHello(wire::LinkRole::kControl, "vm-1");
    this->links = std::make_unique<ControlLinks>(
        this->context,
        Acceptor(this->context, {boost::asio::ip::address_v4::loopback(), 0}),
        options, std::move(handlers), this->counts, this->accept_failures);
    this->links->Start();
    this->thread = std::jthread([this] { this->context.run(); });
  }

  void teardown() override {
    boost::asio::post(this->context, [this] { this->context.stop(); });
    this->thread.join();
  }

  /// Connects as the peer and waits until the link is in use.
  std::unique_ptr<PlainPeer> Connect() {
    boost::asio::ip::tcp::socket socket(this->peer_context);
    socket.connect({boost::asio::ip::address_v4::loopback(),
                    this->links->endpoint().port});
    auto peer = std::make_unique<PlainPeer>(
        std::move(socket), PeerHello(wire::LinkRole::kControl, "vm-2"));
    const size_t before = this->linked.load();
    peer->Flush();
    CHECK(WaitUntil([&] { return this->linked.load() > before; }));
    return peer;
  }

  void Post(std::function<void()> work) {
    boost::asio::post(this->context, std::move(work));
  }

  IoContext peer_context{1};
};

// Failure: the connections of a VM go silent for good, and it opens a new link.
// Messages to it still go over the old one, so that it hears nothing and
// suspects this VM again.
TEST(ControlLinks, Send_PeerHasOpenedANewLink_GoesOverIt) {
  for (int i = 0; i < 5; ++i) {
    const auto silent = this->Connect();
    const auto fresh = this->Connect();
    this->Post([this] { this->links->Send(kPeer, LeavingHeartbeat()); });
    CHECK(ReadsLeaving(*fresh));
  }
}

// Failure: a dropped link to a silent peer stays open for as long as the
// process runs.
TEST(ControlLinks, Drop_PeerSilent_ClosedSoon) {
  const auto silent = this->Connect();
  this->Post([this] { this->links->Drop(kPeer); });
  const auto begun = std::chrono::steady_clock::now();
  CHECK(WaitUntil([&] { return this->counts.open.value() == 0; }));
  CHECK(std::chrono::steady_clock::now() - begun < 3s);
}

TEST(ControlLinks, Accept_AnotherLinkOfThePeer_OldOneClosed) {
  const auto silent = this->Connect();
  const auto fresh = this->Connect();
  CHECK(WaitUntil([&] { return this->counts.open.value() == 1; }));
}

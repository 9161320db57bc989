// Tests of data links to a VM whose connections go silent: they stay open and
// carry nothing.

#include "link_table.h"

#include <atomic>
#include <chrono>
#include <exception>
#include <memory>
#include <optional>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include "fleet.h"
#include "plain_peer.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::AnswerHead;
using basilsill::AnswerSink;
using basilsill::HttpFields;
using basilsill::IoContext;
using basilsill::LinkCounters;
using basilsill::LinkStreamPtr;
using basilsill::LinkTable;
using basilsill::LinkTableHandlers;
using basilsill::MonotonicClock;
using basilsill::PeerLink;
using basilsill::PeerLinkPtr;
using basilsill::RequestMessage;
using basilsill::RoutingView;
using basilsill::ServeOutcome;
using basilsill::ShardKey;
using basilsill::Target;
using basilsill::Task;
using basilsill::Tcp;
using basilsill::VmHandle;
using basilsill::VmRow;
using basilsill::VmState;
using basilsill::test::PeerHello;
using basilsill::test::PeerRequest;
using basilsill::test::PlainPeer;
using basilsill::test::WaitUntil;
namespace wire = basilsill::wire;

namespace {

constexpr VmHandle kPeer{1, 0};

void AwaitHello(PlainPeer& peer) {
  peer.Flush();
  while (peer.mux.peer().vm.empty() && peer.Read()) {
  }
}

class NullSink final : public AnswerSink {
 public:
  Task<bool> Start(const AnswerHead& /*head*/,
                   std::span<const char> /*piece*/,
                   bool /*last*/) override {
    co_return true;
  }
  Task<bool> Continue(std::span<const char> /*piece*/,
                      bool /*last*/,
                      const HttpFields* /*trailers*/) override {
    co_return true;
  }
  void Break() override {}
};

}  // namespace

TEST_GROUP(LinkTable) {
  IoContext context{1};
  IoContext peer_context{1};
  Tcp::acceptor acceptor{this->peer_context,
                         {boost::asio::ip::address_v4::loopback(), 0}};
  LinkCounters counts;
  std::unique_ptr<LinkTable> links;
  NullSink sink;
  RequestMessage request;
  std::atomic<size_t> quiet = 0;
  std::atomic<size_t> ended = 0;
  std::jthread thread;

  void setup() override {
    basilsill::LinkTableOptions options;
    options.hello = PeerHello(wire::LinkRole::kData, "vm-1");
    LinkTableHandlers handlers;
    handlers.on_summary = [](VmHandle, const wire::Summary&) {};
    handlers.on_link = [](VmHandle, bool) {};
    handlers.on_open = [](const PeerLinkPtr&, LinkStreamPtr, wire::Open) {};
    handlers.on_quiet = [this](PeerLink&, ShardKey) { ++this->quiet; };
    this->links = std::make_unique<LinkTable>(this->context.get_executor(),
                                              options, handlers, this->counts);
    this->request.method = "GET";
    this->request.target = "/";
    this->request.entry.deadline = MonotonicClock::now() + 60s;
    this->Apply(VmState::kLive);
    this->thread = std::jthread([this] {
      const auto work = boost::asio::make_work_guard(this->context);
      this->context.run();
    });
  }

  void teardown() override {
    this->context.stop();
    this->thread.join();
  }

  void Apply(VmState state) {
    auto view = std::make_shared<RoutingView>();
    view->vms.resize(2);
    VmRow& vm = view->vms[kPeer.index];
    vm.handle = kPeer;
    vm.name = "vm-2";
    vm.state = state;
    vm.workers = {{"127.0.0.1", this->acceptor.local_endpoint().port()}};
    boost::asio::post(this->context,
                      [this, view] { this->links->ApplyView(view); });
  }

  void Serve() {
    Target target;
    target.vm = kPeer;
    boost::asio::post(this->context, [this, target] {
      boost::asio::co_spawn(
          this->context, this->links->Serve(this->request, target, this->sink),
          [this](const std::exception_ptr&, ServeOutcome) { ++this->ended; });
    });
  }

  /// Waits until the table uses the link that was accepted last.
  void AwaitLink() {
    CHECK(WaitUntil([this] { return this->counts.open.value() == 1; }));
  }

  /// @returns a connection that the table opens within a second.
  std::optional<Tcp::socket> Accept() {
    std::optional<Tcp::socket> accepted;
    this->acceptor.async_accept([&accepted](auto error, Tcp::socket socket) {
      if (!error) {
        accepted = std::move(socket);
      }
    });
    this->peer_context.restart();
    this->peer_context.run_for(1s);
    if (!accepted) {
      this->acceptor.cancel();
      this->peer_context.restart();
      this->peer_context.run();
    }
    return accepted;
  }
};

// Failure: the connections between two VMs go silent for good. The peer is
// suspected, and trusted again over a new control link, but requests still go
// over the data link from before.
TEST(LinkTable, Serve_PeerTrustedAgain_OpensAnotherLink) {
  this->Serve();
  const auto silent = this->Accept();
  CHECK(silent.has_value());
  this->AwaitLink();
  this->Apply(VmState::kSuspected);
  this->Apply(VmState::kLive);
  this->Serve();
  CHECK(this->Accept().has_value());
}

// Failure: the connections between two VMs go silent, and requests go over them
// until the peer is suspected.
TEST(LinkTable, Serve_LinkSilentWithOpenRequest_OpensAnotherLink) {
  this->Serve();
  PlainPeer silent(*this->Accept(), PeerHello(wire::LinkRole::kData, "vm-2"),
                   wire::LinkSide::kAcceptor);
  silent.Flush();
  std::this_thread::sleep_for(500ms);
  this->Serve();
  CHECK(this->Accept().has_value());
}

// Failure: a caller leaves while the link for its request is being opened. The
// request is sent all the same, and nothing ends it before its deadline.
TEST(LinkTable, Serve_CallerLeavesWhileLinkOpens_NotSent) {
  this->request.caller_gone = true;
  this->Serve();
  PlainPeer peer(*this->Accept(), PeerHello(wire::LinkRole::kData, "vm-2"),
                 wire::LinkSide::kAcceptor);
  AwaitHello(peer);
  CHECK(WaitUntil([this] { return this->ended.load() == 1; }));
  CHECK_EQUAL(0, peer.mux.stream_count());
}

// A request that takes long is no sign of a silent link.
TEST(LinkTable, Serve_PeerWorksOnALongRequest_UsesTheSameLink) {
  this->Serve();
  PlainPeer peer(*this->Accept(), PeerHello(wire::LinkRole::kData, "vm-2"),
                 wire::LinkSide::kAcceptor);
  AwaitHello(peer);
  for (int i = 0; i < 5; ++i) {
    CHECK(peer.mux.Post(wire::Summary{}).has_value());
    peer.Flush();
    std::this_thread::sleep_for(100ms);
  }
  this->Serve();
  CHECK_FALSE(this->Accept().has_value());
}

TEST(LinkTable, KeepAlive_PeerWaitsForAnswer_Reported) {
  boost::asio::ip::tcp::acceptor own(
      this->context, {boost::asio::ip::address_v4::loopback(), 0});
  Tcp::socket connecting(this->peer_context);
  connecting.connect(own.local_endpoint());
  auto accepted = std::make_shared<basilsill::Socket>(this->context);
  own.accept(*accepted);
  boost::asio::post(this->context, [this, accepted] {
    this->links->Accept(std::move(*accepted));
  });
  PlainPeer peer(std::move(connecting),
                 PeerHello(wire::LinkRole::kData, "vm-2"));
  AwaitHello(peer);
  CHECK(peer.mux.OpenStream(PeerRequest(7)).has_value());
  peer.Flush();
  std::this_thread::sleep_for(200ms);
  boost::asio::post(this->context,
                    [this] { this->links->KeepAlive(MonotonicClock::now()); });
  CHECK(WaitUntil([this] { return this->quiet.load() == 1; }));
}

TEST(LinkTable, Serve_PeerTrustedAllTheWhile_UsesTheSameLink) {
  this->Serve();
  const auto link = this->Accept();
  CHECK(link.has_value());
  this->AwaitLink();
  this->Apply(VmState::kLive);
  this->Serve();
  CHECK_FALSE(this->Accept().has_value());
}

// Tests of a VM that shuts down while other VMs work with it. Seen in a large
// fleet whose rolling restarts overlap: callers got 502 for requests at which
// an upstream was at work, and half answers. Such a request had come to one VM
// and was handed to another; that one had been told to end, waited for the
// connections of its own callers alone, and was gone with the work of others.
// Its log showed the order to end, new work of peers long after it, and the end
// in the same millisecond as the upstream's connection was closed.

#include <chrono>
#include <future>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "fleet.h"
#include "plain_peer.h"
#include "raw_upstream.h"

#include <CppUTest/TestHarness.h>

namespace {

using basilsill::Endpoint;
using basilsill::ShardKey;
using basilsill::test::Fleet;
using basilsill::test::HttpResponse;
using basilsill::test::kHeadEnd;
using basilsill::test::MakeRequest;
using basilsill::test::PeerHello;
using basilsill::test::PeerRequest;
using basilsill::test::PlainPeer;
using basilsill::test::RawUpstream;
using basilsill::test::RunningNode;
using basilsill::test::Send;
using basilsill::test::WaitUntil;
using boost::asio::ip::tcp;
namespace wire = basilsill::wire;

constexpr size_t kBodyBytes = 200'000;
// Most of an answer is still in the buffer of the side that sends it.
constexpr int kSmallBuffer = 4096;
constexpr int kSummaries = 20'000;
// A VM that ends looks some 20 ms apart whether it may go. That it stays for so
// long can only be seen by waiting; a slow machine never fails for it.
constexpr std::chrono::milliseconds kLongerThanItsPoll{200};
// Callers come for so long after the order to end.
constexpr std::chrono::milliseconds kReadyDelay{200};
// What is lost is lost soon where a test fails.
constexpr std::chrono::seconds kLimit{5};
const std::string kReading =
    "GET /levels/7 HTTP/1.1\r\nHost: levels.test\r\n\r\n";

/// An upstream that begins to answer when it is told to.
class HeldUpstream {
 public:
  void WaitForRequest() { this->has_request.get_future().wait(); }
  void Answer() {
    if (!std::exchange(this->answers, true)) {
      this->may_answer.set_value();
    }
  }
  uint16_t port() const { return this->upstream.port(); }

 private:
  void Serve(RawUpstream::Exchange& exchange) {
    exchange.ReadUntil(kHeadEnd);
    if (this->requests++ == 0) {
      this->has_request.set_value();
    }
    this->released.wait();
    exchange.Write(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodyBytes) +
        kHeadEnd + std::string(kBodyBytes, 'x'));
    exchange.WaitForClose();
  }

  std::promise<void> has_request;
  std::promise<void> may_answer;
  std::shared_future<void> released{this->may_answer.get_future()};
  bool answers = false;
  int requests = 0;
  RawUpstream upstream{
      [this](RawUpstream::Exchange& exchange) { this->Serve(exchange); }};
};

/// @returns true once the node's metrics show `row`.
bool Shows(const RunningNode& node, const std::string& row) {
  return WaitUntil([&] {
    const HttpResponse page =
        Send(node.admin(), MakeRequest("GET", "/metrics"));
    return page.body().find(row + "\n") != std::string::npos;
  });
}

bool IsReady(const RunningNode& node) {
  return Send(node.admin(), MakeRequest("GET", "/readyz")).result_int() == 200;
}

/// @returns what comes until the other side closes.
std::string ReadToEnd(tcp::socket& socket) {
  std::string bytes;
  boost::system::error_code end;
  boost::asio::read(socket, boost::asio::dynamic_buffer(bytes), end);
  CHECK(end == boost::asio::error::eof);
  return bytes;
}

/// @returns true once the node takes no more callers.
bool HasClosedCallersPort(const RunningNode& node) {
  return WaitUntil([&] {
    boost::asio::io_context io;
    tcp::socket caller(io);
    boost::system::error_code error;
    caller.connect({boost::asio::ip::address_v4::loopback(), node.callers()},
                   error);
    return error.failed();
  });
}

}  // namespace

// Two VMs in two data centres; the one upstream stands in the first, whose VM
// dispatches for it.
TEST_GROUP(Leave) {
  boost::asio::io_context io;
  HeldUpstream upstream;
  Fleet fleet{[](basilsill::Settings& settings) {
    settings.shutdown.ready_delay = kReadyDelay;
    settings.shutdown.limit = kLimit;
  }};
  RunningNode* dispatcher = nullptr;
  RunningNode* entry = nullptr;
  std::future<HttpResponse> answer;
  std::future<bool> drained;

  void setup() override {
    this->dispatcher = &this->fleet.AddNode("lyulin-1", "lyulin");
    this->entry = &this->fleet.AddNode("druzhba-1", "druzhba");
    this->fleet.AddUpstreamAt("lyulin", this->upstream.port());
    this->fleet.Configure();
  }

  // Whatever failed, nothing is left waiting for the upstream.
  void teardown() override {
    this->upstream.Answer();
  }

  // Sends a request to `node`, and returns as it is at work.
  void Ask(const RunningNode& node) {
    const uint16_t port = node.callers();
    this->answer = std::async(std::launch::async, [port] {
      return Send(port, MakeRequest("GET", "/levels/7"));
    });
    this->upstream.WaitForRequest();
  }

  void BeginDrain() {
    RunningNode* const node = this->dispatcher;
    this->drained =
        std::async(std::launch::async, [node] { return node->DrainAndWait(); });
  }

  // The held request goes on to its end, and nothing is cut off.
  void EndDrain() {
    this->upstream.Answer();
    const HttpResponse got = this->answer.get();
    CHECK_EQUAL(200, got.result_int());
    CHECK_EQUAL(kBodyBytes, got.body().size());
    CHECK(this->drained.get());
  }

  tcp::socket Connect(uint16_t port) {
    tcp::socket socket(this->io);
    socket.open(tcp::v4());
    socket.set_option(
        boost::asio::socket_base::receive_buffer_size(kSmallBuffer));
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    return socket;
  }

  // Opens a link to the dispatcher's VM.
  PlainPeer Link(const Endpoint& to, wire::LinkRole role) {
    return {this->Connect(to.port), PeerHello(role, "nadezhda-1")};
  }

  // Sends a request, and `behind` once the VM is to end and the first is at
  // work.
  void CheckFirstAnswerCloses(const std::string& behind) {
    tcp::socket caller = this->Connect(this->dispatcher->callers());
    boost::asio::write(caller, boost::asio::buffer(kReading));
    this->upstream.WaitForRequest();
    this->BeginDrain();
    CHECK(HasClosedCallersPort(*this->dispatcher));
    boost::asio::write(caller, boost::asio::buffer(behind));
    CHECK(this->drained.wait_for(kLongerThanItsPoll) ==
          std::future_status::timeout);
    this->upstream.Answer();
    const std::string bytes = ReadToEnd(caller);
    CHECK(bytes.starts_with("HTTP/1.1 200 "));
    CHECK(bytes.find("HTTP/1.1 ", 1) == std::string::npos);
    CHECK(bytes.find("Connection: close\r\n") != std::string::npos);
    caller.close();
    CHECK(this->drained.get());
  }
};

// A VM is told to end while an upstream works on a request that another VM has
// handed it. It has no callers of its own, takes itself for idle and ends. The
// upstream's run is cut, and the caller of the other VM gets 502.
TEST(Leave, Drain_RequestOfAPeerIsAtWork_IsAnsweredFirst) {
  this->Ask(*this->entry);
  CHECK(Shows(*this->dispatcher, R"(basilsill_peer_requests{worker="0"} 1)"));
  this->BeginDrain();
  CHECK(HasClosedCallersPort(*this->dispatcher));
  CHECK(this->drained.wait_for(kLongerThanItsPoll) ==
        std::future_status::timeout);
  this->EndDrain();
}

// The last answer has left the upstream and lies in the buffers between two
// VMs as the first of them ends. What the peer has sent meanwhile is unread, so
// the end of the process resets the connection, and the rest of the answer is
// dropped: the caller gets half of it.
TEST(Leave, Drain_AnswerLiesInTheLinksBuffers_ArrivesWhole) {
  PlainPeer peer = this->Link(this->dispatcher->links(), wire::LinkRole::kData);
  CHECK(peer.ReadUntil([&peer] { return !peer.mux.peer().vm.empty(); }));
  const ShardKey shard = this->dispatcher->FirstShard();
  CHECK(peer.mux.OpenStream(PeerRequest(shard)).has_value());
  peer.Flush();
  this->upstream.WaitForRequest();
  this->upstream.Answer();
  CHECK(Shows(*this->dispatcher, R"(basilsill_peer_requests{worker="0"} 0)"));
  this->BeginDrain();
  CHECK(HasClosedCallersPort(*this->dispatcher));
  CHECK(this->drained.wait_for(kLongerThanItsPoll) ==
        std::future_status::timeout);
  for (int i = 0; i < kSummaries; ++i) {
    CHECK(peer.mux.Post(wire::Summary{}).has_value());
    peer.Flush();
  }
  while (peer.Read()) {
    peer.Flush();
  }
  CHECK_EQUAL(kBodyBytes, peer.body);
  CHECK(peer.ended);
  CHECK(this->drained.get());
}

// A caller sends request after request on a connection, without waiting for
// answers. A VM that is told to end reads on while the first is at work:
// seconds later it still takes requests, whose answers wait behind the first
// one, and ends with answers that were ready but had no turn.
TEST(Leave, Caller_SendsAnotherBehindOneAtWork_IsLeftUnread) {
  this->CheckFirstAnswerCloses(kReading);
}

TEST(Leave, Caller_SentHalfAnotherBehindOneAtWork_IsLeftUnread) {
  this->CheckFirstAnswerCloses(kReading.substr(0, kReading.size() / 2));
}

// A caller has its last answer, and was told that the connection closes, but
// keeps it. The VM waits for the caller to close, up to the limit of its end,
// and reports that it has cut something off.
TEST(Leave, Drain_CallerKeepsItsConnection_EndsWhole) {
  tcp::socket caller = this->Connect(this->dispatcher->callers());
  boost::asio::write(caller, boost::asio::buffer(kReading));
  this->upstream.WaitForRequest();
  this->BeginDrain();
  CHECK(HasClosedCallersPort(*this->dispatcher));
  this->upstream.Answer();
  CHECK(ReadToEnd(caller).ends_with(std::string(kBodyBytes, 'x')));
  CHECK(this->drained.get());
}

// An answer that closes its connection is still on its way to a slow caller,
// which has sent another request behind. A VM that shuts down takes the
// connection for idle and closes it. Bytes of the caller then reset it, and the
// caller gets the beginning of the answer.
TEST(Leave, Drain_LastAnswerIsOnItsWayToTheCaller_ArrivesWhole) {
  tcp::socket caller = this->Connect(this->dispatcher->callers());
  boost::asio::write(caller, boost::asio::buffer(kReading));
  this->upstream.WaitForRequest();
  this->BeginDrain();
  CHECK(WaitUntil([this] { return !IsReady(*this->dispatcher); }));
  this->upstream.Answer();
  CHECK(Shows(*this->dispatcher,
              R"(basilsill_requests_in_flight{worker="0"} 0)"));
  boost::asio::write(caller, boost::asio::buffer(kReading));
  CHECK(HasClosedCallersPort(*this->dispatcher));
  boost::asio::write(caller, boost::asio::buffer(kReading));
  CHECK(ReadToEnd(caller).ends_with(std::string(kBodyBytes, 'x')));
  CHECK(this->drained.get());
}

// A VM starts, or begins to need a dispatcher, while that one is about to end.
// It was not there when the others were told, so it takes the other for live
// and hands it work until the next heartbeat.
TEST(Leave, ControlLink_OpenedAfterTheOrderToEnd_SaysSo) {
  this->Ask(*this->dispatcher);
  this->BeginDrain();
  CHECK(HasClosedCallersPort(*this->dispatcher));
  PlainPeer peer =
      this->Link(this->dispatcher->control(), wire::LinkRole::kControl);
  CHECK(peer.ReadUntil([&peer] { return !peer.mux.peer().vm.empty(); }));
  CHECK(peer.mux.peer().leaving);
  this->EndDrain();
}

// The link is being opened as the order comes: the introduction, already sent,
// says that the VM lives, and the peer is not yet among those that are told.
TEST(Leave, ControlLink_BeingOpenedAtTheOrderToEnd_IsToldOnceItWorks) {
  this->Ask(*this->dispatcher);
  PlainPeer peer =
      this->Link(this->dispatcher->control(), wire::LinkRole::kControl);
  CHECK(peer.Read());
  CHECK_FALSE(peer.mux.peer().leaving);
  this->BeginDrain();
  CHECK(HasClosedCallersPort(*this->dispatcher));
  CHECK(peer.ReadUntil([&peer] { return peer.left; }));
  this->EndDrain();
}

// A VM that ends has told its peers on each link that it takes no new work.
// One of them opens another link for its next request: there it was told
// nothing, and its work keeps the VM up, or is lost with it.
TEST(Leave, DataLink_OpenedAsItEnds_TakesNoWork) {
  this->Ask(*this->dispatcher);
  this->BeginDrain();
  CHECK(HasClosedCallersPort(*this->dispatcher));
  PlainPeer peer = this->Link(this->dispatcher->links(), wire::LinkRole::kData);
  const ShardKey shard = this->dispatcher->FirstShard();
  CHECK(peer.mux.OpenStream(PeerRequest(shard)).has_value());
  // Turned away before or after it is sent: that is up to the network.
  CHECK(peer.ReadUntil([&peer] { return peer.mux.stream_count() == 0; }));
  CHECK(peer.went_away);
  CHECK_EQUAL(0, peer.status);
  this->EndDrain();
}

// Tests of a VM that shuts down while other VMs forward requests to it.
// Failure: rolling restarts of a large fleet overlap. A caller's request
// arrives at one VM and is forwarded to another that is draining. The draining
// VM waits only for the connections of its own callers and exits while an
// upstream still runs the forwarded request: callers get 502 or truncated
// answers.

#include <algorithm>
#include <chrono>
#include <future>
#include <string>
#include <utility>
#include <vector>

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
// More than the slots of one upstream.
constexpr int kSeveralRequests = 4;
// So small that most of an answer stays in the buffer of its sender.
constexpr int kSmallBuffer = 4096;
constexpr int kSummaries = 20'000;
// A draining VM checks about every 20 ms whether it may exit. Only waiting for
// several checks shows that it does not exit. A slow machine makes fewer checks
// in this time, which does not fail the test.
constexpr std::chrono::milliseconds kSeveralDrainPolls{200};
// Callers are accepted for this long after the drain has started.
constexpr std::chrono::milliseconds kReadyDelay{200};
// Shutdown limit, short so that a failing test ends soon.
constexpr std::chrono::seconds kLimit{5};
const std::string kReadRequest =
    "GET /levels/7 HTTP/1.1\r\nHost: levels.test\r\n\r\n";

/// An upstream that holds back its answers until `Answer` is called.
class BlockingUpstream {
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
    exchange.Write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
                   std::to_string(kBodyBytes) + kHeadEnd +
                   std::string(kBodyBytes, 'x'));
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

/// Waits until the node's metrics contain `row`.
/// @returns false if they don't within the limit of WaitUntil.
bool WaitForMetric(const RunningNode& node, const std::string& row) {
  return WaitUntil([&] {
    const HttpResponse page =
        Send(node.admin(), MakeRequest("GET", "/metrics"));
    return page.body().find(row + "\n") != std::string::npos;
  });
}

bool IsReady(const RunningNode& node) {
  return Send(node.admin(), MakeRequest("GET", "/readyz")).result_int() == 200;
}

/// @returns the bytes received until the other side closes.
std::string ReadToEnd(tcp::socket& socket) {
  std::string bytes;
  boost::system::error_code end;
  boost::asio::read(socket, boost::asio::dynamic_buffer(bytes), end);
  CHECK(end == boost::asio::error::eof);
  return bytes;
}

/// Waits until the node accepts no more callers.
/// @returns false if it still does at the limit of WaitUntil.
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

// Two VMs in two data centres. The only upstream is in the first data centre,
// whose VM dispatches to it.
TEST_GROUP(Leave) {
  boost::asio::io_context io;
  BlockingUpstream upstream;
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

  // Releases the upstream even after a failure, so that nothing waits for it.
  void teardown() override {
    this->upstream.Answer();
  }

  // Sends a request to `node` and returns once the upstream is running it.
  void StartRequest(const RunningNode& node) {
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

  // Lets the upstream answer; the request must complete and the drain be clean.
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

  // Opens a link to `to`.
  PlainPeer Link(const Endpoint& to, wire::LinkRole role) {
    return {this->Connect(to.port), PeerHello(role, "nadezhda-1")};
  }

  // Sends a request, and then `behind` on the same connection while the VM is
  // draining and the upstream runs the first request. Only the first must be
  // answered.
  void CheckFirstAnswerClosesConnection(const std::string& behind) {
    tcp::socket caller = this->Connect(this->dispatcher->callers());
    boost::asio::write(caller, boost::asio::buffer(kReadRequest));
    this->upstream.WaitForRequest();
    this->BeginDrain();
    CHECK(HasClosedCallersPort(*this->dispatcher));
    boost::asio::write(caller, boost::asio::buffer(behind));
    CHECK(this->drained.wait_for(kSeveralDrainPolls) ==
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

// Failure: a VM drains while an upstream runs a request that another VM has
// forwarded to it. It has no callers of its own, takes itself for idle and
// exits. The upstream's connection is closed, and the caller of the other VM
// gets 502.
TEST(Leave, Drain_PeerRequestInFlight_IsAnsweredFirst) {
  this->StartRequest(*this->entry);
  CHECK(WaitForMetric(*this->dispatcher,
                      R"(basilsill_peer_requests{worker="0"} 1)"));
  this->BeginDrain();
  CHECK(HasClosedCallersPort(*this->dispatcher));
  CHECK(this->drained.wait_for(kSeveralDrainPolls) ==
        std::future_status::timeout);
  this->EndDrain();
}

// Failure: a VM shuts down while a request of its caller waits in the queue of
// another VM. It exits at its limit, and the caller gets a closed connection,
// which does not say that the request has not run.
TEST(Leave, Drain_OwnRequestsWaitAtPeer_AnsweredAsNotRun) {
  std::vector<std::future<HttpResponse>> answers;
  answers.reserve(kSeveralRequests);
  for (int i = 0; i < kSeveralRequests; ++i) {
    answers.push_back(std::async(std::launch::async, [this] {
      return Send(this->entry->callers(), MakeRequest("GET", "/levels/7"));
    }));
  }
  this->upstream.WaitForRequest();
  CHECK(WaitForMetric(*this->dispatcher,
                      R"(basilsill_peer_requests{worker="0"} 4)"));
  this->drained = std::async(std::launch::async,
                             [this] { return this->entry->DrainAndWait(); });
  CHECK(WaitUntil([&answers] {
    return std::any_of(answers.begin(), answers.end(), [](const auto& answer) {
      return answer.wait_for(std::chrono::seconds(0)) ==
             std::future_status::ready;
    });
  }));
  this->upstream.Answer();
  int served = 0;
  for (std::future<HttpResponse>& future : answers) {
    const HttpResponse answer = future.get();
    served += answer.result_int() == 200 ? 1 : 0;
    CHECK(answer.result_int() == 200 ||
          (answer.result_int() == 503 &&
           answer["Basilsill-Promise"] == "not-run"));
  }
  CHECK(served > 0 && served < kSeveralRequests);
  CHECK(this->drained.get());
}

// Failure: a VM exits while the last answer, which the upstream has completed,
// is still in the buffers of a link to a peer. Bytes that the peer has sent
// meanwhile are unread, so the exit resets the connection and drops the rest of
// the answer: the caller gets a truncated answer.
TEST(Leave, Drain_AnswerInLinkBuffers_ArrivesComplete) {
  PlainPeer peer = this->Link(this->dispatcher->links(), wire::LinkRole::kData);
  CHECK(peer.ReadUntil([&peer] { return !peer.mux.peer().vm.empty(); }));
  const ShardKey shard = this->dispatcher->FirstShard();
  CHECK(peer.mux.OpenStream(PeerRequest(shard)).has_value());
  peer.Flush();
  this->upstream.WaitForRequest();
  this->upstream.Answer();
  CHECK(WaitForMetric(*this->dispatcher,
                      R"(basilsill_peer_requests{worker="0"} 0)"));
  this->BeginDrain();
  CHECK(HasClosedCallersPort(*this->dispatcher));
  CHECK(this->drained.wait_for(kSeveralDrainPolls) ==
        std::future_status::timeout);
  for (int i = 0; i < kSummaries; ++i) {
    CHECK(peer.mux.Post(wire::Summary{}).has_value());
    peer.Flush();
  }
  while (peer.Read()) {
    peer.Flush();
  }
  CHECK_EQUAL(kBodyBytes, peer.body_bytes);
  CHECK(peer.body_ended);
  CHECK(this->drained.get());
}

// Failure: a caller pipelines requests on a connection. A draining VM keeps
// reading while the first request is in flight, so it takes new requests
// seconds after the drain began. Their answers wait behind the first one and
// are lost when the VM exits.
TEST(Leave, Drain_CallerPipelinesRequest_IsLeftUnread) {
  this->CheckFirstAnswerClosesConnection(kReadRequest);
}

TEST(Leave, Drain_CallerPipelinesHalfRequest_IsLeftUnread) {
  this->CheckFirstAnswerClosesConnection(
      kReadRequest.substr(0, kReadRequest.size() / 2));
}

// Failure: a caller has received its last answer with `Connection: close`, but
// keeps the connection open. The VM waits for the caller to close until the
// shutdown limit and reports that it has cut off requests.
TEST(Leave, Drain_CallerKeepsConnectionOpen_EndsClean) {
  tcp::socket caller = this->Connect(this->dispatcher->callers());
  boost::asio::write(caller, boost::asio::buffer(kReadRequest));
  this->upstream.WaitForRequest();
  this->BeginDrain();
  CHECK(HasClosedCallersPort(*this->dispatcher));
  this->upstream.Answer();
  CHECK(ReadToEnd(caller).ends_with(std::string(kBodyBytes, 'x')));
  CHECK(this->drained.get());
}

// Failure: the last answer on a connection is still being sent to a slow
// caller, which has sent another request behind it. A draining VM takes the
// connection for idle and closes it. Bytes of the caller then reset the
// connection, and the caller gets a truncated answer.
TEST(Leave, Drain_LastAnswerInFlightToCaller_ArrivesComplete) {
  tcp::socket caller = this->Connect(this->dispatcher->callers());
  boost::asio::write(caller, boost::asio::buffer(kReadRequest));
  this->upstream.WaitForRequest();
  this->BeginDrain();
  CHECK(WaitUntil([this] { return !IsReady(*this->dispatcher); }));
  this->upstream.Answer();
  CHECK(WaitForMetric(*this->dispatcher,
                      R"(basilsill_requests_in_flight{worker="0"} 0)"));
  boost::asio::write(caller, boost::asio::buffer(kReadRequest));
  CHECK(HasClosedCallersPort(*this->dispatcher));
  boost::asio::write(caller, boost::asio::buffer(kReadRequest));
  CHECK(ReadToEnd(caller).ends_with(std::string(kBodyBytes, 'x')));
  CHECK(this->drained.get());
}

// Failure: a VM opens its first control link to a dispatcher that is draining.
// It was not linked when the dispatcher notified its peers, so it considers the
// dispatcher live and forwards requests to it until the next heartbeat.
TEST(Leave, ControlLink_OpenedDuringDrain_HelloSaysLeaving) {
  this->StartRequest(*this->dispatcher);
  this->BeginDrain();
  CHECK(HasClosedCallersPort(*this->dispatcher));
  PlainPeer peer =
      this->Link(this->dispatcher->control(), wire::LinkRole::kControl);
  CHECK(peer.ReadUntil([&peer] { return !peer.mux.peer().vm.empty(); }));
  CHECK(peer.mux.peer().leaving);
  this->EndDrain();
}

// Failure: the drain starts during the handshake of a link. The hello, already
// sent, says that the VM is live, and the peer is not yet among the linked VMs
// that are notified.
TEST(Leave, ControlLink_HandshakeBeforeDrain_HeartbeatSaysLeaving) {
  this->StartRequest(*this->dispatcher);
  PlainPeer peer =
      this->Link(this->dispatcher->control(), wire::LinkRole::kControl);
  CHECK(peer.Read());
  CHECK_FALSE(peer.mux.peer().leaving);
  this->BeginDrain();
  CHECK(HasClosedCallersPort(*this->dispatcher));
  CHECK(peer.ReadUntil([&peer] { return peer.received_leaving; }));
  this->EndDrain();
}

// Failure: a draining VM has sent GoAway on each link, and a peer opens another
// link for its next request. Without GoAway on that link, its requests keep the
// VM running or are lost with it.
TEST(Leave, DataLink_OpenedDuringDrain_TakesNoRequests) {
  this->StartRequest(*this->dispatcher);
  this->BeginDrain();
  CHECK(HasClosedCallersPort(*this->dispatcher));
  PlainPeer peer = this->Link(this->dispatcher->links(), wire::LinkRole::kData);
  const ShardKey shard = this->dispatcher->FirstShard();
  CHECK(peer.mux.OpenStream(PeerRequest(shard)).has_value());
  // The stream may be refused before or after its Open is sent, depending on
  // the timing of the network.
  CHECK(peer.ReadUntil([&peer] { return peer.mux.stream_count() == 0; }));
  CHECK(peer.received_go_away);
  CHECK_EQUAL(0, peer.status);
  this->EndDrain();
}

// Tests of streamed bodies with upstreams that send exact bytes: trailers, and
// bodies that end early.

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "fleet.h"
#include "raw_upstream.h"

#include <CppUTest/TestHarness.h>

namespace {

using basilsill::test::Fleet;
using basilsill::test::kHeadEnd;
using basilsill::test::RawAnswer;
using basilsill::test::RawUpstream;
using basilsill::test::RunningNode;
using basilsill::test::SendAndRead;

using ServeFunction = std::function<void(RawUpstream::Exchange&)>;

constexpr size_t kNodes = 2;
constexpr std::chrono::milliseconds kShortIdleLimit{100};
// Long enough for an answer to begin on a busy machine.
constexpr std::chrono::milliseconds kTotalLimit{1000};
const std::string kBodyEnd = "\r\n0\r\n\r\n";
const std::string kShortRequest =
    "GET /levels/7 HTTP/1.1\r\nHost: levels.test\r\nConnection: close\r\n\r\n";
// Its caller knows no chunks, so that the close ends an answer without length.
const std::string kOldRequest =
    "GET /levels/7 HTTP/1.0\r\nHost: levels.test\r\n\r\n";
const std::string kChunkedRequest =
    "POST /report HTTP/1.1\r\nHost: levels.test\r\nConnection: close\r\n"
    "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 5\r\n\r\n";
const std::string kPartialRequest =
    "POST /report HTTP/1.1\r\nHost: levels.test\r\nContent-Length: 10\r\n"
    "\r\nhello";
const std::string kChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kClosingHead =
    "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n"
    "\r\n";
const std::string kFirstChunk = "5\r\nhello\r\n";

std::string HeadOf(const std::string& message) {
  return message.substr(0, message.find(kHeadEnd));
}

void SendPartialAnswer(RawUpstream::Exchange& exchange) {
  exchange.ReadUntil(kHeadEnd);
  exchange.Write(kChunkedHead + kFirstChunk);
  exchange.WaitForClose();
}

/// Begins an answer at once and continues it until the peer closes.
void SendEndlessAnswer(RawUpstream::Exchange& exchange) {
  exchange.ReadUntil(kHeadEnd);
  exchange.Write(kChunkedHead + kFirstChunk);
  while (exchange.Write(kFirstChunk)) {
  }
}

/// Waits for the node's metrics to show `count` requests in flight.
/// @returns false if they don't within the time limit of WaitUntil.
bool WaitForInFlight(const RunningNode& node, int count) {
  const std::string row = "basilsill_requests_in_flight{worker=\"0\"} " +
                          std::to_string(count) + "\n";
  return basilsill::test::WaitUntil([&] {
    const auto page = basilsill::test::Send(
        node.admin(), basilsill::test::MakeRequest("GET", "/metrics"));
    return page.body().find(row) != std::string::npos;
  });
}

/// Retries until the request is served: for a short time after an upstream has
/// died, no requests are sent to it and callers are told to retry.
RawAnswer RetryUntilServed(const RunningNode& node,
                           const std::string& request = kShortRequest) {
  RawAnswer answer;
  basilsill::test::WaitUntil([&] {
    answer = SendAndRead(node.callers(), request);
    return answer.bytes.find("no-upstream") == std::string::npos;
  });
  return answer;
}

}  // namespace

// Two VMs in two data centres. The upstream is in the first, so a request that
// enters at the second passes through two nodes.
TEST_GROUP(Stream) {
  std::unique_ptr<RawUpstream> upstream;
  std::unique_ptr<Fleet> fleet;

  void Start(ServeFunction serve,
             std::function<void(basilsill::Settings&)> adjust = {}) {
    this->upstream = std::make_unique<RawUpstream>(std::move(serve));
    this->fleet = std::make_unique<Fleet>(std::move(adjust));
    this->fleet->AddNode("lyulin-1", "lyulin");
    this->fleet->AddNode("druzhba-1", "druzhba");
    this->fleet->AddUpstreamAt("lyulin", this->upstream->port());
    this->fleet->Configure();
  }

  RunningNode& node(size_t index) {
    return *this->fleet->nodes()[index];
  }

  void teardown() override {
    this->fleet.reset();
    this->upstream.reset();
  }
};

TEST(Stream, Trailers_OfRequestAndAnswer_StayAfterBody) {
  std::string request;
  this->Start([&request](RawUpstream::Exchange& exchange) {
    request = exchange.ReadUntil("X-Sum: 5\r\n\r\n");
    // The upstream announces the close: a request that crosses an unannounced
    // close would be lost.
    exchange.Write(kClosingHead + kFirstChunk +
                   "0\r\nX-Digest: d\r\nContent-Encoding: gzip\r\n\r\n");
  });
  for (size_t i = 0; i < kNodes; ++i) {
    const RawAnswer answer =
        SendAndRead(this->node(i).callers(), kChunkedRequest);
    CHECK(request.ends_with("0\r\nX-Sum: 5\r\n\r\n"));
    CHECK(HeadOf(request).find("X-Sum") == std::string::npos);
    CHECK(answer.bytes.ends_with(
        "0\r\nX-Digest: d\r\nContent-Encoding: gzip\r\n\r\n"));
    CHECK(HeadOf(answer.bytes).find("X-Digest") == std::string::npos);
  }
}

// Failure: a caller pipelines three requests, and the body of the third is
// still arriving when the first is answered. If the VM closed the connection
// after that answer because of the unread body, the answer to the second
// request, which is already running, would be lost and the caller would send it
// again.
TEST(Stream, Answer_LaterBodyStillArriving_ConnectionStaysOpen) {
  std::promise<void> may_answer;
  const std::shared_future<void> released(may_answer.get_future());
  this->Start([released](RawUpstream::Exchange& exchange) {
    exchange.ReadUntil(kHeadEnd);
    released.wait();
    exchange.Write(kClosingHead + "0\r\n\r\n");
  });
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket caller(io);
  caller.connect(
      {boost::asio::ip::address_v4::loopback(), this->node(0).callers()});
  const std::string two =
      "GET /a HTTP/1.1\r\nHost: levels.test\r\n\r\n"
      "GET /b HTTP/1.1\r\nHost: levels.test\r\n\r\n";
  boost::asio::write(caller, boost::asio::buffer(two + kPartialRequest));
  const bool all_read = WaitForInFlight(this->node(0), 3);
  may_answer.set_value();
  CHECK(all_read);
  std::string bytes;
  for (int i = 0; i < 2; ++i) {
    const size_t size = boost::asio::read_until(
        caller, boost::asio::dynamic_buffer(bytes), kHeadEnd);
    CHECK(bytes.starts_with("HTTP/1.1 200 "));
    CHECK(HeadOf(bytes).find("Connection: close") == std::string::npos);
    bytes.erase(0, size);
  }
}

// Failure: a caller disconnects in the middle of a long answer that began at
// once, before the VM started to watch the caller for a disconnect. If the VM
// kept the request, it would occupy a slot of the team indefinitely, and a
// shutdown would never find the VM idle.
TEST(Stream, Caller_DisconnectsDuringAnswer_RequestEnds) {
  this->Start(&SendEndlessAnswer);
  for (size_t i = 0; i < kNodes; ++i) {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket caller(io);
    caller.connect(
        {boost::asio::ip::address_v4::loopback(), this->node(i).callers()});
    boost::asio::write(caller, boost::asio::buffer(kShortRequest));
    std::string start(kChunkedHead.size(), ' ');
    boost::asio::read(caller, boost::asio::buffer(start));
    CHECK(WaitForInFlight(this->node(i), 1));
    caller.close();
    CHECK(WaitForInFlight(this->node(i), 0));
  }
}

// Failure: a caller disconnects while it sends a body of known length. The VM
// counted the request when its head arrived. If the count stayed up, a shutdown
// would wait for a request that nobody sends any more, and the gauge would rise
// with each such caller.
TEST(Stream, Caller_DisconnectsDuringBody_RequestEnds) {
  this->Start(&SendPartialAnswer);
  for (size_t i = 0; i < kNodes; ++i) {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket caller(io);
    caller.connect(
        {boost::asio::ip::make_address("127.0.0.1"), this->node(i).callers()});
    boost::asio::write(caller, boost::asio::buffer(kPartialRequest));
    CHECK(WaitForInFlight(this->node(i), 1));
    caller.close();
    CHECK(WaitForInFlight(this->node(i), 0));
  }
}

// Failure: an upstream dies in the middle of an answer, and the caller takes
// the part that it got for a complete answer.
TEST(Stream, Upstream_DiesDuringAnswer_CallerSeesReset) {
  const std::string known =
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello";
  std::string half;
  this->Start([&half](RawUpstream::Exchange& exchange) {
    exchange.ReadUntil(kHeadEnd);
    exchange.Write(half);
  });
  for (size_t i = 0; i < kNodes; ++i) {
    for (const std::string& bytes :
         {known, kChunkedHead + kFirstChunk, kChunkedHead + "ff\r\nhello"}) {
      half = bytes;
      const RawAnswer answer = RetryUntilServed(this->node(i));
      CHECK_TEXT(answer.was_reset, bytes.c_str());
      CHECK_FALSE(answer.bytes.ends_with(kBodyEnd));
    }
  }
}

// Failure: as above, but only the end of the connection ends the answer, at the
// upstream, at the caller or at both.
TEST(Stream, Upstream_ResetsDuringAnswerWithoutLength_CallerSeesReset) {
  const std::string open_ended = "HTTP/1.1 200 OK\r\n\r\nhello";
  std::string half;
  this->Start([&half](RawUpstream::Exchange& exchange) {
    exchange.ReadUntil(kHeadEnd);
    exchange.Write(half);
    exchange.Reset();
  });
  for (size_t i = 0; i < kNodes; ++i) {
    for (const std::string& request : {kShortRequest, kOldRequest}) {
      for (const std::string& bytes :
           {open_ended, kChunkedHead + kFirstChunk}) {
        half = bytes;
        const RawAnswer answer = RetryUntilServed(this->node(i), request);
        CHECK_TEXT(answer.was_reset, (request + bytes).c_str());
        CHECK_FALSE(answer.bytes.ends_with(kBodyEnd));
      }
    }
  }
}

// Failure: as above, but the VM with the connection to the upstream is killed
// instead of the upstream.
TEST(Stream, DispatcherNode_KilledDuringAnswer_AnswerNotComplete) {
  this->Start(&SendPartialAnswer);
  const RawAnswer answer = SendAndRead(this->node(1).callers(), kShortRequest,
                                       [this] { this->node(0).Kill(); });
  CHECK(answer.was_reset);
  CHECK_FALSE(answer.bytes.ends_with(kBodyEnd));
}

// Failure: an upstream stops sending in the middle of an answer and keeps its
// connection open. If the VM waited without limit, the caller's download would
// hang and the upstream's slot would stay occupied.
TEST(Stream, Upstream_SilentDuringAnswer_BothConnectionsReset) {
  this->Start(&SendPartialAnswer, [](basilsill::Settings& settings) {
    settings.limits.caller_idle = kShortIdleLimit;
  });
  for (size_t i = 0; i < kNodes; ++i) {
    // The upstream serves one connection at a time, so the second download
    // starts only if the first was ended at the upstream too.
    const RawAnswer answer = RetryUntilServed(this->node(i));
    CHECK(answer.was_reset);
  }
}

// Failure: as above, but the silence is within the idle limit and the request
// exceeds the limit on its total time.
TEST(Stream, Request_ExceedsTotalLimit_Reset) {
  this->Start(&SendPartialAnswer, [](basilsill::Settings& settings) {
    settings.limits.request_total = kTotalLimit;
  });
  const RawAnswer answer = RetryUntilServed(this->node(1));
  CHECK(answer.was_reset);
}

// Failure: a caller goes silent in the middle of an upload, and its connection
// is never closed. The upstream must neither take the part for a complete body
// nor keep a slot for it.
TEST(Stream, Caller_SilentDuringBody_BothConnectionsReset) {
  std::promise<std::string> seen;
  this->Start(
      [&seen](RawUpstream::Exchange& exchange) {
        seen.set_value(exchange.ReadUntil("never"));
      },
      [](basilsill::Settings& settings) {
        settings.limits.caller_idle = kShortIdleLimit;
      });
  const std::string half =
      kChunkedRequest.substr(0, kChunkedRequest.find("0\r\nX-Sum"));
  const RawAnswer answer = SendAndRead(this->node(1).callers(), half);
  CHECK(answer.was_reset);
  const std::string bytes = seen.get_future().get();
  CHECK(bytes.find("hello") != std::string::npos);
  CHECK_FALSE(bytes.ends_with(kBodyEnd));
}

TEST(Stream, Answer_WithoutLength_EndsInOrder) {
  this->Start([](RawUpstream::Exchange& exchange) {
    exchange.ReadUntil(kHeadEnd);
    exchange.Write("HTTP/1.1 200 OK\r\n\r\nhello");
  });
  for (size_t i = 0; i < kNodes; ++i) {
    const RawAnswer answer = RetryUntilServed(this->node(i), kOldRequest);
    CHECK(answer.bytes.ends_with("\r\n\r\nhello"));
    CHECK_FALSE(answer.was_reset);
  }
}

// Failure: an upstream answers with a status that HTTP does not have, and the
// caller gets it as an answer.
TEST(Stream, Upstream_AnswersWithStatusOutsideHttp_CallerGets502) {
  this->Start([](RawUpstream::Exchange& exchange) {
    exchange.ReadUntil(kHeadEnd);
    exchange.Write("HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole");
  });
  for (size_t i = 0; i < kNodes; ++i) {
    const RawAnswer answer = RetryUntilServed(this->node(i));
    CHECK_TEXT(answer.bytes.starts_with("HTTP/1.1 502 "), answer.bytes.c_str());
  }
}

// Failure: the answer of an upstream does not fit into a message between VMs,
// and the caller at the other VM waits until its deadline.
TEST(Stream, Answer_LongReasonOrManyFields_CallerIsToldAtOnce) {
  std::string many;
  for (int i = 0; i < 400; ++i) {
    many += "X-" + std::to_string(i) + ": a\r\n";
  }
  std::string head;
  this->Start([&head](RawUpstream::Exchange& exchange) {
    exchange.ReadUntil(kHeadEnd);
    exchange.Write("HTTP/1.1 200 " + head + "Content-Length: 5\r\n\r\nwhole");
  });
  for (size_t i = 0; i < kNodes; ++i) {
    for (const std::string& odd :
         {std::string(1'000, 'r') + "\r\n", "OK\r\n" + many}) {
      head = odd;
      const RawAnswer answer = RetryUntilServed(this->node(i));
      const std::string expected = i == 0 ? "HTTP/1.1 200 " : "HTTP/1.1 502 ";
      CHECK_TEXT(answer.bytes.starts_with(expected), answer.bytes.c_str());
    }
  }
}

// Failure: a VM ends while it sends an answer without a length to a caller that
// knows no chunks. The system closes the connection in order, and the caller
// takes the part for a complete answer.
TEST(Stream, EntryNode_KilledDuringAnswerWithoutLength_CallerSeesReset) {
  this->Start(&SendPartialAnswer);
  const RawAnswer answer = SendAndRead(this->node(1).callers(), kOldRequest,
                                       [this] { this->node(1).Kill(); });
  CHECK(answer.bytes.find("hello") != std::string::npos);
  CHECK(answer.was_reset);
}

TEST(Stream, EntryNode_KilledDuringAnswer_AnswerNotComplete) {
  this->Start(&SendPartialAnswer);
  const RawAnswer answer = SendAndRead(this->node(1).callers(), kShortRequest,
                                       [this] { this->node(1).Kill(); });
  CHECK(answer.bytes.find(kFirstChunk) != std::string::npos);
  CHECK_FALSE(answer.bytes.ends_with(kBodyEnd));
}

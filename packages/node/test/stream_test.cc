// Tests of streamed bodies with upstreams of which each byte is known: what
// comes at the end of a body, and bodies that end too early.

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

using Serve = std::function<void(RawUpstream::Exchange&)>;

constexpr size_t kNodes = 2;
constexpr std::chrono::milliseconds kSoon{100};
// Long enough for the start of an answer on a busy machine.
constexpr std::chrono::milliseconds kTotal{1000};
const std::string kBodyEnd = "\r\n0\r\n\r\n";
const std::string kReading =
    "GET /levels/7 HTTP/1.1\r\nHost: levels.test\r\nConnection: close\r\n\r\n";
const std::string kReport =
    "POST /report HTTP/1.1\r\nHost: levels.test\r\nConnection: close\r\n"
    "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 5\r\n\r\n";
const std::string kPartOfOrder =
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

void AnswerHalf(RawUpstream::Exchange& exchange) {
  exchange.ReadUntil(kHeadEnd);
  exchange.Write(kChunkedHead + kFirstChunk);
  exchange.WaitForClose();
}

/// Begins an answer at once and goes on with it until the other side closes.
void AnswerWithoutEnd(RawUpstream::Exchange& exchange) {
  exchange.ReadUntil(kHeadEnd);
  exchange.Write(kChunkedHead + kFirstChunk);
  while (exchange.Write(kFirstChunk)) {
  }
}

/// @returns true once the node's metrics show `count` requests in flight.
bool ShowsInFlight(const RunningNode& node, int count) {
  const std::string row = "basilsill_requests_in_flight{worker=\"0\"} " +
                          std::to_string(count) + "\n";
  return basilsill::test::WaitUntil([&] {
    const auto page = basilsill::test::Send(
        node.admin(), basilsill::test::MakeRequest("GET", "/metrics"));
    return page.body().find(row) != std::string::npos;
  });
}

/// Asks until it is served: an upstream that has just died gets nothing for a
/// moment, and callers are told to come back.
RawAnswer ReadWhenServed(const RunningNode& node) {
  RawAnswer answer;
  basilsill::test::WaitUntil([&] {
    answer = SendAndRead(node.callers(), kReading);
    return answer.bytes.find("no-upstream") == std::string::npos;
  });
  return answer;
}

}  // namespace

// Two VMs in two data centres; the upstream stands in the first, so what enters
// at the second goes through two nodes.
TEST_GROUP(Stream) {
  std::unique_ptr<RawUpstream> upstream;
  std::unique_ptr<Fleet> fleet;

  void Start(Serve serve,
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

TEST(Stream, Trailers_OfRequestAndAnswer_StayBehindTheBody) {
  std::string request;
  this->Start([&request](RawUpstream::Exchange& exchange) {
    request = exchange.ReadUntil("X-Sum: 5\r\n\r\n");
    // It says that it closes: a report that meets the close would be lost.
    exchange.Write(kClosingHead + kFirstChunk +
                   "0\r\nX-Digest: d\r\nContent-Encoding: gzip\r\n\r\n");
  });
  for (size_t i = 0; i < kNodes; ++i) {
    const RawAnswer answer = SendAndRead(this->node(i).callers(), kReport);
    CHECK(request.ends_with("0\r\nX-Sum: 5\r\n\r\n"));
    CHECK(HeadOf(request).find("X-Sum") == std::string::npos);
    CHECK(answer.bytes.ends_with(
        "0\r\nX-Digest: d\r\nContent-Encoding: gzip\r\n\r\n"));
    CHECK(HeadOf(answer.bytes).find("X-Digest") == std::string::npos);
  }
}

// A caller sends three requests without waiting; the body of the third is still
// on its way as the first is answered. Closing after that answer, for the sake
// of the body, would drop the answer to the second, which runs already, and the
// caller would send it again.
TEST(Stream, Answer_WhileALaterBodyIsRead_LeavesTheConnectionOpen) {
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
  boost::asio::write(caller, boost::asio::buffer(two + kPartOfOrder));
  const bool all_read = ShowsInFlight(this->node(0), 3);
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

// Story: a clerk closes the browser in the middle of a long download whose
// answer began at once, before a waiting caller would be watched for leaving.
// The request has ended; if the VM kept it, it would hold a slot of the team
// for ever, and no shutdown would find the VM at rest.
TEST(Stream, Caller_GoneInTheMiddle_EndsTheRequest) {
  this->Start(&AnswerWithoutEnd);
  for (size_t i = 0; i < kNodes; ++i) {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket caller(io);
    caller.connect(
        {boost::asio::ip::address_v4::loopback(), this->node(i).callers()});
    boost::asio::write(caller, boost::asio::buffer(kReading));
    std::string start(kChunkedHead.size(), ' ');
    boost::asio::read(caller, boost::asio::buffer(start));
    CHECK(ShowsInFlight(this->node(i), 1));
    caller.close();
    CHECK(ShowsInFlight(this->node(i), 0));
  }
}

// Story: a phone loses its network while it still sends an order of known
// length. The VM had counted the request when its head came. If the count
// stays up, the VM is never at rest again: its shutdown waits for a request
// that nobody sends any more, and the gauge climbs with each such phone.
TEST(Stream, Caller_GoneInTheMiddleOfABody_EndsTheRequest) {
  this->Start(&AnswerHalf);
  for (size_t i = 0; i < kNodes; ++i) {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket caller(io);
    caller.connect(
        {boost::asio::ip::make_address("127.0.0.1"), this->node(i).callers()});
    boost::asio::write(caller, boost::asio::buffer(kPartOfOrder));
    CHECK(ShowsInFlight(this->node(i), 1));
    caller.close();
    CHECK(ShowsInFlight(this->node(i), 0));
  }
}

// Story: an upstream dies while a clerk's export is on its way. The clerk must
// see a failed download, not a file that ends early and looks whole.
TEST(Stream, Upstream_DyingInTheMiddle_IsResetToTheCaller) {
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
      const RawAnswer answer = ReadWhenServed(this->node(i));
      CHECK_TEXT(answer.was_reset, bytes.c_str());
      CHECK_FALSE(answer.bytes.ends_with(kBodyEnd));
    }
  }
}

// Story: as above, but it is a VM between caller and upstream that is killed:
// the one with the upstream's connection, then the one with the caller's.
TEST(Stream, Node_KilledInTheMiddle_NeverLooksLikeAWholeAnswer) {
  this->Start(&AnswerHalf);
  const RawAnswer answer = SendAndRead(this->node(1).callers(), kReading,
                                       [this] { this->node(0).Kill(); });
  CHECK(answer.was_reset);
  CHECK_FALSE(answer.bytes.ends_with(kBodyEnd));
}

// Story: an upstream goes silent in the middle of an answer, and its
// connection stays open. The caller's download fails after a while instead of
// standing still for ever, and the upstream's slot is free again.
TEST(Stream, Upstream_SilentInTheMiddle_IsCutOffOnBothSides) {
  this->Start(&AnswerHalf, [](basilsill::Settings& settings) {
    settings.limits.caller_idle = kSoon;
  });
  for (size_t i = 0; i < kNodes; ++i) {
    // The upstream serves one connection at a time, so the second download
    // starts only if the first was ended there too.
    const RawAnswer answer = ReadWhenServed(this->node(i));
    CHECK(answer.was_reset);
  }
}

// Story: as above, with a silence that is allowed, but in all the request takes
// longer than any may.
TEST(Stream, Request_LongerThanTheTotalLimit_IsCutOff) {
  this->Start(&AnswerHalf, [](basilsill::Settings& settings) {
    settings.limits.request_total = kTotal;
  });
  const RawAnswer answer = ReadWhenServed(this->node(1));
  CHECK(answer.was_reset);
}

// Story: a phone loses its network in the middle of an upload and its
// connection is never closed. The upstream must not take the half for whole,
// nor keep a slot for it.
TEST(Stream, Caller_SilentInTheMiddleOfABody_IsCutOffOnBothSides) {
  std::promise<std::string> seen;
  this->Start(
      [&seen](RawUpstream::Exchange& exchange) {
        seen.set_value(exchange.ReadUntil("never"));
      },
      [](basilsill::Settings& settings) {
        settings.limits.caller_idle = kSoon;
      });
  const std::string half = kReport.substr(0, kReport.find("0\r\nX-Sum"));
  const RawAnswer answer = SendAndRead(this->node(1).callers(), half);
  CHECK(answer.was_reset);
  const std::string bytes = seen.get_future().get();
  CHECK(bytes.find("hello") != std::string::npos);
  CHECK_FALSE(bytes.ends_with(kBodyEnd));
}

TEST(Stream, EntryNode_KilledInTheMiddle_NeverLooksLikeAWholeAnswer) {
  this->Start(&AnswerHalf);
  const RawAnswer answer = SendAndRead(this->node(1).callers(), kReading,
                                       [this] { this->node(1).Kill(); });
  CHECK(answer.bytes.find(kFirstChunk) != std::string::npos);
  CHECK_FALSE(answer.bytes.ends_with(kBodyEnd));
}

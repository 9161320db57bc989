// Tests of the admin server over loopback sockets.

#include "admin_server.h"

#include <atomic>
#include <chrono>
#include <future>
#include <random>
#include <stdexcept>
#include <string>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "admin_fixture.h"
#include "admin_responses.h"
#include "admin_routes.h"

#include <CppUTest/TestHarness.h>

namespace {

using basilsill::AdminOptions;
using basilsill::AdminRequest;
using basilsill::AdminResponse;
using basilsill::AdminRouter;
using basilsill::AdminStream;
using basilsill::FailureError;
using basilsill::FailureKind;
using basilsill::NodePhase;
using basilsill::RawClient;
using basilsill::RunningAdmin;
using basilsill::SynchronousHandler;
using boost::asio::awaitable;

constexpr uint32_t kSeed = 20250310;
constexpr int kInputs = 300;

bool HasStatus(const std::string& response, int status) {
  return response.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

AdminResponse Echo(const AdminRequest& request) {
  return {{},
          request.method + " " + request.path + " " +
              std::string(request.Parameter("from")) + " " +
              std::string(request.Header("x-team")) + " " + request.body};
}

AdminResponse ThrowNotFound(const AdminRequest& request) {
  throw FailureError({FailureKind::kNotFound, request.path, "no such team"});
}

AdminResponse ThrowOther(const AdminRequest&) {
  throw std::runtime_error("secret of the node");
}

awaitable<void> CountToThree(const AdminRequest&, AdminStream& stream) {
  stream.SetHead({200, "text/plain", {}});
  for (const char* text : {"one\n", "", "two\n", "three\n"}) {
    co_await stream.Write(text);
  }
}

awaitable<void> ThrowAfterFirstChunk(const AdminRequest&, AdminStream& stream) {
  co_await stream.Write("half");
  throw std::runtime_error("broken");
}

/// Handlers that wait forever and report when they are cancelled.
struct WaitingHandlers {
  std::promise<void> entered;
  std::promise<void> cancelled;

  awaitable<void> WaitForever() {
    this->entered.set_value();
    boost::asio::steady_timer timer(
        co_await boost::asio::this_coro::executor,
        std::chrono::steady_clock::time_point::max());
    try {
      co_await timer.async_wait(boost::asio::use_awaitable);
    } catch (...) {
      this->cancelled.set_value();
      throw;
    }
  }

  awaitable<AdminResponse> Whole(const AdminRequest&) {
    co_await this->WaitForever();
    co_return AdminResponse{};
  }

  awaitable<void> Stream(const AdminRequest&, AdminStream& stream) {
    co_await stream.Write("first\n");
    co_await this->WaitForever();
  }
};

}  // namespace

TEST_GROUP(AdminServer) {
  AdminRouter router;
  WaitingHandlers waiting_handlers;
  std::atomic<NodePhase> phase{NodePhase::kStarting};
  AdminOptions options;
  std::unique_ptr<RunningAdmin> admin;

  void setup() override {
    this->router.Add({"GET", "/echo", SynchronousHandler(Echo)});
    this->router.Add({"POST", "/echo", SynchronousHandler(Echo)});
    this->router.Add({"GET", "/below/", SynchronousHandler(Echo)});
    this->router.Add({"GET", "/not-found", SynchronousHandler(ThrowNotFound)});
    this->router.Add({"GET", "/fault", SynchronousHandler(ThrowOther)});
    this->router.Add({"GET", "/count", CountToThree});
    this->router.Add({"GET", "/break", ThrowAfterFirstChunk});
    this->router.Add({"GET", "/wait", [this](const AdminRequest& request) {
                        return this->waiting_handlers.Whole(request);
                      }});
    this->router.Add({"GET", "/watch",
                      [this](const AdminRequest& request, AdminStream& stream) {
                        return this->waiting_handlers.Stream(request, stream);
                      }});
    AddNodeRoutes(this->router, {[this] { return this->phase.load(); },
                                 [this]() -> boost::asio::awaitable<NodePhase> {
                                   co_return this->phase.load();
                                 },
                                 [] { return std::string("metric 1\n"); },
                                 [] { return std::string("{}"); }});
    this->options.max_header_bytes = 2048;
    this->options.max_body_bytes = 1000;
    this->admin = std::make_unique<RunningAdmin>(this->options, this->router);
  }
  void teardown() override {
    this->admin.reset();
  }
};

TEST(AdminServer, Request_WithQueryHeaderAndBody_ReachesTheHandler) {
  RawClient client(this->admin->port());
  client.Send(
      "POST /echo?a=b&from=17 HTTP/1.1\r\nHost: a\r\nX-Team: north\r\n"
      "Connection: close\r\nContent-Length: 4\r\n\r\nbody");
  const std::string response = client.ReadToEnd();
  CHECK(HasStatus(response, 200));
  CHECK(response.ends_with("\r\n\r\nPOST /echo 17 north body"));
}

TEST(AdminServer, Request_PipelinedOnOneConnection_AreServedInOrder) {
  const std::string responses = this->admin->Exchange(
      "GET /echo?from=1 HTTP/1.1\r\nHost: a\r\n\r\n"
      "GET /count HTTP/1.1\r\nHost: a\r\n\r\n"
      "HEAD /echo HTTP/1.1\r\nHost: a\r\n\r\n"
      "GET /below/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  const size_t first = responses.find("GET /echo 1");
  const size_t second = responses.find("4\r\none\n\r\n4\r\ntwo\n\r\n");
  const size_t last = responses.find("GET /below/x");
  CHECK(first < second);
  CHECK(second < last);
  CHECK(last != std::string::npos);
  CHECK(responses.find("HEAD /echo") == std::string::npos);
}

TEST(AdminServer, Request_ExpectContinue_Gets100Continue) {
  RawClient client(this->admin->port());
  client.Send(
      "POST /echo HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
      "Connection: close\r\nContent-Length: 2\r\n\r\n");
  CHECK(HasStatus(client.ReadUntil("\r\n\r\n"), 100));
  client.Send("ab");
  CHECK(client.ReadToEnd().ends_with("ab"));
}

TEST(AdminServer, Request_UnknownPathOrMethod_Gets404Or405) {
  CHECK(HasStatus(this->admin->Request("GET", "/echo/x"), 404));
  CHECK(HasStatus(this->admin->Request("GET", "/belowx"), 404));
  const std::string response = this->admin->Request("DELETE", "/echo");
  CHECK(HasStatus(response, 405));
  STRCMP_CONTAINS("\r\nAllow: GET, POST\r\n", response.c_str());
  CHECK(HasStatus(this->admin->Request("HEAD", "/count"), 405));
}

TEST(AdminServer, Handler_ThrowsFailureError_GivesItsStatus) {
  const std::string response = this->admin->Request("GET", "/not-found");
  CHECK(HasStatus(response, 404));
  STRCMP_CONTAINS(
      "{\"failures\":[{\"kind\":\"not-found\",\"path\":\"/not-found\","
      "\"detail\":\"no such team\"}]}",
      response.c_str());
}

TEST(AdminServer, Handler_ThrowsOtherException_Gives500WithoutItsText) {
  const std::string response = this->admin->Request("GET", "/fault");
  CHECK(HasStatus(response, 500));
  CHECK(response.find("secret") == std::string::npos);
}

TEST(AdminServer, Stream_Http10_EndsWithTheConnection) {
  const std::string response =
      this->admin->Exchange("GET /count HTTP/1.0\r\n\r\n");
  CHECK(response.find("chunked") == std::string::npos);
  CHECK(response.ends_with("\r\n\r\none\ntwo\nthree\n"));
}

// Failure: a stream handler throws after part of the response was sent. If the
// stream still ended with a last chunk, the client would take the incomplete
// response for a complete one.
TEST(AdminServer, Stream_HandlerThrows_HasNoLastChunk) {
  const std::string response = this->admin->Request("GET", "/break");
  CHECK(response.ends_with("4\r\nhalf\r\n"));
}

// Failure: the client of a watch disconnects while the handler waits for a
// change. Without cancellation the handler would hold its connection slot until
// the next change, possibly for days.
TEST(AdminServer, Stream_ClientDisconnects_CancelsTheHandler) {
  RawClient client(this->admin->port());
  client.Send("GET /watch HTTP/1.1\r\nHost: a\r\n\r\n");
  client.ReadUntil("first\n");
  client.Close();
  this->waiting_handlers.cancelled.get_future().wait();
}

TEST(AdminServer, Stop_StreamHandlerWaits_CancelsIt) {
  RawClient client(this->admin->port());
  client.Send("GET /watch HTTP/1.1\r\nHost: a\r\n\r\n");
  client.ReadUntil("first\n");
  this->admin->Stop();
  this->waiting_handlers.cancelled.get_future().wait();
  client.ReadToEnd();
}

TEST(AdminServer, Stop_BufferedHandlerWaits_CancelsIt) {
  RawClient client(this->admin->port());
  client.Send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  client.EndSending();  // Half-closed; still waits for the response.
  this->waiting_handlers.entered.get_future().wait();
  this->admin->Stop();
  this->waiting_handlers.cancelled.get_future().wait();
  STRCMP_EQUAL("", client.ReadToEnd().c_str());
}

TEST(AdminServer, Health_EachPhase_GivesItsStatus) {
  CHECK(HasStatus(this->admin->Request("GET", "/healthz"), 200));
  CHECK(HasStatus(this->admin->Request("GET", "/readyz"), 503));
  this->phase = NodePhase::kReady;
  CHECK(HasStatus(this->admin->Request("GET", "/healthz"), 200));
  CHECK(HasStatus(this->admin->Request("GET", "/readyz"), 200));
  this->phase = NodePhase::kDraining;
  CHECK(HasStatus(this->admin->Request("GET", "/healthz"), 503));
  const std::string response = this->admin->Request("GET", "/readyz");
  CHECK(HasStatus(response, 503));
  CHECK(response.ends_with("\r\n\r\ndraining\n"));
}

TEST(AdminServer, NodeRoutes_MetricsAndState_HaveTheirContentTypes) {
  const std::string metrics = this->admin->Request("GET", "/metrics");
  STRCMP_CONTAINS("Content-Type: text/plain; version=0.0.4", metrics.c_str());
  CHECK(metrics.ends_with("\r\n\r\nmetric 1\n"));
  STRCMP_CONTAINS("Content-Type: application/json",
                  this->admin->Request("GET", "/debug/state").c_str());
}

TEST(AdminServer, Input_MalformedOrTooLarge_IsRejectedAndClosed) {
  struct Case {
    std::string bytes;
    int status;
  };
  const std::string post = "POST /echo HTTP/1.1\r\nHost: a\r\n";
  const Case cases[] = {
      {"\r\n\r\n\r\n\r\n", 400},
      {"GET\r\n\r\n", 400},
      {"GET /echo HTTP/9.9\r\n\r\n", 400},
      {"GET /ec ho HTTP/1.1\r\n\r\n", 400},
      {std::string("GET /\0 HTTP/1.1\r\n\r\n", 19), 400},
      {"GET /echo HTTP/1.1\nHost: a\n\n", 400},
      {"GET /echo HTTP/1.1\r\nHost : a\r\n\r\n", 400},
      {"GET /echo HTTP/1.1\r\n: a\r\n\r\n", 400},
      {post + "Content-Length: -1\r\n\r\n", 400},
      {post + "Content-Length: 1x\r\n\r\n", 400},
      {post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
      {post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
      {post + "Content-Length: 1001\r\n\r\n", 413},
      {post + "Transfer-Encoding: chunked\r\n\r\n500\r\n" +
           std::string(0x500, 'x') + "\r\n0\r\n\r\n",
       413},
      {"GET /echo HTTP/1.1\r\nA: " + std::string(3000, 'x') + "\r\n\r\n", 431},
  };
  for (const Case& item : cases) {
    const std::string response = this->admin->Exchange(item.bytes);
    CHECK_TEXT(HasStatus(response, item.status),
               (item.bytes + response).c_str());
    STRCMP_CONTAINS("\r\nConnection: close\r\n", response.c_str());
  }
}

// Failure: a client sends a line between chunks without end, and the server
// keeps all of it.
TEST(AdminServer, Input_ChunkLineWithoutEnd_IsRejected) {
  const std::string head =
      "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string line(basilsill::limits::kMaxUnparsedBytes, '0');
  CHECK(HasStatus(this->admin->Exchange(head + line), 400));
}

TEST(AdminServer, Input_RandomlyCorrupted_ServerKeepsServing) {
  std::mt19937 random(kSeed);
  const std::string whole =
      "POST /echo?from=1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
      "Connection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  for (int i = 0; i < kInputs; ++i) {
    std::string bytes = whole;
    for (uint32_t damage = 1 + random() % 4; damage > 0; --damage) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    RawClient client(this->admin->port());
    client.Send(bytes);
    client.EndSending();
    const std::string response = client.ReadToEnd();
    CHECK(response.empty() || response.starts_with("HTTP/1."));
  }
  CHECK(HasStatus(this->admin->Request("GET", "/echo"), 200));
}

TEST(AdminServer, Create_PortInUse_Fails) {
  boost::asio::io_context context;
  AdminOptions taken;
  taken.listen = {"127.0.0.1", this->admin->port()};
  const auto server =
      basilsill::AdminServer::Create(context, taken, this->router);
  CHECK(server.error().kind == FailureKind::kNetwork);
}

TEST(AdminServer, Connections_AboveTheLimit_AreClosed) {
  AdminOptions few;
  few.max_connections = 1;
  RunningAdmin small(few, this->router);
  RawClient first(small.port());
  first.Send("GET /echo HTTP/1.1\r\nHost: a\r\n\r\n");
  first.ReadUntil("/echo");
  STRCMP_EQUAL("", small.Request("GET", "/echo").c_str());
}

// Failure: a scraper opens a connection and sends nothing. Without a timeout
// such connections would use up max_connections, and requests for metrics and
// health would be rejected.
TEST(AdminServer, Connections_Idle_AreClosedAfterTheTimeout) {
  AdminOptions quick;
  quick.idle_timeout = std::chrono::milliseconds(1);
  quick.read_timeout = std::chrono::milliseconds(1);
  RunningAdmin small(quick, this->router);
  RawClient idle(small.port());
  STRCMP_EQUAL("", idle.ReadToEnd().c_str());
}

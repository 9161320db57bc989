// Tests of the admin port, over sockets within the process.

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
using basilsill::Immediately;
using basilsill::NodePhase;
using basilsill::RawClient;
using basilsill::RunningAdmin;
using boost::asio::awaitable;

constexpr uint32_t kSeed = 20250310;
constexpr int kInputs = 300;

bool HasStatus(const std::string& answer, int status) {
  return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
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

awaitable<void> BreakHalfWay(const AdminRequest&, AdminStream& stream) {
  co_await stream.Write("half");
  throw std::runtime_error("broken");
}

/// Waits for what never comes, and tells when it is cancelled.
struct Waiting {
  std::promise<void> entered;
  std::promise<void> cancelled;

  awaitable<void> Forever() {
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
    co_await this->Forever();
    co_return AdminResponse{};
  }

  awaitable<void> Stream(const AdminRequest&, AdminStream& stream) {
    co_await stream.Write("first\n");
    co_await this->Forever();
  }
};

}  // namespace

TEST_GROUP(AdminServer) {
  AdminRouter router;
  Waiting waiting;
  std::atomic<NodePhase> phase{NodePhase::kStarting};
  AdminOptions options;
  std::unique_ptr<RunningAdmin> admin;

  void setup() override {
    this->router.Add({"GET", "/echo", Immediately(Echo)});
    this->router.Add({"POST", "/echo", Immediately(Echo)});
    this->router.Add({"GET", "/below/", Immediately(Echo)});
    this->router.Add({"GET", "/not-found", Immediately(ThrowNotFound)});
    this->router.Add({"GET", "/fault", Immediately(ThrowOther)});
    this->router.Add({"GET", "/count", CountToThree});
    this->router.Add({"GET", "/break", BreakHalfWay});
    this->router.Add({"GET", "/wait", [this](const AdminRequest& request) {
                        return this->waiting.Whole(request);
                      }});
    this->router.Add({"GET", "/watch",
                      [this](const AdminRequest& request, AdminStream& stream) {
                        return this->waiting.Stream(request, stream);
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

TEST(AdminServer, Request_Handler_SeesAllOfIt) {
  RawClient client(this->admin->port());
  client.Send(
      "POST /echo?a=b&from=17 HTTP/1.1\r\nHost: a\r\nX-Team: north\r\n"
      "Connection: close\r\nContent-Length: 4\r\n\r\nbody");
  const std::string answer = client.ReadToEnd();
  CHECK(HasStatus(answer, 200));
  CHECK(answer.ends_with("\r\n\r\nPOST /echo 17 north body"));
}

TEST(AdminServer, Request_SeveralOnOneConnection_AreAnsweredInOrder) {
  const std::string answers = this->admin->Exchange(
      "GET /echo?from=1 HTTP/1.1\r\nHost: a\r\n\r\n"
      "GET /count HTTP/1.1\r\nHost: a\r\n\r\n"
      "HEAD /echo HTTP/1.1\r\nHost: a\r\n\r\n"
      "GET /below/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  const size_t first = answers.find("GET /echo 1");
  const size_t second = answers.find("4\r\none\n\r\n4\r\ntwo\n\r\n");
  const size_t last = answers.find("GET /below/x");
  CHECK(first < second);
  CHECK(second < last);
  CHECK(last != std::string::npos);
  CHECK(answers.find("HEAD /echo") == std::string::npos);
}

TEST(AdminServer, Request_ExpectContinue_IsToldToGoOn) {
  RawClient client(this->admin->port());
  client.Send(
      "POST /echo HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
      "Connection: close\r\nContent-Length: 2\r\n\r\n");
  CHECK(HasStatus(client.ReadUntil("\r\n\r\n"), 100));
  client.Send("ab");
  CHECK(client.ReadToEnd().ends_with("ab"));
}

TEST(AdminServer, Request_UnknownPathOrMethod_IsTold) {
  CHECK(HasStatus(this->admin->Request("GET", "/echo/x"), 404));
  CHECK(HasStatus(this->admin->Request("GET", "/belowx"), 404));
  const std::string answer = this->admin->Request("DELETE", "/echo");
  CHECK(HasStatus(answer, 405));
  STRCMP_CONTAINS("\r\nAllow: GET, POST\r\n", answer.c_str());
  CHECK(HasStatus(this->admin->Request("HEAD", "/count"), 405));
}

TEST(AdminServer, Handler_ThrowsFailure_BecomesItsStatus) {
  const std::string answer = this->admin->Request("GET", "/not-found");
  CHECK(HasStatus(answer, 404));
  STRCMP_CONTAINS(
      "{\"failures\":[{\"kind\":\"not-found\",\"path\":\"/not-found\","
      "\"detail\":\"no such team\"}]}",
      answer.c_str());
}

TEST(AdminServer, Handler_ThrowsOther_IsA500WithoutInsides) {
  const std::string answer = this->admin->Request("GET", "/fault");
  CHECK(HasStatus(answer, 500));
  CHECK(answer.find("secret") == std::string::npos);
}

TEST(AdminServer, Stream_Http10_EndsWithTheConnection) {
  const std::string answer =
      this->admin->Exchange("GET /count HTTP/1.0\r\n\r\n");
  CHECK(answer.find("chunked") == std::string::npos);
  CHECK(answer.ends_with("\r\n\r\none\ntwo\nthree\n"));
}

// Story: a watch breaks because the node meets a fault in the midst of it. If
// the stream ended like a whole one, the watcher would believe that it has
// seen everything.
TEST(AdminServer, Stream_HandlerThrows_NeverLooksWhole) {
  const std::string answer = this->admin->Request("GET", "/break");
  CHECK(answer.ends_with("4\r\nhalf\r\n"));
}

// Story: a watcher goes away without a word. Its handler waits for a change
// that may not come for days, and would keep its place until then.
TEST(AdminServer, Stream_ClientGoes_CancelsTheHandler) {
  RawClient client(this->admin->port());
  client.Send("GET /watch HTTP/1.1\r\nHost: a\r\n\r\n");
  client.ReadUntil("first\n");
  client.Close();
  this->waiting.cancelled.get_future().wait();
}

TEST(AdminServer, Stop_HandlersAreWaiting_CancelsThem) {
  RawClient client(this->admin->port());
  client.Send("GET /watch HTTP/1.1\r\nHost: a\r\n\r\n");
  client.ReadUntil("first\n");
  this->admin->Stop();
  this->waiting.cancelled.get_future().wait();
  client.ReadToEnd();
}

TEST(AdminServer, Stop_WholeAnswerIsAwaited_CancelsIt) {
  RawClient client(this->admin->port());
  client.Send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  client.EndSending();  // A simple client; it still waits for its answer.
  this->waiting.entered.get_future().wait();
  this->admin->Stop();
  this->waiting.cancelled.get_future().wait();
  STRCMP_EQUAL("", client.ReadToEnd().c_str());
}

TEST(AdminServer, Health_OfEachPhase_IsTold) {
  CHECK(HasStatus(this->admin->Request("GET", "/healthz"), 200));
  CHECK(HasStatus(this->admin->Request("GET", "/readyz"), 503));
  this->phase = NodePhase::kReady;
  CHECK(HasStatus(this->admin->Request("GET", "/healthz"), 200));
  CHECK(HasStatus(this->admin->Request("GET", "/readyz"), 200));
  this->phase = NodePhase::kDraining;
  CHECK(HasStatus(this->admin->Request("GET", "/healthz"), 503));
  const std::string answer = this->admin->Request("GET", "/readyz");
  CHECK(HasStatus(answer, 503));
  CHECK(answer.ends_with("\r\n\r\ndraining\n"));
}

TEST(AdminServer, Pages_OfTheNode_HaveTheirTypes) {
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
    const std::string answer = this->admin->Exchange(item.bytes);
    CHECK_TEXT(HasStatus(answer, item.status), (item.bytes + answer).c_str());
    STRCMP_CONTAINS("\r\nConnection: close\r\n", answer.c_str());
  }
}

TEST(AdminServer, Input_RandomBytes_NeverStopTheServer) {
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
    const std::string answer = client.ReadToEnd();
    CHECK(answer.empty() || answer.starts_with("HTTP/1."));
  }
  CHECK(HasStatus(this->admin->Request("GET", "/echo"), 200));
}

TEST(AdminServer, Create_PortInUse_IsAFailure) {
  boost::asio::io_context context;
  AdminOptions taken;
  taken.listen = {"127.0.0.1", this->admin->port()};
  const auto server =
      basilsill::AdminServer::Create(context, taken, this->router);
  CHECK(server.error().kind == FailureKind::kNetwork);
}

TEST(AdminServer, Connections_OneTooMany_IsClosed) {
  AdminOptions few;
  few.max_connections = 1;
  RunningAdmin small(few, this->router);
  RawClient first(small.port());
  first.Send("GET /echo HTTP/1.1\r\nHost: a\r\n\r\n");
  first.ReadUntil("/echo");
  STRCMP_EQUAL("", small.Request("GET", "/echo").c_str());
}

// Story: a scraper opens a connection and hangs. Each such one would hold a
// place until no other could ask for metrics or health.
TEST(AdminServer, Connections_IdleOne_IsClosedInTime) {
  AdminOptions quick;
  quick.idle_timeout = std::chrono::milliseconds(1);
  quick.read_timeout = std::chrono::milliseconds(1);
  RunningAdmin small(quick, this->router);
  RawClient idle(small.port());
  STRCMP_EQUAL("", idle.ReadToEnd().c_str());
}

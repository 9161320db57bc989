// End-to-end tests of the request path: callers, nodes, links, upstreams and
// the platform's log. The platform and the upstreams are emulated; everything
// else is real.

#include <array>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "fleet.h"
#include "worker.h"

#include <CppUTest/TestHarness.h>

namespace {

using basilsill::test::Fleet;
using basilsill::test::HttpRequest;
using basilsill::test::HttpResponse;
using basilsill::test::MakeRequest;
using basilsill::test::RunningNode;
using basilsill::test::Send;
using basilsill::test::SendRaw;

constexpr size_t kLongBody = 3'000'000;

std::string HeaderOf(const HttpResponse& answer, const std::string& name) {
  return std::string(answer[name]);
}

std::string LongText() {
  std::string text(kLongBody, ' ');
  for (size_t i = 0; i < text.size(); ++i) {
    text[i] = static_cast<char>('a' + i * 31 % 26);
  }
  return text;
}

HttpRequest Confirmation(const std::string& key, const std::string& body) {
  HttpRequest request = MakeRequest("POST", "/confirm/7", body);
  request.set("Idempotency-Key", key);
  return request;
}

// An idempotency key with the current time, as callers make them.
std::string NewKey(const std::string& name) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  return std::to_string(millis) + "-" + name;
}

uint32_t CountExecutions(const basilsill::ctl::EmulatedUpstreams& upstreams,
                         const std::string& key) {
  uint32_t total = 0;
  for (size_t i = 0; i < upstreams.endpoints().size(); ++i) {
    const auto counts = upstreams.CountsOf(i);
    const auto found = counts.executions.find(key);
    total += found == counts.executions.end() ? 0 : found->second;
  }
  return total;
}

}  // namespace

// Two VMs in two data centres. All upstreams are in the first, so a request
// that enters at the second goes over a link.
TEST_GROUP(Path) {
  Fleet fleet;
  RunningNode* near = nullptr;
  RunningNode* far = nullptr;
  basilsill::ctl::EmulatedUpstreams* upstreams = nullptr;

  void setup() override {
    this->near = &this->fleet.AddNode("lyulin-1", "lyulin");
    this->far = &this->fleet.AddNode("druzhba-1", "druzhba");
    this->upstreams = &this->fleet.AddUpstreams("lyulin", 2);
    this->fleet.Configure();
  }
};

// Failure: a caller's request crosses the close of an idle connection by a VM
// that shuts down. If the VM read the request and then exited, the caller could
// not know whether it ran. If it is left unread, the connection is reset and
// the request can be sent again.
TEST(Path, Drain_RequestCrossesCloseOfIdleConnection_LeftUnread) {
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket caller(io);
  caller.connect(
      {boost::asio::ip::address_v4::loopback(), this->near->callers()});
  const std::string request =
      "GET /levels/7 HTTP/1.1\r\nHost: levels.test\r\n\r\n";
  boost::asio::write(caller, boost::asio::buffer(request));
  std::string answer;
  boost::asio::read_until(caller, boost::asio::dynamic_buffer(answer),
                          "\r\n\r\n");
  std::future<bool> drained = std::async(
      std::launch::async, [this] { return this->near->DrainAndWait(); });
  boost::system::error_code error;
  std::array<char, 4096> rest{};
  while (!error) {
    caller.read_some(boost::asio::buffer(rest), error);
  }
  CHECK(error == boost::asio::error::eof ||
        error == boost::asio::error::connection_reset);
  boost::asio::write(caller, boost::asio::buffer(request), error);
  const bool was_reset = basilsill::test::WaitUntil([&] {
    boost::asio::write(caller, boost::asio::buffer(request), error);
    return error.failed();
  });
  CHECK(was_reset);
  CHECK(drained.get());
}

TEST(Path, Request_EntersAtItsDispatcher_AnsweredByUpstream) {
  const HttpResponse answer =
      Send(this->near->callers(), MakeRequest("GET", "/levels/7"));
  CHECK_EQUAL(200, answer.result_int());
  CHECK_EQUAL(1024, answer.body().size());
}

TEST(Path, Body_StreamedThroughTwoNodes_Unchanged) {
  const std::string text = LongText();
  const HttpResponse answer =
      Send(this->far->callers(), MakeRequest("POST", "/echo", text));
  CHECK_EQUAL(200, answer.result_int());
  CHECK(text == answer.body());
}

TEST(Path, Head_ThroughTwoNodes_LengthWithoutBody) {
  const HttpResponse answer =
      Send(this->far->callers(), MakeRequest("HEAD", "/levels/7"));
  CHECK_EQUAL(200, answer.result_int());
  STRCMP_EQUAL("1024", HeaderOf(answer, "Content-Length").c_str());
}

TEST(Path, Request_NoMatchingRule_RefusedAsNotRun) {
  HttpRequest request = MakeRequest("GET", "/levels/7");
  request.set(boost::beast::http::field::host, "elsewhere.test");
  const HttpResponse answer = Send(this->near->callers(), request);
  CHECK_EQUAL(404, answer.result_int());
  STRCMP_EQUAL("no-route", HeaderOf(answer, "Basilsill-Reason").c_str());
  STRCMP_EQUAL("not-run", HeaderOf(answer, "Basilsill-Promise").c_str());
}

// Failure: a request with an idempotency key runs twice. The caller loses its
// connection and retries through another VM. Until the end of the first attempt
// is in the log, the retry is refused as running; afterwards it gets the stored
// response.
TEST(Path, Confirmation_RetriedThroughAnotherVm_RunsOnceWithSameAnswer) {
  const std::string key = NewKey("pickup-1");
  const HttpResponse first =
      Send(this->near->callers(), Confirmation(key, "bank 7"));
  HttpResponse again;
  CHECK(basilsill::test::WaitUntil([&] {
    again = Send(this->far->callers(), Confirmation(key, "bank 7"));
    return HeaderOf(again, "Basilsill-Reason") != "claim-running";
  }));
  CHECK_EQUAL(200, first.result_int());
  CHECK_EQUAL(200, again.result_int());
  CHECK(first.body() == again.body());
  STRCMP_EQUAL("whole", HeaderOf(again, "Basilsill-Replayed").c_str());
  CHECK_EQUAL(1, CountExecutions(*this->upstreams, key));
}

TEST(Path, Confirmation_SameKeyOtherBody_RefusedAsNotRun) {
  const std::string key = NewKey("pickup-2");
  Send(this->near->callers(), Confirmation(key, "bank 7"));
  const HttpResponse other =
      Send(this->far->callers(), Confirmation(key, "bank 8"));
  CHECK_EQUAL(422, other.result_int());
  STRCMP_EQUAL("not-run", HeaderOf(other, "Basilsill-Promise").c_str());
  CHECK_EQUAL(1, CountExecutions(*this->upstreams, key));
}

TEST(Path, Confirmation_NoKey_RefusedAsNotRun) {
  const HttpResponse answer =
      Send(this->near->callers(), MakeRequest("POST", "/confirm/7", "bank 7"));
  CHECK_EQUAL(400, answer.result_int());
  STRCMP_EQUAL("key-missing", HeaderOf(answer, "Basilsill-Reason").c_str());
  STRCMP_EQUAL("not-run", HeaderOf(answer, "Basilsill-Promise").c_str());
}

// Failure: an outage of the platform's log fails ordinary requests, or leaves
// the outcome of requests with an idempotency key unknown. Ordinary requests
// must be served. Requests with a key can't acquire a claim, so they must be
// refused within their deadline with the promise `not-run`, so that callers can
// safely retry.
TEST(Path, Requests_LogDown_OnlyConfirmationsRefusedAsNotRun) {
  this->fleet.WithPlatform([](basilsill::ctl::PlatformServer& platform) {
    basilsill::ctl::PlatformFaults faults;
    faults.down = true;
    platform.SetFaults(faults);
  });
  const HttpResponse reading =
      Send(this->far->callers(), MakeRequest("GET", "/levels/7"));
  CHECK_EQUAL(200, reading.result_int());
  const std::string key = NewKey("pickup-3");
  HttpRequest request = Confirmation(key, "bank 7");
  request.set("Basilsill-Deadline-Ms", "500");
  const HttpResponse refused = Send(this->near->callers(), request);
  CHECK_EQUAL(503, refused.result_int());
  STRCMP_EQUAL("claim-unavailable",
               HeaderOf(refused, "Basilsill-Reason").c_str());
  STRCMP_EQUAL("not-run", HeaderOf(refused, "Basilsill-Promise").c_str());
  CHECK_EQUAL(0, CountExecutions(*this->upstreams, key));
}

// Failure: a VM that shuts down exits while a request is in flight and cuts off
// the answer.
TEST(Path, Drain_RequestInFlight_AnswerComplete) {
  for (size_t i = 0; i < 2; ++i) {
    this->upstreams->Change(i, [](basilsill::ctl::UpstreamBehaviour& b) {
      b.service_mean = std::chrono::milliseconds(300);
    });
  }
  HttpResponse answer;
  std::thread caller([&] {
    answer = Send(this->near->callers(), MakeRequest("GET", "/export"));
  });
  const auto running = [this] {
    return this->upstreams->CountsOf(0).running +
               this->upstreams->CountsOf(1).running >
           0;
  };
  CHECK(basilsill::test::WaitUntil(running));
  const bool whole = this->near->DrainAndWait();
  caller.join();
  CHECK(whole);
  CHECK_EQUAL(200, answer.result_int());
}

// Failure: an upstream reads part of a long streamed body and refuses the
// request. The VM no longer has that part; sent to a second upstream, the body
// would lack its beginning and still look complete. The caller must either get
// its complete body back, as the upstream echoes it, or the promise `not-run`.
TEST(Path, LongBody_ShedByOneUpstream_NeverPartlySentToAnother) {
  this->upstreams->Change(
      0, [](basilsill::ctl::UpstreamBehaviour& b) { b.shed = true; });
  const std::string text = LongText();
  for (RunningNode* node : {this->near, this->far, this->near, this->far}) {
    HttpRequest request = MakeRequest("POST", "/echo", text);
    request.chunked(true);
    const HttpResponse answer = Send(node->callers(), request);
    const bool whole = answer.result_int() == 200 && answer.body() == text;
    const bool refused =
        HeaderOf(answer, "Basilsill-Promise") == "not-run" &&
        HeaderOf(answer, "Basilsill-Reason") == "upstream-shed";
    CHECK(whole || refused);
  }
}

// Failure: operators can't distinguish requests that succeeded after a retry
// from those that were refused. One of two upstreams sheds all requests, then
// both do; each must show in the metrics with its reason.
TEST(Path, Metrics_RetriesAndRefusals_CountedByReason) {
  const auto shed = [this](size_t index) {
    this->upstreams->Change(
        index, [](basilsill::ctl::UpstreamBehaviour& b) { b.shed = true; });
  };
  const auto shows = [this](const std::string& row) {
    return basilsill::test::WaitUntil([this, &row] {
      Send(this->near->callers(), MakeRequest("GET", "/levels/7"));
      const HttpResponse page =
          Send(this->near->admin(), MakeRequest("GET", "/metrics"));
      const size_t found = page.body().find(row);
      return found != std::string::npos &&
             page.body()[found + row.size()] != '0';
    });
  };
  shed(0);
  CHECK(shows("basilsill_retries_total{reason=\"shed\"} "));
  shed(1);
  HttpRequest lost = MakeRequest("GET", "/levels/7");
  lost.set(boost::beast::http::field::host, "elsewhere.test");
  Send(this->near->callers(), lost);
  CHECK(shows("basilsill_refusals_total{reason=\"no-route\"} "));
  CHECK(shows("basilsill_attempts_total "));
  CHECK(shows("basilsill_upstream_received_bytes_total "));
}

TEST_GROUP(Malformed) {
  Fleet fleet;
  RunningNode* node = nullptr;

  void setup() override {
    this->node = &this->fleet.AddNode("lyulin-1", "lyulin");
    this->fleet.AddUpstreams("lyulin", 1);
    this->fleet.Configure();
  }
};

// Failure: request smuggling. Two servers disagree on where a request ends;
// what one takes for its body, the other takes for a second request. Each
// ambiguous request must be answered with 400 and close the connection, so that
// nothing behind it is read as a request.
TEST(Malformed, Request_Ambiguous_Answered400AndClosed) {
  const std::string host = "Host: levels.test\r\n";
  const std::vector<std::string> requests = {
      "GET /a HTTP/1.1\r\n" + host +
          "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "POST /a HTTP/1.1\r\n" + host +
          "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\n" + host +
          "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
      "POST /a HTTP/1.1\r\n" + host + "Content-Length: +5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\n" + host + "Content-Length: 5, 5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\n" + host + "Content-Length: \r\n\r\nhello",
      "GET /a HTTP/1.1\r\n" + host + "X-Folded: a\r\n b\r\n\r\n",
      "GET /a HTTP/1.1\r\nHost : levels.test\r\n\r\n",
      "GET /a HTTP/1.1\n" + host + "\n\n",
      "GET /a HTTP/1.1\r\n" + host + "X-Bare: a\rb\r\n\r\n",
      "GET  /a HTTP/1.1\r\n" + host + "\r\n",
      "GET /a HTTP/9.9\r\n" + host + "\r\n",
      "\r\n\r\n\r\n",
      "no http at all\r\n\r\n",
  };
  for (const std::string& bytes : requests) {
    const std::string answer =
        SendRaw(this->node->callers(), bytes + "GET /b HTTP/1.1\r\n\r\n");
    CHECK_TEXT(answer.starts_with("HTTP/1.1 400 "), bytes.c_str());
    CHECK_TEXT(answer.find("HTTP/1.1", 1) == std::string::npos, bytes.c_str());
  }
}

TEST(Malformed, Request_HeadAboveLimit_Answered431) {
  const std::string answer =
      SendRaw(this->node->callers(),
              "GET /a HTTP/1.1\r\nHost: levels.test\r\nX-Long: " +
                  std::string(64 * 1024, 'x') + "\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 431 "));
}

namespace {

// Connections that send nothing.
class IdleCallers {
 public:
  void Open(uint16_t port, size_t count) {
    for (size_t i = 0; i < count; ++i) {
      this->sockets.emplace_back(this->io).connect(
          {boost::asio::ip::address_v4::loopback(), port});
    }
  }
  void Close() { this->sockets.clear(); }

 private:
  boost::asio::io_context io;
  std::vector<boost::asio::ip::tcp::socket> sockets;
};

unsigned ReadinessOf(const RunningNode& node) {
  return Send(node.admin(), MakeRequest("GET", "/readyz")).result_int();
}

}  // namespace

TEST_GROUP(Readiness) {
  IdleCallers callers;
};

// Failure: a VM that has reached its limit of callers' connections resets each
// new one and still reports that it is ready.
TEST(Readiness, Callers_LimitReached_NotReadyUntilSomeDisconnect) {
  Fleet fleet([](basilsill::Settings& settings) {
    settings.limits.caller_connections = 4;
  });
  RunningNode& node = fleet.AddNode("lyulin-1", "lyulin");
  fleet.AddUpstreams("lyulin", 1);
  fleet.Configure();
  CHECK_EQUAL(200, ReadinessOf(node));
  this->callers.Open(node.callers(), 4);
  CHECK(basilsill::test::WaitUntil([&] { return ReadinessOf(node) == 503; }));
  this->callers.Close();
  CHECK(basilsill::test::WaitUntil([&] { return ReadinessOf(node) == 200; }));
}

// Failure: callers occupy all connections that the process may have, so that
// none is left for links and upstreams to serve them.
TEST(Readiness, Connections_ManyCallers_SomeReservedForLinks) {
  basilsill::Installation installation;
  installation.max_connections = 16;
  basilsill::Settings settings;
  settings.vm = {"lyulin-1", "lyulin", "127.0.0.1", 0};
  settings.limits.caller_connections = 1000;
  basilsill::test::ContextThread control;
  std::unique_ptr<basilsill::Worker> worker;
  auto created = basilsill::Worker::Create(settings, installation, {},
                                           {"127.0.0.1", 0}, {"127.0.0.1", 0});
  CHECK(created.has_value());
  worker = std::move(created).value();
  worker->Start();
  this->callers.Open(worker->callers_endpoint().port, 20);
  CHECK(basilsill::test::WaitUntil(
      [&] { return worker->metrics()->caller_connections.value() == 14; }));
  std::promise<bool> takes;
  worker->QueryAcceptsCallers(
      [&takes](bool answer) { takes.set_value(answer); });
  CHECK_FALSE(takes.get_future().get());
}

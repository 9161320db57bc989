// Tests of the clients against servers that violate HTTP or the platform's
// protocol.

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "basilsill/ctl/platform_server.h"
#include "basilsill/platform.h"
#include "run_awaitable.h"

#include <CppUTest/TestHarness.h>

using namespace basilsill;  // NOLINT: a test's own file.
using boost::asio::ip::tcp;
using ctl::PlatformFaults;
using ctl::PlatformServer;
using std::chrono::milliseconds;

namespace {

constexpr auto kNoThrow = boost::asio::as_tuple(boost::asio::use_awaitable);
const Endpoint kAnyPort{"127.0.0.1", 0};

/// Answers any request with fixed bytes and then closes the connection.
class RawServer {
 public:
  /// @param resets Resets each connection instead of closing it.
  RawServer(boost::asio::io_context& io, std::string reply, bool resets = false)
      : acceptor(io,
                 tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    boost::asio::co_spawn(io, Serve(this->acceptor, std::move(reply), resets),
                          boost::asio::detached);
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

 private:
  static boost::asio::awaitable<void> Serve(tcp::acceptor& acceptor,
                                            std::string reply,
                                            bool resets) {
    for (;;) {
      tcp::socket socket(acceptor.get_executor());
      const auto [error] = co_await acceptor.async_accept(socket, kNoThrow);
      if (error) {
        co_return;
      }
      std::array<char, 4096> request;
      co_await socket.async_read_some(boost::asio::buffer(request), kNoThrow);
      co_await boost::asio::async_write(socket, boost::asio::buffer(reply),
                                        kNoThrow);
      if (resets) {
        socket.set_option(tcp::socket::linger(true, 0));
        socket.close();
      }
    }
  }

  tcp::acceptor acceptor;
};

/// Answers any request with `begin` and then `repeated` again and again, until
/// the client closes.
class EndlessServer {
 public:
  EndlessServer(boost::asio::io_context& io,
                std::string begin,
                const std::string& repeated)
      : acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        begin(std::move(begin)) {
    while (this->repeated.size() < kWriteBytes) {
      this->repeated += repeated;
    }
    boost::asio::co_spawn(io, this->Serve(), boost::asio::detached);
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

  size_t sent = 0;  ///< Bytes.

 private:
  static constexpr size_t kWriteBytes = 64 * 1024;

  boost::asio::awaitable<void> Serve() {
    tcp::socket socket(this->acceptor.get_executor());
    co_await this->acceptor.async_accept(socket, kNoThrow);
    std::array<char, 4096> request;
    co_await socket.async_read_some(boost::asio::buffer(request), kNoThrow);
    std::string next = this->begin;
    boost::system::error_code error;
    while (!error) {
      const auto [failed, size] = co_await boost::asio::async_write(
          socket, boost::asio::buffer(next), kNoThrow);
      error = failed;
      this->sent += size;
      next = this->repeated;
    }
  }

  tcp::acceptor acceptor;
  std::string begin;
  std::string repeated;
};

struct EndlessReply {
  const char* name;
  std::string begin;
  std::string repeated;
};

std::vector<EndlessReply> EndlessReplies() {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"no HTTP", "", "more"},
      {"line", head + "X-Note: ", "more"},
      {"fields", head, "X-Note: more\r\n"},
      {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
      {"body", head + "\r\n", "more"},
      {"chunks", chunked, "4\r\nmore\r\n"},
      {"chunk size", chunked, "0"},
      {"chunk extension", chunked + "4;", "more"},
      {"trailer", chunked + "0\r\nX-Note: ", "more"},
      {"trailers", chunked + "0\r\n", "X-Note: more\r\n"},
  };
}

struct BrokenReply {
  std::string reply;
  FailureKind of_read;
};

std::vector<BrokenReply> BrokenReplies() {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  return {
      {"", FailureKind::kPlatformUnavailable},
      {"HTTP/1.1 200", FailureKind::kPlatformUnavailable},
      {head + "Content-Length: 50\r\n\r\n{", FailureKind::kPlatformUnavailable},
      {"no HTTP at all\r\n\r\n", FailureKind::kSyntax},
      {head + "Content-Length: x\r\n\r\n{}", FailureKind::kSyntax},
      {head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", FailureKind::kSyntax},
      {head + "Content-Length: 2\r\n\r\n{}", FailureKind::kSyntax},
      {head + "Content-Length: 99999999999\r\n\r\n",
       FailureKind::kOversizedFrame},
      {head + "X: " + std::string(limits::kMaxHeaderBytes, 'x') + "\r\n\r\n",
       FailureKind::kOversizedFrame},
      {head + "X Note: a\r\nContent-Length: 2\r\n\r\n{}", FailureKind::kSyntax},
      {head + "Content-Length : 2\r\n\r\n{}", FailureKind::kSyntax},
      {head + "X\x01Note: a\r\nContent-Length: 2\r\n\r\n{}",
       FailureKind::kSyntax},
      {"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", FailureKind::kSyntax},
      {"HTTP/1.1 100 Continue\r\n\r\n", FailureKind::kSyntax},
      {"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n{}", FailureKind::kSyntax},
      {"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n",
       FailureKind::kPlatformRejected},
  };
}

}  // namespace

TEST_GROUP(MisbehavingServer) {
  boost::asio::io_context io;

  FailoverSettings SettingsFor(std::vector<Endpoint> endpoints) {
    FailoverSettings settings;
    settings.endpoints = std::move(endpoints);
    settings.backoff = {milliseconds(1), milliseconds(1)};
    return settings;
  }

  LogClient Connect(std::vector<Endpoint> endpoints) {
    return LogClient::Create(io.get_executor(),
                             SettingsFor(std::move(endpoints)))
        .value();
  }
};

// Failure: a faulty platform, or a server that is not a platform, answers. The
// client reports that an append had no effect although it may have had one, or
// a read returns data from the malformed answer.
TEST(MisbehavingServer, BrokenReply_AppendUnresolvedAndReadFails) {
  for (const BrokenReply& broken : BrokenReplies()) {
    RawServer server(io, broken.reply);
    LogClient client = Connect({server.endpoint()});
    const auto appended = RunAwaitable(io, client.Append("s", {"x"}));
    CHECK_TEXT(appended.error().kind == FailureKind::kUnresolved,
               broken.reply.c_str());
    const auto read = RunAwaitable(io, client.Read("s", 0, 1, milliseconds(0)));
    STRCMP_EQUAL_TEXT(FailureName(broken.of_read).data(),
                      FailureName(read.error().kind).data(),
                      broken.reply.substr(0, 60).c_str());
  }
}

TEST(MisbehavingServer, BrokenReplyWithSecondEndpoint_ReadFailsOver) {
  PlatformServer good = PlatformServer::Listen(io, kAnyPort).value();
  good.Append("s", {"x"});
  for (const BrokenReply& broken : BrokenReplies()) {
    RawServer server(io, broken.reply);
    LogClient client = Connect({server.endpoint(), good.endpoint()});
    const auto read = RunAwaitable(io, client.Read("s", 0, 1, milliseconds(0)));
    CHECK_TEXT(read.has_value(), broken.reply.c_str());
  }
}

// Failure: the platform resets the connection within an answer without length,
// and the client takes the part for the answer.
TEST(MisbehavingServer, AnswerWithoutLengthReset_CallFails) {
  RawServer server(io, "HTTP/1.1 200 OK\r\n\r\n{}", true);
  HttpClient client(io.get_executor());
  for (int i = 0; i < 20; ++i) {
    const HttpResult result =
        RunAwaitable(io, client.Call(server.endpoint(), {}));
    CHECK_FALSE(result.has_value());
  }
}

// Failure: a faulty server sends bytes without end. The client keeps them all
// until the call times out, and the process runs out of memory.
TEST(MisbehavingServer, ReplyWithoutEnd_CallFailsBeforeItsTimeout) {
  constexpr size_t answer_bytes = 64 * 1024;
  constexpr size_t socket_buffers = 16 * 1024 * 1024;
  for (const EndlessReply& reply : EndlessReplies()) {
    boost::asio::io_context own_io;
    EndlessServer server(own_io, reply.begin, reply.repeated);
    HttpClient client(own_io.get_executor());
    HttpCall call;
    call.timeout = milliseconds(1'000);
    call.max_answer_bytes = answer_bytes;
    const HttpResult result =
        RunAwaitable(own_io, client.Call(server.endpoint(), std::move(call)));
    CHECK_TEXT(!result.has_value(), reply.name);
    CHECK_TEXT(result.error().kind != FailureKind::kNetwork, reply.name);
    CHECK_TEXT(server.sent < answer_bytes + socket_buffers, reply.name);
  }
}

TEST(MisbehavingServer, RefusalWithoutEffect_AppendRejected) {
  RawServer server(io, "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n");
  LogClient client = Connect({server.endpoint()});
  const auto appended = RunAwaitable(io, client.Append("s", {"x"}));
  CHECK(appended.error().kind == FailureKind::kPlatformRejected);
}

// Failure: the platform accepts an append and never answers. The call does not
// end after its timeout, or reports that the append had no effect.
TEST(MisbehavingServer, NoAnswer_AppendUnresolvedAfterTimeout) {
  PlatformFaults faults;
  faults.append_delay = std::chrono::hours(1);
  PlatformServer platform =
      PlatformServer::Listen(io, kAnyPort, faults).value();
  FailoverSettings settings = SettingsFor({platform.endpoint()});
  settings.call_timeout = milliseconds(20);
  LogClient client = LogClient::Create(io.get_executor(), settings).value();
  const auto appended = RunAwaitable(io, client.Append("s", {"x"}));
  CHECK(appended.error().kind == FailureKind::kUnresolved);
  CHECK_EQUAL(1U, platform.state().streams.at("s").Bounds().end);
}

// Failure: the platform closes an idle connection and the next append is sent
// on it, so that its outcome is unknown although it was never received.
TEST(MisbehavingServer, IdleConnectionClosed_NextAppendSucceeds) {
  PlatformServer platform = PlatformServer::Listen(io, kAnyPort).value();
  const Endpoint endpoint = platform.endpoint();
  LogClient client = Connect({endpoint});
  CHECK(RunAwaitable(io, client.Append("s", {"x"})).has_value());
  platform.Stop();
  PlatformServer successor = PlatformServer::Listen(io, endpoint).value();
  CHECK(RunAwaitable(io, client.Append("s", {"y"})).has_value());
}

TEST_GROUP(VmListClient) {
  boost::asio::io_context io;
  PlatformServer platform = PlatformServer::Listen(io, kAnyPort).value();
  VmListClient client = Connect();
  ctl::ListedVm vm{"lyulin-1", "lyulin", {"127.0.0.1", 7101}, false};

  VmListClient Connect() {
    FailoverSettings settings;
    settings.endpoints = {platform.endpoint()};
    settings.backoff = {milliseconds(1), milliseconds(1)};
    return VmListClient::Create(io.get_executor(), settings).value();
  }

  Result<VmList> Watch(uint64_t since, milliseconds wait) {
    return RunAwaitable(io, client.Watch(since, wait));
  }
};

TEST(VmListClient, Watch_CurrentVersion_WaitsForNext) {
  platform.PutVm(vm);
  const auto first = Watch(0, std::chrono::seconds(50));
  CHECK_EQUAL(1U, first.value().version);
  CHECK(first.value().vms.at(0) ==
        (VmListEntry{vm.name, vm.data_centre, vm.control, false}));
  StartedCall<Result<VmList>> next(io,
                                   client.Watch(1, std::chrono::seconds(50)));
  while (platform.state().stats.vm_list_calls < 2) {
    io.run_one();
  }
  CHECK_FALSE(next.is_done());
  vm.leaving = true;
  platform.PutVm(vm);
  CHECK(next.Wait().value().vms.at(0).leaving);
}

TEST(VmListClient, Watch_NoChange_ReturnsSameVersion) {
  platform.PutVm(vm);
  CHECK_EQUAL(1U, Watch(1, milliseconds(1)).value().version);
}

// Failure: the platform's list still shows a removed VM for a while, and a
// watch in progress does not return when the list is updated.
TEST(VmListClient, Watch_ListLags_ReturnsUpdatedList) {
  platform.PutVm(vm);
  PlatformFaults faults;
  faults.vm_list_lag = milliseconds(20);
  platform.SetFaults(faults);
  platform.RemoveVm(vm.name);
  auto list = Watch(0, std::chrono::seconds(50));
  if (list.value().version == 1) {
    list = Watch(1, std::chrono::seconds(50));
  }
  CHECK_EQUAL(2U, list.value().version);
  CHECK(list.value().vms.empty());
}

TEST(VmListClient, Watch_ListDown_UnavailableThenBack) {
  PlatformFaults faults;
  faults.vms_down = true;
  platform.SetFaults(faults);
  const auto down = Watch(0, milliseconds(0));
  CHECK(down.error().kind == FailureKind::kPlatformUnavailable);
  platform.SetFaults({});
  CHECK(Watch(0, milliseconds(0)).has_value());
}

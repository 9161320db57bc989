// Tests calls of the emulated platform that the client library does not make.

#include "basilsill/ctl/platform_server.h"

#include <boost/asio/io_context.hpp>

#include "basilsill/platform/http_client.h"
#include "run_awaitable.h"

#include <CppUTest/TestHarness.h>

using namespace basilsill;       // NOLINT: a test's own file.
using namespace basilsill::ctl;  // NOLINT: a test's own file.

namespace {

struct BadCall {
  HttpMethod method;
  const char* target;
  const char* body;
  unsigned status;
};

constexpr BadCall kBadCalls[] = {
    {HttpMethod::kPost, "/log/s", "", 400},
    {HttpMethod::kPost, "/log/s", "{}", 400},
    {HttpMethod::kPost, "/log/s", R"({"records":[]})", 400},
    {HttpMethod::kPost, "/log/s", R"({"records":["a",7]})", 400},
    {HttpMethod::kGet, "/log/s?from=x", "", 400},
    {HttpMethod::kGet, "/log/s?from=-1", "", 400},
    {HttpMethod::kGet, "/vms?since=1.5", "", 400},
    {HttpMethod::kPut, "/vms/a", "{}", 400},
    {HttpMethod::kPut, "/vms/a",
     R"({"data_centre":"d","control":{"address":"127.0.0.1","port":1},
         "state":"gone"})",
     400},
    {HttpMethod::kDelete, "/vms/a", "", 404},
    {HttpMethod::kPut, "/faults", R"({"dwon":true})", 400},
    {HttpMethod::kPut, "/faults", R"({"down":1})", 400},
    {HttpMethod::kPut, "/faults", R"({"append_delay_ms":-1})", 400},
    {HttpMethod::kDelete, "/faults", "", 404},
    {HttpMethod::kGet, "/", "", 404},
    {HttpMethod::kGet, "/log/", "", 404},
    {HttpMethod::kGet, "/log/a/b", "", 404},
    {HttpMethod::kGet, "/log/A", "", 404},
};

}  // namespace

TEST_GROUP(PlatformServer) {
  boost::asio::io_context io;
  PlatformServer platform =
      PlatformServer::Listen(io, {"127.0.0.1", 0}).value();
  HttpClient client{io.get_executor()};

  HttpAnswer Call(HttpMethod method, std::string target, std::string body) {
    HttpCall call;
    call.method = method;
    call.target = std::move(target);
    call.body = std::move(body);
    return RunAwaitable(io, client.Call(platform.endpoint(), call)).value();
  }
};

TEST(PlatformServer, BadCall_Any_RejectedWithoutEffect) {
  for (const BadCall& bad : kBadCalls) {
    const HttpAnswer answer = Call(bad.method, bad.target, bad.body);
    UNSIGNED_LONGS_EQUAL_TEXT(bad.status, answer.status, bad.target);
    CHECK_TEXT(answer.body.starts_with(R"({"failures":[{"kind":")"),
               bad.target);
  }
  CHECK(platform.state().faults == PlatformFaults());
  CHECK_EQUAL(0U, platform.state().stats.append_records);
}

TEST(PlatformServer, Append_AboveLimits_RejectedWithoutEffect) {
  const auto records = [](size_t count, size_t bytes) {
    const std::string record = "\"" + std::string(bytes, 'x') + "\"";
    std::string text;
    for (size_t i = 0; i < count; ++i) {
      text += (text.empty() ? "" : ",") + record;
    }
    return R"({"records":[)" + text + "]}";
  };
  for (const std::string& body : {records(1, limits::kMaxLogRecordBytes + 1),
                                  records(limits::kMaxAppendRecords + 1, 1),
                                  records(9, limits::kMaxLogRecordBytes)}) {
    CHECK_EQUAL(400U, Call(HttpMethod::kPost, "/log/s", body).status);
  }
  CHECK_EQUAL(0U, platform.state().stats.append_records);
}

TEST(PlatformServer, PutFaults_SomeFields_OthersUnchanged) {
  Call(HttpMethod::kPut, "/faults", R"({"append_delay_ms":7,"down":true})");
  Call(HttpMethod::kPut, "/faults", R"({"retention_records":3})");
  const PlatformFaults& faults = platform.state().faults;
  CHECK(faults.down);
  CHECK_EQUAL(7, faults.append_delay.count());
  CHECK_EQUAL(3U, faults.retention_records);
  CHECK(Call(HttpMethod::kGet, "/faults", "").body ==
        R"({"down":true,"vms_down":false,"append_delay_ms":7,)"
        R"("drop_answers":0,"vm_list_lag_ms":0,"retention_records":3,)"
        R"("appends_per_second":0})");
}

TEST(PlatformServer, VmList_AfterPutAndDelete_IsUpdated) {
  const char* body =
      R"({"data_centre":"lyulin","control":{"address":"127.0.0.1","port":9},)"
      R"("state":"leaving"})";
  CHECK_EQUAL(200U, Call(HttpMethod::kPut, "/vms/a", body).status);
  CHECK(Call(HttpMethod::kGet, "/vms", "").body ==
        R"({"version":1,"vms":[{"name":"a","data_centre":"lyulin",)"
        R"("control":{"address":"127.0.0.1","port":9},"state":"leaving"}]})");
  CHECK_EQUAL(200U, Call(HttpMethod::kDelete, "/vms/a", "").status);
  CHECK(Call(HttpMethod::kGet, "/vms", "").body == R"({"version":2,"vms":[]})");
}

TEST(PlatformServer, Stats_AfterCalls_IncludeThem) {
  Call(HttpMethod::kPost, "/log/s", R"({"records":["ab","c"]})");
  Call(HttpMethod::kGet, "/log/s?from=1", "");
  CHECK(Call(HttpMethod::kGet, "/stats", "").body ==
        R"({"append_calls":1,"append_records":2,"append_bytes":3,)"
        R"("append_refusals":0,"dropped_answers":0,"read_calls":1,)"
        R"("read_records":1,"read_bytes":1,"vm_list_calls":0})");
}

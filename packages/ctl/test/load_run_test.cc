// Tests of the load generator against emulated upstreams, over TCP sockets on
// ports that the kernel chooses.

#include <memory>

#include "basilsill/ctl/load.h"
#include "basilsill/ctl/upstream.h"
#include "load_report.h"

#include <CppUTest/TestHarness.h>

using basilsill::FailureKind;
using basilsill::ctl::CountOf;
using basilsill::ctl::EmulatedUpstreams;
using basilsill::ctl::IsGood;
using basilsill::ctl::LoadEndpoint;
using basilsill::ctl::LoadOptions;
using basilsill::ctl::LoadReport;
using basilsill::ctl::LoadVerdict;
using basilsill::ctl::LoadVerdictClass;
using basilsill::ctl::RunLoad;
using basilsill::ctl::UpstreamCounts;
using basilsill::ctl::UpstreamOptions;
using std::chrono::milliseconds;

TEST_GROUP(LoadRun) {
  UpstreamOptions upstream_options;
  std::unique_ptr<EmulatedUpstreams> upstreams;
  LoadOptions load;

  void setup() override {
    this->upstream_options.count = 2;
    this->upstream_options.behaviour.service_mean = {};
    this->load.rate = 5000;
    this->load.requests = 200;
    this->load.connections = 8;
    this->load.duration = std::chrono::seconds(60);
    this->load.timeout = std::chrono::seconds(60);
  }

  LoadEndpoint Endpoint(size_t index) {
    const auto& endpoint = this->upstreams->endpoints().at(index);
    return {endpoint.address, endpoint.port};
  }

  void Start() {
    this->upstreams =
        std::move(EmulatedUpstreams::Create(this->upstream_options).value());
    this->load.targets = {this->Endpoint(0)};
  }

  LoadReport Run() {
    return RunLoad(this->load).value();
  }

  uint64_t Finals(const LoadReport& report, LoadVerdict verdict) {
    return report.sides.at(0).Total().verdicts[static_cast<size_t>(verdict)];
  }
};

TEST(LoadRun, Run_BothSides_EveryResponseRightAndCounted) {
  this->Start();
  this->load.direct = {this->Endpoint(1)};
  this->load.threads = 2;
  const LoadReport report = this->Run();
  CHECK(IsGood(report, {}));
  CHECK_EQUAL(2, report.sides.size());
  CHECK_EQUAL(400, report.start_lag.count());
  for (size_t side = 0; side < 2; ++side) {
    const auto total = report.sides[side].Total();
    CHECK_EQUAL(200, CountOf(total.verdicts, LoadVerdictClass::kRight));
    CHECK_EQUAL(200, total.right.count());
    CHECK_EQUAL(200, report.sides[side].statuses.at(200));
    CHECK_EQUAL(200 * 1024, report.sides[side].bytes);
    CHECK_EQUAL(200, this->upstreams->CountsOf(side).finished);
  }
}

TEST(LoadRun, Run_SpinningClosedLoop_EveryResponseRight) {
  this->Start();
  this->load.closed_loop = true;
  this->load.spin = true;
  this->load.connections = 2;
  CHECK_EQUAL(200, this->Finals(this->Run(), LoadVerdict::kRight));
}

TEST(LoadRun, Run_ResponsesCorrupted_IsDetected) {
  this->upstream_options.behaviour.corrupt_every = 10;
  this->Start();
  const LoadReport report = this->Run();
  CHECK_EQUAL(20, this->Finals(report, LoadVerdict::kWrongDigest));
  CHECK_EQUAL(180, this->Finals(report, LoadVerdict::kRight));
  CHECK_FALSE(IsGood(report, {.refusals = true, .broken = true}));
}

TEST(LoadRun, Run_UpstreamCrashesOnRequest_IsReportedBroken) {
  // Failure: a request crashes the upstream that runs it, and the report does
  // not show it. The first attempt ends with a closed connection, the resend
  // with a refused one.
  this->upstream_options.behaviour.down_time = std::chrono::hours(1);
  this->Start();
  this->load.mix.front().crash = true;
  this->load.requests = 1;
  this->load.resends = 1;
  const LoadReport report = this->Run();
  const auto& attempts = report.sides[0].attempts;
  CHECK_EQUAL(1, attempts[static_cast<size_t>(LoadVerdict::kClosed)]);
  CHECK_EQUAL(1, attempts[static_cast<size_t>(LoadVerdict::kConnectFailed)]);
  CHECK_EQUAL(1, report.sides[0].resends);
  CHECK_FALSE(IsGood(report, {}));
  CHECK_EQUAL(1, this->upstreams->CountsOf(0).crashes);
}

TEST(LoadRun, Run_UpstreamDiesDuringResponse_IsReportedBroken) {
  // Failure: an upstream dies while it sends a long response, and the truncated
  // response counts as complete.
  this->upstream_options.behaviour.cut_after = 500000;
  this->Start();
  this->load.mix.front().path = "/bytes/1000000";
  this->load.requests = 3;
  const LoadReport report = this->Run();
  CHECK_EQUAL(3, this->Finals(report, LoadVerdict::kCutShort));
  CHECK_FALSE(IsGood(report, {.refusals = true}));
}

TEST(LoadRun, Run_LongResponses_AreCompleteAndRight) {
  this->Start();
  this->load.mix.front().path = "/bytes/1000003";
  this->load.requests = 5;
  const LoadReport report = this->Run();
  CHECK_EQUAL(5, this->Finals(report, LoadVerdict::kRight));
  CHECK_EQUAL(5 * 1000003, report.sides[0].bytes);
}

TEST(LoadRun, Run_UpstreamRestartsAfterCrash_ServesOnSamePort) {
  this->upstream_options.behaviour.down_time = milliseconds(1);
  this->Start();
  this->upstreams->Crash(0);
  this->load.resends = 100;
  const LoadReport report = this->Run();
  CHECK_EQUAL(200, this->Finals(report, LoadVerdict::kRight));
}

TEST(LoadRun, Run_UpstreamSheds_CountsRefusalsAndResends) {
  this->upstream_options.behaviour.shed = true;
  this->Start();
  this->load.requests = 5;
  this->load.resends = 1;
  const LoadReport report = this->Run();
  CHECK_EQUAL(5, this->Finals(report, LoadVerdict::kRefused));
  CHECK_EQUAL(10, report.sides[0].statuses.at(503));
  CHECK_EQUAL(10, report.sides[0].refusals.at("upstream-refused"));
  CHECK_EQUAL(5, report.sides[0].Total().refused.count());
  CHECK_FALSE(IsGood(report, {}));
  CHECK(IsGood(report, {.refusals = true}));
}

TEST(LoadRun, Run_CallerTimesOut_CancelsWork) {
  this->upstream_options.behaviour.service_mean = std::chrono::hours(1);
  this->upstream_options.behaviour.slots = 1;
  this->Start();
  this->load.requests = 2;
  this->load.connections = 2;
  this->load.timeout = milliseconds(20);
  const LoadReport report = this->Run();
  CHECK_EQUAL(2, this->Finals(report, LoadVerdict::kTimedOut));
  CHECK(this->upstreams->WaitFor(0, [](const UpstreamCounts& counts) {
    return counts.cancelled_queued + counts.cancelled_running == 2;
  }));
  CHECK_EQUAL(0, this->upstreams->CountsOf(0).running);
}

TEST(LoadRun, Run_RequestsWaitForConnection_WaitCountsAsLatency) {
  // Failure: latency counts from the actual send, so that requests that wait
  // for a connection behind a slow upstream report ten short latencies
  // (coordinated omission).
  this->upstream_options.behaviour.service_mean = milliseconds(10);
  this->Start();
  this->load.requests = 10;
  this->load.connections = 1;
  this->load.rate = 100000;
  const LoadReport report = this->Run();
  CHECK_EQUAL(10, this->Finals(report, LoadVerdict::kRight));
  CHECK(report.sides[0].Total().right.max() >= milliseconds(90));
}

TEST(LoadRun, Run_DeadlinesShorterThanQueue_AreSentAndHonoured) {
  this->upstream_options.behaviour.service_mean = milliseconds(20);
  this->upstream_options.behaviour.slots = 1;
  this->Start();
  this->load.requests = 5;
  this->load.connections = 5;
  this->load.deadline = milliseconds(30);
  const LoadReport report = this->Run();
  // One slot at 20 ms per request: the third request starts after 40 ms at the
  // earliest, past its deadline of 30 ms.
  CHECK(this->upstreams->CountsOf(0).expired >= 3);
  CHECK(this->Finals(report, LoadVerdict::kRefused) >= 3);
}

TEST(LoadRun, Run_UploadsWithKeys_ArriveCompleteAndRunOnce) {
  this->Start();
  auto& kind = this->load.mix.front();
  kind.method = "POST";
  kind.path = "/echo";
  kind.body_bytes = 100000;
  kind.once = true;
  this->load.requests = 20;
  this->load.executions_at = {this->Endpoint(0), this->Endpoint(1)};
  const LoadReport report = this->Run();
  CHECK(IsGood(report, {}));
  CHECK_EQUAL(20, report.executions->keys);
  CHECK_EQUAL(20, report.executions->ran_once);
  CHECK_EQUAL(0, report.executions->unreachable);
}

TEST(LoadRun, Run_HeadRequests_NeedNoBody) {
  this->Start();
  this->load.mix.front().method = "HEAD";
  CHECK_EQUAL(200, this->Finals(this->Run(), LoadVerdict::kRight));
}

TEST(LoadRun, Run_IdleConnections_AreHeldAndLossCounted) {
  this->Start();
  this->load.rate = 0;
  this->load.idle_connections = 50;
  this->load.duration = milliseconds(1);
  LoadReport report = this->Run();
  CHECK_EQUAL(50, report.idle.opened);
  CHECK_EQUAL(0, report.idle.lost);
  CHECK(IsGood(report, {}));
  report.idle.lost = 1;
  CHECK_FALSE(IsGood(report, {}));
}

TEST(LoadRun, Run_AddressNotLoopback_IsRejected) {
  this->load.targets = {{"192.0.2.1", 80}};
  const auto report = RunLoad(this->load);
  CHECK(report.has_error());
  CHECK(report.error().kind == FailureKind::kOutOfRange);
  STRCMP_EQUAL("target", report.error().path.c_str());
  this->upstream_options.address = "0.0.0.0";
  CHECK(EmulatedUpstreams::Create(this->upstream_options).has_error());
}

#include "basilsill/platform/log_client.h"

#include <boost/asio/io_context.hpp>

#include "basilsill/ctl/platform_server.h"
#include "run_awaitable.h"

#include <CppUTest/TestHarness.h>

// These tests do not assert on elapsed time. Calls end because of events; the
// few short waits determine when a call ends, but not its result.

using namespace basilsill;  // NOLINT: a test's own file.
using ctl::PlatformFaults;
using ctl::PlatformServer;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kNoWait{0};
constexpr milliseconds kLongWait = std::chrono::seconds(50);
constexpr size_t kMax = 100;
const Endpoint kAnyPort{"127.0.0.1", 0};

}  // namespace

TEST_GROUP(LogClient) {
  boost::asio::io_context io;
  PlatformServer platform = PlatformServer::Listen(io, kAnyPort).value();
  LogClient client = Connect({platform.endpoint()});

  LogClient Connect(std::vector<Endpoint> endpoints) {
    FailoverSettings settings;
    settings.endpoints = std::move(endpoints);
    settings.backoff = {milliseconds(1), milliseconds(2)};
    return LogClient::Create(io.get_executor(), settings).value();
  }

  Result<AppendAnswer> Append(std::vector<std::string> records) {
    return RunAwaitable(io, client.Append("configuration", std::move(records)));
  }

  ReadResult Read(uint64_t from) {
    return RunAwaitable(io, client.Read("configuration", from, kMax, kNoWait));
  }

  /// @returns an endpoint on which nothing listens.
  Endpoint ClosedEndpoint() {
    PlatformServer gone = PlatformServer::Listen(io, kAnyPort).value();
    return gone.endpoint();
  }
};

TEST(LogClient, Append_TwoRecords_ReadBackInOrder) {
  const auto appended = Append({"first", "second \"\n\xc3\xa9"});
  CHECK_EQUAL(0U, appended.value().first);
  CHECK_EQUAL(2U, appended.value().next);
  const auto read = Read(0);
  CHECK_EQUAL(2U, read.value().next);
  CHECK_EQUAL(2U, read.value().records.size());
  CHECK(read.value().records[0].body == "first");
  CHECK(read.value().records[1].body == "second \"\n\xc3\xa9");
  CHECK_EQUAL(1U, read.value().records[1].offset);
}

TEST(LogClient, Append_OutsideOfLimits_NothingSent) {
  const std::string too_long(limits::kMaxLogRecordBytes + 1, 'x');
  CHECK(Append({}).error().kind == FailureKind::kOutOfRange);
  CHECK(Append({too_long}).error().kind == FailureKind::kOutOfRange);
  CHECK_EQUAL(0U, platform.state().stats.append_calls);
}

TEST(LogClient, Append_LargestRecord_ReadBackWhole) {
  // JSON needs the most bytes for control characters.
  const std::string longest(limits::kMaxLogRecordBytes, '\x01');
  CHECK(Append({longest, longest, longest}).has_value());
  CHECK(Read(0).value().records.at(2).body == longest);
}

TEST(LogClient, Read_NoRecordYet_WaitsForOne) {
  StartedCall<ReadResult> poll(
      io, client.Read("configuration", 0, kMax, kLongWait));
  while (platform.state().stats.read_calls == 0) {
    io.run_one();
  }
  CHECK_FALSE(poll.is_done());
  CHECK(Append({"news"}).has_value());
  CHECK(poll.Wait().value().records.at(0).body == "news");
}

TEST(LogClient, Read_WaitOver_NoRecordIsNoFailure) {
  const auto read =
      RunAwaitable(io, client.Read("configuration", 0, kMax, milliseconds(1)));
  CHECK(read.value().records.empty());
  CHECK_EQUAL(0U, read.value().next);
}

// Failure: a VM that was down for longer than the platform's retention reads at
// its old offset and can't recover, because it does not learn that the offset
// was trimmed and where the stream begins now.
TEST(LogClient, Read_PastRetention_TrimmedWithBounds) {
  PlatformFaults faults;
  faults.retention_records = 2;
  platform.SetFaults(faults);
  CHECK(Append({"a", "b", "c", "d", "e"}).has_value());
  const auto read = Read(1);
  CHECK(read.error().kind == FailureKind::kTrimmed);
  CHECK_EQUAL(3U, read.error().bounds.first);
  CHECK_EQUAL(5U, read.error().bounds.end);
  CHECK(Read(3).value().records.at(0).body == "d");
}

// Failure: the platform restarts with an empty log, or another platform
// answers, and a VM that reads at its old offset takes this for an empty
// result.
TEST(LogClient, Read_BeyondEnd_OutOfRangeWithBounds) {
  CHECK(Append({"only"}).has_value());
  const auto read = Read(9);
  CHECK(read.error().kind == FailureKind::kOutOfRange);
  CHECK_EQUAL(1U, read.error().bounds.end);
}

// Failure: the log appends an operator's change, but the connection closes
// before the answer. The client reports that the append had no effect, or sends
// it again, so that the record is in the log twice.
TEST(LogClient, Append_AnswerLost_UnresolvedAndAppendedOnce) {
  PlatformFaults faults;
  faults.drop_answers = 1;
  platform.SetFaults(faults);
  CHECK(Append({"change"}).error().kind == FailureKind::kUnresolved);
  CHECK_EQUAL(1U, Read(0).value().records.size());
  CHECK_EQUAL(1U, platform.state().stats.append_calls);
}

// Failure: the answer is lost as above, and failover sends the append to the
// second endpoint, so that the change is appended twice.
TEST(LogClient, Append_AnswerLostWithSecondEndpoint_NotSentThere) {
  PlatformServer second = PlatformServer::Listen(io, kAnyPort).value();
  client = Connect({platform.endpoint(), second.endpoint()});
  PlatformFaults faults;
  faults.drop_answers = 1;
  platform.SetFaults(faults);
  CHECK(Append({"change"}).error().kind == FailureKind::kUnresolved);
  CHECK_EQUAL(0U, second.state().stats.append_calls);
}

// Failure: the log is down and the client reports the append as unresolved.
// Requests that need a claim could then not be refused at once as not run.
TEST(LogClient, Append_LogDown_UnavailableWithoutEffect) {
  PlatformFaults faults;
  faults.down = true;
  platform.SetFaults(faults);
  CHECK(Append({"x"}).error().kind == FailureKind::kPlatformUnavailable);
  CHECK(platform.state().streams.empty());
}

TEST(LogClient, Append_NothingListens_UnavailableWithoutEffect) {
  client = Connect({ClosedEndpoint()});
  CHECK(Append({"x"}).error().kind == FailureKind::kPlatformUnavailable);
}

TEST(LogClient, Append_FirstEndpointDown_SentToSecond) {
  client = Connect({ClosedEndpoint(), platform.endpoint()});
  CHECK(Append({"x"}).has_value());
  CHECK_EQUAL(1U, platform.state().stats.append_calls);
}

TEST(LogClient, Append_AboveRate_LimitReached) {
  PlatformFaults faults;
  faults.appends_per_second = 1;
  platform.SetFaults(faults);
  CHECK(Append({"x"}).has_value());
  CHECK(Append({"y"}).error().kind == FailureKind::kLimitReached);
  CHECK_EQUAL(1U, Read(0).value().bounds.end);
}

// Failure: the log answers slowly, and records can't be read before the answer
// to their append has arrived.
TEST(LogClient, Append_SlowAnswer_ReadableBeforeAnswer) {
  PlatformFaults faults;
  faults.append_delay = milliseconds(20);
  platform.SetFaults(faults);
  StartedCall<Result<AppendAnswer>> append(io, client.Append("slow", {"x"}));
  const auto read = RunAwaitable(io, client.Read("slow", 0, kMax, kLongWait));
  CHECK_EQUAL(1U, read.value().records.size());
  CHECK_EQUAL(1U, append.Wait().value().next);
}

// Failure: the platform restarts at the same address during a long poll, and
// the client does not reconnect.
TEST(LogClient, Read_PlatformRestarts_NextReadSucceeds) {
  StartedCall<ReadResult> poll(
      io, client.Read("configuration", 0, kMax, kLongWait));
  while (platform.state().stats.read_calls == 0) {
    io.run_one();
  }
  const Endpoint endpoint = platform.endpoint();
  platform.Stop();
  CHECK(poll.Wait().error().kind == FailureKind::kPlatformUnavailable);
  platform = PlatformServer::Listen(io, endpoint).value();
  CHECK(Read(0).has_value());
  CHECK(Append({"x"}).has_value());
}

TEST(LogClient, Close_CallInFlight_Ends) {
  StartedCall<ReadResult> poll(
      io, client.Read("configuration", 0, kMax, kLongWait));
  while (platform.state().stats.read_calls == 0) {
    io.run_one();
  }
  client.Close();
  CHECK(poll.Wait().error().kind == FailureKind::kPlatformUnavailable);
  CHECK(Append({"x"}).error().kind == FailureKind::kPlatformUnavailable);
}

TEST(LogClient, Create_NoEndpoint_MissingField) {
  const auto created = LogClient::Create(io.get_executor(), {});
  CHECK(created.error().kind == FailureKind::kMissingField);
}

// Tests of `basilsillctl explain`: the course of a request is reconstructed
// from the logs of several VMs.

#include "explain.h"

#include <algorithm>
#include <sstream>

#include <CppUTest/TestHarness.h>

using basilsill::ctl::Explain;
using basilsill::ctl::NodeLog;
using basilsill::ctl::ParseLogLine;
using basilsill::ctl::ReadNodeLog;

namespace {

NodeLog LogOf(const std::string& text) {
  std::istringstream input(text);
  return ReadNodeLog("file", input);
}

bool Has(const std::vector<std::string>& output, const std::string& part) {
  return std::any_of(output.begin(), output.end(), [&part](const auto& line) {
    return line.find(part) != std::string::npos;
  });
}

}  // namespace

TEST_GROUP(Explain) {
  // Logs of the VM that the caller reached, and of the VM that dispatched the
  // request.
  NodeLog entry = LogOf(
      "2026-01-31T10:00:00.000Z INFO 100 node-starting vm=vm-1 callers=1\n"
      "2026-01-31T10:00:05.000Z ERROR 500 log-unavailable store=a:1 "
      "detail=\"Connection reset by peer\"\n"
      "not a line of a node\n"
      "2026-01-31T10:00:06.500Z INFO 200 request-refused request=r1 "
      "reason=upstream-shed class=urgent elapsed_ms=480\n"
      "2026-01-31T10:00:07.000Z WARN 120 events-suppressed "
      "event=attempt-answered count=9\n");
  NodeLog dispatcher = LogOf(
      "2026-01-31T09:00:00.000Z INFO 100 node-starting vm=vm-2 callers=1\n"
      "2026-01-31T10:00:06.400Z WARN 211 attempt-failed request=r1 "
      "upstream=i-7 reason=none end=shed status=503 waited_ms=35 took_ms=4 "
      "slowness=5 slowness_age_ms=12\n"
      "2026-01-31T10:00:06.450Z INFO 210 attempt-answered request=r2 "
      "upstream=i-7 reason=none end=answered status=200\n");
};

TEST(Explain, Line_WithQuotedValue_Parsed) {
  const auto line = ParseLogLine(
      "2026-01-31T23:59:59.999Z WARN 500 name a=1 b=\"two \\\"words\\\"\" c=3");
  CHECK(line.has_value());
  CHECK_EQUAL(500, line->event);
  STRCMP_EQUAL("two \"words\"", std::string(line->Field("b")).c_str());
  STRCMP_EQUAL("3", std::string(line->Field("c")).c_str());
  CHECK(line->time == std::chrono::milliseconds(86'399'999));
}

TEST(Explain, Line_OfAnotherProgram_NotParsed) {
  for (const char* text : {"", "hello", "2026-01-31T10:00:00.000Z INFO x y"}) {
    CHECK_FALSE(ParseLogLine(text).has_value());
  }
}

TEST(Explain, Request_ThroughTwoVms_ListedInOrderOfTime) {
  const auto output = Explain("r1", {this->entry, this->dispatcher});
  CHECK(output[0].find("vm-2: sent to upstream i-7 (first attempt) after "
                       "waiting 35 ms") != std::string::npos);
  CHECK(output[0].find("shed, status 503, after 4 ms") != std::string::npos);
  CHECK(output[1].find("vm-1: answered by the system itself: upstream-shed") !=
        std::string::npos);
  CHECK_FALSE(Has(output, "r2"));
}

TEST(Explain, Attempt_ProvenNotToHaveRun_ShowsProofAndConnection) {
  const NodeLog log = LogOf(
      "2026-01-31T10:00:06.400Z WARN 211 attempt-failed request=r3 "
      "upstream=i-7 reason=none end=shed status=503 proof=header connection=9 "
      "carried=4 skipped=1 waited_ms=35 took_ms=4\n");
  const auto output = Explain("r3", {log});
  CHECK(output[0].find("on connection 9 after 4 sends and 1 late answers, not "
                       "run: header") != std::string::npos);
}

TEST(Explain, Request_WhileStoreUnavailable_ShowsStoreEvent) {
  const auto output = Explain("r1", {this->entry, this->dispatcher});
  CHECK(Has(output, "log-unavailable store=a:1"));
}

// Failure: log lines were suppressed on a VM, and the reader takes their
// absence as proof that the events did not happen.
TEST(Explain, Lines_Suppressed_ReportedAsMissing) {
  CHECK(Has(Explain("r1", {this->entry, this->dispatcher}),
            "9 lines of attempt-answered were left out"));
}

TEST(Explain, Logs_WithoutEntryVm_EndReportedAsMissing) {
  CHECK(Has(Explain("r1", {this->dispatcher}), "missing: how it ended"));
  CHECK(Explain("r9", {this->dispatcher}).empty());
}

// Tests the resource commands from the command line to the exit status.

#include "resource_commands.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "fake_node.h"

#include <CppUTest/TestHarness.h>

using namespace basilsill::ctl;  // NOLINT: a test's own file.

namespace {

constexpr const char* kTeam =
    R"({"kind": "team", "name": "payments",
        "spec": {"limits": {"weight": 4}}}  // Comments are allowed.)";

const ServerReply kUnresolvedReply{
    503,
    R"({"failures":[{"kind":"unresolved","path":"","detail":""}]})",
    {}};

/// Redirects a stream into a string during its lifetime.
class Capture {
 public:
  explicit Capture(std::ostream& from)
      : stream(from), before(from.rdbuf(this->into.rdbuf())) {}
  Capture(const Capture&) = delete;
  Capture& operator=(const Capture&) = delete;
  ~Capture() { this->stream.rdbuf(this->before); }

  std::string text() const { return this->into.str(); }

 private:
  std::ostringstream into;
  std::ostream& stream;
  std::streambuf* before;
};

}  // namespace

TEST_GROUP(ResourceCommands) {
  FakeNode node;
  Capture out{std::cout};
  Capture err{std::cerr};
  std::vector<std::string> nodes = {node.endpoint()};

  ExitStatus Run(ExitStatus(*command)(const CommandArguments&),
                 CommandArguments arguments) {
    arguments.insert(arguments.begin(), "basilsillctl");
    for (const std::string& endpoint : nodes) {
      arguments.push_back("--node=" + endpoint);
    }
    return command(arguments);
  }

  ExitStatus Apply(const std::string& text, CommandArguments more = {}) {
    std::istringstream input(text);
    std::streambuf* before = std::cin.rdbuf(input.rdbuf());
    CommandArguments arguments = {"-f", "-"};
    arguments.insert(arguments.end(), more.begin(), more.end());
    const ExitStatus status = Run(RunApply, arguments);
    std::cin.rdbuf(before);
    return status;
  }

  bool OutputContains(const std::string& text) const {
    return out.text().find(text) != std::string::npos;
  }
  bool ErrorsContain(const std::string& text) const {
    return err.text().find(text) != std::string::npos;
  }
};

TEST(ResourceCommands, Apply_NewThenSameThenChanged_CreatesSkipsReplaces) {
  CHECK(Apply(kTeam) == ExitStatus::kOk);
  CHECK(OutputContains("created teams/payments version 17"));
  CHECK(Apply(kTeam) == ExitStatus::kOk);
  CHECK(OutputContains("unchanged teams/payments version 17"));
  CHECK(Apply(R"({"kind":"teams","name":"payments","spec":{}})") ==
        ExitStatus::kOk);
  CHECK(OutputContains("replaced teams/payments version 18"));
}

TEST(ResourceCommands, Apply_DefaultsWrittenOut_Unchanged) {
  Apply(R"({"kind":"team","name":"a","spec":{}})");
  Apply(R"({"kind":"team","name":"a","spec":{"limits":{"weight":1}}})");
  CHECK(OutputContains("unchanged teams/a"));
}

TEST(ResourceCommands, Apply_Array_AppliedInOrder) {
  CHECK(Apply(R"([{"kind":"team","name":"a","spec":{}},
                  {"kind":"service","name":"b","spec":{"team":"a"}}])") ==
        ExitStatus::kOk);
  const auto calls = node.Calls();
  CHECK(calls.at(1) == "PUT /api/v1/teams/a");
  CHECK(calls.at(3) == "PUT /api/v1/services/b");
}

// Failure: two operators change the same resource, and the second overwrites
// the change of the first. The file of the second has the version that it is
// based on, so the change must be rejected as a conflict.
TEST(ResourceCommands, Apply_BasedOnOldVersion_Conflict) {
  Apply(kTeam);
  CHECK(Apply(R"({"kind":"team","name":"payments","version":16,
                  "spec":{}})") == ExitStatus::kConflict);
  CHECK(ErrorsContain("conflict"));
}

TEST(ResourceCommands, Apply_FirstRejected_RestNotSent) {
  node.RefuseAll({422,
                  R"({"failures":[
                      {"kind":"out-of-range","path":"/a","detail":"x"},
                      {"kind":"dangling-reference","path":"/b","detail":"y"}]})",
                  {}});
  CHECK(Apply(R"([{"kind":"team","name":"a","spec":{}},
                  {"kind":"team","name":"b","spec":{}}])") ==
        ExitStatus::kRejected);
  CHECK(ErrorsContain("out-of-range at /a: x"));
  CHECK(ErrorsContain("dangling-reference at /b: y"));
  CHECK(ErrorsContain("after 0 of 2"));
  CHECK_EQUAL(1U, node.Calls().size());
}

TEST(ResourceCommands, Apply_InvalidFile_AllErrorsReportedWithoutCall) {
  CHECK(Apply(R"([{"kind":"teem","name":"A","spec":7,"x":1}, 3])") ==
        ExitStatus::kUsage);
  CHECK(ErrorsContain("out-of-range at /0/kind"));
  CHECK(ErrorsContain("out-of-range at /0/name"));
  CHECK(ErrorsContain("wrong-type at /0/spec"));
  CHECK(ErrorsContain("unknown-field at /0/x"));
  CHECK(ErrorsContain("wrong-type at /1"));
  CHECK(node.Calls().empty());
}

// Failure: the node accepts a change, and the connection breaks before the
// answer, so that the operator does not learn the outcome. The command must
// retry with the same change id and report the outcome.
TEST(ResourceCommands, Apply_AnswerLost_SameChangeRetried) {
  node.DropNextResponse(std::nullopt);
  CHECK(Apply(kTeam) == ExitStatus::kOk);
  CHECK(OutputContains("created teams/payments version 17"));
  CHECK_EQUAL(3U, node.Calls().size());
}

// Failure: the node gets no answer to its append to the log and reports the
// change as unresolved, although it knows the outcome soon after. The command
// must retry the same change.
TEST(ResourceCommands, Delete_UnresolvedAnswer_SameChangeRetried) {
  Apply(kTeam);
  node.DropNextResponse(kUnresolvedReply);
  CHECK(Run(RunDelete, {"team", "payments"}) == ExitStatus::kOk);
}

// Failure: the first node may have accepted a change, and the second refuses
// the connection. The command must report the change as unresolved, not as
// without effect.
TEST(ResourceCommands, Delete_UnresolvedThenNoNodeReachable_Unresolved) {
  node.RefuseAll(kUnresolvedReply);
  nodes.emplace_back("127.0.0.1:1");
  CHECK(Run(RunDelete, {"team", "payments", "--if-version=17"}) ==
        ExitStatus::kUnavailable);
  CHECK(ErrorsContain("unresolved"));
}

TEST(ResourceCommands, Apply_FirstNodeUnavailable_SecondAccepts) {
  FakeNode second;
  node.RefuseAll({503,
                  R"({"failures":[{"kind":"platform-unavailable",
                                   "path":"","detail":""}]})",
                  {}});
  nodes.push_back(second.endpoint());
  CHECK(Apply(kTeam) == ExitStatus::kOk);
  CHECK(second.Calls().at(1) == "PUT /api/v1/teams/payments");
}

TEST(ResourceCommands, Apply_Wait_EndsOnceInForce) {
  node.SetReadsUntilInForce(3);
  CHECK(Apply(kTeam, {"--wait"}) == ExitStatus::kOk);
  // One GET for the current version, one PUT, and three GETs until it is in
  // force.
  CHECK_EQUAL(5U, node.Calls().size());
}

TEST(ResourceCommands, Apply_WaitTimeout_Unavailable) {
  node.SetReadsUntilInForce(1000000);
  CHECK(Apply(kTeam, {"--wait", "--timeout=1"}) == ExitStatus::kUnavailable);
  CHECK(ErrorsContain("not yet on all"));
}

TEST(ResourceCommands, Get_TableAndJson_ShowResource) {
  Apply(kTeam);
  CHECK(Run(RunGet, {"team", "payments"}) == ExitStatus::kOk);
  CHECK(OutputContains("in force on:  lyulin-1"));
  CHECK(OutputContains("    \"weight\": 4"));
  CHECK(Run(RunGet, {"team", "payments", "-o", "json"}) == ExitStatus::kOk);
  CHECK(OutputContains(
      R"({"kind":"teams","name":"payments","version":17,"body")"));
}

TEST(ResourceCommands, Delete_ResourceInUse_Rejected) {
  Apply(kTeam);
  node.RefuseAll({409,
                  R"({"failures":[{"kind":"in-use","path":"",)"
                  R"("detail":"service 'bank' needs it"}]})",
                  {}});
  CHECK(Run(RunDelete, {"team", "payments", "--if-version=17"}) ==
        ExitStatus::kRejected);
  CHECK(ErrorsContain("in-use: service 'bank' needs it"));
}

TEST(ResourceCommands, Drain_ThenUndrain_ReplacesDataCentre) {
  CHECK(Run(RunDrain, {"lyulin"}) == ExitStatus::kOk);
  CHECK(OutputContains("created data-centres/lyulin"));
  CHECK(Run(RunDrain, {"lyulin"}) == ExitStatus::kOk);
  CHECK(OutputContains("unchanged data-centres/lyulin"));
  CHECK(Run(RunUndrain, {"lyulin"}) == ExitStatus::kOk);
  CHECK(OutputContains("replaced data-centres/lyulin"));
}

TEST(ResourceCommands, Get_Missing_Rejected) {
  CHECK(Run(RunGet, {"team", "nobody"}) == ExitStatus::kRejected);
  CHECK(ErrorsContain("not-found at teams/nobody"));
}

TEST(ResourceCommands, Get_MalformedAnswer_Failed) {
  Apply(kTeam);
  node.RefuseAll({204, "", {}});
  CHECK(Run(RunGet, {"team", "payments"}) == ExitStatus::kFailed);
}

TEST(ResourceCommands, List_All_ShowsAllKinds) {
  Apply(R"([{"kind":"team","name":"a","spec":{}},
            {"kind":"service","name":"bank","spec":{"team":"a"}}])");
  CHECK(Run(RunList, {"all"}) == ExitStatus::kOk);
  CHECK(OutputContains(
      "KIND      NAME  VERSION  IN FORCE  ON VMS  ACCEPTED AT\n"));
  CHECK(OutputContains("teams     a     17       yes       1"));
  CHECK(OutputContains("services  bank  18       yes       1"));
}

TEST(ResourceCommands, Delete_Existing_Removed) {
  Apply(kTeam);
  CHECK(Run(RunDelete, {"team", "payments"}) == ExitStatus::kOk);
  CHECK(Run(RunGet, {"team", "payments"}) == ExitStatus::kRejected);
}

TEST(ResourceCommands, Status_Table_ShowsFieldsAndTables) {
  CHECK(Run(RunStatus, {}) == ExitStatus::kOk);
  CHECK(OutputContains("log.offset: 20"));
  CHECK(OutputContains("bozhurishte-2  leaving"));
}

TEST(ResourceCommands, AnyCommand_NoNodeAnswers_Unavailable) {
  nodes = {"127.0.0.1:1"};
  CHECK(Run(RunStatus, {}) == ExitStatus::kUnavailable);
  CHECK(Apply(kTeam) == ExitStatus::kUnavailable);
  CHECK(Run(RunWatch, {"--timeout=1"}) == ExitStatus::kUnavailable);
}

TEST(ResourceCommands, AnyCommand_WrongArguments_Usage) {
  CHECK(Run(RunGet, {"team"}) == ExitStatus::kUsage);
  CHECK(Run(RunGet, {"teem", "a"}) == ExitStatus::kUsage);
  CHECK(Run(RunGet, {"team", "../../faults"}) == ExitStatus::kUsage);
  CHECK(Run(RunList, {"all", "-o", "xml"}) == ExitStatus::kUsage);
  nodes = {"localhost:80"};
  CHECK(Run(RunStatus, {}) == ExitStatus::kUsage);
}

// Failure: the stream of a watch ends after two changes, and the watch stops,
// skips changes or repeats them. It must resume at the next offset.
TEST(ResourceCommands, Watch_StreamEnds_ResumesFromNext) {
  node.SetWatchLines(
      R"({"event":"put","next":18,"resource":{"kind":"teams","name":"a",)"
      R"("version":17}})"
      "\n"
      R"({"event":"idle","next":18})"
      "\n"
      R"({"event":"delete","next":19,"kind":"teams","name":"a","version":18})"
      "\n");
  CHECK(Run(RunWatch, {"--count=3", "--from=17"}) == ExitStatus::kOk);
  CHECK(node.Calls().at(0) == "GET /api/v1/watch?from=17");
  CHECK(node.Calls().at(1) == "GET /api/v1/watch?from=19");
  CHECK(OutputContains("18  put  teams/a  version 17\n19  delete  teams/a"));
}

TEST(ResourceCommands, Watch_NoOffset_StartsAtCurrentOffset) {
  node.SetWatchLines("{\"event\":\"restart\",\"next\":40}\n");
  CHECK(Run(RunWatch, {"--count=1", "-o", "json"}) == ExitStatus::kOk);
  CHECK(node.Calls().at(1) == "GET /api/v1/watch?from=17");
  CHECK(OutputContains(R"({"event":"restart","next":40})"));
}

TEST(ResourceCommands, Watch_MalformedLine_Failed) {
  node.SetWatchLines("[1]\n");
  CHECK(Run(RunWatch, {"--from=0"}) == ExitStatus::kFailed);
}

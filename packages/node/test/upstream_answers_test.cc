// Tests of the answers of upstreams on kept connections, on which an upstream
// may send an answer a second time.

#include <array>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <pcg_random.hpp>

#include "dispatch_harness.h"

#include <CppUTest/TestHarness.h>

using basilsill::InfoOf;
using basilsill::LoadQueryReport;
using basilsill::Promise;
using basilsill::Refusal;
using basilsill::ServeOutcome;
using basilsill::test::AnswerBodyOf;
using basilsill::test::AnswerCopy;
using basilsill::test::DispatchHarness;
using basilsill::test::LostAnswer;
using basilsill::test::Served;
using basilsill::test::UpstreamReply;
using std::chrono::milliseconds;

namespace {

constexpr int kHistories = 500;
constexpr int kRequests = 12;
constexpr unsigned kTooManyRequests = 429;
constexpr std::array<unsigned, 4> kPromisingStatuses = {408, 421,
                                                        kTooManyRequests, 503};
// More than the requests that arrive while one waits.
constexpr int kManyOthers = 40;
constexpr milliseconds kShortDeadline{200};

class UpstreamAnswersGroup : public DispatchHarness {
 public:
  /// Lets the upstream answer one request with bytes without end, and another
  /// one as usual.
  /// @returns the outcome of the first.
  ServeOutcome AnswerWithoutEnd(const std::string& begin,
                                const std::string& repeated) {
    UpstreamReply reply;
    reply.begin = begin;
    reply.repeated = repeated;
    this->choose = [&reply](bool) { return reply; };
    this->Start("r-1", kShortDeadline);
    this->Finish();
    const ServeOutcome outcome = *this->requests.front()->outcome;
    this->CheckReleased();
    this->requests.clear();
    reply = {};
    this->ServeOne();
    this->requests.clear();
    return outcome;
  }
};

}  // namespace

TEST_GROUP_BASE(UpstreamAnswers, UpstreamAnswersGroup){};

// Failure: an upstream runs a request and answers with a status that callers
// take for the promise that it has not run. The answer is passed on, and a
// caller sends a request that must not repeat once more.
TEST(UpstreamAnswers, PromisingStatusWithoutHeader_Runs_EndsAsUnknown) {
  for (const unsigned status : kPromisingStatuses) {
    this->choose = [status](bool) {
      UpstreamReply reply;
      reply.status = status;
      return reply;
    };
    this->Start("r-" + std::to_string(status));
    this->Finish();
    const Served& served = *this->requests.back();
    CHECK_EQUAL(1, this->RunsOf(served.request.request_id));
    CHECK_FALSE(served.outcome->answered);
    CHECK(InfoOf(served.outcome->refusal).promise == Promise::kUnknown);
  }
}

// A request that may repeat gets the upstream's own answer.
TEST(UpstreamAnswers, PromisingStatusWithoutHeader_MayRepeat_PassedOn) {
  this->choose = [](bool) {
    UpstreamReply reply;
    reply.status = kTooManyRequests;
    return reply;
  };
  this->Start("r-1", kDeadline, true);
  this->Finish();
  CHECK(this->requests.back()->outcome->answered);
  CHECK_EQUAL(kTooManyRequests, this->requests.back()->sink.status);
}

// Failure: a request is rejected, and other requests use the connection while
// it waits. Its second send on the connection meets the late copy of the
// rejection, and the caller is told that the request has not run.
TEST(UpstreamAnswers, RejectionCopiedAfterManyOthers_SecondSendRuns_IsItsOwn) {
  bool is_first = true;
  this->choose = [&is_first](bool) {
    UpstreamReply reply;
    reply.rejects = std::exchange(is_first, false);
    reply.copy = reply.rejects ? AnswerCopy::kBeforeSame : AnswerCopy::kNone;
    return reply;
  };
  this->Start("r-1", kDeadline, false, 1);
  this->Finish();
  CHECK(this->requests.front()->outcome->refusal == Refusal::kUpstreamShed);
  const size_t opened = this->upstream.connections();
  for (int i = 0; i < kManyOthers; ++i) {
    this->ServeOne();
  }
  CHECK_EQUAL(opened, this->upstream.connections());
  this->requests.clear();
  this->Start("r-1");
  this->Finish();
  this->CheckOutcomes();
  CHECK(this->requests.front()->outcome->answered);
}

// Failure: an upstream runs a request and closes the kept connection, and
// rejects the send that replaces it on a new one. The caller is told that the
// request has not run.
TEST(UpstreamAnswers, ResentOnNewConnection_Rejected_PromisesNothing) {
  this->choose = [](bool) { return UpstreamReply{}; };
  this->ServeOne();
  int sends = 0;
  this->choose = [&sends](bool) {
    UpstreamReply reply;
    reply.lost = sends == 0 ? LostAnswer::kClosed : LostAnswer::kNone;
    reply.rejects = sends++ > 0;
    return reply;
  };
  this->Start("r-1", kDeadline, true, 1);
  this->Finish();
  CHECK_EQUAL(2, sends);
  this->CheckOutcomes();
}

// Failure: an upstream rejects a request and runs its second send, on the same
// connection, behind a late copy of the rejection. The copy is taken for the
// answer: the caller is told that the request has not run.
TEST(UpstreamAnswers, RejectionCopiedLate_SecondSendRuns_AnswerIsItsOwn) {
  bool is_first = true;
  this->choose = [&is_first](bool) {
    UpstreamReply reply;
    reply.rejects = std::exchange(is_first, false);
    reply.copy = reply.rejects ? AnswerCopy::kBeforeNext : AnswerCopy::kNone;
    return reply;
  };
  this->Start("r-1");
  this->Finish();
  this->CheckOutcomes();
  CHECK(this->requests.front()->outcome->answered);
}

// Failure: as above, but the copy arrives with the rejection.
TEST(UpstreamAnswers, RejectionCopiedAtOnce_SecondSendRuns_AnswerIsItsOwn) {
  bool is_first = true;
  this->choose = [&is_first](bool) {
    UpstreamReply reply;
    reply.rejects = std::exchange(is_first, false);
    reply.copy = reply.rejects ? AnswerCopy::kAtOnce : AnswerCopy::kNone;
    return reply;
  };
  this->Start("r-1");
  this->Finish();
  this->CheckOutcomes();
  CHECK(this->requests.front()->outcome->answered);
}

// A rejection does not cost a connection: other requests use it again.
TEST(UpstreamAnswers, Rejection_NextRequest_UsesTheSameConnection) {
  bool rejects = true;
  this->choose = [&rejects](bool) {
    UpstreamReply reply;
    reply.rejects = rejects;
    return reply;
  };
  this->Start("r-1");
  this->Finish();
  const size_t opened = this->upstream.connections();
  rejects = false;
  this->ServeOne();
  CHECK_EQUAL(opened, this->upstream.connections());
}

// Failure: the late copy of an answer is taken for the answer to a health
// check. The next request on the connection gets that answer: a failing health
// check says that the request has not run.
TEST(UpstreamAnswers, AnswerCopiedBeforeHealthCheck_NextRequest_GetsItsOwn) {
  this->choose = [](bool is_health_check) {
    UpstreamReply reply;
    reply.rejects = is_health_check;
    reply.copy = is_health_check ? AnswerCopy::kNone : AnswerCopy::kBeforeNext;
    return reply;
  };
  this->Start("r-1");
  this->Finish();
  const LoadQueryReport report = this->QueryLoad();
  CHECK(report.answered);
  CHECK(report.load.known);
  this->Start("r-2");
  this->Finish();
  this->CheckOutcomes();
  CHECK(this->requests.back()->outcome->answered);
}

// Failure: a second copy of the answer to a health check is given to the next
// request on the connection.
TEST(UpstreamAnswers, HealthAnswerCopied_NextRequest_GetsItsOwn) {
  this->choose = [](bool is_health_check) {
    UpstreamReply reply;
    reply.rejects = is_health_check;
    reply.copy = is_health_check ? AnswerCopy::kBeforeNext : AnswerCopy::kNone;
    return reply;
  };
  this->QueryLoad();
  this->Start("r-1");
  this->Finish();
  this->CheckOutcomes();
  CHECK(this->requests.front()->outcome->answered);
}

// Failure: an upstream sends interim answers without end. They are read until
// the deadline of the request.
TEST(UpstreamAnswers, InterimAnswersWithoutEnd_Request_EndsAsMalformed) {
  const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
  const ServeOutcome outcome = this->AnswerWithoutEnd("", interim);
  CHECK(outcome.refusal == Refusal::kUpstreamMalformed);
}

TEST(UpstreamAnswers, HeadWithoutEnd_Request_EndsAsMalformed) {
  const std::string line = "HTTP/1.1 200 OK\r\n";
  for (const auto& [begin, repeated] :
       std::vector<std::pair<std::string, std::string>>{
           {"", "no HTTP"},
           {line + "X-More: ", "more"},
           {line, "X-More: more\r\n"}}) {
    const ServeOutcome outcome = this->AnswerWithoutEnd(begin, repeated);
    CHECK(outcome.refusal == Refusal::kUpstreamMalformed);
  }
}

// Failure: an answer without a length never ends. Once it is too long to buffer
// it is streamed, and no deadline ends it any more: the upstream's slot and the
// connection stay in use.
TEST(UpstreamAnswers, BodyWithoutEnd_Request_BreaksOffAtDeadline) {
  const std::string head =
      "HTTP/1.1 200 OK\r\n" + this->names.request_id + ": r-1\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  for (const auto& [begin, repeated] :
       std::vector<std::pair<std::string, std::string>>{
           {"\r\n", "more"},
           {chunked, "4\r\nmore\r\n"},
           {chunked, "0"},
           {chunked + "4;", "extension"},
           {chunked + "0\r\n", "X-More: more\r\n"}}) {
    const ServeOutcome outcome = this->AnswerWithoutEnd(head + begin, repeated);
    CHECK(!outcome.answered || outcome.refusal != Refusal::kNone);
  }
}

// A rejection's body is read only to keep its connection.
TEST(UpstreamAnswers, RejectionBodyWithoutEnd_Request_IsRefusedAsNotRun) {
  const std::string head = "HTTP/1.1 503 Service Unavailable\r\n" +
                           this->names.request_id + ": r-1\r\n" +
                           this->names.not_run +
                           ": 1\r\nContent-Length: 1000000000\r\n\r\n";
  const ServeOutcome outcome = this->AnswerWithoutEnd(head, "more");
  CHECK_FALSE(outcome.answered);
  CHECK(InfoOf(outcome.refusal).promise == Promise::kNotRun);
}

TEST(UpstreamAnswers, BytesWithoutEndBehindAnswer_Connection_NotKept) {
  const std::string body = AnswerBodyOf("r-1");
  const std::string answer =
      "HTTP/1.1 200 OK\r\n" + this->names.request_id +
      ": r-1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
      body;
  UpstreamReply reply;
  reply.begin = answer + "more";
  reply.repeated = "more";
  this->choose = [&reply](bool) { return reply; };
  this->Start("r-1");
  this->Finish();
  CHECK(this->requests.front()->outcome->answered);
  STRCMP_EQUAL(body.c_str(), this->requests.front()->sink.body.c_str());
  this->CheckReleased();
}

TEST(UpstreamAnswers, HealthAnswerWithoutEnd_Query_EndsUnanswered) {
  for (const std::string begin : {"HTTP/1.1 200 OK\r\n", ""}) {
    UpstreamReply reply;
    reply.begin = begin;
    reply.repeated = begin.empty() ? "HTTP/1.1 102 Processing\r\n\r\n" : "more";
    this->choose = [&reply](bool) { return reply; };
    CHECK_FALSE(this->QueryLoad().answered);
    this->CheckReleased();
  }
}

// Failure: some order of rejections, answers and copies of them makes one
// request get what belongs to another, or to an earlier send.
TEST(UpstreamAnswers, RandomCopies_EachOutcomeIsWhatTheUpstreamRan) {
  size_t answered = 0;
  for (int seed = 0; seed < kHistories; ++seed) {
    pcg32 random(seed);
    this->choose = [&random](bool) {
      boost::random::bernoulli_distribution<double> third(0.3);
      boost::random::uniform_int_distribution<int> copy(
          0, static_cast<int>(AnswerCopy::kCount) - 1);
      UpstreamReply reply;
      reply.rejects = third(random);
      reply.copy = static_cast<AnswerCopy>(copy(random));
      reply.copy_has_id = !third(random);
      reply.work = milliseconds(third(random) ? 1 : 0);
      const bool is_promise = third(random) && third(random);
      reply.status =
          is_promise
              ? kPromisingStatuses.at(random() % kPromisingStatuses.size())
              : 0;
      return reply;
    };
    this->requests.clear();
    for (int i = 0; i < kRequests; ++i) {
      if (random() % kRequests == 0) {
        this->QueryLoad();
      }
      this->Start("r-" + std::to_string(seed) + "-" + std::to_string(i));
    }
    this->Finish();
    this->CheckOutcomes();
    for (const auto& served : this->requests) {
      answered += served->outcome->answered ? 1 : 0;
    }
  }
  CHECK(answered > kHistories);
}

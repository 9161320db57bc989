// Tests of upstreams that send something else than a whole answer.

#include <string>
#include <vector>

#include "dispatch_harness.h"

#include <CppUTest/TestHarness.h>

using basilsill::Refusal;
using basilsill::test::AfterBytes;
using basilsill::test::DispatchHarness;
using basilsill::test::Served;
using basilsill::test::UpstreamReply;

TEST_GROUP_BASE(BrokenAnswers, DispatchHarness){
    /// Lets the upstream answer everything with `bytes`.
    void AnswerWith(const std::string& bytes,
                    AfterBytes after = AfterBytes::kKeeps){
        this->choose = [bytes, after](bool) {
          UpstreamReply reply;
          reply.begin = bytes;
          reply.after = after;
          return reply;
        };
}

/// @returns a head without its blank line, as an answer to request r-1.
std::string HeadOf(const std::string& status_line) const {
  return status_line + "\r\n" + this->names.request_id + ": r-1\r\n";
}

/// Sends request r-1 and waits for its end.
const Served& ServeRequest() {
  this->requests.clear();
  this->Start("r-1");
  this->Finish();
  return *this->requests.back();
}
}
;

// Failure: an upstream in trouble answers with a status that HTTP does not
// have, and the caller gets it as an answer.
TEST(BrokenAnswers, StatusOutsideHttp_Request_EndsAsMalformed) {
  for (const std::string status :
       {"000", "001", "099", "101", "600", "999", "0", "20", "2000", "-20"}) {
    for (const std::string before : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
      this->AnswerWith(before + this->HeadOf("HTTP/1.1 " + status + " OK") +
                       "Content-Length: 0\r\n\r\n");
      const Served& served = this->ServeRequest();
      CHECK_TEXT(!served.outcome->answered, status.c_str());
      CHECK_TEXT(served.outcome->refusal == Refusal::kUpstreamMalformed,
                 status.c_str());
    }
  }
}

TEST(BrokenAnswers, StatusOfHttp_Request_PassedOn) {
  for (const unsigned status : {200U, 299U, 304U, 404U, 500U, 599U}) {
    this->AnswerWith(
        this->HeadOf("HTTP/1.1 " + std::to_string(status) + " OK") +
        "Content-Length: 0\r\n\r\n");
    const Served& served = this->ServeRequest();
    CHECK(served.outcome->answered);
    CHECK_EQUAL(status, served.sink.status);
  }
}

TEST(BrokenAnswers, StatusOutsideHttp_HealthCheck_EndsUnanswered) {
  this->AnswerWith("HTTP/1.1 000 OK\r\n" + this->names.load +
                   ": 1,0,2\r\nContent-Length: 0\r\n\r\n");
  CHECK_FALSE(this->QueryLoad().answered);
}

// Tests of the check whether a response is complete and belongs to its request.

#include "load_check.h"

#include <string>

#include <CppUTest/TestHarness.h>

using basilsill::Promise;
using basilsill::ctl::DigestText;
using basilsill::ctl::LoadAttemptResult;
using basilsill::ctl::LoadExpectation;
using basilsill::ctl::LoadResponseCheck;
using basilsill::ctl::LoadResponseHead;
using basilsill::ctl::LoadVerdict;
using basilsill::ctl::MakePattern;
using basilsill::ctl::NameOf;
using basilsill::ctl::PatternSeed;

TEST_GROUP(LoadResponseCheck) {
  LoadExpectation expected{"7", std::nullopt, "", true};
  std::string body = MakePattern(PatternSeed("7"), 100);
  std::string digest = DigestText(this->body);
  LoadResponseHead head;

  void setup() override {
    this->head.status = 200;
    this->head.upstream = "upstream-0";
    this->head.tag = "7";
    this->head.digest = this->digest;
  }

  LoadAttemptResult Check() {
    LoadResponseCheck check(this->expected);
    check.AddBody(std::span(this->body).first(this->body.size() / 2));
    check.AddBody(std::span(this->body).subspan(this->body.size() / 2));
    return check.Finish(this->head);
  }

  void CheckVerdict(LoadVerdict verdict) {
    const std::string found(NameOf(this->Check().verdict));
    STRCMP_EQUAL(std::string(NameOf(verdict)).c_str(), found.c_str());
  }
};

TEST(LoadResponseCheck, Finish_CompleteResponse_IsRight) {
  this->CheckVerdict(LoadVerdict::kRight);
}

TEST(LoadResponseCheck, Finish_OneBitFlipped_IsWrongDigest) {
  this->body[50] = static_cast<char>(this->body[50] ^ 1);
  this->CheckVerdict(LoadVerdict::kWrongDigest);
}

TEST(LoadResponseCheck, Finish_TruncatedWithCleanEnd_IsWrongDigest) {
  // Failure: an upstream dies in the middle of a response and a proxy
  // terminates the body correctly, so that the caller takes it for a complete
  // one.
  this->body.resize(60);
  this->CheckVerdict(LoadVerdict::kWrongDigest);
}

TEST(LoadResponseCheck, Finish_ResponseOfOtherRequest_IsWrongTag) {
  this->head.tag = "8";
  this->CheckVerdict(LoadVerdict::kWrongTag);
}

TEST(LoadResponseCheck, Finish_BodyOfOtherRequest_IsWrongBody) {
  // Failure: the bodies of two responses are swapped together with their digest
  // headers, but the tags are not.
  this->body = MakePattern(PatternSeed("8"), 100);
  this->digest = DigestText(this->body);
  this->head.digest = this->digest;
  this->CheckVerdict(LoadVerdict::kWrongBody);
}

TEST(LoadResponseCheck, Finish_ShorterThanRequested_IsWrongBody) {
  this->expected.size = 101;
  this->CheckVerdict(LoadVerdict::kWrongBody);
}

TEST(LoadResponseCheck, Finish_UploadDigestDiffers_IsWrongUpload) {
  this->expected.upload_digest = this->digest;
  this->CheckVerdict(LoadVerdict::kWrongUpload);
  this->head.received_digest = this->digest;
  this->CheckVerdict(LoadVerdict::kRight);
}

// Failure: a node passes on a status that HTTP does not have, and a load run
// counts it as a response.
TEST(LoadResponseCheck, Finish_StatusOutsideHttp_IsMalformed) {
  for (const unsigned status : {0, 101, 600, 999}) {
    this->head.status = status;
    this->CheckVerdict(LoadVerdict::kMalformed);
  }
}

TEST(LoadResponseCheck, Finish_RefusalWithPromise_ReturnsReasonAndDelay) {
  this->head.status = 503;
  this->head.promise = "not-run";
  this->head.reason = "queue-full";
  this->head.retry_after = "1";
  this->body = R"({"retry_after_ms": 40})";
  const LoadAttemptResult precise = this->Check();
  CHECK(precise.verdict == LoadVerdict::kRefused);
  CHECK(precise.promise == Promise::kNotRun);
  CHECK(precise.retry_after == std::chrono::milliseconds(40));
  STRCMP_EQUAL("queue-full", precise.reason.c_str());
  this->body = "busy";
  CHECK(this->Check().retry_after == std::chrono::seconds(1));
}

TEST(LoadResponseCheck, Finish_ErrorWithoutPromise_IsUnexplained) {
  this->head.status = 502;
  this->CheckVerdict(LoadVerdict::kUnexplained);
  this->head.reason = "upstream-died";
  this->head.promise = "perhaps";
  this->CheckVerdict(LoadVerdict::kUnexplained);
  this->head.promise = "unknown";
  this->CheckVerdict(LoadVerdict::kRefused);
}

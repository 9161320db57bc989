// Tests of reading what an upstream says about the requests that it wants.

#include "upstream_notice_header.h"

#include <string>

#include "basilsill/base/limits.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::Duration;
using basilsill::FailureKind;
using basilsill::HeaderNames;
using basilsill::HttpFields;
using basilsill::ParseLeaving;
using basilsill::ParseRest;
using basilsill::ReadNotice;
using basilsill::UpstreamNotice;

TEST_GROUP(UpstreamNoticeHeader) {
  HttpFields answer;
  const std::string name = "Leaving";

  void CheckLeaving(const std::string& value, bool expected) {
    this->answer.set(this->name, value);
    CHECK_EQUAL(expected, ParseLeaving(this->answer, this->name).value());
  }
  void CheckLeavingFault(const std::string& value, FailureKind fault) {
    this->answer.set(this->name, value);
    CHECK(fault == ParseLeaving(this->answer, this->name).error().kind);
  }
  void CheckRest(const std::string& value, Duration expected) {
    this->answer.set("Retry-After", value);
    CHECK(expected == ParseRest(this->answer, 503).value());
  }
  void CheckRestFault(const std::string& value, FailureKind fault) {
    this->answer.set("Retry-After", value);
    CHECK(fault == ParseRest(this->answer, 503).error().kind);
  }
};

TEST(UpstreamNoticeHeader, ParseLeaving_AbsentOrNotUsed_False) {
  CHECK_FALSE(ParseLeaving(this->answer, this->name).value());
  this->answer.set(this->name, "1");
  CHECK_FALSE(ParseLeaving(this->answer, "").value());
}

TEST(UpstreamNoticeHeader, ParseLeaving_YesOrNo_Read) {
  this->CheckLeaving("1", true);
  this->CheckLeaving("true", true);
  this->CheckLeaving("0", false);
  this->CheckLeaving("false", false);
}

TEST(UpstreamNoticeHeader, ParseLeaving_OtherValues_Syntax) {
  this->CheckLeavingFault("", FailureKind::kSyntax);
  this->CheckLeavingFault("soon", FailureKind::kSyntax);
  this->CheckLeavingFault(std::string(4096, '1'), FailureKind::kSyntax);
}

TEST(UpstreamNoticeHeader, ParseLeaving_HeaderRepeated_Duplicate) {
  this->answer.insert(this->name, "1");
  this->answer.insert(this->name, "0");
  CHECK(FailureKind::kDuplicate ==
        ParseLeaving(this->answer, this->name).error().kind);
}

TEST(UpstreamNoticeHeader, ParseRest_Seconds_Read) {
  CHECK(Duration(0) == ParseRest(this->answer, 503).value());
  this->CheckRest("0", 0s);
  this->CheckRest("3", 3s);
  this->CheckRest("0.25", 250ms);
}

// An upstream that asks for a day of rest must not be lost for that long.
TEST(UpstreamNoticeHeader, ParseRest_ADay_Reduced) {
  this->CheckRest("86400", basilsill::limits::kMaxUpstreamRest);
  this->CheckRest("1000000000", basilsill::limits::kMaxUpstreamRest);
}

TEST(UpstreamNoticeHeader, ParseRest_OtherStatus_NotSaid) {
  this->answer.set("Retry-After", "3");
  CHECK(Duration(0) == ParseRest(this->answer, 200).value());
  CHECK(Duration(0) == ParseRest(this->answer, 429).value());
}

TEST(UpstreamNoticeHeader, ParseRest_Malformed_TypedFailure) {
  this->CheckRestFault("Fri, 01 Jan 2027 00:00:00 GMT", FailureKind::kSyntax);
  this->CheckRestFault("", FailureKind::kSyntax);
  this->CheckRestFault("1e9", FailureKind::kSyntax);
  this->CheckRestFault("-1", FailureKind::kOutOfRange);
  this->CheckRestFault("nan", FailureKind::kOutOfRange);
  this->answer.insert("Retry-After", "2");
  CHECK(FailureKind::kDuplicate == ParseRest(this->answer, 503).error().kind);
}

// A malformed header must not hide the other one.
TEST(UpstreamNoticeHeader, Read_OneMalformed_OtherRead) {
  HeaderNames names;
  names.leaving = this->name;
  this->answer.set(this->name, "1");
  this->answer.set("Retry-After", "soon");
  const UpstreamNotice notice =
      ReadNotice(this->answer, 503, names, {"10.0.0.1", 80});
  CHECK(notice.leaving);
  CHECK(notice.rest == Duration(0));
}

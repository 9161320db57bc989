// Tests of reading the rate limit that an upstream advertises in its answers.

#include "rate_limit_header.h"

#include <string>

#include <CppUTest/TestHarness.h>

using basilsill::FailureKind;
using basilsill::HttpFields;
using basilsill::ParseRateLimit;
using basilsill::RateLimitPresence;
using basilsill::ReadRateLimit;

TEST_GROUP(RateLimitHeader) {
  HttpFields answer;
  const std::string name = "Rate-Limit";

  void Set(const std::string& value) {
    this->answer.set(this->name, value);
  }
  auto Parse() {
    return ParseRateLimit(this->answer, this->name);
  }

  void CheckNamed(const std::string& value, double expected) {
    this->Set(value);
    CHECK(RateLimitPresence::kNamed == this->Parse().value().presence);
    DOUBLES_EQUAL(expected, this->Parse().value().requests_per_second, 1e-9);
  }
  void CheckFault(const std::string& value, FailureKind fault) {
    this->Set(value);
    CHECK(this->Parse().has_error());
    CHECK(fault == this->Parse().error().kind);
  }
};

TEST(RateLimitHeader, Parse_HeaderAbsent_None) {
  CHECK(RateLimitPresence::kNone == this->Parse().value().presence);
}

TEST(RateLimitHeader, Parse_NoHeaderConfigured_None) {
  this->Set("3");
  CHECK(RateLimitPresence::kNone ==
        ParseRateLimit(this->answer, "").value().presence);
}

TEST(RateLimitHeader, Parse_DecimalNumbers_Named) {
  this->CheckNamed("1.7", 1.7);
  this->CheckNamed("0", 0);
  this->CheckNamed("0.1", 0.1);
  this->CheckNamed("1000000", 1e6);
}

TEST(RateLimitHeader, Parse_NotANumber_Syntax) {
  this->CheckFault("", FailureKind::kSyntax);
  this->CheckFault("many", FailureKind::kSyntax);
  this->CheckFault("1,7", FailureKind::kSyntax);
  this->CheckFault("1.7/s", FailureKind::kSyntax);
  this->CheckFault("1e400", FailureKind::kSyntax);
}

TEST(RateLimitHeader, Parse_NegativeOrNotFinite_OutOfRange) {
  this->CheckFault("-1", FailureKind::kOutOfRange);
  this->CheckFault("inf", FailureKind::kOutOfRange);
  this->CheckFault("nan", FailureKind::kOutOfRange);
}

TEST(RateLimitHeader, Parse_HeaderRepeated_Duplicate) {
  this->Set("1.7");
  this->answer.insert(this->name, "2");
  CHECK(FailureKind::kDuplicate == this->Parse().error().kind);
}

// A malformed header must neither set a limit nor end one.
TEST(RateLimitHeader, Read_Malformed_Unknown) {
  this->Set("many");
  const auto limit = ReadRateLimit(this->answer, this->name, {"10.0.0.1", 80});
  CHECK(RateLimitPresence::kUnknown == limit.presence);
}

// Tests of the JSON form of resources.

#include "basilsill/decision/resource.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace basilsill::test {
namespace {

void CheckRoundTrip(ResourceKind kind, const std::string& text) {
  const auto first = ReadResource({kind, "x"}, text);
  CHECK_TEXT(first.has_value(), text.c_str());
  const std::string written = WriteResource(first.value());
  const auto second = ReadResource({kind, "x"}, written);
  CHECK_TEXT(second.has_value(), written.c_str());
  STRCMP_EQUAL(written.c_str(), WriteResource(second.value()).c_str());
}

bool HasFailure(const std::vector<Failure>& failures,
                FailureKind kind,
                const std::string& path) {
  for (const Failure& failure : failures) {
    if (failure.kind == kind && failure.path == path) {
      return true;
    }
  }
  return false;
}

}  // namespace

TEST_GROUP(Resource){};

TEST(Resource, Write_EachKind_ReadsBackEqual) {
  CheckRoundTrip(ResourceKind::kTeam,
                 R"({"name":"x","limits":{"requests_per_second":2.5}})");
  CheckRoundTrip(ResourceKind::kService,
                 R"({"name":"x","team":"t","cold_time_ms":3000,
          "cold_requests_per_second":16})");
  CheckRoundTrip(
      ResourceKind::kUpstreamSet,
      R"({"name":"x","service":"s","data_centre":"lyulin","instances":[
          {"address":"10.0.0.1","port":80},
          {"address":"::1","port":81,"slots":4,"leaving":true}]})");
  CheckRoundTrip(ResourceKind::kRule,
                 R"({"name":"x","service":"s","class":"bulk","hedge":true,
          "idempotent":true,"deadline_ms":250,"match":{"host":"a.example",
          "path_prefix":"/a","methods":["PUT","GET"],
          "headers":[{"name":"x-a","value":"B"}]}})");
  CheckRoundTrip(ResourceKind::kLimits, R"({"name":"x","retry_ratio":0.25})");
  CheckRoundTrip(ResourceKind::kDataCentre, R"({"name":"x","drained":true})");
}

TEST(Resource, Read_ManyFaults_ReportsAllWithPathAndKind) {
  const auto read = ReadResource({ResourceKind::kUpstreamSet, "x"},
                                 R"({"name":"y","service":"S","instances":[
          {"address":"db.example","port":0,"slots":"2"},
          {"address":"10.0.0.1","port":80},
          {"address":"10.0.0.1","port":80}],"a/b":1})");
  CHECK(read.has_error());
  const auto& failures = read.error();
  CHECK_EQUAL(8, failures.size());
  CHECK(HasFailure(failures, FailureKind::kOutOfRange, "/name"));
  CHECK(HasFailure(failures, FailureKind::kOutOfRange, "/service"));
  CHECK(HasFailure(failures, FailureKind::kMissingField, "/data_centre"));
  CHECK(HasFailure(failures, FailureKind::kOutOfRange, "/instances/0/address"));
  CHECK(HasFailure(failures, FailureKind::kOutOfRange, "/instances/0/port"));
  CHECK(HasFailure(failures, FailureKind::kWrongType, "/instances/0/slots"));
  CHECK(HasFailure(failures, FailureKind::kDuplicate, "/instances/2"));
  CHECK(HasFailure(failures, FailureKind::kUnknownField, "/a~1b"));
}

TEST(Resource, Read_OnceWithHedgeAndIdempotent_RejectsBoth) {
  const auto read =
      ReadResource({ResourceKind::kRule, "x"},
                   R"({"name":"x","service":"s","once":true,"hedge":true,
                       "idempotent":true,"class":"slow"})");
  CHECK(read.has_error());
  CHECK(HasFailure(read.error(), FailureKind::kOutOfRange, "/hedge"));
  CHECK(HasFailure(read.error(), FailureKind::kOutOfRange, "/idempotent"));
  CHECK(HasFailure(read.error(), FailureKind::kOutOfRange, "/class"));
}

TEST(Resource, Read_InvalidJson_IsSyntaxFailure) {
  const auto read = ReadResource({ResourceKind::kTeam, "x"}, R"({"name":)");
  CHECK(read.has_error());
  CHECK(HasFailure(read.error(), FailureKind::kSyntax, ""));
}

TEST(Resource, Read_SameAddressSpelledDifferently_IsDuplicate) {
  const auto read =
      ReadResource({ResourceKind::kUpstreamSet, "x"},
                   R"({"name":"x","service":"s","data_centre":"d","instances":[
          {"address":"::1","port":80},{"address":"0:0::1","port":80}]})");
  CHECK(read.has_error());
  CHECK(HasFailure(read.error(), FailureKind::kDuplicate, "/instances/1"));
}

}  // namespace basilsill::test

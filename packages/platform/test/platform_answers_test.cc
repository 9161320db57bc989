// Tests that malformed answers of the platform are rejected as a whole.

#include "platform_answers.h"

#include <CppUTest/TestHarness.h>

using basilsill::FailureKind;
using basilsill::ParseAppendAnswer;
using basilsill::ParseBounds;
using basilsill::ParseReadAnswer;
using basilsill::ParseVmList;

namespace {

constexpr size_t kMax = 2;
constexpr uint64_t kFrom = 5;

constexpr char kInvalidUtf8[] =
    "{\"first\":0,\"next\":6,\"end\":9,"
    "\"records\":[{\"offset\":5,\"body\":\"\xff\"}]}";

constexpr const char* kMalformedReads[] = {
    "",
    "{",
    "[]",
    "null",
    R"({"first":0,"next":5,"end":5})",
    R"({"first":0,"next":5,"end":5,"records":{}})",
    R"({"first":-1,"next":5,"end":5,"records":[]})",
    R"({"first":0.5,"next":5,"end":5,"records":[]})",
    R"({"first":"0","next":5,"end":5,"records":[]})",
    R"({"first":6,"next":5,"end":5,"records":[]})",
    R"({"first":0,"next":6,"end":5,"records":[]})",
    R"({"first":0,"next":4,"end":5,"records":[]})",
    R"({"first":0,"next":6,"end":9,"records":[]})",
    R"({"first":0,"next":5,"end":9,"records":[{"offset":5,"body":"x"}]})",
    R"({"first":0,"next":6,"end":9,"records":[{"offset":6,"body":"x"}]})",
    R"({"first":0,"next":6,"end":9,"records":[{"offset":5,"body":7}]})",
    R"({"first":0,"next":6,"end":9,"records":[{"offset":5}]})",
    R"({"first":0,"next":6,"end":9,"records":["x"]})",
    R"({"first":0,"next":8,"end":9,"records":[{"offset":5,"body":"x"},
        {"offset":6,"body":"x"},{"offset":7,"body":"x"}]})",
    R"({"first":0,"next":5,"end":5,"records":[]} trailing)",
    R"({"first":6,"next":6,"end":9,"records":[{"offset":5,"body":"x"}]})",
    R"({"first":18446744073709551616,"next":5,"end":5,"records":[]})",
    kInvalidUtf8,
    R"([[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]])",
};

constexpr const char* kMalformedLists[] = {
    R"({"vms":[]})",
    R"({"version":1})",
    R"({"version":1,"vms":[7]})",
    R"({"version":1,"vms":[{"name":"a","data_centre":"d","state":"live"}]})",
    R"({"version":1,"vms":[{"name":"a","data_centre":"d","state":"dead",
        "control":{"address":"127.0.0.1","port":1}}]})",
    R"({"version":1,"vms":[{"name":"a","data_centre":"d","state":"live",
        "control":{"address":"localhost","port":1}}]})",
    R"({"version":1,"vms":[{"name":"a","data_centre":"d","state":"live",
        "control":{"address":"127.0.0.1","port":65536}}]})",
    R"({"version":1,"vms":[
        {"name":"a","data_centre":"d","state":"live",
         "control":{"address":"127.0.0.1","port":1}},
        {"name":"a","data_centre":"d","state":"live",
         "control":{"address":"127.0.0.1","port":2}}]})",
};

}  // namespace

TEST_GROUP(PlatformAnswers){};

TEST(PlatformAnswers, ParseReadAnswer_Malformed_Syntax) {
  for (const char* body : kMalformedReads) {
    const auto answer = ParseReadAnswer(body, kFrom, kMax);
    CHECK_TEXT(!answer, body);
    CHECK_TEXT(answer.error().kind == FailureKind::kSyntax, body);
  }
}

TEST(PlatformAnswers, ParseReadAnswer_FieldsOfNewerPlatform_Ignored) {
  const auto answer = ParseReadAnswer(
      R"({"first":0,"next":6,"end":6,"now":1,
          "records":[{"offset":5,"body":"x","at":3}]})",
      kFrom, kMax);
  CHECK(answer.value().records.at(0).body == "x");
}

TEST(PlatformAnswers, ParseAppendAnswer_OtherCount_Syntax) {
  CHECK(ParseAppendAnswer(R"({"first":3,"next":5})", 2).has_value());
  for (const char* body : {R"({"first":3,"next":4})", R"({"first":3})",
                           R"({"first":5,"next":3})", "{}"}) {
    CHECK_TEXT(!ParseAppendAnswer(body, 2), body);
  }
}

TEST(PlatformAnswers, ParseBounds_FirstAboveEnd_Syntax) {
  CHECK(ParseBounds(R"({"first":3,"end":3})").has_value());
  CHECK_FALSE(ParseBounds(R"({"first":4,"end":3})").has_value());
}

TEST(PlatformAnswers, ParseVmList_Malformed_Syntax) {
  for (const char* body : kMalformedLists) {
    const auto list = ParseVmList(body);
    CHECK_TEXT(!list, body);
    CHECK_TEXT(list.error().kind == FailureKind::kSyntax, body);
  }
}

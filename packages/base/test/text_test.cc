// Tests of text parsing helpers.

#include <cstdint>
#include <limits>
#include <string>

#include "basilsill/base/text.h"

#include <CppUTest/TestHarness.h>

using basilsill::ParseNumber;
using basilsill::ToLowerAscii;
using basilsill::Trimmed;

namespace {

constexpr int kHexBase = 16;
constexpr std::string_view kBlanks = " \t";

}  // namespace

TEST_GROUP(Text){};

TEST(Text, ParseNumber_WholeTextIsNumber_ReturnsIt) {
  CHECK(ParseNumber<uint16_t>("65535") == 65535);
  CHECK(ParseNumber<int64_t>("-7") == -7);
  CHECK(ParseNumber<uint64_t>("ffffffffffffffff", kHexBase) ==
        std::numeric_limits<uint64_t>::max());
}

TEST(Text, ParseNumber_SignBlankTrailingTextOrEmpty_ReturnsNothing) {
  for (const char* text : {"", " 1", "1 ", "+1", "-1", "1x", "0x1"}) {
    CHECK_FALSE(ParseNumber<uint64_t>(text).has_value());
  }
}

TEST(Text, ParseNumber_OutOfRange_ReturnsNothing) {
  CHECK_FALSE(ParseNumber<uint16_t>("65536").has_value());
  CHECK_FALSE(ParseNumber<uint64_t>("18446744073709551616").has_value());
}

TEST(Text, Trimmed_BlanksAtEnds_RemovesOnlyThose) {
  CHECK(Trimmed(" \ta b\t", kBlanks) == "a b");
  CHECK(Trimmed(" \t ", kBlanks).empty());
  CHECK(Trimmed("", kBlanks).empty());
}

TEST(Text, ToLowerAscii_MixedText_ChangesAsciiLettersOnly) {
  CHECK(ToLowerAscii("Shop-7.EXAMPLE[\xc4") == "shop-7.example[\xc4");
}

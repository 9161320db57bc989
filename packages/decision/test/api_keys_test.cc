#include "basilsill/decision/api_keys.h"

#include <string>

#include <CppUTest/TestHarness.h>

using basilsill::ApiKeyDigest;
using basilsill::ApiKeyTable;
using basilsill::DigestApiKey;
using basilsill::IsApiKey;
using basilsill::ParseApiKeyDigest;
using basilsill::TeamHandle;
using basilsill::ToHex;

TEST_GROUP(ApiKeys){};

TEST(ApiKeys, IsApiKey_VisibleAscii_True) {
  CHECK(IsApiKey("rjvz48wuakn2ftimaj3n"));
  CHECK(IsApiKey("~!"));
}

TEST(ApiKeys, IsApiKey_EmptyLongOrOtherBytes_False) {
  CHECK_FALSE(IsApiKey(""));
  CHECK_FALSE(IsApiKey(std::string(4096, 'k')));
  CHECK_FALSE(IsApiKey("a b"));
  CHECK_FALSE(IsApiKey("a\tb"));
  CHECK_FALSE(IsApiKey("k\xc3\xa9y"));
}

TEST(ApiKeys, Find_KeyOfATeam_ReturnsTheTeam) {
  const TeamHandle one{1, 0};
  const TeamHandle two{2, 0};
  const auto table = ApiKeyTable::Create({{DigestApiKey("first"), one},
                                          {DigestApiKey("second"), two},
                                          {DigestApiKey("third"), one}});
  CHECK(table->Find(DigestApiKey("first")) == one);
  CHECK(table->Find(DigestApiKey("second")) == two);
  CHECK(table->Find(DigestApiKey("third")) == one);
}

TEST(ApiKeys, Find_UnknownKey_ReturnsInvalidHandle) {
  const auto table =
      ApiKeyTable::Create({{DigestApiKey("first"), TeamHandle{1, 0}}});
  CHECK_FALSE(IsValid(table->Find(DigestApiKey("First"))));
  CHECK_FALSE(IsValid(table->Find(DigestApiKey(""))));
  CHECK_FALSE(IsValid(ApiKeyTable::Create({})->Find(DigestApiKey("first"))));
}

TEST(ApiKeys, ToHex_ThenParsed_GivesTheSameDigest) {
  const ApiKeyDigest digest = DigestApiKey("a key");
  CHECK(ParseApiKeyDigest(ToHex(digest)) == digest);
}

TEST(ApiKeys, Parse_NotADigest_ReturnsNullopt) {
  const std::string hex = ToHex(DigestApiKey("a key"));
  CHECK_FALSE(ParseApiKeyDigest("").has_value());
  CHECK_FALSE(ParseApiKeyDigest(hex.substr(2)).has_value());
  CHECK_FALSE(ParseApiKeyDigest(hex + "00").has_value());
  CHECK_FALSE(ParseApiKeyDigest("x" + hex.substr(1)).has_value());
}

// Tests of `basilsillctl api-key`, from its command line to its output.

#include "api_key_command.h"

#include <iostream>
#include <sstream>

#include "basilsill/decision/api_keys.h"

#include <CppUTest/TestHarness.h>

using basilsill::DigestApiKey;
using basilsill::ParseApiKeyDigest;
using basilsill::ctl::ExitStatus;
using basilsill::ctl::RunApiKey;

TEST_GROUP(ApiKeyCommand) {
  std::istringstream in;
  std::ostringstream out;
  std::ostringstream err;
  std::streambuf* in_before = std::cin.rdbuf(this->in.rdbuf());
  std::streambuf* out_before = std::cout.rdbuf(this->out.rdbuf());
  std::streambuf* err_before = std::cerr.rdbuf(this->err.rdbuf());

  void teardown() override {
    std::cin.rdbuf(this->in_before);
    std::cout.rdbuf(this->out_before);
    std::cerr.rdbuf(this->err_before);
  }

  // Runs the command.
  // @returns the printed key and digest.
  std::pair<std::string, std::string> MakeKey() {
    this->out.str("");
    CHECK(RunApiKey({"basilsillctl"}) == ExitStatus::kOk);
    std::istringstream printed(this->out.str());
    std::string word;
    std::string key;
    std::string digest;
    printed >> word >> key >> word >> digest;
    return {key, digest};
  }
};

TEST(ApiKeyCommand, Generate_Twice_TwoKeysEachWithItsDigest) {
  const auto [key, digest] = this->MakeKey();
  CHECK(basilsill::IsApiKey(key));
  CHECK(ParseApiKeyDigest(digest) == DigestApiKey(key));
  CHECK(this->MakeKey().first != key);
}

TEST(ApiKeyCommand, Digest_KeyOnStandardInput_PrintedWithoutKey) {
  this->in.str("a-key\n");
  CHECK(RunApiKey({"basilsillctl", "--digest"}) == ExitStatus::kOk);
  CHECK_EQUAL(ToHex(DigestApiKey("a-key")) + "\n", this->out.str());
}

TEST(ApiKeyCommand, Digest_EmptyInput_UsageError) {
  CHECK(RunApiKey({"basilsillctl", "--digest"}) == ExitStatus::kUsage);
  CHECK_EQUAL("", this->out.str());
}

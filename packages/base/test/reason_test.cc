// Tests that the reason tables are complete and consistent.

#include "basilsill/base/reason.h"

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using basilsill::InfoOf;
using basilsill::NameOf;
using basilsill::Promise;
using basilsill::Refusal;
using basilsill::Retry;

TEST_GROUP(Reason){};

TEST(Reason, Refusals_All_HaveUniqueNames) {
  std::set<std::string> names;
  for (int i = 0; i < static_cast<int>(Refusal::kCount); ++i) {
    names.insert(std::string(InfoOf(static_cast<Refusal>(i)).name));
  }
  CHECK_EQUAL(static_cast<size_t>(Refusal::kCount), names.size());
  CHECK_FALSE(names.contains(""));
}

TEST(Reason, Refusals_Retryable_PromiseNotRun) {
  for (int i = 1; i < static_cast<int>(Refusal::kCount); ++i) {
    const auto& info = InfoOf(static_cast<Refusal>(i));
    CHECK(!info.retryable || info.promise == Promise::kNotRun);
  }
}

TEST(Reason, Retries_All_HaveUniqueNames) {
  std::set<std::string> names;
  for (int i = 0; i < static_cast<int>(Retry::kCount); ++i) {
    names.insert(std::string(NameOf(static_cast<Retry>(i))));
  }
  CHECK_EQUAL(static_cast<size_t>(Retry::kCount), names.size());
}

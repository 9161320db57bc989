// Tests that the table of mechanisms, their flags and the settings page agree.

#include "basilsill/decision/mechanism.h"

#include <fstream>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using basilsill::AllMechanisms;
using basilsill::FailureKind;
using basilsill::FeaturesWithout;
using basilsill::Mechanism;
using basilsill::NamesOff;
using basilsill::PolicyFeatures;

namespace {

// Rows of the page look like "| `hedge` | A slow attempt ... |".
std::set<std::string> ReadPage() {
  std::ifstream page(BASILSILL_SETTINGS_PAGE);
  std::set<std::string> names;
  std::string line;
  bool in_table = false;
  while (std::getline(page, line)) {
    in_table = in_table || line.starts_with("## Mechanisms");
    if (in_table && line.starts_with("| `")) {
      const size_t begin = line.find('`') + 1;
      names.insert(line.substr(begin, line.find('`', begin) - begin));
    }
  }
  return names;
}

}  // namespace

TEST_GROUP(Mechanism){};

TEST(Mechanism, Without_EachName_SwitchesOneFlagOff) {
  for (const Mechanism& mechanism : AllMechanisms()) {
    PolicyFeatures features = FeaturesWithout(mechanism.name).value();
    CHECK_FALSE(mechanism.flag(features));
    STRCMP_EQUAL(std::string(mechanism.name).c_str(),
                 NamesOff(features).c_str());
  }
}

TEST(Mechanism, Without_SeveralNames_AllOff) {
  const PolicyFeatures features = FeaturesWithout("hedge,overflow").value();
  CHECK_FALSE(features.dispatcher.hedge);
  CHECK_FALSE(features.entry.overflow);
  CHECK(features.dispatcher.retry);
  STRCMP_EQUAL("", NamesOff(FeaturesWithout("").value()).c_str());
}

TEST(Mechanism, Without_UnknownName_IsAFailure) {
  for (const char* names : {"nothing", "hedge,nothing", ",", "hedge,,ramp"}) {
    CHECK(FeaturesWithout(names).error().kind == FailureKind::kOutOfRange);
  }
}

TEST(Mechanism, Page_EachMechanism_HasARow) {
  std::set<std::string> names;
  for (const Mechanism& mechanism : AllMechanisms()) {
    names.insert(std::string(mechanism.name));
  }
  CHECK(names == ReadPage());
}

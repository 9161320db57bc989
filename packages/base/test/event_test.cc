// Tests that the event table and docs/EVENTS.md agree.

#include "basilsill/base/event.h"

#include <fstream>
#include <map>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

// Rows of the page look like `| 100 | node-starting | info | ... |`.
std::map<int, std::string> ReadPage() {
  std::ifstream page(BASILSILL_EVENTS_PAGE);
  std::map<int, std::string> rows;
  std::string line;
  while (std::getline(page, line)) {
    std::istringstream fields(line);
    std::string bar;
    int number = 0;
    std::string name;
    if (fields >> bar >> number >> bar >> name && bar == "|") {
      rows[number] = name;
    }
  }
  return rows;
}

}  // namespace

TEST_GROUP(Event){};

TEST(Event, Catalogue_EachEvent_IsDocumented) {
  std::map<int, std::string> expected;
  for (const auto& info : basilsill::AllEvents()) {
    expected[static_cast<int>(info.event)] = std::string(info.name);
  }
  const std::map<int, std::string> page = ReadPage();
  for (const auto& [number, name] : expected) {
    const auto row = page.find(number);
    CHECK_TEXT(row != page.end(), name.c_str());
    STRCMP_EQUAL(name.c_str(), row->second.c_str());
  }
  CHECK_EQUAL(expected.size(), page.size());
}

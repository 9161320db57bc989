// Tests of settings. Faulty files are generated from the schema, so a new
// setting is covered as soon as it has a row.

#include "basilsill/node/settings.h"

#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "settings_schema.h"

#include <CppUTest/TestHarness.h>

namespace {

namespace json = boost::json;
using basilsill::CheckedResult;
using basilsill::Failure;
using basilsill::FailureKind;
using basilsill::ParseSettings;
using basilsill::SettingField;
using basilsill::Settings;
using basilsill::SettingsSchema;

constexpr char kMinimal[] = R"({
  // Who we are.
  "tenant": "rodopa",
  "vm": {"name": "lyulin-1", "data_centre": "lyulin", "address": "10.0.0.1"},
  "platform": {"endpoints": [{"address": "10.0.0.9", "port": 7000},]},
})";

constexpr uint32_t kSeed = 20250310;
constexpr int kTexts = 1000;

json::value MinimalJson() {
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  return json::parse(kMinimal, {}, options);
}

/// @param path `/name` or `/section/name`; a missing section is created.
void SetAt(json::value& root, std::string_view path, const json::value& value) {
  const size_t last = path.rfind('/');
  json::object* object = &root.get_object();
  if (last > 0) {
    json::value& section = (*object)[path.substr(1, last - 1)];
    object =
        section.is_object() ? &section.get_object() : &section.emplace_object();
  }
  (*object)[path.substr(last + 1)] = value;
}

std::string TextWith(std::string_view path, const json::value& value) {
  json::value root = MinimalJson();
  SetAt(root, path, value);
  return json::serialize(root);
}

std::vector<Failure> FaultsOf(std::string_view text) {
  const CheckedResult<Settings> parsed = ParseSettings(text);
  return parsed ? std::vector<Failure>() : parsed.error();
}

bool Reports(const std::vector<Failure>& faults,
             FailureKind kind,
             std::string_view path) {
  return std::any_of(faults.begin(), faults.end(), [&](const Failure& fault) {
    return fault.kind == kind && fault.path == path;
  });
}

std::string Describe(const std::vector<Failure>& faults) {
  std::string text;
  for (const Failure& fault : faults) {
    text += ToString(fault) + "\n";
  }
  return text;
}

/// Values that `field` must reject.
std::vector<json::value> BadValues(const SettingField& field,
                                   std::mt19937& random) {
  std::vector<json::value> values = {nullptr, json::object{{"a", 1}}, true};
  Settings settings;
  if (std::holds_alternative<std::string*>(field.member(settings))) {
    values.insert(values.end(), {7, json::array{"a"}});
    const bool is_path = field.format == basilsill::TextFormat::kPath;
    const bool is_list = field.format == basilsill::TextFormat::kMechanisms;
    values.push_back(is_path ? json::string("a\0b", 3) : is_list ? "," : "");
    for (const char* text : {"Upper", "a b", "-a", "host.example", "a/b"}) {
      if (!is_path) {
        values.push_back(json::string(text));
      }
    }
  } else {
    const double beyond = 1 + static_cast<double>(random() % 1000);
    values.push_back("10");
    values.push_back(field.most + beyond);
    values.push_back(static_cast<int64_t>(field.most + 1 + beyond));
    values.push_back(static_cast<int64_t>(field.least - beyond));
    values.push_back(field.least - beyond);
    values.push_back(UINT64_MAX);
    values.push_back(1e300);
  }
  return values;
}

std::string PageText() {
  std::ifstream page(BASILSILL_SETTINGS_PAGE);
  std::stringstream text;
  text << page.rdbuf();
  return text.str();
}

}  // namespace

TEST_GROUP(Settings){};

TEST(Settings, Parse_MinimalFile_KeepsDefaults) {
  const Settings settings = ParseSettings(kMinimal).value();
  STRCMP_EQUAL("rodopa", settings.tenant.c_str());
  STRCMP_EQUAL("lyulin", settings.vm.data_centre.c_str());
  CHECK_EQUAL(1U, settings.platform.endpoints.size());
  CHECK_EQUAL(7000, settings.platform.endpoints[0].port);
  CHECK(settings.limits.caller_idle == Settings().limits.caller_idle);
  CHECK_EQUAL(5U, settings.from_file.count());
}

TEST(Settings, Parse_GivenValues_ReplaceDefaults) {
  const Settings settings =
      ParseSettings(TextWith("/shutdown/limit_ms", 90000)).value();
  CHECK(settings.shutdown.limit == std::chrono::seconds(90));
  CHECK(ParseSettings(TextWith("/log/level", "debug")).value().log.level ==
        basilsill::Severity::kDebug);
  DOUBLES_EQUAL(0.25,
                ParseSettings(TextWith("/retries/budget_ratio", 0.25))
                    .value()
                    .retries.budget_ratio,
                0);
}

TEST(Settings, Parse_BoundsOfEachNumber_AreAllowed) {
  for (const SettingField& field : SettingsSchema()) {
    Settings settings;
    const auto member = field.member(settings);
    if (field.most == 0 ||
        std::holds_alternative<std::vector<basilsill::Endpoint>*>(member)) {
      continue;
    }
    for (const double bound : {field.least, field.most}) {
      const bool is_real = std::holds_alternative<double*>(member);
      const json::value value = is_real
                                    ? json::value(bound)
                                    : json::value(static_cast<int64_t>(bound));
      // The bound of one setting may conflict with the default of another. That
      // conflict is reported at the same path, but not as kWrongType.
      const auto faults = FaultsOf(TextWith(field.path, value));
      CHECK_TEXT(!Reports(faults, FailureKind::kWrongType, field.path),
                 Describe(faults).c_str());
      CHECK_TEXT(faults.empty() ||
                     Describe(faults).find("allowed is at "
                                           "most /") != std::string::npos,
                 Describe(faults).c_str());
    }
  }
}

TEST(Settings, Parse_BadValueOfEachField_IsReportedAtItsPath) {
  std::mt19937 random(kSeed);
  size_t tried = 0;
  for (const SettingField& field : SettingsSchema()) {
    for (const json::value& value : BadValues(field, random)) {
      const std::string text = TextWith(field.path, value);
      const std::vector<Failure> faults = FaultsOf(text);
      CHECK_EQUAL_TEXT(1U, faults.size(), (text + Describe(faults)).c_str());
      const Failure& fault = faults.front();
      STRCMP_EQUAL(std::string(field.path).c_str(), fault.path.c_str());
      CHECK(fault.kind == FailureKind::kWrongType ||
            fault.kind == FailureKind::kOutOfRange);
      CHECK(fault.detail.starts_with("found "));
      CHECK(fault.detail.ends_with(AllowedValues(field)));
      ++tried;
    }
  }
  CHECK(tried > 250);
}

TEST(Settings, Parse_RandomlyDamagedText_GivesSettingsOrTypedFaults) {
  std::mt19937 random(kSeed);
  const std::string whole = PrintSettings(ParseSettings(kMinimal).value());
  int rejected = 0;
  for (int i = 0; i < kTexts; ++i) {
    std::string text = whole;
    for (uint32_t damage = 1 + random() % 3; damage > 0; --damage) {
      const size_t position = random() % text.size();
      if (random() % 2 == 0) {
        text[position] = static_cast<char>(random());
      } else {
        text.erase(position, 1 + random() % 8);
      }
    }
    const CheckedResult<Settings> parsed = ParseSettings(text);
    if (!parsed) {
      ++rejected;
      CHECK_FALSE(parsed.error().empty());
      CHECK(parsed.error().front().kind < FailureKind::kCount);
      CHECK_FALSE(parsed.error().front().detail.empty());
    }
  }
  CHECK(rejected > kTexts / 4);
}

TEST(Settings, Parse_SeveralFaults_AreAllReported) {
  const auto faults = FaultsOf(R"({
    "tenant": "Rodopa",
    "vm": {"name": "lyulin-1", "adress": "10.0.0.1"},
    "platform": {"endpoints": [{"address": "log.example", "port": 0}, 5]},
    "listen": {"callers": 99999},
    "threads": 4,
  })");
  CHECK(Reports(faults, FailureKind::kOutOfRange, "/tenant"));
  CHECK(Reports(faults, FailureKind::kUnknownField, "/vm/adress"));
  CHECK(Reports(faults, FailureKind::kMissingField, "/vm/address"));
  CHECK(Reports(faults, FailureKind::kMissingField, "/vm/data_centre"));
  CHECK(Reports(faults, FailureKind::kOutOfRange,
                "/platform/endpoints/0/address"));
  CHECK(
      Reports(faults, FailureKind::kOutOfRange, "/platform/endpoints/0/port"));
  CHECK(Reports(faults, FailureKind::kWrongType, "/platform/endpoints/1"));
  CHECK(Reports(faults, FailureKind::kOutOfRange, "/listen/callers"));
  CHECK(Reports(faults, FailureKind::kWrongType, "/threads"));
  CHECK_EQUAL_TEXT(9U, faults.size(), Describe(faults).c_str());
}

TEST(Settings, Parse_UnknownKey_ListsAllowedKeys) {
  const auto faults = FaultsOf(TextWith("/log/file_name", "x"));
  CHECK_EQUAL(1U, faults.size());
  STRCMP_CONTAINS("one of level, file, events_per_second",
                  faults.front().detail.c_str());
}

TEST(Settings, Parse_SyntaxFault_ReportsLineAndColumn) {
  const auto faults = FaultsOf("{\n  \"tenant\": rodopa\n}");
  CHECK(Reports(faults, FailureKind::kSyntax, ""));
  STRCMP_CONTAINS("line 2, column 13", faults.front().detail.c_str());
}

// Failure: an operator raises a limit and nothing changes. The file has the key
// twice, the JSON parser keeps the second value, and the operator edited the
// first.
TEST(Settings, Parse_KeyTwice_IsAFault) {
  const auto faults = FaultsOf(R"({
    "tenant": "rodopa",
    "vm": {"name": "a", "name": "b", "data_centre": "c", "address": "::1"},
    "platform": {"endpoints": [
      {"address": "10.0.0.9", "port": 1},
      {"address": "10.0.0.9", "port": 1, "port": 2}]},
    "platform": {"endpoints": [{"address": "10.0.0.9", "port": 1}]},
  })");
  CHECK(Reports(faults, FailureKind::kDuplicate, "/vm/name"));
  CHECK(Reports(faults, FailureKind::kDuplicate, "/platform/endpoints/1/port"));
  CHECK(Reports(faults, FailureKind::kDuplicate, "/platform"));
  CHECK_EQUAL(3U, faults.size());
}

TEST(Settings, Check_PortsThatClash_AreFaults) {
  CHECK(Reports(FaultsOf(TextWith("/listen/admin", 8080)),
                FailureKind::kDuplicate, "/listen/admin"));
  json::value root = MinimalJson();
  SetAt(root, "/listen/links", 8079);
  SetAt(root, "/threads/traffic", 4);
  CHECK_EQUAL(3U, FaultsOf(json::serialize(root)).size());
  SetAt(root, "/listen/links", 65534);
  CHECK(Reports(FaultsOf(json::serialize(root)), FailureKind::kOutOfRange,
                "/listen/links"));
}

TEST(Settings, Check_LimitsInWrongOrder_AreFaults) {
  CHECK(Reports(FaultsOf(TextWith("/limits/request_total_ms", 100)),
                FailureKind::kOutOfRange, "/limits/default_deadline_ms"));
  CHECK(Reports(FaultsOf(TextWith("/shutdown/limit_ms", 100)),
                FailureKind::kOutOfRange, "/shutdown/ready_delay_ms"));
}

TEST(Settings, Load_UnreadableFile_IsAFault) {
  for (const char* path : {"/nonexistent/settings.json", "/"}) {
    const auto loaded = basilsill::LoadSettings(path);
    CHECK_FALSE(loaded.has_value());
    CHECK(loaded.error().front().kind == FailureKind::kUnreadable);
  }
}

TEST(Settings, Print_AnySettings_ParsesBackEqual) {
  const Settings first =
      ParseSettings(TextWith("/log/file", "/tmp/a \"b\".log")).value();
  const std::string printed = PrintSettings(first);
  const Settings second = ParseSettings(printed).value();
  CHECK_EQUAL(SettingsSchema().size(), second.from_file.count());
  STRCMP_EQUAL(first.log.file.c_str(), second.log.file.c_str());
  Settings expected = first;
  expected.from_file = second.from_file;
  STRCMP_EQUAL(PrintSettings(expected).c_str(), PrintSettings(second).c_str());
}

TEST(Settings, Print_EachLine_ShowsSource) {
  const std::string printed = PrintSettings(ParseSettings(kMinimal).value());
  STRCMP_CONTAINS("\"tenant\": \"rodopa\",  // file\n", printed.c_str());
  STRCMP_CONTAINS("\"callers\": 8080,  // default\n", printed.c_str());
}

TEST(Settings, Documentation_EachField_HasRow) {
  const std::string page = PageText();
  for (const SettingField& field : SettingsSchema()) {
    const std::string row = DocumentationRow(field) + "\n";
    CHECK_TEXT(page.find(row) != std::string::npos, row.c_str());
  }
  // Only rows of settings start with a path.
  size_t rows = 0;
  for (size_t at = 0; (at = page.find("\n| `/", at)) != std::string::npos;) {
    ++rows;
    ++at;
  }
  CHECK_EQUAL(SettingsSchema().size(), rows);
}

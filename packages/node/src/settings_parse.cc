#include <algorithm>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/json/stream_parser.hpp>
#include <boost/json/value.hpp>

#include "basilsill/node/settings.h"
#include "json_duplicates.h"
#include "settings_check.h"
#include "settings_schema.h"
#include "settings_value.h"

namespace basilsill {
namespace {

namespace json = boost::json;

constexpr json::parse_options kParseOptions = {.allow_comments = true,
                                               .allow_trailing_commas = true};

/// @returns "line L, column C" of the byte at `offset`, both counted from 1.
std::string PositionOf(std::string_view text, size_t offset) {
  const std::string_view before = text.substr(0, offset);
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const size_t line_start = before.rfind('\n') + 1;  // npos + 1 is 0.
  return "line " + std::to_string(line) + ", column " +
         std::to_string(1 + offset - line_start);
}

Result<json::value> ParseJson(std::string_view text) {
  json::stream_parser parser({}, kParseOptions);
  boost::system::error_code error;
  const size_t consumed = parser.write_some(text.data(), text.size(), error);
  if (!error && consumed < text.size()) {
    error = json::error::extra_data;
  }
  if (!error) {
    parser.finish(error);
  }
  if (error) {
    return Failure{FailureKind::kSyntax, "",
                   error.message() + " at " + PositionOf(text, consumed)};
  }
  return parser.release();
}

/// Reads all settings of a parsed file and collects the faults.
class SettingsReader {
 public:
  CheckedResult<Settings> Read(std::string_view text, const json::value& root) {
    if (!root.is_object()) {
      return std::vector<Failure>{
          {FailureKind::kWrongType, "", FoundAndAllowed(root, "an object")}};
    }
    for (const std::string& path : FindDuplicateKeys(text)) {
      this->failures.push_back(
          {FailureKind::kDuplicate, path, "found twice, allowed is once"});
    }
    this->ReadObject("", root.get_object());
    this->CheckRequired();
    CheckConsistency(this->settings, this->failures);
    if (!this->failures.empty()) {
      return std::move(this->failures);
    }
    return std::move(this->settings);
  }

 private:
  void ReadObject(const std::string& prefix, const json::object& object) {
    for (const auto& entry : object) {
      this->ReadEntry(prefix + "/" + std::string(entry.key()), entry.value());
    }
  }

  void ReadEntry(const std::string& path, const json::value& value) {
    const std::span<const SettingField> schema = SettingsSchema();
    const auto field =
        std::find_if(schema.begin(), schema.end(),
                     [&](const SettingField& f) { return f.path == path; });
    if (field != schema.end()) {
      ReadSetting(*field, value, this->settings, this->failures);
      this->settings.from_file.set(static_cast<size_t>(field - schema.begin()));
    } else if (!this->IsSection(path)) {
      this->failures.push_back(
          {FailureKind::kUnknownField, path,
           FoundAndAllowed(value, this->AllowedSiblingKeys(path))});
    } else if (!value.is_object()) {
      this->failures.push_back(
          {FailureKind::kWrongType, path, FoundAndAllowed(value, "an object")});
    } else {
      this->ReadObject(path, value.get_object());
    }
  }

  static bool IsSection(const std::string& path) {
    const std::span<const SettingField> schema = SettingsSchema();
    return std::any_of(schema.begin(), schema.end(),
                       [prefix = path + "/"](const SettingField& field) {
                         return field.path.starts_with(prefix);
                       });
  }

  /// @returns the keys that the object containing `path` may have.
  static std::string AllowedSiblingKeys(const std::string& path) {
    const std::string prefix = path.substr(0, path.rfind('/') + 1);
    std::string keys;
    std::string_view last;
    for (const SettingField& field : SettingsSchema()) {
      if (!field.path.starts_with(prefix)) {
        continue;
      }
      const std::string_view rest = field.path.substr(prefix.size());
      const std::string_view key = rest.substr(0, rest.find('/'));
      if (key != last) {
        keys += (keys.empty() ? "one of " : ", ") + std::string(key);
        last = key;
      }
    }
    return keys;
  }

  void CheckRequired() {
    const std::span<const SettingField> schema = SettingsSchema();
    for (size_t i = 0; i < schema.size(); ++i) {
      if (schema[i].required && !this->settings.from_file.test(i)) {
        this->failures.push_back(
            {FailureKind::kMissingField, std::string(schema[i].path),
             "found nothing, allowed is " + AllowedValues(schema[i])});
      }
    }
  }

  Settings settings;
  std::vector<Failure> failures;
};

}  // namespace

CheckedResult<Settings> ParseSettings(std::string_view text) {
  Result<json::value> root = ParseJson(text);
  if (!root) {
    return std::vector<Failure>{root.error()};
  }
  return SettingsReader().Read(text, root.value());
}

}  // namespace basilsill

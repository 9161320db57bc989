#ifndef BASILSILL_NODE_SETTINGS_SCHEMA_H_
#define BASILSILL_NODE_SETTINGS_SCHEMA_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "basilsill/base/event.h"
#include "basilsill/node/settings.h"

/// The table of all settings. Parsing, checking, printing and the page
/// docs/SETTINGS.md are made from it.

namespace basilsill {

/// Where one setting lives. The C++ type decides how it is read and printed.
using SettingRef = std::variant<std::string*,
                                uint16_t*,
                                uint32_t*,
                                uint64_t*,
                                double*,
                                std::chrono::milliseconds*,
                                Severity*,
                                std::vector<Endpoint>*>;

/// What a text setting may hold.
enum class TextFormat : uint8_t {
  kName,     ///< 1 to kMaxNameLength of a-z, 0-9 and inner hyphens.
  kAddress,  ///< An IP number, never a host name.
  kPath,     ///< Of a file; may be empty.
  /// Names of mechanisms, separated by commas; may be empty.
  kMechanisms,
  kCount
};

/// One row of the schema.
struct SettingField {
  std::string_view path;  ///< JSON pointer: `/name` or `/section/name`.
  SettingRef (*member)(Settings& settings);
  bool required = false;  ///< Without a default.
  /// Range of a number, or of a duration in milliseconds, both ends allowed.
  double least = 0;
  double most = 0;
  TextFormat format = TextFormat::kCount;
  std::string_view doc;
};

/// @returns the name of `severity` in settings.
std::string_view SeverityName(Severity severity);

/// @returns all rows; those of one section stand together.
std::span<const SettingField> SettingsSchema();

/// @returns what `field` may hold, for failures and for the page.
std::string AllowedValues(const SettingField& field);

/// @returns the value as JSON text.
std::string PrintValue(const SettingRef& value);

/// @returns the row of `field` in docs/SETTINGS.md.
std::string DocumentationRow(const SettingField& field);

}  // namespace basilsill

#endif  // BASILSILL_NODE_SETTINGS_SCHEMA_H_

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

/// The table of all settings. Parsing, checking, printing and docs/SETTINGS.md
/// are generated from it.

namespace basilsill {

/// Reference to the member of one setting. The type of the member determines
/// how it is read and printed.
using SettingRef = std::variant<std::string*,
                                uint16_t*,
                                uint32_t*,
                                uint64_t*,
                                double*,
                                std::chrono::milliseconds*,
                                Severity*,
                                std::vector<Endpoint>*>;

/// Format of a text setting.
enum class TextFormat : uint8_t {
  kName,     ///< 1 to kMaxNameLength of a-z, 0-9 and inner hyphens.
  kAddress,  ///< An IP address, not a host name.
  kPath,     ///< Path of a file; may be empty.
  /// Names of mechanisms, separated by commas; may be empty.
  kMechanisms,
  kCount
};

/// One row of the schema.
struct SettingField {
  std::string_view path;  ///< JSON pointer: `/name` or `/section/name`.
  SettingRef (*member)(Settings& settings);
  bool required = false;  ///< Has no default.
  /// Inclusive range of a number, of a duration in milliseconds, or of the
  /// number of endpoints.
  double least = 0;
  double most = 0;
  TextFormat format = TextFormat::kCount;
  std::string_view doc;
};

/// @returns the name of `severity` in settings.
std::string_view SeverityName(Severity severity);

/// @returns all rows; those of one section are adjacent.
std::span<const SettingField> SettingsSchema();

/// @returns a description of the allowed values of `field`, for failures and
/// for docs/SETTINGS.md.
std::string AllowedValues(const SettingField& field);

/// @returns the value as JSON text.
std::string PrintValue(const SettingRef& value);

/// @returns the row of `field` in docs/SETTINGS.md.
std::string DocumentationRow(const SettingField& field);

}  // namespace basilsill

#endif  // BASILSILL_NODE_SETTINGS_SCHEMA_H_

#include "basilsill/node/settings.h"

#include <array>
#include <fstream>
#include <span>
#include <string>
#include <string_view>

#include "settings_schema.h"

namespace basilsill {
namespace {

constexpr size_t kReadBytes = 4096;

/// @returns the section that contains `path`; empty at the top level.
std::string_view SectionOf(std::string_view path) {
  const size_t end = path.rfind('/');
  return end == 0 ? std::string_view() : path.substr(1, end - 1);
}

std::string_view KeyOf(std::string_view path) {
  return path.substr(path.rfind('/') + 1);
}

/// Prints the settings section by section, each line with its source.
class SettingsPrinter {
 public:
  void Print(const SettingField& field,
             const SettingRef& value,
             bool from_file) {
    this->EnterSection(SectionOf(field.path));
    this->Line("\"" + std::string(KeyOf(field.path)) + "\": " +
               PrintValue(value) + ",  // " + (from_file ? "file" : "default"));
  }

  std::string Finish() {
    this->EnterSection({});
    return "{\n" + this->text + "}\n";
  }

 private:
  void EnterSection(std::string_view name) {
    if (name == this->section) {
      return;
    }
    if (!this->section.empty()) {
      this->section = {};
      this->Line("},");
    }
    if (!name.empty()) {
      this->Line("\"" + std::string(name) + "\": {");
      this->section = name;
    }
  }

  void Line(const std::string& line) {
    this->text += (this->section.empty() ? "  " : "    ") + line + "\n";
  }

  std::string text;
  std::string_view section;
};

}  // namespace

CheckedResult<Settings> LoadSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text;
  std::array<char, kReadBytes> piece{};
  while (file.read(piece.data(), piece.size()) || file.gcount() > 0) {
    text.append(piece.data(), static_cast<size_t>(file.gcount()));
  }
  if (!file.eof()) {
    return std::vector<Failure>{
        {FailureKind::kUnreadable, path, "the settings file can't be read"}};
  }
  return ParseSettings(text);
}

std::string PrintSettings(const Settings& settings) {
  Settings copy = settings;
  SettingsPrinter printer;
  const std::span<const SettingField> schema = SettingsSchema();
  for (size_t i = 0; i < schema.size(); ++i) {
    printer.Print(schema[i], schema[i].member(copy),
                  settings.from_file.test(i));
  }
  return printer.Finish();
}

}  // namespace basilsill

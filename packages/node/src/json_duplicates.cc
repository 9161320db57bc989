#include "json_duplicates.h"

#include <set>
#include <utility>

#include <boost/json/basic_parser_impl.hpp>

namespace basilsill {
namespace {

namespace json = boost::json;
using json::error_code;
using json::string_view;

constexpr json::parse_options kOptions = {.allow_comments = true,
                                          .allow_trailing_commas = true};

/// Handler for Boost.JSON's event parser. Tracks the path and the keys of each
/// object and array that is open.
class DuplicateFinder {
 public:
  // Limits required by the parser. None apply here, since the text has already
  // passed the limits of the DOM parser.
  static constexpr size_t max_object_size = -1;  // NOLINT: the library's name.
  static constexpr size_t max_array_size = -1;   // NOLINT: the library's name.
  static constexpr size_t max_key_size = -1;     // NOLINT: the library's name.
  static constexpr size_t max_string_size = -1;  // NOLINT: the library's name.

  // NOLINTBEGIN(readability-identifier-naming): the library's names.
  bool on_document_begin(error_code&) { return true; }
  bool on_document_end(error_code&) { return true; }
  bool on_object_begin(error_code&) { return this->Open(); }
  bool on_object_end(size_t, error_code&) { return this->Close(); }
  bool on_array_begin(error_code&) { return this->Open(); }
  bool on_array_end(size_t, error_code&) { return this->Close(); }
  bool on_key_part(string_view part, size_t, error_code&) {
    this->key += part;
    return true;
  }
  bool on_key(string_view part, size_t, error_code&) {
    this->key += part;
    this->AddKey(std::exchange(this->key, {}));
    return true;
  }
  bool on_string_part(string_view, size_t, error_code&) { return true; }
  bool on_string(string_view, size_t, error_code&) { return this->EndItem(); }
  bool on_number_part(string_view, error_code&) { return true; }
  bool on_int64(int64_t, string_view, error_code&) { return this->EndItem(); }
  bool on_uint64(uint64_t, string_view, error_code&) { return this->EndItem(); }
  bool on_double(double, string_view, error_code&) { return this->EndItem(); }
  bool on_bool(bool, error_code&) { return this->EndItem(); }
  bool on_null(error_code&) { return this->EndItem(); }
  bool on_comment_part(string_view, error_code&) { return true; }
  bool on_comment(string_view, error_code&) { return true; }
  // NOLINTEND(readability-identifier-naming)

  std::vector<std::string> duplicates;

 private:
  struct Level {
    std::string path;
    std::set<std::string> keys;
    std::string current_key;  ///< Last key read; empty in an array.
    size_t items = 0;         ///< Number of values read.
  };

  bool Open() {
    this->levels.push_back({this->EntryPath(), {}, {}, 0});
    return true;
  }

  bool Close() {
    this->levels.pop_back();
    return this->EndItem();
  }

  bool EndItem() {
    if (!this->levels.empty()) {
      ++this->levels.back().items;
    }
    return true;
  }

  void AddKey(std::string name) {
    Level& level = this->levels.back();
    level.current_key = name;
    if (!level.keys.insert(std::move(name)).second) {
      this->duplicates.push_back(this->EntryPath());
    }
  }

  std::string EntryPath() const {
    if (this->levels.empty()) {
      return {};
    }
    const Level& level = this->levels.back();
    return level.path + "/" +
           (level.keys.empty() ? std::to_string(level.items)
                               : level.current_key);
  }

  std::vector<Level> levels;
  std::string key;
};

}  // namespace

std::vector<std::string> FindDuplicateKeys(std::string_view text) {
  json::basic_parser<DuplicateFinder> parser(kOptions);
  error_code error;
  parser.write_some(/*more=*/false, text.data(), text.size(), error);
  return std::move(parser.handler().duplicates);
}

}  // namespace basilsill

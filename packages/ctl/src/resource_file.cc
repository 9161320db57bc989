#include "resource_file.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

#include <boost/json.hpp>

#include "basilsill/decision/resource.h"

namespace basilsill::ctl {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 4> kFields = {"kind", "name", "spec",
                                                     "version"};

/// Reads one entry of the file and appends its errors to `faults`.
class EntryReader {
 public:
  EntryReader(const json::object& from,
              std::string where,
              std::vector<Failure>& into)
      : object(from), path(std::move(where)), faults(into) {}

  DeclaredResource Read() {
    DeclaredResource declared;
    declared.path.kind = this->ReadKind();
    declared.path.name = this->ReadName();
    declared.version = this->ReadVersion();
    declared.spec = this->ReadSpec(declared.path.name);
    this->RejectUnknownFields();
    return declared;
  }

 private:
  const json::value* Find(const char* field) {
    const json::value* value = this->object.if_contains(field);
    if (value == nullptr) {
      this->Reject(FailureKind::kMissingField, field, "is required");
    }
    return value;
  }

  std::string ReadText(const char* field) {
    const json::value* value = this->Find(field);
    if (value == nullptr) {
      return {};
    }
    if (!value->is_string()) {
      this->Reject(FailureKind::kWrongType, field, "must be a string");
      return {};
    }
    return std::string(value->get_string());
  }

  std::string ReadKind() {
    const std::string text = this->ReadText("kind");
    const auto kind = FindResourceKind(text);
    if (!text.empty() && !kind) {
      this->Reject(FailureKind::kOutOfRange, "kind",
                   "'" + text +
                       "' is not one of team, service, upstream-set, "
                       "rule, limits, data-centre");
    }
    return std::string(kind.value_or(""));
  }

  std::string ReadName() {
    std::string name = this->ReadText("name");
    if (!name.empty() && !IsResourceName(name)) {
      this->Reject(FailureKind::kOutOfRange, "name",
                   "'" + name +
                       "' must have only lower-case letters, digits and "
                       "inner hyphens");
    }
    return name;
  }

  std::optional<uint64_t> ReadVersion() {
    const json::value* value = this->object.if_contains("version");
    if (value == nullptr) {
      return std::nullopt;
    }
    boost::system::error_code error;
    const auto version = value->to_number<uint64_t>(error);
    if (error) {
      this->Reject(FailureKind::kWrongType, "version",
                   "must be an integer of at least 0");
    }
    return version;
  }

  std::string ReadSpec(const std::string& name) {
    const json::value* value = this->Find("spec");
    if (value == nullptr) {
      return {};
    }
    if (!value->is_object()) {
      this->Reject(FailureKind::kWrongType, "spec", "must be an object");
      return {};
    }
    json::object spec = value->get_object();
    spec["name"] = name;
    return json::serialize(spec);
  }

  void RejectUnknownFields() {
    for (const auto& field : this->object) {
      const std::string name(field.key());
      if (std::find(kFields.begin(), kFields.end(), name) == kFields.end()) {
        this->Reject(FailureKind::kUnknownField, name.c_str(),
                     "is not one of kind, name, spec, version");
      }
    }
  }

  void Reject(FailureKind kind, const char* field, std::string detail) {
    this->faults.push_back({kind, this->path + "/" + field, std::move(detail)});
  }

  const json::object& object;
  std::string path;
  std::vector<Failure>& faults;
};

Failure NotAnObject(std::string path) {
  return {FailureKind::kWrongType, std::move(path), "must be an object"};
}

json::parse_options WithComments() {
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  return options;
}

}  // namespace

CheckedResult<std::vector<DeclaredResource>> ParseResourceFile(
    std::string_view text) {
  boost::system::error_code error;
  const json::value value =
      json::parse({text.data(), text.size()}, error, {}, WithComments());
  if (error) {
    return std::vector<Failure>{{FailureKind::kSyntax, "", error.message()}};
  }
  std::vector<Failure> faults;
  std::vector<DeclaredResource> declared;
  const auto read = [&](const json::value& entry, const std::string& path) {
    if (entry.is_object()) {
      declared.push_back(EntryReader(entry.get_object(), path, faults).Read());
    } else {
      faults.push_back(NotAnObject(path));
    }
  };
  if (value.is_array()) {
    for (size_t i = 0; i < value.get_array().size(); ++i) {
      read(value.get_array()[i], "/" + std::to_string(i));
    }
  } else {
    read(value, "");
  }
  if (!faults.empty()) {
    return faults;
  }
  return declared;
}

CheckedResult<std::vector<DeclaredResource>> ReadResourceFile(
    const std::string& path) {
  std::ifstream file;
  if (path != "-") {
    file.open(path, std::ios::binary);
  }
  std::istream& in = path == "-" ? std::cin : file;
  const std::string text((std::istreambuf_iterator<char>(in)),
                         std::istreambuf_iterator<char>());
  if (in.bad() || (path != "-" && !file.is_open())) {
    return std::vector<Failure>{
        {FailureKind::kUnreadable, path, "can't be read"}};
  }
  return ParseResourceFile(text);
}

}  // namespace basilsill::ctl

#include "load_mix.h"

#include <array>
#include <string>
#include <utility>
#include <variant>

#include <boost/json.hpp>

namespace basilsill::ctl {
namespace {

namespace json = boost::json;

constexpr unsigned kMaxWeight = 1000000;
constexpr size_t kMaxKinds = 64;
constexpr std::string_view kHeadersField = "headers";

using Member = std::variant<std::string LoadKind::*,
                            unsigned LoadKind::*,
                            size_t LoadKind::*,
                            bool LoadKind::*>;

struct MixField {
  std::string_view name;
  Member member;
};

constexpr std::array kFields = {
    MixField{"name", &LoadKind::name},
    MixField{"weight", &LoadKind::weight},
    MixField{"method", &LoadKind::method},
    MixField{"host", &LoadKind::host},
    MixField{"path", &LoadKind::path},
    MixField{"body_bytes", &LoadKind::body_bytes},
    MixField{"once", &LoadKind::once},
    MixField{"crash", &LoadKind::crash},
};

// Stores a JSON value in a member of LoadKind.
// @returns false if the value has the wrong type or is out of range.
struct MemberReader {
  const json::value& value;
  LoadKind& kind;

  bool operator()(std::string LoadKind::*member) const {
    if (!this->value.is_string() || this->value.get_string().empty()) {
      return false;
    }
    this->kind.*member = std::string(this->value.get_string());
    return true;
  }
  bool operator()(bool LoadKind::*member) const {
    if (!this->value.is_bool()) {
      return false;
    }
    this->kind.*member = this->value.get_bool();
    return true;
  }
  template <typename Number>
  bool operator()(Number LoadKind::*member) const {
    if (!this->value.is_int64() || this->value.get_int64() < 0) {
      return false;
    }
    this->kind.*member = static_cast<Number>(this->value.get_int64());
    return this->value.get_int64() <= UINT32_MAX;
  }
};

class MixReader {
 public:
  void ReadKinds(const json::array& list) {
    for (size_t i = 0; i < list.size(); ++i) {
      const std::string path = "/requests/" + std::to_string(i);
      if (!list[i].is_object()) {
        this->Fail(FailureKind::kWrongType, path, "allowed is an object");
        continue;
      }
      this->ReadKind(list[i].get_object(), path);
    }
  }

  void Fail(FailureKind kind, std::string path, std::string detail) {
    this->failures.push_back({kind, std::move(path), std::move(detail)});
  }

  std::vector<LoadKind> kinds;
  std::vector<Failure> failures;

 private:
  void ReadKind(const json::object& object, const std::string& path) {
    LoadKind kind;
    for (const auto& [key, value] : object) {
      const std::string member_path = path + "/" + std::string(key);
      if (std::string_view(key) == kHeadersField) {
        this->ReadHeaders(value, member_path, kind);
      } else {
        this->ReadField(key, value, member_path, kind);
      }
    }
    if (kind.weight == 0 || kind.weight > kMaxWeight) {
      this->Fail(FailureKind::kOutOfRange, path + "/weight",
                 "allowed are 1 to 1000000");
    }
    this->kinds.push_back(std::move(kind));
  }

  void ReadField(std::string_view name,
                 const json::value& value,
                 const std::string& path,
                 LoadKind& kind) {
    for (const MixField& field : kFields) {
      if (field.name != name) {
        continue;
      }
      if (!std::visit(MemberReader{value, kind}, field.member)) {
        this->Fail(FailureKind::kWrongType, path,
                   "found " + json::serialize(value));
      }
      return;
    }
    this->Fail(FailureKind::kUnknownField, path, "no such field");
  }

  void ReadHeaders(const json::value& value,
                   const std::string& path,
                   LoadKind& kind) {
    if (!value.is_object()) {
      this->Fail(FailureKind::kWrongType, path, "allowed is an object");
      return;
    }
    for (const auto& [name, text] : value.get_object()) {
      if (!text.is_string()) {
        this->Fail(FailureKind::kWrongType, path + "/" + std::string(name),
                   "allowed is a string");
        continue;
      }
      kind.headers.push_back(
          {std::string(name), std::string(text.get_string())});
    }
  }
};

}  // namespace

CheckedResult<std::vector<LoadKind>> ParseLoadMix(std::string_view text) {
  json::parse_options allowed;
  allowed.allow_comments = true;
  allowed.allow_trailing_commas = true;
  json::error_code error;
  const json::value value =
      json::parse(json::string_view(text), error, {}, allowed);
  if (error || !value.is_object()) {
    return std::vector<Failure>{
        {FailureKind::kSyntax, "", "the mix is not a JSON object"}};
  }
  MixReader reader;
  for (const auto& [key, member] : value.get_object()) {
    if (std::string_view(key) != "requests") {
      reader.Fail(FailureKind::kUnknownField, "/" + std::string(key),
                  "no such field");
    } else if (!member.is_array() || member.get_array().size() > kMaxKinds) {
      reader.Fail(FailureKind::kWrongType, "/requests",
                  "allowed is a list of at most 64 objects");
    } else {
      reader.ReadKinds(member.get_array());
    }
  }
  if (reader.kinds.empty() && reader.failures.empty()) {
    reader.Fail(FailureKind::kMissingField, "/requests",
                "expected at least one request");
  }
  if (!reader.failures.empty()) {
    return reader.failures;
  }
  return reader.kinds;
}

}  // namespace basilsill::ctl

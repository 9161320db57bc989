#include "resource_answer.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

namespace basilsill::ctl {
namespace {

namespace json = boost::json;

Failure Malformed(const std::string& path, const std::string& wanted) {
  return {FailureKind::kSyntax, path, "the node's answer must have " + wanted};
}

Result<json::value> Parse(std::string_view body) {
  boost::system::error_code error;
  json::value value = json::parse({body.data(), body.size()}, error);
  if (error) {
    return Malformed("", "JSON: " + error.message());
  }
  return value;
}

/// @returns the member at the JSON pointer `path` if it exists and has the type
/// that `is` tests for, nullptr otherwise.
const json::value* Find(const json::value& value,
                        const char* path,
                        bool (json::value::*is)() const noexcept) {
  boost::system::error_code error;
  const json::value* found = value.find_pointer(path, error);
  return found != nullptr && (found->*is)() ? found : nullptr;
}

std::optional<uint64_t> FindNumber(const json::value& value, const char* path) {
  boost::system::error_code error;
  const json::value* found = value.find_pointer(path, error);
  if (found == nullptr || !found->is_number()) {
    return std::nullopt;
  }
  const auto number = found->to_number<uint64_t>(error);
  return error ? std::nullopt : std::optional(number);
}

std::string TextOf(const json::value& value) {
  return value.is_string() ? std::string(value.get_string())
                           : json::serialize(value);
}

Result<ResourceAnswer> ReadResource(const json::value& value) {
  const json::value* kind = Find(value, "/kind", &json::value::is_string);
  const json::value* name = Find(value, "/name", &json::value::is_string);
  const json::value* body = Find(value, "/body", &json::value::is_object);
  const auto version = FindNumber(value, "/version");
  if (kind == nullptr || name == nullptr || body == nullptr || !version) {
    return Malformed("", "kind, name, version and body");
  }
  const json::value* in_force =
      Find(value, "/status/in_force", &json::value::is_bool);
  const json::value* where =
      Find(value, "/status/in_force_on", &json::value::is_array);
  boost::system::error_code error;
  const json::value* accepted =
      value.find_pointer("/status/accepted_at", error);
  if (in_force == nullptr || where == nullptr || accepted == nullptr) {
    return Malformed("/status", "accepted_at, in_force_on and in_force");
  }
  ResourceAnswer answer;
  answer.kind = kind->get_string();
  answer.name = name->get_string();
  answer.version = *version;
  answer.accepted_at = TextOf(*accepted);
  answer.in_force = in_force->get_bool();
  for (const json::value& vm : where->get_array()) {
    answer.in_force_on.push_back(TextOf(vm));
  }
  answer.body = json::serialize(*body);
  answer.whole = json::serialize(value);
  return answer;
}

Failure ReadFailure(const json::value& value) {
  const json::value* kind = Find(value, "/kind", &json::value::is_string);
  const json::value* path = Find(value, "/path", &json::value::is_string);
  const json::value* detail = Find(value, "/detail", &json::value::is_string);
  Failure failure;
  failure.path = path == nullptr ? "" : TextOf(*path);
  failure.detail = detail == nullptr ? "" : TextOf(*detail);
  const std::string name = kind == nullptr ? "" : TextOf(*kind);
  int i = 0;
  while (i < static_cast<int>(FailureKind::kCount) &&
         FailureName(static_cast<FailureKind>(i)) != name) {
    ++i;
  }
  failure.kind = static_cast<FailureKind>(i);
  if (failure.kind == FailureKind::kCount) {
    failure.detail = name + ": " + failure.detail;
  }
  return failure;
}

std::string_view Singular(std::string_view kind) {
  return kind == "limits" ? kind : kind.substr(0, kind.size() - 1);
}

}  // namespace

Result<ResourceAnswer> ParseResource(std::string_view body) {
  const auto value = Parse(body);
  if (!value) {
    return value.error();
  }
  return ReadResource(value.value());
}

Result<ResourceList> ParseResourceList(std::string_view body) {
  const auto value = Parse(body);
  if (!value) {
    return value.error();
  }
  const auto next = FindNumber(value.value(), "/next");
  const json::value* entries =
      Find(value.value(), "/resources", &json::value::is_array);
  if (!next || entries == nullptr) {
    return Malformed("", "next and resources");
  }
  ResourceList list;
  list.next = *next;
  for (const json::value& entry : entries->get_array()) {
    auto resource = ReadResource(entry);
    if (!resource) {
      return resource.error();
    }
    list.resources.push_back(std::move(resource.value()));
  }
  return list;
}

std::vector<Failure> ParseFailures(unsigned status, std::string_view body) {
  std::vector<Failure> failures;
  const auto value = Parse(body);
  if (value) {
    const json::value* entries =
        Find(value.value(), "/failures", &json::value::is_array);
    for (size_t i = 0; entries != nullptr && i < entries->get_array().size();
         ++i) {
      failures.push_back(ReadFailure(entries->get_array()[i]));
    }
  }
  if (failures.empty()) {
    failures.push_back(
        {FailureKind::kPlatformRejected, "",
         "the node answered with HTTP status " + std::to_string(status)});
  }
  return failures;
}

bool IsSameJson(std::string_view a, std::string_view b) {
  const auto first = Parse(a);
  const auto second = Parse(b);
  return first && second && first.value() == second.value();
}

std::optional<std::string_view> FindResourceKind(std::string_view text) {
  for (const std::string_view kind : kResourceKinds) {
    if (text == kind || text == Singular(kind)) {
      return kind;
    }
  }
  return std::nullopt;
}

}  // namespace basilsill::ctl

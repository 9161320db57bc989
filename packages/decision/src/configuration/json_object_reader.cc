#include "json_object_reader.h"

#include <algorithm>
#include <utility>

#include <boost/json/array.hpp>

namespace basilsill {
namespace {

namespace json = boost::json;

// In a JSON pointer, "~" and "/" inside a name are written as "~0" and "~1".
std::string EscapePointer(std::string_view name) {
  std::string escaped;
  for (const char c : name) {
    if (c == '~') {
      escaped += "~0";
    } else if (c == '/') {
      escaped += "~1";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string RangeText(const std::string& min, const std::string& max) {
  return "must be from " + min + " to " + max;
}

}  // namespace

JsonObjectReader::JsonObjectReader(const json::value& value,
                                   std::string path,
                                   std::vector<Failure>& failures)
    : object(value.if_object()), path(std::move(path)), failures(failures) {
  if (this->object == nullptr) {
    this->failures.push_back(
        {FailureKind::kWrongType, this->path, "must be an object"});
  }
}

const json::value* JsonObjectReader::Take(std::string_view name,
                                          Presence presence) {
  this->known.push_back(name);
  if (this->object == nullptr) {
    return nullptr;
  }
  const json::value* field = this->object->if_contains(name);
  if (field == nullptr && presence == Presence::kRequired) {
    this->Reject(name, FailureKind::kMissingField, "is required");
  }
  return field;
}

bool JsonObjectReader::Read(std::string_view name,
                            Presence presence,
                            std::string& target) {
  const json::value* field = this->Take(name, presence);
  if (field == nullptr) {
    return false;
  }
  const json::string* text = field->if_string();
  if (text == nullptr) {
    this->Reject(name, FailureKind::kWrongType, "must be a string");
    return false;
  }
  target.assign(text->data(), text->size());
  return true;
}

bool JsonObjectReader::Read(std::string_view name,
                            Presence presence,
                            bool& target) {
  const json::value* field = this->Take(name, presence);
  if (field == nullptr) {
    return false;
  }
  if (!field->is_bool()) {
    this->Reject(name, FailureKind::kWrongType, "must be true or false");
    return false;
  }
  target = field->get_bool();
  return true;
}

bool JsonObjectReader::Read(std::string_view name,
                            Presence presence,
                            double min,
                            double max,
                            double& target) {
  const json::value* field = this->Take(name, presence);
  if (field == nullptr) {
    return false;
  }
  if (!field->is_number()) {
    this->Reject(name, FailureKind::kWrongType, "must be a number");
    return false;
  }
  const auto number = field->to_number<double>();
  if (!(number >= min && number <= max)) {
    this->Reject(name, FailureKind::kOutOfRange,
                 RangeText(std::to_string(min), std::to_string(max)));
    return false;
  }
  target = number;
  return true;
}

bool JsonObjectReader::ReadInteger(std::string_view name,
                                   Presence presence,
                                   uint64_t min,
                                   uint64_t max,
                                   uint64_t& target) {
  const json::value* field = this->Take(name, presence);
  if (field == nullptr) {
    return false;
  }
  if (!field->is_int64() && !field->is_uint64()) {
    this->Reject(name, FailureKind::kWrongType, "must be a whole number");
    return false;
  }
  boost::json::error_code fault;
  const auto number = field->to_number<uint64_t>(fault);
  if (fault || number < min || number > max) {
    this->Reject(name, FailureKind::kOutOfRange,
                 RangeText(std::to_string(min), std::to_string(max)));
    return false;
  }
  target = number;
  return true;
}

std::span<const json::value> JsonObjectReader::ReadArray(std::string_view name,
                                                         Presence presence,
                                                         size_t max_size) {
  const json::value* field = this->Take(name, presence);
  if (field == nullptr) {
    return {};
  }
  const json::array* array = field->if_array();
  if (array == nullptr) {
    this->Reject(name, FailureKind::kWrongType, "must be an array");
    return {};
  }
  if (array->size() > max_size) {
    this->Reject(name, FailureKind::kOutOfRange,
                 "must have at most " + std::to_string(max_size) + " entries");
    return {};
  }
  return {array->data(), array->size()};
}

void JsonObjectReader::RejectUnknownFields() {
  if (this->object == nullptr) {
    return;
  }
  for (const auto& field : *this->object) {
    const bool is_known = std::find(this->known.begin(), this->known.end(),
                                    field.key()) != this->known.end();
    if (!is_known) {
      this->Reject(field.key(), FailureKind::kUnknownField,
                   "is not a field of this object");
    }
  }
}

void JsonObjectReader::Reject(std::string_view name,
                              FailureKind kind,
                              std::string detail) {
  this->failures.push_back({kind, this->PathOf(name), std::move(detail)});
}

std::string JsonObjectReader::PathOf(std::string_view name) const {
  return this->path + "/" + EscapePointer(name);
}

}  // namespace basilsill

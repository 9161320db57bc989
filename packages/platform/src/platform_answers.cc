#include "platform_answers.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include <boost/json.hpp>

#include "basilsill/base/limits.h"

namespace basilsill {
namespace {

namespace json = boost::json;

// The most deeply nested answer, the VM list, has five levels.
constexpr size_t kMaxDepth = 8;

Failure Malformed(std::string path, std::string detail) {
  return {FailureKind::kSyntax, std::move(path), std::move(detail)};
}

Result<json::object> ParseObject(std::string_view body) {
  json::parse_options options;
  options.max_depth = kMaxDepth;
  boost::system::error_code error;
  json::value value =
      json::parse({body.data(), body.size()}, error, {}, options);
  if (error) {
    return Malformed("", error.message());
  }
  if (!value.is_object()) {
    return Malformed("", "must be an object");
  }
  return std::move(value.get_object());
}

/// Reads the fields of one object and records the first failure, so that
/// callers check for failures once, after all fields.
class FieldReader {
 public:
  FieldReader(const json::object& from, std::string where)
      : object(from), path(std::move(where)) {}

  uint64_t Number(const char* name,
                  uint64_t most = std::numeric_limits<uint64_t>::max()) {
    const json::value* value = this->Find(name);
    if (value == nullptr) {
      return 0;
    }
    uint64_t number = 0;
    if (value->is_uint64()) {
      number = value->get_uint64();
    } else if (value->is_int64() && value->get_int64() >= 0) {
      number = static_cast<uint64_t>(value->get_int64());
    } else {
      this->ReportFault(name, "must be a non-negative integer");
      return 0;
    }
    if (number > most) {
      this->ReportFault(name, "must be at most " + std::to_string(most));
      return 0;
    }
    return number;
  }

  std::string Text(const char* name, size_t most) {
    const json::value* value = this->Find(name);
    if (value == nullptr) {
      return {};
    }
    if (!value->is_string() || value->get_string().size() > most) {
      this->ReportFault(name, "must be a string of at most " +
                                  std::to_string(most) + " bytes");
      return {};
    }
    return std::string(value->get_string());
  }

  const json::array* Array(const char* name, size_t most) {
    const json::value* value = this->Find(name);
    if (value == nullptr) {
      return nullptr;
    }
    if (!value->is_array() || value->get_array().size() > most) {
      this->ReportFault(name, "must be an array of at most " +
                                  std::to_string(most) + " entries");
      return nullptr;
    }
    return &value->get_array();
  }

  const json::object* Object(const char* name) {
    const json::value* value = this->Find(name);
    if (value == nullptr) {
      return nullptr;
    }
    if (!value->is_object()) {
      this->ReportFault(name, "must be an object");
      return nullptr;
    }
    return &value->get_object();
  }

  void ReportFault(const char* name, std::string detail) {
    if (!this->fault) {
      this->fault = Malformed(this->path + "/" + name, std::move(detail));
    }
  }

  const std::optional<Failure>& first_fault() const { return this->fault; }

 private:
  const json::value* Find(const char* name) {
    const json::value* value = this->object.if_contains(name);
    if (value == nullptr) {
      this->ReportFault(name, "is missing");
    }
    return value;
  }

  const json::object& object;
  std::string path;
  std::optional<Failure> fault;
};

LogBounds ReadBounds(FieldReader& reader) {
  const uint64_t first = reader.Number("first");
  const uint64_t end = reader.Number("end");
  if (first > end) {
    reader.ReportFault("first", "must not be greater than end");
  }
  return {first, end};
}

Result<LogRecord> ReadRecord(const json::value& value, uint64_t wanted) {
  const std::string path = "/records[offset " + std::to_string(wanted) + "]";
  if (!value.is_object()) {
    return Malformed(path, "must be an object");
  }
  FieldReader reader(value.get_object(), path);
  LogRecord record;
  record.offset = reader.Number("offset");
  record.body = reader.Text("body", limits::kMaxLogRecordBytes);
  if (record.offset != wanted) {
    reader.ReportFault("offset",
                       "must continue the offsets without a gap or repetition");
  }
  if (reader.first_fault()) {
    return *reader.first_fault();
  }
  return record;
}

Result<VmListEntry> ReadVm(const json::value& value, const std::string& path) {
  if (!value.is_object()) {
    return Malformed(path, "must be an object");
  }
  FieldReader reader(value.get_object(), path);
  VmListEntry vm;
  vm.name = reader.Text("name", limits::kMaxNameLength);
  vm.data_centre = reader.Text("data_centre", limits::kMaxNameLength);
  const std::string state = reader.Text("state", limits::kMaxNameLength);
  vm.leaving = state == "leaving";
  if (state != "live" && state != "leaving") {
    reader.ReportFault("state", "must be \"live\" or \"leaving\"");
  }
  if (const json::object* control = reader.Object("control")) {
    FieldReader inner(*control, path + "/control");
    vm.control.address = inner.Text("address", limits::kMaxNameLength);
    vm.control.port = static_cast<uint16_t>(
        inner.Number("port", std::numeric_limits<uint16_t>::max()));
    if (inner.first_fault()) {
      return *inner.first_fault();
    }
  }
  if (reader.first_fault()) {
    return *reader.first_fault();
  }
  if (!ParseEndpoint(ToString(vm.control), path)) {
    return Malformed(path + "/control/address", "must be an IP address");
  }
  return vm;
}

}  // namespace

std::string WriteAppend(const std::vector<std::string>& records) {
  return json::serialize(json::object{{"records", json::value_from(records)}});
}

Result<AppendAnswer> ParseAppendAnswer(std::string_view body, size_t count) {
  auto object = ParseObject(body);
  if (!object) {
    return object.error();
  }
  FieldReader reader(object.value(), "");
  AppendAnswer answer;
  answer.first = reader.Number("first");
  answer.next = reader.Number("next");
  if (answer.next < answer.first || answer.next - answer.first != count) {
    reader.ReportFault("next", "must be first plus the number of records sent");
  }
  if (reader.first_fault()) {
    return *reader.first_fault();
  }
  return answer;
}

Result<ReadAnswer> ParseReadAnswer(std::string_view body,
                                   uint64_t from,
                                   size_t max) {
  auto object = ParseObject(body);
  if (!object) {
    return object.error();
  }
  FieldReader reader(object.value(), "");
  ReadAnswer answer;
  answer.bounds = ReadBounds(reader);
  answer.next = reader.Number("next");
  const json::array* records = reader.Array("records", max);
  if (reader.first_fault()) {
    return *reader.first_fault();
  }
  if (from < answer.bounds.first || answer.next > answer.bounds.end ||
      answer.next < from || answer.next - from != records->size()) {
    return Malformed("/next",
                     "is inconsistent with the records and the bounds");
  }
  answer.records.reserve(records->size());
  for (const json::value& value : *records) {
    auto record = ReadRecord(value, from + answer.records.size());
    if (!record) {
      return record.error();
    }
    answer.records.push_back(std::move(record.value()));
  }
  return answer;
}

Result<LogBounds> ParseBounds(std::string_view body) {
  auto object = ParseObject(body);
  if (!object) {
    return object.error();
  }
  FieldReader reader(object.value(), "");
  const LogBounds bounds = ReadBounds(reader);
  if (reader.first_fault()) {
    return *reader.first_fault();
  }
  return bounds;
}

Result<VmList> ParseVmList(std::string_view body) {
  auto object = ParseObject(body);
  if (!object) {
    return object.error();
  }
  FieldReader reader(object.value(), "");
  VmList list;
  list.version = reader.Number("version");
  const json::array* vms = reader.Array("vms", limits::kMaxVms);
  if (reader.first_fault()) {
    return *reader.first_fault();
  }
  std::set<std::string> names;
  for (const json::value& value : *vms) {
    const std::string path = "/vms/" + std::to_string(list.vms.size());
    auto vm = ReadVm(value, path);
    if (!vm) {
      return vm.error();
    }
    if (!names.insert(vm.value().name).second) {
      return Malformed(path + "/name", "is a duplicate");
    }
    list.vms.push_back(std::move(vm.value()));
  }
  return list;
}

}  // namespace basilsill

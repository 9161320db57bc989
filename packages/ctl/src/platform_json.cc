#include "platform_json.h"

#include <chrono>
#include <limits>
#include <utility>

#include <boost/json.hpp>

#include "basilsill/base/limits.h"

namespace basilsill::ctl {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

Failure WrongType(std::string_view path, std::string_view wanted) {
  return {FailureKind::kWrongType, std::string(path),
          "must be " + std::string(wanted)};
}

Failure OutOfRange(std::string path, std::string detail) {
  return {FailureKind::kOutOfRange, std::move(path), std::move(detail)};
}

Result<json::object> ParseObject(std::string_view body) {
  boost::system::error_code error;
  json::value value = json::parse({body.data(), body.size()}, error);
  if (error) {
    return Failure{FailureKind::kSyntax, "", error.message()};
  }
  if (!value.is_object()) {
    return WrongType("", "an object");
  }
  return std::move(value.get_object());
}

Result<std::string> ReadText(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) {
    return WrongType(std::string("/") + name, "a string");
  }
  return std::string(value->get_string());
}

/// Reads the JSON value of one field into its member of `faults`.
/// @returns false if the type or the range is wrong.
using FaultReader = bool (*)(const json::value& value, PlatformFaults& faults);

bool ReadCount(const json::value& value, uint64_t& into) {
  boost::system::error_code error;
  into = value.to_number<uint64_t>(error);
  return value.is_number() && !error;
}

bool ReadMilliseconds(const json::value& value, milliseconds& into) {
  uint64_t count = 0;
  if (!ReadCount(value, count) ||
      count > static_cast<uint64_t>(limits::kMaxDeadline.count())) {
    return false;
  }
  into = milliseconds(count);
  return true;
}

bool ReadFlag(const json::value& value, bool& into) {
  if (!value.is_bool()) {
    return false;
  }
  into = value.get_bool();
  return true;
}

struct FaultField {
  std::string_view name;
  FaultReader read;
};

constexpr FaultField kFaultFields[] = {
    {"down",
     [](const json::value& value, PlatformFaults& faults) {
       return ReadFlag(value, faults.down);
     }},
    {"vms_down",
     [](const json::value& value, PlatformFaults& faults) {
       return ReadFlag(value, faults.vms_down);
     }},
    {"append_delay_ms",
     [](const json::value& value, PlatformFaults& faults) {
       return ReadMilliseconds(value, faults.append_delay);
     }},
    {"drop_answers",
     [](const json::value& value, PlatformFaults& faults) {
       return ReadCount(value, faults.drop_answers);
     }},
    {"vm_list_lag_ms",
     [](const json::value& value, PlatformFaults& faults) {
       return ReadMilliseconds(value, faults.vm_list_lag);
     }},
    {"retention_records",
     [](const json::value& value, PlatformFaults& faults) {
       return ReadCount(value, faults.retention_records);
     }},
    {"appends_per_second",
     [](const json::value& value, PlatformFaults& faults) {
       return ReadCount(value, faults.appends_per_second);
     }},
};

const FaultField* FindFaultField(std::string_view name) {
  for (const FaultField& field : kFaultFields) {
    if (field.name == name) {
      return &field;
    }
  }
  return nullptr;
}

}  // namespace

Result<std::vector<std::string>> ParseAppend(std::string_view body) {
  auto object = ParseObject(body);
  if (!object) {
    return object.error();
  }
  const json::value* records = object.value().if_contains("records");
  if (records == nullptr || !records->is_array()) {
    return WrongType("/records", "an array");
  }
  const size_t count = records->get_array().size();
  if (count == 0 || count > limits::kMaxAppendRecords) {
    return OutOfRange("/records",
                      "expected number of records is 1 to " +
                          std::to_string(limits::kMaxAppendRecords));
  }
  std::vector<std::string> bodies;
  size_t bytes = 0;
  for (const json::value& record : records->get_array()) {
    if (!record.is_string()) {
      return WrongType("/records/" + std::to_string(bodies.size()), "a string");
    }
    bodies.emplace_back(record.get_string());
    bytes += bodies.back().size();
    if (bodies.back().size() > limits::kMaxLogRecordBytes ||
        bytes > limits::kMaxAppendBytes) {
      return OutOfRange("/records",
                        "exceeds the byte limit of a record or of an append");
    }
  }
  return bodies;
}

Result<ListedVm> ParseVm(std::string_view name, std::string_view body) {
  auto parsed = ParseObject(body);
  if (!parsed) {
    return parsed.error();
  }
  const json::object& object = parsed.value();
  auto data_centre = ReadText(object, "data_centre");
  if (!data_centre) {
    return data_centre.error();
  }
  const json::value* control = object.if_contains("control");
  if (control == nullptr || !control->is_object()) {
    return WrongType("/control", "an object");
  }
  auto address = ReadText(control->get_object(), "address");
  uint64_t port = 0;
  const json::value* port_value = control->get_object().if_contains("port");
  if (!address || port_value == nullptr || !ReadCount(*port_value, port) ||
      port > std::numeric_limits<uint16_t>::max()) {
    return WrongType("/control",
                     "{\"address\": IP address, \"port\": 0..65535}");
  }
  const auto state = ReadText(object, "state");
  if (!state || (state.value() != "live" && state.value() != "leaving")) {
    return WrongType("/state", "\"live\" or \"leaving\"");
  }
  return ListedVm{std::string(name),
                  data_centre.value(),
                  {address.value(), static_cast<uint16_t>(port)},
                  state.value() == "leaving"};
}

Result<PlatformFaults> ParseFaults(std::string_view body,
                                   const PlatformFaults& current) {
  auto object = ParseObject(body);
  if (!object) {
    return object.error();
  }
  PlatformFaults faults = current;
  for (const auto& [name, value] : object.value()) {
    const std::string path = "/" + std::string(name);
    const FaultField* field = FindFaultField({name.data(), name.size()});
    if (field == nullptr) {
      return Failure{FailureKind::kUnknownField, path, "is not a known fault"};
    }
    if (!field->read(value, faults)) {
      return WrongType(
          path, "true or false, or a number within the limits of the field");
    }
  }
  return faults;
}

std::string WriteAppendAnswer(uint64_t first, uint64_t next) {
  return json::serialize(json::object{{"first", first}, {"next", next}});
}

std::string WriteBounds(const StreamBounds& bounds) {
  return json::serialize(
      json::object{{"first", bounds.first}, {"end", bounds.end}});
}

std::string WriteRecords(const LogStream& stream,
                         uint64_t from,
                         uint64_t max,
                         PlatformStats& stats) {
  const StreamBounds bounds = stream.Bounds();
  json::array records;
  size_t bytes = 0;
  uint64_t offset = from;
  while (offset < bounds.end && records.size() < max &&
         bytes < limits::kMaxReadBytes) {
    const std::string& body = stream.At(offset);
    bytes += body.size();
    records.push_back(json::object{{"offset", offset}, {"body", body}});
    ++offset;
  }
  stats.read_records += records.size();
  stats.read_bytes += bytes;
  return json::serialize(json::object{{"first", bounds.first},
                                      {"next", offset},
                                      {"end", bounds.end},
                                      {"records", std::move(records)}});
}

std::string WriteVmList(const VmTable::Version& version) {
  json::array vms;
  for (const auto& [name, vm] : version.vms) {
    vms.push_back(
        json::object{{"name", name},
                     {"data_centre", vm.data_centre},
                     {"control", json::object{{"address", vm.control.address},
                                              {"port", vm.control.port}}},
                     {"state", vm.leaving ? "leaving" : "live"}});
  }
  return json::serialize(
      json::object{{"version", version.number}, {"vms", std::move(vms)}});
}

std::string WriteFaults(const PlatformFaults& faults) {
  return json::serialize(
      json::object{{"down", faults.down},
                   {"vms_down", faults.vms_down},
                   {"append_delay_ms", faults.append_delay.count()},
                   {"drop_answers", faults.drop_answers},
                   {"vm_list_lag_ms", faults.vm_list_lag.count()},
                   {"retention_records", faults.retention_records},
                   {"appends_per_second", faults.appends_per_second}});
}

std::string WriteStats(const PlatformStats& stats) {
  return json::serialize(
      json::object{{"append_calls", stats.append_calls},
                   {"append_records", stats.append_records},
                   {"append_bytes", stats.append_bytes},
                   {"append_refusals", stats.append_refusals},
                   {"dropped_answers", stats.dropped_answers},
                   {"read_calls", stats.read_calls},
                   {"read_records", stats.read_records},
                   {"read_bytes", stats.read_bytes},
                   {"vm_list_calls", stats.vm_list_calls}});
}

std::string WriteFailure(const Failure& failure) {
  return json::serialize(json::object{
      {"failures", json::array{json::object{{"kind", FailureName(failure.kind)},
                                            {"path", failure.path},
                                            {"detail", failure.detail}}}}});
}

}  // namespace basilsill::ctl

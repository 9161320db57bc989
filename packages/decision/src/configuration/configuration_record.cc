#include "configuration_record.h"

#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "json_object_reader.h"
#include "resource_json.h"

namespace basilsill {
namespace {

namespace json = boost::json;

constexpr auto kRequired = Presence::kRequired;
constexpr auto kOptional = Presence::kOptional;
constexpr std::string_view kChangeType = "change";
constexpr std::string_view kWithdrawalType = "withdrawal";
constexpr std::string_view kCheckpointType = "checkpoint";

void ReadChangeId(JsonObjectReader& reader, std::string& id) {
  if (reader.Read("id", kRequired, id) &&
      (id.empty() || id.size() > limits::kMaxNameLength)) {
    reader.Reject("id", FailureKind::kOutOfRange, "must have 1 to 63 bytes");
  }
}

void ReadResourceId(JsonObjectReader& reader, ResourceId& id) {
  std::string kind_name;
  if (reader.Read("kind", kRequired, kind_name)) {
    const std::optional<ResourceKind> kind = ResourceKindOf(kind_name);
    if (kind) {
      id.kind = *kind;
    } else {
      reader.Reject("kind", FailureKind::kOutOfRange,
                    "must be a resource kind");
    }
  }
  if (reader.Read("name", kRequired, id.name) && !IsResourceName(id.name)) {
    reader.Reject("name", FailureKind::kOutOfRange, "must be a resource name");
  }
}

ParsedRecord ParseChange(JsonObjectReader& reader,
                         std::vector<Failure>& failures) {
  Change change;
  ReadChangeId(reader, change.id);
  reader.Read("seen", kRequired, 0, UINT64_MAX, change.seen);
  uint64_t made_at = 0;
  reader.Read("at", kRequired, 0, INT64_MAX, made_at);
  change.made_at = WallTime(std::chrono::milliseconds(made_at));
  ReadResourceId(reader, change.resource);
  uint64_t base = 0;
  if (reader.Read("base", kOptional, 0, UINT64_MAX, base)) {
    change.base = base;
  }
  bool is_delete = false;
  reader.Read("delete", kOptional, is_delete);
  const json::value* body =
      reader.Take("body", is_delete ? kOptional : kRequired);
  if (is_delete && body != nullptr) {
    reader.Reject("body", FailureKind::kUnknownField,
                  "must be absent from a deletion");
  }
  reader.RejectUnknownFields();
  if (!failures.empty()) {
    return {OtherRecord{RecordVerdict::kMalformed}, std::move(failures)};
  }
  if (!is_delete) {
    change.body =
        ReadResource(change.resource, *body, reader.PathOf("body"), failures);
  }
  return {std::move(change), std::move(failures)};
}

ParsedRecord ParseWithdrawal(JsonObjectReader& reader,
                             std::vector<Failure>& failures) {
  Withdrawal withdrawal;
  ReadChangeId(reader, withdrawal.id);
  reader.Read("seen", kRequired, 0, UINT64_MAX, withdrawal.seen);
  reader.RejectUnknownFields();
  if (!failures.empty()) {
    return {OtherRecord{RecordVerdict::kMalformed}, std::move(failures)};
  }
  return {std::move(withdrawal), {}};
}

json::object MakeRecord(std::string_view type) {
  return {{"format", kRecordFormat}, {"type", type}};
}

}  // namespace

ParsedRecord ParseRecord(std::string_view text) {
  std::vector<Failure> failures;
  const OtherRecord malformed{RecordVerdict::kMalformed};
  if (text.size() > limits::kMaxRecordBytes) {
    failures.push_back({FailureKind::kOutOfRange, "", "is too long"});
    return {malformed, std::move(failures)};
  }
  json::error_code fault;
  const json::value value = json::parse({text.data(), text.size()}, fault);
  if (fault) {
    failures.push_back({FailureKind::kSyntax, "", fault.message()});
    return {malformed, std::move(failures)};
  }
  JsonObjectReader reader(value, "", failures);
  uint64_t format = 0;
  std::string type;
  reader.Read("format", kRequired, 1, UINT64_MAX, format);
  if (format > kRecordFormat) {
    // A newer build wrote the record, and other VMs may apply it. If this VM
    // skipped it, its state would differ from theirs.
    reader.Reject("format", FailureKind::kVersionMismatch,
                  "is newer than this build supports");
    return {OtherRecord{RecordVerdict::kUnsupported}, std::move(failures)};
  }
  reader.Read("type", kRequired, type);
  if (type == kChangeType && text.size() > limits::kMaxChangeBytes) {
    reader.Reject("body", FailureKind::kOutOfRange, "is too long");
    return {malformed, std::move(failures)};
  }
  if (type == kChangeType) {
    return ParseChange(reader, failures);
  }
  if (type == kWithdrawalType) {
    return ParseWithdrawal(reader, failures);
  }
  if (type == kCheckpointType) {
    return {OtherRecord{RecordVerdict::kCheckpoint}, {}};
  }
  reader.Reject("type", FailureKind::kOutOfRange, "must be a record type");
  return {malformed, std::move(failures)};
}

std::string WriteChange(const Change& change) {
  json::object record = MakeRecord(kChangeType);
  record["id"] = change.id;
  record["seen"] = change.seen;
  record["at"] = change.made_at.time_since_epoch().count();
  record["kind"] = NameOf(change.resource.kind);
  record["name"] = change.resource.name;
  if (change.base) {
    record["base"] = *change.base;
  }
  if (change.body) {
    record["body"] = ToJson(*change.body);
  } else {
    record["delete"] = true;
  }
  return json::serialize(record);
}

std::string WriteWithdrawal(const Withdrawal& withdrawal) {
  json::object record = MakeRecord(kWithdrawalType);
  record["id"] = withdrawal.id;
  record["seen"] = withdrawal.seen;
  return json::serialize(record);
}

}  // namespace basilsill

#include "basilsill/decision/checkpoint.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "json_object_reader.h"
#include "resource_json.h"

namespace basilsill {
namespace {

namespace json = boost::json;

constexpr auto kRequired = Presence::kRequired;
constexpr std::string_view kCheckpointType = "checkpoint";

// Bytes reserved for the header of a part and the brackets of its lists.
constexpr size_t kHeadBytes = 1024;

std::optional<RecordVerdict> VerdictOf(std::string_view name) {
  for (uint8_t i = 0; i < static_cast<uint8_t>(RecordVerdict::kCount); ++i) {
    if (NameOf(static_cast<RecordVerdict>(i)) == name) {
      return static_cast<RecordVerdict>(i);
    }
  }
  return std::nullopt;
}

json::object ToJson(const ResourceEntry& entry) {
  const Resource& resource = *entry.resource;
  return {{"kind", NameOf(resource.kind())},
          {"version", entry.version},
          {"change", entry.change_id},
          {"at", entry.made_at.time_since_epoch().count()},
          {"body", ToJson(resource)}};
}

json::object ToJson(const ConfigurationContent::Decided& decided) {
  return {{"id", decided.change_id},
          {"offset", decided.decision.offset},
          {"verdict", NameOf(decided.decision.verdict)}};
}

// Text of one part while it is being written.
struct PartText {
  std::string entries;
  std::string changes;

  size_t size() const { return this->entries.size() + this->changes.size(); }
};

// Appends `item` to the list `list` of the last part, or of a new part if it
// does not fit.
void AddItem(std::vector<PartText>& parts,
             std::string PartText::*list,
             const json::object& item) {
  const std::string text = json::serialize(item);
  if (parts.back().size() + text.size() + 1 + kHeadBytes >
      limits::kMaxRecordBytes) {
    parts.emplace_back();
  }
  std::string& target = parts.back().*list;
  target += target.empty() ? "" : ",";
  target += text;
}

std::string WritePart(const CheckpointPartHead& head, const PartText& part) {
  const json::object object = {
      {"format", kRecordFormat}, {"type", kCheckpointType}, {"id", head.id},
      {"offset", head.offset},   {"digest", head.digest},   {"part", head.part},
      {"parts", head.parts}};
  std::string text = json::serialize(object);
  text.pop_back();
  text += ",\"entries\":[" + part.entries + "],\"changes\":[" + part.changes;
  return text + "]}";
}

CheckpointPartHead ReadHead(JsonObjectReader& reader) {
  CheckpointPartHead head;
  std::string type;
  uint64_t format = 0;
  reader.Read("format", kRequired, 1, kRecordFormat, format);
  if (reader.Read("type", kRequired, type) && type != kCheckpointType) {
    reader.Reject("type", FailureKind::kOutOfRange, "must be \"checkpoint\"");
  }
  reader.Read("id", kRequired, head.id);
  reader.Read("offset", kRequired, 0, UINT64_MAX, head.offset);
  reader.Read("digest", kRequired, 0, UINT64_MAX, head.digest);
  reader.Read("parts", kRequired, 1, limits::kMaxCheckpointParts, head.parts);
  reader.Read("part", kRequired, 0, UINT32_MAX, head.part);
  if (head.part >= head.parts) {
    reader.Reject("part", FailureKind::kOutOfRange,
                  "must be less than the number of parts");
  }
  return head;
}

ResourceEntry ReadEntry(const json::value& value,
                        std::vector<Failure>& failures) {
  JsonObjectReader reader(value, "", failures);
  ResourceEntry entry;
  std::string kind_name;
  reader.Read("kind", kRequired, kind_name);
  reader.Read("version", kRequired, 0, UINT64_MAX, entry.version);
  reader.Read("change", kRequired, entry.change_id);
  uint64_t made_at = 0;
  reader.Read("at", kRequired, 0, INT64_MAX, made_at);
  entry.made_at = WallTime(std::chrono::milliseconds(made_at));
  const json::value* body = reader.Take("body", kRequired);
  const std::optional<ResourceKind> kind = ResourceKindOf(kind_name);
  std::string name;
  if (body != nullptr && kind) {
    JsonObjectReader(*body, "", failures).Read("name", kRequired, name);
    entry.resource = std::make_shared<const Resource>(
        ReadResource({*kind, name}, *body, "", failures));
  } else {
    reader.Reject("kind", FailureKind::kOutOfRange, "must be a resource kind");
  }
  return entry;
}

ConfigurationContent::Decided ReadDecided(const json::value& value,
                                          std::vector<Failure>& failures) {
  JsonObjectReader reader(value, "", failures);
  ConfigurationContent::Decided decided;
  std::string verdict_name;
  reader.Read("id", kRequired, decided.change_id);
  reader.Read("offset", kRequired, 0, UINT64_MAX, decided.decision.offset);
  reader.Read("verdict", kRequired, verdict_name);
  const std::optional<RecordVerdict> verdict = VerdictOf(verdict_name);
  if (verdict) {
    decided.decision.verdict = *verdict;
  } else {
    reader.Reject("verdict", FailureKind::kOutOfRange,
                  "must be a record verdict");
  }
  return decided;
}

void ReadContent(JsonObjectReader& reader,
                 ConfigurationContent& content,
                 std::vector<Failure>& failures) {
  for (const json::value& value :
       reader.ReadArray("entries", kRequired, SIZE_MAX)) {
    content.entries.push_back(ReadEntry(value, failures));
  }
  for (const json::value& value :
       reader.ReadArray("changes", kRequired, SIZE_MAX)) {
    content.changes.push_back(ReadDecided(value, failures));
  }
}

bool IsSameCheckpoint(const CheckpointPartHead& a,
                      const CheckpointPartHead& b) {
  return a.id == b.id && a.offset == b.offset && a.digest == b.digest &&
         a.parts == b.parts;
}

}  // namespace

std::vector<std::string> WriteCheckpoint(const ConfigurationState& state,
                                         const std::string& id) {
  const ConfigurationContent content = state.Content();
  std::vector<PartText> parts(1);
  for (const ResourceEntry& entry : content.entries) {
    AddItem(parts, &PartText::entries, ToJson(entry));
  }
  for (const ConfigurationContent::Decided& decided : content.changes) {
    AddItem(parts, &PartText::changes, ToJson(decided));
  }
  CheckpointPartHead head{id, state.next_offset(), state.digest(), 0,
                          static_cast<uint32_t>(parts.size())};
  std::vector<std::string> records;
  for (const PartText& part : parts) {
    records.push_back(WritePart(head, part));
    ++head.part;
  }
  return records;
}

std::vector<std::string> WriteRecovery(const ConfigurationState& state,
                                       uint64_t log_end,
                                       const std::string& id) {
  ConfigurationContent content = state.Content();
  content.next_offset = std::max(content.next_offset, log_end);
  return WriteCheckpoint(ConfigurationState::Restore(content), id);
}

std::optional<CheckpointPartHead> ReadCheckpointHead(std::string_view record) {
  json::error_code fault;
  const json::value value = json::parse({record.data(), record.size()}, fault);
  if (fault) {
    return std::nullopt;
  }
  std::vector<Failure> failures;
  JsonObjectReader reader(value, "", failures);
  const CheckpointPartHead head = ReadHead(reader);
  return failures.empty() ? std::optional(head) : std::nullopt;
}

bool CheckpointTracker::Add(const CheckpointPartHead& head) {
  auto found = std::find_if(
      this->open.begin(), this->open.end(),
      [&head](const Open& candidate) { return candidate.id == head.id; });
  if (found == this->open.end()) {
    if (this->open.size() == limits::kMaxOpenCheckpoints) {
      this->open.erase(this->open.begin());
    }
    this->open.push_back({head.id, std::vector<bool>(head.parts), head.parts});
    found = this->open.end() - 1;
  }
  if (head.part >= found->has_part.size() || found->has_part[head.part]) {
    return false;
  }
  found->has_part[head.part] = true;
  --found->missing;
  if (found->missing > 0) {
    return false;
  }
  this->open.erase(found);
  return true;
}

std::optional<ConfigurationState> CheckpointReader::Add(
    std::string_view record) {
  json::error_code fault;
  const json::value value = json::parse({record.data(), record.size()}, fault);
  if (fault) {
    return std::nullopt;
  }
  std::vector<Failure> failures;
  JsonObjectReader reader(value, "", failures);
  const CheckpointPartHead head = ReadHead(reader);
  ConfigurationContent content;
  ReadContent(reader, content, failures);
  if (!failures.empty()) {
    return std::nullopt;
  }
  Open* target = this->FindOrAdd(head);
  if (target == nullptr || target->has_part[head.part]) {
    return std::nullopt;
  }
  target->has_part[head.part] = true;
  --target->missing;
  std::move(content.entries.begin(), content.entries.end(),
            std::back_inserter(target->content.entries));
  std::move(content.changes.begin(), content.changes.end(),
            std::back_inserter(target->content.changes));
  if (target->missing > 0) {
    return std::nullopt;
  }
  auto state = ConfigurationState::Restore(target->content);
  this->open.erase(this->open.begin() + (target - this->open.data()));
  // A state that was corrupted in transit, or written by a build that folds
  // differently, does not match the digest and must not come into force.
  return state.digest() == head.digest ? std::optional(std::move(state))
                                       : std::nullopt;
}

CheckpointReader::Open* CheckpointReader::FindOrAdd(
    const CheckpointPartHead& head) {
  for (Open& candidate : this->open) {
    if (candidate.head.id == head.id) {
      return IsSameCheckpoint(candidate.head, head) ? &candidate : nullptr;
    }
  }
  if (this->open.size() == limits::kMaxOpenCheckpoints) {
    this->open.erase(this->open.begin());
  }
  Open added{head, std::vector<bool>(head.parts), head.parts, {}};
  added.content.next_offset = head.offset;
  this->open.push_back(std::move(added));
  return &this->open.back();
}

}  // namespace basilsill

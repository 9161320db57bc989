#include "basilsill/decision/configuration.h"

#include <utility>

#include <xxhash.h>

#include "configuration_record.h"

namespace basilsill {
namespace {

constexpr std::array<std::string_view,
                     static_cast<size_t>(RecordVerdict::kCount)>
    kVerdictNames = {"accepted",    "conflict",    "rejected",  "withdrawn",
                     "repeated",    "stale",       "malformed", "checkpoint",
                     "unsupported", "out-of-order"};

uint64_t HashText(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

uint64_t HashEntry(const ResourceEntry& entry) {
  const Resource& resource = *entry.resource;
  const std::array<uint64_t, 2> numbers = {
      entry.version,
      static_cast<uint64_t>(entry.made_at.time_since_epoch().count())};
  const uint64_t seed = XXH3_64bits_withSeed(numbers.data(), sizeof(numbers),
                                             HashText(entry.change_id, 0));
  return HashText(WriteResource(resource),
                  HashText(NameOf(resource.kind()), seed));
}

uint64_t HashDecision(std::string_view id, const DecidedChange& decided) {
  return HashText(id, HashText(NameOf(decided.verdict), decided.offset));
}

bool IsStale(uint64_t offset, uint64_t seen) {
  return offset > seen && offset - seen > limits::kChangeWindow;
}

}  // namespace

std::string_view NameOf(RecordVerdict verdict) {
  return kVerdictNames.at(static_cast<size_t>(verdict));
}

ConfigurationState ConfigurationState::Restore(
    const ConfigurationContent& content) {
  ConfigurationState state;
  state.next = content.next_offset;
  for (const ResourceEntry& entry : content.entries) {
    state.Insert(entry);
  }
  for (const ConfigurationContent::Decided& decided : content.changes) {
    state.RecordDecision(decided.change_id, decided.decision);
  }
  state.EvictOldDecisions();
  return state;
}

ConfigurationContent ConfigurationState::Content() const {
  ConfigurationContent content;
  content.next_offset = this->next;
  for (const ResourceTable& table : this->tables) {
    for (const auto& [name, entry] : table) {
      content.entries.push_back(entry);
    }
  }
  for (const auto& [id, decision] : this->decided_changes) {
    content.changes.push_back({id, decision});
  }
  return content;
}

// All removals come before the insertions, so that an endpoint that moves from
// one set to another is in one of them at a time.
void ConfigurationState::Declare(uint64_t next_offset,
                                 const std::vector<ResourceId>& dropped,
                                 std::vector<ResourceEntry> entries) {
  for (const ResourceId& id : dropped) {
    this->Erase(id);
  }
  for (const ResourceEntry& entry : entries) {
    this->Erase({entry.resource->kind(), entry.resource->name});
  }
  for (ResourceEntry& entry : entries) {
    this->Insert(std::move(entry));
  }
  this->next = next_offset;
}

RecordOutcome ConfigurationState::Apply(uint64_t offset,
                                        std::string_view record) {
  if (offset != this->next) {
    return {RecordVerdict::kOutOfOrder, offset, {}, {}, {}, {}, {}};
  }
  ParsedRecord parsed = ParseRecord(record);
  RecordOutcome outcome;
  outcome.offset = offset;
  if (auto* other = std::get_if<OtherRecord>(&parsed.content)) {
    outcome.verdict = other->verdict;
    outcome.failures = std::move(parsed.failures);
    if (other->verdict == RecordVerdict::kUnsupported) {
      return outcome;
    }
  } else if (auto* withdrawal = std::get_if<Withdrawal>(&parsed.content)) {
    this->ApplyWithdrawal(*withdrawal, outcome);
  } else {
    auto& change = std::get<Change>(parsed.content);
    this->ApplyChange(change, std::move(parsed.failures), outcome);
  }
  ++this->next;
  this->EvictOldDecisions();
  return outcome;
}

// An id counts once: the first of several records that carry it decides. The
// number of stored ids is bounded, because a record is stale once it is more
// than kChangeWindow records after the offset that its author had read. A
// second copy of a change carries the same `seen`, so while that copy is not
// stale, the decision on the first copy is still stored.
bool ConfigurationState::Admit(const std::string& id,
                               uint64_t seen,
                               bool is_decided,
                               RecordOutcome& outcome) const {
  outcome.change_id = id;
  if (seen > outcome.offset) {
    outcome.verdict = RecordVerdict::kMalformed;
    outcome.failures.push_back(
        {FailureKind::kOutOfRange, "/seen",
         "must not be greater than the offset of the record"});
    return false;
  }
  if (IsStale(outcome.offset, seen)) {
    outcome.verdict = RecordVerdict::kStale;
    outcome.failures.push_back({FailureKind::kOutOfRange, "/seen",
                                "is too far behind the offset of the record"});
    return false;
  }
  if (is_decided) {
    outcome.verdict = RecordVerdict::kRepeated;
    return false;
  }
  return true;
}

void ConfigurationState::ApplyWithdrawal(const Withdrawal& withdrawal,
                                         RecordOutcome& outcome) {
  const bool is_decided = this->FindChange(withdrawal.id) != nullptr;
  if (this->Admit(withdrawal.id, withdrawal.seen, is_decided, outcome)) {
    outcome.verdict = RecordVerdict::kWithdrawn;
    this->RecordDecision(withdrawal.id, {outcome.offset, outcome.verdict});
  }
}

void ConfigurationState::ApplyChange(const Change& change,
                                     std::vector<Failure> body_failures,
                                     RecordOutcome& outcome) {
  outcome.resource = change.resource;
  const bool is_decided = this->DecisionOf(change).has_value();
  if (this->Admit(change.id, change.seen, is_decided, outcome)) {
    outcome.failures = std::move(body_failures);
    if (outcome.failures.empty()) {
      outcome.failures = this->Check(change);
    }
    if (outcome.failures.empty()) {
      this->Accept(change, outcome);
    } else {
      const bool is_conflict =
          outcome.failures.front().kind == FailureKind::kConflict;
      outcome.verdict =
          is_conflict ? RecordVerdict::kConflict : RecordVerdict::kRejected;
    }
    this->RecordDecision(change.id, {outcome.offset, outcome.verdict});
  }
  const ResourceEntry* current = this->Find(change.resource);
  if (current != nullptr) {
    outcome.version = current->version;
  }
}

void ConfigurationState::Accept(const Change& change, RecordOutcome& outcome) {
  outcome.verdict = RecordVerdict::kAccepted;
  this->Erase(change.resource);
  if (change.body) {
    outcome.body = std::make_shared<const Resource>(*change.body);
    this->Insert({outcome.offset, change.id, change.made_at, outcome.body, 0});
  }
}

const ResourceEntry* ConfigurationState::Find(const ResourceId& id) const {
  const ResourceTable& table = this->Table(id.kind);
  const auto found = table.find(id.name);
  return found == table.end() ? nullptr : &found->second;
}

const ResourceTable& ConfigurationState::Table(ResourceKind kind) const {
  return this->tables.at(static_cast<size_t>(kind));
}

const DecidedChange* ConfigurationState::FindChange(
    std::string_view change_id) const {
  const auto found = this->decided_changes.find(change_id);
  return found == this->decided_changes.end() ? nullptr : &found->second;
}

std::optional<DecidedChange> ConfigurationState::DecisionOf(
    const Change& change) const {
  const DecidedChange* remembered = this->FindChange(change.id);
  if (remembered != nullptr) {
    return *remembered;
  }
  const ResourceEntry* current = this->Find(change.resource);
  if (current != nullptr && current->change_id == change.id) {
    return DecidedChange{current->version, RecordVerdict::kAccepted};
  }
  return std::nullopt;
}

TrafficRatios ConfigurationState::RatiosOf(std::string_view team) const {
  TrafficRatios ratios;
  const ResourceTable& table = this->Table(ResourceKind::kLimits);
  for (const std::string_view name : {kInstallationLimits, team}) {
    const auto found = table.find(name);
    if (found == table.end()) {
      continue;
    }
    const auto& spec = SpecOf<LimitsSpec>(found->second);
    ratios.retry_ratio = spec.retry_ratio.value_or(ratios.retry_ratio);
    ratios.hedge_ratio = spec.hedge_ratio.value_or(ratios.hedge_ratio);
    ratios.bulk_slot_share =
        spec.bulk_slot_share.value_or(ratios.bulk_slot_share);
  }
  return ratios;
}

std::vector<std::string> ConfigurationState::DataCentres() const {
  std::vector<std::string> names;
  for (const auto& [name, count] : this->sets_of_data_centre) {
    names.push_back(name);
  }
  return names;
}

uint64_t ConfigurationState::digest() const {
  const uint64_t seed =
      XXH3_64bits(this->table_digests.data(), sizeof(this->table_digests));
  const std::array<uint64_t, 2> parts = {this->next, this->changes_digest};
  return XXH3_64bits_withSeed(parts.data(), sizeof(parts), seed);
}

void ConfigurationState::Insert(ResourceEntry entry) {
  entry.digest = HashEntry(entry);
  const Resource& resource = *entry.resource;
  const auto kind = static_cast<size_t>(resource.kind());
  this->table_digests.at(kind) += entry.digest;
  if (const auto* set = std::get_if<UpstreamSetSpec>(&resource.spec)) {
    this->IndexSet(resource.name, *set);
  }
  this->tables.at(kind).emplace(resource.name, std::move(entry));
}

void ConfigurationState::Erase(const ResourceId& id) {
  ResourceTable& table = this->tables.at(static_cast<size_t>(id.kind));
  const auto found = table.find(id.name);
  if (found == table.end()) {
    return;
  }
  this->table_digests.at(static_cast<size_t>(id.kind)) -= found->second.digest;
  if (id.kind == ResourceKind::kUpstreamSet) {
    this->UnindexSet(SpecOf<UpstreamSetSpec>(found->second));
  }
  table.erase(found);
}

void ConfigurationState::RecordDecision(const std::string& change_id,
                                        DecidedChange decided) {
  this->decided_changes.emplace(change_id, decided);
  this->change_at.emplace(decided.offset, change_id);
  this->changes_digest += HashDecision(change_id, decided);
}

void ConfigurationState::EvictOldDecisions() {
  while (!this->change_at.empty() &&
         this->change_at.begin()->first + limits::kChangeWindow < this->next) {
    const auto oldest = this->change_at.begin();
    const auto decided = this->decided_changes.find(oldest->second);
    this->changes_digest -= HashDecision(decided->first, decided->second);
    this->decided_changes.erase(decided);
    this->change_at.erase(oldest);
  }
}

void ConfigurationState::IndexSet(const std::string& set,
                                  const UpstreamSetSpec& spec) {
  ++this->sets_of_data_centre[spec.data_centre];
  for (const InstanceSpec& instance : spec.instances) {
    this->set_of_endpoint.emplace(instance.endpoint, set);
  }
}

void ConfigurationState::UnindexSet(const UpstreamSetSpec& spec) {
  const auto data_centre = this->sets_of_data_centre.find(spec.data_centre);
  if (--data_centre->second == 0) {
    this->sets_of_data_centre.erase(data_centre);
  }
  for (const InstanceSpec& instance : spec.instances) {
    this->set_of_endpoint.erase(instance.endpoint);
  }
}

}  // namespace basilsill

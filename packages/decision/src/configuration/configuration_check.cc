// Validates a change in a given state: version conflicts, references, duplicate
// keys, addresses and matches, capacities.

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "basilsill/decision/configuration.h"

namespace basilsill {
namespace {

// Maximum number of referrers that one answer names.
constexpr size_t kMaxReferrersNamed = 32;

constexpr std::array<size_t, static_cast<size_t>(ResourceKind::kCount)>
    kCapacities = {limits::kMaxTeams,        limits::kMaxServices,
                   limits::kMaxUpstreamSets, limits::kMaxRules,
                   limits::kMaxTeams + 1,    limits::kMaxDataCentres};

std::string VersionText(const std::optional<uint64_t>& version) {
  return version ? std::to_string(*version) : "none";
}

// Adds a failure for each resource of `kind` for which `refers` is true.
template <typename Spec, typename Refers>
void AddReferrers(const ConfigurationState& state,
                  ResourceKind kind,
                  Refers refers,
                  std::vector<Failure>& out) {
  for (const auto& [name, entry] : state.Table(kind)) {
    if (out.size() >= kMaxReferrersNamed) {
      return;
    }
    if (refers(ConfigurationState::SpecOf<Spec>(entry))) {
      out.push_back({FailureKind::kInUse, "",
                     std::string(NameOf(kind)) + " '" + name + "' needs it"});
    }
  }
}

void CheckReference(const ConfigurationState& state,
                    ResourceKind kind,
                    const std::string& name,
                    const char* path,
                    std::vector<Failure>& out) {
  if (state.Find({kind, name}) == nullptr) {
    out.push_back(
        {FailureKind::kDanglingReference, path,
         "there is no " + std::string(NameOf(kind)) + " '" + name + "'"});
  }
}

bool SameHeaders(const RuleMatch& a, const RuleMatch& b) {
  return std::equal(a.headers.begin(), a.headers.end(), b.headers.begin(),
                    b.headers.end(),
                    [](const HeaderMatch& x, const HeaderMatch& y) {
                      return x.name == y.name && x.value == y.value;
                    });
}

bool SameMatch(const RuleMatch& a, const RuleMatch& b) {
  return a.host == b.host && a.path_prefix == b.path_prefix &&
         a.methods == b.methods && SameHeaders(a, b);
}

// An API key identifies the team of its caller, so two teams must not share
// one.
void CheckApiKeys(const ConfigurationState& state,
                  const std::string& name,
                  const TeamSpec& team,
                  std::vector<Failure>& out) {
  if (team.api_keys.empty()) {
    return;
  }
  const std::set<ApiKeyDigest> keys(team.api_keys.begin(), team.api_keys.end());
  for (const auto& [other, entry] : state.Table(ResourceKind::kTeam)) {
    const auto& spec = ConfigurationState::SpecOf<TeamSpec>(entry);
    const bool is_shared =
        other != name &&
        std::any_of(spec.api_keys.begin(), spec.api_keys.end(),
                    [&keys](const auto& key) { return keys.contains(key); });
    if (is_shared) {
      out.push_back({FailureKind::kDuplicate, "/api_keys",
                     "team '" + other + "' already has one of these keys"});
    }
  }
}

}  // namespace

std::vector<Failure> ConfigurationState::Check(const Change& change) const {
  const ResourceEntry* current = this->Find(change.resource);
  std::optional<uint64_t> version;
  if (current != nullptr) {
    version = current->version;
  }
  if (version != change.base) {
    return {{FailureKind::kConflict, "",
             "based on version " + VersionText(change.base) +
                 ", current version is " + VersionText(version)}};
  }
  if (!change.body) {
    return this->CheckDelete(change.resource);
  }
  std::vector<Failure> out;
  this->CheckCapacity(change.resource, out);
  this->CheckSpec(change.resource, change.body->spec, out);
  return out;
}

std::vector<Failure> ConfigurationState::CheckDelete(
    const ResourceId& id) const {
  std::vector<Failure> out;
  if (id.kind == ResourceKind::kTeam) {
    AddReferrers<ServiceSpec>(
        *this, ResourceKind::kService,
        [&id](const ServiceSpec& spec) { return spec.team == id.name; }, out);
    if (this->Find({ResourceKind::kLimits, id.name}) != nullptr) {
      out.push_back(
          {FailureKind::kInUse, "", "limits '" + id.name + "' needs it"});
    }
  }
  if (id.kind == ResourceKind::kService) {
    AddReferrers<UpstreamSetSpec>(
        *this, ResourceKind::kUpstreamSet,
        [&id](const UpstreamSetSpec& spec) { return spec.service == id.name; },
        out);
    AddReferrers<RuleSpec>(
        *this, ResourceKind::kRule,
        [&id](const RuleSpec& spec) { return spec.service == id.name; }, out);
  }
  return out;
}

void ConfigurationState::CheckCapacity(const ResourceId& id,
                                       std::vector<Failure>& out) const {
  const size_t capacity = kCapacities.at(static_cast<size_t>(id.kind));
  if (this->Find(id) == nullptr && this->Table(id.kind).size() >= capacity) {
    out.push_back({FailureKind::kLimitReached, "",
                   "there are already " + std::to_string(capacity) +
                       " resources of this kind"});
  }
}

void ConfigurationState::CheckSpec(const ResourceId& id,
                                   const ResourceSpec& spec,
                                   std::vector<Failure>& out) const {
  if (const auto* team = std::get_if<TeamSpec>(&spec)) {
    CheckApiKeys(*this, id.name, *team, out);
  } else if (const auto* service = std::get_if<ServiceSpec>(&spec)) {
    CheckReference(*this, ResourceKind::kTeam, service->team, "/team", out);
  } else if (const auto* set = std::get_if<UpstreamSetSpec>(&spec)) {
    CheckReference(*this, ResourceKind::kService, set->service, "/service",
                   out);
    this->CheckSet(id, *set, out);
  } else if (const auto* rule = std::get_if<RuleSpec>(&spec)) {
    CheckReference(*this, ResourceKind::kService, rule->service, "/service",
                   out);
    this->CheckRule(id, *rule, out);
  } else if (std::holds_alternative<LimitsSpec>(spec) &&
             id.name != kInstallationLimits) {
    CheckReference(*this, ResourceKind::kTeam, id.name, "/name", out);
  } else if (std::holds_alternative<DataCentreSpec>(spec) &&
             !this->sets_of_data_centre.contains(id.name)) {
    out.push_back({FailureKind::kDanglingReference, "/name",
                   "no upstream set is in a data centre '" + id.name + "'"});
  }
}

// An instance belongs to one set only, since one dispatcher counts its slots.
void ConfigurationState::CheckSet(const ResourceId& id,
                                  const UpstreamSetSpec& spec,
                                  std::vector<Failure>& out) const {
  size_t added = 0;
  for (size_t i = 0; i < spec.instances.size(); ++i) {
    const auto holder = this->set_of_endpoint.find(spec.instances[i].endpoint);
    if (holder == this->set_of_endpoint.end()) {
      ++added;
    } else if (holder->second != id.name) {
      out.push_back({FailureKind::kDuplicate, "/instances/" + std::to_string(i),
                     "upstream set '" + holder->second +
                         "' already contains this instance"});
    }
  }
  if (this->set_of_endpoint.size() + added > limits::kMaxUpstreams) {
    out.push_back({FailureKind::kLimitReached, "/instances",
                   "more than " + std::to_string(limits::kMaxUpstreams) +
                       " instances in all"});
  }
  if (!this->sets_of_data_centre.contains(spec.data_centre) &&
      this->sets_of_data_centre.size() >= limits::kMaxDataCentres) {
    out.push_back({FailureKind::kLimitReached, "/data_centre",
                   "more than " + std::to_string(limits::kMaxDataCentres) +
                       " data centres"});
  }
}

// Of two rules with the same match, one would never apply.
void ConfigurationState::CheckRule(const ResourceId& id,
                                   const RuleSpec& spec,
                                   std::vector<Failure>& out) const {
  for (const auto& [name, entry] : this->Table(ResourceKind::kRule)) {
    if (name != id.name &&
        SameMatch(SpecOf<RuleSpec>(entry).match, spec.match)) {
      out.push_back({FailureKind::kDuplicate, "/match",
                     "rule '" + name + "' already has this match"});
    }
  }
}

}  // namespace basilsill

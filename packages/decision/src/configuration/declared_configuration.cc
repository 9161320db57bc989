#include "basilsill/decision/declared_configuration.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <utility>

namespace basilsill {
namespace {

// Requests without an API key belong to this common team, as do all services.
// No declared team can have this name: CheckTeams reports it as a duplicate.
constexpr std::string_view kCommonTeam = "all callers";

// Declared teams have no concurrency or queue limit. Their requests are bounded
// by their quotas and by the capacity of the upstreams and of the process.
constexpr uint32_t kNoTeamLimit = limits::kMaxRequestsPerWorker;

ResourceEntry MakeEntry(std::string name, ResourceSpec spec, uint64_t version) {
  ResourceEntry entry;
  entry.version = version;
  entry.resource = std::make_shared<const Resource>(
      Resource{std::move(name), std::move(spec)});
  return entry;
}

std::string NameOf(const UpstreamSetKey& key) {
  return key.service + " in " + key.data_centre;
}

// Under overload, teams share the capacity in proportion to their quotas.
uint32_t WeightOf(const DeclaredTeam& team) {
  const double rate = team.requests_per_second;
  if (rate <= 0) {
    return limits::kMaxTeamWeight;
  }
  return static_cast<uint32_t>(
      std::clamp(rate, 1.0, double{limits::kMaxTeamWeight}));
}

TrafficClass ClassOf(uint32_t priority, uint32_t most_urgent) {
  return priority == most_urgent ? TrafficClass::kUrgent
                                 : TrafficClass::kOrdinary;
}

// @returns the most urgent priority (lowest number) that any request can have.
uint32_t MostUrgent(const DeclaredConfiguration& configuration) {
  uint32_t most_urgent = UINT32_MAX;
  bool routes_count = configuration.teams.empty();
  for (const DeclaredTeam& team : configuration.teams) {
    most_urgent = std::min(most_urgent, team.priority.value_or(UINT32_MAX));
    routes_count = routes_count || !team.priority;
  }
  for (const DeclaredRoute& route : configuration.routes) {
    if (routes_count || !route.requires_api_key) {
      most_urgent = std::min(most_urgent, route.priority);
    }
  }
  return most_urgent;
}

RuleSpec RuleOf(const DeclaredRoute& route, uint32_t most_urgent) {
  RuleSpec rule;
  rule.service = route.services.front().service;
  rule.match.host = route.host;
  rule.match.path_prefix = route.path_prefix;
  rule.traffic_class = ClassOf(route.priority, most_urgent);
  rule.requires_api_key = route.requires_api_key;
  rule.idempotent = route.kind != RouteKind::kUnsafe;
  rule.hedge = route.kind == RouteKind::kSafe;
  rule.deadline = route.timeout;
  auto platform_options = std::make_shared<PlatformRuleOptions>();
  if (route.services.size() > 1) {
    platform_options->split = route.services;
  }
  platform_options->timeout = route.timeout;
  platform_options->target_latency = route.target_latency;
  platform_options->max_attempts = route.max_attempts;
  rule.platform_options = std::move(platform_options);
  return rule;
}

/// Converts one configuration to resources, without its upstreams.
class DeclaredResources {
 public:
  explicit DeclaredResources(const DeclaredConfiguration& configuration)
      : configuration(configuration), most_urgent(MostUrgent(configuration)) {}

  std::vector<ResourceEntry> Make() {
    this->AddTeams();
    this->AddServices();
    this->AddRules();
    this->AddLimits();
    return std::move(this->entries);
  }

 private:
  void Add(std::string name, ResourceSpec spec, uint64_t version) {
    this->entries.push_back(
        MakeEntry(std::move(name), std::move(spec), version));
  }

  void AddTeams() {
    TeamSpec common;
    common.limits.concurrency = kNoTeamLimit;
    common.limits.queue = kNoTeamLimit;
    this->Add(std::string(kCommonTeam), common, 0);
    for (const DeclaredTeam& team : this->configuration.teams) {
      TeamSpec spec = common;
      spec.api_keys = team.api_keys;
      spec.limits.requests_per_second = team.requests_per_second;
      spec.limits.burst = team.burst;
      spec.limits.weight = WeightOf(team);
      if (team.priority) {
        spec.traffic_class = ClassOf(*team.priority, this->most_urgent);
      }
      this->Add(team.name, spec, this->configuration.version);
    }
  }

  void AddServices() {
    for (const DeclaredService& service : this->configuration.services) {
      ServiceSpec spec;
      spec.team = kCommonTeam;
      spec.health_path = service.health_path;
      spec.cold = service.cold;
      this->Add(service.name, spec, this->configuration.version);
    }
  }

  void AddRules() {
    for (const DeclaredRoute& route : this->configuration.routes) {
      this->Add(route.name, RuleOf(route, this->most_urgent),
                this->configuration.version);
    }
  }

  void AddLimits() {
    LimitsSpec spec;
    spec.callers = this->configuration.callers;
    this->Add(std::string(kInstallationLimits), spec,
              this->configuration.version);
  }

  const DeclaredConfiguration& configuration;
  uint32_t most_urgent;
  std::vector<ResourceEntry> entries;
};

// Failures are logged, so they must not contain an API key.
void CheckTeams(const DeclaredConfiguration& configuration,
                std::vector<Failure>& failures) {
  std::set<std::string_view> names = {kCommonTeam};
  std::map<ApiKeyDigest, std::string_view> holders;
  for (const DeclaredTeam& team : configuration.teams) {
    if (!names.insert(team.name).second) {
      failures.push_back(
          {FailureKind::kDuplicate, team.name, "team is declared twice"});
    }
    for (const ApiKeyDigest& digest : team.api_keys) {
      const auto [place, is_new] = holders.emplace(digest, team.name);
      if (!is_new && place->second != team.name) {
        failures.push_back(
            {FailureKind::kDuplicate, team.name,
             "holds a key of team " + std::string(place->second)});
      }
    }
  }
}

}  // namespace

std::vector<Failure> CheckDeclared(const DeclaredConfiguration& configuration) {
  std::vector<Failure> failures;
  std::set<std::string_view> services;
  for (const DeclaredService& service : configuration.services) {
    if (!services.insert(service.name).second) {
      failures.push_back(
          {FailureKind::kDuplicate, service.name, "service is declared twice"});
    }
  }
  std::set<std::string_view> routes;
  for (const DeclaredRoute& route : configuration.routes) {
    if (!routes.insert(route.name).second) {
      failures.push_back(
          {FailureKind::kDuplicate, route.name, "route is declared twice"});
    }
    if (route.services.empty()) {
      failures.push_back(
          {FailureKind::kMissingField, route.name, "route has no service"});
    }
    for (const WeightedServiceName& share : route.services) {
      if (!services.contains(share.service)) {
        failures.push_back({FailureKind::kDanglingReference, route.name,
                            "no such service: " + share.service});
      }
    }
  }
  CheckTeams(configuration, failures);
  return failures;
}

void DeclaredState::Update(const DeclaredSources& sources) {
  ++this->updates;
  this->upstreams_version = sources.upstreams.version();
  const std::set<UpstreamSetKey> changed_sets =
      sources.upstreams.TakeChangedSets();
  if (this->configuration_version == sources.configuration.version) {
    this->DeclareSets(changed_sets, sources.upstreams);
  } else {
    this->DeclareAll(sources.configuration, sources.upstreams);
  }
  this->DeclareDrains(sources.drains);
}

bool DeclaredState::IsCurrent(const DeclaredSources& sources) const {
  return this->configuration_version == sources.configuration.version &&
         this->upstreams_version == sources.upstreams.version() &&
         this->drains_version == sources.drains.version();
}

void DeclaredState::DeclareDrains(const DataCentreDrains& drains) {
  this->drains_version = drains.version();
  std::vector<ResourceId> dropped;
  for (const auto& [name, entry] :
       this->current.Table(ResourceKind::kDataCentre)) {
    dropped.push_back({ResourceKind::kDataCentre, name});
  }
  std::vector<ResourceEntry> entries;
  for (const std::string& name : drains.drained()) {
    entries.push_back(MakeEntry(name, DataCentreSpec{true}, this->updates));
  }
  this->current.Declare(*this->configuration_version, dropped,
                        std::move(entries));
}

// A new configuration may declare other services, so all upstream sets are
// rebuilt too.
void DeclaredState::DeclareAll(const DeclaredConfiguration& configuration,
                               const UpstreamRegistry& upstreams) {
  this->configuration_version = configuration.version;
  this->services.clear();
  for (const DeclaredService& service : configuration.services) {
    this->services.insert(service.name);
  }
  this->current = ConfigurationState();
  this->current.Declare(configuration.version, {},
                        DeclaredResources(configuration).Make());
  std::set<UpstreamSetKey> all;
  for (const auto& [id, row] : upstreams.rows()) {
    all.insert({row.entry.service, row.entry.data_centre});
  }
  this->DeclareSets(all, upstreams);
}

// Builds one set for each service and data centre. The version of a set is that
// of the update that built it, so that views share unchanged sets.
void DeclaredState::DeclareSets(const std::set<UpstreamSetKey>& changed_sets,
                                const UpstreamRegistry& upstreams) {
  std::map<UpstreamSetKey, UpstreamSetSpec> sets;
  for (const auto& [id, row] : upstreams.rows()) {
    const RegisteredUpstream& entry = row.entry;
    const UpstreamSetKey key{entry.service, entry.data_centre};
    if (row.shadowed || !changed_sets.contains(key) ||
        !this->services.contains(entry.service)) {
      continue;
    }
    UpstreamSetSpec& set = sets[key];
    set.service = entry.service;
    set.data_centre = entry.data_centre;
    set.instances.push_back(
        {entry.endpoint, entry.slots, entry.leaving, row.cold});
    set.incarnations.push_back({entry.id, entry.started});
  }
  std::vector<ResourceId> dropped;
  dropped.reserve(changed_sets.size());
  for (const UpstreamSetKey& key : changed_sets) {
    dropped.push_back({ResourceKind::kUpstreamSet, NameOf(key)});
  }
  std::vector<ResourceEntry> entries;
  entries.reserve(sets.size());
  for (auto& [key, set] : sets) {
    entries.push_back(MakeEntry(NameOf(key), std::move(set), this->updates));
  }
  this->current.Declare(*this->configuration_version, dropped,
                        std::move(entries));
}

}  // namespace basilsill

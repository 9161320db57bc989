#include "service_rows.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace basilsill {
namespace {

uint64_t Combine(uint64_t seed, uint64_t value) {
  return XXH3_64bits_withSeed(&value, sizeof(value), seed);
}

// Another incarnation at the same address is a different upstream: none of the
// state of the earlier one applies to it.
std::string KeyOfInstance(const UpstreamSetSpec& set, size_t place) {
  std::string key = ToString(set.instances[place].endpoint);
  if (place < set.incarnations.size()) {
    const UpstreamIncarnation& incarnation = set.incarnations[place];
    key += ' ';
    key += incarnation.id;
    key += ' ';
    key += std::to_string(incarnation.started.count());
  }
  return key;
}

bool SameOwners(const ServiceRow& a, const ServiceRow& b) {
  return std::equal(a.shards.begin(), a.shards.end(), b.shards.begin(),
                    b.shards.end(), [](const ShardRow& x, const ShardRow& y) {
                      return x.key == y.key && x.owners == y.owners;
                    });
}

std::shared_ptr<const ServiceRow> Reassign(
    const std::shared_ptr<const ServiceRow>& row,
    const RoutingView& view) {
  auto assigned = std::make_shared<ServiceRow>(*row);
  AssignShards(view, *assigned);
  if (SameOwners(*row, *assigned)) {
    return row;
  }
  return assigned;
}

std::map<std::string_view, const DataCentreRow*> IndexDataCentres(
    const RoutingView& view) {
  std::map<std::string_view, const DataCentreRow*> rows;
  for (const DataCentreRow& row : view.data_centres) {
    if (IsValid(row.handle)) {
      rows.emplace(row.name, &row);
    }
  }
  return rows;
}

}  // namespace

void ServiceRows::Build(const ConfigurationState& configuration,
                        bool vms_changed,
                        RoutingView& view) {
  const Plans plans = this->MakePlans(configuration, view);
  ++this->round;
  this->excluded = 0;
  this->ReleaseRemoved(plans);
  for (const auto& [name, plan] : plans) {
    this->excluded += CountUnplaced(plan);
    const ServiceHandle handle = this->names.Take(name);
    CachedService& cached = this->cached_services[std::string(name)];
    if (plan.is_changed) {
      cached.row = this->MakeRow(plan, view, cached);
      cached.signature = plan.signature;
    } else if (vms_changed) {
      cached.row = Reassign(cached.row, view);
    }
    if (handle.index >= view.services.size()) {
      view.services.resize(handle.index + 1);
    }
    view.services[handle.index] = cached.row;
  }
}

size_t ServiceRows::CountUnplaced(const Plan& plan) {
  size_t count = 0;
  for (const PlacedSet& set : plan.sets) {
    count += IsValid(set.data_centre) ? 0 : set.spec->instances.size();
  }
  return count;
}

ServiceRows::Plans ServiceRows::MakePlans(
    const ConfigurationState& configuration,
    const RoutingView& view) const {
  Plans plans;
  for (const auto& [name, entry] :
       configuration.Table(ResourceKind::kService)) {
    Plan& plan = plans[name];
    plan.service = &entry;
    plan.signature = entry.digest;
  }
  const auto data_centres = IndexDataCentres(view);
  for (const auto& [name, entry] :
       configuration.Table(ResourceKind::kUpstreamSet)) {
    const auto& spec = ConfigurationState::SpecOf<UpstreamSetSpec>(entry);
    const auto place = data_centres.find(spec.data_centre);
    const DataCentreRow data_centre =
        place == data_centres.end() ? DataCentreRow{} : *place->second;
    Plan& plan = plans.at(spec.service);
    plan.sets.push_back({&spec, data_centre.handle, data_centre.drained});
    plan.signature = Combine(plan.signature, entry.digest);
    plan.signature = Combine(plan.signature, data_centre.handle.index);
    plan.signature = Combine(plan.signature, data_centre.handle.generation);
    plan.signature = Combine(plan.signature, data_centre.drained ? 1 : 0);
  }
  for (auto& [name, plan] : plans) {
    const auto known = this->cached_services.find(name);
    plan.is_changed = known == this->cached_services.end() ||
                      known->second.signature != plan.signature;
  }
  return plans;
}

// Frees the handles of removed services and upstreams before new ones are
// created, so that a full table has room for them.
void ServiceRows::ReleaseRemoved(const Plans& plans) {
  for (auto& [name, cached] : this->cached_services) {
    const auto plan = plans.find(name);
    if (plan == plans.end()) {
      this->ReleaseUnmarked(cached);
    } else if (plan->second.is_changed) {
      this->MarkRetained(plan->second, cached);
      this->ReleaseUnmarked(cached);
    }
  }
  std::erase_if(this->cached_services, [&plans](const auto& known) {
    return !plans.contains(known.first);
  });
  this->names.Retain(
      [&plans](std::string_view name) { return plans.contains(name); });
}

void ServiceRows::MarkRetained(const Plan& plan, const CachedService& cached) {
  for (const PlacedSet& set : plan.sets) {
    for (size_t i = 0; i < set.spec->instances.size(); ++i) {
      const auto known = cached.upstreams.find(KeyOfInstance(*set.spec, i));
      if (known != cached.upstreams.end()) {
        *this->upstreams.Find(known->second) = this->round;
      }
    }
  }
}

void ServiceRows::ReleaseUnmarked(CachedService& cached) {
  std::erase_if(cached.upstreams, [this](const auto& known) {
    return *this->upstreams.Find(known.second) != this->round &&
           this->upstreams.Destroy(known.second);
  });
}

std::shared_ptr<const ServiceRow> ServiceRows::MakeRow(const Plan& plan,
                                                       const RoutingView& view,
                                                       CachedService& cached) {
  const auto& spec = ConfigurationState::SpecOf<ServiceSpec>(*plan.service);
  auto row = std::make_shared<ServiceRow>();
  row->name = plan.service->resource->name;
  row->handle = this->names.Find(row->name);
  const auto team = std::find_if(view.teams.begin(), view.teams.end(),
                                 [&spec](const TeamRow& candidate) {
                                   return candidate.name == spec.team;
                                 });
  row->health_path = spec.health_path;
  row->cold = spec.cold;
  row->team = team == view.teams.end() ? TeamHandle{} : team->handle;
  for (const PlacedSet& set : plan.sets) {
    this->AddSet(set, cached, *row);
  }
  AssignShards(view, *row);
  return row;
}

void ServiceRows::AddSet(const PlacedSet& set,
                         CachedService& cached,
                         ServiceRow& row) {
  if (!IsValid(set.data_centre)) {
    return;
  }
  const UpstreamSetSpec& spec = *set.spec;
  for (size_t i = 0; i < spec.instances.size(); ++i) {
    const InstanceSpec& instance = spec.instances[i];
    UpstreamHandle& handle = cached.upstreams[KeyOfInstance(spec, i)];
    if (!IsValid(handle)) {
      handle = this->upstreams.Create(this->round);
    }
    row.upstreams.push_back({handle, instance.endpoint, set.data_centre,
                             instance.slots, instance.leaving, instance.cold,
                             set.drained});
    if (i < spec.incarnations.size()) {
      row.incarnations.push_back(spec.incarnations[i]);
    }
  }
}

}  // namespace basilsill

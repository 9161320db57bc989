#include "basilsill/decision/view_builder.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "basilsill/decision/api_keys.h"
#include "name_table.h"
#include "service_rows.h"

namespace basilsill {
namespace {

// Properties of a VM that shard assignment depends on.
struct VmPlacement {
  VmHandle handle;
  DataCentreHandle data_centre;
  bool is_live;
  std::vector<DataCentreHandle> unreachable;

  friend bool operator==(const VmPlacement&, const VmPlacement&) = default;
};

template <typename Row, typename HandleType>
Row& RowAt(std::vector<Row>& rows, HandleType handle) {
  if (handle.index >= rows.size()) {
    rows.resize(handle.index + 1);
  }
  return rows[handle.index];
}

// Orders rules from most to least specific, then by name, so that the order is
// the same on all VMs.
bool IsMoreSpecific(const RuleRow& a, const RuleRow& b) {
  const auto rank = [](const RuleRow& rule) {
    const RuleMatch& match = rule.match;
    const size_t methods =
        match.methods.empty() ? SIZE_MAX : match.methods.size();
    return std::make_tuple(match.host.empty(),
                           SIZE_MAX - match.path_prefix.size(), methods,
                           SIZE_MAX - match.headers.size());
  };
  const auto rank_a = rank(a);
  const auto rank_b = rank(b);
  return rank_a != rank_b ? rank_a < rank_b : a.name < b.name;
}

class ViewBuilderImpl : public ViewBuilder {
 public:
  RoutingViewPtr Build(const ConfigurationState& configuration,
                       const MembershipRows& membership) override;

  size_t excluded_instances() const override {
    return this->services.excluded_instances();
  }

 private:
  bool UpdatePlacements(const std::vector<VmRow>& vms);
  static void MarkDrained(const ConfigurationState& configuration,
                          RoutingView& view);
  void BuildTeams(const ConfigurationState& configuration, RoutingView& view);
  std::shared_ptr<const ApiKeyTable> MakeApiKeys(const ResourceTable& table);
  void BuildRules(const ConfigurationState& configuration, RoutingView& view);
  void MakeRules(const ResourceTable& table);
  void CopyPlatformOptions(const PlatformRuleOptions& platform_options,
                           RuleRow& row) const;

  NameTable<TeamTag> team_names{limits::kMaxTeams};
  NameTable<RuleTag> rule_names{limits::kMaxRules};
  ServiceRows services;

  std::vector<VmPlacement> placements;
  uint64_t teams_digest = 0;  // Of the teams that `api_keys` was built from.
  std::shared_ptr<const ApiKeyTable> api_keys;
  // Of the rules that `rules` and `rule_order` were built from.
  uint64_t rules_digest = 0;
  std::vector<RuleRow> rules;
  std::vector<RuleHandle> rule_order;
  uint64_t version = 0;
};

RoutingViewPtr ViewBuilderImpl::Build(const ConfigurationState& configuration,
                                      const MembershipRows& membership) {
  auto view = std::make_shared<RoutingView>();
  view->version = ++this->version;
  view->applied_offset = configuration.next_offset();
  view->vms = membership.vms;
  view->data_centres = membership.data_centres;
  MarkDrained(configuration, *view);
  view->self = membership.self;
  const VmRow* own = FindVm(*view, view->self);
  if (own != nullptr) {
    view->own_data_centre = own->data_centre;
  }
  this->BuildTeams(configuration, *view);
  const bool vms_changed = this->UpdatePlacements(membership.vms);
  this->services.Build(configuration, vms_changed, *view);
  this->BuildRules(configuration, *view);
  const ResourceTable& limits = configuration.Table(ResourceKind::kLimits);
  const auto installation = limits.find(kInstallationLimits);
  if (installation != limits.end()) {
    view->caller_limits =
        ConfigurationState::SpecOf<LimitsSpec>(installation->second).callers;
  }
  return view;
}

void ViewBuilderImpl::MarkDrained(const ConfigurationState& configuration,
                                  RoutingView& view) {
  const ResourceTable& table = configuration.Table(ResourceKind::kDataCentre);
  for (DataCentreRow& row : view.data_centres) {
    const auto found = table.find(row.name);
    row.drained =
        found != table.end() &&
        ConfigurationState::SpecOf<DataCentreSpec>(found->second).drained;
  }
}

// @returns true if shards may have other owners than in the previous view.
bool ViewBuilderImpl::UpdatePlacements(const std::vector<VmRow>& vms) {
  std::vector<VmPlacement> now;
  now.reserve(vms.size());
  for (const VmRow& vm : vms) {
    now.push_back({vm.handle, vm.data_centre, vm.state == VmState::kLive,
                   vm.unreachable});
  }
  const bool is_changed = now != this->placements;
  this->placements = std::move(now);
  return is_changed;
}

void ViewBuilderImpl::BuildTeams(const ConfigurationState& configuration,
                                 RoutingView& view) {
  const ResourceTable& table = configuration.Table(ResourceKind::kTeam);
  this->team_names.Retain(
      [&table](std::string_view name) { return table.contains(name); });
  for (const auto& [name, entry] : table) {
    const TeamHandle handle = this->team_names.Take(name);
    const auto& spec = ConfigurationState::SpecOf<TeamSpec>(entry);
    RowAt(view.teams, handle) = {handle, name, spec.limits, spec.traffic_class};
  }
  const uint64_t digest = configuration.digest(ResourceKind::kTeam);
  if (!this->api_keys || digest != this->teams_digest) {
    this->api_keys = this->MakeApiKeys(table);
    this->teams_digest = digest;
  }
  view.api_keys = this->api_keys;
}

std::shared_ptr<const ApiKeyTable> ViewBuilderImpl::MakeApiKeys(
    const ResourceTable& table) {
  std::vector<ApiKeyTable::Row> rows;
  for (const auto& [name, entry] : table) {
    const TeamHandle team = this->team_names.Take(name);
    const auto& spec = ConfigurationState::SpecOf<TeamSpec>(entry);
    for (const ApiKeyDigest& digest : spec.api_keys) {
      rows.push_back({digest, team});
    }
  }
  return ApiKeyTable::Create(std::move(rows));
}

void ViewBuilderImpl::BuildRules(const ConfigurationState& configuration,
                                 RoutingView& view) {
  const uint64_t digest = configuration.digest(ResourceKind::kRule);
  if (digest != this->rules_digest) {
    this->MakeRules(configuration.Table(ResourceKind::kRule));
    this->rules_digest = digest;
  }
  view.rules = this->rules;
  view.rule_order = this->rule_order;
}

void ViewBuilderImpl::MakeRules(const ResourceTable& table) {
  this->rules.clear();
  this->rule_order.clear();
  this->rule_names.Retain(
      [&table](std::string_view name) { return table.contains(name); });
  for (const auto& [name, entry] : table) {
    const auto& spec = ConfigurationState::SpecOf<RuleSpec>(entry);
    RuleRow row;
    row.handle = this->rule_names.Take(name);
    row.name = name;
    row.service = this->services.Find(spec.service);
    row.match = spec.match;
    row.traffic_class = spec.traffic_class;
    row.once = spec.once;
    row.idempotent = spec.idempotent;
    row.hedge = spec.hedge;
    row.requires_api_key = spec.requires_api_key;
    row.deadline = spec.deadline;
    if (spec.platform_options) {
      this->CopyPlatformOptions(*spec.platform_options, row);
    }
    this->rule_order.push_back(row.handle);
    RowAt(this->rules, row.handle) = std::move(row);
  }
  std::sort(this->rule_order.begin(), this->rule_order.end(),
            [this](RuleHandle a, RuleHandle b) {
              return IsMoreSpecific(this->rules[a.index], this->rules[b.index]);
            });
}

void ViewBuilderImpl::CopyPlatformOptions(
    const PlatformRuleOptions& platform_options,
    RuleRow& row) const {
  for (const WeightedServiceName& share : platform_options.split) {
    row.split.push_back({this->services.Find(share.service), share.weight});
  }
  row.timeout = platform_options.timeout;
  row.target_latency = platform_options.target_latency;
  row.max_attempts = platform_options.max_attempts;
}

}  // namespace

std::unique_ptr<ViewBuilder> ViewBuilder::Create() {
  return std::make_unique<ViewBuilderImpl>();
}

}  // namespace basilsill

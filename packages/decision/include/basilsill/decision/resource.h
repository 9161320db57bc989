#ifndef BASILSILL_DECISION_RESOURCE_H_
#define BASILSILL_DECISION_RESOURCE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "basilsill/base/error.h"
#include "basilsill/decision/api_keys.h"
#include "basilsill/decision/view.h"

/// The resources that operators declare, and their JSON form. The codec is
/// strict: it reports every fault of a document at once, each with its kind
/// and the JSON pointer of the field. References between resources are
/// checked by Configuration, which knows the other resources.

namespace basilsill {

enum class ResourceKind : uint8_t {
  kTeam,
  kService,
  kUpstreamSet,
  kRule,
  kLimits,
  kDataCentre,
  kCount
};

/// @returns the name of `kind` in paths and records, such as "upstream-set".
std::string_view NameOf(ResourceKind kind);

/// @returns the kind called `name`, if there is one.
std::optional<ResourceKind> ResourceKindOf(std::string_view name);

/// The limits resource that applies to every team without one of its own.
/// No team can have this name.
inline constexpr std::string_view kInstallationLimits = "installation";

struct TeamSpec {
  TeamLimits limits;
  std::vector<ApiKeyDigest> api_keys{};
  /// Goes before the class of the rule; absent: the rule's counts.
  std::optional<TrafficClass> traffic_class{};

  friend bool operator==(const TeamSpec&, const TeamSpec&) = default;
};

struct ServiceSpec {
  std::string team;
  /// Where an upstream says whether it is well; empty: it is not asked.
  std::string health_path{};
  ColdStartLimits cold{};

  friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

struct InstanceSpec {
  Endpoint endpoint;
  uint16_t slots = limits::kDefaultSlotsPerUpstream;
  bool leaving = false;
  /// Started a moment ago and is slow for that reason.
  bool cold = false;

  friend bool operator==(const InstanceSpec&, const InstanceSpec&) = default;
};

/// Upstreams of a service in one data centre. A service may have several
/// sets in one data centre: that is how more instances than one record holds
/// are declared.
struct UpstreamSetSpec {
  std::string service;
  std::string data_centre;
  std::vector<InstanceSpec> instances;
  /// Which start of which upstream the instance at its place is, where the
  /// platform says so: another one at the same endpoint is another upstream.
  /// Empty where it does not.
  std::vector<UpstreamIncarnation> incarnations{};

  friend bool operator==(const UpstreamSetSpec&,
                         const UpstreamSetSpec&) = default;
};

/// A service's part in the requests of one rule.
struct WeightedServiceName {
  std::string service;
  uint32_t weight = 1;
};

/// What a rule says beyond RuleSpec where the installation's platform declares
/// rules. Has no JSON form.
struct PlatformRuleOptions {
  /// Services that share the requests by weight; empty: the rule's has all.
  std::vector<WeightedServiceName> split;
  /// No caller is kept waiting for longer; 0: only its deadline counts.
  std::chrono::milliseconds timeout{0};
  /// Answers within this time are good ones; 0: not known.
  std::chrono::milliseconds target_latency{0};
  /// Upstreams that one request may be sent to; 0: as the policy has it.
  uint8_t max_attempts = 0;
};

struct RuleSpec {
  std::string service;
  RuleMatch match;
  TrafficClass traffic_class = TrafficClass::kOrdinary;
  bool once = false;
  bool idempotent = false;
  bool hedge = false;
  bool requires_api_key = false;
  std::chrono::milliseconds deadline = limits::kDefaultDeadline;
  std::shared_ptr<const PlatformRuleOptions>
      platform_options{};  ///< Null: none are declared.
};

/// Overrides of the policy's ratios, for the team of the resource's name or,
/// under kInstallationLimits, for all teams. An absent field falls back to
/// the installation's, then to the default of TrafficRatios.
struct LimitsSpec {
  std::optional<double> retry_ratio;
  std::optional<double> hedge_ratio;
  std::optional<double> bulk_slot_share;
  /// Of the whole installation; absent: as the node's settings have it. Has no
  /// JSON form.
  std::optional<CallerLimits> callers{};

  friend bool operator==(const LimitsSpec&, const LimitsSpec&) = default;
};

/// What a team's limits come to after all overrides.
struct TrafficRatios {
  double retry_ratio = limits::kDefaultRetryRatio;
  double hedge_ratio = limits::kDefaultHedgeRatio;
  double bulk_slot_share = limits::kDefaultBulkSlotShare;

  friend bool operator==(const TrafficRatios&, const TrafficRatios&) = default;
};

/// What operators want of a data centre. One without a resource is in use.
struct DataCentreSpec {
  /// Its upstreams end what they have and get nothing new.
  bool drained = false;

  friend bool operator==(const DataCentreSpec&,
                         const DataCentreSpec&) = default;
};

/// Alternatives stand in the order of ResourceKind.
using ResourceSpec = std::variant<TeamSpec,
                                  ServiceSpec,
                                  UpstreamSetSpec,
                                  RuleSpec,
                                  LimitsSpec,
                                  DataCentreSpec>;

/// Names a resource; names are unique within a kind.
struct ResourceId {
  ResourceKind kind = ResourceKind::kCount;
  std::string name;

  friend bool operator==(const ResourceId&, const ResourceId&) = default;
  friend bool operator<(const ResourceId& a, const ResourceId& b) {
    return std::tie(a.kind, a.name) < std::tie(b.kind, b.name);
  }
};

struct Resource {
  std::string name;
  ResourceSpec spec;

  ResourceKind kind() const {
    return static_cast<ResourceKind>(this->spec.index());
  }
};

/// Reads one resource.
/// @param id What the document must be; its `name` field must agree.
/// @param text A JSON object, as written by WriteResource.
/// @returns the resource, or all faults of the document.
CheckedResult<Resource> ReadResource(const ResourceId& id,
                                     std::string_view text);

/// @returns `resource` as one line of JSON, equal for equal resources.
std::string WriteResource(const Resource& resource);

/// @returns true if `name` may name a resource, VM or data centre: lower-case
/// letters, digits and inner hyphens, at most limits::kMaxNameLength.
bool IsResourceName(std::string_view name);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_RESOURCE_H_

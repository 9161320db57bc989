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

/// Resources declared by operators, and their JSON form. The codec is strict:
/// it reports every fault of a document at once, each with its kind and the
/// JSON pointer of the field. ConfigurationState checks references between
/// resources, since it knows the other resources.

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

/// @returns the kind with this name, or nothing.
std::optional<ResourceKind> ResourceKindOf(std::string_view name);

/// Name of the limits resource that applies to every team without one of its
/// own. No team can have this name.
inline constexpr std::string_view kInstallationLimits = "installation";

struct TeamSpec {
  TeamLimits limits;
  std::vector<ApiKeyDigest> api_keys{};
  /// Takes precedence over the class of the rule; absent: the class of the rule
  /// applies.
  std::optional<TrafficClass> traffic_class{};

  friend bool operator==(const TeamSpec&, const TeamSpec&) = default;
};

struct ServiceSpec {
  std::string team;
  /// Path of the health check; empty: upstreams are not checked.
  std::string health_path{};
  ColdStartLimits cold{};

  friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

struct InstanceSpec {
  Endpoint endpoint;
  uint16_t slots = limits::kDefaultSlotsPerUpstream;
  bool leaving = false;
  /// Slow because it started recently.
  bool cold = false;

  friend bool operator==(const InstanceSpec&, const InstanceSpec&) = default;
};

/// Upstreams of a service in one data centre. A service may have several sets
/// in one data centre, because a record holds a limited number of instances.
struct UpstreamSetSpec {
  std::string service;
  std::string data_centre;
  std::vector<InstanceSpec> instances;
  /// Incarnation of the instance at the same index, if the platform reports it:
  /// a different incarnation at the same endpoint is a different upstream.
  /// Empty if the platform does not report incarnations.
  std::vector<UpstreamIncarnation> incarnations{};

  friend bool operator==(const UpstreamSetSpec&,
                         const UpstreamSetSpec&) = default;
};

/// A service and its weight in the traffic split of a rule.
struct WeightedServiceName {
  std::string service;
  uint32_t weight = 1;
};

/// Options of a rule beyond RuleSpec, for installations whose platform declares
/// the rules. They have no JSON form.
struct PlatformRuleOptions {
  /// Services that share the requests by weight; empty: the service of the rule
  /// gets all of them.
  std::vector<WeightedServiceName> split;
  /// Maximum time that a caller waits; 0: only its deadline applies.
  std::chrono::milliseconds timeout{0};
  /// Latency up to which an answer counts as good; 0: not known.
  std::chrono::milliseconds target_latency{0};
  /// Maximum number of upstreams that one request is sent to; 0: as set by the
  /// policy.
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
  /// Null: none are declared.
  std::shared_ptr<const PlatformRuleOptions> platform_options{};
};

/// Overrides of the policy's ratios for the team with the resource's name or,
/// under kInstallationLimits, for all teams. An absent field falls back to the
/// value of the installation, then to the default in TrafficRatios.
struct LimitsSpec {
  std::optional<double> retry_ratio;
  std::optional<double> hedge_ratio;
  std::optional<double> bulk_slot_share;
  /// Limits for the whole installation; absent: the node's settings apply. Has
  /// no JSON form.
  std::optional<CallerLimits> callers{};

  friend bool operator==(const LimitsSpec&, const LimitsSpec&) = default;
};

/// Ratios of a team after all overrides.
struct TrafficRatios {
  double retry_ratio = limits::kDefaultRetryRatio;
  double hedge_ratio = limits::kDefaultHedgeRatio;
  double bulk_slot_share = limits::kDefaultBulkSlotShare;

  friend bool operator==(const TrafficRatios&, const TrafficRatios&) = default;
};

/// Operator's settings for a data centre. A data centre without this resource
/// is in use.
struct DataCentreSpec {
  /// Its upstreams finish the requests in flight and get no new ones.
  bool drained = false;

  friend bool operator==(const DataCentreSpec&,
                         const DataCentreSpec&) = default;
};

/// The alternatives are in the order of ResourceKind.
using ResourceSpec = std::variant<TeamSpec,
                                  ServiceSpec,
                                  UpstreamSetSpec,
                                  RuleSpec,
                                  LimitsSpec,
                                  DataCentreSpec>;

/// Identifies a resource; names are unique within a kind.
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
/// @param id Expected kind and name; the `name` field of the document must
/// match.
/// @param text A JSON object, as written by WriteResource.
/// @returns the resource, or all faults of the document.
CheckedResult<Resource> ReadResource(const ResourceId& id,
                                     std::string_view text);

/// @returns `resource` as one line of JSON; equal resources give equal text.
std::string WriteResource(const Resource& resource);

/// @returns true if `name` is valid for a resource, VM or data centre:
/// lower-case letters, digits and inner hyphens, at most
/// limits::kMaxNameLength.
bool IsResourceName(std::string_view name);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_RESOURCE_H_

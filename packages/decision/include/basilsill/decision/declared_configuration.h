#ifndef BASILSILL_DECISION_DECLARED_CONFIGURATION_H_
#define BASILSILL_DECISION_DECLARED_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "basilsill/base/error.h"
#include "basilsill/decision/configuration.h"
#include "basilsill/decision/data_centre_drains.h"
#include "basilsill/decision/upstream_registry.h"

/// Configuration of installations whose platform declares it completely: one
/// document with all routes, and a registry in which upstreams list themselves.
/// It is converted to the same state that other installations build from their
/// log, so that both kinds of installation share the view builder and the
/// decision code.

namespace basilsill {

/// Whether a request of a route may be executed more than once.
enum class RouteKind : uint8_t {
  kSafe,      ///< May run more than once.
  kUnsafe,    ///< Runs at most once.
  kDownload,  ///< May run more than once; its answers are long.
  kCount
};

struct DeclaredRoute {
  std::string name;
  std::string host;         ///< Lower case.
  std::string path_prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kUnsafe;
  std::vector<WeightedServiceName> services;  ///< Several for a traffic split.
  std::chrono::milliseconds timeout{0};
  std::chrono::milliseconds target_latency{0};
  uint8_t max_attempts = 1;
  uint32_t priority = 0;  ///< 0 is the most urgent.
  bool requires_api_key = false;
};

struct DeclaredTeam {
  std::string name;
  std::vector<ApiKeyDigest> api_keys;
  /// Overrides the priority of the route if set.
  std::optional<uint32_t> priority;
  double requests_per_second = 0;  ///< 0 is no limit.
  double burst = 0;
};

struct DeclaredService {
  std::string name;
  std::string health_path;
  ColdStartLimits cold{};
};

struct DeclaredConfiguration {
  uint64_t version = 0;
  std::vector<DeclaredRoute> routes;
  std::vector<DeclaredService> services;
  std::vector<DeclaredTeam> teams;
  CallerLimits callers;
};

/// All inputs that declare an installation.
struct DeclaredSources {
  const DeclaredConfiguration& configuration;  ///< Passed CheckDeclared.
  UpstreamRegistry& upstreams;
  const DataCentreDrains& drains;
};

/// @returns the errors in `configuration`: a reference to an undeclared
/// service, a duplicate name, a route without a service, or an API key that two
/// teams share. Empty if the configuration is valid.
std::vector<Failure> CheckDeclared(const DeclaredConfiguration& configuration);

/// The state from which routing views are built. The cost of an upstream change
/// depends on the size of its set, not on the number of all upstreams. A full
/// update with 3,000 upstreams takes 3 ms of a core, and would be repeated on
/// every VM ten times a second while many upstreams change.
class DeclaredState {
 public:
  /// Updates the state from `sources`.
  /// @param sources Must refer to the same registry and drains at each call.
  /// Entries of services that the configuration does not declare are left out.
  void Update(const DeclaredSources& sources);

  /// @returns true if an update would change nothing.
  bool IsCurrent(const DeclaredSources& sources) const;

  const ConfigurationState& state() const { return this->current; }

 private:
  void DeclareAll(const DeclaredConfiguration& configuration,
                  const UpstreamRegistry& upstreams);
  void DeclareSets(const std::set<UpstreamSetKey>& changed_sets,
                   const UpstreamRegistry& upstreams);
  void DeclareDrains(const DataCentreDrains& drains);

  std::optional<uint64_t> configuration_version;
  uint64_t drains_version = 0;
  uint64_t upstreams_version = 0;
  std::set<std::string, std::less<>> services;
  uint64_t updates = 0;
  ConfigurationState current;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_DECLARED_CONFIGURATION_H_

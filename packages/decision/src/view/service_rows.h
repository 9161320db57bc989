#ifndef BASILSILL_DECISION_SRC_SERVICE_ROWS_H_
#define BASILSILL_DECISION_SRC_SERVICE_ROWS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "basilsill/decision/configuration.h"
#include "basilsill/decision/view.h"
#include "name_table.h"

/// Builds the service rows of successive views. A row is rebuilt only if the
/// service, one of its upstream sets or the owners of its shards changed.
/// Otherwise successive views share it.

namespace basilsill {

class ServiceRows {
 public:
  /// Fills `view.services`.
  /// @param view Its VMs, teams and data centres must be set.
  /// @param vms_changed Whether the owners of shards may differ from those in
  /// the previous view.
  void Build(const ConfigurationState& configuration,
             bool vms_changed,
             RoutingView& view);

  /// @returns the number of instances that the last view leaves out, because it
  /// has no row for their data centre.
  size_t excluded_instances() const { return this->excluded; }

  /// @returns the handle of service `name`, invalid if it has none.
  ServiceHandle Find(std::string_view name) const {
    return this->names.Find(name);
  }

 private:
  // An upstream set with its data centre in the view.
  struct PlacedSet {
    const UpstreamSetSpec* spec = nullptr;
    DataCentreHandle data_centre;
    bool drained = false;
  };

  // State of a service that is kept from one view to the next.
  struct CachedService {
    uint64_t signature = 0;  // Of the inputs that `row` was built from.
    std::shared_ptr<const ServiceRow> row;
    std::map<std::string, UpstreamHandle> upstreams;  // By KeyOfInstance().
  };

  // Inputs for the row of one service in one build.
  struct Plan {
    const ResourceEntry* service = nullptr;
    std::vector<PlacedSet> sets;
    uint64_t signature = 0;
    bool is_changed = false;
  };
  using Plans = std::map<std::string_view, Plan>;

  static size_t CountUnplaced(const Plan& plan);
  Plans MakePlans(const ConfigurationState& configuration,
                  const RoutingView& view) const;
  void ReleaseRemoved(const Plans& plans);
  void MarkRetained(const Plan& plan, const CachedService& cached);
  void ReleaseUnmarked(CachedService& cached);
  std::shared_ptr<const ServiceRow> MakeRow(const Plan& plan,
                                            const RoutingView& view,
                                            CachedService& cached);
  void AddSet(const PlacedSet& set, CachedService& cached, ServiceRow& row);

  NameTable<ServiceTag> names{limits::kMaxServices};
  HandleTable<uint64_t, UpstreamTag> upstreams{limits::kMaxUpstreams};
  std::map<std::string, CachedService, std::less<>> cached_services;
  uint64_t round = 0;
  size_t excluded = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SRC_SERVICE_ROWS_H_

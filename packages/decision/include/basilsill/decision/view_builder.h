#ifndef BASILSILL_DECISION_VIEW_BUILDER_H_
#define BASILSILL_DECISION_VIEW_BUILDER_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "basilsill/decision/configuration.h"
#include "basilsill/decision/view.h"

/// Builds routing views from configuration state and membership.

namespace basilsill {

/// Membership data for a view; the view uses its handles unchanged.
struct MembershipRows {
  const std::vector<VmRow>& vms;                   ///< Indexed by handle.
  const std::vector<DataCentreRow>& data_centres;  ///< Indexed by handle.
  VmHandle self;
};

/// Keeps the handles of teams, services, rules and upstreams stable from one
/// view to the next, and shares the rows of unchanged services. Used by the
/// control thread only.
class ViewBuilder {
 public:
  static std::unique_ptr<ViewBuilder> Create();
  virtual ~ViewBuilder() = default;

  /// @param membership Should have a row for each of
  /// `configuration.DataCentres()`; instances in other data centres are
  /// excluded from the view.
  virtual RoutingViewPtr Build(const ConfigurationState& configuration,
                               const MembershipRows& membership) = 0;

  /// @returns the number of instances excluded from the last view.
  virtual size_t excluded_instances() const = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_VIEW_BUILDER_H_

#ifndef BASILSILL_DECISION_VIEW_BUILDER_H_
#define BASILSILL_DECISION_VIEW_BUILDER_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "basilsill/decision/configuration.h"
#include "basilsill/decision/view.h"

/// Makes routing views out of folded configuration and membership.

namespace basilsill {

/// What membership gives for a view; its handles are taken over as they are.
struct MembershipRows {
  const std::vector<VmRow>& vms;                   ///< By handle.
  const std::vector<DataCentreRow>& data_centres;  ///< By handle.
  VmHandle self;
};

/// Keeps the handles of teams, services, rules and upstreams from one view to
/// the next, and shares the rows of services that did not change. Belongs to
/// the control thread.
class ViewBuilder {
 public:
  static std::unique_ptr<ViewBuilder> Create();
  virtual ~ViewBuilder() = default;

  /// @param membership Should have a row for each of
  /// `configuration.DataCentres()`; instances in other data centres are left
  /// out.
  virtual RoutingViewPtr Build(const ConfigurationState& configuration,
                               const MembershipRows& membership) = 0;

  /// @returns how many instances the last view leaves out.
  virtual size_t excluded_instances() const = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_VIEW_BUILDER_H_

#ifndef BASILSILL_DECISION_MECHANISM_H_
#define BASILSILL_DECISION_MECHANISM_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "basilsill/base/error.h"
#include "basilsill/decision/dispatch.h"
#include "basilsill/decision/entry.h"

/// The mechanisms of the decision code by name. Each can be switched off, so
/// that an operator can rule it out as a cause, and so that its effect can be
/// measured in simulations and load tests.

namespace basilsill {

/// The mechanisms that are switched on.
struct PolicyFeatures {
  DispatcherFeatures dispatcher;
  EntryFeatures entry;
  bool quarantine = true;    ///< Refuse requests that crashed upstreams.
  bool hold_answers = true;  ///< Buffer answers until they are complete.
  /// Running VMs register starting VMs and send them the state.
  bool shared_start = true;
};

/// One mechanism.
struct Mechanism {
  std::string_view name;
  std::string_view doc;  ///< Short description.
  /// @returns the flag of the mechanism in `features`.
  bool& (*flag)(PolicyFeatures& features);
};

/// @returns all mechanisms.
std::span<const Mechanism> AllMechanisms();

/// Switches mechanisms off.
/// @param names Mechanisms to switch off, separated by commas; empty: none.
/// @returns the resulting features, or kOutOfRange with the first unknown name.
Result<PolicyFeatures> FeaturesWithout(std::string_view names);

/// @returns the names of the mechanisms that are off, separated by commas.
std::string NamesOff(const PolicyFeatures& features);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_MECHANISM_H_

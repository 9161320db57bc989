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
/// that an operator can rule one out, and so that what each is worth can be
/// measured in the model and in real runs.

namespace basilsill {

/// Which mechanisms are on.
struct PolicyFeatures {
  DispatcherFeatures dispatcher;
  EntryFeatures entry;
  bool quarantine = true;    ///< What killed upstreams is refused for a while.
  bool hold_answers = true;  ///< Answers are held until they are whole.
  /// VMs that start are announced and told by others.
  bool shared_start = true;
};

/// One mechanism.
struct Mechanism {
  std::string_view name;
  std::string_view doc;  ///< What it does, for pages and `--help`.
  /// @returns its flag in `features`.
  bool& (*flag)(PolicyFeatures& features);
};

/// @returns all mechanisms.
std::span<const Mechanism> AllMechanisms();

/// Switches mechanisms off.
/// @param names Separated by commas; empty: none.
/// @returns what is on, or kOutOfRange with the first name that is not known.
Result<PolicyFeatures> FeaturesWithout(std::string_view names);

/// @returns the names of all that is off in `features`, separated by commas.
std::string NamesOff(const PolicyFeatures& features);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_MECHANISM_H_

#ifndef BASILSILL_CTL_RESOURCE_ANSWER_H_
#define BASILSILL_CTL_RESOURCE_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilsill/base/error.h"

/// Answers of a node's resource API. docs/RESOURCE-API.md is the contract.

namespace basilsill::ctl {

/// A resource as a node knows it.
struct ResourceAnswer {
  std::string kind;  ///< As paths have it: "teams", "rules".
  std::string name;
  uint64_t version = 0;
  std::string accepted_at;
  std::vector<std::string> in_force_on;  ///< Names of VMs.
  bool in_force = false;                 ///< On every live VM.
  std::string body;                      ///< The spec, JSON.
  std::string whole;                     ///< The whole answer, JSON.
};

struct ResourceList {
  uint64_t next = 0;  ///< Where a watch goes on without a gap.
  std::vector<ResourceAnswer> resources;
};

/// @returns kSyntax for anything that the contract does not allow.
Result<ResourceAnswer> ParseResource(std::string_view body);
Result<ResourceList> ParseResourceList(std::string_view body);

/// Reads `{"failures": [...]}`. A kind that this build does not know becomes
/// FailureKind::kCount, with its name in the detail.
/// @returns the failures; one that quotes `status` if the body has none.
std::vector<Failure> ParseFailures(unsigned status, std::string_view body);

/// @returns true if the JSON texts hold equal values.
bool IsSameJson(std::string_view a, std::string_view b);

/// Kinds in the order that lists show them, as paths have them.
inline constexpr std::string_view kResourceKinds[] = {
    "teams", "services", "upstream-sets", "rules", "limits", "data-centres"};

/// @returns the kind that `text` names in the plural or the singular.
std::optional<std::string_view> ResourceKindNamed(std::string_view text);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_RESOURCE_ANSWER_H_

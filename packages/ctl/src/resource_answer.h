#ifndef BASILSILL_CTL_RESOURCE_ANSWER_H_
#define BASILSILL_CTL_RESOURCE_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilsill/base/error.h"

/// Parser for answers of a node's resource API, which docs/RESOURCE-API.md
/// specifies.

namespace basilsill::ctl {

/// A resource with its status, as a node reports it.
struct ResourceAnswer {
  std::string kind;  ///< As in paths, for example "teams" or "rules".
  std::string name;
  uint64_t version = 0;
  std::string accepted_at;
  std::vector<std::string> in_force_on;  ///< Names of VMs.
  bool in_force = false;                 ///< True if it is on every live VM.
  std::string body;                      ///< The spec, JSON.
  std::string whole;                     ///< The complete answer, JSON.
};

/// The resources of one kind.
struct ResourceList {
  uint64_t next = 0;  ///< Offset at which a watch continues without a gap.
  std::vector<ResourceAnswer> resources;
};

/// @returns kSyntax for an answer that does not conform to the specification.
Result<ResourceAnswer> ParseResource(std::string_view body);
Result<ResourceList> ParseResourceList(std::string_view body);

/// Reads `{"failures": [...]}`. A kind that this build does not know becomes
/// FailureKind::kCount, with its name in the detail.
/// @returns the failures, or one kPlatformRejected failure with the HTTP status
/// if the body has none.
std::vector<Failure> ParseFailures(unsigned status, std::string_view body);

/// @returns true if both texts are valid JSON and have equal values.
bool IsSameJson(std::string_view a, std::string_view b);

/// Resource kinds as in paths, in the order of ResourceKind and of lists.
inline constexpr std::string_view kResourceKinds[] = {
    "teams", "services", "upstream-sets", "rules", "limits", "data-centres"};

/// @returns the kind whose plural or singular is `text`, or nothing.
std::optional<std::string_view> FindResourceKind(std::string_view text);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_RESOURCE_ANSWER_H_

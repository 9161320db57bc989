#include "basilsill/decision/resource.h"

#include <algorithm>
#include <array>

namespace basilsill {
namespace {

constexpr std::array<std::string_view,
                     static_cast<size_t>(ResourceKind::kCount)>
    kKindNames = {"team", "service", "upstream-set",
                  "rule", "limits",  "data-centre"};

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

}  // namespace

std::string_view NameOf(ResourceKind kind) {
  return kKindNames.at(static_cast<size_t>(kind));
}

std::optional<ResourceKind> ResourceKindOf(std::string_view name) {
  const auto found = std::find(kKindNames.begin(), kKindNames.end(), name);
  if (found == kKindNames.end()) {
    return std::nullopt;
  }
  return static_cast<ResourceKind>(found - kKindNames.begin());
}

bool IsResourceName(std::string_view name) {
  return !name.empty() && name.size() <= limits::kMaxNameLength &&
         name.front() != '-' && name.back() != '-' &&
         std::all_of(name.begin(), name.end(), IsNameCharacter);
}

}  // namespace basilsill

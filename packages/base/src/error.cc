#include "basilsill/base/error.h"

#include <array>
#include <utility>

namespace basilsill {
namespace {

constexpr std::array<std::string_view, static_cast<size_t>(FailureKind::kCount)>
    kFailureNames = {
        "unreadable",
        "syntax",
        "unknown-field",
        "missing-field",
        "wrong-type",
        "out-of-range",
        "duplicate",
        "dangling-reference",
        "in-use",
        "conflict",
        "not-found",
        "limit-reached",
        "platform-unavailable",
        "platform-rejected",
        "trimmed",
        "unresolved",
        "malformed-frame",
        "oversized-frame",
        "version-mismatch",
        "network",
        "internal",
};

}  // namespace

std::string_view FailureName(FailureKind kind) {
  const auto index = static_cast<size_t>(kind);
  return index < kFailureNames.size() ? kFailureNames[index] : "invalid";
}

std::string ToString(const Failure& failure) {
  std::string text(FailureName(failure.kind));
  if (!failure.path.empty()) {
    text += " at " + failure.path;
  }
  if (!failure.detail.empty()) {
    text += ": " + failure.detail;
  }
  return text;
}

FailureError::FailureError(Failure failure)
    : reported(std::move(failure)), text(ToString(this->reported)) {}

const char* FailureError::what() const noexcept {
  return this->text.c_str();
}

}  // namespace basilsill

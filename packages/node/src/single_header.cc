#include "single_header.h"

#include <cmath>
#include <utility>

#include "basilsill/base/text.h"

namespace basilsill {

Result<std::optional<std::string_view>> FindSingleHeader(
    const HttpFields& fields,
    const std::string& name) {
  const auto found = name.empty() ? fields.end() : fields.find(name);
  if (found == fields.end()) {
    return std::optional<std::string_view>();
  }
  if (fields.count(name) > 1) {
    return Failure{FailureKind::kDuplicate, name,
                   "header appears more than once"};
  }
  return std::optional<std::string_view>(std::in_place, found->value().data(),
                                         found->value().size());
}

Result<std::optional<double>> ParseDecimalHeader(const HttpFields& fields,
                                                 const std::string& name) {
  const Result<std::optional<std::string_view>> text =
      FindSingleHeader(fields, name);
  if (!text) {
    return text.error();
  }
  if (!text.value()) {
    return std::optional<double>();
  }
  const std::optional<double> number =
      ParseNumber<double>(*text.value(), std::chars_format::fixed);
  if (!number) {
    return Failure{FailureKind::kSyntax, name, "expected a decimal number"};
  }
  if (!std::isfinite(*number) || *number < 0) {
    return Failure{FailureKind::kOutOfRange, name,
                   "expected a finite number of at least 0"};
  }
  return number;
}

}  // namespace basilsill

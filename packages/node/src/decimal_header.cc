#include "decimal_header.h"

#include <cmath>
#include <string_view>

#include "basilsill/base/text.h"

namespace basilsill {

Result<std::optional<double>> ParseDecimalHeader(const HttpFields& fields,
                                                 const std::string& name) {
  const auto found = name.empty() ? fields.end() : fields.find(name);
  if (found == fields.end()) {
    return std::optional<double>();
  }
  if (fields.count(name) > 1) {
    return Failure{FailureKind::kDuplicate, name,
                   "header appears more than once"};
  }
  const std::string_view text(found->value().data(), found->value().size());
  const std::optional<double> number =
      ParseNumber<double>(text, std::chars_format::fixed);
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

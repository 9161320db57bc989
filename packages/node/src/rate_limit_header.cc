#include "rate_limit_header.h"

#include <cmath>
#include <optional>
#include <string_view>

#include "basilsill/base/text.h"
#include "basilsill/node/log.h"

namespace basilsill {

Result<AdvertisedRateLimit> ParseRateLimit(const HttpFields& answer,
                                           const std::string& name) {
  if (name.empty()) {
    return AdvertisedRateLimit{RateLimitPresence::kNone, 0};
  }
  const auto found = answer.find(name);
  if (found == answer.end()) {
    return AdvertisedRateLimit{RateLimitPresence::kNone, 0};
  }
  if (answer.count(name) > 1) {
    return Failure{FailureKind::kDuplicate, name,
                   "header appears more than once"};
  }
  const std::string_view text(found->value().data(), found->value().size());
  const std::optional<double> limit =
      ParseNumber<double>(text, std::chars_format::fixed);
  if (!limit) {
    return Failure{FailureKind::kSyntax, name, "expected a decimal number"};
  }
  if (!std::isfinite(*limit) || *limit < 0) {
    return Failure{FailureKind::kOutOfRange, name,
                   "expected a finite number of at least 0"};
  }
  return AdvertisedRateLimit{RateLimitPresence::kNamed, *limit};
}

AdvertisedRateLimit ReadRateLimit(const HttpFields& answer,
                                  const std::string& name,
                                  const Endpoint& upstream) {
  const Result<AdvertisedRateLimit> parsed = ParseRateLimit(answer, name);
  if (parsed) {
    return parsed.value();
  }
  const std::string endpoint = ToString(upstream);
  Log(Event::kRateLimitMalformed, {{"upstream", endpoint},
                                   {"fault", parsed.error().kind},
                                   {"detail", parsed.error().detail}});
  return {};
}

}  // namespace basilsill

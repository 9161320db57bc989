#include "rate_limit_header.h"

#include <optional>

#include "basilsill/node/log.h"
#include "single_header.h"

namespace basilsill {

Result<AdvertisedRateLimit> ParseRateLimit(const HttpFields& answer,
                                           const std::string& name) {
  const Result<std::optional<double>> limit = ParseDecimalHeader(answer, name);
  if (!limit) {
    return limit.error();
  }
  if (!limit.value()) {
    return AdvertisedRateLimit{RateLimitPresence::kNone, 0};
  }
  return AdvertisedRateLimit{RateLimitPresence::kNamed, *limit.value()};
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

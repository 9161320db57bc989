#include "upstream_notice_header.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/status.hpp>

#include "basilsill/base/limits.h"
#include "basilsill/node/log.h"
#include "single_header.h"

namespace basilsill {
namespace {

constexpr char kRetryAfter[] = "Retry-After";
constexpr auto kUnavailable =
    static_cast<unsigned>(boost::beast::http::status::service_unavailable);

void LogMalformed(const Endpoint& upstream, const Failure& failure) {
  const std::string endpoint = ToString(upstream);
  Log(Event::kNoticeMalformed, {{"upstream", endpoint},
                                {"header", failure.path},
                                {"fault", failure.kind},
                                {"detail", failure.detail}});
}

}  // namespace

Result<bool> ParseLeaving(const HttpFields& answer, const std::string& name) {
  const Result<std::optional<std::string_view>> text =
      FindSingleHeader(answer, name);
  if (!text) {
    return text.error();
  }
  const std::string_view value = text.value().value_or("0");
  if (value == "1" || value == "true") {
    return true;
  }
  if (value == "0" || value == "false") {
    return false;
  }
  return Failure{FailureKind::kSyntax, name, "expected 1, 0, true or false"};
}

Result<Duration> ParseRest(const HttpFields& answer, unsigned status) {
  if (status != kUnavailable) {
    return Duration(0);
  }
  const Result<std::optional<double>> seconds =
      ParseDecimalHeader(answer, kRetryAfter);
  if (!seconds) {
    return seconds.error();
  }
  const std::chrono::duration<double> longest(limits::kMaxUpstreamRest);
  const std::chrono::duration<double> rest(seconds.value().value_or(0));
  return std::chrono::duration_cast<Duration>(std::min(rest, longest));
}

UpstreamNotice ReadNotice(const HttpFields& answer,
                          unsigned status,
                          const HeaderNames& names,
                          const Endpoint& upstream) {
  UpstreamNotice notice;
  const Result<bool> leaving = ParseLeaving(answer, names.leaving);
  if (leaving) {
    notice.leaving = leaving.value();
  } else {
    LogMalformed(upstream, leaving.error());
  }
  const Result<Duration> rest = ParseRest(answer, status);
  if (rest) {
    notice.rest = rest.value();
  } else {
    LogMalformed(upstream, rest.error());
  }
  return notice;
}

}  // namespace basilsill

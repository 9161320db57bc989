#include "upstream_notice_header.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/status.hpp>

#include "basilsill/base/limits.h"
#include "basilsill/node/log.h"
#include "decimal_header.h"

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
  const auto found = name.empty() ? answer.end() : answer.find(name);
  if (found == answer.end()) {
    return false;
  }
  if (answer.count(name) > 1) {
    return Failure{FailureKind::kDuplicate, name,
                   "header appears more than once"};
  }
  const std::string_view text(found->value().data(), found->value().size());
  if (text == "1" || text == "true") {
    return true;
  }
  if (text == "0" || text == "false") {
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

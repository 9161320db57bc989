#include "load_check.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "basilsill/base/http_status.h"
#include "basilsill/base/text.h"
#include "upstream_request.h"

namespace basilsill::ctl {
namespace {

namespace json = boost::json;

constexpr unsigned kFirstErrorStatus = 400;
constexpr size_t kMaxBodyStartBytes = 4096;
constexpr std::string_view kUpstreamRefusal = "upstream-refused";

// Returns the retry delay of a refusal. The body takes precedence because it
// gives milliseconds; the Retry-After header only gives whole seconds.
std::optional<Duration> RetryAfter(const LoadResponseHead& head,
                                   const std::string& body) {
  json::error_code error;
  const json::value value = json::parse(body, error);
  if (!error && value.is_object()) {
    const json::value* field = value.get_object().if_contains("retry_after_ms");
    if (field != nullptr && field->is_int64() && field->get_int64() >= 0) {
      return std::chrono::milliseconds(field->get_int64());
    }
  }
  if (const auto delay = ParseNumber<uint64_t>(head.retry_after)) {
    return std::chrono::seconds(std::min<uint64_t>(*delay, 3600));
  }
  return std::nullopt;
}

}  // namespace

LoadResponseCheck::LoadResponseCheck(LoadExpectation expectation)
    : expected(std::move(expectation)),
      pattern(PatternSeed(this->expected.tag)) {}

void LoadResponseCheck::AddBody(std::span<const char> bytes) {
  this->pattern.Add(bytes);
  this->digest.Add(bytes);
  if (this->body_start.size() < kMaxBodyStartBytes) {
    const size_t room = kMaxBodyStartBytes - this->body_start.size();
    this->body_start.append(bytes.data(), std::min(room, bytes.size()));
  }
}

LoadAttemptResult LoadResponseCheck::Finish(
    const LoadResponseHead& head) const {
  LoadAttemptResult result;
  if (!IsFinalStatus(head.status)) {
    result.verdict = LoadVerdict::kMalformed;
  } else if (head.status >= kFirstErrorStatus) {
    result = this->ClassifyErrorResponse(head);
  } else {
    result.verdict = this->CheckUpstreamResponse(head);
  }
  result.status = head.status;
  result.bytes = this->pattern.size();
  return result;
}

LoadVerdict LoadResponseCheck::CheckUpstreamResponse(
    const LoadResponseHead& head) const {
  if (head.tag != this->expected.tag || head.upstream.empty()) {
    return LoadVerdict::kWrongTag;
  }
  if (!this->expected.upload_digest.empty() &&
      head.received_digest != this->expected.upload_digest) {
    return LoadVerdict::kWrongUpload;
  }
  if (!this->expected.has_body) {
    return LoadVerdict::kRight;
  }
  if (head.digest != this->digest.Text()) {
    return LoadVerdict::kWrongDigest;
  }
  const bool size_right =
      !this->expected.size || *this->expected.size == this->pattern.size();
  return this->pattern.matches() && size_right ? LoadVerdict::kRight
                                               : LoadVerdict::kWrongBody;
}

LoadAttemptResult LoadResponseCheck::ClassifyErrorResponse(
    const LoadResponseHead& head) const {
  LoadAttemptResult result;
  result.verdict = LoadVerdict::kRefused;
  result.retry_after = RetryAfter(head, this->body_start);
  if (head.refused == "1") {
    result.reason = kUpstreamRefusal;
    result.promise = Promise::kNotRun;
    return result;
  }
  const bool not_run = head.promise == NameOf(Promise::kNotRun);
  const bool unknown = head.promise == NameOf(Promise::kUnknown);
  if (head.reason.empty() || (!not_run && !unknown)) {
    result.verdict = LoadVerdict::kUnexplained;
  }
  result.reason = head.reason;
  result.promise = not_run ? Promise::kNotRun : Promise::kUnknown;
  return result;
}

std::optional<uint64_t> ExpectedSize(std::string_view path, size_t body_bytes) {
  if (path == kEchoPath) {
    return body_bytes;
  }
  if (path.starts_with(kBytesPath)) {
    return ParseNumber<uint64_t>(path.substr(kBytesPath.size()));
  }
  return std::nullopt;
}

}  // namespace basilsill::ctl

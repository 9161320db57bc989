#ifndef BASILSILL_CTL_LOAD_CHECK_H_
#define BASILSILL_CTL_LOAD_CHECK_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "basilsill/base/reason.h"
#include "basilsill/ctl/load.h"
#include "upstream_body.h"

/// Decides whether a response is complete and belongs to its request.

namespace basilsill::ctl {

/// Properties of the right response that are known before it arrives.
struct LoadExpectation {
  std::string tag;
  std::optional<uint64_t> size;  ///< Unset for an upstream's default response.
  std::string upload_digest;     ///< Empty if nothing is uploaded.
  bool has_body = true;          ///< False for HEAD.
};

/// Status and header fields that the check reads; absent fields are empty.
struct LoadResponseHead {
  unsigned status = 0;
  std::string_view upstream;
  std::string_view tag;
  std::string_view digest;
  std::string_view received_digest;
  std::string_view promise;
  std::string_view reason;
  std::string_view retry_after;
  std::string_view refused;
};

/// Result of one attempt.
struct LoadAttemptResult {
  LoadVerdict verdict = LoadVerdict::kTimedOut;
  unsigned status = 0;  ///< HTTP status; 0 if there was no response.
  std::string reason;   ///< Reason of a refusal.
  Promise promise = Promise::kUnknown;
  std::optional<Duration> retry_after;
  uint64_t bytes = 0;  ///< Of the response body.
};

/// Checks one response as it arrives.
class LoadResponseCheck {
 public:
  explicit LoadResponseCheck(LoadExpectation expectation = {});

  /// @param bytes The next part of the response body.
  void AddBody(std::span<const char> bytes);

  /// Called when the response is complete.
  /// @returns the result of the attempt.
  LoadAttemptResult Finish(const LoadResponseHead& head) const;

  uint64_t size() const { return this->pattern.size(); }

 private:
  LoadVerdict CheckUpstreamResponse(const LoadResponseHead& head) const;
  LoadAttemptResult ClassifyErrorResponse(const LoadResponseHead& head) const;

  LoadExpectation expected;
  PatternCheck pattern;
  BodyDigest digest;
  std::string
      body_start;  ///< First bytes of the body, with the details of refusals.
};

/// @returns the size in bytes of the body that an emulated upstream returns for
/// `path`, or std::nullopt if it depends on the settings of the upstream.
/// @param body_bytes Size of the uploaded body.
std::optional<uint64_t> ExpectedSize(std::string_view path, size_t body_bytes);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_LOAD_CHECK_H_

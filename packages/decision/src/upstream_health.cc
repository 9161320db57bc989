#include "upstream_health.h"

#include <algorithm>
#include <cmath>

namespace basilsill {
namespace {

// Evidence is a logarithm of a likelihood ratio. One sample counts only so
// much, whatever its time was. At 14, five bad samples in a row or two requests
// that hang mark an upstream; with service times as scattered as a lognormal
// distribution of sigma 1, a mark by chance is rare.
constexpr double kMarkThreshold = 14;
constexpr double kClearThreshold = 1.5;
constexpr double kMaxEvidence = 17;
constexpr double kMaxSampleEvidence = 3;
constexpr double kMinSampleEvidence = -2;
constexpr double kMaxAgeEvidence = 7;

// A slow upstream may be so slow that nothing ever ends there. Without this
// share, requests older than all that were seen would be no evidence at all.
constexpr double kHangShare = 0.2;
constexpr double kSlowFactor = 4;
constexpr double kFailingShare = 0.5;
constexpr double kMinErrorRate = 0.02;
constexpr double kMaxErrorRate = 0.3;
constexpr std::chrono::duration<double> kFadeTime{10};

}  // namespace

void UpstreamHealth::OnAnswer(double log_ratio,
                              double spread,
                              double error_rate) {
  const double shift = std::log(kSlowFactor);
  const double step = shift / (spread * spread) * (log_ratio - shift / 2);
  this->slow = std::clamp(
      this->slow + std::clamp(step, kMinSampleEvidence, kMaxSampleEvidence),
      0.0, kMaxEvidence);
  const double rate = std::clamp(error_rate, kMinErrorRate, kMaxErrorRate);
  const double good = std::log((1 - kFailingShare) / (1 - rate));
  this->failing = std::max(0.0, this->failing + good);
}

void UpstreamHealth::OnCancelled(double evidence) {
  this->slow = std::min(kMaxEvidence, this->slow + evidence);
}

void UpstreamHealth::OnError(double error_rate) {
  const double rate = std::clamp(error_rate, kMinErrorRate, kMaxErrorRate);
  const double step =
      std::min(std::log(kFailingShare / rate), kMaxSampleEvidence);
  this->failing = std::min(kMaxEvidence, this->failing + step);
}

UpstreamGrade UpstreamHealth::Evaluate(double running) {
  this->running_slow = running;
  const double slowest = this->slow + running;
  const bool was_failing = this->current == UpstreamGrade::kFailing;
  const bool was_slow = this->current == UpstreamGrade::kSlow;
  if (this->failing >= (was_failing ? kClearThreshold : kMarkThreshold)) {
    return UpstreamGrade::kFailing;
  }
  return slowest >= (was_slow ? kClearThreshold : kMarkThreshold)
             ? UpstreamGrade::kSlow
             : UpstreamGrade::kFull;
}

double EvidenceOfAge(double share_longer, double share_longer_if_slow) {
  const double if_slow = std::max(share_longer_if_slow, kHangShare);
  return std::clamp(std::log(if_slow / share_longer), 0.0, kMaxAgeEvidence);
}

double ShareKeptAfter(Duration elapsed) {
  return std::exp(-elapsed / kFadeTime);
}

double SlowFactor() {
  return kSlowFactor;
}

}  // namespace basilsill

#include "upstream_health.h"

#include <algorithm>
#include <cmath>

namespace basilsill {
namespace {

// Evidence is the logarithm of a likelihood ratio. The effect of one sample is
// limited, whatever its duration. With a threshold of 14, five bad samples in a
// row or two hanging requests mark an upstream. Marks by chance are rare, even
// if service times vary like a lognormal distribution with a sigma of 1.
constexpr double kMarkThreshold = 14;
constexpr double kClearThreshold = 1.5;
constexpr double kMaxEvidence = 17;
constexpr double kMaxSampleEvidence = 3;
constexpr double kMinSampleEvidence = -2;
constexpr double kMaxAgeEvidence = 7;

// Assumed share of requests that never end at a slow upstream. Without it,
// requests older than all samples would be no evidence at all.
constexpr double kHangShare = 0.2;
constexpr double kSlowFactor = 4;
constexpr double kFailingShare = 0.5;
constexpr double kMinErrorRate = 0.02;
constexpr double kMaxErrorRate = 0.3;
constexpr std::chrono::duration<double> kEvidenceDecayTime{10};

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

double EvidenceDecayFactor(Duration elapsed) {
  return std::exp(-elapsed / kEvidenceDecayTime);
}

double SlowFactor() {
  return kSlowFactor;
}

}  // namespace basilsill

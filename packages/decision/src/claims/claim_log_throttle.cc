#include "claim_log_throttle.h"

#include <algorithm>

namespace basilsill {
namespace {

constexpr double kMinBurst = 4;
constexpr double kMinRate = 0.1;
constexpr uint32_t kFailureThreshold = 3;
constexpr Duration kBackoffMin = std::chrono::milliseconds(50);
constexpr Duration kBackoffMax = std::chrono::seconds(1);
constexpr uint32_t kMaxDoublings = 5;
constexpr int kLatencySmoothing = 4;

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void AppendBudget::SetRate(TimePoint now, double per_second, Duration burst) {
  this->Refill(now);
  this->rate = std::max(per_second, kMinRate);
  this->capacity = std::max(this->rate * SecondsOf(burst), kMinBurst);
  this->tokens = std::min(this->tokens, this->capacity);
}

bool AppendBudget::TryTake(TimePoint now) {
  if (!this->HasToken(now)) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

bool AppendBudget::HasToken(TimePoint now) {
  this->Refill(now);
  return this->tokens >= 1;
}

bool AppendBudget::IsAtLeastHalfFull(TimePoint now) {
  this->Refill(now);
  return this->tokens >= this->capacity / 2;
}

TimePoint AppendBudget::NextToken(TimePoint now) {
  if (this->HasToken(now)) {
    return now;
  }
  const std::chrono::duration<double> missing((1 - this->tokens) / this->rate);
  // One clock step later, so that rounding never yields a time at which the
  // token is not quite complete.
  return now + std::chrono::ceil<std::chrono::microseconds>(missing) +
         std::chrono::microseconds(1);
}

void AppendBudget::Refill(TimePoint now) {
  if (now > this->refilled) {
    const double earned = this->rate * SecondsOf(now - this->refilled);
    this->tokens = std::min(this->capacity, this->tokens + earned);
    this->refilled = now;
  }
}

void LogHealth::OnSuccess(Duration latency) {
  this->failures = 0;
  this->retry_at = TimePoint();
  this->smoothed += (latency - this->smoothed) / kLatencySmoothing;
}

void LogHealth::OnFailure(TimePoint now) {
  const uint32_t doublings = std::min(this->failures, kMaxDoublings);
  ++this->failures;
  this->retry_at = now + std::min(kBackoffMin * (1 << doublings), kBackoffMax);
}

bool LogHealth::IsFailing() const {
  return this->failures >= kFailureThreshold;
}

bool LogHealth::TakeProbe(TimePoint now, Duration interval) {
  if (now < this->probe_at) {
    return false;
  }
  this->probe_at = now + interval;
  return true;
}

}  // namespace basilsill

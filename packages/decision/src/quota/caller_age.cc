#include "basilsill/decision/caller_age.h"

#include <algorithm>
#include <cmath>

namespace basilsill {
namespace {

using std::chrono::milliseconds;

// Time in which a count decays to a third. An entry thread may see few requests
// of a rule, and would forget its callers in a shorter time.
constexpr std::chrono::seconds kMemory{300};

// Fraction of the requests of a rule that send a value, from which on it is
// taken for a full time. Up to two of three requests of a rule are later
// attempts, and a rule may have callers of several kinds. A single caller that
// sends another value stays below it, unless it sends a tenth of the requests.
constexpr double kFrequentFraction = 0.1;

// A value that was sent less often than this may be that of a later attempt,
// of which hardly two are equal.
constexpr double kMinCount = 2.5;

// Callers that were refused at once come back after nearly the same time, so
// what they declare falls into a range of a few milliseconds. A full time is
// one exact value, with hardly any others around it.
constexpr milliseconds kAround{20};
constexpr double kExactFraction = 0.8;

// Part of the target that a request is assumed to need as long as it is not
// known.
constexpr int kUnknownWorkDivisor = 2;

// Rules that are counted. Beyond it, all are learned anew.
constexpr size_t kMaxRules = 1024;

// Fraction by which one answer moves the usual time of its rule.
constexpr double kWorkStep = 1.0 / 16;

// Time that a request and its answer need between the caller and the VM.
constexpr milliseconds kCallerRoundTrip{16};

uint64_t KeyOf(RuleHandle rule) {
  return uint64_t{rule.index} << 32 | rule.generation;
}

}  // namespace

void CallerAge::Decay(LeaseTime now, Rule& rule) {
  const std::chrono::duration<double> passed = now - rule.counted_at;
  const std::chrono::duration<double> memory = kMemory;
  const double factor = std::exp(-passed / memory);
  for (Slot& slot : rule.slots) {
    slot.count *= factor;
  }
  rule.total *= factor;
  rule.counted_at = now;
}

// Counts frequent values by the method of Misra and Gries: a value that has no
// slot lowers all counts if no slot is free, so rare values cancel each other.
void CallerAge::Learn(LeaseTime now, RuleHandle handle, milliseconds declared) {
  if (this->rules.size() >= kMaxRules &&
      this->rules.count(KeyOf(handle)) == 0) {
    this->rules.clear();
  }
  Rule& rule = this->rules[KeyOf(handle)];
  Decay(now, rule);
  rule.total += 1;
  Slot* smallest = rule.slots.data();
  for (Slot& slot : rule.slots) {
    if (slot.count > 0 && slot.value == declared) {
      slot.count += 1;
      return;
    }
    smallest = slot.count < smallest->count ? &slot : smallest;
  }
  const double lowered = std::min(1.0, smallest->count);
  for (Slot& slot : rule.slots) {
    slot.count -= lowered;
  }
  if (lowered < 1) {
    *smallest = {declared, 1 - lowered};
  }
}

bool CallerAge::IsFullTime(const Rule& rule, const Slot& slot) {
  if (slot.count < std::max(kMinCount, kFrequentFraction * rule.total)) {
    return false;
  }
  double around = 0;
  for (const Slot& other : rule.slots) {
    const milliseconds distance = std::chrono::abs(other.value - slot.value);
    around += distance <= kAround ? other.count : 0;
  }
  return slot.count > kExactFraction * around;
}

CallerAge::Estimate CallerAge::AgeOf(LeaseTime now,
                                     RuleHandle handle,
                                     milliseconds declared) const {
  const auto found = this->rules.find(KeyOf(handle));
  if (found == this->rules.end()) {
    return {std::nullopt, true};
  }
  Rule rule = found->second;
  Decay(now, rule);
  Estimate estimate{std::nullopt, true};
  for (const Slot& slot : rule.slots) {
    if (!IsFullTime(rule, slot)) {
      continue;
    }
    estimate.is_learning = false;
    if (slot.value >= declared) {
      const Duration age = slot.value - declared;
      estimate.age = std::min(estimate.age.value_or(age), age);
    }
  }
  return estimate;
}

void CallerAge::LearnWork(RuleHandle handle, Duration time) {
  const auto found = this->rules.find(KeyOf(handle));
  if (found == this->rules.end()) {
    return;
  }
  Duration& work = found->second.work;
  const auto step = std::chrono::duration_cast<Duration>(
      kWorkStep * std::chrono::duration<double, std::nano>(time - work));
  work = work == Duration(0) ? time : work + step;
}

Duration CallerAge::WorkOf(RuleHandle handle) const {
  const auto found = this->rules.find(KeyOf(handle));
  return found == this->rules.end() ? Duration(0) : found->second.work;
}

CreditNeed MakeCreditNeed(const CreditClaim& claim,
                          const CallerAge::Estimate& estimate,
                          Duration work) {
  CreditNeed need;
  need.traffic_class = claim.traffic_class;
  need.time_left = claim.time_left;
  const bool is_usable =
      !claim.is_malformed &&
      (!claim.declared || estimate.is_learning || estimate.age.has_value());
  if (!is_usable) {
    need.until_target = Duration(0);
    need.is_returning = true;
    return need;
  }
  const Duration age = estimate.age.value_or(Duration(0));
  need.is_returning = age > Duration(0);
  need.until_target = claim.time_left;
  if (claim.target > milliseconds(0)) {
    const Duration usual = work > Duration(0)
                               ? work
                               : Duration(claim.target) / kUnknownWorkDivisor;
    const Duration to_target = claim.target - age - usual - kCallerRoundTrip;
    need.until_target = std::min(need.until_target, to_target);
  }
  return need;
}

}  // namespace basilsill

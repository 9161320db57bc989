#include "metrics.h"

#include <chrono>
#include <ctime>

namespace basilsill {
namespace {

constexpr PerEnum<std::string_view, Outcome> kOutcomeNames = {
    "answered", "refused", "broken", "caller-gone"};
constexpr PerEnum<std::string_view, CreditUse> kCreditUseNames = {
    "asked", "granted-in-time", "granted-late", "refused", "returned"};
constexpr PerEnum<std::string_view, VmState> kVmStateNames = {
    "live", "suspected", "leaving"};
constexpr PerEnum<std::string_view, PlatformCall> kPlatformCallNames = {
    "list", "read", "announce", "renew", "retry", "lease"};

}  // namespace

std::string_view NameOf(PlatformCall purpose) {
  return kPlatformCallNames.at(static_cast<size_t>(purpose));
}

std::string_view NameOf(Outcome outcome) {
  return kOutcomeNames[static_cast<size_t>(outcome)];
}

std::string_view NameOf(CreditUse use) {
  return kCreditUseNames[static_cast<size_t>(use)];
}

std::string_view NameOf(VmState state) {
  return kVmStateNames[static_cast<size_t>(state)];
}

void WorkerMetrics::SetQuotaCounts(const QuotaCounts& totals) {
  const auto set = [this](size_t index, CreditUse use, uint64_t total) {
    this->credits[index][static_cast<size_t>(use)].Set(total);
  };
  for (size_t i = 0; i < kTrafficClasses; ++i) {
    const QuotaCounts::OfClass& row = totals.classes[i];
    set(i, CreditUse::kAsked, row.asked);
    set(i, CreditUse::kGrantedInTime, row.granted_in_time);
    set(i, CreditUse::kGrantedLate, row.granted_late);
    set(i, CreditUse::kRefused, row.refused);
    set(i, CreditUse::kReturned, row.returned);
  }
  this->void_credits.Set(totals.voided);
}

void WorkerMetrics::Tick(TimePoint now) {
  this->request_latency.HandOver(now);
  this->queue_latency.HandOver(now);
  this->upstream_latency.HandOver(now);
  this->cpu_nanoseconds.Set(static_cast<uint64_t>(ThreadCpuTime().count()));
}

Duration ThreadCpuTime() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::seconds(used.tv_sec) +
         std::chrono::nanoseconds(used.tv_nsec);
}

}  // namespace basilsill

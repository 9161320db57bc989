#include "metrics.h"

#include <chrono>
#include <ctime>

namespace basilsill {
namespace {

constexpr PerEnum<std::string_view, Outcome> kOutcomeNames = {
    "answered", "refused", "broken", "caller-gone"};
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

std::string_view NameOf(VmState state) {
  return kVmStateNames[static_cast<size_t>(state)];
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

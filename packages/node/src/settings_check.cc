#include "settings_check.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

namespace basilsill {
namespace {

constexpr uint32_t kLastPort = 65535;

/// A range of ports that one setting uses.
struct PortClaim {
  const char* path;
  uint32_t first;
  uint32_t count;

  bool Overlaps(const PortClaim& other) const {
    return this->first < other.first + other.count &&
           other.first < this->first + this->count;
  }
};

void CheckPorts(const Settings& settings, std::vector<Failure>& failures) {
  const ListenSettings& listen = settings.listen;
  const PortClaim claims[] = {
      {"/listen/callers", listen.callers, 1},
      {"/listen/control", listen.control, 1},
      {"/listen/admin", listen.admin, 1},
      {"/listen/links", listen.links, settings.threads.traffic},
  };
  for (const PortClaim& claim : claims) {
    if (claim.first == 0) {
      continue;  // The kernel chooses.
    }
    if (claim.first + claim.count - 1 > kLastPort) {
      failures.push_back({FailureKind::kOutOfRange, claim.path,
                          "found " + std::to_string(claim.first) + " with " +
                              std::to_string(claim.count) +
                              " threads, allowed is a last port up to 65535"});
    }
    for (const PortClaim* other = claims; other != &claim; ++other) {
      if (other->first != 0 && claim.Overlaps(*other)) {
        failures.push_back({FailureKind::kDuplicate, claim.path,
                            "found a port of " + std::string(other->path) +
                                ", allowed is one that nothing else uses"});
      }
    }
  }
}

/// Adds a failure unless `value` is at most `limit`.
void CheckOrder(std::pair<const char*, std::chrono::milliseconds> value,
                std::pair<const char*, std::chrono::milliseconds> limit,
                std::vector<Failure>& failures) {
  if (value.second > limit.second) {
    failures.push_back({FailureKind::kOutOfRange, value.first,
                        "found " + std::to_string(value.second.count()) +
                            ", allowed is at most " + limit.first +
                            ", which is " +
                            std::to_string(limit.second.count())});
  }
}

}  // namespace

void CheckConsistency(const Settings& settings,
                      std::vector<Failure>& failures) {
  CheckPorts(settings, failures);
  const LimitSettings& limits = settings.limits;
  CheckOrder({"/limits/default_deadline_ms", limits.default_deadline},
             {"/limits/request_total_ms", limits.request_total}, failures);
  CheckOrder({"/shutdown/ready_delay_ms", settings.shutdown.ready_delay},
             {"/shutdown/limit_ms", settings.shutdown.limit}, failures);
}

}  // namespace basilsill

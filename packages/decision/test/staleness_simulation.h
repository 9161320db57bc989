#ifndef BASILSILL_DECISION_TEST_STALENESS_SIMULATION_H_
#define BASILSILL_DECISION_TEST_STALENESS_SIMULATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/topic_follower.h"

/// Simulated VMs that follow one topic of a simulated store in virtual time,
/// with faults of the store, of connections, links and VMs.

namespace basilsill::test {

/// The faults that a history may have.
enum class StalenessFault : uint8_t {
  kConnectionsSilent,  ///< Kept connections to the store carry nothing.
  kLinksSilent,        ///< Updates between VMs are lost, for 12 s.
  kStoreRefuses,
  kStoreSilent,
  kStoreSlow,
  kStoreRefusesSome,  ///< It refuses some VMs and serves the others.
  kVmsFrozen,
  kAnswersLost,  ///< For some VMs, on their kept connections.
  kHistoryDropped,
  kCount
};

/// A store that comes back from a copy loses what it has acknowledged since.
/// The newest record is written again after some time.
struct StalenessRestores {
  size_t count = 0;
  Duration longest_age = std::chrono::seconds(10);  ///< Of the copies.
};

struct StalenessOptions {
  uint64_t seed = 0;
  size_t vms = 30;
  Duration bound = std::chrono::milliseconds(2000);
  bool is_bulk = false;
  size_t faults = 2;
  StalenessRestores restores;
  Duration length = std::chrono::seconds(20);
};

struct StalenessReport {
  /// Times at which a VM in touch lacked a record for longer than the bound.
  size_t late = 0;
  std::string first_late;  ///< VM, time and record of the first.
  size_t calls = 0;
  size_t listings = 0;
  size_t lost_offsets = 0;  ///< Times at which a VM went back to older records.
};

/// Plays one history.
StalenessReport PlayStaleness(const StalenessOptions& options);

}  // namespace basilsill::test

#endif  // BASILSILL_DECISION_TEST_STALENESS_SIMULATION_H_

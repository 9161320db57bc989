#include "basilsill/decision/start_plan.h"

#include <algorithm>

#include <xxhash.h>

namespace basilsill {
namespace {

// Below this number of VMs each VM lists for itself: it becomes ready sooner,
// and all VMs together make few calls. In a larger fleet a start of all VMs
// would make some ten calls per VM.
constexpr size_t kSmallFleet = 32;

// Number of VMs, from the first in the common order on, that list at once.
constexpr size_t kImmediateListers = 2;

// A VM that receives the state from a peer has it some tenths of a second after
// its start.
constexpr Duration kPeerStateDelay = std::chrono::milliseconds(400);

// Maximum additional wait, which grows with the rank. It is short because the
// VM refuses callers meanwhile.
constexpr Duration kRankSpread = std::chrono::milliseconds(200);

// From this fleet size on, the listings of all VMs exceed what the store can
// serve in a second, so VMs list at a rate that does not grow with the fleet.
constexpr size_t kLargeFleet = 512;
constexpr Duration kListingStagger = std::chrono::milliseconds(40);
constexpr Duration kMaxListingWait = std::chrono::seconds(6);

// Rank at which the additional wait is half of kRankSpread.
constexpr int64_t kHalfSpreadRank = 64;

// Spreads the first calls of hundreds of VMs to about one call per millisecond.
// The delay is far shorter than the time in which an installation is set up.
constexpr Duration kFirstStartSpread = std::chrono::milliseconds(300);

// A VM of at most this capacity (a tenth of a core) waits up to the whole
// spread; a larger one waits proportionally less, e.g. one of half a core up to
// a fifth.
constexpr uint32_t kSmallCapacity = 100;

// Number of steps into which the hash of the VM's name divides the spread.
constexpr int64_t kHashSteps = 1024;

}  // namespace

bool ShouldWaitForState(size_t known) {
  return known >= kSmallFleet;
}

Duration StartListingDelay(size_t rank, bool waits, size_t known) {
  if (rank < kImmediateListers || !waits) {
    return Duration(0);
  }
  const auto place = static_cast<int64_t>(rank);
  if (known >= kLargeFleet) {
    return kPeerStateDelay + std::min(kListingStagger * place, kMaxListingWait);
  }
  return kPeerStateDelay + kRankSpread * place / (place + kHalfSpreadRank);
}

Duration FirstStartDelay(std::string_view vm, uint32_t capacity) {
  const auto step =
      static_cast<int64_t>(XXH3_64bits(vm.data(), vm.size()) % kHashSteps);
  const int64_t size = std::max(capacity, kSmallCapacity);
  return kFirstStartSpread * kSmallCapacity / size * step / kHashSteps;
}

}  // namespace basilsill

#include "basilsill/decision/start_plan.h"

#include <algorithm>

#include <xxhash.h>

namespace basilsill {
namespace {

// Below this number of VMs each lists for itself: it is ready sooner, and all
// of them together make few calls. Above, a start of the whole fleet would make
// some ten calls a VM.
constexpr size_t kSmallFleet = 32;

// VMs, from the first in the common order on, that list at once.
constexpr size_t kFirstListers = 2;

// A VM that is told all has it some tenths of a second after its start.
constexpr Duration kHelpTime = std::chrono::milliseconds(400);

// Beyond that, by the place in the order: callers are refused meanwhile.
constexpr Duration kHelpSpread = std::chrono::milliseconds(200);

// From this size on, what all VMs list is more than the store gives in a
// second; they list at a rate that does not grow with the fleet.
constexpr size_t kLargeFleet = 512;
constexpr Duration kListerGap = std::chrono::milliseconds(40);
constexpr Duration kMaxListerWait = std::chrono::seconds(6);

// Place in the order that waits half of it.
constexpr int64_t kHalfWay = 64;

// The VMs of a fleet of hundreds are spread over this, one a millisecond, which
// is far below the time in which an installation is set up.
constexpr Duration kFirstStartSpread = std::chrono::milliseconds(300);

// A VM of half a core waits a fifth of that at most; one of this size, the
// whole of it.
constexpr uint32_t kSmallCapacity = 100;

// Parts into which a hash divides the spread.
constexpr int64_t kParts = 1024;

}  // namespace

bool ShouldWaitForState(size_t known) {
  return known >= kSmallFleet;
}

Duration StartListingDelay(size_t rank, bool waits, size_t known) {
  if (rank < kFirstListers || !waits) {
    return Duration(0);
  }
  const auto place = static_cast<int64_t>(rank);
  if (known >= kLargeFleet) {
    return kHelpTime + std::min(kListerGap * place, kMaxListerWait);
  }
  return kHelpTime + kHelpSpread * place / (place + kHalfWay);
}

Duration FirstStartDelay(std::string_view vm, uint32_t capacity) {
  const auto part =
      static_cast<int64_t>(XXH3_64bits(vm.data(), vm.size()) % kParts);
  const int64_t size = std::max(capacity, kSmallCapacity);
  return kFirstStartSpread * kSmallCapacity / size * part / kParts;
}

}  // namespace basilsill

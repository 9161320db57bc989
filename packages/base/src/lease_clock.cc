#include <ctime>

#include "basilsill/base/time.h"

namespace basilsill {

LeaseTime LeaseClock::now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return LeaseTime(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace basilsill

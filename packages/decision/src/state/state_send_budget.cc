#include "basilsill/decision/state_send_budget.h"

#include <algorithm>
#include <limits>

namespace basilsill {
namespace {

// Share of the bandwidth of this VM's link. The rest is left for answers to
// callers, work for peers and own calls, which must not queue behind state
// transfers.
constexpr double kLinkShare = 0.25;

double RateOf(double link_bytes_per_second) {
  return link_bytes_per_second > 0 ? link_bytes_per_second * kLinkShare
                                   : std::numeric_limits<double>::infinity();
}

}  // namespace

StateSendBudget::StateSendBudget(double link_bytes_per_second)
    : rate(RateOf(link_bytes_per_second)), available_bytes(this->rate) {}

bool StateSendBudget::HasRoom(TimePoint now, size_t bytes) {
  const std::chrono::duration<double> since = now - this->filled_at;
  this->filled_at = now;
  const double gained = this->rate * std::max(0.0, since.count());
  this->available_bytes = std::min(this->rate, this->available_bytes + gained);
  return static_cast<double>(bytes) <= this->available_bytes;
}

bool StateSendBudget::Take(TimePoint now, size_t bytes) {
  if (!this->HasRoom(now, bytes)) {
    return false;
  }
  this->available_bytes -= static_cast<double>(bytes);
  return true;
}

}  // namespace basilsill

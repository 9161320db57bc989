#include "load_schedule.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <utility>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace basilsill::ctl {
namespace {

constexpr double kNanosecondsPerSecond = 1e9;
constexpr size_t kUuidTextSize = 37;

}  // namespace

LoadSchedule::LoadSchedule(LoadScheduleOptions options)
    : settings(std::move(options)),
      weight_sum(std::accumulate(this->settings.weights.begin(),
                                 this->settings.weights.end(),
                                 0U)),
      random(this->settings.seed, this->settings.worker) {}

Duration LoadSchedule::NextGap() {
  boost::random::exponential_distribution<double> gaps(this->settings.rate);
  return Duration(std::llround(gaps(this->random) * kNanosecondsPerSecond));
}

LoadCall LoadSchedule::Next(TimePoint scheduled_start, WallTime wall) {
  LoadCall call;
  call.scheduled_start = scheduled_start;
  call.side = this->settings.sides[this->number % this->settings.sides.size()];
  call.kind = this->DrawKind();
  call.tag = std::to_string(this->settings.seed) + "-" +
             std::to_string(this->settings.worker) + "-" +
             std::to_string(this->number);
  if (this->settings.once[call.kind]) {
    call.key = this->DrawKey(wall);
  }
  ++this->number;
  return call;
}

size_t LoadSchedule::DrawKind() {
  if (this->settings.weights.size() == 1) {
    return 0;
  }
  boost::random::uniform_int_distribution<unsigned> draw(0,
                                                         this->weight_sum - 1);
  unsigned rest = draw(this->random);
  size_t kind = 0;
  while (rest >= this->settings.weights[kind]) {
    rest -= this->settings.weights[kind];
    ++kind;
  }
  return kind;
}

// Returns a time-ordered UUID (version 7), so that a recipient can compute the
// age of the key.
std::string LoadSchedule::DrawKey(WallTime wall) {
  const auto created_at =
      static_cast<uint64_t>(wall.time_since_epoch().count());
  const uint64_t high = this->random();
  const uint64_t low = this->random();
  std::array<char, kUuidTextSize> text{};
  std::snprintf(text.data(), text.size(), "%08x-%04x-7%03x-%04x-%012llx",
                static_cast<unsigned>(created_at >> 16U),
                static_cast<unsigned>(created_at & 0xffffU),
                static_cast<unsigned>(high & 0xfffU),
                static_cast<unsigned>(0x8000U | ((low >> 48U) & 0x3fffU)),
                static_cast<unsigned long long>(low & 0xffffffffffffU));
  return text.data();
}

}  // namespace basilsill::ctl

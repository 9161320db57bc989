#include "concurrency_limit.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace basilsill {
namespace {

// Slot time is counted in so many slot milliseconds: requests of some ten are
// told apart, and some hundred seconds fit.
constexpr double kUsedUnit = 4;

// As many ran all the while, if their mean is no further off.
constexpr double kSteady = 0.5;

// A single request says no more than this, whatever it took.
constexpr double kMostLogTime = 1.5;

// Of one upstream at one level, the last ones count most: at so many, all that
// is known of them is halved.
constexpr float kMostSamples = 64;

// A level is known by so many requests of all upstreams together.
constexpr float kEnoughSamples = 40;

// The fit is made anew after so many requests, in so many steps from the last.
constexpr uint32_t kFitEvery = 32;
constexpr int kFitSteps = 6;

// A level is better than all slots if an upstream does so much more there, and
// of those that are about as good, the lowest: there each request ends sooner.
constexpr double kMore = 0.06;
constexpr double kAsMuch = 0.03;

// A limit is no lower than this part of the slots, whatever is learned.
constexpr int kFloorDivisor = 2;

// One upstream in so many is on trial, at another level for such a time; more
// often while some level is not known.
constexpr size_t kTrialEvery = 32;
constexpr size_t kTrialLevels = 5;
constexpr size_t kFirstTrialEvery = 4;
constexpr Duration kTrialTime = std::chrono::seconds(1);

uint16_t FloorOf(uint16_t slots) {
  return static_cast<uint16_t>((slots + kFloorDivisor - 1) / kFloorDivisor);
}

// By hash and not by turns: turns would keep step with the number of upstreams,
// and each would only ever see the same levels.
uint64_t DrawTrial(TimePoint now, size_t place) {
  const uint64_t turn = now.time_since_epoch() / kTrialTime;
  return XXH3_64bits_withSeed(&turn, sizeof(turn), place);
}

}  // namespace

void ConcurrencyLimit::Reserve(size_t count, uint16_t most_slots) {
  if (most_slots < kMinSlots || most_slots > kMaxSlots) {
    return;
  }
  const size_t places = std::max(this->upstreams.size(), count);
  if (most_slots > this->slots) {
    this->slots = most_slots;
    this->best = most_slots;
    this->all_known = false;
    this->floor = FloorOf(most_slots);
    this->levels.assign(this->slots - this->floor + 2, Level());
    this->cells.clear();
  }
  this->upstreams.resize(places);
  this->cells.resize(places * this->levels.size());
}

void ConcurrencyLimit::Reset(size_t place) {
  if (place >= this->upstreams.size()) {
    return;
  }
  this->upstreams[place] = Upstream();
  const auto begin = this->cells.begin() +
                     static_cast<std::ptrdiff_t>(place * this->levels.size());
  std::fill_n(begin, this->levels.size(), Cell());
}

void ConcurrencyLimit::OnChange(TimePoint now, size_t place, uint16_t busy) {
  if (place >= this->upstreams.size()) {
    return;
  }
  Upstream& upstream = this->upstreams[place];
  const std::chrono::duration<double, std::milli> passed =
      now - upstream.changed_at;
  upstream.used += busy * passed.count();
  upstream.changed_at = now;
}

uint16_t ConcurrencyLimit::UsedAt(size_t place) const {
  if (place >= this->upstreams.size()) {
    return 0;
  }
  return static_cast<uint16_t>(
      static_cast<uint64_t>(this->upstreams[place].used / kUsedUnit));
}

// One that ran beside many at first and few at last, or the other way round,
// says nothing of either; its mean would put it at a level between.
void ConcurrencyLimit::Learn(size_t place, const Run& run) {
  const double took =
      std::chrono::duration<double, std::milli>(run.took).count();
  const bool has_wrapped = took * this->slots > kUsedUnit * UINT16_MAX;
  if (place >= this->upstreams.size() || has_wrapped || took <= 0) {
    return;
  }
  const auto used =
      static_cast<uint16_t>(this->UsedAt(place) - run.used_before);
  const double at_once = used * kUsedUnit / took;
  const bool is_steady = run.busy_before == run.busy_after &&
                         std::abs(at_once - run.busy_before) < kSteady;
  if (is_steady) {
    this->Add(place, run.log_time, run.busy_before);
  }
}

void ConcurrencyLimit::Add(size_t place, double log_time, uint16_t at_once) {
  // All below the floor are one level, the first.
  const uint16_t last = std::min(at_once, this->slots);
  const size_t level = last < this->floor ? 0 : last - this->floor + 1;
  Cell& cell = this->cells[place * this->levels.size() + level];
  cell.samples += 1;
  cell.sum +=
      static_cast<float>(std::clamp(log_time, -kMostLogTime, kMostLogTime));
  if (cell.samples >= kMostSamples) {
    cell.samples /= 2;
    cell.sum /= 2;
  }
  if (++this->since_fit >= kFitEvery) {
    this->since_fit = 0;
    this->Fit();
    this->Decide();
  }
}

// Least squares: the upstreams' usual times by the levels' factors, and the
// factors by the usual times, by turns.
void ConcurrencyLimit::Fit() {
  for (int step = 0; step < kFitSteps; ++step) {
    for (Level& level : this->levels) {
      level.samples = 0;
      level.sum = 0;
    }
    for (size_t place = 0; place < this->upstreams.size(); ++place) {
      this->FitUpstream(place);
    }
    for (Level& level : this->levels) {
      level.log_factor = level.samples > 0 ? level.sum / level.samples : 0;
    }
  }
}

void ConcurrencyLimit::FitUpstream(size_t place) {
  const Cell* row = &this->cells[place * this->levels.size()];
  float samples = 0;
  float sum = 0;
  for (size_t i = 0; i < this->levels.size(); ++i) {
    samples += row[i].samples;
    sum += row[i].sum - row[i].samples * this->levels[i].log_factor;
  }
  if (samples == 0) {
    return;
  }
  const float log_usual = sum / samples;
  for (size_t i = 0; i < this->levels.size(); ++i) {
    this->levels[i].samples += row[i].samples;
    this->levels[i].sum += row[i].sum - row[i].samples * log_usual;
  }
}

double ConcurrencyLimit::LogRateAt(uint16_t level) const {
  return std::log(level) - this->levels[level - this->floor + 1].log_factor;
}

bool ConcurrencyLimit::IsKnown(uint16_t level) const {
  return this->levels[level - this->floor + 1].samples >= kEnoughSamples;
}

// What an upstream does in a second is the number at once over the time that
// each takes.
void ConcurrencyLimit::Decide() {
  this->best = this->slots;
  this->all_known = this->IsKnown(this->slots);
  if (!this->all_known) {
    return;
  }
  for (size_t i = 0; i < kTrialLevels; ++i) {
    this->all_known = this->all_known && this->IsKnown(this->TrialLevel(i));
  }
  double most = this->LogRateAt(this->slots);
  for (uint16_t level = this->floor; level < this->slots; ++level) {
    most = this->IsKnown(level) ? std::max(most, this->LogRateAt(level)) : most;
  }
  if (most < this->LogRateAt(this->slots) + kMore) {
    return;
  }
  uint16_t level = this->floor;
  while (!this->IsKnown(level) || this->LogRateAt(level) < most - kAsMuch) {
    ++level;
  }
  this->best = level;
}

uint16_t ConcurrencyLimit::LimitOf(TimePoint now,
                                   size_t place,
                                   uint16_t own_slots) const {
  if (place >= this->upstreams.size() || own_slots != this->slots) {
    return own_slots;
  }
  const size_t every = this->all_known ? kTrialEvery : kFirstTrialEvery;
  const uint64_t drawn = DrawTrial(now, place);
  if (drawn % every != 0) {
    return this->best;
  }
  return this->TrialLevel(drawn / kTrialEvery % kTrialLevels);
}

uint16_t ConcurrencyLimit::TrialLevel(size_t number) const {
  const size_t room = this->slots - this->floor;
  return static_cast<uint16_t>(this->floor +
                               room * number / (kTrialLevels - 1));
}

}  // namespace basilsill

#include "shed_monitor.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <string_view>

namespace basilsill {
namespace {

// Time constant of the counts. Shorter ones leave too few sends of a small
// shard to compare.
constexpr std::chrono::duration<double> kCountTime{2};

// Most sends that count for an upstream. They are halved then, so that a busy
// upstream's counts follow a change within as many sends.
constexpr double kMaxSends = 32;

// Sheds from which the case is judged, and below which it ends. While upstreams
// are paused there are few sends, hence the lower number for the end.
constexpr double kShedsToBegin = 8;
constexpr double kShedsToEnd = 2;

// Sends from which an upstream's share of sheds counts, and the share from
// which it counts as shedding.
constexpr double kMinSends = 1;
constexpr double kMinShare = 0.1;

// Sends that must not have been shed for the shard to have room. If nearly all
// are, pauses take no capacity away. The number allows for sends whose answer
// is still on its way.
constexpr double kMinServed = 4;
constexpr double kMinServedShare = 0.1;

// Sheds in a row after which nothing seems to be served. If four of five
// requests are shed at random, one in 40,000 rows of sheds is as long.
constexpr uint32_t kMaxShedsInARow = 48;

// Part of the sheds that need a free slot for the shard to have room.
constexpr double kRoomShare = 0.5;

// A report of the load that is older than this is unknown.
constexpr Duration kReportLifetime = std::chrono::seconds(1);

// Time after which no repeats are kept for a class.
constexpr Duration kClassLifetime = std::chrono::seconds(2);

// Time without sheds after which the counts are of no use.
constexpr Duration kQuietTime = std::chrono::seconds(10);

constexpr std::array<std::string_view, static_cast<size_t>(ShedCase::kCount)>
    kCaseNames = {"none", "one-upstream", "with-room", "overload"};

}  // namespace

std::string_view NameOf(ShedCase shed_case) {
  return kCaseNames.at(static_cast<size_t>(shed_case));
}

void ShedMonitor::Begin() {
  std::fill(this->rows.begin(), this->rows.end(), Row());
  this->last_shed_of = {};
  this->sheds_in_a_row = 0;
  this->active = true;
}

void ShedMonitor::End() {
  this->active = false;
  this->current_case = ShedCase::kNone;
}

void ShedMonitor::Forget(uint32_t place) {
  if (place < this->rows.size()) {
    this->rows[place] = Row();
  }
}

ShedMonitor::Counts ShedMonitor::CountsAt(TimePoint now, const Row& row) const {
  const double factor = std::exp(-(now - row.counted_at) / kCountTime);
  return {row.counts.sends * factor, row.counts.sheds * factor,
          row.counts.with_room * factor};
}

void ShedMonitor::OnSend(TimePoint now, uint32_t place) {
  Row& row = this->rows.at(place);
  row.counts = this->CountsAt(now, row);
  row.counted_at = now;
  if (++row.counts.sends > kMaxSends) {
    row.counts.sends /= 2;
    row.counts.sheds /= 2;
    row.counts.with_room /= 2;
  }
}

void ShedMonitor::OnLoad(TimePoint now,
                         uint32_t place,
                         const UpstreamLoad& load) {
  if (!load.known) {
    return;
  }
  Row& row = this->rows.at(place);
  row.reported_at = now;
  row.reported_room = load.running < load.slots && load.waiting == 0;
}

void ShedMonitor::OnShed(TimePoint now, uint32_t place, bool has_room) {
  Row& row = this->rows.at(place);
  const bool is_recent = now - row.reported_at <= kReportLifetime;
  const bool room =
      row.reported_at == kNever ? has_room : is_recent && row.reported_room;
  row.counts = this->CountsAt(now, row);
  row.counted_at = now;
  ++row.counts.sheds;
  row.counts.with_room += room ? 1 : 0;
  // The request was sent before the first shed made the counts begin.
  row.counts.sends = std::max(row.counts.sends, row.counts.sheds);
  ++this->sheds_in_a_row;
  this->last_shed = now;
}

size_t ShedMonitor::CountMoreUrgent(TimePoint now,
                                    TrafficClass traffic_class) const {
  const auto end =
      this->last_shed_of.begin() + static_cast<std::ptrdiff_t>(traffic_class);
  return static_cast<size_t>(
      std::count_if(this->last_shed_of.begin(), end, [now](TimePoint last) {
        return last != TimePoint() && now - last <= kClassLifetime;
      }));
}

bool ShedMonitor::Update(TimePoint now) {
  const ShedCase before = this->current_case;
  this->current_case = this->Judge(now);
  return before != this->current_case;
}

ShedCase ShedMonitor::Judge(TimePoint now) const {
  Counts all;
  size_t judged = 0;
  size_t shedding = 0;
  for (const Row& row : this->rows) {
    const Counts counts = this->CountsAt(now, row);
    all.sends += counts.sends;
    all.sheds += counts.sheds;
    all.with_room += counts.with_room;
    if (counts.sends >= kMinSends) {
      ++judged;
      shedding += counts.sheds >= kMinShare * counts.sends ? 1 : 0;
    }
  }
  const bool has_begun = this->current_case != ShedCase::kNone;
  if (all.sheds < (has_begun ? kShedsToEnd : kShedsToBegin)) {
    return ShedCase::kNone;
  }
  if (this->rows.size() > 1 && 2 * shedding <= judged) {
    return ShedCase::kOneUpstream;
  }
  const double served = all.sends - all.sheds;
  const bool serves =
      served >= std::max(kMinServed, kMinServedShare * all.sends) &&
      this->sheds_in_a_row <= kMaxShedsInARow;
  const bool has_room = all.with_room >= kRoomShare * all.sheds;
  return serves && has_room ? ShedCase::kWithRoom : ShedCase::kOverload;
}

double ShedMonitor::ShareAt(TimePoint now) const {
  double sends = 0;
  double sheds = 0;
  for (const Row& row : this->rows) {
    const Counts counts = this->CountsAt(now, row);
    sends += counts.sends;
    sheds += counts.sheds;
  }
  return sends > 0 ? sheds / sends : 0;
}

bool ShedMonitor::IsOver(TimePoint now) const {
  return now - this->last_shed > kQuietTime;
}

}  // namespace basilsill

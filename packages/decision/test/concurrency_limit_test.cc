// Tests of how many requests at once an upstream gets: emulated upstreams that
// slow down when nearly full and ones that don't, grey and cold ones beside.

#include "concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <vector>

#include <pcg_random.hpp>

#include <boost/random/lognormal_distribution.hpp>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::ConcurrencyLimit;
using basilsill::Duration;
using basilsill::TimePoint;

namespace {

constexpr double kUsualMs = 200;
constexpr double kSpread = 0.3;

/// Upstreams of one shard under a steady load, in steps of a millisecond. A
/// request goes on by what its upstream does in that step.
class Upstreams {
 public:
  struct Terms {
    uint16_t slots = 6;
    double knee = 1;    ///< Slower from this part of the slots on.
    double factor = 1;  ///< By so much.
    size_t count = 8;
    double load = 1;  ///< Of what all slots could do without a knee.
    std::function<double(size_t place, TimePoint now)> slowness;
  };

  Upstreams(const Terms& terms, uint64_t seed)
      : terms(terms), random(seed), rows(terms.count) {
    this->limit.Reserve(terms.count, terms.slots);
  }

  /// @returns requests that ended within `time`.
  size_t Run(Duration time, uint16_t fixed = 0) {
    size_t ended = 0;
    for (const TimePoint end = this->now + time; this->now < end;) {
      this->now += 1ms;
      this->Arrive();
      this->Fill(fixed);
      for (size_t i = 0; i < this->rows.size(); ++i) {
        ended += this->Work(i);
      }
    }
    return ended;
  }

  /// @returns the limit of most upstreams: all that are not on trial.
  uint16_t Limit() const {
    std::vector<uint16_t> all;
    for (size_t i = 0; i < this->rows.size(); ++i) {
      all.push_back(this->limit.LimitOf(this->now, i, this->terms.slots));
    }
    std::sort(all.begin(), all.end());
    return all[all.size() / 2];
  }

 private:
  struct Request {
    double left = 0;
    TimePoint begun;
    uint16_t used = 0;
    uint16_t busy = 0;
  };

  void Arrive() {
    const double rate = this->terms.load * this->terms.slots *
                        static_cast<double>(this->rows.size()) / kUsualMs;
    this->due += rate;
    while (this->due >= 1 && this->waiting < 1000) {
      this->due -= 1;
      ++this->waiting;
    }
  }

  void Fill(uint16_t fixed) {
    for (;;) {
      size_t best = this->rows.size();
      for (size_t i = 0; i < this->rows.size(); ++i) {
        const uint16_t most =
            fixed > 0 ? fixed
                      : this->limit.LimitOf(this->now, i, this->terms.slots);
        if (this->rows[i].size() < most &&
            (best == this->rows.size() ||
             this->rows[i].size() < this->rows[best].size())) {
          best = i;
        }
      }
      if (best == this->rows.size() || this->waiting == 0) {
        return;
      }
      --this->waiting;
      this->limit.OnChange(this->now, best, Busy(best));
      boost::random::lognormal_distribution<double> work(std::log(kUsualMs),
                                                         kSpread);
      this->rows[best].push_back({work(this->random), this->now,
                                  this->limit.UsedAt(best),
                                  static_cast<uint16_t>(Busy(best) + 1)});
    }
  }

  uint16_t Busy(size_t place) const {
    return static_cast<uint16_t>(this->rows[place].size());
  }

  size_t Work(size_t place) {
    std::vector<Request>& row = this->rows[place];
    const bool is_full = row.size() > this->terms.knee * this->terms.slots;
    const double slow =
        this->terms.slowness ? this->terms.slowness(place, this->now) : 1;
    const double step = 1 / (slow * (is_full ? this->terms.factor : 1));
    size_t ended = 0;
    for (size_t i = row.size(); i > 0; --i) {
      Request& request = row[i - 1];
      request.left -= step;
      if (request.left > 0) {
        continue;
      }
      this->limit.OnChange(this->now, place, Busy(place));
      const Duration took = this->now - request.begun;
      const double ratio =
          std::chrono::duration<double, std::milli>(took).count() / kUsualMs;
      this->limit.Learn(place, {std::log(ratio), took, request.used,
                                request.busy, Busy(place)});
      row.erase(row.begin() + static_cast<std::ptrdiff_t>(i - 1));
      ++ended;
    }
    return ended;
  }

  Terms terms;
  pcg32 random;
  ConcurrencyLimit limit;
  std::vector<std::vector<Request>> rows;
  TimePoint now{100s};
  double due = 0;
  size_t waiting = 0;
};

/// @returns what is done with the limit that is learned, over what is done with
/// the best of all fixed ones.
double PartOfBest(const Upstreams::Terms& terms, uint64_t seed) {
  size_t best = 0;
  for (uint16_t fixed = 1; fixed <= terms.slots; ++fixed) {
    Upstreams upstreams(terms, seed);
    upstreams.Run(10s, fixed);
    best = std::max(best, upstreams.Run(30s, fixed));
  }
  Upstreams upstreams(terms, seed);
  upstreams.Run(10s);
  return static_cast<double>(upstreams.Run(30s)) / static_cast<double>(best);
}

/// The same, the mean over several histories.
double PartOfBest(const Upstreams::Terms& terms) {
  constexpr uint64_t histories = 5;
  double sum = 0;
  for (uint64_t seed = 1; seed <= histories; ++seed) {
    sum += PartOfBest(terms, seed);
  }
  return sum / histories;
}

}  // namespace

TEST_GROUP(ConcurrencyLimit) {
  Upstreams::Terms terms;
};

// More comes than can be done, and the last two of six slots slow all six down
// by more than they add.
TEST(ConcurrencyLimit, Overload_SlowWhenNearlyFull_NearlyAsTheBestFixedLimit) {
  this->terms.knee = 0.8;
  this->terms.factor = 1.7;
  Upstreams upstreams(this->terms, 1);
  upstreams.Run(30s);
  CHECK_EQUAL(4, upstreams.Limit());
  CHECK(PartOfBest(this->terms) >= 0.97);
}

TEST(ConcurrencyLimit, Overload_NothingSlowsDown_AllSlots) {
  for (const uint16_t slots : {2, 6, 16}) {
    this->terms.slots = slots;
    Upstreams upstreams(this->terms, 1);
    upstreams.Run(15s);
    CHECK_EQUAL(slots, upstreams.Limit());
    CHECK(PartOfBest(this->terms) >= 0.97);
  }
}

TEST(ConcurrencyLimit, Overload_SixteenSlotsWithAKnee_NearlyAsTheBest) {
  this->terms.slots = 16;
  this->terms.knee = 0.8;
  this->terms.factor = 1.7;
  CHECK(PartOfBest(this->terms) >= 0.97);
}

// The same slowdown, but the last slots are worth it: 6 at 1.3 times the time
// do more than 4.
TEST(ConcurrencyLimit, Overload_SlowsDownByLess_AllSlots) {
  this->terms.knee = 0.8;
  this->terms.factor = 1.2;
  Upstreams upstreams(this->terms, 1);
  upstreams.Run(15s);
  CHECK_EQUAL(6, upstreams.Limit());
}

// Two upstreams of eight take five times as long for a reason of their own.
// Requests pile up there, so long runs and full slots are seen together.
TEST(ConcurrencyLimit, Overload_SomeAreSlowThemselves_DoesNotShrink) {
  this->terms.slowness = [](size_t place, TimePoint) {
    return place < 2 ? 5.0 : 1.0;
  };
  Upstreams upstreams(this->terms, 1);
  for (int i = 0; i < 30; ++i) {
    upstreams.Run(1s);
    CHECK_EQUAL(6, upstreams.Limit());
  }
}

// All of them are cold at first, each twice as slow.
TEST(ConcurrencyLimit, Overload_AllColdAtFirst_DoesNotShrink) {
  this->terms.slowness = [](size_t, TimePoint now) {
    return now < TimePoint(105s) ? 2.0 : 1.0;
  };
  Upstreams upstreams(this->terms, 1);
  for (int i = 0; i < 30; ++i) {
    upstreams.Run(1s);
    CHECK_EQUAL(6, upstreams.Limit());
  }
}

// They slow down when nearly full for a time, and then no more, as after a new
// version. The limit is found to be too low.
TEST(ConcurrencyLimit, SlowdownEnds_TrialsShowIt_AllSlotsAgain) {
  this->terms.slowness = [](size_t, TimePoint) { return 1.0; };
  this->terms.knee = 0.8;
  this->terms.factor = 1.7;
  ConcurrencyLimit limit;
  limit.Reserve(8, 6);
  pcg32 random(3);
  TimePoint now{1s};
  // Each request runs beside a steady number of others.
  const auto feed = [&](double factor, int count) {
    for (int i = 0; i < count; ++i) {
      const auto place = static_cast<size_t>(i) / 2 % 8;
      const uint16_t at_once = i % 2 == 0 ? 4 : 6;
      const double noise = (random(100) / 100.0 - 0.5) * kSpread;
      limit.OnChange(now, place, 0);
      const uint16_t before = limit.UsedAt(place);
      now += 200ms;
      limit.OnChange(now, place, at_once);
      const double log_time = (at_once == 6 ? std::log(factor) : 0) + noise;
      limit.Learn(place, {log_time, 200ms, before, at_once, at_once});
    }
  };
  const auto limit_of_most = [&] {
    std::vector<uint16_t> all;
    for (size_t place = 0; place < 8; ++place) {
      all.push_back(limit.LimitOf(now, place, 6));
    }
    std::sort(all.begin(), all.end());
    return all[4];
  };
  feed(1.7, 2000);
  CHECK_EQUAL(4, limit_of_most());
  feed(1.0, 4000);
  CHECK_EQUAL(6, limit_of_most());
}

// A shard is quiet: nothing is known of full upstreams, and nothing is limited.
TEST(ConcurrencyLimit, LowLoad_NeverFull_AllSlots) {
  this->terms.load = 0.3;
  Upstreams upstreams(this->terms, 1);
  upstreams.Run(20s);
  CHECK_EQUAL(6, upstreams.Limit());
}

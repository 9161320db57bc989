// Tests of how the causes of sheds are told apart.

#include "shed_monitor.h"

#include <pcg_random.hpp>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::Duration;
using basilsill::ShedCase;
using basilsill::ShedMonitor;
using basilsill::TimePoint;
using basilsill::UpstreamLoad;

namespace {

constexpr uint32_t kUpstreams = 4;
constexpr uint16_t kSlots = 4;

UpstreamLoad Load(uint16_t running) {
  UpstreamLoad load;
  load.known = true;
  load.running = running;
  load.slots = kSlots;
  return load;
}

}  // namespace

TEST_GROUP(ShedMonitor) {
  ShedMonitor monitor{kUpstreams};
  TimePoint now{100s};
  pcg32 random{1};

  // Sends `count` requests to each upstream in turn. Each of the first
  // `shedding` upstreams sheds `percent` of its requests and reports `running`
  // requests with the sheds.
  void Send(int count, uint32_t shedding, uint32_t percent, uint16_t running) {
    for (int i = 0; i < count; ++i) {
      for (uint32_t place = 0; place < kUpstreams; ++place) {
        this->now += 2ms;
        this->monitor.OnSend(this->now, place);
        if (place < shedding && this->random(100) < percent) {
          this->monitor.OnLoad(this->now, place, Load(running));
          this->monitor.OnShed(this->now, place, true);
        } else {
          this->monitor.OnAnswer();
        }
        this->monitor.Update(this->now);
      }
    }
  }

  void CheckCase(ShedCase expected) {
    STRCMP_EQUAL(NameOf(expected).data(),
                 NameOf(this->monitor.current()).data());
  }
};

// Failure: a few sheds change how requests are treated.
TEST(ShedMonitor, Case_FewSheds_None) {
  this->Send(1, kUpstreams, 100, 0);
  this->CheckCase(ShedCase::kNone);
}

// Failure: one bad upstream is taken for a fault of all, and gets requests as
// if it were healthy.
TEST(ShedMonitor, Case_OneUpstreamSheds_OneUpstream) {
  for (const uint32_t percent : {30, 55, 80, 100}) {
    this->monitor = ShedMonitor(kUpstreams);
    this->Send(40, 1, percent, 0);
    this->CheckCase(ShedCase::kOneUpstream);
  }
}

// Failure: upstreams that shed at random are paused together, though they have
// free slots.
TEST(ShedMonitor, Case_AllShedWithFreeSlots_WithRoom) {
  for (const uint32_t percent : {30, 55, 80}) {
    this->monitor = ShedMonitor(kUpstreams);
    this->Send(40, kUpstreams, percent, 1);
    this->CheckCase(ShedCase::kWithRoom);
  }
}

// Failure: full upstreams get retries and early returns, which adds to the
// overload.
TEST(ShedMonitor, Case_AllShedAtFullSlots_Overload) {
  for (const uint32_t percent : {30, 55, 80}) {
    this->monitor = ShedMonitor(kUpstreams);
    this->Send(40, kUpstreams, percent, kSlots);
    this->CheckCase(ShedCase::kOverload);
  }
}

// Failure: upstreams that serve nothing get all requests as if retries helped.
TEST(ShedMonitor, Case_NothingIsServed_Overload) {
  this->Send(20, kUpstreams, 100, 0);
  this->CheckCase(ShedCase::kOverload);
}

// Failure: the served requests of the time before hide that nothing is served
// any more.
TEST(ShedMonitor, Case_RandomShedsBecomeOutage_Overload) {
  this->Send(40, kUpstreams, 55, 1);
  this->CheckCase(ShedCase::kWithRoom);
  this->Send(13, kUpstreams, 100, 1);
  this->CheckCase(ShedCase::kOverload);
}

// Upstreams report no load: the dispatcher's own count decides.
TEST(ShedMonitor, Case_NoReports_OwnCountDecides) {
  for (const bool has_room : {false, true}) {
    this->monitor = ShedMonitor(kUpstreams);
    for (uint32_t i = 0; i < 200; ++i) {
      this->now += 2ms;
      const uint32_t place = i % kUpstreams;
      this->monitor.OnSend(this->now, place);
      if (this->random(2) == 0) {
        this->monitor.OnShed(this->now, place, has_room);
      }
      this->monitor.OnAnswer();
    }
    this->monitor.Update(this->now);
    this->CheckCase(has_room ? ShedCase::kWithRoom : ShedCase::kOverload);
  }
}

// Reports are old: it is unknown whether slots are free, which counts as
// overload.
TEST(ShedMonitor, Case_OldReports_Overload) {
  for (uint32_t place = 0; place < kUpstreams; ++place) {
    this->monitor.OnLoad(this->now, place, Load(0));
  }
  this->now += 1001ms;
  for (uint32_t i = 0; i < 100; ++i) {
    this->now += 1ms;
    this->monitor.OnSend(this->now, i % kUpstreams);
    if (i % 8 < kUpstreams) {
      this->monitor.OnShed(this->now, i % kUpstreams, true);
    }
    this->monitor.OnAnswer();
  }
  this->monitor.Update(this->now);
  this->CheckCase(ShedCase::kOverload);
}

// Failure: the case outlives its cause.
TEST(ShedMonitor, Case_ShedsEnd_NoneWithinSeconds) {
  this->Send(40, kUpstreams, 55, 1);
  this->Send(40, 0, 0, 0);
  this->now += 5s;
  CHECK(this->monitor.Update(this->now));
  this->CheckCase(ShedCase::kNone);
  CHECK_FALSE(this->monitor.IsOver(this->now));
  this->now += 6s;
  CHECK(this->monitor.IsOver(this->now));
}

// Another upstream at the same place starts without history.
TEST(ShedMonitor, Forget_AllPlaces_None) {
  this->Send(40, kUpstreams, 55, 1);
  for (uint32_t place = 0; place < kUpstreams; ++place) {
    this->monitor.Forget(place);
  }
  this->monitor.Update(this->now);
  this->CheckCase(ShedCase::kNone);
}

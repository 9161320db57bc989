// Tests of what the dispatcher does about sheds, by their cause.

#include <algorithm>

#include "decision_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::AttemptEnd;
using basilsill::AttemptReport;
using basilsill::DispatchAction;
using basilsill::DispatcherOptions;
using basilsill::DispatchHarness;
using basilsill::DispatchRequest;
using basilsill::Duration;
using basilsill::RatioBudgetOptions;
using basilsill::Refusal;
using basilsill::Retry;
using basilsill::ShedCase;
using basilsill::ShortMillis;
using basilsill::TrafficClass;
using basilsill::UpstreamEvent;
using basilsill::UpstreamEventKind;

namespace {

constexpr uint16_t kSlots = 4;
constexpr uint32_t kUpstreams = 4;
constexpr uint16_t kAllSlots = kSlots * kUpstreams;
constexpr RatioBudgetOptions kUnlimited{1, 1000, 1000, 1000};

DispatcherOptions Options() {
  DispatcherOptions options;
  options.repeats = basilsill::SplitRepeatBudget({0.2, 58, 10s});
  options.retry_budget = kUnlimited;
  options.hedge_budget = kUnlimited;
  options.features.send_ahead = false;
  return options;
}

}  // namespace

TEST_GROUP(DispatchShed) {
  DispatchHarness harness{Options()};
  uint32_t sheds = 0;

  void setup() override {
    this->Begin(Options());
  }

  void Begin(const DispatcherOptions& options) {
    this->harness = DispatchHarness(options);
    for (uint32_t i = 0; i < kUpstreams; ++i) {
      this->harness.fixture.AddUpstream(0, kSlots);
    }
    this->harness.Apply();
    // The shard has its whole share of the fleet's limit from then on.
    this->harness.Advance(11s);
    this->harness.WarmUp(200);
  }

  static AttemptReport ShedWith(uint16_t running) {
    AttemptReport report = DispatchHarness::Report(AttemptEnd::kShed, 503);
    report.load.known = true;
    report.load.running = running;
    report.load.slots = kSlots;
    return report;
  }

  DispatchRequest Request(TrafficClass traffic_class, ShortMillis target) {
    DispatchRequest request = this->harness.Request();
    request.traffic_class = traffic_class;
    request.good_for = target;
    return request;
  }

  // Offers requests and ends all attempts. Three of five attempts at the first
  // `shedding` upstreams are shed, with `running` requests reported.
  void Run(int count, uint32_t shedding, uint16_t running) {
    for (int i = 0; i < count; ++i) {
      this->harness.Offer();
      this->harness.Advance(1ms);
      while (!this->harness.running.empty()) {
        const uint32_t upstream = this->harness.running.front().upstream.index;
        const bool shed = upstream < shedding && ++this->sheds % 5 < 3;
        this->harness.EndAt(
            0, shed ? ShedWith(running)
                    : DispatchHarness::Report(AttemptEnd::kAnswered));
      }
    }
  }

  // Offers a request and sheds all of its attempts.
  uint64_t ShedAll(const DispatchRequest& request, uint16_t running) {
    const uint64_t cookie = this->harness.Offer(request);
    while (basilsill::IsValid(this->harness.RunOf(cookie).attempt)) {
      this->harness.End(cookie, ShedWith(running));
    }
    return cookie;
  }

  uint16_t OpenSlots() const {
    return this->harness.dispatcher
        ->Summarize(this->harness.now, this->harness.shard)
        .slots;
  }

  ShedCase LastCase() const {
    ShedCase last = ShedCase::kNone;
    for (const UpstreamEvent& event : this->harness.events) {
      last =
          event.kind == UpstreamEventKind::kShedCase ? event.shed_case : last;
    }
    return last;
  }

  Duration ReturnOf(uint64_t cookie) const {
    for (const DispatchAction& action : this->harness.refused) {
      if (action.cookie == cookie) {
        return action.retry_after;
      }
    }
    return Duration(-1);
  }

  uint64_t CountSheds(ShedCase shed_case) const {
    return this->harness.dispatcher->counters().sheds.at(
        static_cast<size_t>(shed_case));
  }
};

// Failure: all upstreams shed at random and are paused together, so requests
// queue and are late while most slots are free.
TEST(DispatchShed, WithRoom_ManySheds_NoUpstreamPaused) {
  this->Run(200, kUpstreams, 1);
  CHECK(this->LastCase() == ShedCase::kWithRoom);
  CHECK_EQUAL(kAllSlots, this->OpenSlots());
  CHECK(this->CountSheds(ShedCase::kWithRoom) > 100);
}

// Without the mechanism each shed pauses its upstream.
TEST(DispatchShed, Off_ManySheds_UpstreamsPaused) {
  DispatcherOptions options = Options();
  options.features.shed_triage = false;
  this->Begin(options);
  this->Run(200, kUpstreams, 1);
  this->ShedAll(this->Request(TrafficClass::kUrgent, ShortMillis(0)), 1);
  CHECK(this->OpenSlots() < kAllSlots);
  CHECK_EQUAL(0, this->CountSheds(ShedCase::kWithRoom));
}

// Failure: requests are sent on to a bad upstream as fast as to healthy ones.
TEST(DispatchShed, OneUpstream_ManySheds_ThatOnePaused) {
  this->Run(200, 1, 1);
  CHECK(this->LastCase() != ShedCase::kWithRoom);
  while (this->OpenSlots() == kAllSlots) {
    this->Run(1, 1, 1);
  }
  CHECK_EQUAL(kAllSlots - kSlots, this->OpenSlots());
}

// Failure: full upstreams get the requests that they shed again at once.
TEST(DispatchShed, Overload_ManySheds_UpstreamsPaused) {
  this->Run(200, kUpstreams, kSlots);
  CHECK(this->LastCase() == ShedCase::kOverload);
  this->ShedAll(this->Request(TrafficClass::kUrgent, ShortMillis(0)), kSlots);
  CHECK(this->OpenSlots() < kAllSlots);
}

// Failure: in an overload, requests that are late anyway take the repeats.
TEST(DispatchShed, Overload_LateRequest_NotRepeated) {
  this->Run(200, kUpstreams, kSlots);
  this->Run(1, 0, 0);  // An answer ends the pauses.
  const uint64_t before = this->harness.Count(Retry::kDeniedOverload);
  const uint64_t cookie =
      this->harness.Offer(this->Request(TrafficClass::kUrgent, 6ms));
  this->harness.Advance(3ms);
  this->harness.End(cookie, ShedWith(kSlots));
  CHECK_EQUAL(before + 1, this->harness.Count(Retry::kDeniedOverload));
  CHECK(this->harness.RefusalFor(cookie) != Refusal::kNone);
}

// Failure: less urgent and late requests use up the repeats, and an urgent one
// that could still be in time is refused.
TEST(DispatchShed, WithRoom_RepeatsScarce_UrgentKeepTheLastPart) {
  this->Run(300, kUpstreams, 1);
  const DispatchRequest bulk = this->Request(TrafficClass::kBulk, 500ms);
  const DispatchRequest urgent = this->Request(TrafficClass::kUrgent, 500ms);
  this->ShedAll(urgent, 1);
  uint64_t denied = this->harness.Count(Retry::kDeniedBudget);
  for (int i = 0; i < 2000; ++i) {
    this->ShedAll(bulk, 1);
    this->Run(1, kUpstreams, 1);
    if (this->harness.Count(Retry::kDeniedBudget) > denied + 100) {
      break;
    }
  }
  denied = this->harness.Count(Retry::kDeniedBudget);
  this->ShedAll(bulk, 1);
  CHECK_EQUAL(denied + 1, this->harness.Count(Retry::kDeniedBudget));
  // The requests of Run are ordinary and may use more than bulk ones, but not
  // the part of the urgent ones.
  const uint64_t repeats = this->harness.Count(Retry::kShed);
  this->ShedAll(this->Request(TrafficClass::kUrgent, 500ms), 1);
  CHECK(this->harness.Count(Retry::kShed) > repeats);
}

// Failure: a request that is late gets a repeat that one in time needs.
TEST(DispatchShed, WithRoom_LateRequest_GetsNoneOfTheLastHalf) {
  this->Run(400, kUpstreams, 1);
  uint64_t denied = this->harness.Count(Retry::kDeniedBudget);
  const uint64_t late =
      this->harness.Offer(this->Request(TrafficClass::kUrgent, 2ms));
  this->harness.Advance(3ms);
  this->harness.End(late, ShedWith(1));
  CHECK_EQUAL(denied + 1, this->harness.Count(Retry::kDeniedBudget));
}

// Failure: the caller is told to return after its target.
TEST(DispatchShed, WithRoom_Refused_ReturnsWithinTarget) {
  this->Run(200, kUpstreams, 1);
  const uint64_t cookie =
      this->ShedAll(this->Request(TrafficClass::kUrgent, 165ms), 1);
  CHECK(this->harness.RefusalFor(cookie) == Refusal::kUpstreamShed);
  CHECK(this->ReturnOf(cookie) >= 10ms);
  CHECK(this->ReturnOf(cookie) <= 24ms);
}

// A target that has passed or is unknown leaves the time as it was.
TEST(DispatchShed, WithRoom_NoTargetToMeet_ReturnsAsBefore) {
  this->Run(200, kUpstreams, 1);
  for (const ShortMillis target : {0ms, 1ms}) {
    const uint64_t cookie =
        this->ShedAll(this->Request(TrafficClass::kUrgent, target), 1);
    CHECK(this->ReturnOf(cookie) >= 100ms);
    CHECK(this->ReturnOf(cookie) <= 150ms);
  }
}

// Failure: callers return before a slot can be free, and add to the overload.
TEST(DispatchShed, Overload_Refused_ReturnsNotBeforeExpectedWait) {
  this->Run(200, kUpstreams, kSlots);
  this->Run(1, 0, 0);  // An answer ends the pauses.
  const uint64_t cookie =
      this->ShedAll(this->Request(TrafficClass::kUrgent, 165ms), kSlots);
  CHECK(this->harness.RefusalFor(cookie) == Refusal::kUpstreamShed);
  CHECK(this->ReturnOf(cookie) >= 100ms);
}

// Failure: hedges take the repeats that shed requests need.
TEST(DispatchShed, AllShed_SlowAttempt_NotHedged) {
  for (const uint16_t running : {uint16_t{1}, kSlots}) {
    this->Begin(Options());
    this->Run(200, kUpstreams, running);
    this->harness.Advance(300ms);
    DispatchRequest request = this->Request(TrafficClass::kUrgent, 500ms);
    request.hedge = true;
    this->harness.Offer(request);
    this->harness.Advance(200ms);
    CHECK_EQUAL(0, this->harness.Count(Retry::kHedge));
  }
}

// Another dispatcher took over: it has no history, so its first sheds pause
// their upstreams as before.
TEST(DispatchShed, NewDispatcher_FirstSheds_PauseAsBefore) {
  this->ShedAll(this->Request(TrafficClass::kUrgent, 165ms), 1);
  CHECK(this->LastCase() == ShedCase::kNone);
  CHECK(this->OpenSlots() < kAllSlots);
}

// Events of a shard whose case changes often are at least a second apart.
TEST(DispatchShed, Case_ChangesOften_LoggedOnceASecond) {
  for (int i = 0; i < 10; ++i) {
    this->Run(100, kUpstreams, i % 2 == 0 ? 1 : kSlots);
  }
  const auto logged =
      std::count_if(this->harness.events.begin(), this->harness.events.end(),
                    [](const UpstreamEvent& event) {
                      return event.kind == UpstreamEventKind::kShedCase;
                    });
  CHECK(logged >= 1);
  CHECK(logged <= 2);
}

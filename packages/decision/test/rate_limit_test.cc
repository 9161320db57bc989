// Tests of upstreams that name a rate limit: what they get, and what becomes of
// requests that they can't take.

#include <array>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "decision_fixture.h"
#include "rate_limit_simulation.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::AttemptEnd;
using basilsill::AttemptReport;
using basilsill::DispatcherOptions;
using basilsill::DispatchHarness;
using basilsill::DispatchRequest;
using basilsill::Duration;
using basilsill::Fingerprint;
using basilsill::Quarantine;
using basilsill::RateLimitPresence;
using basilsill::RateLimitSimulation;
using basilsill::RateLimitSimulationOptions;
using basilsill::Refusal;
using basilsill::TrafficClass;
using basilsill::UpstreamEvent;
using basilsill::UpstreamEventKind;
using basilsill::UpstreamHandle;

TEST_GROUP(RateLimit){// What an upstream gets in ten seconds, once it has named
                      // `limit` for a while.
                      static size_t CountIn10s(RateLimitSimulation & world,
                                               double limit){world.Run(2s);
world.SetLimit(0, limit);
world.Run(3s);
const size_t before = world.arrivals(0);
world.Run(10s);
return world.arrivals(0) - before;
}
}
;

// An upstream that names a limit gets as much as before, requests and
// questions.
TEST(RateLimit, Upstream_NamesALimit_GetsNoMoreThanThat) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    RateLimitSimulation world(seed, RateLimitSimulationOptions{});
    const size_t got = CountIn10s(world, 1.7);
    const std::string told = std::to_string(got) + " of 17, " +
                             std::to_string(world.questions(0)) + " questions";
    CHECK_TEXT(got <= 18, told.c_str());
    CHECK(world.worst_excess() <= 0);
  }
}

TEST(RateLimit, Upstream_WhileOthersAreBusy_GetsWhatItTakes) {
  RateLimitSimulationOptions options;
  options.requests_per_second = 40;
  RateLimitSimulation world(1, options);
  const size_t got = CountIn10s(world, 3);
  CHECK(got >= 25);
  CHECK(got <= 31);
}

// A limit that slots could not use up must cost nothing.
TEST(RateLimit, Upstream_NamesAMillion_GetsAsMuchAsBefore) {
  RateLimitSimulation named(1, RateLimitSimulationOptions{});
  CHECK(CountIn10s(named, 1e6) > 100);
}

// An upstream that gets nothing can't say that it takes work again.
TEST(RateLimit, Upstream_NamesZeroAndEndsIt_IsUsedAgain) {
  RateLimitSimulation world(1, RateLimitSimulationOptions{});
  const size_t got = CountIn10s(world, 0);
  CHECK(got >= 1);
  CHECK(got <= 2);
  world.SetLimit(0, std::nullopt);
  world.Run(10s);
  const size_t before = world.arrivals(0);
  world.Run(2s);
  CHECK(world.arrivals(0) - before > 20);
}

TEST(RateLimit, Upstream_LimitEndsInCalm_IsUsedAgainSoon) {
  RateLimitSimulationOptions options;
  options.requests_per_second = 5;
  RateLimitSimulation world(1, options);
  CountIn10s(world, 1.7);
  world.SetLimit(0, std::nullopt);
  world.Run(3s);
  const size_t before = world.arrivals(0);
  world.Run(10s);
  CHECK(world.arrivals(0) - before > 10);
}

// Owners change, VMs restart and are cut off from each other, limits change and
// end: a limit is broken by VMs that each keep to it.
TEST(RateLimit, RandomHistory_OfThreeVms_NeverAboveTheBound) {
  size_t answered = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    RateLimitSimulationOptions options;
    options.vms = 3;
    options.stale_percent = 5;
    options.died_percent = 3;
    options.shed_percent = 5;
    RateLimitSimulation world(seed, options);
    std::array<std::optional<double>, 6> limits = {0,   0.1, 1.7,
                                                   4.5, 30,  std::nullopt};
    for (int i = 0; i < 200; ++i) {
      world.Run(100ms);
      auto& dice = world.dice();
      if (dice(4) == 0) {
        world.SetDispatches(dice(3), dice(2) == 0);
      }
      if (dice(20) == 0) {
        world.Restart(dice(3));
      }
      if (dice(10) == 0) {
        world.SetCutOff(dice(3), dice(2) == 0);
      }
      if (dice(15) == 0) {
        world.SetLimit(dice(3), limits[dice(6)]);
      }
    }
    const std::string told =
        std::to_string(seed) + ": " + std::to_string(world.worst_excess());
    CHECK_TEXT(world.worst_excess() <= 0, told.c_str());
    answered += world.answered();
  }
  CHECK(answered > 20 * 20 * 10);
}

// A VM starts, or begins to dispatch in another's place, and sends a limited
// upstream as much as any until its first answer.
TEST(RateLimit, Vm_ThatStarts_IsToldByTheOneThatDispatched) {
  RateLimitSimulationOptions options;
  options.vms = 2;
  RateLimitSimulation world(1, options);
  world.SetDispatches(1, false);
  world.SetLimit(0, 0.5);
  world.Run(5s);
  world.Restart(1);
  world.Run(5s);
  const size_t before = world.arrivals(0);
  world.SetDispatches(0, false);
  world.SetDispatches(1, true);
  world.Run(1s);
  CHECK(world.arrivals(0) - before <= 1);
}

// What was told of one start of an upstream must not bind the next.
TEST(RateLimit, Report_OfAnEarlierStart_BindsNobody) {
  DispatchHarness first;
  DispatchHarness second;
  for (DispatchHarness* harness : {&first, &second}) {
    harness->fixture.AddUpstream(0);
    harness->fixture.AddIncarnations();
    harness->Apply();
  }
  second.fixture.RestartUpstream({0, 0});
  second.Apply();
  const uint64_t cookie = first.Offer();
  AttemptReport report = DispatchHarness::Report(AttemptEnd::kAnswered);
  report.rate_limit = {RateLimitPresence::kNamed, 0};
  first.End(cookie, report);
  const auto news = first.dispatcher->TakeRateLimitUpdates(first.now);
  CHECK(!news.empty());
  second.dispatcher->OnRateLimitReport(second.now, news.front().report);
  second.Offer();
  CHECK_EQUAL(1, second.running.size());
}

/// One upstream of two names a limit that leaves it nothing for seconds.
TEST_GROUP(RateLimitWays) {
  std::unique_ptr<DispatchHarness> harness;
  UpstreamHandle limited;
  UpstreamHandle free;

  void setup() override {
    this->Start({});
  }

  void Start(const DispatcherOptions& options, bool can_be_asked = false) {
    this->harness = std::make_unique<DispatchHarness>(options);
    this->limited = this->harness->fixture.AddUpstream(0);
    this->free = this->harness->fixture.AddUpstream(0);
    this->harness->fixture.service.health_path = can_be_asked ? "/health" : "";
    this->Settle();
  }

  // The VM has been the shard's first owner for long.
  void Settle() {
    const auto view = this->harness->fixture.Build();
    this->harness->fixture.view.self =
        view->services.at(0)->shards.at(0).owners.at(0);
    this->harness->Apply();
    const uint64_t cookie = this->harness->Offer();
    this->harness->dispatcher->Cancel(this->harness->now,
                                      this->harness->HandleOf(cookie));
    this->harness->Collect();
    this->harness->asked.clear();
    this->harness->Advance(5s);
  }

  static AttemptReport Limited(double per_second) {
    AttemptReport report = DispatchHarness::Report(AttemptEnd::kAnswered);
    report.rate_limit = {RateLimitPresence::kNamed, per_second};
    return report;
  }

  void Name(double per_second) {
    for (int i = 0; i < 4; ++i) {
      this->harness->Offer();
    }
    this->harness->EndOn(this->limited, Limited(per_second));
    this->EndAll();
  }

  // All upstreams of the shard name the limit.
  void NameAll(double per_second) {
    this->harness->WarmUp();
    this->OfferMany(4);
    this->harness->EndOn(this->limited, Limited(per_second));
    this->harness->EndOn(this->free, Limited(per_second));
    this->EndAll();
    this->harness->refused.clear();
  }

  void EndAll() {
    while (!this->harness->running.empty()) {
      this->harness->EndAt(0, DispatchHarness::Report(AttemptEnd::kAnswered));
    }
  }

  void OfferMany(int count = 20) {
    for (int i = 0; i < count; ++i) {
      this->harness->Offer();
    }
  }

  void CheckSpared() {
    CHECK_EQUAL(0, this->harness->RunningOn(this->limited));
  }

  size_t CountRefused(Refusal refusal) const {
    size_t count = 0;
    for (const auto& action : this->harness->refused) {
      count += action.refusal == refusal ? 1 : 0;
    }
    return count;
  }
};

TEST(RateLimitWays, Offer_FromTheQueueOrAhead_Spared) {
  this->Name(0);
  this->OfferMany();
  this->harness->Advance(100ms);
  this->CheckSpared();
}

TEST(RateLimitWays, Hedge_Due_Spared) {
  this->harness->WarmUp(200);
  this->Name(0);
  DispatchRequest request = this->harness->Request();
  request.hedge = true;
  this->harness->Offer(request);
  this->harness->Advance(200ms);
  this->CheckSpared();
}

TEST(RateLimitWays, Repeat_AfterADeathOrARefusal_Spared) {
  this->Name(0);
  for (const AttemptEnd end : {AttemptEnd::kDied, AttemptEnd::kShed}) {
    const uint64_t cookie = this->harness->Offer();
    this->harness->End(cookie, end);
    this->harness->Advance(20ms);
    this->CheckSpared();
  }
}

TEST(RateLimitWays, StaleConnection_NotSentAgainThere) {
  this->OfferMany(4);
  const auto on_limited = this->harness->running.at(
      this->harness->running.at(0).upstream == this->limited ? 0 : 1);
  CHECK(this->limited == on_limited.upstream);
  CHECK(this->harness->dispatcher->MaySendAgain(this->harness->now,
                                                on_limited.attempt));
  size_t ended = 0;
  for (size_t i = 0; i < this->harness->running.size(); ++i) {
    const auto& run = this->harness->running[i];
    if (run.upstream == this->limited && run.attempt != on_limited.attempt) {
      this->harness->EndAt(i, Limited(0));
      ++ended;
      break;
    }
  }
  CHECK_EQUAL(1, ended);
  CHECK_FALSE(this->harness->dispatcher->MaySendAgain(this->harness->now,
                                                      on_limited.attempt));
}

TEST(RateLimitWays, Isolation_OfASuspect_Spared) {
  DispatcherOptions options;
  options.quarantine = Quarantine::Create({});
  this->Start(options);
  this->Name(0);
  constexpr Fingerprint kSuspect = 7;
  options.quarantine->OnCrash(this->harness->now, 1, {{kSuspect}});
  DispatchRequest request = this->harness->Request();
  request.fingerprint = kSuspect;
  this->harness->Offer(request);
  CHECK_EQUAL(1, this->harness->running.size());
  this->CheckSpared();
}

// A request is held until an upstream is fast again, and those that may be are
// asked: a question takes the place of a request.
TEST(RateLimitWays, Question_WhileARequestIsHeld_NotAsked) {
  this->Start({}, true);
  this->OfferMany(2);
  this->harness->AnswerLoadQuery(this->free, 10);
  this->harness->AnswerLoadQuery(this->limited, 1);
  CHECK(this->harness->RunningOn(this->limited) > 0);
  this->harness->EndOn(this->limited, Limited(0));
  this->EndAll();
  this->harness->asked.clear();
  this->harness->Advance(500ms);
  this->OfferMany();
  this->harness->Advance(30ms);
  CHECK(!this->harness->asked.empty());
  for (const UpstreamHandle asked : this->harness->asked) {
    CHECK(asked != this->limited);
  }
  this->CheckSpared();
}

// An answer to what was sent before the limit was named comes after it.
TEST(RateLimitWays, Answer_SentBeforeTheLimitWasNamed_DoesNotEndIt) {
  this->OfferMany(4);
  this->harness->EndOn(this->limited, Limited(0));
  this->harness->Advance(1ms);
  AttemptReport silent = DispatchHarness::Report(AttemptEnd::kAnswered);
  silent.rate_limit = {RateLimitPresence::kNone, 0};
  this->harness->EndOn(this->limited, silent);
  this->EndAll();
  this->OfferMany();
  this->CheckSpared();
}

TEST(RateLimitWays, Answer_Unreadable_ChangesNothing) {
  this->Name(0);
  this->harness->Advance(11s);
  this->OfferMany(4);
  CHECK_EQUAL(1, this->harness->RunningOn(this->limited));
  this->harness->EndOn(this->limited,
                       DispatchHarness::Report(AttemptEnd::kAnswered));
  this->EndAll();
  this->OfferMany();
  this->CheckSpared();
}

// It starts again at the same address: what the earlier start said is over.
TEST(RateLimitWays, View_ReplacedAtOneAddress_NotLimited) {
  this->harness->fixture.AddIncarnations();
  this->Name(0);
  this->limited = this->harness->fixture.RestartUpstream(this->limited);
  this->harness->Apply();
  this->OfferMany();
  CHECK(this->harness->RunningOn(this->limited) > 0);
}

TEST(RateLimitWays, Limit_NamedChangedAndEnded_ToldOnceEach) {
  this->Name(5);
  this->harness->Advance(1s);
  this->Name(5);
  this->harness->Advance(1s);
  this->Name(2);
  this->harness->Advance(3s);
  this->OfferMany(4);
  AttemptReport silent = DispatchHarness::Report(AttemptEnd::kAnswered);
  silent.rate_limit = {RateLimitPresence::kNone, 0};
  this->harness->EndOn(this->limited, silent);
  size_t named = 0;
  size_t ended = 0;
  for (const UpstreamEvent& event : this->harness->events) {
    named += event.kind == UpstreamEventKind::kRateLimited ? 1 : 0;
    ended += event.kind == UpstreamEventKind::kRateLimitEnded ? 1 : 0;
  }
  CHECK_EQUAL(2, named);
  CHECK_EQUAL(1, ended);
}

// They stand in the queue until they are late, though it is known that they
// can't be served.
TEST(RateLimitWays, Offer_MoreThanTheyTake_ToldAtOnceWhenToComeBack) {
  this->NameAll(2);
  this->OfferMany(100);
  const size_t waiting = this->harness->Queued();
  CHECK(waiting >= 1);
  CHECK(waiting <= 4);
  CHECK_EQUAL(100, waiting + this->harness->running.size() +
                       this->CountRefused(Refusal::kUpstreamRateLimit));
  for (const auto& refused : this->harness->refused) {
    CHECK(refused.retry_after > 500ms);
  }
  this->harness->Advance(1500ms);
  CHECK_EQUAL(0, this->CountRefused(Refusal::kDeadlinePassedInQueue));
}

TEST(RateLimitWays, Offer_BackgroundThatCanNotBeServed_ToldAtOnce) {
  this->NameAll(0);
  DispatchRequest request = this->harness->Request();
  request.traffic_class = TrafficClass::kBackground;
  request.deadline = this->harness->now + 3s;
  const uint64_t cookie = this->harness->Offer(request);
  CHECK(Refusal::kUpstreamRateLimit == this->harness->RefusalFor(cookie));
}

TEST(RateLimitWays, Limit_FallsWhileRequestsWait_ToldAtOnce) {
  this->NameAll(20);
  this->OfferMany(10);
  this->harness->Advance(60ms);
  const size_t waiting = this->harness->Queued();
  CHECK(waiting > 5);
  this->harness->EndAt(0, Limited(0));
  this->harness->Advance(60ms);
  this->harness->EndAt(0, Limited(0));
  this->harness->Advance(60ms);
  CHECK_EQUAL(0, this->harness->Queued());
  CHECK(this->CountRefused(Refusal::kUpstreamRateLimit) > 5);
}

// Siblings without a limit pause for a moment, and requests are refused for the
// rate of the one that has one.
TEST(RateLimitWays, Siblings_PauseForAMoment_WaitedFor) {
  this->Name(0);
  this->OfferMany(2);
  while (!this->harness->running.empty()) {
    this->harness->EndAt(0, DispatchHarness::Report(AttemptEnd::kShed));
  }
  this->OfferMany(4);
  CHECK_EQUAL(0, this->CountRefused(Refusal::kUpstreamRateLimit));
  this->harness->Advance(300ms);
  CHECK_EQUAL(0, this->CountRefused(Refusal::kUpstreamRateLimit));
}

// A team that asks for much takes all that limited upstreams can do.
TEST(RateLimitWays, TwoTeams_OneAsksForMuchMore_TheOtherIsServed) {
  const auto other = this->harness->fixture.AddTeam("fjellmagasin");
  this->harness->Apply();
  this->NameAll(10);
  std::set<uint64_t> of_other;
  size_t served = 0;
  for (int i = 0; i < 200; ++i) {
    this->OfferMany(2);
    if (i % 12 == 0) {
      DispatchRequest request = this->harness->Request();
      request.team = other;
      of_other.insert(this->harness->Offer(request));
    }
    this->harness->Advance(20ms);
    while (!this->harness->running.empty()) {
      served += of_other.count(this->harness->running.front().cookie);
      this->harness->EndAt(0, Limited(10));
    }
  }
  CHECK(served + 1 >= of_other.size());
}

// Tests upstreams that advertise a rate limit: what they get, and what happens
// to requests that exceed the limit.

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

// CountIn10s returns how many requests and probes an upstream gets in ten
// seconds, once it has advertised `limit` for a while.
TEST_GROUP(RateLimit){static size_t CountIn10s(RateLimitSimulation & simulation,
                                               double limit){simulation.Run(2s);
simulation.SetLimit(0, limit);
simulation.Run(3s);
const size_t before = simulation.arrivals(0);
simulation.Run(10s);
return simulation.arrivals(0) - before;
}
}
;

// Failure: an upstream that advertises a limit still gets as many requests and
// probes as before.
TEST(RateLimit, Upstream_AdvertisesALimit_GetsNoMoreThanThat) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    RateLimitSimulation simulation(seed, RateLimitSimulationOptions{});
    const size_t got = CountIn10s(simulation, 1.7);
    const std::string message = std::to_string(got) + " of 17, " +
                                std::to_string(simulation.probes(0)) +
                                " questions";
    CHECK_TEXT(got <= 18, message.c_str());
    CHECK(simulation.worst_excess() <= 0);
  }
}

TEST(RateLimit, Upstream_WhileOthersAreBusy_GetsItsLimit) {
  RateLimitSimulationOptions options;
  options.requests_per_second = 40;
  RateLimitSimulation simulation(1, options);
  const size_t got = CountIn10s(simulation, 3);
  CHECK(got >= 25);
  CHECK(got <= 31);
}

// A limit that the slots can't reach must not reduce throughput.
TEST(RateLimit, Upstream_AdvertisesAMillion_GetsAsMuchAsBefore) {
  RateLimitSimulation named(1, RateLimitSimulationOptions{});
  CHECK(CountIn10s(named, 1e6) > 100);
}

// Failure: an upstream that gets no requests can't advertise that it takes work
// again.
TEST(RateLimit, Upstream_AdvertisesZeroThenNone_IsUsedAgain) {
  RateLimitSimulation simulation(1, RateLimitSimulationOptions{});
  const size_t got = CountIn10s(simulation, 0);
  CHECK(got >= 1);
  CHECK(got <= 2);
  simulation.SetLimit(0, std::nullopt);
  simulation.Run(10s);
  const size_t before = simulation.arrivals(0);
  simulation.Run(2s);
  CHECK(simulation.arrivals(0) - before > 20);
}

TEST(RateLimit, Upstream_LimitEndsUnderLowLoad_IsUsedAgainSoon) {
  RateLimitSimulationOptions options;
  options.requests_per_second = 5;
  RateLimitSimulation simulation(1, options);
  CountIn10s(simulation, 1.7);
  simulation.SetLimit(0, std::nullopt);
  simulation.Run(3s);
  const size_t before = simulation.arrivals(0);
  simulation.Run(10s);
  CHECK(simulation.arrivals(0) - before > 10);
}

// Failure: the VMs together exceed a limit although each of them keeps to it.
// Owners change, VMs restart and are cut off from each other, limits change and
// end.
TEST(RateLimit, RandomHistory_OfThreeVms_NeverAboveTheBound) {
  size_t answered = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    RateLimitSimulationOptions options;
    options.vms = 3;
    options.stale_percent = 5;
    options.died_percent = 3;
    options.shed_percent = 5;
    RateLimitSimulation simulation(seed, options);
    std::array<std::optional<double>, 6> limits = {0,   0.1, 1.7,
                                                   4.5, 30,  std::nullopt};
    for (int i = 0; i < 200; ++i) {
      simulation.Run(100ms);
      auto& random_source = simulation.random_source();
      if (random_source(4) == 0) {
        simulation.SetDispatches(random_source(3), random_source(2) == 0);
      }
      if (random_source(20) == 0) {
        simulation.Restart(random_source(3));
      }
      if (random_source(10) == 0) {
        simulation.SetCutOff(random_source(3), random_source(2) == 0);
      }
      if (random_source(15) == 0) {
        simulation.SetLimit(random_source(3), limits[random_source(6)]);
      }
    }
    const std::string message =
        std::to_string(seed) + ": " + std::to_string(simulation.worst_excess());
    CHECK_TEXT(simulation.worst_excess() <= 0, message.c_str());
    answered += simulation.answered();
  }
  CHECK(answered > 20 * 20 * 10);
}

// Failure: a VM begins to dispatch, after a start or in place of another VM,
// and sends a limited upstream as much as any other until its first answer.
TEST(RateLimit, Vm_BeginsToDispatch_KnowsTheReportedLimit) {
  RateLimitSimulationOptions options;
  options.vms = 2;
  RateLimitSimulation simulation(1, options);
  simulation.SetDispatches(1, false);
  simulation.SetLimit(0, 0.5);
  simulation.Run(5s);
  simulation.Restart(1);
  simulation.Run(5s);
  const size_t before = simulation.arrivals(0);
  simulation.SetDispatches(0, false);
  simulation.SetDispatches(1, true);
  simulation.Run(1s);
  CHECK(simulation.arrivals(0) - before <= 1);
}

// A report about one incarnation of an upstream must not apply to the next.
TEST(RateLimit, Report_OfAnEarlierIncarnation_IsIgnored) {
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
  const auto updates = first.dispatcher->TakeRateLimitUpdates(first.now);
  CHECK(!updates.empty());
  second.dispatcher->OnRateLimitReport(second.now, updates.front().report);
  second.Offer();
  CHECK_EQUAL(1, second.running.size());
}

/// One of two upstreams advertises a limit that allows no request for seconds.
TEST_GROUP(RateLimitDispatch) {
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

  // Makes the VM the shard's first owner for long enough to use the whole
  // limit.
  void Settle() {
    const auto view = this->harness->fixture.Build();
    this->harness->fixture.view.self =
        view->services.at(0)->shards.at(0).owners.at(0);
    this->harness->Apply();
    const uint64_t cookie = this->harness->Offer();
    this->harness->dispatcher->Cancel(this->harness->now,
                                      this->harness->HandleOf(cookie));
    this->harness->Collect();
    this->harness->queried.clear();
    this->harness->Advance(5s);
  }

  static AttemptReport Limited(double per_second) {
    AttemptReport report = DispatchHarness::Report(AttemptEnd::kAnswered);
    report.rate_limit = {RateLimitPresence::kNamed, per_second};
    return report;
  }

  void AdvertiseLimit(double per_second) {
    for (int i = 0; i < 4; ++i) {
      this->harness->Offer();
    }
    this->harness->EndOn(this->limited, Limited(per_second));
    this->EndAll();
  }

  // All upstreams of the shard advertise the limit.
  void AdvertiseLimitOnAll(double per_second) {
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

  void CheckLimitedGetsNothing() {
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

TEST(RateLimitDispatch, Offer_FromTheQueueOrAhead_SkipsLimited) {
  this->AdvertiseLimit(0);
  this->OfferMany();
  this->harness->Advance(100ms);
  this->CheckLimitedGetsNothing();
}

TEST(RateLimitDispatch, Hedge_Due_SkipsLimited) {
  this->harness->WarmUp(200);
  this->AdvertiseLimit(0);
  DispatchRequest request = this->harness->Request();
  request.hedge = true;
  this->harness->Offer(request);
  this->harness->Advance(200ms);
  this->CheckLimitedGetsNothing();
}

TEST(RateLimitDispatch, Retry_AfterACrashOrARefusal_SkipsLimited) {
  this->AdvertiseLimit(0);
  for (const AttemptEnd end : {AttemptEnd::kDied, AttemptEnd::kShed}) {
    const uint64_t cookie = this->harness->Offer();
    this->harness->End(cookie, end);
    this->harness->Advance(20ms);
    this->CheckLimitedGetsNothing();
  }
}

TEST(RateLimitDispatch, StaleConnection_LimitAdvertised_NotSentAgain) {
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

TEST(RateLimitDispatch, Isolation_OfASuspect_SkipsLimited) {
  DispatcherOptions options;
  options.quarantine = Quarantine::Create({});
  this->Start(options);
  this->AdvertiseLimit(0);
  constexpr Fingerprint kSuspect = 7;
  options.quarantine->OnCrash(this->harness->now, 1, {{kSuspect}});
  DispatchRequest request = this->harness->Request();
  request.fingerprint = kSuspect;
  this->harness->Offer(request);
  CHECK_EQUAL(1, this->harness->running.size());
  this->CheckLimitedGetsNothing();
}

// Failure: while a request is held until an upstream is fast again, the
// candidates are probed, and a probe uses up the rate limit in place of a
// request.
TEST(RateLimitDispatch, Probe_WhileARequestIsHeld_SkipsLimited) {
  this->Start({}, true);
  this->OfferMany(2);
  this->harness->AnswerLoadQuery(this->free, 10);
  this->harness->AnswerLoadQuery(this->limited, 1);
  CHECK(this->harness->RunningOn(this->limited) > 0);
  this->harness->EndOn(this->limited, Limited(0));
  this->EndAll();
  this->harness->queried.clear();
  this->harness->Advance(500ms);
  this->OfferMany();
  this->harness->Advance(30ms);
  CHECK(!this->harness->queried.empty());
  for (const UpstreamHandle queried : this->harness->queried) {
    CHECK(queried != this->limited);
  }
  this->CheckLimitedGetsNothing();
}

// An answer to a request that was sent before the limit was advertised arrives
// after it.
TEST(RateLimitDispatch, Answer_SentBeforeTheLimit_DoesNotEndIt) {
  this->OfferMany(4);
  this->harness->EndOn(this->limited, Limited(0));
  this->harness->Advance(1ms);
  AttemptReport without_limit = DispatchHarness::Report(AttemptEnd::kAnswered);
  without_limit.rate_limit = {RateLimitPresence::kNone, 0};
  this->harness->EndOn(this->limited, without_limit);
  this->EndAll();
  this->OfferMany();
  this->CheckLimitedGetsNothing();
}

TEST(RateLimitDispatch, Answer_Unreadable_ChangesNothing) {
  this->AdvertiseLimit(0);
  this->harness->Advance(11s);
  this->OfferMany(4);
  CHECK_EQUAL(1, this->harness->RunningOn(this->limited));
  this->harness->EndOn(this->limited,
                       DispatchHarness::Report(AttemptEnd::kAnswered));
  this->EndAll();
  this->OfferMany();
  this->CheckLimitedGetsNothing();
}

// The upstream restarts at the same address: the limit of the earlier
// incarnation no longer applies.
TEST(RateLimitDispatch, View_UpstreamReplacedAtSameAddress_NotLimited) {
  this->harness->fixture.AddIncarnations();
  this->AdvertiseLimit(0);
  this->limited = this->harness->fixture.RestartUpstream(this->limited);
  this->harness->Apply();
  this->OfferMany();
  CHECK(this->harness->RunningOn(this->limited) > 0);
}

TEST(RateLimitDispatch, Limit_AdvertisedChangedEnded_OneEventEach) {
  this->AdvertiseLimit(5);
  this->harness->Advance(1s);
  this->AdvertiseLimit(5);
  this->harness->Advance(1s);
  this->AdvertiseLimit(2);
  this->harness->Advance(3s);
  this->OfferMany(4);
  AttemptReport without_limit = DispatchHarness::Report(AttemptEnd::kAnswered);
  without_limit.rate_limit = {RateLimitPresence::kNone, 0};
  this->harness->EndOn(this->limited, without_limit);
  size_t named = 0;
  size_t ended = 0;
  for (const UpstreamEvent& event : this->harness->events) {
    named += event.kind == UpstreamEventKind::kRateLimited ? 1 : 0;
    ended += event.kind == UpstreamEventKind::kRateLimitEnded ? 1 : 0;
  }
  CHECK_EQUAL(2, named);
  CHECK_EQUAL(1, ended);
}

// Failure: requests wait in the queue until their deadlines have passed, though
// it is known that they can't be served.
TEST(RateLimitDispatch, Offer_AboveTheLimits_RefusedAtOnceWithRetryTime) {
  this->AdvertiseLimitOnAll(2);
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

TEST(RateLimitDispatch, Offer_BackgroundThatCanNotBeServed_RefusedAtOnce) {
  this->AdvertiseLimitOnAll(0);
  DispatchRequest request = this->harness->Request();
  request.traffic_class = TrafficClass::kBackground;
  request.deadline = this->harness->now + 3s;
  const uint64_t cookie = this->harness->Offer(request);
  CHECK(Refusal::kUpstreamRateLimit == this->harness->RefusalFor(cookie));
}

TEST(RateLimitDispatch, Limit_FallsWhileRequestsWait_RefusedAtOnce) {
  this->AdvertiseLimitOnAll(20);
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

// Failure: the upstreams without a rate limit are paused for a moment, and
// requests are refused because of the limit of the only upstream that has one.
TEST(RateLimitDispatch, Siblings_PauseForAMoment_RequestsWait) {
  this->AdvertiseLimit(0);
  this->OfferMany(2);
  while (!this->harness->running.empty()) {
    this->harness->EndAt(0, DispatchHarness::Report(AttemptEnd::kShed));
  }
  this->OfferMany(4);
  CHECK_EQUAL(0, this->CountRefused(Refusal::kUpstreamRateLimit));
  this->harness->Advance(300ms);
  CHECK_EQUAL(0, this->CountRefused(Refusal::kUpstreamRateLimit));
}

// Failure: a team with many requests uses up the whole capacity of limited
// upstreams.
TEST(RateLimitDispatch, TwoTeams_OneSendsMuchMore_OtherIsServed) {
  const auto other = this->harness->fixture.AddTeam("fjellmagasin");
  this->harness->Apply();
  this->AdvertiseLimitOnAll(10);
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

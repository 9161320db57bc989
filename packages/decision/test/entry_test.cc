// Tests of the entry side: limits, choice of shard, retries elsewhere.

#include "basilsill/decision/entry.h"

#include "decision_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::Admission;
using basilsill::Duration;
using basilsill::EntryHandle;
using basilsill::EntryOptions;
using basilsill::EntryRequest;
using basilsill::EntryRouter;
using basilsill::RateLimitPresence;
using basilsill::Refusal;
using basilsill::Retry;
using basilsill::RetryDecision;
using basilsill::ShardKey;
using basilsill::ShardRow;
using basilsill::ShardSummary;
using basilsill::Target;
using basilsill::TargetKind;
using basilsill::TeamLimits;
using basilsill::UpstreamHandle;
using basilsill::VmHandle;

TEST_GROUP(Entry) {
  basilsill::ViewFixture fixture;
  std::unique_ptr<EntryRouter> router = EntryRouter::Create({});
  basilsill::RoutingViewPtr view;
  basilsill::TimePoint now{100s};

  void setup() override {
    for (uint32_t i = 0; i < 4; ++i) {
      this->fixture.AddUpstream(i / 2);
    }
    this->Apply();
  }

  void Apply() {
    this->view = this->fixture.Build();
    this->router->ApplyView(this->now, this->view);
  }

  const ShardRow& NearShard() const {
    return this->view->services[0]->shards.at(0);
  }
  const ShardRow& FarShard() const {
    return this->view->services[0]->shards.at(1);
  }

  EntryRequest Request() const {
    EntryRequest request;
    request.team = {0, 0};
    request.service = {0, 0};
    request.deadline = this->now + 1s;
    request.idempotent = true;
    request.replayable = true;
    return request;
  }

  EntryHandle Admit() {
    return this->router->Admit(this->now, this->Request()).entry;
  }

  Target Choose(EntryHandle entry) {
    return this->router->Choose(this->now, entry);
  }

  RetryDecision Refuse(EntryHandle entry, Refusal refusal) {
    return this->router->OnRefused(this->now, entry, refusal, 0);
  }

  // The network between the VMs is gone; only upstreams can be reached.
  void LoseAllVms() {
    this->fixture.view.self = {9, 0};
    this->Apply();
    for (uint32_t i = 0; i < 4; ++i) {
      this->router->OnLink(this->now, {i, 0}, false);
    }
  }

  void Tell(const ShardRow& shard, Duration wait, uint16_t slots = 4) {
    ShardSummary summary;
    summary.shard = shard.key;
    summary.slots = slots;
    summary.busy = slots;
    summary.service_time = 5ms;
    summary.wait = wait;
    this->router->OnSummary(this->now, shard.owners.at(0), summary);
  }
};

TEST(Entry, Admit_AboveConcurrency_RefusedUntilOneEnds) {
  const auto team = this->fixture.AddTeam("small", TeamLimits{2, 512, 0, 1});
  this->Apply();
  EntryRequest request = this->Request();
  request.team = team;
  const Admission first = this->router->Admit(this->now, request);
  this->router->Admit(this->now, request);
  const Admission third = this->router->Admit(this->now, request);
  CHECK(third.refusal == Refusal::kTeamConcurrencyLimit);
  CHECK(third.retry_after > 0ms);
  CHECK(IsValid(this->Admit()));
  this->router->Finish(this->now, first.entry);
  CHECK(IsValid(this->router->Admit(this->now, request).entry));
}

TEST(Entry, Admit_Quarantined_RefusedOnEveryVm) {
  EntryOptions options;
  options.quarantine = basilsill::Quarantine::Create({});
  const std::vector<basilsill::Fingerprint> poison = {666};
  options.quarantine->OnCrash(this->now, 1, poison);
  options.quarantine->OnCrash(this->now, 2, poison);
  const auto guarded = EntryRouter::Create(options);
  guarded->ApplyView(this->now, this->view);
  EntryRequest request = this->Request();
  request.fingerprint = 666;
  CHECK(guarded->Admit(this->now, request).refusal == Refusal::kQuarantined);
}

TEST(Entry, Choose_NothingKnown_NearShardAtItsOwner) {
  const Target target = this->Choose(this->Admit());
  CHECK(target.kind == TargetKind::kDispatcher);
  CHECK_EQUAL(this->NearShard().key, target.shard);
  CHECK(target.vm == this->NearShard().owners.at(0));
}

TEST(Entry, Choose_FarIsBusy_NearMayWaitAsLong) {
  this->Tell(this->FarShard(), 20ms);
  const Target target = this->Choose(this->Admit());
  CHECK_EQUAL(this->NearShard().key, target.shard);
  CHECK(target.max_wait >= 15ms && target.max_wait < 20ms);
}

TEST(Entry, OnRefused_HandedBack_GoesFarAndStaysThere) {
  const EntryHandle entry = this->Admit();
  this->Choose(entry);
  const RetryDecision decision = this->Refuse(entry, Refusal::kQueueFull);
  CHECK(decision.retry);
  CHECK(decision.reason == Retry::kHandedBack);
  const Target target = this->Choose(entry);
  CHECK_EQUAL(this->FarShard().key, target.shard);
  CHECK(target.max_wait == Duration::max());
}

TEST(Entry, Choose_ManySentFarWithoutAnswer_FarLooksBusy) {
  // All entry VMs of a data centre hand over to the same far shard at the same
  // moment, since its last news were good. What this one has sent counts for
  // all of them, so that the crowd stops long before an answer comes back.
  Duration last{0};
  for (int i = 0; i < 10; ++i) {
    const EntryHandle entry = this->Admit();
    const Target near = this->Choose(entry);
    CHECK(near.max_wait >= last);
    last = near.max_wait;
    this->Refuse(entry, Refusal::kQueueFull);
    this->Choose(entry);
  }
  this->Tell(this->NearShard(), 30ms);
  const EntryHandle entry = this->Admit();
  this->Choose(entry);
  this->Refuse(entry, Refusal::kQueueFull);
  this->Choose(entry);
  CHECK(this->Choose(this->Admit()).max_wait > 8ms);
}

TEST(Entry, Choose_NearHasNoUpstream_GoesFarAtOnce) {
  this->Tell(this->NearShard(), 0ms, 0);
  CHECK_EQUAL(this->FarShard().key, this->Choose(this->Admit()).shard);
  this->now += 1s;
  CHECK_EQUAL(this->NearShard().key, this->Choose(this->Admit()).shard);
}

TEST(Entry, OnRefused_NoUpstreamAnywhere_NoMoreHops) {
  const EntryHandle entry = this->Admit();
  this->Choose(entry);
  this->Tell(this->NearShard(), 0ms, 0);
  this->Tell(this->FarShard(), 0ms, 0);
  const RetryDecision decision = this->Refuse(entry, Refusal::kNoUpstream);
  CHECK_FALSE(decision.retry);
  CHECK(decision.refusal == Refusal::kNoUpstream);
}

TEST(Entry, Choose_LinkToOwnerLost_SuccessorWorksForTheShard) {
  const VmHandle owner = this->FarShard().owners.at(0);
  this->Tell(this->NearShard(), 0ms, 0);
  this->router->OnLink(this->now, owner, false);
  const Target target = this->Choose(this->Admit());
  CHECK_EQUAL(this->FarShard().key, target.shard);
  CHECK(target.vm == this->FarShard().owners.at(1));
  this->router->OnLink(this->now, owner, true);
  CHECK(this->Choose(this->Admit()).vm == owner);
}

TEST(Entry, Choose_NoDispatcherReachable_DirectToNearUpstream) {
  this->LoseAllVms();
  size_t on_first = 0;
  for (int i = 0; i < 20; ++i) {
    const Target target = this->Choose(this->Admit());
    CHECK(target.kind == TargetKind::kDirect);
    CHECK(target.upstream.index < 2);
    on_first += target.upstream.index == 0 ? 1 : 0;
  }
  CHECK_EQUAL(10, on_first);
}

// Any number of VMs may send past the dispatchers: each would have the limit.
TEST(Entry, OnRateLimit_DirectPath_UpstreamGetsNoMoreForAMinute) {
  this->LoseAllVms();
  this->router->OnRateLimit(this->now, {0, 0}, {RateLimitPresence::kNamed, 50});
  for (int i = 0; i < 20; ++i) {
    CHECK(UpstreamHandle(0, 0) != this->Choose(this->Admit()).upstream);
  }
  this->now += 61s;
  bool used = false;
  for (int i = 0; i < 20; ++i) {
    used |= UpstreamHandle(0, 0) == this->Choose(this->Admit()).upstream;
  }
  CHECK(used);
}

// A dispatcher refuses within the limits of its upstreams, no other shard is
// left, and the request goes past it to one of them.
TEST(Entry, OnRefused_ForRateLimitsEverywhere_NotSentPastDispatchers) {
  const EntryHandle entry = this->Admit();
  for (int shard = 0; shard < 2; ++shard) {
    CHECK(this->Choose(entry).kind == TargetKind::kDispatcher);
    const RetryDecision decision =
        this->Refuse(entry, Refusal::kUpstreamRateLimit);
    CHECK_EQUAL(shard == 0, decision.retry);
    CHECK(Refusal::kUpstreamRateLimit == decision.refusal);
  }
  CHECK(this->Choose(entry).kind == TargetKind::kRefuse);
}

TEST(Entry, OnDrainSign_DirectPath_UpstreamGetsNoNewWork) {
  this->LoseAllVms();
  this->router->OnDrainSign(this->now, {0, 0});
  for (int i = 0; i < 10; ++i) {
    CHECK_EQUAL(1, this->Choose(this->Admit()).upstream.index);
  }
}

TEST(Entry, Choose_OwnerIsSilent_PassedOverUntilItSpeaks) {
  // A dispatcher's VM is paused. Its links look fine, but nothing comes back.
  this->Tell(this->NearShard(), 0ms, 0);
  const VmHandle owner = this->FarShard().owners.at(0);
  for (int i = 0; i < 20; ++i) {
    const EntryHandle entry = this->Admit();
    CHECK(this->Choose(entry).vm == owner);
    this->now += 5ms;
    this->Tell(this->FarShard(), 0ms);
    this->router->Finish(this->now, entry);
    this->Tell(this->NearShard(), 0ms, 0);
  }
  this->Choose(this->Admit());
  this->now += 300ms;
  this->Tell(this->NearShard(), 0ms, 0);
  CHECK(this->Choose(this->Admit()).vm == this->FarShard().owners.at(1));
  this->Tell(this->FarShard(), 0ms);
  CHECK(this->Choose(this->Admit()).vm == owner);
}

// A VM that this one does not know yet opens a link and tells of a shard. It
// has no place among the peers, and the process died as it looked for one.
TEST(Entry, OnSummary_FromAnUnknownVm_CountsForTheShardAlone) {
  this->Apply();
  ShardSummary summary;
  summary.shard = this->NearShard().key;
  this->router->OnSummary(this->now, VmHandle{}, summary);
  const Target target = this->Choose(this->Admit());
  CHECK(target.shard == this->FarShard().key);
}

TEST(Entry, OnRefused_DispatcherShutsDown_SameShardAtItsSuccessor) {
  this->Tell(this->NearShard(), 0ms, 0);
  const EntryHandle entry = this->Admit();
  const Target first = this->Choose(entry);
  CHECK(this->Refuse(entry, Refusal::kShuttingDown).retry);
  const Target second = this->Choose(entry);
  CHECK_EQUAL(first.shard, second.shard);
  CHECK(second.vm == this->FarShard().owners.at(1));
  CHECK(this->Choose(this->Admit()).vm == this->FarShard().owners.at(1));
}

TEST(Entry, OnRefused_UpstreamFailure_IsTheDispatchersToRetry) {
  // The dispatcher has tried again itself, within its budget. If the entry VM
  // did the same, one failure would be tried again in two layers.
  const EntryHandle entry = this->Admit();
  this->Choose(entry);
  const RetryDecision decision = this->Refuse(entry, Refusal::kUpstreamShed);
  CHECK_FALSE(decision.retry);
  CHECK(decision.refusal == Refusal::kUpstreamShed);
}

TEST(Entry, OnRefused_PeerLostNotIdempotent_ToldUnknown) {
  EntryRequest request = this->Request();
  request.idempotent = false;
  const EntryHandle entry = this->router->Admit(this->now, request).entry;
  this->Choose(entry);
  const RetryDecision decision = this->Refuse(entry, Refusal::kPeerLost);
  CHECK_FALSE(decision.retry);
  CHECK(decision.reason == Retry::kDeniedNotIdempotent);
  CHECK(decision.refusal == Refusal::kPeerLost);
}

TEST(Entry, OnRefused_NotRunAfterPeerLost_StaysUnknown) {
  // A read went to a dispatcher that was lost with it, then to another one
  // whose queue is full. That it was not run is only true of the second.
  const EntryHandle entry = this->Admit();
  this->Choose(entry);
  CHECK(this->Refuse(entry, Refusal::kPeerLost).retry);
  this->Choose(entry);
  this->Refuse(entry, Refusal::kQueueFull);
  this->Choose(entry);
  const RetryDecision decision = this->Refuse(entry, Refusal::kQueueFull);
  CHECK_FALSE(decision.retry);
  CHECK(decision.refusal == Refusal::kPeerLost);
}

TEST(Entry, OnRefused_PeersLostAllTheTime_RetriesStayInTheBudget) {
  uint64_t granted = 0;
  for (int i = 0; i < 10000; ++i) {
    const EntryHandle entry = this->Admit();
    this->Choose(entry);
    granted += this->Refuse(entry, Refusal::kPeerLost).retry ? 1 : 0;
    this->router->Finish(this->now, entry);
  }
  CHECK(granted <= 10000 / 50);
}

TEST(Entry, OnRefused_DeadlinePassed_NoRetry) {
  const EntryHandle entry = this->Admit();
  this->Choose(entry);
  this->now += 2s;
  CHECK(this->Refuse(entry, Refusal::kPeerUnreachable).reason ==
        Retry::kDeniedDeadline);
}

TEST(Entry, OnRefused_BodyIsGone_NoRetry) {
  EntryRequest request = this->Request();
  request.replayable = false;
  const EntryHandle entry = this->router->Admit(this->now, request).entry;
  CHECK(this->Choose(entry).max_wait == Duration::max());
  CHECK_FALSE(this->Refuse(entry, Refusal::kPeerUnreachable).retry);
}

// Failure: the next dispatcher takes a request for one that was never sent.
TEST(Entry, Choose_AfterItWasSent_TellsHowOften) {
  const EntryHandle entry = this->Admit();
  CHECK_EQUAL(0, this->Choose(entry).sends);
  this->router->OnRefused(this->now, entry, Refusal::kNoUpstream, 2);
  CHECK_EQUAL(2, this->Choose(entry).sends);
  this->Refuse(entry, Refusal::kPeerLost);
  CHECK_EQUAL(3, this->Choose(entry).sends);
}

// Tests the entry side: limits, choice of shard, retries elsewhere.

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
using basilsill::UpstreamNotices;
using basilsill::VmHandle;

TEST_GROUP(Entry) {
  basilsill::ViewFixture fixture;
  std::shared_ptr<UpstreamNotices> notices = UpstreamNotices::Create({});
  std::unique_ptr<EntryRouter> router = this->MakeRouter();
  basilsill::RoutingViewPtr view;
  basilsill::TimePoint now{100s};

  void setup() override {
    for (uint32_t i = 0; i < 4; ++i) {
      this->fixture.AddUpstream(i / 2);
    }
    this->Apply();
  }

  std::unique_ptr<EntryRouter> MakeRouter() const {
    basilsill::EntryOptions options;
    options.notices = this->notices;
    return EntryRouter::Create(options);
  }

  void Note(size_t upstream, const basilsill::UpstreamNotice& notice) {
    const basilsill::ServiceRow& service = *this->view->services[0];
    this->notices->Record(this->now, service, service.upstreams.at(upstream),
                          notice);
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

  // The network between the VMs is down; only upstreams can be reached.
  void LoseAllVms() {
    this->fixture.view.self = {9, 0};
    this->Apply();
    for (uint32_t i = 0; i < 4; ++i) {
      this->router->OnLink(this->now, {i, 0}, false);
    }
  }

  /// Only the far shard has room, and the link to its owner is lost.
  /// @returns that owner.
  VmHandle LoseLinkToFarOwner() {
    const VmHandle owner = this->FarShard().owners.at(0);
    this->ReportLoad(this->NearShard(), 0ms, 0);
    this->router->OnLink(this->now, owner, false);
    return owner;
  }

  void ReportLoad(const ShardRow& shard, Duration wait, uint16_t slots = 4) {
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

TEST(Entry, Choose_NoSummaries_OwnerOfNearShard) {
  const Target target = this->Choose(this->Admit());
  CHECK(target.kind == TargetKind::kDispatcher);
  CHECK_EQUAL(this->NearShard().key, target.shard);
  CHECK(target.vm == this->NearShard().owners.at(0));
}

TEST(Entry, Choose_FarShardIsBusy_AllowsSimilarWaitNear) {
  this->ReportLoad(this->FarShard(), 20ms);
  const Target target = this->Choose(this->Admit());
  CHECK_EQUAL(this->NearShard().key, target.shard);
  CHECK(target.max_wait >= 15ms && target.max_wait < 20ms);
}

TEST(Entry, OnRefused_HandedBack_GoesToFarShardWithoutMaxWait) {
  const EntryHandle entry = this->Admit();
  this->Choose(entry);
  const RetryDecision decision = this->Refuse(entry, Refusal::kQueueFull);
  CHECK(decision.retry);
  CHECK(decision.reason == Retry::kHandedBack);
  const Target target = this->Choose(entry);
  CHECK_EQUAL(this->FarShard().key, target.shard);
  CHECK(target.max_wait == Duration::max());
}

TEST(Entry, Choose_ManySentFarWithoutAnswer_FarCountsAsBusy) {
  // Failure: all entry VMs of a data centre send requests to the same far shard
  // at the same moment, since its last summary was good. What this VM has sent
  // counts as if every VM of the data centre had sent as much, so that the load
  // stops growing long before an answer comes back.
  Duration last{0};
  for (int i = 0; i < 10; ++i) {
    const EntryHandle entry = this->Admit();
    const Target near = this->Choose(entry);
    CHECK(near.max_wait >= last);
    last = near.max_wait;
    this->Refuse(entry, Refusal::kQueueFull);
    this->Choose(entry);
  }
  this->ReportLoad(this->NearShard(), 30ms);
  const EntryHandle entry = this->Admit();
  this->Choose(entry);
  this->Refuse(entry, Refusal::kQueueFull);
  this->Choose(entry);
  CHECK(this->Choose(this->Admit()).max_wait > 8ms);
}

TEST(Entry, Choose_NearHasNoUpstream_FarShard) {
  this->ReportLoad(this->NearShard(), 0ms, 0);
  CHECK_EQUAL(this->FarShard().key, this->Choose(this->Admit()).shard);
  this->now += 1s;
  CHECK_EQUAL(this->NearShard().key, this->Choose(this->Admit()).shard);
}

TEST(Entry, OnRefused_NoUpstreamAnywhere_NoRetry) {
  const EntryHandle entry = this->Admit();
  this->Choose(entry);
  this->ReportLoad(this->NearShard(), 0ms, 0);
  this->ReportLoad(this->FarShard(), 0ms, 0);
  const RetryDecision decision = this->Refuse(entry, Refusal::kNoUpstream);
  CHECK_FALSE(decision.retry);
  CHECK(decision.refusal == Refusal::kNoUpstream);
}

TEST(Entry, Choose_LinkToOwnerLost_NextOwnerOfTheShard) {
  const VmHandle owner = this->LoseLinkToFarOwner();
  const Target target = this->Choose(this->Admit());
  CHECK_EQUAL(this->FarShard().key, target.shard);
  CHECK(target.vm == this->FarShard().owners.at(1));
  this->router->OnLink(this->now, owner, true);
  CHECK(this->Choose(this->Admit()).vm == owner);
}

// Failure: connections between VMs are reset, and a VM that works gets no
// requests of this VM any more.
TEST(Entry, Choose_LinkToOwnerLostAWhileAgo_OwnerTriedAgain) {
  const VmHandle owner = this->LoseLinkToFarOwner();
  this->now += 500ms;
  this->ReportLoad(this->NearShard(), 0ms, 0);
  CHECK(this->Choose(this->Admit()).vm == owner);
}

// Failure: all requests wait until the attempt to open a lost link times out.
TEST(Entry, Choose_LinkToOwnerTriedAgain_OnlyOneRequestWaits) {
  const VmHandle owner = this->LoseLinkToFarOwner();
  this->now += 500ms;
  this->ReportLoad(this->NearShard(), 0ms, 0);
  CHECK(this->Choose(this->Admit()).vm == owner);
  CHECK(this->Choose(this->Admit()).vm != owner);
  this->router->OnLink(this->now, owner, true);
  CHECK(this->Choose(this->Admit()).vm == owner);
}

// An owner that stays out of reach is tried ever more rarely.
TEST(Entry, Choose_LinkToOwnerNeverOpens_TriedAFewTimes) {
  const VmHandle owner = this->FarShard().owners.at(0);
  size_t tries = 0;
  for (int i = 0; i < 1000; ++i) {
    this->ReportLoad(this->NearShard(), 0ms, 0);
    const EntryHandle entry = this->Admit();
    if (this->Choose(entry).vm == owner) {
      ++tries;
      this->router->OnLink(this->now, owner, false);
    }
    this->router->Finish(this->now, entry);
    this->now += 10ms;
  }
  CHECK(tries >= 3);
  CHECK(tries <= 8);
}

TEST(Entry, Choose_NoDispatcherReachable_DirectToNearUpstreams) {
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

// Failure: any number of VMs may use the direct path, and each would send as
// much as the whole limit.
TEST(Entry, OnRateLimit_DirectPath_UpstreamGetsNoMoreForAMinute) {
  this->LoseAllVms();
  this->router->OnRateLimit(this->now, {0, 0}, {RateLimitPresence::kNamed, 50});
  for (int i = 0; i < 20; ++i) {
    CHECK(UpstreamHandle(0, 0) != this->Choose(this->Admit()).upstream);
  }
  this->now += 61s;
  this->LoseAllVms();
  bool used = false;
  for (int i = 0; i < 20; ++i) {
    used |= UpstreamHandle(0, 0) == this->Choose(this->Admit()).upstream;
  }
  CHECK(used);
}

// Failure: dispatchers refuse a request because of their upstreams' rate
// limits, no other shard is left, and the entry VM sends it to one of these
// upstreams on the direct path.
TEST(Entry, OnRefused_RateLimitsEverywhere_NoDirectPath) {
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

TEST(Entry, Notice_DirectPath_UpstreamGetsNoNewWork) {
  this->LoseAllVms();
  basilsill::UpstreamNotice notice;
  notice.leaving = true;
  this->Note(0, notice);
  for (int i = 0; i < 10; ++i) {
    CHECK_EQUAL(1, this->Choose(this->Admit()).upstream.index);
  }
}

// Failure: an upstream that asked for rest gets requests of a VM that reaches
// no dispatcher. When the rest is over, it must be used again.
TEST(Entry, Notice_DirectPathAndRest_NothingUntilItsEnd) {
  this->LoseAllVms();
  basilsill::UpstreamNotice notice;
  notice.rest = 3s;
  this->Note(0, notice);
  for (int i = 0; i < 10; ++i) {
    CHECK_EQUAL(1, this->Choose(this->Admit()).upstream.index);
  }
  this->now += 3s;
  this->LoseAllVms();
  size_t used = 0;
  for (int i = 0; i < 20; ++i) {
    used += this->Choose(this->Admit()).upstream.index == 0 ? 1 : 0;
  }
  CHECK(used > 0);
}

TEST(Entry, Choose_OwnerIsSilent_SkippedUntilItsNextSummary) {
  // A dispatcher's VM is paused. Its links stay up, but no answers come back.
  this->ReportLoad(this->NearShard(), 0ms, 0);
  const VmHandle owner = this->FarShard().owners.at(0);
  for (int i = 0; i < 20; ++i) {
    const EntryHandle entry = this->Admit();
    CHECK(this->Choose(entry).vm == owner);
    this->now += 5ms;
    this->ReportLoad(this->FarShard(), 0ms);
    this->router->Finish(this->now, entry);
    this->ReportLoad(this->NearShard(), 0ms, 0);
  }
  this->Choose(this->Admit());
  this->now += 300ms;
  this->ReportLoad(this->NearShard(), 0ms, 0);
  CHECK(this->Choose(this->Admit()).vm == this->FarShard().owners.at(1));
  this->ReportLoad(this->FarShard(), 0ms);
  CHECK(this->Choose(this->Admit()).vm == owner);
}

// Failure: a VM that is not yet in the view opens a link and sends a summary.
// The process crashed when it looked for that VM among its peers.
TEST(Entry, OnSummary_FromAnUnknownVm_UpdatesOnlyTheShard) {
  this->Apply();
  ShardSummary summary;
  summary.shard = this->NearShard().key;
  this->router->OnSummary(this->now, VmHandle{}, summary);
  const Target target = this->Choose(this->Admit());
  CHECK(target.shard == this->FarShard().key);
}

TEST(Entry, OnRefused_DispatcherShutsDown_NextOwnerOfSameShard) {
  this->ReportLoad(this->NearShard(), 0ms, 0);
  const EntryHandle entry = this->Admit();
  const Target first = this->Choose(entry);
  CHECK(this->Refuse(entry, Refusal::kShuttingDown).retry);
  const Target second = this->Choose(entry);
  CHECK_EQUAL(first.shard, second.shard);
  CHECK(second.vm == this->FarShard().owners.at(1));
  CHECK(this->Choose(this->Admit()).vm == this->FarShard().owners.at(1));
}

TEST(Entry, OnRefused_UpstreamFailure_NoRetryByTheEntry) {
  // The dispatcher has already retried within its budget. If the entry VM
  // retried as well, two layers would multiply the retries of one failure.
  const EntryHandle entry = this->Admit();
  this->Choose(entry);
  const RetryDecision decision = this->Refuse(entry, Refusal::kUpstreamShed);
  CHECK_FALSE(decision.retry);
  CHECK(decision.refusal == Refusal::kUpstreamShed);
}

TEST(Entry, OnRefused_PeerLostNotIdempotent_DeniedAsPeerLost) {
  EntryRequest request = this->Request();
  request.idempotent = false;
  const EntryHandle entry = this->router->Admit(this->now, request).entry;
  this->Choose(entry);
  const RetryDecision decision = this->Refuse(entry, Refusal::kPeerLost);
  CHECK_FALSE(decision.retry);
  CHECK(decision.reason == Retry::kDeniedNotIdempotent);
  CHECK(decision.refusal == Refusal::kPeerLost);
}

TEST(Entry, OnRefused_NotRunAfterPeerLost_StaysPeerLost) {
  // A read was sent to a dispatcher whose link broke, then to another one whose
  // queue is full. Only the second attempt certainly did not run.
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

TEST(Entry, OnRefused_PeersAlwaysLost_RetriesStayWithinBudget) {
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

TEST(Entry, OnRefused_BodyNotReplayable_NoRetry) {
  EntryRequest request = this->Request();
  request.replayable = false;
  const EntryHandle entry = this->router->Admit(this->now, request).entry;
  CHECK(this->Choose(entry).max_wait == Duration::max());
  CHECK_FALSE(this->Refuse(entry, Refusal::kPeerUnreachable).retry);
}

// Failure: the next dispatcher treats a request that was sent before as one
// that was never sent.
TEST(Entry, Choose_AfterSends_CountsThem) {
  const EntryHandle entry = this->Admit();
  CHECK_EQUAL(0, this->Choose(entry).sends);
  this->router->OnRefused(this->now, entry, Refusal::kNoUpstream, 2);
  CHECK_EQUAL(2, this->Choose(entry).sends);
  this->Refuse(entry, Refusal::kPeerLost);
  CHECK_EQUAL(3, this->Choose(entry).sends);
}

// Failure: the first owner of a shard has lost its path to the upstreams, and
// the shard is written off although its other owners reach them.
TEST(Entry, Owner_CannotReachUpstreams_NextOwnerIsAskedIfOthersAreFull) {
  this->ReportLoad(this->FarShard(), 500ms);
  const EntryHandle entry = this->Admit();
  const Target first = this->Choose(entry);
  CHECK(this->Refuse(entry, Refusal::kUpstreamsUnreachable).retry);
  const Target second = this->Choose(entry);
  CHECK(second.kind == TargetKind::kDispatcher);
  CHECK(second.shard == first.shard);
  CHECK(second.vm != first.vm);
  CHECK(this->Choose(this->Admit()).vm != first.vm);
}

// Failure: the upstreams of a data centre are down, and a request asks one
// owner of a shard there after the other, while another data centre has free
// slots.
TEST(Entry, Owner_CannotReachUpstreams_OtherDataCentreIsAsked) {
  const EntryHandle entry = this->Admit();
  const Target first = this->Choose(entry);
  CHECK(this->Refuse(entry, Refusal::kUpstreamsUnreachable).retry);
  const Target second = this->Choose(entry);
  CHECK(second.kind == TargetKind::kDispatcher);
  CHECK(first.shard == this->NearShard().key);
  CHECK(second.shard == this->FarShard().key);
}

// Failure: as above, and each new request asks there first.
TEST(Entry, TwoOwners_CannotReachUpstreams_ShardIsPassedOverForASecond) {
  this->ReportLoad(this->FarShard(), 500ms);
  const EntryHandle entry = this->Admit();
  for (int i = 0; i < 2; ++i) {
    CHECK(this->Choose(entry).shard == this->NearShard().key);
    this->Refuse(entry, Refusal::kUpstreamsUnreachable);
  }
  CHECK(this->Choose(this->Admit()).shard == this->FarShard().key);
  this->now += 990ms;
  CHECK(this->Choose(this->Admit()).shard == this->FarShard().key);
  this->now += 20ms;
  CHECK(this->Choose(this->Admit()).shard == this->NearShard().key);
}

// Failure: each request goes first to the nearest data centre, though it is
// known that nobody reaches its upstreams.
TEST(Entry, DataCentre_Lost_OtherDataCentreIsAsked) {
  this->fixture.view.data_centres[0].lost = true;
  this->Apply();
  for (int i = 0; i < 20; ++i) {
    CHECK(this->Choose(this->Admit()).shard == this->FarShard().key);
  }
}

// Failure: requests are refused although a shard may be back.
TEST(Entry, AllDataCentres_Lost_RequestsAreSentThere) {
  this->fixture.view.data_centres[0].lost = true;
  this->fixture.view.data_centres[1].lost = true;
  this->Apply();
  CHECK(this->Choose(this->Admit()).kind == TargetKind::kDispatcher);
}

TEST(Entry, Owner_CannotReachUpstreams_OneRequestAsksAgainLater) {
  const EntryHandle entry = this->Admit();
  const Target first = this->Choose(entry);
  this->Refuse(entry, Refusal::kUpstreamsUnreachable);
  this->now += 300ms;
  int asked = 0;
  for (int i = 0; i < 20; ++i) {
    const Target target = this->Choose(this->Admit());
    asked += target.vm == first.vm && target.shard == first.shard ? 1 : 0;
  }
  CHECK_EQUAL(1, asked);
}

// Failure: all upstreams are down, and a request asks one VM after another.
TEST(Entry, AllOwners_CannotReachUpstreams_RefusedAfterFewChoices) {
  const EntryHandle entry = this->Admit();
  int choices = 0;
  while (this->Choose(entry).kind == TargetKind::kDispatcher) {
    ++choices;
    this->Refuse(entry, Refusal::kUpstreamsUnreachable);
  }
  CHECK(choices <= 7);
  const EntryHandle next = this->Admit();
  CHECK(this->Choose(next).kind != TargetKind::kDispatcher);
}

// Failure: a VM tells that it can't reach a data centre, and is asked because
// it is the first owner of a shard there.
TEST(Entry, Owner_TellsThatItCannotReachDataCentre_AnotherIsAsked) {
  const VmHandle owner = this->NearShard().owners.at(0);
  this->fixture.view.vms.at(owner.index).unreachable = {{0, 0}};
  this->Apply();
  CHECK(this->NearShard().owners.at(0) != owner);
  for (int i = 0; i < 20; ++i) {
    const Target target = this->Choose(this->Admit());
    CHECK(target.vm != owner || target.shard != this->NearShard().key);
  }
}

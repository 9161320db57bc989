// Tests of upstreams that say that they leave or ask for rest: no way that work
// takes leads to them, and they are used again as soon as that is over.

#include <memory>
#include <string>
#include <vector>

#include "decision_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::AttemptEnd;
using basilsill::AttemptReport;
using basilsill::DispatcherOptions;
using basilsill::DispatchHarness;
using basilsill::DispatchRequest;
using basilsill::Duration;
using basilsill::Fingerprint;
using basilsill::KeyOfIncarnation;
using basilsill::NoticeTimes;
using basilsill::Quarantine;
using basilsill::Refusal;
using basilsill::RoutingViewPtr;
using basilsill::ServiceRow;
using basilsill::TimePoint;
using basilsill::UpstreamEventKind;
using basilsill::UpstreamHandle;
using basilsill::UpstreamNotice;
using basilsill::UpstreamNoticeReport;
using basilsill::UpstreamNotices;
using basilsill::UpstreamRow;
using basilsill::ViewFixture;

namespace {

constexpr Fingerprint kSuspect = 77;

UpstreamNotice Leaves() {
  UpstreamNotice notice;
  notice.leaving = true;
  return notice;
}

UpstreamNotice Rests(Duration rest) {
  UpstreamNotice notice;
  notice.rest = rest;
  return notice;
}

AttemptReport ShedWith(const UpstreamNotice& notice) {
  AttemptReport report = DispatchHarness::Report(AttemptEnd::kShed, 503);
  report.notice = notice;
  return report;
}

}  // namespace

TEST_GROUP(UpstreamNotices) {
  ViewFixture fixture;
  std::shared_ptr<UpstreamNotices> notices = UpstreamNotices::Create({});
  TimePoint now{100s};

  void setup() override {
    this->fixture.AddUpstream(0);
    this->fixture.AddUpstream(0);
  }

  const UpstreamRow& Row(size_t upstream = 0) const {
    return this->fixture.service.upstreams.at(upstream);
  }
  uint64_t Key(size_t upstream = 0) const {
    return KeyOfIncarnation(this->fixture.service, this->Row(upstream));
  }
  void Record(const UpstreamNotice& notice) {
    this->notices->Record(this->now, this->fixture.service, this->Row(),
                          notice);
  }
  NoticeTimes Times() const {
    return this->notices->Find(this->Key());
  }
  void List(bool leaving) {
    this->fixture.service.upstreams.at(0).leaving = leaving;
    this->notices->ApplyView(this->now, *this->fixture.Build());
  }
};

// Failure: an upstream leaves for longer than this side expects, and gets work
// again.
TEST(UpstreamNotices, Record_LeavingWithStartTime_OnlyNextIncarnationEndsIt) {
  this->fixture.AddIncarnations();
  this->Record(Leaves());
  CHECK(this->Times().leaving_until == basilsill::kNever);
  this->fixture.RestartUpstream({0, 0});
  CHECK(this->Times().leaving_until <= this->now);
}

TEST(UpstreamNotices, Record_LeavingWithUniqueId_OnlyNextIncarnationEndsIt) {
  this->notices = UpstreamNotices::Create({true});
  this->fixture.service.incarnations = {{"i-1", 0ms}, {"i-2", 0ms}};
  this->Record(Leaves());
  CHECK(this->Times().leaving_until == basilsill::kNever);
}

// Without identity a restarted upstream looks like the one that left.
TEST(UpstreamNotices, Record_LeavingWithoutIdentity_EndsAfterTwoMinutes) {
  this->Record(Leaves());
  CHECK(this->Times().leaving_until == this->now + 2min);
}

TEST(UpstreamNotices, ApplyView_EntryTakesLeavingBack_Ends) {
  this->fixture.AddIncarnations();
  this->Record(Leaves());
  this->List(false);
  CHECK(this->Times().leaving_until == basilsill::kNever);
  this->List(true);
  this->List(false);
  CHECK(this->Times().leaving_until <= this->now);
}

TEST(UpstreamNotices, ApplyView_EntryRemovedAndBack_StillLeaving) {
  this->fixture.AddIncarnations();
  this->Record(Leaves());
  const auto all = this->fixture.service.upstreams;
  this->fixture.service.upstreams.pop_back();
  this->fixture.service.upstreams.at(0).handle = {9, 0};
  this->notices->ApplyView(this->now, *this->fixture.Build());
  this->fixture.service.upstreams = all;
  this->notices->ApplyView(this->now, *this->fixture.Build());
  CHECK(this->Times().leaving_until == basilsill::kNever);
}

TEST(UpstreamNotices, Record_ShorterRest_LongerOneHolds) {
  this->Record(Rests(3s));
  this->Record(Rests(1s));
  CHECK(this->Times().rest_until == this->now + 3s);
}

TEST(UpstreamNotices, Record_ADayOfRest_Reduced) {
  this->Record(Rests(24h));
  CHECK(this->Times().rest_until ==
        this->now + basilsill::limits::kMaxUpstreamRest);
}

// Failure: two VMs tell each other of a rest, each adds the time that the
// message took, and the rest never ends.
TEST(UpstreamNotices, MakeReport_HeardFromAnotherVm_NotReported) {
  UpstreamNoticeReport report{this->Key(), true, 3s};
  this->notices->Import(this->now, this->fixture.service, this->Row(), report);
  CHECK(this->Times().rest_until == this->now + 3s);
  report = this->notices->MakeReport(this->now, this->Key());
  CHECK_FALSE(report.leaving);
  CHECK(report.rest == 0s);
}

// Failure: whoever asks is slowed down for good by rests that are long over.
TEST(UpstreamNotices, ApplyView_RestOver_Forgotten) {
  this->Record(Rests(3s));
  this->now += 2s;
  this->List(false);
  CHECK_FALSE(this->notices->empty());
  this->now += 1s;
  this->List(false);
  CHECK(this->notices->empty());
}

TEST(UpstreamNotices, Record_Full_OldestForgotten) {
  ServiceRow& service = this->fixture.service;
  for (size_t i = 2; i <= basilsill::limits::kMaxUpstreamNotices; ++i) {
    this->fixture.AddUpstream(0);
  }
  for (const UpstreamRow& row : service.upstreams) {
    this->now += 1ms;
    this->notices->Record(this->now, service, row, Rests(60s));
  }
  CHECK_EQUAL(basilsill::limits::kMaxUpstreamNotices,
              this->notices->Count(this->now).resting);
  CHECK(this->Times().rest_until <= this->now);
}

// Each way that work takes, with an upstream that leaves and one that rests.
TEST_GROUP(NoticeDispatch) {
  DispatchHarness harness;
  UpstreamHandle first;
  UpstreamHandle second;

  void setup() override {
    this->Set({});
  }

  void Set(const DispatcherOptions& options) {
    this->harness = DispatchHarness(options);
    this->first = this->harness.fixture.AddUpstream(0);
    this->second = this->harness.fixture.AddUpstream(0);
    this->harness.fixture.AddIncarnations();
    this->harness.Apply();
  }

  void Note(UpstreamHandle upstream, const UpstreamNotice& notice) {
    this->harness.dispatcher->OnNotice(this->harness.now,
                                       this->harness.fixture.service.handle,
                                       upstream, notice);
    this->harness.Collect();
  }
  /// The first upstream leaves or rests, and nothing may reach it.
  void NoteFirst(bool leaves) {
    this->Note(this->first, leaves ? Leaves() : Rests(60s));
  }
  void CheckNothingAtFirst() const {
    CHECK_EQUAL(0, this->harness.RunningOn(this->first));
  }
  size_t CountEvents(UpstreamEventKind kind) const {
    size_t count = 0;
    for (const auto& event : this->harness.events) {
      count += event.kind == kind ? 1 : 0;
    }
    return count;
  }
};

TEST(NoticeDispatch, Offer_FromTheQueueOrAhead_SkipsIt) {
  for (const bool leaves : {true, false}) {
    this->Set({});
    this->NoteFirst(leaves);
    for (int i = 0; i < 12; ++i) {
      this->harness.Offer();
    }
    this->harness.Advance(100ms);
    this->CheckNothingAtFirst();
    CHECK(this->harness.RunningOn(this->second) >= 2);
  }
}

TEST(NoticeDispatch, Hedge_Due_SkipsIt) {
  for (const bool leaves : {true, false}) {
    this->Set({});
    this->harness.WarmUp(200);
    DispatchRequest request = this->harness.Request();
    request.hedge = true;
    this->NoteFirst(leaves);
    this->harness.Offer(request);
    this->harness.Advance(200ms);
    this->CheckNothingAtFirst();
  }
}

// The second case of the incident: a request of another upstream fails and is
// sent again.
TEST(NoticeDispatch, Retry_AfterAFailure_SkipsIt) {
  for (const bool leaves : {true, false}) {
    for (const AttemptEnd end : {AttemptEnd::kDied, AttemptEnd::kShed}) {
      this->Set({});
      this->NoteFirst(leaves);
      const uint64_t cookie = this->harness.Offer();
      this->harness.End(cookie, end, 503);
      this->harness.Advance(500ms);
      this->CheckNothingAtFirst();
    }
  }
}

TEST(NoticeDispatch, StaleConnection_SaidMeanwhile_NotSentAgain) {
  for (const bool leaves : {true, false}) {
    this->Set({});
    this->Note(this->second, Leaves());
    const uint64_t cookie = this->harness.Offer();
    const auto attempt = this->harness.RunOf(cookie).attempt;
    CHECK(this->harness.dispatcher->MaySendAgain(this->harness.now, attempt));
    this->NoteFirst(leaves);
    CHECK_FALSE(
        this->harness.dispatcher->MaySendAgain(this->harness.now, attempt));
  }
}

TEST(NoticeDispatch, Isolation_OfASuspect_SkipsIt) {
  for (const bool leaves : {true, false}) {
    DispatcherOptions options;
    options.quarantine = Quarantine::Create({});
    options.quarantine->OnCrash(TimePoint{1s}, 1,
                                std::vector<Fingerprint>{kSuspect});
    this->Set(options);
    this->NoteFirst(leaves);
    for (int i = 0; i < 3; ++i) {
      DispatchRequest request = this->harness.Request();
      request.fingerprint = kSuspect;
      this->harness.Offer(request);
    }
    this->harness.Advance(100ms);
    this->CheckNothingAtFirst();
    CHECK_EQUAL(1, this->harness.RunningOn(this->second));
  }
}

TEST(NoticeDispatch, LoadQuery_WhileARequestIsHeld_SkipsIt) {
  for (const bool leaves : {true, false}) {
    this->Set({});
    this->harness.fixture.service.health_path = "/health";
    this->harness.Apply();
    this->NoteFirst(leaves);
    for (int i = 0; i < 6; ++i) {
      this->harness.Offer();
    }
    this->harness.Advance(200ms);
    for (const UpstreamHandle upstream : this->harness.queried) {
      CHECK(upstream == this->second);
    }
    CHECK_FALSE(this->harness.queried.empty());
  }
}

// The upstream says it before this VM has a request for the shard, which is
// opened anew.
TEST(NoticeDispatch, Shard_OpenedLater_SkipsIt) {
  for (const bool leaves : {true, false}) {
    this->Set({});
    this->NoteFirst(leaves);
    this->harness.Offer();
    this->harness.Offer();
    this->CheckNothingAtFirst();
  }
}

TEST(NoticeDispatch, Vm_ToldByAnother_SkipsIt) {
  for (const bool leaves : {true, false}) {
    this->Set({});
    this->NoteFirst(leaves);
    this->harness.Offer();
    const auto reports = this->harness.dispatcher->NoticesOf(
        this->harness.now, this->harness.shard);
    CHECK_EQUAL(1, reports.size());
    this->Set({});
    this->harness.dispatcher->OnNoticeReports(this->harness.now,
                                              this->harness.shard, reports);
    this->harness.Offer();
    this->harness.Offer();
    this->CheckNothingAtFirst();
  }
}

// Failure: the operator drains the data centre and takes that back, or another
// upstream joins, and the VM has forgotten which upstreams leave.
TEST(NoticeDispatch, View_DrainedAndBackOrChanged_StillSkipsIt) {
  for (const bool leaves : {true, false}) {
    this->Set({});
    this->harness.Offer();
    this->harness.EndAt(0, DispatchHarness::Report(AttemptEnd::kAnswered));
    this->NoteFirst(leaves);
    for (const bool drained : {true, false}) {
      for (UpstreamRow& row : this->harness.fixture.service.upstreams) {
        row.drained = drained;
      }
      this->harness.Apply();
    }
    this->harness.fixture.AddUpstream(0);
    this->harness.Apply();
    for (int i = 0; i < 8; ++i) {
      this->harness.Offer();
    }
    this->CheckNothingAtFirst();
  }
}

TEST(NoticeDispatch, Upstream_ReplacedAtItsAddress_UsedAtOnce) {
  for (const bool leaves : {true, false}) {
    this->Set({});
    this->harness.Offer();
    this->harness.EndAt(0, DispatchHarness::Report(AttemptEnd::kAnswered));
    this->NoteFirst(leaves);
    const UpstreamHandle next =
        this->harness.fixture.RestartUpstream(this->first);
    this->harness.Apply();
    for (int i = 0; i < 3; ++i) {
      this->harness.Offer();
    }
    CHECK(this->harness.RunningOn(next) > 0);
  }
}

TEST(NoticeDispatch, Rest_Over_UsedAtOnceAndLogged) {
  this->Note(this->second, Leaves());
  this->harness.Offer();
  this->harness.EndAt(0, ShedWith(Rests(3s)));
  CHECK_EQUAL(1, this->CountEvents(UpstreamEventKind::kResting));
  this->harness.Advance(2999ms);
  CHECK(this->harness.RefusalFor(this->harness.Offer()) ==
        Refusal::kNone);  // It waits for the last millisecond.
  this->CheckNothingAtFirst();
  this->harness.Advance(60ms);
  CHECK_EQUAL(1, this->harness.RunningOn(this->first));
  CHECK_EQUAL(1, this->CountEvents(UpstreamEventKind::kRestEnded));
  this->Note(this->first, Leaves());
  this->harness.Offer();
  this->harness.Advance(100ms);
  CHECK_EQUAL(1, this->CountEvents(UpstreamEventKind::kRestEnded));
}

// An answer that was sent before the rest was asked for must not end it.
TEST(NoticeDispatch, Rest_AnswerOfAnEarlierRequest_GoesOn) {
  this->Note(this->second, Leaves());
  const uint64_t early = this->harness.Offer();
  const uint64_t shed = this->harness.Offer();
  this->harness.End(shed, ShedWith(Rests(3s)));
  this->harness.End(early, AttemptEnd::kAnswered);
  this->harness.Advance(100ms);
  this->harness.Offer();
  this->CheckNothingAtFirst();
}

// Failure: all upstreams rest or leave, and requests wait until their deadline
// passes, or come back long before the first rest ends.
TEST(NoticeDispatch, All_RestOrLeave_RefusedAtOnceWithTheFirstEnd) {
  for (int i = 0; i < 8; ++i) {
    this->harness.Offer();
  }
  this->Note(this->first, Rests(3s));
  this->Note(this->second, Rests(5s));
  this->harness.Advance(60ms);
  CHECK_EQUAL(0, this->harness.Queued());
  const uint64_t cookie = this->harness.Offer();
  CHECK(this->harness.RefusalFor(cookie) == Refusal::kNoUpstream);
  const Duration retry_after = this->harness.refused.back().retry_after;
  CHECK(retry_after >= 2900ms);
  CHECK(retry_after <= 4500ms);
  CHECK(this->harness.dispatcher->counters().refused_for_notice > 0);
}

// Failure: a rest of one upstream keeps another one from the requests that
// waited for it.
TEST(NoticeDispatch, One_Rests_OtherServesAll) {
  this->NoteFirst(false);
  size_t refused = 0;
  for (int i = 0; i < 200; ++i) {
    const uint64_t cookie = this->harness.Offer();
    this->harness.Advance(5ms);
    this->harness.End(cookie, AttemptEnd::kAnswered);
    refused += this->harness.RefusalFor(cookie) != Refusal::kNone ? 1 : 0;
  }
  CHECK_EQUAL(0, refused);
}

// Tests of the quarantine: the rule, crash reports between VMs, and the
// isolation of suspects at the dispatcher.

#include "basilsill/decision/quarantine.h"

#include "decision_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::AttemptEnd;
using basilsill::CrashReport;
using basilsill::DispatcherOptions;
using basilsill::DispatchHarness;
using basilsill::DispatchRequest;
using basilsill::Duration;
using basilsill::Fingerprint;
using basilsill::Quarantine;
using basilsill::Refusal;

namespace {

constexpr Fingerprint kPoison = 666;
constexpr Fingerprint kHarmless = 1;
constexpr Fingerprint kOther = 2;

}  // namespace

TEST_GROUP(Quarantine) {
  std::unique_ptr<Quarantine> quarantine = Quarantine::Create({});
  basilsill::TimePoint now{100s};

  Fingerprint Crash(uint64_t upstream, std::vector<Fingerprint> in_flight) {
    return this->quarantine->OnCrash(this->now, upstream, in_flight);
  }
  bool IsRefused(Fingerprint fingerprint) const {
    return this->quarantine->RefusedFor(this->now, fingerprint) > 0ms;
  }
};

TEST(Quarantine, OnCrash_TwoDistinctUpstreams_OnlyCommonRequestIsRefused) {
  // A request crashes an upstream; its caller retries and it crashes another.
  // At each crash a different request was also in flight.
  CHECK_EQUAL(0, this->Crash(1, {kPoison, kHarmless}));
  CHECK_FALSE(this->IsRefused(kPoison));
  CHECK(this->quarantine->IsSuspect(this->now, kHarmless));
  CHECK_EQUAL(kPoison, this->Crash(2, {kOther, kPoison}));
  CHECK(this->IsRefused(kPoison));
  CHECK_FALSE(this->IsRefused(kHarmless));
  CHECK_FALSE(this->IsRefused(kOther));
}

TEST(Quarantine, OnCrash_SameUpstreamTwice_NothingIsRefused) {
  this->Crash(1, {kPoison});
  this->Crash(1, {kPoison});
  CHECK_FALSE(this->IsRefused(kPoison));
}

TEST(Quarantine, OnCrash_SamePairTwice_NoneRefusedUntilOneIsAlone) {
  this->Crash(1, {kPoison, kHarmless});
  this->Crash(2, {kPoison, kHarmless});
  CHECK_FALSE(this->IsRefused(kPoison));
  CHECK_FALSE(this->IsRefused(kHarmless));
  CHECK_EQUAL(kPoison, this->Crash(3, {kPoison}));
  CHECK_FALSE(this->IsRefused(kHarmless));
}

TEST(Quarantine, OnAnswered_OneOfSamePair_OtherIsRefused) {
  this->Crash(1, {kPoison, kHarmless});
  this->Crash(2, {kPoison, kHarmless});
  this->quarantine->OnAnswered(this->now, kHarmless);
  CHECK(this->IsRefused(kPoison));
  CHECK_FALSE(this->quarantine->IsSuspect(this->now, kHarmless));
}

TEST(Quarantine, OnAnswered_BetweenCrashes_EarlierCrashIsCleared) {
  // Failure: two upstreams are restarted manually, one after the other, while
  // the same frequent read is in flight at both, and the read is refused
  // although it was answered in between.
  this->Crash(1, {kHarmless});
  this->quarantine->OnAnswered(this->now, kHarmless);
  this->Crash(2, {kHarmless});
  CHECK_FALSE(this->IsRefused(kHarmless));
}

TEST(Quarantine, RefusedFor_TimePasses_ExpiresAndDoublesOnRepeat) {
  this->Crash(1, {kPoison});
  this->Crash(2, {kPoison});
  this->now += 59s;
  CHECK(this->IsRefused(kPoison));
  this->now += 1s;
  CHECK_FALSE(this->IsRefused(kPoison));
  CHECK(this->quarantine->IsSuspect(this->now, kPoison));
  this->Crash(3, {kPoison});
  this->now += 119s;
  CHECK(this->IsRefused(kPoison));
  this->now += 1s;
  CHECK_FALSE(this->IsRefused(kPoison));
}

TEST(Quarantine, IsSuspect_AfterSuspicionTime_IsFalse) {
  this->Crash(1, {kPoison});
  this->now += 11min;
  CHECK_FALSE(this->quarantine->IsSuspect(this->now, kPoison));
  this->Crash(2, {kPoison});
  CHECK_FALSE(this->IsRefused(kPoison));
}

TEST(Quarantine, Import_EachVmSawOneCrash_BothRefuse) {
  // The caller retried through another VM, so each of the two VMs saw only one
  // upstream crash.
  const auto peer = Quarantine::Create({256, 2});
  this->Crash(1, {kPoison, kHarmless});
  peer->OnCrash(this->now, 2, std::vector<Fingerprint>{kPoison});
  for (const CrashReport& report :
       this->quarantine->TakeNewReports(this->now)) {
    peer->Import(this->now, report);
  }
  for (const CrashReport& report : peer->AllReports(this->now)) {
    this->quarantine->Import(this->now, report);
  }
  CHECK(this->IsRefused(kPoison));
  CHECK(peer->RefusedFor(this->now, kPoison) > 0ms);
  CHECK_FALSE(this->IsRefused(kHarmless));
}

TEST(Quarantine, Import_SameReportAgain_CountsOnce) {
  this->Crash(1, {kPoison});
  CrashReport report = this->quarantine->AllReports(this->now).at(0);
  const auto peer = Quarantine::Create({256, 2});
  peer->Import(this->now, report);
  peer->Import(this->now, report);
  CHECK_EQUAL(1, peer->AllReports(this->now).size());
}

TEST(Quarantine, Import_ClearedAtPeer_IsCleared) {
  const auto peer = Quarantine::Create({256, 2});
  this->Crash(1, {kPoison, kHarmless});
  peer->Import(this->now, this->quarantine->TakeNewReports(this->now).at(0));
  this->quarantine->OnAnswered(this->now, kHarmless);
  peer->Import(this->now, this->quarantine->TakeNewReports(this->now).at(0));
  CHECK_FALSE(peer->IsSuspect(this->now, kHarmless));
  CHECK(peer->IsSuspect(this->now, kPoison));
}

TEST(Quarantine, OnCrash_ManyCrashes_MemoryIsBounded) {
  for (uint64_t i = 0; i < 1000; ++i) {
    this->Crash(i, {1000 + i});
  }
  CHECK_EQUAL(256, this->quarantine->AllReports(this->now).size());
}

TEST_GROUP(Isolation) {
  std::shared_ptr<Quarantine> quarantine = Quarantine::Create({});
  DispatchHarness harness{MakeOptions(this->quarantine)};

  static DispatcherOptions MakeOptions(
      const std::shared_ptr<Quarantine>& quarantine) {
    DispatcherOptions options;
    options.quarantine = quarantine;
    return options;
  }

  void setup() override {
    for (int i = 0; i < 3; ++i) {
      this->harness.fixture.AddUpstream(0, 2);
    }
    this->harness.Apply();
  }

  uint64_t Offer(Fingerprint fingerprint) {
    DispatchRequest request = this->harness.Request();
    request.fingerprint = fingerprint;
    request.deadline = this->harness.now + 10s;
    return this->harness.Offer(request);
  }

  // Crashes the upstream that runs `cookie`, with all requests that run there.
  void KillUpstreamOf(uint64_t cookie) {
    const auto upstream = this->harness.RunOf(cookie).upstream;
    std::vector<basilsill::AttemptHandle> attempts;
    for (const auto& run : this->harness.running) {
      if (run.upstream == upstream) {
        attempts.push_back(run.attempt);
      }
    }
    for (const auto attempt : attempts) {
      std::erase_if(this->harness.running, [attempt](const auto& run) {
        return run.attempt == attempt;
      });
      this->harness.dispatcher->OnAttemptEnd(
          this->harness.now, attempt,
          DispatchHarness::Report(AttemptEnd::kDied));
    }
    this->harness.Collect();
  }

  // Offers more requests than there are slots; none of them is a suspect.
  void OfferMoreThanCapacity() {
    for (Fingerprint i = 100; i < 120; ++i) {
      this->Offer(i);
    }
  }
};

TEST(Isolation, Retry_SuspectsOfOneCrash_RunAloneOneAfterTheOther) {
  // Failure: two reads were in flight when an upstream crashed, and one of them
  // caused it. Retried together they crash the next upstream, and it stays
  // unknown which of the two is the cause.
  const uint64_t poison = this->Offer(kPoison);
  this->Offer(100);
  this->Offer(101);
  const uint64_t harmless = this->Offer(kHarmless);
  CHECK(this->harness.RunOf(poison).upstream ==
        this->harness.RunOf(harmless).upstream);
  this->KillUpstreamOf(poison);
  // Both other upstreams are busy, so one of them has to become idle first.
  CHECK_FALSE(IsValid(this->harness.RunOf(poison).attempt));
  CHECK_FALSE(IsValid(this->harness.RunOf(harmless).attempt));
  this->harness.EndAt(0, DispatchHarness::Report(AttemptEnd::kAnswered));
  this->harness.EndAt(0, DispatchHarness::Report(AttemptEnd::kAnswered));
  const bool poison_first = IsValid(this->harness.RunOf(poison).attempt);
  CHECK(poison_first != IsValid(this->harness.RunOf(harmless).attempt));
  if (!poison_first) {
    this->harness.End(harmless, AttemptEnd::kAnswered);
  }
  this->KillUpstreamOf(poison);
  CHECK(this->quarantine->RefusedFor(this->harness.now, kPoison) > 0ms);
  CHECK_FALSE(this->quarantine->RefusedFor(this->harness.now, kHarmless) > 0ms);
  CHECK(this->harness.RefusalFor(poison) != Refusal::kNone);
  CHECK(this->harness.RefusalFor(harmless) == Refusal::kNone);
}

TEST(Isolation, Offer_Quarantined_RefusedUntilItExpires) {
  this->quarantine->OnCrash(this->harness.now, 1,
                            std::vector<Fingerprint>{kPoison});
  this->quarantine->OnCrash(this->harness.now, 2,
                            std::vector<Fingerprint>{kPoison});
  const uint64_t refused = this->Offer(kPoison);
  CHECK(this->harness.RefusalFor(refused) == Refusal::kQuarantined);
  CHECK(this->harness.refused.back().retry_after == 60s);
  this->harness.Advance(61s);
  const uint64_t later = this->Offer(kPoison);
  CHECK(IsValid(this->harness.RunOf(later).attempt));
}

TEST(Isolation, Suspect_Runs_NothingElseOnSameUpstream) {
  this->quarantine->OnCrash(this->harness.now, 1,
                            std::vector<Fingerprint>{kPoison});
  const uint64_t suspect = this->Offer(kPoison);
  const auto upstream = this->harness.RunOf(suspect).upstream;
  this->OfferMoreThanCapacity();
  CHECK_EQUAL(1, this->harness.RunningOn(upstream));
  this->harness.End(suspect, AttemptEnd::kAnswered);
  CHECK(this->harness.RunningOn(upstream) >= 2);
  CHECK_FALSE(this->quarantine->IsSuspect(this->harness.now, kPoison));
}

TEST(Isolation, Crash_OfDrainingUpstream_AddsNoSuspect) {
  const uint64_t cookie = this->Offer(kHarmless);
  basilsill::UpstreamNotice notice;
  notice.leaving = true;
  this->harness.dispatcher->OnNotice(
      this->harness.now, this->harness.fixture.service.handle,
      this->harness.RunOf(cookie).upstream, notice);
  this->KillUpstreamOf(cookie);
  CHECK_FALSE(this->quarantine->IsSuspect(this->harness.now, kHarmless));
}

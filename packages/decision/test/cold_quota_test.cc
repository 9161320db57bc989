// Tests of what upstreams get while they are cold, or may be: by one VM, and by
// several that believe that they dispatch for the same one.

#include "cold_quota.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <pcg_random.hpp>

#include "decision_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::AttemptEnd;
using basilsill::AttemptHandle;
using basilsill::ColdQuota;
using basilsill::ColdShareOf;
using basilsill::ColdTerms;
using basilsill::DispatcherOptions;
using basilsill::DispatchHarness;
using basilsill::Duration;
using basilsill::LoadQueryReport;
using basilsill::TimePoint;
using basilsill::UpstreamHandle;

namespace {

// What a cold upstream may get in any second, from all VMs together.
constexpr uint32_t kBound = 16;
constexpr Duration kSecond = 1s;

}  // namespace

TEST_GROUP(ColdQuota) {
  ColdQuota quota;
  TimePoint now{10s};

  size_t SendAll(bool is_told = true) {
    size_t sent = 0;
    for (; sent < 100 && this->quota.MayStart(this->now, is_told); ++sent) {
      this->quota.OnStart(this->now);
    }
    return sent;
  }
};

TEST(ColdQuota, Share_OfABound_LeavesRoomForTwoMoreVms) {
  CHECK_EQUAL(5, ColdShareOf(ColdTerms{3s, kBound}));
  CHECK_EQUAL(1, ColdShareOf(ColdTerms{3s, 1}));
  CHECK_EQUAL(0, ColdShareOf(ColdTerms{3s, 0}));
}

TEST(ColdQuota, Start_NoBound_AnyNumber) {
  this->quota.SetShare(0);
  CHECK_EQUAL(100, this->SendAll());
}

TEST(ColdQuota, Start_NotKnownToBeWarm_OneShareASecond) {
  this->quota.SetShare(5);
  CHECK_EQUAL(5, this->SendAll());
  this->now += 900ms;
  CHECK_EQUAL(0, this->SendAll());
  this->now += 400ms;
  CHECK_EQUAL(5, this->SendAll());
}

TEST(ColdQuota, Start_SaysThatItIsWarm_OneShareMoreForEachWord) {
  this->quota.SetShare(5);
  this->SendAll();
  CHECK(this->quota.IsWorthAsking(this->now));
  this->quota.OnColdTimeReported(this->now, 0ms);
  CHECK_EQUAL(5, this->SendAll());
}

// It became cold without a new start. What it got a moment ago counts.
TEST(ColdQuota, Start_SaysThatItIsCold_NothingMoreThisSecond) {
  this->quota.SetShare(5);
  this->quota.OnColdTimeReported(this->now, 0ms);
  this->SendAll();
  this->quota.OnColdTimeReported(this->now, 3s);
  CHECK_EQUAL(0, this->SendAll());
  CHECK_FALSE(this->quota.IsWorthAsking(this->now + 2s));
  CHECK(this->quota.IsWorthAsking(this->now + 3s) ||
        this->quota.MayStart(this->now + 3s, true));
}

// Its service has no way to ask: it is taken for cold for its time after a
// start or a return, and for warm otherwise.
TEST(ColdQuota, Start_CanNotBeAsked_BoundForTheColdTime) {
  this->quota.SetShare(5);
  CHECK_EQUAL(100, this->SendAll(false));
  this->quota.AssumeCold(this->now + 3s);
  CHECK_EQUAL(0, this->SendAll(false));
  this->now += 2s;
  CHECK_EQUAL(5, this->SendAll(false));
  this->now += 1s;
  CHECK_EQUAL(100, this->SendAll(false));
}

// A dispatcher has just been restarted. What it sent before counts at the
// upstream, and it does not know how much that was.
TEST(ColdQuota, Start_JustBegunToDispatch_AskedFirst) {
  this->quota.SetShare(5);
  this->quota.BeginDispatch(this->now);
  CHECK_EQUAL(0, this->SendAll());
  CHECK(this->quota.IsWorthAsking(this->now));
  CHECK_EQUAL(100, this->SendAll(false));
  this->quota.BeginDispatch(this->now);
  this->now += 1300ms;
  CHECK_EQUAL(5, this->SendAll());
}

TEST(ColdQuota, Ask_GetsLittle_NotAsked) {
  this->quota.SetShare(5);
  for (int i = 0; i < 20; ++i) {
    this->now += 400ms;
    this->quota.OnStart(this->now);
    CHECK_FALSE(this->quota.IsWorthAsking(this->now));
  }
}

namespace {

/// An upstream with many slots and short work, cold from time to time, and
/// whoever dispatches for it. Questions are answered after a moment; some get
/// no answer.
class ColdUpstreamSimulation {
 public:
  static constexpr uint32_t kVms = 3;
  static constexpr uint16_t kSlots = 16;

  explicit ColdUpstreamSimulation(uint64_t seed) : random(seed) {
    for (uint32_t i = 0; i < kVms; ++i) {
      this->vms.push_back(this->MakeVm());
    }
  }

  /// Offers work to the VMs that believe that they dispatch, for `time`.
  void Run(Duration time) {
    for (const TimePoint end = this->now + time; this->now < end;) {
      this->now += 1ms;
      this->ChangeSomething();
      for (auto& vm : this->vms) {
        this->Step(*vm);
      }
    }
  }

  size_t worst() const { return this->most_while_cold; }
  size_t sent() const { return this->all_sent; }

 private:
  struct Question {
    TimePoint due;
    LoadQueryReport report;
  };
  struct Work {
    AttemptHandle attempt;
    TimePoint ends;
  };
  struct Vm {
    explicit Vm(const DispatcherOptions& options) : harness(options) {}
    DispatchHarness harness;
    bool dispatches = true;
    std::deque<Question> questions;
    std::vector<Work> works;
  };

  std::unique_ptr<Vm> MakeVm() {
    DispatcherOptions options;
    options.cold_is_reported = true;
    auto vm = std::make_unique<Vm>(options);
    vm->harness.now = this->now;
    vm->harness.fixture.AddUpstream(0, kSlots);
    vm->harness.fixture.service.health_path = "/health";
    vm->harness.fixture.service.cold = {3s, kBound};
    vm->harness.Apply();
    return vm;
  }

  // One VM or two believe that they dispatch, which ones changes several times
  // a second; one of them restarts; the upstream becomes cold at any moment.
  void ChangeSomething() {
    if (this->random(400) == 0) {
      const uint32_t first = this->random(kVms);
      const bool are_two = this->random(2) == 0;
      for (uint32_t i = 0; i < kVms; ++i) {
        const bool is_second = are_two && i == (first + 1) % kVms;
        this->vms[i]->dispatches = i == first || is_second;
      }
    }
    if (this->random(1000) == 0 && this->now >= this->next_restart) {
      this->next_restart = this->now + 2s;
      this->vms[this->random(kVms)] = this->MakeVm();
    }
    if (this->random(2000) == 0) {
      this->cold_until =
          this->now + std::chrono::milliseconds(500 + this->random(3000));
      this->cold_sends.clear();
    }
  }

  void Step(Vm& vm) {
    vm.harness.Advance(1ms);
    vm.harness.now = this->now;
    this->EndWork(vm);
    this->Answer(vm);
    if (vm.dispatches && this->random(2) == 0) {
      vm.harness.Offer();
    }
    this->CountSends(vm);
    this->Ask(vm);
  }

  void EndWork(Vm& vm) {
    for (const Work& work : std::exchange(vm.works, {})) {
      const size_t place = PlaceOf(vm, work.attempt);
      if (place == vm.harness.running.size()) {
        continue;
      }
      if (work.ends > this->now) {
        vm.works.push_back(work);
      } else {
        vm.harness.EndAt(place, DispatchHarness::Report(AttemptEnd::kAnswered));
      }
    }
  }

  static size_t PlaceOf(const Vm& vm, AttemptHandle attempt) {
    const auto& running = vm.harness.running;
    const auto found = std::find_if(
        running.begin(), running.end(),
        [attempt](const auto& action) { return action.attempt == attempt; });
    return static_cast<size_t>(found - running.begin());
  }

  void CountSends(Vm& vm) {
    for (const auto& action : vm.harness.running) {
      const bool known = std::any_of(
          vm.works.begin(), vm.works.end(),
          [&](const Work& work) { return work.attempt == action.attempt; });
      if (known) {
        continue;
      }
      const std::chrono::milliseconds work(10 + this->random(30));
      vm.works.push_back({action.attempt, this->now + work});
      ++this->all_sent;
      if (this->now < this->cold_until) {
        this->CountColdSend();
      }
    }
  }

  void CountColdSend() {
    this->cold_sends.push_back(this->now);
    while (this->now - this->cold_sends.front() >= kSecond) {
      this->cold_sends.pop_front();
    }
    this->most_while_cold =
        std::max(this->most_while_cold, this->cold_sends.size());
  }

  void Ask(Vm& vm) {
    for (size_t i = 0; i < vm.harness.asked.size(); ++i) {
      LoadQueryReport report;
      if (this->random(10) > 0) {
        const Duration left = this->cold_until - this->now;
        report.answered = true;
        report.load = {true, true, 0, 0, kSlots, 1};
        report.cold_for = std::max(left, Duration(0));
      }
      vm.questions.push_back({this->now + 1ms, report});
    }
    vm.harness.asked.clear();
  }

  void Answer(Vm& vm) {
    while (!vm.questions.empty() && vm.questions.front().due <= this->now) {
      const LoadQueryReport report = vm.questions.front().report;
      vm.questions.pop_front();
      vm.harness.dispatcher->OnLoadQueryEnd(this->now, {0, 0}, report);
      vm.harness.Collect();
    }
  }

  pcg32 random;
  TimePoint now{100s};
  std::vector<std::unique_ptr<Vm>> vms;
  TimePoint next_restart{};
  TimePoint cold_until{};
  std::deque<TimePoint> cold_sends;
  size_t most_while_cold = 0;
  size_t all_sent = 0;
};

}  // namespace

TEST_GROUP(ColdUpstream){};

// Short work beside many slots: an upstream that is back cold gets some hundred
// requests a second, and dies of it. Several VMs may believe that they dispatch
// for it, one of them just restarted, and it becomes cold without a new start.
TEST(ColdUpstream, RandomHistory_ColdAtAnyMoment_NeverAboveTheBound) {
  size_t sent = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    ColdUpstreamSimulation world(seed);
    world.Run(20s);
    CHECK_TEXT(world.worst() <= kBound, std::to_string(seed).c_str());
    sent += world.sent();
  }
  // While it is warm it is used: some hundred requests a second.
  CHECK(sent > 20 * 20 * 100);
}

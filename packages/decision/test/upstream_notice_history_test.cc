// Random histories of VMs and upstreams that leave, ask for rest, take leaving
// back and are replaced at their address, in virtual time without a network.

#include <algorithm>
#include <map>
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
using basilsill::AttemptReport;
using basilsill::DispatchAction;
using basilsill::DispatchHarness;
using basilsill::Duration;
using basilsill::TimePoint;
using basilsill::UpstreamHandle;
using basilsill::UpstreamNotice;

namespace {

constexpr uint32_t kVms = 3;
constexpr uint32_t kUpstreams = 4;
constexpr Duration kStep = 1ms;
constexpr Duration kServiceTime = 30ms;
constexpr Duration kLength = 20s;
// After its last event a history goes on for longer than any rest.
constexpr Duration kCalm = 6s;

// What an upstream says, and what its VMs did with it.
struct SimulatedUpstream {
  uint32_t incarnation = 0;
  bool leaving = false;
  bool listed_leaving = false;
  TimePoint rest_until{};
};

struct SimulatedVm {
  DispatchHarness harness;
  bool dispatches = true;
  bool sees_store = true;
  std::map<uint32_t, AttemptHandle> begun;
  /// By upstream: whether this VM has an answer of the present incarnation that
  /// says so, and until when.
  std::vector<bool> heard_leaving = std::vector<bool>(kUpstreams, false);
  std::vector<bool> saw_listed = std::vector<bool>(kUpstreams, false);
  std::vector<TimePoint> heard_rest = std::vector<TimePoint>(kUpstreams);
  std::vector<std::pair<TimePoint, DispatchAction>> running;
  std::vector<uint32_t> served = std::vector<uint32_t>(kUpstreams, 0);
};

class NoticeHistory {
 public:
  explicit NoticeHistory(uint64_t seed) : random(seed), upstreams(kUpstreams) {
    for (uint32_t i = 0; i < kVms; ++i) {
      this->vms.push_back(std::make_unique<SimulatedVm>());
      this->Start(i);
    }
  }

  void Run() {
    const TimePoint calm = this->now + kLength;
    while (this->now < calm) {
      this->MaybeDisturb();
      this->Step();
    }
    this->Settle();
    for (const TimePoint end = this->now + kCalm; this->now < end;) {
      this->Step();
    }
  }

  size_t broken() const { return this->sends_against_notice; }

  /// @returns the upstreams that no VM used in the calm time at the end.
  size_t CountUnused() const {
    size_t unused = 0;
    for (uint32_t i = 0; i < kUpstreams; ++i) {
      for (const auto& vm : this->vms) {
        unused += vm->served[i] == 0 ? 1 : 0;
      }
    }
    return unused;
  }

 private:
  bool Chance(uint32_t in) { return this->random(in) == 0; }

  // A VM starts without any memory, which excuses it.
  void Start(uint32_t number) {
    SimulatedVm& vm = *this->vms[number];
    vm = SimulatedVm();
    vm.harness.now = this->now;
    for (uint32_t i = 0; i < kUpstreams; ++i) {
      vm.harness.fixture.AddUpstream(0);
    }
    vm.harness.fixture.service.health_path = "/health";
    vm.harness.fixture.AddIncarnations();
    this->ReadStore(vm);
  }

  void ReadStore(SimulatedVm& vm) {
    auto& service = vm.harness.fixture.service;
    for (uint32_t i = 0; i < kUpstreams; ++i) {
      const SimulatedUpstream& upstream = this->upstreams[i];
      service.upstreams[i].handle.generation = upstream.incarnation;
      service.upstreams[i].leaving = upstream.listed_leaving;
      service.incarnations[i].started =
          std::chrono::seconds(1 + upstream.incarnation);
      if (vm.saw_listed[i] && !upstream.listed_leaving) {
        vm.heard_leaving[i] = false;
      }
      vm.saw_listed[i] = upstream.listed_leaving;
    }
    vm.harness.now = this->now;
    vm.harness.Apply();
    this->CheckNewSends(vm);
  }

  void Publish() {
    for (const auto& vm : this->vms) {
      if (vm->sees_store) {
        this->ReadStore(*vm);
      }
    }
  }

  void MaybeDisturb() {
    if (!this->Chance(100)) {
      return;
    }
    SimulatedUpstream& upstream = this->upstreams[this->random(kUpstreams)];
    const uint32_t number = this->random(kVms);
    SimulatedVm& vm = *this->vms[number];
    switch (this->random(9)) {
      case 0:
        upstream.leaving = true;
        break;
      case 1:
      case 2:
        upstream.rest_until =
            this->now + std::chrono::milliseconds(this->random(4000));
        break;
      case 3:
        this->Replace(upstream);
        break;
      case 4:
        upstream.listed_leaving = upstream.leaving;
        this->Publish();
        break;
      case 5:
        this->TakeBack(upstream);
        break;
      case 6:
        this->Start(number);
        break;
      case 7:
        vm.dispatches = !vm.dispatches;
        break;
      default:
        vm.sees_store = !vm.sees_store;
        this->Publish();
        break;
    }
  }

  void Replace(SimulatedUpstream& upstream) {
    const uint32_t next = upstream.incarnation + 1;
    upstream = SimulatedUpstream();
    upstream.incarnation = next;
    const auto place = static_cast<size_t>(&upstream - this->upstreams.data());
    for (const auto& vm : this->vms) {
      vm->heard_leaving[place] = false;
      vm->saw_listed[place] = false;
      vm->heard_rest[place] = TimePoint();
    }
    this->Publish();
  }

  // The entry says that the upstream leaves, and then that it stays. A VM that
  // misses either of them is told by the next incarnation only.
  void TakeBack(SimulatedUpstream& upstream) {
    upstream.listed_leaving = true;
    this->Publish();
    upstream.listed_leaving = false;
    upstream.leaving = false;
    this->Publish();
  }

  void Settle() {
    for (const auto& vm : this->vms) {
      vm->sees_store = true;
      vm->dispatches = true;
      std::fill(vm->served.begin(), vm->served.end(), 0);
    }
    for (SimulatedUpstream& upstream : this->upstreams) {
      if (upstream.leaving) {
        this->Replace(upstream);
      }
      this->TakeBack(upstream);
      upstream.rest_until = std::min(upstream.rest_until, this->now);
    }
    for (const auto& vm : this->vms) {
      std::fill(vm->served.begin(), vm->served.end(), 0);
    }
  }

  void Step() {
    this->now += kStep;
    for (uint32_t i = 0; i < kVms; ++i) {
      SimulatedVm& vm = *this->vms[i];
      vm.harness.now = this->now;
      this->EndDue(vm);
      vm.harness.dispatcher->Tick(this->now);
      vm.harness.Collect();
      if (vm.dispatches && this->Chance(12)) {
        vm.harness.Offer();
      }
      this->CheckNewSends(vm);
    }
    if (this->Chance(50)) {
      this->TellOthers();
    }
  }

  // VMs tell each other; a VM that was only told is not bound by the rule, but
  // must not be told a rest that never ends.
  void TellOthers() {
    const SimulatedVm& from = *this->vms[this->random(kVms)];
    SimulatedVm& to = *this->vms[this->random(kVms)];
    if (from.harness.shard != to.harness.shard || &from == &to) {
      return;
    }
    to.harness.dispatcher->OnNoticeReports(
        this->now, to.harness.shard,
        from.harness.dispatcher->NoticesOf(this->now, from.harness.shard));
    to.harness.Collect();
    this->CheckNewSends(to);
  }

  void EndDue(SimulatedVm& vm) {
    const auto all = vm.running;
    for (const auto& [at, action] : all) {
      if (at > this->now) {
        continue;
      }
      const AttemptHandle attempt = action.attempt;
      const auto& running = vm.harness.running;
      const auto found = std::find_if(
          running.begin(), running.end(),
          [attempt](const auto& run) { return run.attempt == attempt; });
      if (found != running.end()) {
        vm.harness.EndAt(static_cast<size_t>(found - running.begin()),
                         this->Answer(vm, action.upstream));
        this->CheckNewSends(vm);
      }
      std::erase_if(vm.running, [attempt](const auto& run) {
        return run.second.attempt == attempt;
      });
    }
  }

  AttemptReport Answer(SimulatedVm& vm, UpstreamHandle handle) {
    const SimulatedUpstream& upstream = this->upstreams[handle.index];
    AttemptReport report = DispatchHarness::Report(AttemptEnd::kAnswered);
    if (handle.generation != upstream.incarnation) {
      report.end = AttemptEnd::kMisdirected;
      return report;
    }
    if (upstream.leaving) {
      report.notice.leaving = true;
      vm.heard_leaving[handle.index] = true;
    }
    const Duration rest = upstream.rest_until - this->now;
    if (rest > 0ms) {
      report.end = AttemptEnd::kShed;
      report.status = 503;
      report.notice.rest = rest;
      vm.heard_rest[handle.index] = upstream.rest_until;
    } else if (this->Chance(20)) {
      report.end = AttemptEnd::kDied;
    } else {
      ++vm.served[handle.index];
    }
    return report;
  }

  // The answer to a load query may start requests and cause further queries.
  void CheckNewSends(SimulatedVm& vm) {
    this->CheckNewAttempts(vm);
    while (!vm.harness.queried.empty()) {
      const UpstreamHandle upstream = vm.harness.queried.back();
      vm.harness.queried.pop_back();
      this->CheckSend(vm, upstream);
      basilsill::LoadQueryReport report;
      report.answered = true;
      report.load = {true, true, 0, 0, 2, 1};
      vm.harness.dispatcher->OnLoadQueryEnd(this->now, upstream, report);
      vm.harness.Collect();
      this->CheckNewAttempts(vm);
    }
  }

  void CheckNewAttempts(SimulatedVm& vm) {
    for (const DispatchAction& action : vm.harness.running) {
      const bool is_known = std::any_of(
          vm.running.begin(), vm.running.end(), [&action](const auto& run) {
            return run.second.attempt == action.attempt;
          });
      if (is_known) {
        continue;
      }
      this->CheckSend(vm, action.upstream);
      vm.running.push_back({this->now + kServiceTime, action});
    }
  }

  void CheckSend(const SimulatedVm& vm, UpstreamHandle upstream) {
    const bool is_present =
        upstream.generation == this->upstreams[upstream.index].incarnation;
    const bool is_against = vm.heard_leaving[upstream.index] ||
                            vm.heard_rest[upstream.index] > this->now;
    this->sends_against_notice += is_present && is_against ? 1 : 0;
  }

  pcg32 random;
  TimePoint now{100s};
  std::vector<SimulatedUpstream> upstreams;
  std::vector<std::unique_ptr<SimulatedVm>> vms;
  size_t sends_against_notice = 0;
};

}  // namespace

TEST_GROUP(NoticeHistory){};

// Failure: a VM sends to an upstream that told it that it leaves or rests, or
// an upstream that is back gets no work.
TEST(NoticeHistory, RandomHistories_ThreeVms_NothingSentAgainstANotice) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    NoticeHistory history(seed);
    history.Run();
    const std::string message = "seed " + std::to_string(seed);
    CHECK_EQUAL_TEXT(0, history.broken(), message.c_str());
    CHECK_EQUAL_TEXT(0, history.CountUnused(), message.c_str());
  }
}

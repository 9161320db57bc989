// Random event histories of the dispatcher with fixed seeds. In any order of
// events, each request has exactly one outcome, and what its refusal promises
// about it is true.

#include <map>

#include <pcg_random.hpp>

#include "decision_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::AttemptEnd;
using basilsill::AttemptReport;
using basilsill::DispatchAction;
using basilsill::DispatchActionKind;
using basilsill::DispatcherOptions;
using basilsill::DispatchHandle;
using basilsill::DispatchRequest;
using basilsill::Promise;
using basilsill::Quarantine;
using basilsill::TeamHandle;
using basilsill::TrafficClass;

namespace {

constexpr uint32_t kUpstreams = 5;
constexpr uint16_t kSlots = 2;
constexpr int kSteps = 6000;

struct TrackedRequest {
  DispatchRequest spec;
  DispatchHandle handle;
  bool maybe_ran = false;
  bool started = false;  ///< Part of an answer arrived.
};

class History {
 public:
  explicit History(uint64_t seed) : random(seed) {
    DispatcherOptions options;
    options.max_requests = 64;
    options.max_queue_per_shard = 24;
    options.seed = seed;
    this->quarantine = Quarantine::Create({});
    options.quarantine = this->quarantine;
    this->dispatcher = basilsill::Dispatcher::Create(options);
    for (uint32_t i = 0; i < kUpstreams; ++i) {
      this->fixture.AddUpstream(0, kSlots);
    }
    for (const char* name : {"one", "two", "three"}) {
      this->fixture.AddTeam(name, {1024, 16, 0, 1});
    }
    this->ApplyView();
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      this->Step();
      this->Collect();
      this->CheckSlots();
    }
    this->now += 100s;
    this->dispatcher->Tick(this->now);
    this->Collect();
    while (!this->running.empty()) {
      this->EndSome(AttemptEnd::kAnswered);
      this->Collect();
    }
    CHECK(this->open.empty());
  }

 private:
  void Step() {
    const uint32_t kind = this->random(100);
    if (kind < 40) {
      this->Offer();
    } else if (kind < 75) {
      this->EndSome(static_cast<AttemptEnd>(
          this->random(3) == 0
              ? this->random(static_cast<uint32_t>(AttemptEnd::kCount))
              : 0));
    } else if (kind < 80) {
      this->StartAnswer();
    } else if (kind < 84) {
      this->CancelSome();
    } else if (kind < 86) {
      this->ToggleUpstream();
    } else {
      this->now += basilsill::Duration(this->random(20000000));
      this->dispatcher->Tick(this->now);
    }
  }

  void ApplyView() {
    const auto view = this->fixture.Build();
    this->shard = view->services[0]->shards.at(0).key;
    this->dispatcher->ApplyView(this->now, view);
  }

  void Offer() {
    TrackedRequest tracked;
    tracked.spec.shard = this->shard;
    tracked.spec.team = TeamHandle{this->random(4), 0};
    tracked.spec.traffic_class = static_cast<TrafficClass>(
        this->random(static_cast<uint32_t>(TrafficClass::kCount)));
    tracked.spec.deadline =
        this->now + std::chrono::milliseconds(1 + this->random(500));
    tracked.spec.idempotent = this->random(2) == 0;
    tracked.spec.hedge = this->random(2) == 0;
    tracked.spec.fingerprint = 1 + this->random(50);
    tracked.spec.cookie = ++this->cookies;
    this->open[tracked.spec.cookie] = tracked;
    const DispatchHandle handle =
        this->dispatcher->Offer(this->now, tracked.spec);
    this->open[tracked.spec.cookie].handle = handle;
  }

  void EndSome(AttemptEnd end) {
    if (this->running.empty()) {
      return;
    }
    const size_t place =
        this->random(static_cast<uint32_t>(this->running.size()));
    const DispatchAction run = this->running[place];
    TrackedRequest& tracked = this->open.at(run.cookie);
    AttemptReport report;
    report.end = end;
    report.status = this->random(10) == 0 ? 500 : 200;
    report.notice.leaving = this->random(200) == 0;
    report.answer_started = tracked.started;
    this->running.erase(this->running.begin() +
                        static_cast<std::ptrdiff_t>(place));
    // These ends rule out that the request ran.
    const bool ran = end != AttemptEnd::kShed &&
                     end != AttemptEnd::kConnectFailed &&
                     end != AttemptEnd::kMisdirected;
    tracked.maybe_ran |= ran;
    this->dispatcher->OnNotice(this->now, this->fixture.service.handle,
                               run.upstream, report.notice);
    if (!this->dispatcher->OnAttemptEnd(this->now, run.attempt, report)) {
      this->open.erase(run.cookie);
    }
  }

  void StartAnswer() {
    if (this->running.empty()) {
      return;
    }
    const DispatchAction run = this->running[this->random(
        static_cast<uint32_t>(this->running.size()))];
    this->open.at(run.cookie).started = true;
    this->dispatcher->OnFirstByte(this->now, run.attempt);
  }

  void CancelSome() {
    if (this->open.empty()) {
      return;
    }
    auto place = this->open.begin();
    std::advance(place, this->random(static_cast<uint32_t>(this->open.size())));
    this->dispatcher->Cancel(this->now, place->second.handle);
    this->open.erase(place);
  }

  void ToggleUpstream() {
    auto& row = this->fixture.service.upstreams[this->random(kUpstreams)];
    row.leaving = !row.leaving;
    this->ApplyView();
  }

  void Collect() {
    for (const DispatchAction& action : this->dispatcher->actions()) {
      this->Apply(action);
    }
    this->dispatcher->ClearActions();
  }

  void Apply(const DispatchAction& action) {
    if (action.kind == DispatchActionKind::kCancel) {
      std::erase_if(this->running, [&action](const DispatchAction& run) {
        return run.attempt == action.attempt;
      });
    } else if (action.kind == DispatchActionKind::kStart) {
      const auto& row =
          this->fixture.service.upstreams.at(action.upstream.index);
      CHECK_FALSE(row.leaving);
      CHECK(this->open.at(action.cookie).spec.deadline > this->now);
      this->running.push_back(action);
    } else {
      const TrackedRequest& tracked = this->open.at(action.cookie);
      const bool not_run = InfoOf(action.refusal).promise == Promise::kNotRun;
      CHECK_FALSE(not_run && (tracked.maybe_ran || this->Runs(action.cookie)));
      CHECK_FALSE(tracked.started && not_run);
      this->open.erase(action.cookie);
    }
  }

  bool Runs(uint64_t cookie) const {
    return std::any_of(
        this->running.begin(), this->running.end(),
        [cookie](const DispatchAction& run) { return run.cookie == cookie; });
  }

  void CheckSlots() const {
    std::map<uint32_t, size_t> busy;
    std::map<uint64_t, size_t> attempts;
    for (const DispatchAction& run : this->running) {
      CHECK(++busy[run.upstream.index] <= kSlots + 1);
      const size_t most = this->open.at(run.cookie).spec.idempotent ? 2 : 1;
      CHECK(++attempts[run.cookie] <= most);
    }
    CHECK_EQUAL(this->running.size(),
                this->dispatcher->Summarize(this->now, this->shard).busy);
  }

  pcg32 random;
  basilsill::ViewFixture fixture;
  std::shared_ptr<Quarantine> quarantine;
  std::unique_ptr<basilsill::Dispatcher> dispatcher;
  basilsill::TimePoint now{1s};
  basilsill::ShardKey shard = 0;
  uint64_t cookies = 0;
  std::map<uint64_t, TrackedRequest> open;
  std::vector<DispatchAction> running;
};

}  // namespace

TEST_GROUP(DispatchHistory){};

TEST(DispatchHistory, Run_RandomEvents_EachRequestHasOneOutcome) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    History(seed).Run();
  }
}

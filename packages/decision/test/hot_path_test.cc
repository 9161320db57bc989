// Counts allocations on the hot path. At the target size, 14,000 upstreams in
// 350 services, nothing may be allocated after the warm-up. This is a separate
// program, because it hooks into the allocator through which CppUTest's
// operator new gets memory.

#include <cstdlib>

#include <pcg_random.hpp>

#include "decision_fixture.h"

#include <CppUTest/PlatformSpecificFunctions.h>
#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::AttemptEnd;
using basilsill::AttemptHandle;
using basilsill::AttemptReport;
using basilsill::DispatchAction;
using basilsill::DispatchActionKind;
using basilsill::Dispatcher;
using basilsill::DispatcherOptions;
using basilsill::DispatchRequest;
using basilsill::EntryOptions;
using basilsill::EntryRequest;
using basilsill::EntryRouter;
using basilsill::ServiceRow;

namespace {

constexpr uint32_t kServices = 350;
constexpr uint32_t kUpstreamsPerService = 40;
constexpr size_t kWarmUp = 60000;
constexpr size_t kCounted = 60000;

size_t allocation_count = 0;

void* CountingMalloc(size_t size) {
  ++allocation_count;
  return std::malloc(size);  // NOLINT: this is the allocator.
}

basilsill::RoutingViewPtr MakeView() {
  auto view =
      std::make_shared<basilsill::RoutingView>(basilsill::ViewFixture().view);
  uint32_t next = 0;
  for (uint32_t s = 0; s < kServices; ++s) {
    auto service = std::make_shared<ServiceRow>();
    service->handle = {s, 0};
    service->name = "service-" + std::to_string(s);
    service->team = {0, 0};
    for (uint32_t i = 0; i < kUpstreamsPerService; ++i) {
      basilsill::UpstreamRow row;
      row.handle = {next++, 0};
      row.endpoint = {"10.0.0.1", static_cast<uint16_t>(next)};
      row.data_centre = {i % 2, 0};
      service->upstreams.push_back(row);
    }
    AssignShards(*view, *service);
    view->services.push_back(std::move(service));
  }
  return view;
}

// Sends requests through entry router and dispatcher of one worker. Attempts
// end in random order, some of them with a shed, and slow ones are hedged.
class HotPath {
 public:
  HotPath() {
    DispatcherOptions dispatch;
    dispatch.quarantine = basilsill::Quarantine::Create({});
    EntryOptions entry;
    entry.quarantine = dispatch.quarantine;
    this->dispatcher = Dispatcher::Create(dispatch);
    this->router = EntryRouter::Create(entry);
    this->dispatcher->ApplyView(this->now, this->view);
    this->router->ApplyView(this->now, this->view);
    this->running.reserve(10000);
  }

  void Step() {
    this->now += 20us;
    this->Serve();
    if (this->running.size() > 2000) {
      this->EndOne();
    }
    if (++this->steps % 50 == 0) {
      this->dispatcher->Tick(this->now);
      this->router->Tick(this->now);
      this->ApplyActions();
    }
  }

 private:
  void Serve() {
    const uint32_t s = this->random(kServices);
    EntryRequest request;
    request.team = {0, 0};
    request.service = {s, 0};
    request.deadline = this->now + 1s;
    request.idempotent = true;
    request.replayable = true;
    request.fingerprint = this->steps + 1;
    const auto admission = this->router->Admit(this->now, request);
    const auto target = this->router->Choose(this->now, admission.entry);
    DispatchRequest offer;
    offer.shard = target.shard;
    offer.team = request.team;
    offer.deadline = request.deadline;
    offer.idempotent = true;
    offer.hedge = true;
    offer.fingerprint = request.fingerprint;
    offer.max_wait = target.max_wait;
    this->dispatcher->Offer(this->now, offer);
    this->ApplyActions();
    this->router->OnSummary(
        this->now, target.vm,
        this->dispatcher->Summarize(this->now, target.shard));
    this->router->Finish(this->now, admission.entry);
  }

  void EndOne() {
    const uint32_t place =
        this->random(static_cast<uint32_t>(this->running.size()));
    const AttemptHandle attempt = this->running[place];
    this->running[place] = this->running.back();
    this->running.pop_back();
    AttemptReport report;
    report.end =
        this->random(100) == 0 ? AttemptEnd::kShed : AttemptEnd::kAnswered;
    report.status = 200;
    this->dispatcher->OnAttemptEnd(this->now, attempt, report);
    this->ApplyActions();
  }

  void ApplyActions() {
    for (const DispatchAction& action : this->dispatcher->actions()) {
      if (action.kind == DispatchActionKind::kStart) {
        this->running.push_back(action.attempt);
      } else if (action.kind == DispatchActionKind::kCancel) {
        std::erase(this->running, action.attempt);
      }
    }
    this->dispatcher->ClearActions();
  }

  basilsill::RoutingViewPtr view = MakeView();
  std::unique_ptr<Dispatcher> dispatcher;
  std::unique_ptr<EntryRouter> router;
  basilsill::TimePoint now{1s};
  pcg32 random{1};
  uint64_t steps = 0;
  std::vector<AttemptHandle> running;
};

}  // namespace

TEST_GROUP(HotPath){
    void setup() override{UT_PTR_SET(PlatformSpecificMalloc, CountingMalloc);
allocation_count = 0;
}
}
;

TEST(HotPath, CountingMalloc_VectorGrows_IsCounted) {
  std::vector<int>(100).push_back(1);
  CHECK(allocation_count >= 2);
}

TEST(HotPath, Decisions_AfterWarmUp_AllocateNothing) {
  HotPath path;
  for (size_t i = 0; i < kWarmUp; ++i) {
    path.Step();
  }
  const size_t before = allocation_count;
  for (size_t i = 0; i < kCounted; ++i) {
    path.Step();
  }
  CHECK_EQUAL(before, allocation_count);
}

// Tests the state machine of the emulated instance in virtual time.

#include "upstream_state.h"

#include <cmath>

#include <CppUTest/TestHarness.h>

using basilsill::Duration;
using basilsill::TimePoint;
using basilsill::ctl::ServiceDistribution;
using basilsill::ctl::UpstreamBehaviour;
using basilsill::ctl::UpstreamJobHandle;
using basilsill::ctl::UpstreamLoad;
using basilsill::ctl::UpstreamState;
using basilsill::ctl::UpstreamStep;
using basilsill::ctl::UpstreamStepKind;
using std::chrono::milliseconds;

namespace {

constexpr int kSamples = 20000;

}  // namespace

TEST_GROUP(UpstreamState) {
  TimePoint now{milliseconds(1000)};
  UpstreamBehaviour behaviour;

  UpstreamState Make() {
    return UpstreamState(this->behaviour, 7, this->now);
  }

  // Returns the only pending step, which must be of `kind`.
  UpstreamStep TakeOnlyStep(UpstreamState & state, UpstreamStepKind kind) {
    const auto steps = state.TakeSteps();
    CHECK_EQUAL(1, steps.size());
    CHECK(kind == steps.at(0).kind);
    return steps.at(0);
  }
};

TEST(UpstreamState, Arrive_SlotsTaken_QueuesInOrder) {
  UpstreamState state = this->Make();
  const auto first = state.Arrive(this->now, {});
  state.Arrive(this->now, {});
  const auto third = state.Arrive(this->now, {});
  const auto fourth = state.Arrive(this->now, {});
  const auto steps = state.TakeSteps();
  CHECK_EQUAL(2, steps.size());
  CHECK(steps[0].job == first);
  CHECK(steps[0].finish == this->now + milliseconds(5));

  this->now += milliseconds(5);
  state.Finish(this->now, first);
  CHECK(this->TakeOnlyStep(state, UpstreamStepKind::kRun).job == third);
  state.Finish(this->now, third);
  CHECK(this->TakeOnlyStep(state, UpstreamStepKind::kRun).job == fourth);
  CHECK_EQUAL(2, state.counts().peak_queued);
}

TEST(UpstreamState, Cancel_QueuedAndRunning_FreesSlot) {
  this->behaviour.slots = 1;
  UpstreamState state = this->Make();
  const auto running = state.Arrive(this->now, {});
  const auto queued = state.Arrive(this->now, {});
  const auto last = state.Arrive(this->now, {});
  state.TakeSteps();

  state.Cancel(this->now, queued);
  CHECK(state.TakeSteps().empty());
  state.Cancel(this->now, running);
  CHECK(this->TakeOnlyStep(state, UpstreamStepKind::kRun).job == last);
  state.Cancel(this->now, running);
  CHECK_EQUAL(1, state.counts().cancelled_queued);
  CHECK_EQUAL(1, state.counts().cancelled_running);
  CHECK_EQUAL(1, state.counts().running);
}

TEST(UpstreamState, Deadline_PassedInQueue_IsSkippedAndNotCountedAsRun) {
  this->behaviour.slots = 1;
  UpstreamState state = this->Make();
  const auto running = state.Arrive(this->now, {});
  state.Arrive(this->now, {"key", this->now + milliseconds(3), false});
  state.TakeSteps();

  this->now += milliseconds(5);
  state.Finish(this->now, running);
  this->TakeOnlyStep(state, UpstreamStepKind::kSkipExpired);
  CHECK_EQUAL(1, state.counts().expired);
  CHECK(state.counts().executions.empty());
}

TEST(UpstreamState, QueueLimit_Reached_Sheds) {
  this->behaviour.slots = 1;
  this->behaviour.queue_limit = 1;
  UpstreamState state = this->Make();
  state.Arrive(this->now, {});
  state.Arrive(this->now, {});
  state.TakeSteps();
  state.Arrive(this->now, {});
  this->TakeOnlyStep(state, UpstreamStepKind::kRefuseShed);
  CHECK_EQUAL(1, state.counts().shed);
  CHECK_EQUAL(2, state.counts().running + state.counts().queued);
}

TEST(UpstreamState, Draining_AfterGracePeriod_Refuses) {
  this->behaviour.drain_grace = milliseconds(100);
  UpstreamState state = this->Make();
  this->behaviour.draining = true;
  state.Change(this->now, this->behaviour);
  state.Arrive(this->now + milliseconds(99), {});
  this->TakeOnlyStep(state, UpstreamStepKind::kRun);
  state.Arrive(this->now + milliseconds(100), {});
  this->TakeOnlyStep(state, UpstreamStepKind::kRefuseDraining);
  CHECK_EQUAL(2, state.counts().arrivals_while_draining);
  CHECK(state.counts().last_arrival_after_drain == milliseconds(100));
}

TEST(UpstreamState, Crash_MarkedRequest_DropsJobsAndStartsCold) {
  // A request crashes the instance that runs it. The request in the other slot
  // is lost, too. The instance restarts with a cold phase and keeps its
  // counters.
  this->behaviour.cold_time = milliseconds(50);
  UpstreamState state = this->Make();
  const auto neighbour =
      state.Arrive(this->now, {"a", basilsill::kNever, false});
  state.TakeSteps();
  state.Arrive(this->now, {"poison", basilsill::kNever, true});
  this->TakeOnlyStep(state, UpstreamStepKind::kCrash);
  state.Crash();
  state.Finish(this->now, neighbour);
  CHECK_EQUAL(0, state.counts().finished);
  CHECK_EQUAL(2, state.counts().lost_in_crash);
  CHECK_EQUAL(1, state.counts().executions.at("poison"));

  this->now += milliseconds(1000);
  state.Restart(this->now);
  state.Arrive(this->now, {});
  const auto cold = this->TakeOnlyStep(state, UpstreamStepKind::kRun);
  CHECK(cold.finish - this->now == milliseconds(20));
  state.Finish(this->now, cold.job);
  this->now += milliseconds(50);
  state.Arrive(this->now, {});
  const auto warm = this->TakeOnlyStep(state, UpstreamStepKind::kRun);
  CHECK(warm.finish - this->now == milliseconds(5));
}

TEST(UpstreamState, ReportLoad_WithLag_ReturnsPastLoad) {
  this->behaviour.report_lag = milliseconds(100);
  UpstreamState state = this->Make();
  state.Arrive(this->now, {});
  this->now += milliseconds(60);
  state.Arrive(this->now, {});
  state.Arrive(this->now, {});
  this->now += milliseconds(60);
  const UpstreamLoad load = state.ReportLoad(this->now);
  CHECK_EQUAL(1, load.running);
  CHECK_EQUAL(0, load.queued);
}

TEST(UpstreamState, ReportLoad_FactorZero_ReturnsNoLoad) {
  this->behaviour.report_factor = 0;
  UpstreamState state = this->Make();
  state.Arrive(this->now, {});
  CHECK_EQUAL(0, state.ReportLoad(this->now).running);
  CHECK_EQUAL(1, state.counts().load_reports);
}

TEST(UpstreamState, ServiceTime_EachDistribution_KeepsItsMean) {
  for (const auto distribution :
       {ServiceDistribution::kFixed, ServiceDistribution::kExponential,
        ServiceDistribution::kLognormal}) {
    this->behaviour.service_distribution = distribution;
    this->behaviour.straggle_factor = 2;
    UpstreamState state = this->Make();
    double sum = 0;
    for (int i = 0; i < kSamples; ++i) {
      const auto job = state.Arrive(this->now, {});
      const auto step = this->TakeOnlyStep(state, UpstreamStepKind::kRun);
      sum += std::chrono::duration<double, std::milli>(step.finish - this->now)
                 .count();
      state.Finish(this->now, job);
    }
    DOUBLES_EQUAL(10.0, sum / kSamples, 0.5);
  }
}

TEST(UpstreamState, Executions_SameKeyTwice_CountsTwo) {
  UpstreamState state = this->Make();
  state.Arrive(this->now, {"k", basilsill::kNever, false});
  state.Arrive(this->now, {"k", basilsill::kNever, false});
  state.Arrive(this->now, {"k", basilsill::kNever, false});
  CHECK_EQUAL(2, state.counts().executions.at("k"));
}

// Tests of what a fleet does while all its VMs lose the upstreams of the same
// data centre at once: views, reports, changes of ownership and refusals.

#include <algorithm>
#include <cstdio>
#include <numeric>

#include "reach_simulation.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::Duration;
using basilsill::kNever;
using basilsill::PathState;
using basilsill::ReachCounts;
using basilsill::ReachSimulation;
using basilsill::ReachSimulationOptions;
using basilsill::TimePoint;

namespace {

constexpr uint32_t kLost = 1;  // The data centre whose upstreams are lost.
constexpr uint64_t kSeed = 1;

// Reports that are sent, however many VMs there are and have the same to say.
constexpr uint32_t kMaxReports = 24;
constexpr uint64_t kMaxReportBytes = 128;

ReachSimulationOptions FleetOf(uint32_t vms) {
  ReachSimulationOptions options;
  options.data_centres = 3;
  options.vms = vms;
  options.services = 12;
  options.upstreams = 144;
  options.slots = 2;
  options.requests_per_second = 1200;
  options.has_small_vms = true;
  options.report_delay = 3ms;
  return options;
}

uint32_t Greatest(const std::vector<uint32_t>& all) {
  return *std::max_element(all.begin(), all.end());
}

uint32_t Sum(const std::vector<uint32_t>& all) {
  return std::accumulate(all.begin(), all.end(), 0U);
}

void Print(const char* part, const ReachCounts& counts) {
  std::printf(
      "\n%s: views %u at most, %u in all; reports %u, messages %u, bytes %lu; "
      "changes of owners %u at most; shards dispatched by VMs %zu; links %zu",
      part, Greatest(counts.views), Sum(counts.views), counts.reports,
      counts.messages, static_cast<unsigned long>(counts.bytes),
      Greatest(counts.owner_changes), counts.dispatched.size(),
      counts.links.size());
}

// All VMs lose the upstreams of a data centre at once and have them back two
// seconds later.
struct Loss {
  Loss(uint32_t vms, PathState state) : simulation(kSeed, FleetOf(vms)) {
    this->simulation.Run(1s);
    this->usual = this->simulation.counts();
    this->simulation.ResetCounts();
    this->simulation.SetDataCentre(kLost, state);
    this->begin = this->simulation.time();
    this->simulation.Run(2s);
    this->failed_at = this->simulation.first_failure();
    this->lost = this->simulation.counts();
    this->simulation.ResetCounts();
    this->simulation.SetDataCentre(kLost, PathState::kOpen);
    this->end = this->simulation.time();
    this->simulation.Run(2s);
    this->returned = this->simulation.counts();
    this->simulation.Finish();
    Print("usual", this->usual);
    Print("lost", this->lost);
    Print("returned", this->returned);
    std::printf(
        "\nfirst failure after %ld ms; refused %zu, later %zu of %zu, "
        "after the return %zu; slow %zu\n",
        static_cast<long>((this->failed_at - this->begin) / 1ms),
        this->simulation.CountRefused(this->begin, this->failed_at),
        this->simulation.CountRefused(this->failed_at, this->end),
        this->simulation.CountMade(this->failed_at, this->end),
        this->simulation.CountRefused(this->end, kNever),
        this->simulation.CountSlower(this->failed_at + 100ms, this->end,
                                     200ms));
  }

  ReachSimulation simulation;
  ReachCounts usual;
  ReachCounts lost;
  ReachCounts returned;
  TimePoint begin;
  TimePoint failed_at;
  TimePoint end;
};

// A VM may build a view for the first report, before it knows that all VMs have
// lost the data centre.
void CheckLoad(const Loss& loss) {
  const auto vms = static_cast<uint32_t>(loss.lost.views.size());
  for (const ReachCounts* counts : {&loss.lost, &loss.returned}) {
    CHECK(Greatest(counts->views) >= 1);
    CHECK(Greatest(counts->views) <= 2);
    CHECK(Sum(counts->views) <= vms + vms / 10);
    CHECK(counts->reports <= kMaxReports);
    CHECK(counts->bytes <= kMaxReports * kMaxReportBytes * vms);
    CHECK_EQUAL(0, Greatest(counts->owner_changes));
  }
}

void CheckRequests(const Loss& loss) {
  CHECK_EQUAL(0,
              loss.simulation.CountRefused(loss.failed_at + 100ms, loss.end));
  CHECK_EQUAL(0, loss.simulation.CountRefused(loss.end, kNever));
}

}  // namespace

TEST_GROUP(ReachFleet){};

// Failure: each VM reports the loss to all others, each report makes every VM
// build a view, and the ownership of the shards moves on to VMs that have lost
// the data centre too.
TEST(ReachFleet, DataCentre_StopsFor107Vms_FewViewsAndReports) {
  const Loss loss(107, PathState::kStopped);
  CheckLoad(loss);
  CheckRequests(loss);
}

TEST(ReachFleet, DataCentre_StopsFor229Vms_FewViewsAndReports) {
  const Loss loss(229, PathState::kStopped);
  CheckLoad(loss);
  CheckRequests(loss);
}

TEST(ReachFleet, DataCentre_HangsFor107Vms_FewViewsAndReports) {
  const Loss loss(107, PathState::kHangs);
  CheckLoad(loss);
  CheckRequests(loss);
}

TEST(ReachFleet, DataCentre_HangsFor229Vms_FewViewsAndReports) {
  const Loss loss(229, PathState::kHangs);
  CheckLoad(loss);
  CheckRequests(loss);
}

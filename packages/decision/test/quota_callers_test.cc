// Callers of a team far beyond its quota, who return after a refusal: how much
// of the quota is used, and by whom.

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <vector>

#include "quota_simulation.h"

#include <CppUTest/TestHarness.h>

using basilsill::CallerCounts;
using basilsill::CallerGroup;
using basilsill::QuotaCounts;
using basilsill::QuotaSimulation;
using basilsill::QuotaSimulationOptions;
using basilsill::TeamLimits;
using basilsill::TrafficClass;
using namespace std::chrono_literals;

namespace {

struct Scenario {
  double rate;  ///< Of the quota, a second.
  double burst;
  size_t vms_per_data_centre;
  size_t extra_vms;
  /// A VM has to see a few requests of a rule to learn its callers' full time.
  std::chrono::seconds calm;
};

// 36, 72 and 107 VMs; the last quota is small beside the number of VMs.
constexpr std::array<Scenario, 4> kScenarios{{{120, 30, 12, 0, 60s},
                                              {120, 30, 24, 0, 60s},
                                              {120, 30, 35, 2, 60s},
                                              {30, 3, 35, 2, 240s}}};

// The team stays within its quota at first, while VMs learn what its callers
// declare; then the demand rises.
constexpr double kCalmFactor = 0.6;
constexpr auto kWarmUp = 3s;
constexpr auto kMeasured = 20s;

// Parts of the demand by data centre: unequal, while the shares are equal.
constexpr std::array<double, 3> kDemandParts{0.5, 0.3, 0.2};

struct Kind {
  TrafficClass traffic_class;
  std::chrono::milliseconds target;
  std::chrono::milliseconds work;
  std::chrono::milliseconds full_time;
  double part;  ///< Of the demand.
};

// The callers of the first deployment of docs/OVERLOAD.md.
constexpr std::array<Kind, 4> kKinds{{
    {TrafficClass::kUrgent, 250ms, 110ms, 3000ms, 0.25},
    {TrafficClass::kOrdinary, 400ms, 150ms, 4000ms, 0.35},
    {TrafficClass::kBulk, 1000ms, 91ms, 6000ms, 0.2},
    {TrafficClass::kBackground, 2500ms, 450ms, 10000ms, 0.2},
}};

struct Outcome {
  double used = 0;                              ///< Of the quota.
  double in_time = 0;                           ///< Of what was used.
  std::array<double, kKinds.size()> served{};   ///< Of the callers, by class.
  std::array<double, kKinds.size()> granted{};  ///< Of the quota, by class.
  std::array<double, kKinds.size()> wanted{};   ///< Of the quota, by class.
  std::array<double, 3> served_in{};            ///< Of the callers, by place.
};

QuotaCounts::OfClass SumOf(const QuotaCounts& counts) {
  QuotaCounts::OfClass sum;
  for (const QuotaCounts::OfClass& row : counts.classes) {
    sum.asked += row.asked;
    sum.granted_in_time += row.granted_in_time;
    sum.granted_late += row.granted_late;
    sum.refused += row.refused;
    sum.returned += row.returned;
  }
  return sum;
}

void Print(const std::string& title,
           const Outcome& outcome,
           const QuotaCounts& counts,
           double overflowed,
           uint64_t messages) {
  std::printf("\n%s: used %.3f, of it in time %.3f\n", title.c_str(),
              outcome.used, outcome.in_time);
  for (size_t i = 0; i < kKinds.size(); ++i) {
    std::printf("  %-10s wanted %.2f granted %.3f served %.3f\n",
                std::string(NameOf(kKinds[i].traffic_class)).c_str(),
                outcome.wanted[i], outcome.granted[i], outcome.served[i]);
  }
  std::printf("  served by data centre: %.3f %.3f %.3f\n", outcome.served_in[0],
              outcome.served_in[1], outcome.served_in[2]);
  const QuotaCounts::OfClass sum = SumOf(counts);
  std::printf(
      "  since the start: asked %llu granted in time %llu late %llu refused "
      "%llu (unasked %llu) borrowed %llu void %llu returned %llu\n"
      "  overflowed %.0f messages %llu\n",
      static_cast<unsigned long long>(sum.asked),
      static_cast<unsigned long long>(sum.granted_in_time),
      static_cast<unsigned long long>(sum.granted_late),
      static_cast<unsigned long long>(sum.refused),
      static_cast<unsigned long long>(counts.refused_unasked),
      static_cast<unsigned long long>(counts.borrowed),
      static_cast<unsigned long long>(counts.voided),
      static_cast<unsigned long long>(sum.returned), overflowed,
      static_cast<unsigned long long>(messages));
}

void StartAll(QuotaSimulation& simulation, double per_second) {
  for (uint32_t i = 0; i < kKinds.size(); ++i) {
    const Kind& kind = kKinds[i];
    CallerGroup group{
        0, i, kind.traffic_class, kind.target, kind.work, kind.full_time, {}};
    for (const double part : kDemandParts) {
      group.per_second.push_back(per_second * kind.part * part);
    }
    simulation.StartCallers(group);
  }
}

Outcome Summarize(const QuotaSimulation& simulation, double rate) {
  Outcome outcome;
  const double quota = rate * std::chrono::duration<double>(kMeasured).count();
  std::array<double, 3> callers_in{};
  double in_time = 0;
  double all = 0;
  for (size_t i = 0; i < kKinds.size(); ++i) {
    double callers = 0;
    double served = 0;
    for (size_t place = 0; place < kDemandParts.size(); ++place) {
      const CallerCounts& calm = simulation.CountsOf(i, place);
      const CallerCounts& risen = simulation.CountsOf(kKinds.size() + i, place);
      const CallerCounts counts{
          calm.callers + risen.callers, calm.attempts + risen.attempts,
          calm.in_time + risen.in_time, calm.late + risen.late,
          calm.refused + risen.refused};
      callers += static_cast<double>(counts.callers);
      served += static_cast<double>(counts.in_time + counts.late);
      in_time += static_cast<double>(counts.in_time);
      callers_in[place] += static_cast<double>(counts.callers);
      outcome.served_in[place] +=
          static_cast<double>(counts.in_time + counts.late);
    }
    outcome.served[i] = served / callers;
    outcome.granted[i] = served / quota;
    outcome.wanted[i] = callers / quota;
    all += served;
  }
  for (size_t place = 0; place < kDemandParts.size(); ++place) {
    outcome.served_in[place] /= callers_in[place];
  }
  outcome.in_time = in_time / all;
  return outcome;
}

Outcome RunCallers(double factor, const Scenario& scenario) {
  QuotaSimulationOptions options;
  TeamLimits limits;
  limits.requests_per_second = scenario.rate;
  limits.burst = scenario.burst;
  options.teams = {limits};
  options.vms_per_data_centre = scenario.vms_per_data_centre;
  options.extra_vms = scenario.extra_vms;
  QuotaSimulation simulation(options);
  StartAll(simulation, kCalmFactor * scenario.rate);
  simulation.Run(scenario.calm);
  StartAll(simulation, (factor - kCalmFactor) * scenario.rate);
  simulation.Run(kWarmUp);
  simulation.ResetCallerCounts();
  const uint64_t messages = simulation.messages();
  const double overflowed = simulation.SumOverflowed();
  const auto from = simulation.now();
  simulation.Run(kMeasured);
  Outcome outcome = Summarize(simulation, scenario.rate);
  outcome.used =
      static_cast<double>(simulation.CountAdmitted(0, from, simulation.now())) /
      (scenario.rate * std::chrono::duration<double>(kMeasured).count());
  Print(std::to_string(simulation.CountVms()) + " VMs, quota " +
            std::to_string(scenario.rate) + " a second, demand " +
            std::to_string(factor) + " times the quota",
        outcome, simulation.SumCounts(),
        simulation.SumOverflowed() - overflowed,
        simulation.messages() - messages);
  return outcome;
}

void Check(const Outcome& outcome) {
  CHECK_COMPARE(outcome.used, >=, 0.95);
  CHECK_COMPARE(outcome.in_time, >=, 0.9);
  for (size_t i = 0; i < kKinds.size(); ++i) {
    CHECK_COMPARE(outcome.served[0], >=, outcome.served[i]);
    CHECK_COMPARE(outcome.granted[i], >=,
                  0.95 * std::min(0.125, outcome.wanted[i]));
  }
}

// All scenarios run before the first check, so that a failure shows them all.
void RunAndCheck(double factor) {
  std::vector<Outcome> outcomes;
  outcomes.reserve(kScenarios.size());
  for (const Scenario& scenario : kScenarios) {
    outcomes.push_back(RunCallers(factor, scenario));
  }
  for (const Outcome& outcome : outcomes) {
    Check(outcome);
  }
}

}  // namespace

TEST_GROUP(QuotaCallers){};

// Failure: credits of a team beyond its quota are unused, or go to callers who
// are late, while others are refused who could still be in time.
TEST(QuotaCallers, Returning_TwiceTheQuota_CreditsServeCallersInTime) {
  RunAndCheck(2);
}

TEST(QuotaCallers, Returning_FourTimesTheQuota_CreditsServeCallersInTime) {
  RunAndCheck(4);
}

TEST(QuotaCallers, Returning_EightTimesTheQuota_CreditsServeCallersInTime) {
  RunAndCheck(8);
}

// Failure: requests of a VM that is far from the lender, or that has few, never
// get a credit.
TEST(QuotaCallers, Returning_FourTimesTheQuota_NoVmIsStarved) {
  QuotaSimulationOptions options;
  TeamLimits limits;
  limits.requests_per_second = 120;
  limits.burst = 30;
  options.teams = {limits};
  options.vms_per_data_centre = 12;
  QuotaSimulation simulation(options);
  StartAll(simulation, 4 * limits.requests_per_second);
  simulation.Run(30s);
  for (size_t place = 0; place < kDemandParts.size(); ++place) {
    double mean = 0;
    double least = 1;
    for (const size_t vm : simulation.VmsOf(place)) {
      const QuotaCounts::OfClass sum = SumOf(simulation.CountsAt(vm));
      const double served =
          static_cast<double>(sum.granted_in_time + sum.granted_late) /
          static_cast<double>(sum.asked);
      mean += served / static_cast<double>(options.vms_per_data_centre);
      least = std::min(least, served);
    }
    CHECK_COMPARE(least, >=, 0.6 * mean);
  }
}

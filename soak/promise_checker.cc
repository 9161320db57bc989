#include "promise_checker.h"

#include <algorithm>
#include <array>
#include <utility>

namespace basilsill::soak {
namespace {

constexpr unsigned kSuccessFirst = 200;
constexpr unsigned kSuccessEnd = 300;

}  // namespace

bool IsSuccess(const RequestRow& row) {
  return row.outcome == RequestOutcome::kAnswer &&
         row.status >= kSuccessFirst && row.status < kSuccessEnd;
}

PromiseChecker::PromiseChecker(const Observations& observations,
                               const Bounds& bounds)
    : observations(observations),
      bounds(bounds),
      slack(bounds.tolerance + observations.lag) {
  for (const RunRow& run : observations.runs) {
    this->runs[run.id].push_back(&run);
  }
  for (const RequestRow& row : observations.requests) {
    this->requests[row.id] = &row;
  }
}

std::vector<Violation> PromiseChecker::Run() {
  using Check = void (PromiseChecker::*)();
  constexpr std::array<Check, static_cast<size_t>(Promise::kCount)> checks = {
      &PromiseChecker::CheckOwnAnswer,   &PromiseChecker::CheckOnce,
      &PromiseChecker::CheckNotRun,      &PromiseChecker::CheckLeaving,
      &PromiseChecker::CheckShutdown,    &PromiseChecker::CheckConfiguration,
      &PromiseChecker::CheckNoReturn,    &PromiseChecker::CheckRepeats,
      &PromiseChecker::CheckRecovery,    &PromiseChecker::CheckCallerGone,
      &PromiseChecker::CheckTimeout,     &PromiseChecker::CheckStaysUp,
      &PromiseChecker::CheckDrained,     &PromiseChecker::CheckCold,
      &PromiseChecker::CheckRateLimit,   &PromiseChecker::CheckKeyRevoked,
      &PromiseChecker::CheckTeamQuota,   &PromiseChecker::CheckReadyTakes,
      &PromiseChecker::CheckLeavingSaid, &PromiseChecker::CheckRest,
      &PromiseChecker::CheckCutServed};
  for (const Check check : checks) {
    (this->*check)();
  }
  return std::move(this->found);
}

void PromiseChecker::Add(Promise promise,
                         std::vector<std::string> ids,
                         TimePoint at,
                         std::string detail) {
  this->found.push_back({promise, std::move(ids), at, std::move(detail)});
}

const std::vector<const RunRow*>& PromiseChecker::RunsOf(
    const std::string& id) const {
  static const std::vector<const RunRow*> none;
  const auto entry = this->runs.find(id);
  return entry == this->runs.end() ? none : entry->second;
}

bool PromiseChecker::IsUndisturbed(std::initializer_list<DisturbanceKind> kinds,
                                   std::optional<size_t> node,
                                   TimePoint from,
                                   TimePoint to) const {
  const TimePoint since = from - this->bounds.stability - this->slack;
  return std::none_of(
      this->observations.disturbances.begin(),
      this->observations.disturbances.end(), [&](const Disturbance& row) {
        const bool is_relevant =
            std::find(kinds.begin(), kinds.end(), row.kind) != kinds.end();
        const bool is_affected = !node || !row.node || *row.node == *node;
        return is_relevant && is_affected && row.to >= since && row.from <= to;
      });
}

// Neither the node nor the store was disturbed.
bool PromiseChecker::IsNodeUndisturbed(size_t node,
                                       TimePoint from,
                                       TimePoint to) const {
  return this->IsUndisturbed(
             {DisturbanceKind::kNode, DisturbanceKind::kShutdown}, node, from,
             to) &&
         this->IsUndisturbed({DisturbanceKind::kStore}, std::nullopt, from, to);
}

bool PromiseChecker::AreAllNodesUndisturbed(TimePoint from,
                                            TimePoint to) const {
  return this->IsUndisturbed(
      {DisturbanceKind::kNode, DisturbanceKind::kShutdown,
       DisturbanceKind::kStore},
      std::nullopt, from, to);
}

bool PromiseChecker::IsUndisturbedExceptShutdowns(TimePoint from,
                                                  TimePoint to) const {
  return this->IsUndisturbed({DisturbanceKind::kNode, DisturbanceKind::kStore,
                              DisturbanceKind::kUpstream},
                             std::nullopt, from, to);
}

bool PromiseChecker::IsSameProcess(size_t node,
                                   TimePoint from,
                                   TimePoint to) const {
  return this->IsUndisturbed(
      {DisturbanceKind::kNode, DisturbanceKind::kShutdown}, node, from, to);
}

}  // namespace basilsill::soak

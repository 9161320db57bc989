#include "promise_checker.h"

#include <algorithm>
#include <map>
#include <utility>

namespace basilsill::soak {

TimePoint PromiseChecker::NextChange(size_t index) const {
  for (size_t i = index + 1; i < this->observations.routes.size(); ++i) {
    if (this->observations.routes[i].route ==
        this->observations.routes[index].route) {
      return this->observations.routes[i].sent;
    }
  }
  return TimePoint::max();
}

// From the bound after its acceptance until the next change of the route,
// every node must have applied this change.
void PromiseChecker::CheckConfiguration() {
  for (size_t i = 0; i < this->observations.routes.size(); ++i) {
    const RouteRow& change = this->observations.routes[i];
    const TimePoint from = change.accepted + this->bounds.apply + this->slack;
    const TimePoint until = this->NextChange(i);
    for (const RequestRow& row : this->observations.requests) {
      const bool is_relevant = row.route == change.route && row.sent > from &&
                               row.outcome == RequestOutcome::kAnswer &&
                               row.ended < until;
      const bool found = row.status != kNotFound;
      if (is_relevant && found != change.is_added &&
          this->IsNodeUndisturbed(row.node, change.accepted, row.ended)) {
        this->Add(Promise::kConfiguration, {row.id}, row.ended,
                  "status " + std::to_string(row.status) + " from node " +
                      std::to_string(row.node));
      }
    }
  }
}

// A response on a route is consistent with every configuration sent before
// the response that has the route (success) or lacks it (404). Each response
// of a node, in order, is matched to the oldest such configuration that is
// not older than those matched to earlier responses. If there is none, the
// node went back to an older configuration. Requests that overlap in time
// have no order.
void PromiseChecker::CheckNoReturn() {
  std::map<std::pair<size_t, std::string>, std::vector<const RequestRow*>>
      answers;
  for (const RequestRow& row : this->observations.requests) {
    const bool shows_route = row.outcome == RequestOutcome::kAnswer &&
                             (IsSuccess(row) || row.status == kNotFound);
    if (shows_route && this->IsRouteChanged(row.route)) {
      answers[{row.node, row.route}].push_back(&row);
    }
  }
  for (auto& [key, rows] : answers) {
    std::sort(rows.begin(), rows.end(),
              [](const RequestRow* a, const RequestRow* b) {
                return a->sent < b->sent;
              });
    this->CheckNoReturn(rows);
  }
}

void PromiseChecker::CheckNoReturn(const std::vector<const RequestRow*>& rows) {
  std::vector<MatchedAnswer> matched;
  for (const RequestRow* row : rows) {
    size_t oldest = 0;
    for (const MatchedAnswer& before : matched) {
      const bool is_relevant =
          before.row->ended + this->slack < row->sent &&
          this->IsSameProcess(row->node, before.row->ended, row->ended);
      oldest = is_relevant ? std::max(oldest, before.change) : oldest;
    }
    const std::optional<size_t> change =
        this->FindConsistentChange(*row, oldest);
    if (change) {
      matched.push_back({row, *change});
    } else {
      this->Add(Promise::kNoReturn, {row->id}, row->ended,
                "node " + std::to_string(row->node));
    }
  }
}

bool PromiseChecker::IsRouteChanged(const std::string& route) const {
  return std::any_of(
      this->observations.routes.begin(), this->observations.routes.end(),
      [&route](const RouteRow& change) { return change.route == route; });
}

std::optional<size_t> PromiseChecker::FindConsistentChange(
    const RequestRow& row,
    size_t oldest) const {
  for (size_t i = oldest; i < this->observations.routes.size(); ++i) {
    const RouteRow& change = this->observations.routes[i];
    if (change.route == row.route && change.sent <= row.ended &&
        change.is_added == (row.status != kNotFound)) {
      return i;
    }
  }
  return std::nullopt;
}

// Holds regardless of faults of nodes and the store.
void PromiseChecker::CheckKeyRevoked() {
  for (const KeyRow& key : this->observations.keys) {
    const TimePoint from = key.accepted + this->bounds.revoke + this->slack;
    for (const RunRow& run : this->observations.runs) {
      const auto found = this->requests.find(run.id);
      if (found == this->requests.end() || found->second->team != key.team) {
        continue;
      }
      // A request held in a paused node may run once the key is restored.
      if (found->second->sent >= from && run.began < key.restored) {
        this->Add(Promise::kKeyRevoked, {run.id}, run.began,
                  "sent with a key that was taken away");
      }
    }
  }
}

}  // namespace basilsill::soak

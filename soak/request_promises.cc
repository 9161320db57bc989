#include "promise_checker.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string_view>

namespace basilsill::soak {
namespace {

// Number of late requests that kCallerGone and kTimeout tolerate, as single
// requests can fall between two observations.
constexpr size_t kToleratedRequests = 3;

// Statuses that state that the request has not been executed and will not be.
constexpr std::array<unsigned, 4> kNotRunStatuses = {408, 421, 429, 503};

bool IsRefusedAsNotRun(const RequestRow& row) {
  return row.outcome == RequestOutcome::kAnswer &&
         std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(),
                   row.status) != kNotRunStatuses.end();
}

}  // namespace

void PromiseChecker::CheckOwnAnswer() {
  for (const RequestRow& row : this->observations.requests) {
    if (IsSuccess(row) && !row.is_own) {
      this->Add(Promise::kOwnAnswer, {row.id}, row.ended,
                "status " + std::to_string(row.status));
    }
  }
}

void PromiseChecker::CheckOnce() {
  for (const RequestRow& row : this->observations.requests) {
    const size_t count = this->RunsOf(row.id).size();
    if (row.kind == RequestKind::kUnsafe && count > 1) {
      this->Add(Promise::kOnce, {row.id}, row.ended,
                "ran " + std::to_string(count) + " times");
    }
  }
}

void PromiseChecker::CheckNotRun() {
  for (const RequestRow& row : this->observations.requests) {
    if (row.kind == RequestKind::kUnsafe && IsRefusedAsNotRun(row) &&
        !this->RunsOf(row.id).empty()) {
      this->Add(Promise::kNotRun, {row.id}, row.ended,
                "status " + std::to_string(row.status));
    }
  }
}

// The requests that the budget of a window is computed from may have arrived
// in the previous window.
void PromiseChecker::CheckRepeats() {
  std::map<size_t, std::vector<TimePoint>> repeats;  // By service.
  std::set<std::string> first;
  for (const RunRow& run : this->observations.runs) {
    if (!first.insert(run.id).second) {
      repeats[run.service].push_back(run.began);
    }
  }
  for (const auto& [service, times] : repeats) {
    for (const TimePoint end : times) {
      this->CheckRepeats(service, times, end);
    }
  }
}

void PromiseChecker::CheckRepeats(size_t service,
                                  const std::vector<TimePoint>& times,
                                  TimePoint end) {
  const Duration window = this->bounds.repeat_window;
  const auto spent = static_cast<double>(std::count_if(
      times.begin(), times.end(),
      [&](TimePoint at) { return at > end - window && at <= end; }));
  const size_t requested =
      std::max(this->CountRequests(service, end - window, end),
               this->CountRequests(service, end - 2 * window, end - window));
  const double allowed =
      this->bounds.repeat_ratio * static_cast<double>(requested) +
      this->bounds.repeat_slack;
  if (spent > allowed) {
    this->Add(Promise::kRepeats, {}, end,
              std::to_string(static_cast<size_t>(spent)) +
                  " repeats in a window, " + std::to_string(requested) +
                  " requests");
  }
}

size_t PromiseChecker::CountRequests(size_t service,
                                     TimePoint from,
                                     TimePoint to) const {
  return static_cast<size_t>(std::count_if(
      this->observations.requests.begin(), this->observations.requests.end(),
      [&](const RequestRow& row) {
        return row.service == service && row.sent > from && row.sent <= to;
      }));
}

void PromiseChecker::CheckRecovery() {
  if (!this->observations.all_restarted) {
    return;
  }
  const TimePoint from =
      *this->observations.all_restarted + this->bounds.recover;
  size_t requested = 0;
  size_t served = 0;
  for (const RequestRow& row : this->observations.requests) {
    const bool is_relevant =
        row.sent > from && row.outcome != RequestOutcome::kCallerLeft &&
        row.outcome != RequestOutcome::kOpen && row.status != kNotFound;
    requested += is_relevant ? 1 : 0;
    served += is_relevant && IsSuccess(row) ? 1 : 0;
  }
  if (served * 4 < requested) {
    this->Add(Promise::kRecovery, {}, from,
              std::to_string(served) + " of " + std::to_string(requested) +
                  " served");
  }
}

void PromiseChecker::CheckCallerGone() {
  std::vector<std::string> ids;
  for (const RequestRow& row : this->observations.requests) {
    if (row.outcome != RequestOutcome::kCallerLeft) {
      continue;
    }
    const TimePoint bound = row.ended + this->bounds.caller_gone + this->slack;
    for (const RunRow* run : this->RunsOf(row.id)) {
      if (run->began > bound &&
          this->IsUndisturbed({DisturbanceKind::kNode}, std::nullopt, row.sent,
                              run->began)) {
        ids.push_back(row.id);
      }
    }
  }
  if (ids.size() > kToleratedRequests) {
    this->Add(Promise::kCallerGone, ids, this->observations.ended,
              "begun after their callers had left");
  }
}

void PromiseChecker::CheckTimeout() {
  size_t open = 0;
  std::vector<std::string> late;
  for (const RequestRow& row : this->observations.requests) {
    const TimePoint due = row.sent + this->bounds.timeout;
    const bool is_relevant =
        (row.outcome == RequestOutcome::kAnswer ||
         row.outcome == RequestOutcome::kTimeout) &&
        row.ended > due && !row.is_pipelined &&
        this->IsNodeUndisturbed(row.node, row.sent, row.ended);
    open += is_relevant ? 1 : 0;
    if (is_relevant &&
        row.ended > due + this->bounds.timeout_slack + this->slack) {
      late.push_back(row.id);
    }
  }
  if (late.size() > kToleratedRequests && late.size() * 2 > open) {
    this->Add(Promise::kTimeout, late, this->observations.ended,
              "of " + std::to_string(open) + " that reached it");
  }
}

// Counts the requests that are both sent and started within a window.
void PromiseChecker::CheckTeamQuota() {
  struct Span {
    TimePoint sent;
    TimePoint began;
    std::string_view id;
  };
  std::vector<Span> spans;
  for (const auto& [id, runs] : this->runs) {
    const auto found = this->requests.find(id);
    if (found != this->requests.end() &&
        found->second->team == static_cast<size_t>(SoakTeam::kLimited)) {
      spans.push_back({found->second->sent, runs.front()->began, id});
    }
  }
  const Duration window = this->bounds.quota_window;
  const double seconds = std::chrono::duration<double>(window).count();
  const double bound =
      this->bounds.quota_excess *
          (this->bounds.quota_rate * seconds + this->bounds.quota_burst) +
      this->bounds.quota_slack;
  for (const Span& first : spans) {
    const auto count = std::count_if(
        spans.begin(), spans.end(), [&first, window](const Span& span) {
          return span.sent >= first.sent && span.began < first.sent + window;
        });
    if (static_cast<double>(count) > bound) {
      this->Add(Promise::kTeamQuota, {std::string(first.id)}, first.sent,
                std::to_string(count) + ", bound " + std::to_string(bound));
      return;
    }
  }
}

}  // namespace basilsill::soak

#include "promises.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace basilsill::soak {
namespace {

using std::chrono::milliseconds;

constexpr std::array<std::string_view, static_cast<size_t>(Promise::kCount)>
    kNames = {"own-answer",   "once",       "not-run",
              "leaving",      "shutdown",   "configuration",
              "no-return",    "repeats",    "recovery",
              "caller-gone",  "timeout",    "stays-up",
              "drained",      "cold",       "rate-limit",
              "key-revoked",  "team-quota", "ready-takes-connections",
              "leaving-said", "rest"};

// Number of late requests that kCallerGone and kTimeout tolerate, as single
// requests can fall between two observations.
constexpr size_t kToleratedRequests = 3;
constexpr size_t kMissesUntilViolation = 2;

constexpr unsigned kNotFound = 404;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kSuccessFirst = 200;
constexpr unsigned kSuccessEnd = 300;
// Statuses that state that the request has not been executed and will not be.
constexpr std::array<unsigned, 4> kNotRunStatuses = {408, 421, 429, 503};

bool IsSuccess(const RequestRow& row) {
  return row.outcome == RequestOutcome::kAnswer &&
         row.status >= kSuccessFirst && row.status < kSuccessEnd;
}

// The system ended the request without a response of an upstream and without
// stating whether an upstream executed it.
bool IsOutcomeUnknown(const RequestRow& row) {
  return row.outcome == RequestOutcome::kBroken ||
         (row.outcome == RequestOutcome::kAnswer && row.status == kBadGateway);
}

bool IsRefusedAsNotRun(const RequestRow& row) {
  return row.outcome == RequestOutcome::kAnswer &&
         std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(),
                   row.status) != kNotRunStatuses.end();
}

class PromiseChecker {
 public:
  PromiseChecker(const Observations& observations, const Bounds& bounds)
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

  std::vector<Violation> Run() {
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
        &PromiseChecker::CheckLeavingSaid, &PromiseChecker::CheckRest};
    for (const Check check : checks) {
      (this->*check)();
    }
    return std::move(this->found);
  }

 private:
  void Add(Promise promise,
           std::vector<std::string> ids,
           TimePoint at,
           std::string detail) {
    this->found.push_back({promise, std::move(ids), at, std::move(detail)});
  }

  const std::vector<const RunRow*>& RunsOf(const std::string& id) const {
    static const std::vector<const RunRow*> none;
    const auto entry = this->runs.find(id);
    return entry == this->runs.end() ? none : entry->second;
  }

  /// @returns true if no disturbance of `kinds` affected `node` (absent: any
  /// node) between `from` and `to` or within the stability window before
  /// `from`.
  bool IsUndisturbed(std::initializer_list<DisturbanceKind> kinds,
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
          return is_relevant && is_affected && row.to >= since &&
                 row.from <= to;
        });
  }

  // Neither the node nor the store was disturbed.
  bool IsNodeUndisturbed(size_t node, TimePoint from, TimePoint to) const {
    return this->IsUndisturbed(
               {DisturbanceKind::kNode, DisturbanceKind::kShutdown}, node, from,
               to) &&
           this->IsUndisturbed({DisturbanceKind::kStore}, std::nullopt, from,
                               to);
  }

  void CheckOwnAnswer() {
    for (const RequestRow& row : this->observations.requests) {
      if (IsSuccess(row) && !row.is_own) {
        this->Add(Promise::kOwnAnswer, {row.id}, row.ended,
                  "status " + std::to_string(row.status));
      }
    }
  }

  void CheckOnce() {
    for (const RequestRow& row : this->observations.requests) {
      const size_t count = this->RunsOf(row.id).size();
      if (row.kind == RequestKind::kUnsafe && count > 1) {
        this->Add(Promise::kOnce, {row.id}, row.ended,
                  "ran " + std::to_string(count) + " times");
      }
    }
  }

  void CheckNotRun() {
    for (const RequestRow& row : this->observations.requests) {
      if (row.kind == RequestKind::kUnsafe && IsRefusedAsNotRun(row) &&
          !this->RunsOf(row.id).empty()) {
        this->Add(Promise::kNotRun, {row.id}, row.ended,
                  "status " + std::to_string(row.status));
      }
    }
  }

  void CheckLeaving() {
    for (const LeavingRow& row : this->observations.leaving) {
      const TimePoint bound = row.accepted + this->bounds.drain + this->slack;
      for (const RunRow& run : this->observations.runs) {
        const auto request = this->requests.find(run.id);
        // The node that received the request need not be the one that
        // dispatched it, so all nodes must be undisturbed.
        const bool is_relevant =
            run.upstream == row.upstream && run.began > bound &&
            request != this->requests.end() &&
            this->AreAllNodesUndisturbed(row.accepted, run.began);
        if (is_relevant) {
          this->Add(Promise::kLeaving, {run.id}, run.began,
                    "upstream " + std::to_string(run.upstream));
        }
      }
    }
  }

  bool AreAllNodesUndisturbed(TimePoint from, TimePoint to) const {
    return this->IsUndisturbed(
        {DisturbanceKind::kNode, DisturbanceKind::kShutdown,
         DisturbanceKind::kStore},
        std::nullopt, from, to);
  }

  // Applies to planned shutdowns without other faults. The node must answer
  // every request that it has read completely, and close immediately on the
  // others.
  void CheckShutdown() {
    for (const Disturbance& end : this->observations.disturbances) {
      if (end.kind == DisturbanceKind::kShutdown) {
        this->CheckShutdown(end);
      }
    }
  }

  // A node that shuts down may dispatch for other nodes, so requests received
  // by those count as well.
  void CheckShutdown(const Disturbance& end) {
    for (const RequestRow& row : this->observations.requests) {
      const bool during = row.ended >= end.from && row.sent <= end.to;
      if (!during || !this->IsUndisturbedExceptShutdowns(row.sent, row.ended)) {
        continue;
      }
      const bool ran = !this->RunsOf(row.id).empty();
      if (ran && IsOutcomeUnknown(row)) {
        this->Add(Promise::kShutdown, {row.id}, row.ended,
                  "an upstream had it");
      } else if (end.node == row.node && this->IsClosedLate(row)) {
        this->Add(Promise::kShutdown, {row.id}, row.ended, "closed late");
      }
    }
  }

  // A pipelined request that was not forwarded may be closed at any time.
  bool IsClosedLate(const RequestRow& row) const {
    return row.outcome == RequestOutcome::kBroken && !row.is_pipelined &&
           row.ended - row.sent > this->bounds.loss_slack + this->slack;
  }

  bool IsUndisturbedExceptShutdowns(TimePoint from, TimePoint to) const {
    return this->IsUndisturbed({DisturbanceKind::kNode, DisturbanceKind::kStore,
                                DisturbanceKind::kUpstream},
                               std::nullopt, from, to);
  }

  /// @returns when the next change of the same route after change `index` was
  /// sent; TimePoint::max() if there is none.
  TimePoint NextChange(size_t index) const {
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
  void CheckConfiguration() {
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
  void CheckNoReturn() {
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

  struct MatchedAnswer {
    const RequestRow* row;
    size_t change;  ///< Oldest change consistent with the response.
  };

  void CheckNoReturn(const std::vector<const RequestRow*>& rows) {
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

  bool IsRouteChanged(const std::string& route) const {
    return std::any_of(
        this->observations.routes.begin(), this->observations.routes.end(),
        [&route](const RouteRow& change) { return change.route == route; });
  }

  /// @returns the first change from index `oldest` on that is consistent with
  /// the response in `row`.
  std::optional<size_t> FindConsistentChange(const RequestRow& row,
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

  bool IsSameProcess(size_t node, TimePoint from, TimePoint to) const {
    return this->IsUndisturbed(
        {DisturbanceKind::kNode, DisturbanceKind::kShutdown}, node, from, to);
  }

  // The requests that the budget of a window is computed from may have arrived
  // in the previous window.
  void CheckRepeats() {
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

  void CheckRepeats(size_t service,
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

  size_t CountRequests(size_t service, TimePoint from, TimePoint to) const {
    return static_cast<size_t>(std::count_if(
        this->observations.requests.begin(), this->observations.requests.end(),
        [&](const RequestRow& row) {
          return row.service == service && row.sent > from && row.sent <= to;
        }));
  }

  void CheckRecovery() {
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

  void CheckCallerGone() {
    std::vector<std::string> ids;
    for (const RequestRow& row : this->observations.requests) {
      if (row.outcome != RequestOutcome::kCallerLeft) {
        continue;
      }
      const TimePoint bound =
          row.ended + this->bounds.caller_gone + this->slack;
      for (const RunRow* run : this->RunsOf(row.id)) {
        if (run->began > bound &&
            this->IsUndisturbed({DisturbanceKind::kNode}, std::nullopt,
                                row.sent, run->began)) {
          ids.push_back(row.id);
        }
      }
    }
    if (ids.size() > kToleratedRequests) {
      this->Add(Promise::kCallerGone, ids, this->observations.ended,
                "begun after their callers had left");
    }
  }

  void CheckTimeout() {
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

  void CheckStaysUp() {
    for (const UnexpectedExit& end : this->observations.unexpected_exits) {
      this->Add(Promise::kStaysUp, {}, end.at,
                "node " + std::to_string(end.node));
    }
  }

  void CheckReadyTakes() {
    std::map<size_t, size_t> missed;  // Consecutive misses, by node.
    for (const ConnectionRow& row : this->observations.connections) {
      const bool is_answered = row.answered_after <=
                               this->bounds.new_connection_answer + this->slack;
      const bool is_relevant =
          row.at + this->bounds.new_connection_answer + this->slack <
              this->observations.ended &&
          this->IsUndisturbed(
              {DisturbanceKind::kNode, DisturbanceKind::kShutdown}, row.node,
              row.at, row.at + this->bounds.new_connection_answer);
      missed[row.node] = is_answered || !is_relevant ? 0 : missed[row.node] + 1;
      if (missed[row.node] == kMissesUntilViolation) {
        this->Add(Promise::kReadyTakes, {}, row.at,
                  "node " + std::to_string(row.node));
      }
    }
  }

  void CheckDrained() {
    for (const DrainRow& drain : this->observations.drains) {
      const TimePoint bound =
          drain.accepted + this->bounds.drained + this->slack;
      for (const ArrivalRow& row : this->observations.arrivals) {
        const bool is_relevant =
            row.data_centre == drain.data_centre && row.at > bound &&
            row.at < drain.lifted &&
            this->AreAllNodesUndisturbed(drain.accepted, row.at);
        if (is_relevant) {
          this->Add(Promise::kDrained, {row.id}, row.at,
                    "data centre " + std::to_string(row.data_centre));
        }
      }
    }
  }

  // Skips disturbed periods: a link that recovers delivers at once what was
  // sent over several seconds.
  void CheckCold() {
    for (const ColdRow& cold : this->observations.cold_periods) {
      std::vector<TimePoint> recent;
      for (const ArrivalRow& row : this->observations.arrivals) {
        if (row.upstream != cold.upstream || row.at < cold.from ||
            row.at >= cold.to) {
          continue;
        }
        recent.push_back(row.at);
        std::erase_if(recent, [&row](TimePoint at) {
          return row.at - at >= std::chrono::seconds(1);
        });
        if (recent.size() > this->bounds.cold_requests &&
            this->IsUndisturbed({DisturbanceKind::kUpstream}, std::nullopt,
                                recent.front(), row.at)) {
          this->Add(Promise::kCold, {row.id}, row.at,
                    "upstream " + std::to_string(row.upstream) + ", " +
                        std::to_string(recent.size()) + " in a second");
        }
      }
    }
  }

  // Holds regardless of faults of nodes and the store.
  void CheckKeyRevoked() {
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

  // Counts the requests that are both sent and started within a window.
  void CheckTeamQuota() {
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

  // Health checks count towards the rate limit as well.
  void CheckRateLimit() {
    std::vector<ArrivalRow> sends = this->observations.arrivals;
    sends.insert(sends.end(), this->observations.health_checks.begin(),
                 this->observations.health_checks.end());
    std::sort(sends.begin(), sends.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
    for (const LimitRow& limit : this->observations.limits) {
      this->CheckRateLimit(limit, sends);
    }
  }

  void CheckRateLimit(const LimitRow& limit,
                      const std::vector<ArrivalRow>& sends) {
    const Duration window = this->bounds.rate_limit_window;
    const double bound = this->bounds.rate_limit_slack +
                         this->bounds.rate_limit_excess *
                             limit.requests_per_second *
                             std::chrono::duration<double>(window).count();
    const TimePoint from =
        limit.from + this->bounds.rate_limit_delay + this->slack;
    std::deque<TimePoint> recent;
    for (const ArrivalRow& row : sends) {
      if (row.upstream != limit.upstream || row.at < from ||
          row.at >= limit.to) {
        continue;
      }
      recent.push_back(row.at);
      while (row.at - recent.front() >= window) {
        recent.pop_front();
      }
      if (static_cast<double>(recent.size()) > bound &&
          this->IsUndisturbed(
              {DisturbanceKind::kUpstream, DisturbanceKind::kNode},
              std::nullopt, recent.front(), row.at)) {
        this->Add(Promise::kRateLimit, {row.id}, row.at,
                  "upstream " + std::to_string(row.upstream) + ", " +
                      std::to_string(recent.size()) + ", bound " +
                      std::to_string(bound));
        return;
      }
    }
  }

  void CheckLeavingSaid() {
    for (const NoticeRow& row : this->observations.said_leaving) {
      this->CheckNotice(Promise::kLeavingSaid, row, this->bounds.drain);
    }
  }

  void CheckRest() {
    for (const NoticeRow& row : this->observations.rests) {
      this->CheckNotice(Promise::kRest, row, this->bounds.rest_delay);
    }
  }

  // Which node sent a request is not observed, so the nodes are checked
  // together.
  void CheckNotice(Promise promise, const NoticeRow& notice, Duration delay) {
    const TimePoint from = notice.from + delay + this->slack;
    const size_t bound = this->bounds.nodes * this->bounds.notice_requests;
    size_t count = 0;
    for (const ArrivalRow& row : this->observations.arrivals) {
      const bool is_late = row.upstream == notice.upstream && row.at >= from &&
                           row.at < notice.to;
      count += is_late ? 1 : 0;
      if (is_late && count > bound &&
          this->IsUndisturbed(
              {DisturbanceKind::kUpstream, DisturbanceKind::kNode,
               DisturbanceKind::kShutdown},
              std::nullopt, notice.from, row.at)) {
        this->Add(promise, {row.id}, row.at,
                  "upstream " + std::to_string(row.upstream) + ", " +
                      std::to_string(count) + ", bound " +
                      std::to_string(bound));
        return;
      }
    }
  }

  const Observations& observations;
  const Bounds& bounds;
  const Duration slack;
  std::unordered_map<std::string, std::vector<const RunRow*>> runs;
  std::unordered_map<std::string, const RequestRow*> requests;
  std::vector<Violation> found;
};

}  // namespace

std::string_view NameOf(Promise promise) {
  return kNames.at(static_cast<size_t>(promise));
}

std::vector<Violation> FindViolations(const Observations& observations,
                                      const Bounds& bounds) {
  return PromiseChecker(observations, bounds).Run();
}

}  // namespace basilsill::soak

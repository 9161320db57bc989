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
    kNames = {"own-answer",  "once",       "not-run",
              "leaving",     "shutdown",   "configuration",
              "no-return",   "repeats",    "recovery",
              "caller-gone", "timeout",    "stays-up",
              "drained",     "cold",       "rate-limit",
              "key-revoked", "team-quota", "ready-takes-connections"};

// Promises with a bound in time allow for single requests that fell between
// two moments of observation.
constexpr size_t kFewRequests = 3;
constexpr size_t kMissedInARow = 2;

constexpr unsigned kNotFound = 404;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kSuccessFirst = 200;
constexpr unsigned kSuccessEnd = 300;
// Statuses that say that the request has not run and never will.
constexpr std::array<unsigned, 4> kNotRunStatuses = {408, 421, 429, 503};

bool IsSuccess(const RequestRow& row) {
  return row.ending == Ending::kAnswer && row.status >= kSuccessFirst &&
         row.status < kSuccessEnd;
}

// The system ended it without an upstream's answer, and does not know whether
// it ran.
bool IsGivenUp(const RequestRow& row) {
  return row.ending == Ending::kBroken ||
         (row.ending == Ending::kAnswer && row.status == kBadGateway);
}

bool SaysNotRun(const RequestRow& row) {
  return row.ending == Ending::kAnswer &&
         std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(),
                   row.status) != kNotRunStatuses.end();
}

class Judgement {
 public:
  Judgement(const Observations& seen, const Bounds& bounds)
      : seen(seen), bounds(bounds), slack(bounds.tolerance + seen.lag) {
    for (const RunRow& run : seen.runs) {
      this->runs[run.id].push_back(&run);
    }
    for (const RequestRow& row : seen.requests) {
      this->requests[row.id] = &row;
    }
  }

  std::vector<Violation> Run() {
    using Check = void (Judgement::*)();
    constexpr std::array<Check, static_cast<size_t>(Promise::kCount)> checks = {
        &Judgement::CheckOwnAnswer, &Judgement::CheckOnce,
        &Judgement::CheckNotRun,    &Judgement::CheckLeaving,
        &Judgement::CheckShutdown,  &Judgement::CheckConfiguration,
        &Judgement::CheckNoReturn,  &Judgement::CheckRepeats,
        &Judgement::CheckRecovery,  &Judgement::CheckCallerGone,
        &Judgement::CheckTimeout,   &Judgement::CheckStaysUp,
        &Judgement::CheckDrained,   &Judgement::CheckCold,
        &Judgement::CheckRateLimit, &Judgement::CheckKeyRevoked,
        &Judgement::CheckTeamQuota, &Judgement::CheckReadyTakes};
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
    const auto place = this->runs.find(id);
    return place == this->runs.end() ? none : place->second;
  }

  /// @returns true if nothing of `kinds` touched `node` from `from` to `to`,
  /// nor the stability window before.
  bool IsCalm(std::initializer_list<DisturbanceKind> kinds,
              std::optional<size_t> node,
              TimePoint from,
              TimePoint to) const {
    const TimePoint since = from - this->bounds.stability - this->slack;
    return std::none_of(
        this->seen.disturbances.begin(), this->seen.disturbances.end(),
        [&](const Disturbance& row) {
          const bool counts =
              std::find(kinds.begin(), kinds.end(), row.kind) != kinds.end();
          const bool touches = !node || !row.node || *row.node == *node;
          return counts && touches && row.to >= since && row.from <= to;
        });
  }

  // A node in touch, with the store as it should be.
  bool IsInTouch(size_t node, TimePoint from, TimePoint to) const {
    return this->IsCalm({DisturbanceKind::kNode, DisturbanceKind::kShutdown},
                        node, from, to) &&
           this->IsCalm({DisturbanceKind::kStore}, std::nullopt, from, to);
  }

  void CheckOwnAnswer() {
    for (const RequestRow& row : this->seen.requests) {
      if (IsSuccess(row) && !row.is_own) {
        this->Add(Promise::kOwnAnswer, {row.id}, row.ended,
                  "status " + std::to_string(row.status));
      }
    }
  }

  void CheckOnce() {
    for (const RequestRow& row : this->seen.requests) {
      const size_t count = this->RunsOf(row.id).size();
      if (row.kind == RequestKind::kUnsafe && count > 1) {
        this->Add(Promise::kOnce, {row.id}, row.ended,
                  "ran " + std::to_string(count) + " times");
      }
    }
  }

  void CheckNotRun() {
    for (const RequestRow& row : this->seen.requests) {
      if (row.kind == RequestKind::kUnsafe && SaysNotRun(row) &&
          !this->RunsOf(row.id).empty()) {
        this->Add(Promise::kNotRun, {row.id}, row.ended,
                  "status " + std::to_string(row.status));
      }
    }
  }

  void CheckLeaving() {
    for (const LeavingRow& row : this->seen.leaving) {
      const TimePoint bound = row.accepted + this->bounds.drain + this->slack;
      for (const RunRow& run : this->seen.runs) {
        const auto request = this->requests.find(run.id);
        // The node that the request came to need not be the one that sent it
        // on, so all must be in touch.
        const bool counts = run.upstream == row.upstream && run.began > bound &&
                            request != this->requests.end() &&
                            this->AreAllInTouch(row.accepted, run.began);
        if (counts) {
          this->Add(Promise::kLeaving, {run.id}, run.began,
                    "upstream " + std::to_string(run.upstream));
        }
      }
    }
  }

  bool AreAllInTouch(TimePoint from, TimePoint to) const {
    return this->IsCalm({DisturbanceKind::kNode, DisturbanceKind::kShutdown,
                         DisturbanceKind::kStore},
                        std::nullopt, from, to);
  }

  // A node ends on request, with nothing else amiss. What it has read whole it
  // answers whole; what it has not, it must close on at once.
  void CheckShutdown() {
    for (const Disturbance& end : this->seen.disturbances) {
      if (end.kind == DisturbanceKind::kShutdown) {
        this->CheckShutdown(end);
      }
    }
  }

  // A node that ends may work for others, so their requests count as well.
  void CheckShutdown(const Disturbance& end) {
    for (const RequestRow& row : this->seen.requests) {
      const bool during = row.ended >= end.from && row.sent <= end.to;
      if (!during || !this->IsCalmButForEnds(row.sent, row.ended)) {
        continue;
      }
      const bool ran = !this->RunsOf(row.id).empty();
      if (ran && IsGivenUp(row)) {
        this->Add(Promise::kShutdown, {row.id}, row.ended,
                  "an upstream had it");
      } else if (end.node == row.node && this->IsClosedLate(row)) {
        this->Add(Promise::kShutdown, {row.id}, row.ended, "closed late");
      }
    }
  }

  // What was sent behind another and not passed on may be closed at any time.
  bool IsClosedLate(const RequestRow& row) const {
    return row.ending == Ending::kBroken && !row.behind_another &&
           row.ended - row.sent > this->bounds.loss_slack + this->slack;
  }

  bool IsCalmButForEnds(TimePoint from, TimePoint to) const {
    return this->IsCalm({DisturbanceKind::kNode, DisturbanceKind::kStore,
                         DisturbanceKind::kUpstream},
                        std::nullopt, from, to);
  }

  /// @returns the next change of `route` after change `place`, or the end.
  TimePoint NextChange(size_t place) const {
    for (size_t i = place + 1; i < this->seen.routes.size(); ++i) {
      if (this->seen.routes[i].route == this->seen.routes[place].route) {
        return this->seen.routes[i].sent;
      }
    }
    return TimePoint::max();
  }

  // Until the next change only this one is in force, a bound after it was
  // accepted.
  void CheckConfiguration() {
    for (size_t i = 0; i < this->seen.routes.size(); ++i) {
      const RouteRow& change = this->seen.routes[i];
      const TimePoint from = change.accepted + this->bounds.apply + this->slack;
      const TimePoint until = this->NextChange(i);
      for (const RequestRow& row : this->seen.requests) {
        const bool counts = row.route == change.route && row.sent > from &&
                            row.ending == Ending::kAnswer && row.ended < until;
        const bool found = row.status != kNotFound;
        if (counts && found != change.is_added &&
            this->IsInTouch(row.node, change.accepted, row.ended)) {
          this->Add(Promise::kConfiguration, {row.id}, row.ended,
                    "status " + std::to_string(row.status) + " from node " +
                        std::to_string(row.node));
        }
      }
    }
  }

  // Each answer on a route could be by any configuration sent before it that
  // has the route, or has it not. Going through a node's answers in order, each
  // is taken as the oldest that the ones before it allow; where there is none,
  // the node has gone back to an older one. What ends after another is sent
  // says nothing of their order.
  void CheckNoReturn() {
    std::map<std::pair<size_t, std::string>, std::vector<const RequestRow*>>
        answers;
    for (const RequestRow& row : this->seen.requests) {
      const bool tells = row.ending == Ending::kAnswer &&
                         (IsSuccess(row) || row.status == kNotFound);
      if (tells && this->HasChanges(row.route)) {
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

  struct Shown {
    const RequestRow* row;
    size_t change;  ///< The oldest that the answer can be by.
  };

  void CheckNoReturn(const std::vector<const RequestRow*>& rows) {
    std::vector<Shown> shown;
    for (const RequestRow* row : rows) {
      size_t oldest = 0;
      for (const Shown& before : shown) {
        const bool counts =
            before.row->ended + this->slack < row->sent &&
            this->IsSameProcess(row->node, before.row->ended, row->ended);
        oldest = counts ? std::max(oldest, before.change) : oldest;
      }
      const std::optional<size_t> change = this->FindChange(*row, oldest);
      if (change) {
        shown.push_back({row, *change});
      } else {
        this->Add(Promise::kNoReturn, {row->id}, row->ended,
                  "node " + std::to_string(row->node));
      }
    }
  }

  bool HasChanges(const std::string& route) const {
    return std::any_of(
        this->seen.routes.begin(), this->seen.routes.end(),
        [&route](const RouteRow& change) { return change.route == route; });
  }

  /// @returns the oldest change, from `oldest` on, that `row` can be by.
  std::optional<size_t> FindChange(const RequestRow& row, size_t oldest) const {
    for (size_t i = oldest; i < this->seen.routes.size(); ++i) {
      const RouteRow& change = this->seen.routes[i];
      if (change.route == row.route && change.sent <= row.ended &&
          change.is_added == (row.status != kNotFound)) {
        return i;
      }
    }
    return std::nullopt;
  }

  bool IsSameProcess(size_t node, TimePoint from, TimePoint to) const {
    return this->IsCalm({DisturbanceKind::kNode, DisturbanceKind::kShutdown},
                        node, from, to);
  }

  // The requests that a window's repeats are measured by may have come in the
  // window before.
  void CheckRepeats() {
    std::map<size_t, std::vector<TimePoint>> repeats;  // By service.
    std::set<std::string> first;
    for (const RunRow& run : this->seen.runs) {
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
    const size_t asked =
        std::max(this->CountRequests(service, end - window, end),
                 this->CountRequests(service, end - 2 * window, end - window));
    const double allowed =
        this->bounds.repeat_ratio * static_cast<double>(asked) +
        this->bounds.repeat_slack;
    if (spent > allowed) {
      this->Add(Promise::kRepeats, {}, end,
                std::to_string(static_cast<size_t>(spent)) +
                    " repeats in a window, " + std::to_string(asked) +
                    " requests");
    }
  }

  size_t CountRequests(size_t service, TimePoint from, TimePoint to) const {
    return static_cast<size_t>(std::count_if(
        this->seen.requests.begin(), this->seen.requests.end(),
        [&](const RequestRow& row) {
          return row.service == service && row.sent > from && row.sent <= to;
        }));
  }

  void CheckRecovery() {
    if (!this->seen.all_back) {
      return;
    }
    const TimePoint from = *this->seen.all_back + this->bounds.recover;
    size_t asked = 0;
    size_t served = 0;
    for (const RequestRow& row : this->seen.requests) {
      const bool counts = row.sent > from && row.ending != Ending::kCaller &&
                          row.ending != Ending::kOpen &&
                          row.status != kNotFound;
      asked += counts ? 1 : 0;
      served += counts && IsSuccess(row) ? 1 : 0;
    }
    if (served * 4 < asked) {
      this->Add(
          Promise::kRecovery, {}, from,
          std::to_string(served) + " of " + std::to_string(asked) + " served");
    }
  }

  void CheckCallerGone() {
    std::vector<std::string> ids;
    for (const RequestRow& row : this->seen.requests) {
      if (row.ending != Ending::kCaller) {
        continue;
      }
      const TimePoint bound =
          row.ended + this->bounds.caller_gone + this->slack;
      for (const RunRow* run : this->RunsOf(row.id)) {
        if (run->began > bound &&
            this->IsCalm({DisturbanceKind::kNode}, std::nullopt, row.sent,
                         run->began)) {
          ids.push_back(row.id);
        }
      }
    }
    if (ids.size() > kFewRequests) {
      this->Add(Promise::kCallerGone, ids, this->seen.ended,
                "begun after their callers had left");
    }
  }

  void CheckTimeout() {
    size_t open = 0;
    std::vector<std::string> late;
    for (const RequestRow& row : this->seen.requests) {
      const TimePoint due = row.sent + this->bounds.timeout;
      const bool counts =
          (row.ending == Ending::kAnswer || row.ending == Ending::kTimeout) &&
          row.ended > due && !row.behind_another &&
          this->IsInTouch(row.node, row.sent, row.ended);
      open += counts ? 1 : 0;
      if (counts &&
          row.ended > due + this->bounds.timeout_slack + this->slack) {
        late.push_back(row.id);
      }
    }
    if (late.size() > kFewRequests && late.size() * 2 > open) {
      this->Add(Promise::kTimeout, late, this->seen.ended,
                "of " + std::to_string(open) + " that reached it");
    }
  }

  void CheckStaysUp() {
    for (const UnaskedEnd& end : this->seen.unasked_ends) {
      this->Add(Promise::kStaysUp, {}, end.at,
                "node " + std::to_string(end.node));
    }
  }

  void CheckReadyTakes() {
    std::map<size_t, size_t> missed;  // In a row, by node.
    for (const ConnectionRow& row : this->seen.connections) {
      const bool is_taken = row.taken_after <= this->bounds.taken + this->slack;
      const bool counts =
          row.at + this->bounds.taken + this->slack < this->seen.ended &&
          this->IsCalm({DisturbanceKind::kNode, DisturbanceKind::kShutdown},
                       row.node, row.at, row.at + this->bounds.taken);
      missed[row.node] = is_taken || !counts ? 0 : missed[row.node] + 1;
      if (missed[row.node] == kMissedInARow) {
        this->Add(Promise::kReadyTakes, {}, row.at,
                  "node " + std::to_string(row.node));
      }
    }
  }

  void CheckDrained() {
    for (const DrainRow& drain : this->seen.drains) {
      const TimePoint bound =
          drain.accepted + this->bounds.drained + this->slack;
      for (const ArrivalRow& row : this->seen.arrivals) {
        const bool counts = row.data_centre == drain.data_centre &&
                            row.at > bound && row.at < drain.taken_back &&
                            this->AreAllInTouch(drain.accepted, row.at);
        if (counts) {
          this->Add(Promise::kDrained, {row.id}, row.at,
                    "data centre " + std::to_string(row.data_centre));
        }
      }
    }
  }

  // Connections that were held up hand over at once what was sent in seconds.
  void CheckCold() {
    for (const ColdRow& cold : this->seen.colds) {
      std::vector<TimePoint> recent;
      for (const ArrivalRow& row : this->seen.arrivals) {
        if (row.upstream != cold.upstream || row.at < cold.from ||
            row.at >= cold.to) {
          continue;
        }
        recent.push_back(row.at);
        std::erase_if(recent, [&row](TimePoint at) {
          return row.at - at >= std::chrono::seconds(1);
        });
        if (recent.size() > this->bounds.cold_requests &&
            this->IsCalm({DisturbanceKind::kUpstream}, std::nullopt,
                         recent.front(), row.at)) {
          this->Add(Promise::kCold, {row.id}, row.at,
                    "upstream " + std::to_string(row.upstream) + ", " +
                        std::to_string(recent.size()) + " in a second");
        }
      }
    }
  }

  // Questions for its health count as well.
  // Whatever was done to nodes and the store meanwhile.
  void CheckKeyRevoked() {
    for (const KeyRow& key : this->seen.keys) {
      const TimePoint from = key.accepted + this->bounds.revoke + this->slack;
      for (const RunRow& run : this->seen.runs) {
        const auto found = this->requests.find(run.id);
        if (found == this->requests.end() || found->second->team != key.team) {
          continue;
        }
        // What waits in a paused node until the key is given back may run then.
        if (found->second->sent >= from && run.began < key.given_back) {
          this->Add(Promise::kKeyRevoked, {run.id}, run.began,
                    "sent with a key that was taken away");
        }
      }
    }
  }

  // Counted is what is both sent and begun in a window.
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

  void CheckRateLimit() {
    std::vector<ArrivalRow> sends = this->seen.arrivals;
    sends.insert(sends.end(), this->seen.questions.begin(),
                 this->seen.questions.end());
    std::sort(sends.begin(), sends.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
    for (const LimitRow& limit : this->seen.limits) {
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
        limit.from + this->bounds.rate_limit_heard + this->slack;
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
          this->IsCalm({DisturbanceKind::kUpstream, DisturbanceKind::kNode},
                       std::nullopt, recent.front(), row.at)) {
        this->Add(Promise::kRateLimit, {row.id}, row.at,
                  "upstream " + std::to_string(row.upstream) + ", " +
                      std::to_string(recent.size()) + ", bound " +
                      std::to_string(bound));
        return;
      }
    }
  }

  const Observations& seen;
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

std::vector<Violation> Judge(const Observations& seen, const Bounds& bounds) {
  return Judgement(seen, bounds).Run();
}

}  // namespace basilsill::soak

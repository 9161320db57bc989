#include "promise_checker.h"

#include <algorithm>
#include <deque>

namespace basilsill::soak {

void PromiseChecker::CheckLeaving() {
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

// A request can be sent before the drain and arrive late: a path to upstreams
// that was cut delivers what it held once the cut has ended.
void PromiseChecker::CheckDrained() {
  for (const DrainRow& drain : this->observations.drains) {
    const TimePoint bound = drain.accepted + this->bounds.drained + this->slack;
    for (const ArrivalRow& row : this->observations.arrivals) {
      const bool is_relevant =
          row.data_centre == drain.data_centre && row.at > bound &&
          row.at < drain.lifted &&
          this->AreAllNodesUndisturbed(drain.accepted, row.at) &&
          this->IsUndisturbed({DisturbanceKind::kUpstream}, std::nullopt,
                              row.at, row.at);
      if (is_relevant) {
        this->Add(Promise::kDrained, {row.id}, row.at,
                  "data centre " + std::to_string(row.data_centre));
      }
    }
  }
}

// Skips disturbed periods: a link that recovers delivers at once what was
// sent over several seconds.
void PromiseChecker::CheckCold() {
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

// Health checks count towards the rate limit as well.
void PromiseChecker::CheckRateLimit() {
  std::vector<ArrivalRow> sends = this->observations.arrivals;
  sends.insert(sends.end(), this->observations.health_checks.begin(),
               this->observations.health_checks.end());
  std::sort(sends.begin(), sends.end(),
            [](const auto& a, const auto& b) { return a.at < b.at; });
  for (const LimitRow& limit : this->observations.limits) {
    this->CheckRateLimit(limit, sends);
  }
}

void PromiseChecker::CheckRateLimit(const LimitRow& limit,
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
    if (row.upstream != limit.upstream || row.at < from || row.at >= limit.to) {
      continue;
    }
    recent.push_back(row.at);
    while (row.at - recent.front() >= window) {
      recent.pop_front();
    }
    if (static_cast<double>(recent.size()) > bound &&
        this->IsUndisturbed(
            {DisturbanceKind::kUpstream, DisturbanceKind::kNode}, std::nullopt,
            recent.front(), row.at)) {
      this->Add(Promise::kRateLimit, {row.id}, row.at,
                "upstream " + std::to_string(row.upstream) + ", " +
                    std::to_string(recent.size()) + ", bound " +
                    std::to_string(bound));
      return;
    }
  }
}

void PromiseChecker::CheckLeavingSaid() {
  for (const NoticeRow& row : this->observations.said_leaving) {
    this->CheckNotice(Promise::kLeavingSaid, row, this->bounds.drain);
  }
}

void PromiseChecker::CheckRest() {
  for (const NoticeRow& row : this->observations.rests) {
    this->CheckNotice(Promise::kRest, row, this->bounds.rest_delay);
  }
}

// Which node sent a request is not observed, so the nodes are checked
// together.
void PromiseChecker::CheckNotice(Promise promise,
                                 const NoticeRow& notice,
                                 Duration delay) {
  const TimePoint from = notice.from + delay + this->slack;
  const size_t bound = this->bounds.nodes * this->bounds.notice_requests;
  size_t count = 0;
  for (const ArrivalRow& row : this->observations.arrivals) {
    const bool is_late =
        row.upstream == notice.upstream && row.at >= from && row.at < notice.to;
    count += is_late ? 1 : 0;
    if (is_late && count > bound &&
        this->IsUndisturbed({DisturbanceKind::kUpstream, DisturbanceKind::kNode,
                             DisturbanceKind::kShutdown},
                            std::nullopt, notice.from, row.at)) {
      this->Add(promise, {row.id}, row.at,
                "upstream " + std::to_string(row.upstream) + ", " +
                    std::to_string(count) + ", bound " + std::to_string(bound));
      return;
    }
  }
}

}  // namespace basilsill::soak

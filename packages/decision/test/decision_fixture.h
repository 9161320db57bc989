#ifndef BASILSILL_DECISION_FIXTURE_H_
#define BASILSILL_DECISION_FIXTURE_H_

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "basilsill/decision.h"

/// Fixtures for the tests of dispatcher and entry router: a routing view of a
/// small installation, and a dispatcher in virtual time.

namespace basilsill {

/// A view with two data centres of two VMs each, and one service "banklevel" of
/// one team. `view.self` is the first VM.
class ViewFixture {
 public:
  ViewFixture() {
    this->view.data_centres = {{{0, 0}, "lyulin"}, {{1, 0}, "druzhba"}};
    this->AddTeam("rodopa");
    for (uint32_t i = 0; i < 4; ++i) {
      VmRow vm;
      vm.handle = {i, 0};
      vm.name = "vm-" + std::to_string(i);
      vm.data_centre = {i / 2, 0};
      this->view.vms.push_back(vm);
    }
    this->view.self = {0, 0};
    this->view.own_data_centre = {0, 0};
    this->service.handle = {0, 0};
    this->service.name = "banklevel";
    this->service.team = {0, 0};
  }

  TeamHandle AddTeam(const std::string& name, TeamLimits limits = {}) {
    const TeamHandle handle{static_cast<uint32_t>(this->view.teams.size()), 0};
    this->view.teams.push_back({handle, name, limits});
    return handle;
  }

  UpstreamHandle AddUpstream(uint32_t data_centre, uint16_t slots = 2) {
    UpstreamRow row;
    row.handle = {static_cast<uint32_t>(this->service.upstreams.size()), 0};
    row.endpoint = {"10.0.0.1", static_cast<uint16_t>(8000 + row.handle.index)};
    row.data_centre = {data_centre, 0};
    row.slots = slots;
    this->service.upstreams.push_back(row);
    return row.handle;
  }

  /// Replaces `upstream` by a new incarnation with the same id.
  /// @returns its new handle.
  UpstreamHandle RestartUpstream(UpstreamHandle upstream) {
    this->AddIncarnations();
    const size_t place = upstream.index;
    UpstreamRow& row = this->service.upstreams.at(place);
    row.handle.generation += 1;
    this->service.incarnations.at(place).started += std::chrono::seconds(1);
    return row.handle;
  }

  /// Gives each upstream an id and a start time.
  void AddIncarnations() {
    for (size_t i = this->service.incarnations.size();
         i < this->service.upstreams.size(); ++i) {
      this->service.incarnations.push_back(
          {"i-" + std::to_string(i), std::chrono::seconds(1)});
    }
  }

  RoutingViewPtr Build() {
    ServiceRow row = this->service;
    AssignShards(this->view, row);
    auto built = std::make_shared<RoutingView>(this->view);
    built->version = ++this->view.version;
    built->services = {std::make_shared<const ServiceRow>(std::move(row))};
    return built;
  }

  RoutingView view;
  ServiceRow service;
};

/// The dispatcher of the first shard. Records its actions: running attempts,
/// refusals, cancellations and load queries.
class DispatchHarness {
 public:
  static constexpr Duration kTick = std::chrono::milliseconds(1);
  static constexpr Duration kServiceTime = std::chrono::milliseconds(5);

  explicit DispatchHarness(const DispatcherOptions& options = {})
      : dispatcher(Dispatcher::Create(options)) {}

  void Apply() {
    const RoutingViewPtr built = this->fixture.Build();
    this->shard = built->services[0]->shards.at(0).key;
    this->dispatcher->ApplyView(this->now, built);
    this->Collect();
  }

  DispatchRequest Request() const {
    DispatchRequest request;
    request.shard = this->shard;
    request.team = {0, 0};
    request.deadline = this->now + std::chrono::seconds(1);
    request.idempotent = true;
    return request;
  }

  /// @returns the cookie of the request. Cookies count up from 1.
  uint64_t Offer(DispatchRequest request) {
    request.cookie = ++this->cookies;
    this->handles.push_back(this->dispatcher->Offer(this->now, request));
    this->Collect();
    return request.cookie;
  }
  uint64_t Offer() { return this->Offer(this->Request()); }

  DispatchHandle HandleOf(uint64_t cookie) const {
    return this->handles.at(cookie - 1);
  }

  /// Ends the oldest attempt of request `cookie`.
  bool End(uint64_t cookie, AttemptReport report) {
    for (size_t i = 0; i < this->running.size(); ++i) {
      if (this->running[i].cookie == cookie) {
        return this->EndAt(i, report);
      }
    }
    return false;
  }
  bool End(uint64_t cookie, AttemptEnd end, uint16_t status = 200) {
    return this->End(cookie, Report(end, status));
  }

  /// Ends the oldest attempt at `upstream`.
  bool EndOn(UpstreamHandle upstream, AttemptReport report) {
    for (size_t i = 0; i < this->running.size(); ++i) {
      if (this->running[i].upstream == upstream) {
        return this->EndAt(i, report);
      }
    }
    return false;
  }

  bool EndAt(size_t place, AttemptReport report) {
    const AttemptHandle attempt = this->running.at(place).attempt;
    this->dispatcher->OnNotice(this->now, this->fixture.service.handle,
                               this->running.at(place).upstream, report.notice);
    std::erase_if(this->running, [attempt](const DispatchAction& action) {
      return action.attempt == attempt;
    });
    const bool request_continues =
        this->dispatcher->OnAttemptEnd(this->now, attempt, report);
    this->Collect();
    return request_continues;
  }

  void Advance(Duration duration) {
    for (const TimePoint end = this->now + duration; this->now < end;) {
      this->now += kTick;
      this->dispatcher->Tick(this->now);
      this->Collect();
    }
  }

  /// Answers the load query to `upstream`; it reports `slowness`.
  void AnswerLoadQuery(UpstreamHandle upstream, double slowness) {
    std::erase(this->queried, upstream);
    LoadQueryReport report;
    report.answered = true;
    report.load.known = true;
    report.load.reports_slowness = true;
    report.load.slots = 2;
    report.load.slowness = slowness;
    this->dispatcher->OnLoadQueryEnd(this->now, upstream, report);
    this->Collect();
  }

  /// Runs `count` requests one after the other, so that service times are
  /// known.
  void WarmUp(size_t count = 40) {
    for (size_t i = 0; i < count; ++i) {
      const uint64_t cookie = this->Offer();
      this->Advance(kServiceTime);
      this->End(cookie, AttemptEnd::kAnswered);
    }
  }

  /// @returns the number of attempts that run at `upstream`.
  size_t RunningOn(UpstreamHandle upstream) const {
    size_t count = 0;
    for (const DispatchAction& action : this->running) {
      count += action.upstream == upstream ? 1 : 0;
    }
    return count;
  }

  /// @returns the start action of the latest running attempt of `cookie`; one
  /// with an invalid attempt if none runs.
  DispatchAction RunOf(uint64_t cookie) const {
    for (size_t i = this->running.size(); i > 0; --i) {
      if (this->running[i - 1].cookie == cookie) {
        return this->running[i - 1];
      }
    }
    return {};
  }

  /// @returns the refusal of `cookie`, kNone if it was not refused.
  Refusal RefusalFor(uint64_t cookie) const {
    for (const DispatchAction& action : this->refused) {
      if (action.cookie == cookie) {
        return action.refusal;
      }
    }
    return Refusal::kNone;
  }

  uint64_t Count(Retry reason) const {
    return this->dispatcher->counters().retries.at(static_cast<size_t>(reason));
  }

  size_t Queued() const {
    return this->dispatcher->Summarize(this->now, this->shard).queued;
  }

  static AttemptReport Report(AttemptEnd end, uint16_t status = 200) {
    AttemptReport report;
    report.end = end;
    report.status = status;
    return report;
  }

  void Collect() {
    for (const DispatchAction& action : this->dispatcher->actions()) {
      if (action.kind == DispatchActionKind::kStart) {
        this->running.push_back(action);
      } else if (action.kind == DispatchActionKind::kRefuse) {
        this->refused.push_back(action);
      } else if (action.kind == DispatchActionKind::kQueryLoad) {
        this->queried.push_back(action.upstream);
      } else {
        this->cancelled.push_back(action);
        std::erase_if(this->running, [&action](const DispatchAction& run) {
          return run.attempt == action.attempt;
        });
      }
    }
    for (const UpstreamEvent& event : this->dispatcher->events()) {
      this->events.push_back(event);
    }
    this->dispatcher->ClearActions();
  }

  ViewFixture fixture;
  std::unique_ptr<Dispatcher> dispatcher;
  TimePoint now{std::chrono::seconds(1)};
  ShardKey shard = 0;
  uint64_t cookies = 0;
  std::vector<DispatchHandle> handles;
  std::vector<DispatchAction> running;
  std::vector<DispatchAction> refused;
  std::vector<DispatchAction> cancelled;
  /// Upstreams with an unanswered load query.
  std::vector<UpstreamHandle> queried;
  std::vector<UpstreamEvent> events;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_FIXTURE_H_

#include "reach_host.h"

#include <chrono>
#include <utility>

#include <boost/asio/co_spawn.hpp>

#include "basilsill/node/log.h"
#include "basilsill/node/task_end.h"
#include "found_upstream.h"

namespace basilsill {

ReachHost::ReachHost(std::unique_ptr<UpstreamReach> reach,
                     UpstreamPool& pool,
                     std::function<void(const ReachEvent&)> on_event)
    : reach(std::move(reach)), pool(pool), on_event(std::move(on_event)) {
  pool.SetOnConnect([this](const AttemptTarget& target, bool connected) {
    this->reach->OnConnect(MonotonicClock::now(), target.data_centre,
                           target.upstream, connected);
    this->Pump();
  });
}

void ReachHost::ApplyView(TimePoint now, const RoutingViewPtr& new_view) {
  this->view = new_view;
  this->reach->ApplyView(now, new_view);
}

void ReachHost::SetDoubts(TimePoint now, const PathDoubts& doubts) {
  if (this->view) {
    this->reach->SetDoubts(now, doubts);
    this->Pump();
  }
}

void ReachHost::Tick(TimePoint now) {
  this->reach->Tick(now);
  this->Pump();
}

void ReachHost::Pump() {
  for (const ReachEvent& event : this->reach->TakeEvents()) {
    this->Report(event);
    this->on_event(event);
  }
  for (const UpstreamHandle upstream : this->reach->TakeProbes()) {
    const FoundUpstream found = FindInAny(*this->view, upstream);
    if (found.row != nullptr) {
      boost::asio::co_spawn(this->pool.executor(), this->Probe(found.target()),
                            DetachedTask{"probe-upstream"});
    }
  }
}

void ReachHost::Report(const ReachEvent& event) const {
  if (event.kind == ReachEventKind::kConfirmed) {
    return;
  }
  const std::string& data_centre =
      this->view->data_centres.at(event.data_centre.index).name;
  if (event.kind == ReachEventKind::kUnreachable) {
    Log(Event::kUpstreamsUnreachable,
        {{"data_centre", data_centre}, {"failed", event.failed}});
    return;
  }
  const auto lasted =
      std::chrono::duration_cast<std::chrono::milliseconds>(event.lasted);
  Log(Event::kUpstreamsReachable,
      {{"data_centre", data_centre}, {"lasted_ms", lasted.count()}});
}

// The pool reports how it ended. The connection is kept for a request.
Task<void> ReachHost::Probe(AttemptTarget target) {
  UpstreamConnectionPtr connection = co_await this->pool.Open(target);
  if (connection) {
    this->pool.Release(MonotonicClock::now(), std::move(connection));
  }
}

}  // namespace basilsill

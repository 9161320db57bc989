#include "load_worker.h"

#include <algorithm>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>

#include "load_resend.h"

namespace basilsill::ctl {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Duration kSweepInterval = std::chrono::milliseconds(10);
constexpr size_t kMaxKeys = size_t{1} << 20U;

std::vector<LoadSide> SidesOf(const LoadOptions& options) {
  std::vector<LoadSide> sides;
  if (!options.targets.empty()) {
    sides.push_back(LoadSide::kThrough);
  }
  if (!options.direct.empty()) {
    sides.push_back(LoadSide::kDirect);
  }
  return sides;
}

bool IsRepeatable(const LoadKind& kind) {
  return kind.once || kind.method == "GET" || kind.method == "HEAD";
}

WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

}  // namespace

LoadWorker::LoadWorker(const LoadOptions& share, size_t index)
    : options(share), schedule(this->ScheduleOptions(index)) {
  for (const LoadSide side : SidesOf(this->options)) {
    LoadSideReport report;
    report.side = side;
    for (const LoadKind& kind : this->options.mix) {
      report.kinds.push_back({kind.name, {}, {}, {}});
    }
    this->reports.push_back(std::move(report));
  }
  this->AddPools(LoadSide::kThrough, this->options.targets);
  this->AddPools(LoadSide::kDirect, this->options.direct);
}

LoadWorker::~LoadWorker() = default;

LoadScheduleOptions LoadWorker::ScheduleOptions(size_t index) const {
  LoadScheduleOptions result;
  result.sides = SidesOf(this->options);
  for (const LoadKind& kind : this->options.mix) {
    result.weights.push_back(kind.weight);
    result.once.push_back(kind.once);
  }
  result.rate = this->options.rate * static_cast<double>(result.sides.size());
  result.seed = this->options.seed;
  result.worker = index;
  return result;
}

void LoadWorker::AddPools(LoadSide side,
                          const std::vector<LoadEndpoint>& endpoints) {
  for (size_t i = 0; i < endpoints.size(); ++i) {
    const size_t count =
        std::max<size_t>(1, (this->options.connections + i) / endpoints.size());
    const tcp::endpoint address(asio::ip::make_address(endpoints[i].address),
                                endpoints[i].port);
    Pool pool;
    pool.side = side;
    for (size_t j = 0; j < count; ++j) {
      auto connection = std::make_unique<LoadConnection>(
          this->io, address,
          [this](LoadConnection& done, const LoadAttemptResult& result) {
            this->OnDone(done, result);
          });
      connection->pool = this->pools.size();
      pool.idle.push_back(connection.get());
      this->connections.push_back(std::move(connection));
    }
    this->pools.push_back(std::move(pool));
  }
}

LoadSideReport& LoadWorker::ReportOf(LoadSide side) {
  return this->reports.front().side == side ? this->reports.front()
                                            : this->reports.back();
}

void LoadWorker::OpenConnections() {
  for (const auto& connection : this->connections) {
    connection->Open([](bool) {});
  }
  this->io.run();
  this->io.restart();
}

void LoadWorker::Run() {
  this->started = MonotonicClock::now();
  this->ends = this->started + this->options.duration;
  this->next_arrival = this->started;
  this->next_sweep = this->started;
  if (this->options.closed_loop) {
    this->StartClosedLoop();
  } else {
    this->next_arrival += this->schedule.NextGap();
  }
  if (this->options.spin) {
    this->RunSpinning();
  } else {
    this->RunSleeping();
  }
  this->run_time = MonotonicClock::now() - this->started;
}

void LoadWorker::RunSpinning() {
  // Without the guard, the context would stop as soon as it has no work, and
  // poll() would do nothing from then on.
  const auto guard = asio::make_work_guard(this->io);
  while (!this->IsFinished()) {
    this->io.poll();
    this->RunDueWork();
  }
}

void LoadWorker::RunSleeping() {
  this->ArmTimer();
  this->io.run();
}

void LoadWorker::ArmTimer() {
  this->timer.expires_at(
      asio::steady_timer::time_point(this->NextDueTime().time_since_epoch()));
  this->timer.async_wait([this](boost::system::error_code) {
    this->RunDueWork();
    if (!this->IsFinished()) {
      this->ArmTimer();
    }
  });
}

void LoadWorker::RunDueWork() {
  const TimePoint now = MonotonicClock::now();
  this->StartArrivals(now);
  this->StartResends(now);
  if (now >= this->next_sweep) {
    this->TimeOutOverdue(now);
    this->next_sweep = now + kSweepInterval;
  }
}

TimePoint LoadWorker::NextDueTime() const {
  TimePoint due = this->next_sweep;
  if (!this->ArrivalsOver()) {
    due = std::min(due, this->next_arrival);
  }
  if (!this->resends.empty()) {
    due = std::min(due, this->resends.begin()->first);
  }
  return due;
}

bool LoadWorker::ArrivalsOver() const {
  const uint64_t bound = this->options.requests * this->reports.size();
  const bool all_started = bound > 0 && this->calls_started >= bound;
  const TimePoint next =
      this->options.closed_loop ? MonotonicClock::now() : this->next_arrival;
  return all_started || next >= this->ends;
}

bool LoadWorker::IsFinished() const {
  return this->calls_open == 0 && this->ArrivalsOver();
}

void LoadWorker::StartArrivals(TimePoint now) {
  while (!this->options.closed_loop && this->next_arrival <= now &&
         !this->ArrivalsOver()) {
    if (this->next_arrival >= this->started + this->options.warmup) {
      this->lag.Add(MonotonicClock::now() - this->next_arrival);
    }
    this->Dispatch(this->NextCall(this->next_arrival));
    this->next_arrival += this->schedule.NextGap();
  }
}

LoadCall LoadWorker::NextCall(TimePoint scheduled_start) {
  ++this->calls_started;
  ++this->calls_open;
  return this->schedule.Next(scheduled_start, WallNow());
}

void LoadWorker::StartResends(TimePoint now) {
  while (!this->resends.empty() && this->resends.begin()->first <= now) {
    LoadCall call = std::move(this->resends.begin()->second);
    this->resends.erase(this->resends.begin());
    this->Dispatch(std::move(call));
  }
}

// Ends requests that have exceeded their time-out, so that the run always ends.
void LoadWorker::TimeOutOverdue(TimePoint now) {
  for (const auto& connection : this->connections) {
    if (connection->timeout_at <= now) {
      connection->TimeOut();
    }
  }
  for (auto& queue : this->waiting) {
    while (!queue.empty() &&
           queue.front().scheduled_start + this->options.timeout <= now) {
      LoadCall call = std::move(queue.front());
      queue.pop_front();
      call.may_have_run = true;
      this->CountCall(call, LoadAttemptResult{}, now);
    }
  }
}

void LoadWorker::Dispatch(LoadCall call) {
  LoadConnection* connection = this->TakeIdle(call.side);
  if (connection == nullptr) {
    this->waiting[static_cast<size_t>(call.side)].push_back(std::move(call));
    return;
  }
  this->SendOn(*connection, std::move(call));
}

// Chooses between the endpoints of a side by round robin.
LoadConnection* LoadWorker::TakeIdle(LoadSide side) {
  for (size_t i = 0; i < this->pools.size(); ++i) {
    Pool& pool = this->pools[this->next_pool++ % this->pools.size()];
    if (pool.side == side && !pool.idle.empty()) {
      LoadConnection* connection = pool.idle.back();
      pool.idle.pop_back();
      return connection;
    }
  }
  return nullptr;
}

void LoadWorker::SendOn(LoadConnection& connection, LoadCall call) {
  LoadAttempt attempt;
  attempt.kind = &this->options.mix[call.kind];
  attempt.tag = call.tag;
  attempt.key = call.key;
  if (this->options.deadline) {
    const auto left =
        call.scheduled_start + *this->options.deadline - MonotonicClock::now();
    attempt.deadline_left = std::chrono::ceil<std::chrono::milliseconds>(
        std::max(left, Duration::zero()));
  }
  connection.timeout_at = call.scheduled_start + this->options.timeout;
  connection.call = std::move(call);
  connection.Send(attempt);
}

void LoadWorker::OnDone(LoadConnection& connection,
                        const LoadAttemptResult& result) {
  const TimePoint now = MonotonicClock::now();
  LoadCall call = std::move(connection.call);
  connection.timeout_at = kNever;
  this->CountAttempt(call, result);
  const bool promised = result.verdict == LoadVerdict::kRefused &&
                        result.promise == Promise::kNotRun;
  call.may_have_run = call.may_have_run || !promised;
  if (!this->Resend(call, result, now)) {
    this->CountCall(call, result, now);
  }
  this->FreeConnection(connection);
}

void LoadWorker::FreeConnection(LoadConnection& connection) {
  Pool& pool = this->pools[connection.pool];
  auto& queue = this->waiting[static_cast<size_t>(pool.side)];
  if (!queue.empty()) {
    LoadCall call = std::move(queue.front());
    queue.pop_front();
    this->SendOn(connection, std::move(call));
  } else if (this->options.closed_loop && !this->ArrivalsOver()) {
    this->SendOn(connection, this->NextCall(MonotonicClock::now()));
  } else {
    pool.idle.push_back(&connection);
  }
}

bool LoadWorker::Resend(LoadCall& call,
                        const LoadAttemptResult& result,
                        TimePoint now) {
  const LoadResendState state{call.resends, this->options.resends,
                              IsRepeatable(this->options.mix[call.kind])};
  const auto delay = ResendDelay(result, state);
  const TimePoint last = call.scheduled_start +
                         this->options.deadline.value_or(this->options.timeout);
  if (!delay || now + *delay >= last) {
    return false;
  }
  ++call.resends;
  ++this->ReportOf(call.side).resends;
  this->resends.emplace(now + *delay, std::move(call));
  return true;
}

void LoadWorker::CountAttempt(const LoadCall& call,
                              const LoadAttemptResult& result) {
  LoadSideReport& report = this->ReportOf(call.side);
  ++report.attempts[static_cast<size_t>(result.verdict)];
  if (result.status != 0) {
    ++report.statuses[result.status];
  }
  if (result.verdict == LoadVerdict::kRefused) {
    ++report.refusals[result.reason];
  }
  report.bytes += result.bytes;
}

void LoadWorker::CountCall(const LoadCall& call,
                           const LoadAttemptResult& result,
                           TimePoint now) {
  --this->calls_open;
  LoadSideReport& report = this->ReportOf(call.side);
  LoadKindReport& kind = report.kinds[call.kind];
  ++kind.verdicts[static_cast<size_t>(result.verdict)];
  if (!call.key.empty() && this->key_outcomes.size() < kMaxKeys) {
    this->key_outcomes.push_back(
        {call.key, result.verdict, !call.may_have_run});
  }
  const Duration latency = now - call.scheduled_start;
  const bool right = result.verdict == LoadVerdict::kRight;
  if (right && this->options.deadline && latency > *this->options.deadline) {
    ++report.late;
  }
  if (call.scheduled_start < this->started + this->options.warmup) {
    return;
  }
  if (right) {
    kind.right.Add(latency);
  } else if (result.verdict == LoadVerdict::kRefused) {
    kind.refused.Add(latency);
  }
}

void LoadWorker::StartClosedLoop() {
  for (const auto& connection : this->connections) {
    if (this->ArrivalsOver()) {
      return;
    }
    std::erase(this->pools[connection->pool].idle, connection.get());
    this->SendOn(*connection, this->NextCall(MonotonicClock::now()));
  }
}

}  // namespace basilsill::ctl

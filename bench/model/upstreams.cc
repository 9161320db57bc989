#include "model/upstreams.h"

#include <algorithm>
#include <utility>

#include "model/random.h"

namespace basilsill::bench {
namespace {

/// Time that an instance takes for an error answer or a refusal.
constexpr Duration kRefusalTime = std::chrono::microseconds(100);

/// Time from the crash of an instance until it serves again.
constexpr Duration kRestartTime = std::chrono::seconds(1);

/// Time from the start of a crashing request until the instance crashes, and
/// time after which kBreakingConnections breaks a connection.
constexpr Duration kCrashDelay = std::chrono::milliseconds(1);

constexpr uint64_t kShedSeed = 5;

}  // namespace

Upstreams::Upstreams(Simulation& simulation, const Deployment& deployment)
    : simulation(simulation),
      shed_random(kShedSeed),
      jobs(deployment.instances.size() * kConnectionsPerInstance) {
  for (const InstanceSpec& spec : deployment.instances) {
    Instance instance;
    instance.slots = spec.slots;
    this->instances.push_back(std::move(instance));
  }
}

JobHandle Upstreams::Submit(size_t position, const Demand& demand, Done done) {
  Instance& instance = this->instances.at(position);
  ++this->submitted;
  if (this->Reject(instance, done)) {
    return {};
  }
  Job job;
  job.instance = position;
  job.demand = demand;
  job.submitted = this->simulation.now();
  job.in_flight_at_start = this->InFlight(position);
  job.done = std::move(done);
  const JobHandle handle = this->jobs.Create(std::move(job));
  instance.waiting.push_back(handle);
  this->StartWaiting(instance);
  return handle;
}

bool Upstreams::Reject(Instance& instance, const Done& done) {
  JobEnd end = JobEnd::kCount;
  Duration after = kRefusalTime;
  switch (instance.mode) {
    case InstanceMode::kFailFast:
      end = JobEnd::kFailed;
      break;
    case InstanceMode::kDraining:
      end = JobEnd::kDraining;
      ++this->late_count;
      this->last_late = this->simulation.now() - instance.draining_since;
      break;
    case InstanceMode::kShedding:
      end = JobEnd::kShed;
      break;
    case InstanceMode::kBreakingConnections:
      end = JobEnd::kDied;
      after = kCrashDelay;
      break;
    case InstanceMode::kDown:
      end = JobEnd::kConnectFailed;
      break;
    default:
      if (!this->IsShed(instance)) {
        return false;
      }
      end = JobEnd::kShed;
  }
  this->simulation.After(after, [done, end] { done(end); });
  return true;
}

// No number is drawn for an instance without a share, so that its presence does
// not change the runs of other cases.
bool Upstreams::IsShed(const Instance& instance) {
  const size_t in_flight = instance.running.size() + instance.waiting.size();
  return in_flight >= instance.max_in_flight ||
         (instance.shed_share > 0 &&
          DrawUnit(this->shed_random) < instance.shed_share);
}

void Upstreams::StartWaiting(Instance& instance) {
  while (instance.running.size() < instance.slots &&
         !instance.waiting.empty()) {
    const JobHandle handle = instance.waiting.front();
    instance.waiting.pop_front();
    Job& job = *this->jobs.Find(handle);
    job.running = true;
    instance.running.push_back(handle);
    if (job.demand.crashes_instance) {
      // No end is scheduled: an end before the crash would answer the request.
      this->simulation.After(kCrashDelay, [this, position = job.instance] {
        this->Crash(position);
      });
      continue;
    }
    this->ScheduleEnd(handle, Milliseconds(InMilliseconds(job.demand.time) *
                                           instance.slowdown));
  }
}

void Upstreams::ScheduleEnd(JobHandle handle, Duration remaining) {
  Job& job = *this->jobs.Find(handle);
  job.ends = this->simulation.now() + remaining;
  const uint32_t schedule = ++job.schedule;
  this->simulation.At(
      job.ends, [this, handle, schedule] { this->OnEnd(handle, schedule); });
}

void Upstreams::OnEnd(JobHandle handle, uint32_t schedule) {
  Job* job = this->jobs.Find(handle);
  if (job == nullptr || job->schedule != schedule) {
    return;
  }
  Instance& instance = this->instances.at(job->instance);
  this->RecordLatency(instance, *job);
  const Done done = std::move(job->done);
  std::erase(instance.running, handle);
  this->jobs.Destroy(handle);
  this->StartWaiting(instance);
  done(JobEnd::kAnswered);
}

void Upstreams::RecordLatency(Instance& instance, const Job& job) {
  const size_t level =
      std::min<size_t>(job.in_flight_at_start, kLoadLevels - 1);
  RecentLatencies& recent = instance.latency_at.at(level);
  recent.ring.at(recent.count++ % kRecentLatencies) =
      this->simulation.now() - job.submitted;
}

void Upstreams::Cancel(JobHandle handle) {
  Job* job = this->jobs.Find(handle);
  if (job == nullptr) {
    return;
  }
  Instance& instance = this->instances.at(job->instance);
  if (job->running) {
    std::erase(instance.running, handle);
  } else {
    std::erase(instance.waiting, handle);
  }
  this->jobs.Destroy(handle);
  this->StartWaiting(instance);
}

void Upstreams::SetSlowdown(size_t position, double factor) {
  Instance& instance = this->instances.at(position);
  const double change = factor / instance.slowdown;
  instance.slowdown = factor;
  for (const JobHandle handle : instance.running) {
    if (this->jobs.Find(handle)->demand.crashes_instance) {
      continue;
    }
    const Duration left =
        this->jobs.Find(handle)->ends - this->simulation.now();
    this->ScheduleEnd(handle, Milliseconds(InMilliseconds(left) * change));
  }
}

void Upstreams::SetMode(size_t position, InstanceMode mode) {
  Instance& instance = this->instances.at(position);
  instance.mode = mode;
  if (mode == InstanceMode::kDraining) {
    instance.draining_since = this->simulation.now();
  }
  if (mode == InstanceMode::kDown) {
    this->BreakAll(instance);
  }
}

void Upstreams::SetShedShare(size_t position, double share) {
  this->instances.at(position).shed_share = share;
}

void Upstreams::SetCapacity(size_t position, unsigned slots, size_t queue) {
  Instance& instance = this->instances.at(position);
  instance.slots = slots;
  instance.max_in_flight = slots + queue;
}

UpstreamLoad Upstreams::LoadOf(size_t position) const {
  const Instance& instance = this->instances.at(position);
  UpstreamLoad load;
  load.known = true;
  load.running = static_cast<uint16_t>(instance.running.size());
  load.waiting = static_cast<uint16_t>(instance.waiting.size());
  load.slots = static_cast<uint16_t>(instance.slots);
  return load;
}

void Upstreams::Crash(size_t position) {
  if (this->instances.at(position).mode != InstanceMode::kServing) {
    return;
  }
  ++this->death_count;
  this->SetMode(position, InstanceMode::kDown);
  this->simulation.After(kRestartTime, [this, position] {
    this->SetMode(position, InstanceMode::kServing);
  });
}

void Upstreams::BreakAll(Instance& instance) {
  std::vector<JobHandle> broken(instance.waiting.begin(),
                                instance.waiting.end());
  broken.insert(broken.end(), instance.running.begin(), instance.running.end());
  instance.waiting.clear();
  instance.running.clear();
  for (const JobHandle handle : broken) {
    const Done done = std::move(this->jobs.Find(handle)->done);
    this->jobs.Destroy(handle);
    done(JobEnd::kDied);
  }
}

bool Upstreams::AcceptsWork(size_t position) const {
  const InstanceMode mode = this->instances.at(position).mode;
  return mode == InstanceMode::kServing || mode == InstanceMode::kFailFast;
}

uint32_t Upstreams::InFlight(size_t position) const {
  const Instance& instance = this->instances.at(position);
  return static_cast<uint32_t>(instance.running.size() +
                               instance.waiting.size());
}

LoadReport Upstreams::Report(size_t position) const {
  const Instance& instance = this->instances.at(position);
  LoadReport report;
  report.in_flight = this->InFlight(position);
  // A load level without samples uses the nearest lower level that has some.
  size_t level = std::min<size_t>(report.in_flight, kLoadLevels - 1);
  while (level > 0 && instance.latency_at.at(level).count == 0) {
    --level;
  }
  RecentLatencies recent = instance.latency_at.at(level);
  const size_t sample_count = std::min(recent.count, kRecentLatencies);
  const auto middle =
      recent.ring.begin() + static_cast<std::ptrdiff_t>(sample_count / 2);
  std::nth_element(
      recent.ring.begin(), middle,
      recent.ring.begin() + static_cast<std::ptrdiff_t>(sample_count));
  report.latency = sample_count == 0 ? Duration{0} : *middle;
  return report;
}

}  // namespace basilsill::bench

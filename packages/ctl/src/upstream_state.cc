#include "upstream_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/normal_distribution.hpp>

namespace basilsill::ctl {
namespace {

constexpr size_t kMaxKeys = size_t{1} << 20U;
constexpr size_t kMaxLoadSamples = 16384;
/// Load samples that are closer together than this are merged.
constexpr Duration kLoadSampleGap = std::chrono::milliseconds(1);

}  // namespace

UpstreamState::UpstreamState(const UpstreamBehaviour& behaviour,
                             uint64_t seed,
                             TimePoint now)
    : current(behaviour), random(seed), started_at(now) {
  if (behaviour.draining) {
    this->draining_since = now;
  }
}

UpstreamJobHandle UpstreamState::Arrive(TimePoint now, UpstreamJob job) {
  ++this->totals.arrivals;
  if (this->current.draining) {
    ++this->totals.arrivals_while_draining;
    this->totals.last_arrival_after_drain = now - this->draining_since;
  }
  const UpstreamJobHandle handle =
      this->jobs.Create({std::move(job), Phase::kQueued});
  if (this->HasDrained(now)) {
    this->Refuse(handle, UpstreamStepKind::kRefuseDraining);
  } else if (this->MustShed()) {
    this->Refuse(handle, UpstreamStepKind::kRefuseShed);
  } else {
    this->queue.push_back(handle);
    ++this->totals.queued;
    this->StartQueued(now);
    this->totals.peak_queued =
        std::max(this->totals.peak_queued, this->totals.queued);
  }
  this->RecordLoad(now);
  return handle;
}

void UpstreamState::Finish(TimePoint now, UpstreamJobHandle handle) {
  if (!this->jobs.Destroy(handle)) {
    return;
  }
  --this->totals.running;
  ++this->totals.finished;
  this->StartQueued(now);
  this->RecordLoad(now);
}

void UpstreamState::Cancel(TimePoint now, UpstreamJobHandle handle) {
  const Entry* entry = this->jobs.Find(handle);
  if (entry == nullptr) {
    return;
  }
  if (entry->phase == Phase::kRunning) {
    --this->totals.running;
    ++this->totals.cancelled_running;
  } else {
    --this->totals.queued;
    ++this->totals.cancelled_queued;
  }
  this->jobs.Destroy(handle);
  this->StartQueued(now);
  this->RecordLoad(now);
}

void UpstreamState::Crash() {
  ++this->totals.crashes;
  this->totals.lost_in_crash += this->totals.running + this->totals.queued;
  this->jobs.ForEach(
      [this](UpstreamJobHandle handle, Entry&) { this->jobs.Destroy(handle); });
  this->totals.running = 0;
  this->totals.queued = 0;
  this->queue.clear();
  this->steps.clear();
  this->history.clear();
}

void UpstreamState::Restart(TimePoint now) {
  this->started_at = now;
}

void UpstreamState::Change(TimePoint now, const UpstreamBehaviour& behaviour) {
  if (behaviour.draining && !this->current.draining) {
    this->draining_since = now;
  }
  this->current = behaviour;
  this->StartQueued(now);
  this->RecordLoad(now);
}

std::vector<UpstreamStep> UpstreamState::TakeSteps() {
  return std::exchange(this->steps, {});
}

UpstreamLoad UpstreamState::ReportLoad(TimePoint now) {
  ++this->totals.load_reports;
  this->RecordLoad(now);
  const TimePoint shown_time = now - this->current.report_lag;
  UpstreamLoad load;
  for (const LoadSample& sample : this->history) {
    if (sample.time > shown_time) {
      break;
    }
    load = sample.load;
  }
  const auto shown = [this](uint32_t value) {
    return static_cast<uint32_t>(value * this->current.report_factor);
  };
  return {shown(load.running), shown(load.queued)};
}

void UpstreamState::StartQueued(TimePoint now) {
  while (!this->queue.empty() && this->totals.running < this->current.slots) {
    const UpstreamJobHandle handle = this->queue.front();
    this->queue.pop_front();
    Entry* entry = this->jobs.Find(handle);
    if (entry == nullptr) {
      continue;
    }
    --this->totals.queued;
    if (entry->job.deadline <= now) {
      this->Refuse(handle, UpstreamStepKind::kSkipExpired);
    } else {
      this->Start(now, handle, *entry);
    }
  }
}

void UpstreamState::Start(TimePoint now,
                          UpstreamJobHandle handle,
                          Entry& entry) {
  entry.phase = Phase::kRunning;
  ++this->totals.running;
  ++this->totals.started;
  this->CountExecution(entry.job.idempotency_key);
  if (entry.job.crash) {
    this->steps.push_back({UpstreamStepKind::kCrash, handle, kNever});
    return;
  }
  this->steps.push_back(
      {UpstreamStepKind::kRun, handle, now + this->DrawServiceTime(now)});
}

void UpstreamState::Refuse(UpstreamJobHandle handle, UpstreamStepKind kind) {
  switch (kind) {
    case UpstreamStepKind::kRefuseShed:
      ++this->totals.shed;
      break;
    case UpstreamStepKind::kRefuseDraining:
      ++this->totals.refused_draining;
      break;
    default:
      ++this->totals.expired;
      break;
  }
  this->jobs.Destroy(handle);
  this->steps.push_back({kind, handle, kNever});
}

bool UpstreamState::HasDrained(TimePoint now) const {
  return this->current.draining &&
         now - this->draining_since >= this->current.drain_grace;
}

bool UpstreamState::MustShed() const {
  const bool slot_free = this->totals.running < this->current.slots;
  const bool full = this->totals.queued >= this->current.queue_limit;
  // The job that takes the last entry of the table is shed, so that Create()
  // never fails.
  const bool table_full = this->jobs.size() >= this->jobs.capacity();
  return this->current.shed || (full && !slot_free) || table_full;
}

Duration UpstreamState::DrawServiceTime(TimePoint now) {
  const double mean = static_cast<double>(this->current.service_mean.count());
  double time = mean;
  if (this->current.service_distribution == ServiceDistribution::kExponential) {
    time *= boost::random::exponential_distribution<double>(1.0)(this->random);
  }
  if (this->current.service_distribution == ServiceDistribution::kLognormal) {
    // Shifted by half the variance, so that the mean is `service_mean`.
    const double sigma = this->current.service_sigma;
    boost::random::normal_distribution<double> logarithm(-sigma * sigma / 2,
                                                         sigma);
    time *= std::exp(logarithm(this->random));
  }
  time *= this->current.straggle_factor;
  if (now - this->started_at < this->current.cold_time) {
    time *= this->current.cold_factor;
  }
  return Duration(std::llround(time));
}

void UpstreamState::CountExecution(const std::string& key) {
  if (key.empty()) {
    return;
  }
  const auto found = this->totals.executions.find(key);
  if (found != this->totals.executions.end()) {
    ++found->second;
  } else if (this->totals.executions.size() < kMaxKeys) {
    this->totals.executions.emplace(key, 1);
  } else {
    ++this->totals.keys_not_counted;
  }
}

void UpstreamState::RecordLoad(TimePoint now) {
  const UpstreamLoad load{this->totals.running, this->totals.queued};
  if (!this->history.empty() &&
      now - this->history.back().time < kLoadSampleGap) {
    this->history.back().load = load;
    return;
  }
  this->history.push_back({now, load});
  // The newest sample that is at least as old as the lag is kept, because it is
  // the one that is reported.
  const TimePoint oldest_shown = now - this->current.report_lag;
  while (this->history.size() > 1 && this->history[1].time <= oldest_shown) {
    this->history.pop_front();
  }
  if (this->history.size() > kMaxLoadSamples) {
    this->history.pop_front();
  }
}

}  // namespace basilsill::ctl

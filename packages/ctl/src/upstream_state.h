#ifndef BASILSILL_CTL_UPSTREAM_STATE_H_
#define BASILSILL_CTL_UPSTREAM_STATE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include <pcg_random.hpp>

#include "basilsill/base/handle.h"
#include "basilsill/base/time.h"
#include "basilsill/ctl/upstream.h"

/// State machine of an emulated instance. Callers pass the current time, and
/// the output is a list of steps. It has no sockets, timers or clock.

namespace basilsill::ctl {

struct UpstreamJobTag {};
using UpstreamJobHandle = Handle<UpstreamJobTag>;

/// What the state machine knows of one request.
struct UpstreamJob {
  std::string idempotency_key;
  TimePoint deadline = kNever;
  bool crash = false;  ///< The instance crashes when it starts this job.
};

/// What the caller of the state machine must do with a job.
enum class UpstreamStepKind : uint8_t {
  kRun,             ///< Has a slot; call Finish() at `finish`.
  kRefuseShed,      ///< Not run: shed by choice or lack of space.
  kRefuseDraining,  ///< Not run: the drain grace period is over.
  kSkipExpired,     ///< Not run: its deadline passed.
  kCrash,           ///< Crashes the instance; call Crash().
  kCount
};

/// One output of the state machine.
struct UpstreamStep {
  UpstreamStepKind kind = UpstreamStepKind::kCount;
  UpstreamJobHandle job;
  TimePoint finish = kNever;  ///< For kRun.
};

/// Reported load, which may be stale or wrong because of injected faults.
struct UpstreamLoad {
  uint32_t running = 0;
  uint32_t queued = 0;
};

/// Slots, queue, injected faults and counters of one instance.
class UpstreamState {
 public:
  /// @param seed Random seed of the service times.
  UpstreamState(const UpstreamBehaviour& behaviour,
                uint64_t seed,
                TimePoint now);

  /// Handles the arrival of a request. Adds a step for it unless it is queued.
  UpstreamJobHandle Arrive(TimePoint now, UpstreamJob job);

  /// Ends a running job after its service time and frees its slot. An unknown
  /// handle is ignored.
  void Finish(TimePoint now, UpstreamJobHandle handle);

  /// Ends a queued or running job whose caller closed the connection. An
  /// unknown handle is ignored.
  void Cancel(TimePoint now, UpstreamJobHandle handle);

  /// Emulates a process crash: drops all jobs and pending steps.
  void Crash();

  /// Emulates the start of the process after a crash, with a cold phase.
  void Restart(TimePoint now);

  /// Replaces the behaviour. A larger slot count starts queued jobs.
  void Change(TimePoint now, const UpstreamBehaviour& behaviour);

  /// @returns the steps since the last call, in order.
  std::vector<UpstreamStep> TakeSteps();

  /// @returns the load to report, after the behaviour's `report_lag` and
  /// `report_factor`.
  UpstreamLoad ReportLoad(TimePoint now);

  const UpstreamBehaviour& behaviour() const { return this->current; }
  const UpstreamCounts& counts() const { return this->totals; }
  /// For the connection counters, which UpstreamInstance updates.
  UpstreamCounts& mutable_counts() { return this->totals; }

 private:
  enum class Phase : uint8_t { kQueued, kRunning, kCount };
  struct Entry {
    UpstreamJob job;
    Phase phase = Phase::kQueued;
  };
  struct LoadSample {
    TimePoint time;
    UpstreamLoad load;
  };

  void StartQueued(TimePoint now);
  void Start(TimePoint now, UpstreamJobHandle handle, Entry& entry);
  void Refuse(UpstreamJobHandle handle, UpstreamStepKind kind);
  bool HasDrained(TimePoint now) const;
  bool MustShed() const;
  Duration DrawServiceTime(TimePoint now);
  void CountExecution(const std::string& key);
  void RecordLoad(TimePoint now);

  UpstreamBehaviour current;
  UpstreamCounts totals;
  HandleTable<Entry, UpstreamJobTag> jobs{kMaxUpstreamJobs};
  /// In order of arrival; may contain handles of cancelled jobs.
  std::deque<UpstreamJobHandle> queue;
  std::vector<UpstreamStep> steps;
  std::deque<LoadSample> history;
  pcg64 random;
  TimePoint started_at;
  TimePoint draining_since = kNever;
};

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_UPSTREAM_STATE_H_

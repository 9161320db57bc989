#ifndef BASILSILL_CTL_LOAD_WORKER_H_
#define BASILSILL_CTL_LOAD_WORKER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "basilsill/ctl/load.h"
#include "load_connection.h"
#include "load_schedule.h"

/// One thread of the load generator, with its schedule, its connection pools
/// and the counts of its results.

namespace basilsill::ctl {

/// Result of a request that must not run twice.
struct LoadKeyOutcome {
  std::string key;
  LoadVerdict verdict = LoadVerdict::kTimedOut;
  /// Every attempt ended with the promise that the request did not run.
  bool promised_not_run = false;
};

class LoadWorker {
 public:
  /// @param share Options with this worker's share of rate, connections and
  /// requests.
  /// @param index Number of the worker in this run.
  LoadWorker(const LoadOptions& share, size_t index);
  ~LoadWorker();
  LoadWorker(const LoadWorker&) = delete;
  LoadWorker& operator=(const LoadWorker&) = delete;

  /// Opens all connections; blocks until each is open or has failed.
  void OpenConnections();

  /// Sends all requests; blocks until each has its final result.
  void Run();

  // Results, after Run().
  const std::vector<LoadSideReport>& sides() const { return this->reports; }
  const std::vector<LoadKeyOutcome>& keys() const { return this->key_outcomes; }
  const LoadHistogram& start_lag() const { return this->lag; }
  Duration elapsed() const { return this->run_time; }

 private:
  /// The connections to one endpoint.
  struct Pool {
    LoadSide side = LoadSide::kThrough;
    std::vector<LoadConnection*> idle;
  };

  void AddPools(LoadSide side, const std::vector<LoadEndpoint>& endpoints);
  LoadScheduleOptions ScheduleOptions(size_t index) const;
  LoadSideReport& ReportOf(LoadSide side);

  void RunSpinning();
  void RunSleeping();
  void ArmTimer();
  void RunDueWork();
  TimePoint NextDueTime() const;
  void StartArrivals(TimePoint now);
  void StartResends(TimePoint now);
  void TimeOutOverdue(TimePoint now);
  bool ArrivalsOver() const;
  bool IsFinished() const;

  void Dispatch(LoadCall call);
  LoadConnection* TakeIdle(LoadSide side);
  void SendOn(LoadConnection& connection, LoadCall call);
  void OnDone(LoadConnection& connection, const LoadAttemptResult& result);
  void FreeConnection(LoadConnection& connection);
  bool Resend(LoadCall& call, const LoadAttemptResult& result, TimePoint now);
  void CountAttempt(const LoadCall& call, const LoadAttemptResult& result);
  void CountCall(const LoadCall& call,
                 const LoadAttemptResult& result,
                 TimePoint now);
  void StartClosedLoop();
  LoadCall NextCall(TimePoint scheduled_start);

  LoadOptions options;
  LoadSchedule schedule;
  boost::asio::io_context io{1};
  boost::asio::steady_timer timer{this->io};
  std::vector<std::unique_ptr<LoadConnection>> connections;
  std::vector<Pool> pools;
  size_t next_pool = 0;
  /// Requests that wait for a free connection, by side.
  std::array<std::deque<LoadCall>, static_cast<size_t>(LoadSide::kCount)>
      waiting;
  std::multimap<TimePoint, LoadCall> resends;
  std::vector<LoadSideReport> reports;
  std::vector<LoadKeyOutcome> key_outcomes;
  LoadHistogram lag;
  TimePoint started;
  TimePoint ends;
  TimePoint next_arrival;
  TimePoint next_sweep;
  uint64_t calls_started = 0;
  uint64_t calls_open = 0;
  Duration run_time{};
};

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_LOAD_WORKER_H_

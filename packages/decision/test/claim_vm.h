#ifndef BASILSILL_DECISION_TEST_CLAIM_VM_H_
#define BASILSILL_DECISION_TEST_CLAIM_VM_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <pcg_random.hpp>

#include "basilsill/decision/claims.h"
#include "claim_record.h"
#include "claim_simulation.h"
#include "model_log.h"

/// Simulated VM process with a ClaimTable. It may be paused between any two
/// steps or killed, and its calls to the log are subject to all faults.

namespace basilsill::test {

/// Source of randomness and faults of one history.
struct FaultInjector {
  explicit FaultInjector(uint64_t seed);

  bool Happens(double probability);
  size_t Below(size_t count);
  Duration Between(Duration low, Duration high);
  Duration NetworkDelay();

  pcg32 random;
  bool stopped = false;  ///< No more faults: the system must recover.
  TimePoint down_until;
  TimePoint slow_until;
  double lose_answer = 0;
  double late_effect = 0;
  double lose_message = 0;
  double pause = 0;
  double bad_upstream = 0;
  bool outage = false;
  bool slow = false;
  bool kills = false;
  bool trims = false;
  bool wrong_clocks = false;
};

/// Shared by all VMs of a history.
struct HistoryContext {
  VirtualTime time;
  ModelLog log;
  FaultInjector faults;
  Mutation mutation;
  std::function<void(const std::string&)> note;
};

class ClaimVm {
 public:
  using OnVerdict = std::function<void(const ClaimAction&)>;
  using OnRecord = std::function<void(const ClaimRecord&)>;

  ClaimVm(HistoryContext& context, size_t index);

  void Start(const std::vector<uint64_t>& live_origins);
  void Kill();
  void Resume();

  /// Queues `step` to run in this process after earlier steps. It is dropped if
  /// the process is killed first.
  void Post(std::function<void()> step);

  void Request(ClaimRequest request, Duration left);
  void Finish(const ClaimEnd& end);

  uint64_t origin() const {
    return MakeClaimOrigin(this->name, this->own_incarnation);
  }

  std::string name;
  uint64_t own_incarnation = 1;
  bool alive = false;
  uint64_t sequence = 0;  ///< Sequence number of the last attempt made here.
  std::chrono::milliseconds clock_error{0};
  std::unique_ptr<ClaimTable> table;
  OnVerdict on_verdict;  ///< Called with all actions but appends and reads.
  OnRecord on_read;      ///< Called with each record that this VM reads.
  OnRecord on_appended;  ///< Called with each record confirmed by the log.

 private:
  void ScheduleStep();
  void RunStep();
  void AfterCall();
  void ScheduleTick();
  void SendAppend(const ClaimAction& action);
  void SendRead(const ClaimAction& action);
  WallTime WallNow() const;

  HistoryContext& context;
  TimePoint paused_until;
  TimePoint next_tick = kNever;
  bool step_scheduled = false;
  std::deque<std::function<void()>> inbox;
};

}  // namespace basilsill::test

#endif  // BASILSILL_DECISION_TEST_CLAIM_VM_H_

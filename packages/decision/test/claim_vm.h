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

/// A process with a ClaimTable in a history: it may be paused between any two
/// steps, killed, and its calls to the log go through every fault.

namespace basilsill::test {

/// The faults of one history, and its source of chance.
struct FaultInjector {
  explicit FaultInjector(uint64_t seed);

  bool Happens(double probability);
  size_t Below(size_t count);
  Duration Between(Duration low, Duration high);
  Duration NetworkDelay();

  pcg32 random;
  bool healed = false;  ///< No more faults: what was broken must mend.
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
  FaultInjector chaos;
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

  /// Runs `step` in this process after the steps before it, unless the
  /// process that was asked is gone by then.
  void Post(std::function<void()> step);

  void Request(ClaimRequest request, Duration left);
  void Finish(const ClaimEnd& end);

  uint64_t origin() const { return MakeClaimOrigin(this->name, this->life); }

  std::string name;
  uint64_t life = 1;
  bool alive = false;
  uint64_t sequence = 0;  ///< Of attempts made here.
  std::chrono::milliseconds clock_error{0};
  std::unique_ptr<ClaimTable> table;
  OnVerdict on_verdict;  ///< Grants, refusals, replays, recorded ends.
  OnRecord on_read;      ///< Each record this VM reads.
  OnRecord on_appended;  ///< Each record the log said it took.

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

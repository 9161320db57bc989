#ifndef BASILSILL_DECISION_TEST_QUOTA_SIMULATION_H_
#define BASILSILL_DECISION_TEST_QUOTA_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include <pcg_random.hpp>

#include "basilsill/decision/caller_age.h"
#include "basilsill/decision/quota_borrower.h"
#include "basilsill/decision/quota_coordinator.h"
#include "basilsill/decision/store_restore.h"
#include "basilsill/decision/view.h"

/// Simulates quotas of a fleet in virtual time: the decision code of every VM,
/// messages between VMs, and a store that keeps the leases. VMs have
/// independent clocks and can be killed, frozen, and cut off from each other
/// and from the store, and the store can be restored from a copy.

namespace basilsill {

struct QuotaSimulationOptions {
  uint64_t seed = 1;
  size_t data_centres = 3;
  size_t vms_per_data_centre = 4;
  bool has_leases = true;
  QuotaStartAllowance start_allowance;
  size_t extra_vms = 0;  ///< Beyond `vms_per_data_centre`.
  std::vector<TeamLimits> teams;
};

/// Callers who return: each makes up to three attempts, every one at a random
/// VM of its data centre, and honours the retry time of a refusal up to a third
/// of the time that it has left.
struct CallerGroup {
  size_t team = 0;
  uint32_t rule = 0;
  TrafficClass traffic_class = TrafficClass::kOrdinary;
  std::chrono::milliseconds target{0};  ///< Counted from the first attempt.
  std::chrono::milliseconds work{0};    ///< Of a request that has a credit.
  std::chrono::milliseconds full_time{0};
  std::vector<double> per_second;  ///< New callers, by data centre.
  bool misstates = false;          ///< Declares any time as the time left.
};

/// What became of the callers of a group in a data centre.
struct CallerCounts {
  size_t callers = 0;
  size_t attempts = 0;
  size_t in_time = 0;  ///< Served within the target.
  size_t late = 0;     ///< Served later.
  size_t refused = 0;  ///< Gave up.
};

class QuotaSimulation {
 public:
  explicit QuotaSimulation(const QuotaSimulationOptions& options);

  /// Starts to send requests of `team` to randomly chosen VMs of `vms`.
  void StartLoad(size_t team, std::vector<size_t> vms, double per_second);
  /// As StartLoad, with callers that come back, up to kMaxReturns times: as
  /// told when they are refused, and soon when their VM is gone.
  void StartReturningLoad(size_t team,
                          std::vector<size_t> vms,
                          double per_second);
  void Run(Duration time);
  /// Starts callers that return.
  /// @returns the index of the group.
  size_t StartCallers(CallerGroup group);
  /// Starts to count anew; earlier callers are not counted further.
  void ResetCallerCounts();

  // Faults
  void Kill(size_t vm, Duration down);
  void Freeze(size_t vm, Duration time);
  /// Cuts `vms` off from all other VMs.
  void Partition(const std::vector<size_t>& vms, Duration time);
  void CutStore(const std::vector<size_t>& vms, Duration time);
  /// Restores the store from a copy of that age. VMs hear of it by their calls.
  void RestoreStore(Duration age);
  /// Writes to the store may take effect without an answer, or seconds later.
  void LoseStoreAnswers(Duration time);

  std::vector<size_t> AllVms() const;
  std::vector<size_t> VmsOf(size_t data_centre) const;
  std::vector<size_t> Lenders() const;
  size_t CountVms() const { return this->vms.size(); }

  /// @returns how many requests of `team` were admitted in [from, to).
  size_t CountAdmitted(size_t team, Duration from, Duration to) const;
  /// @returns the maximum number admitted in any window of that length.
  size_t MaxAdmittedIn(size_t team, Duration window) const;
  size_t CountRefused(size_t team) const { return this->refused[team]; }
  size_t CountSent(size_t team) const { return this->sent[team]; }
  /// @returns how often callers of StartReturningLoad were told in [from, to)
  /// that the team has used up its quota.
  size_t CountExhausted(size_t team, Duration from, Duration to) const;
  const CallerCounts& CountsOf(size_t group, size_t data_centre) const {
    return this->caller_counts[group][data_centre];
  }
  /// @returns the sum over all VMs since their processes started.
  QuotaCounts SumCounts() const;
  double SumOverflowed() const;
  const QuotaCounts& CountsAt(size_t vm) const {
    return this->vms[vm].borrower->counts();
  }
  /// @returns the requests of a group that got a credit, from its start on.
  size_t CountGranted(size_t group) const { return this->granted[group]; }
  Duration now() const { return this->time; }
  uint64_t store_calls() const { return this->calls; }
  uint64_t messages() const { return this->message_count; }

  static constexpr size_t kMaxReturns = 2;

 private:
  struct ReturningCaller {
    size_t team = 0;
    std::vector<size_t> vms;
    size_t returns_left = kMaxReturns;
  };

  struct Vm {
    std::string name;
    size_t data_centre = 0;
    Duration clock{0};
    double speed = 1;  ///< Speed of the VM's clock relative to true time.
    uint64_t process = 0;
    bool alive = true;
    Duration frozen_until{0};
    bool store_cut = false;
    StoreRestore restore;  ///< What the VM knows of the store's era.
    int partition = 0;  ///< VMs in different partitions can't reach each other.
    /// Events to run once the VM resumes.
    std::vector<std::function<void()>> deferred;
    std::optional<QuotaCoordinator> coordinator;
    std::optional<QuotaBorrower> borrower;
    CallerAge caller_age;
    std::map<uint64_t, std::function<void(const QuotaDecision&)>> waiting;
    std::map<uint64_t, ReturningCaller> waiting_callers;  ///< By ticket.
  };

  struct Share {
    std::optional<QuotaLeaseRecord> record;
    LogPosition end;
  };

  /// The state of a share since a write.
  struct PastShare {
    Duration since{0};
    Share share;
  };

  struct Event {
    Duration at{0};
    uint64_t number = 0;
    std::function<void()> run;

    bool operator<(const Event& other) const {
      return std::tie(other.at, other.number) <
             std::tie(this->at, this->number);
    }
  };

  struct Source {
    size_t team = 0;
    std::vector<size_t> vms;
    double per_second = 0;
  };

  void ScheduleAt(Duration at, std::function<void()> run);
  void ScheduleAfter(Duration delay, std::function<void()> run);
  /// Runs `run` on the VM unless that process has ended; if the VM is frozen,
  /// once it resumes.
  void RunOnVm(size_t vm, uint64_t process, std::function<void()> run);
  LeaseTime ClockOf(const Vm& vm) const;
  Duration NetworkDelay();
  void Start(size_t vm);
  void ApplyViews();
  RoutingView ViewOf(size_t vm) const;
  void Tick(size_t vm, uint64_t process);
  void Pump(size_t vm);
  void Deliver(size_t from, const OutgoingQuotaMessage& outgoing);
  void CallStore(size_t vm, QuotaLeaseCall call);
  void WriteLease(size_t vm, uint64_t process);
  void OnLeaseRead(size_t vm, const Share& share);
  void OnLeaseWritten(size_t vm, LogPosition end, bool fits, uint64_t era);
  void ScheduleNextArrival(const Source& source);
  struct Caller {
    size_t group = 0;
    size_t data_centre = 0;
    Duration first_at{0};
    size_t attempts = 0;
    size_t counts_number = 0;
  };
  void ScheduleNextCaller(size_t group, size_t data_centre);
  void Send(Caller caller);
  void Attempt(size_t vm, const Caller& caller, Duration declared);
  CreditNeed NeedOf(Vm& vm, const Caller& caller, Duration declared);
  void OnDecision(size_t vm,
                  const Caller& caller,
                  const QuotaDecision& decision);
  CallerCounts* CountsFor(const Caller& caller);
  void CountAdmission(size_t vm, size_t team);
  void ScheduleNextReturningCaller(const Source& source);
  void Arrive(const ReturningCaller& caller);
  void Conclude(size_t vm,
                const ReturningCaller& caller,
                const QuotaDecision& decision);
  void ComeBack(ReturningCaller caller, Duration pause);

  QuotaSimulationOptions options;
  pcg64 random;
  Duration time{0};
  uint64_t last_event = 0;
  std::priority_queue<Event> events;
  std::vector<Vm> vms;
  std::vector<Share> shares;
  std::vector<std::vector<PastShare>> past_shares;  ///< By share.
  std::vector<std::vector<Duration>> admitted;      ///< By team.
  std::vector<size_t> refused;
  std::vector<size_t> sent;
  std::vector<std::vector<Duration>> exhausted;  ///< By team.
  bool loses_store_answers = false;
  uint64_t processes = 0;
  uint64_t calls = 0;
  uint64_t message_count = 0;
  std::vector<CallerGroup> groups;
  std::vector<size_t> granted;  ///< By group.
  std::vector<std::vector<CallerCounts>> caller_counts;
  size_t counts_number = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_TEST_QUOTA_SIMULATION_H_

#ifndef BASILSILL_DECISION_TEST_REACH_SIMULATION_H_
#define BASILSILL_DECISION_TEST_REACH_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <pcg_random.hpp>

#include "basilsill/decision/entry.h"
#include "basilsill/decision/upstream_reach.h"
#include "decision_fixture.h"

/// Simulation of VMs that accept and dispatch requests, in virtual time, while
/// VMs lose their paths to the upstreams of data centres. The paths between VMs
/// always work. Each VM tells the others which data centres it can't reach.

namespace basilsill {

/// What happens between a VM and the upstreams of a data centre.
enum class PathState : uint8_t {
  kOpen,
  kHangs,    ///< Nothing arrives, on connections old and new.
  kResets,   ///< Connections are reset once, new ones get no answer.
  kRefuses,  ///< Connections that are open work, new ones are refused.
  kCount
};

struct ReachSimulationOptions {
  uint32_t data_centres = 4;
  uint32_t vms = 13;        ///< In turn in each data centre.
  uint32_t upstreams = 12;  ///< In turn in each data centre.
  uint16_t slots = 2;
  double requests_per_second = 60;
  std::chrono::milliseconds request_duration{60};
  /// The window is short, so that budgets are settled when paths are lost.
  RepeatBudgetOptions repeats{0.2, 58, std::chrono::milliseconds(500)};
};

class ReachSimulation {
 public:
  ReachSimulation(uint64_t seed, const ReachSimulationOptions& options);

  void Run(Duration time);
  /// Makes no further requests, and runs until all have ended.
  void Finish();

  void SetPath(uint32_t vm, uint32_t data_centre, PathState state);
  /// Sets the paths of a VM to all data centres.
  void SetPaths(uint32_t vm, PathState state);

  /// @returns the number of requests that ended without an answer although they
  /// were made later than `settled_after` after the first connection that
  /// failed since the last change of a path, and a VM reached the upstreams.
  size_t CountLost(Duration settled_after) const;
  /// @returns the number of requests that were made in such times.
  size_t CountSettled(Duration settled_after) const;

  size_t requests() const { return this->open_requests.size(); }
  size_t connects() const { return this->connect_count; }
  size_t failed_connects() const { return this->failed_connect_count; }
  pcg32& rng() { return this->random; }
  const ReachSimulationOptions& settings() const { return this->options; }

 private:
  struct Vm {
    ViewFixture fixture;
    std::unique_ptr<EntryRouter> router;
    std::unique_ptr<Dispatcher> dispatcher;
    std::unique_ptr<UpstreamReach> reach;
    std::vector<PathState> paths;  ///< By data centre.
    std::vector<uint32_t> kept;    ///< Idle connections, by upstream.
  };
  struct Request {
    uint32_t entry_vm = 0;
    EntryHandle entry;
    Target target;
    uint32_t hops = 0;
    TimePoint made;
    /// First connection that failed since the last change; kNever if none did.
    TimePoint failed_connect_at = kNever;
    TimePoint changed_at;
    bool can_be_served = false;
    bool finished = false;
    bool answered = false;
  };
  /// What a connection or a request on it comes to, and when.
  struct Outcome {
    bool on_new_connection = false;
    bool connected = true;
    Duration time{0};
    AttemptEnd end = AttemptEnd::kCount;  ///< kCount: nothing comes.
  };
  struct Attempt {
    uint32_t vm = 0;
    uint64_t cookie = 0;
    AttemptHandle attempt;
    UpstreamHandle upstream;
    TimePoint ends;
    Outcome outcome;
  };

  void CreateVm(uint32_t vm);
  void Apply(uint32_t vm);
  void Step();
  void Offer();
  void Post(Duration delay, std::function<void()> task);
  void Route(uint64_t id);
  void SendToDispatcher(uint64_t id);
  void SendToUpstream(uint64_t id);
  void HandleActions(uint32_t vm);
  void HandleReach(uint32_t vm);
  void Tell(uint32_t vm);
  void Probe(uint32_t vm, UpstreamHandle upstream);
  void OnConnect(uint32_t vm, UpstreamHandle upstream, bool connected);
  Outcome Draw(uint32_t vm, UpstreamHandle upstream);
  PathState& PathTo(uint32_t vm, UpstreamHandle upstream);
  void BreakConnections(uint32_t vm, uint32_t data_centre, PathState state);
  void EndAttempts();
  void End(const Attempt& attempt);
  void SendAnswer(uint32_t vm, uint64_t cookie, Refusal refusal, uint8_t sends);
  void Reply(uint64_t id, uint32_t hop, Refusal refusal, uint8_t sends);
  void OnReply(uint64_t id, Refusal refusal, uint8_t sends);
  bool IsSettled(const Request& request, Duration settled_after) const;

  ReachSimulationOptions options;
  pcg32 random;
  TimePoint now{std::chrono::seconds(100)};
  TimePoint changed_at{};
  TimePoint failed_connect_at = kNever;
  std::vector<Vm> vms;
  std::map<uint64_t, Request> open_requests;
  std::vector<Attempt> attempts;
  std::multimap<TimePoint, std::function<void()>> messages;
  size_t connect_count = 0;
  size_t failed_connect_count = 0;
  uint64_t next_id = 1;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_TEST_REACH_SIMULATION_H_

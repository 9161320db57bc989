// Tests of how data that one VM reads from the platform propagates through a
// fleet.

#include "basilsill/decision/propagation_plan.h"

#include <algorithm>
#include <deque>
#include <set>
#include <vector>

#include "vm_rows.h"

#include <CppUTest/TestHarness.h>

using basilsill::PlanPropagation;
using basilsill::PropagationPlan;
using basilsill::VmHandle;
using basilsill::VmRow;
using basilsill::VmState;
using basilsill::test::MakeVmRows;

namespace {

constexpr uint32_t kDataCentres = 5;

struct SpreadResult {
  size_t max_by_one_vm = 0;
  size_t between_data_centres = 0;
  size_t total = 0;
  std::set<VmHandle> receivers;
};

struct Message {
  VmHandle from;
  VmHandle to;
};

}  // namespace

TEST_GROUP(PropagationPlan) {
  std::vector<VmRow> rows = MakeVmRows(300, kDataCentres);
  std::vector<PropagationPlan> plans;
  std::vector<std::set<VmHandle>> linked;
  std::set<VmHandle> frozen;

  void setup() override {
    this->Plan();
  }

  bool InSameDataCentre(VmHandle a, VmHandle b) const {
    return this->rows.at(a.index).data_centre ==
           this->rows.at(b.index).data_centre;
  }

  /// Computes the plan of each VM and its links, which are those that it or the
  /// other VM needs. Call it after each change of `rows`.
  void Plan() {
    this->plans.clear();
    this->linked.assign(this->rows.size(), {});
    for (const VmRow& row : this->rows) {
      this->plans.push_back(PlanPropagation(this->rows, row.handle));
      for (const VmHandle vm : this->plans.back().links) {
        this->linked[row.handle.index].insert(vm);
        this->linked[vm.index].insert(row.handle);
      }
    }
  }

  /// @returns the VM of rank 0.
  VmHandle FirstReader() const {
    const auto first = std::find_if(
        this->plans.begin(), this->plans.end(),
        [](const PropagationPlan& plan) { return plan.rank == 0; });
    return this->rows.at(first - this->plans.begin()).handle;
  }

  std::vector<VmHandle> LinkedWith(VmHandle vm) const {
    const std::set<VmHandle>& links = this->linked.at(vm.index);
    return {links.begin(), links.end()};
  }

  /// Simulates the propagation of something that `reader` has read.
  SpreadResult Spread(VmHandle reader) const {
    SpreadResult result;
    std::deque<Message> in_flight;
    const auto send = [&](VmHandle from, const std::vector<VmHandle>& targets) {
      result.max_by_one_vm = std::max(result.max_by_one_vm, targets.size());
      for (const VmHandle to : targets) {
        result.total += 1;
        result.between_data_centres += this->InSameDataCentre(from, to) ? 0 : 1;
        in_flight.push_back({from, to});
      }
    };
    send(reader, PublishTargets(this->plans.at(reader.index), this->rows,
                                reader, this->LinkedWith(reader)));
    while (!in_flight.empty()) {
      const Message message = in_flight.front();
      in_flight.pop_front();
      if (this->frozen.contains(message.to)) {
        continue;
      }
      result.receivers.insert(message.to);
      send(message.to, RelayTargets(this->plans.at(message.to.index),
                                    this->rows, message.to, message.from,
                                    this->LinkedWith(message.to)));
    }
    return result;
  }
};

// Failure: six VMs sent each change to all others. A change of 44 KB occupied
// the link of a sender for half a second, and the last receivers took the
// sender for silent.
TEST(PropagationPlan, Spread_LargeFleet_ReachesAllWithBoundedSendsPerVm) {
  const SpreadResult result = this->Spread(this->FirstReader());
  CHECK_EQUAL(299, result.receivers.size());
  CHECK(result.max_by_one_vm <= 300 / kDataCentres + 2 * kDataCentres);
}

TEST(PropagationPlan, Spread_LargeFleet_EntersEachDataCentreTwice) {
  const SpreadResult result = this->Spread(this->FirstReader());
  CHECK_EQUAL(2 * (kDataCentres - 1), result.between_data_centres);
}

// The traffic between data centres must not depend on the number of VMs.
TEST(PropagationPlan, Spread_TwiceTheFleet_SameTrafficBetweenDataCentres) {
  this->rows = MakeVmRows(600, kDataCentres);
  this->Plan();
  CHECK_EQUAL(2 * (kDataCentres - 1),
              this->Spread(this->FirstReader()).between_data_centres);
}

// Failure: one of the two relays of a data centre freezes, and its links stay
// open for seconds.
TEST(PropagationPlan, Spread_OneRelayFrozen_ReachesAllOthers) {
  const VmHandle reader = this->FirstReader();
  for (const VmHandle relay : this->plans.at(reader.index).links) {
    if (!this->InSameDataCentre(relay, reader)) {
      this->frozen.insert(relay);
      break;
    }
  }
  CHECK_EQUAL(1, this->frozen.size());
  CHECK_EQUAL(298, this->Spread(reader).receivers.size());
}

// Failure: links are saturated, so VMs of high rank read for themselves. If
// each sent what it read to all peers, the load on the links would rise
// further.
TEST(PropagationPlan, Spread_ReaderIsNoRelay_SendsNothing) {
  for (const VmRow& row : this->rows) {
    const PropagationPlan& plan = this->plans.at(row.handle.index);
    const bool is_relay_rank = plan.rank < 2 * kDataCentres;
    CHECK_EQUAL(is_relay_rank, plan.is_relay);
    if (!is_relay_rank) {
      CHECK_EQUAL(0, this->Spread(row.handle).total);
    }
  }
}

TEST(PropagationPlan, Plan_RelaySuspected_NextVmBecomesRelay) {
  const VmHandle reader = this->FirstReader();
  this->rows.at(reader.index).state = VmState::kSuspected;
  this->Plan();
  CHECK(this->FirstReader() != reader);
  CHECK_FALSE(this->plans.at(reader.index).is_relay);
}

// A small fleet in three data centres, with two relays each.
TEST(PropagationPlan, Spread_SmallFleet_ReachesAll) {
  this->rows = MakeVmRows(14, 3);
  this->Plan();
  CHECK_EQUAL(13, this->Spread(this->FirstReader()).receivers.size());
}

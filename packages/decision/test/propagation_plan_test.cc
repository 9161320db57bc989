// Tests of how what one VM read at the platform spreads over a fleet.

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

struct Sent {
  size_t most_by_one = 0;
  size_t across = 0;
  size_t all = 0;
  std::set<VmHandle> heard;
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

  bool IsNear(VmHandle a, VmHandle b) const {
    return this->rows.at(a.index).data_centre ==
           this->rows.at(b.index).data_centre;
  }

  /// Each VM's part, and with whom it has links: by its own needs and by those
  /// of others. To be called once the rows are as they are to be.
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

  /// @returns the VM that reads first.
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

  /// `reader` has read something; all that follows from it.
  Sent Spread(VmHandle reader) const {
    Sent sent;
    std::deque<Message> on_the_way;
    const auto send = [&](VmHandle from, const std::vector<VmHandle>& told) {
      sent.most_by_one = std::max(sent.most_by_one, told.size());
      for (const VmHandle to : told) {
        sent.all += 1;
        sent.across += this->IsNear(from, to) ? 0 : 1;
        on_the_way.push_back({from, to});
      }
    };
    send(reader, PublishTargets(this->plans.at(reader.index), this->rows,
                                reader, this->LinkedWith(reader)));
    while (!on_the_way.empty()) {
      const Message message = on_the_way.front();
      on_the_way.pop_front();
      if (this->frozen.contains(message.to)) {
        continue;
      }
      sent.heard.insert(message.to);
      send(message.to, RelayTargets(this->plans.at(message.to.index),
                                    this->rows, message.to, message.from,
                                    this->LinkedWith(message.to)));
    }
    return sent;
  }
};

// Six VMs told everybody. A change of 44 KB took one of them half a second on
// its link, and those at the end of it took it for silent.
TEST(PropagationPlan, OneReads_AllHearAndNoVmSendsToMoreThanItsDataCentre) {
  const Sent sent = this->Spread(this->FirstReader());
  CHECK_EQUAL(299, sent.heard.size());
  CHECK(sent.most_by_one <= 300 / kDataCentres + 2 * kDataCentres);
}

TEST(PropagationPlan, OneReads_CrossesToEachDataCentreTwice) {
  const Sent sent = this->Spread(this->FirstReader());
  CHECK_EQUAL(2 * (kDataCentres - 1), sent.across);
}

// Twice the VMs: as many octets between data centres for a change.
TEST(PropagationPlan, TwiceTheFleet_CrossesNoMoreOften) {
  this->rows = MakeVmRows(600, kDataCentres);
  this->Plan();
  CHECK_EQUAL(2 * (kDataCentres - 1), this->Spread(this->FirstReader()).across);
}

// One of the two that hand on in a data centre stands still, and its links stay
// open for seconds.
TEST(PropagationPlan, OneOfTwoFrozen_AllOthersHear) {
  const VmHandle reader = this->FirstReader();
  for (const VmHandle teller : this->plans.at(reader.index).links) {
    if (!this->IsNear(teller, reader)) {
      this->frozen.insert(teller);
      break;
    }
  }
  CHECK_EQUAL(1, this->frozen.size());
  CHECK_EQUAL(298, this->Spread(reader).heard.size());
}

// Links are clogged, so VMs far back in the order read for themselves. If each
// told all its peers, the links would only get worse.
TEST(PropagationPlan, ReaderFarBack_TellsNobody) {
  for (const VmRow& row : this->rows) {
    const PropagationPlan& plan = this->plans.at(row.handle.index);
    const bool among_first = plan.rank < 2 * kDataCentres;
    CHECK_EQUAL(among_first, plan.is_relay);
    if (!among_first) {
      CHECK_EQUAL(0, this->Spread(row.handle).all);
    }
  }
}

TEST(PropagationPlan, ThatTells_SuspectedOrLeaving_NextOneTells) {
  const VmHandle reader = this->FirstReader();
  this->rows.at(reader.index).state = VmState::kSuspected;
  this->Plan();
  CHECK(this->FirstReader() != reader);
  CHECK_FALSE(this->plans.at(reader.index).is_relay);
}

// The VMs of a small fleet in three data centres: two of each tell.
TEST(PropagationPlan, SmallFleet_AllHear) {
  this->rows = MakeVmRows(14, 3);
  this->Plan();
  CHECK_EQUAL(13, this->Spread(this->FirstReader()).heard.size());
}

// Simulated starts of whole fleets: partial VM lists in any order, helpers that
// die, and a platform that refuses some VMs.

#include <algorithm>
#include <map>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include <pcg_random.hpp>

#include "basilsill/decision/announcement.h"
#include "basilsill/decision/group_append.h"
#include "basilsill/decision/membership.h"
#include "basilsill/decision/propagation_plan.h"
#include "basilsill/decision/start_plan.h"
#include "basilsill/decision/state_send_budget.h"
#include "vm_rows.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::Announcement;
using basilsill::AnnouncementStep;
using basilsill::AnnouncementStepKind;
using basilsill::AppendRequest;
using basilsill::Duration;
using basilsill::GroupAppend;
using basilsill::KeyedRecord;
using basilsill::TimePoint;
using basilsill::VmHandle;
using basilsill::VmRow;
using basilsill::test::kSmallCapacity;
using basilsill::test::MakeVmRows;

namespace {

constexpr uint32_t kFleet = 300;
constexpr uint32_t kDataCentres = 5;

// Links that a VM keeps for its own needs, plus one with each VM of its data
// centre. The number of links of a small VM must not grow with the fleet.
const size_t kMaxLinks =
    basilsill::MembershipOptions().max_peers + kFleet / kDataCentres;

/// @returns the number of links that each VM opens and accepts when VMs start
/// one after the other in `order` and each knows a part of the VMs before it.
std::vector<size_t> CountLinks(const std::vector<uint32_t>& order,
                               pcg32& random,
                               uint32_t known_percent) {
  const std::vector<VmRow> all = MakeVmRows(kFleet, kDataCentres);
  std::vector<VmRow> known(kFleet);
  std::vector<size_t> links(kFleet, 0);
  for (const uint32_t index : order) {
    std::vector<VmRow> list(kFleet);
    for (const VmRow& row : known) {
      if (IsValid(row.handle) && random(100) < known_percent) {
        list[row.handle.index] = row;
      }
    }
    const VmHandle self = all[index].handle;
    list[index] = all[index];
    known[index] = all[index];
    std::vector<VmHandle> opened = StartupPeers(list, self);
    for (const VmHandle vm : PlanPropagation(list, self).links) {
      opened.push_back(vm);
    }
    std::sort(opened.begin(), opened.end());
    opened.erase(std::unique(opened.begin(), opened.end()), opened.end());
    links[index] += opened.size();
    for (const VmHandle vm : opened) {
      ++links[vm.index];
    }
  }
  return links;
}

}  // namespace

TEST_GROUP(StartLinks){};

// Failure: a small VM starts before the larger ones and is first on the VM
// lists of the next ones, so that all of them open a link to it and request the
// state from it.
TEST(StartLinks, StartHelpers_PartialListsInAnyOrder_SmallVmsHaveFewLinks) {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    pcg32 random(seed);
    std::vector<uint32_t> order(kFleet);
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), random);
    const uint32_t known_percent = 30 + random(71);
    const std::vector<size_t> links = CountLinks(order, random, known_percent);
    const std::vector<VmRow> rows = MakeVmRows(kFleet, kDataCentres);
    size_t most = 0;
    for (uint32_t i = 0; i < kFleet; ++i) {
      if (rows[i].capacity == kSmallCapacity) {
        most = std::max(most, links[i]);
      }
    }
    CHECK(most <= kMaxLinks);
  }
}

namespace {

constexpr Duration kStep = 1ms;
constexpr Duration kAppendTime = 4ms;

/// A platform that handles one append at a time, and VMs that announce
/// themselves to it, each knowing some of the others.
class AnnouncingFleet {
 public:
  AnnouncingFleet(uint64_t seed, size_t vms) : random(seed), nodes(vms) {
    for (size_t i = 0; i < vms; ++i) {
      this->Start(i);
    }
  }

  void Run(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += kStep;
      this->EndCalls();
      for (size_t i = 0; i < this->nodes.size(); ++i) {
        this->Step(i);
      }
    }
  }

  /// Starts or restarts process `i` with a new entry.
  void Start(size_t i) {
    Node& node = this->nodes[i];
    node = Node{};
    node.entry = "entry-" + std::to_string(++this->entry_count);
    node.starts_at = this->now + std::chrono::milliseconds(this->random(300));
    node.refused = this->refuses && this->random(3) == 0;
  }

  void Kill(size_t i) { this->nodes[i].alive = false; }

  /// Lets every VM read the platform's list.
  void ReadLists() {
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      const auto listed = this->store.find(NameOf(i));
      if (this->nodes[i].alive && listed != this->store.end()) {
        this->nodes[i].announcement.OnListed(
            this->now, listed->second == this->nodes[i].entry);
      }
    }
  }

  size_t CountListedCorrectly() const {
    size_t correct = 0;
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      const auto listed = this->store.find(NameOf(i));
      correct +=
          listed != this->store.end() && listed->second == this->nodes[i].entry;
    }
    return correct;
  }

  pcg32 random;
  TimePoint now{100s};
  size_t calls = 0;
  bool refuses = false;
  bool loses_answers = false;

 private:
  struct Node {
    bool alive = true;
    bool begun = false;
    bool refused = false;
    std::string entry;
    TimePoint starts_at{};
    Announcement announcement;
    GroupAppend group;
  };

  struct Call {
    size_t by = 0;
    TimePoint ends{};
    std::string by_entry;
    bool answered = true;
    std::vector<KeyedRecord> records;
  };

  static std::string NameOf(size_t i) { return "vm-" + std::to_string(i); }

  static VmHandle HandleOf(size_t i) { return {static_cast<uint32_t>(i), 0}; }

  bool IsUp(size_t i) const {
    return this->nodes[i].alive && this->nodes[i].begun;
  }

  // Each VM knows at most two of the listed VMs.
  void Begin(size_t i) {
    Node& node = this->nodes[i];
    node.begun = true;
    size_t known = 0;
    for (size_t other = 0; other < this->nodes.size() && known < 2; ++other) {
      const bool listed = this->store.contains(NameOf(other)) && other != i;
      if (listed && this->IsUp(other) && this->random(2) == 0) {
        node.announcement.OnLinked(HandleOf(other));
        ++known;
      }
    }
    node.announcement.Begin(this->now, known > 0, this->random());
  }

  void Step(size_t i) {
    Node& node = this->nodes[i];
    if (!node.alive || this->now < node.starts_at) {
      return;
    }
    if (!node.begun) {
      this->Begin(i);
    }
    const AnnouncementStep step = node.announcement.Next(this->now);
    const KeyedRecord own{NameOf(i), node.entry, {}, false};
    if (step.kind == AnnouncementStepKind::kRequestWrite) {
      Node& helper = this->nodes[step.helper.index];
      if (this->IsUp(step.helper.index)) {
        helper.group.Add(this->now, {HandleOf(i), step.number, own});
      }
    } else if (step.kind == AnnouncementStepKind::kWriteDirectly) {
      node.group.Add(this->now, {VmHandle{}, 0, own});
    }
    if (node.group.due() <= this->now) {
      this->BeginCall(i);
    }
  }

  void BeginCall(size_t i) {
    Node& node = this->nodes[i];
    ++this->calls;
    this->free_at = std::max(this->free_at, this->now) + kAppendTime;
    Call call{i, this->free_at, node.entry, true, node.group.Begin()};
    call.answered = !this->loses_answers || this->random(4) != 0;
    if (node.refused) {
      call.records.clear();
      call.ends = this->now + kAppendTime;
    }
    this->in_flight.push_back(std::move(call));
  }

  void EndCalls() {
    std::vector<Call> ended;
    std::erase_if(this->in_flight, [&](const Call& call) {
      if (call.ends <= this->now) {
        ended.push_back(call);
        return true;
      }
      return false;
    });
    for (const Call& call : ended) {
      for (const KeyedRecord& record : call.records) {
        this->store[record.key] = record.value;
      }
      this->Answer(call);
    }
  }

  void Answer(const Call& call) {
    Node& node = this->nodes[call.by];
    // The answer to a call of a dead process is dropped.
    if (!node.alive || node.entry != call.by_entry) {
      return;
    }
    const bool written = !call.records.empty() && call.answered;
    for (const AppendRequest& request : node.group.End()) {
      if (!IsValid(request.from)) {
        node.announcement.OnDirectWriteDone(this->now, written);
      } else if (this->IsUp(request.from.index)) {
        this->nodes[request.from.index].announcement.OnHelperAnswer(
            this->now, HandleOf(call.by), request.number, written);
      }
    }
  }

  std::vector<Node> nodes;
  std::map<std::string, std::string> store;
  std::vector<Call> in_flight;
  TimePoint free_at{};
  size_t entry_count = 0;
};

}  // namespace

TEST_GROUP(StartAnnouncements){};

// Failure: a fleet of 300 VMs is set up. If each made a call of its own, the
// last would be listed after more than a second.
TEST(StartAnnouncements, Start_LargeFleet_ListsAllWithFewCalls) {
  AnnouncingFleet fleet(1, kFleet);
  fleet.Run(1s);
  CHECK_EQUAL(kFleet, fleet.CountListedCorrectly());
  CHECK(fleet.calls <= kFleet / 2);
}

// Failure: processes are killed while they announce others, and restart with
// another entry; the platform refuses a third of the VMs and loses answers.
// Late entries of dead processes arrive after those of their successors.
TEST(StartAnnouncements, RandomFaults_ManySchedules_ListMatchesLiveVms) {
  constexpr size_t vms = 30;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    AnnouncingFleet fleet(seed, vms);
    fleet.refuses = seed % 2 == 0;
    fleet.loses_answers = seed % 3 == 0;
    for (int round = 0; round < 20; ++round) {
      fleet.Run(50ms);
      const size_t killed = fleet.random(vms);
      fleet.Kill(killed);
      fleet.Start(killed);
    }
    fleet.refuses = false;
    fleet.loses_answers = false;
    for (size_t i = 0; i < vms; ++i) {
      fleet.Run(10ms);
    }
    // Refused VMs find a helper that is not refused, or try again.
    for (int round = 0; round < 10; ++round) {
      fleet.Run(1s);
      fleet.ReadLists();
    }
    fleet.Run(2s);
    CHECK(fleet.CountListedCorrectly() + vms / 3 >= vms);
    if (seed % 2 != 0) {
      CHECK_EQUAL(vms, fleet.CountListedCorrectly());
    }
  }
}

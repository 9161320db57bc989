// Starts of whole fleets without a network: lists of VMs that arrive in any
// order and in parts, helpers that die, a platform that turns some away.

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

// Links that a VM keeps for own needs, and one with each VM of its data centre:
// a small VM that all of a fleet of any size link with is what must not be.
const size_t kMaxLinks =
    basilsill::MembershipOptions().max_peers + kFleet / kDataCentres;

/// Links that each VM opens and takes, when VM after VM starts in `order` and
/// each knows a part of those before it.
std::vector<size_t> CountLinks(const std::vector<uint32_t>& order,
                               pcg32& random,
                               uint32_t known_of_hundred) {
  const std::vector<VmRow> all = MakeVmRows(kFleet, kDataCentres);
  std::vector<VmRow> known(kFleet);
  std::vector<size_t> links(kFleet, 0);
  for (const uint32_t index : order) {
    std::vector<VmRow> list(kFleet);
    for (const VmRow& row : known) {
      if (IsValid(row.handle) && random(100) < known_of_hundred) {
        list[row.handle.index] = row;
      }
    }
    const VmHandle self = all[index].handle;
    list[index] = all[index];
    known[index] = all[index];
    std::vector<VmHandle> opened = StartHelpers(list, self);
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

// A small VM starts before the larger ones, stands first on the lists of those
// that come next, and all of them link with it and ask it.
TEST(StartLinks, ListsInAnyOrderAndInParts_SmallVmsKeepFewLinks) {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    pcg32 random(seed);
    std::vector<uint32_t> order(kFleet);
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), random);
    const uint32_t known_of_hundred = 30 + random(71);
    const std::vector<size_t> links =
        CountLinks(order, random, known_of_hundred);
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

/// A platform that takes one append after the other, and VMs that announce
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

  /// Process `i` starts, or again, with another word than before.
  void Start(size_t i) {
    Node& node = this->nodes[i];
    node = Node{};
    node.word = "word-" + std::to_string(++this->words);
    node.starts_at = this->now + std::chrono::milliseconds(this->random(300));
    node.refused = this->refuses && this->random(3) == 0;
  }

  void Kill(size_t i) { this->nodes[i].alive = false; }

  /// What was read back from the platform's list.
  void ReadLists() {
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      const auto listed = this->store.find(NameOf(i));
      if (this->nodes[i].alive && listed != this->store.end()) {
        this->nodes[i].announcement.OnListed(
            this->now, listed->second == this->nodes[i].word);
      }
    }
  }

  size_t CountRight() const {
    size_t right = 0;
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      const auto listed = this->store.find(NameOf(i));
      right +=
          listed != this->store.end() && listed->second == this->nodes[i].word;
    }
    return right;
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
    std::string word;
    TimePoint starts_at{};
    Announcement announcement;
    GroupAppend group;
  };

  struct Call {
    size_t by = 0;
    TimePoint ends{};
    std::string by_word;
    bool answered = true;
    std::vector<KeyedRecord> records;
  };

  static std::string NameOf(size_t i) { return "vm-" + std::to_string(i); }

  static VmHandle HandleOf(size_t i) { return {static_cast<uint32_t>(i), 0}; }

  bool IsUp(size_t i) const {
    return this->nodes[i].alive && this->nodes[i].begun;
  }

  // Those that are listed are known, but not all of them.
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
    const KeyedRecord own{NameOf(i), node.word, 0, false};
    if (step.kind == AnnouncementStepKind::kAskHelper) {
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
    Call call{i, this->free_at, node.word, true, node.group.Begin()};
    call.answered = !this->loses_answers || this->random(4) != 0;
    if (node.refused) {
      call.records.clear();
      call.ends = this->now + kAppendTime;
    }
    this->on_the_way.push_back(std::move(call));
  }

  void EndCalls() {
    std::vector<Call> ended;
    std::erase_if(this->on_the_way, [&](const Call& call) {
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
    // A call of a process that is gone is answered to nobody.
    if (!node.alive || node.word != call.by_word) {
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
  std::vector<Call> on_the_way;
  TimePoint free_at{};
  size_t words = 0;
};

}  // namespace

TEST_GROUP(StartAnnouncements){};

// A fleet of 300 is set up. Alone, each would make a call, and the last would
// be known after more than a second.
TEST(StartAnnouncements, LargeFleetStarts_AllListedByFewCalls) {
  AnnouncingFleet fleet(1, kFleet);
  fleet.Run(1s);
  CHECK_EQUAL(kFleet, fleet.CountRight());
  CHECK(fleet.calls <= kFleet / 2);
}

// Processes are killed while they announce others and start again with other
// words, the platform turns a third of the VMs away and loses answers. Late
// words of processes that are gone come after those of the next ones.
TEST(StartAnnouncements, RandomHistories_EachLiveVmStandsAsItSays) {
  constexpr size_t vms = 30;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    AnnouncingFleet fleet(seed, vms);
    fleet.refuses = seed % 2 == 0;
    fleet.loses_answers = seed % 3 == 0;
    for (int round = 0; round < 20; ++round) {
      fleet.Run(50ms);
      const size_t struck = fleet.random(vms);
      fleet.Kill(struck);
      fleet.Start(struck);
    }
    fleet.refuses = false;
    fleet.loses_answers = false;
    for (size_t i = 0; i < vms; ++i) {
      fleet.Run(10ms);
    }
    // Those that were turned away find one who is not, or start anew.
    for (int round = 0; round < 10; ++round) {
      fleet.Run(1s);
      fleet.ReadLists();
    }
    fleet.Run(2s);
    CHECK(fleet.CountRight() + vms / 3 >= vms);
    if (seed % 2 != 0) {
      CHECK_EQUAL(vms, fleet.CountRight());
    }
  }
}

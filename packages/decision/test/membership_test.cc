// Tests of Membership: a lagging VM list combined with own observations,
// incarnations, suspicion and damping, and random schedules of restarts and
// message loss.

#include "basilsill/decision/membership.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include <pcg_random.hpp>

#include "model_log.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace basilsill;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = test::VirtualTime::kStart;

VmHello HelloOf(const std::string& name, uint64_t incarnation) {
  return {name, "lyulin", incarnation, {"127.0.0.1", 1}, {}, false};
}

ListedVm ListedOf(const std::string& name, bool leaving = false) {
  return {name, "lyulin", {"127.0.0.1", 1}, leaving};
}

const VmRow* RowNamed(const Membership& members, const std::string& name) {
  const auto found =
      std::find_if(members.rows().begin(), members.rows().end(),
                   [&name](const VmRow& row) { return row.name == name; });
  return found == members.rows().end() ? nullptr : &*found;
}

size_t CountActions(const Membership& members, MembershipActionKind kind) {
  return static_cast<size_t>(std::count_if(
      members.actions().begin(), members.actions().end(),
      [kind](const MembershipAction& action) { return action.kind == kind; }));
}

bool HasEvent(const Membership& members, Event event) {
  return std::any_of(members.actions().begin(), members.actions().end(),
                     [event](const MembershipAction& action) {
                       return action.kind == MembershipActionKind::kEvent &&
                              action.event == event;
                     });
}

}  // namespace

TEST_GROUP(Membership) {
  TimePoint now = kStart;
  std::unique_ptr<Membership> members;

  void setup() override {
    MembershipOptions options;
    options.self = HelloOf("self", 1);
    options.max_peers = 2;
    this->members = Membership::Create(this->now, options);
    this->members->OnVmList(this->now, 5,
                            {ListedOf("self"), ListedOf("a"), ListedOf("b")});
  }

  VmState StateOf(const std::string& name) const {
    const VmRow* row = RowNamed(*this->members, name);
    return row == nullptr ? VmState::kCount : row->state;
  }

  VmHandle Connect(const std::string& name, uint64_t incarnation) {
    const HelloResult result =
        this->members->OnHello(this->now, HelloOf(name, incarnation));
    CHECK(result.verdict == HelloVerdict::kAccepted);
    return result.vm;
  }

  void Need(VmHandle vm) {
    this->members->SetNeeds(this->now, {{vm, PeerUse::kShard}});
  }

  /// Advances time in ticks; `vm` answers heartbeats if `answers`.
  void AdvanceWithHeartbeats(Duration span, VmHandle vm, bool answers) {
    const TimePoint end = this->now + span;
    while (this->now < end) {
      this->now += milliseconds(100);
      this->members->ClearActions();
      this->members->Tick(this->now);
      const bool heartbeat_sent =
          CountActions(*this->members, MembershipActionKind::kHeartbeat) > 0;
      if (answers && heartbeat_sent) {
        this->members->OnMessageReceived(this->now, vm, 7);
      }
    }
  }
};

// The reports of one control tick are used together.
TEST(Membership, Vm_ReportsUnreachableDataCentre_ForgottenAfterRestart) {
  const VmHandle vm = this->Connect("a", 10);
  const DataCentreHandle lost = this->members->InternDataCentre("druzhba");
  this->members->OnReach(this->now, vm, 9, {{lost}, {}});
  this->members->UpdateReach(this->now + limits::kControlTick);
  CHECK(Reaches(*RowNamed(*this->members, "a"), lost));
  this->members->OnReach(this->now, vm, 10, {{lost}, {}});
  this->members->UpdateReach(this->now + limits::kControlTick);
  CHECK_FALSE(Reaches(*RowNamed(*this->members, "a"), lost));
  this->Connect("a", 11);
  CHECK(Reaches(*RowNamed(*this->members, "a"), lost));
}

TEST(Membership, MakeIncarnation_LaterOrSameMillisecond_IsDistinct) {
  const WallTime then{hours(480'000)};
  CHECK(MakeIncarnation(then, 1) != MakeIncarnation(then, 2));
  CHECK(MakeIncarnation(then, UINT64_MAX) <
        MakeIncarnation(then + milliseconds(1), 0));
}

TEST(Membership, OnVmList_OlderVersion_IsIgnored) {
  this->members->OnVmList(this->now, 4, {ListedOf("self"), ListedOf("ghost")});
  CHECK(RowNamed(*this->members, "ghost") == nullptr);
  CHECK_EQUAL(3, this->members->LiveCount());
}

// Failure: the platform returns an empty list for a moment. VMs from which
// messages arrive must stay in the routing view; those without messages are
// removed.
TEST(Membership, OnVmList_ActiveVmMissing_StaysUntilSilent) {
  const VmHandle a = this->Connect("a", 7);
  this->Need(a);
  this->members->OnVmList(this->now, 6, {});
  CHECK(this->StateOf("a") == VmState::kLive);
  CHECK(RowNamed(*this->members, "b") == nullptr);
  this->AdvanceWithHeartbeats(seconds(120), a, true);
  CHECK(this->StateOf("a") == VmState::kLive);
  this->AdvanceWithHeartbeats(seconds(61), a, false);
  CHECK(RowNamed(*this->members, "a") == nullptr);
}

// Failure: a node restarts under the same address. A message of the old
// process, and its hello over a link that was slow to open, arrive after the
// hello of the new process; both must have no effect.
TEST(Membership, OnHello_NodeRestarted_OldIncarnationHasNoEffect) {
  const VmHandle a = this->Connect("a", 7);
  CHECK(this->Connect("a", 8) == a);
  CHECK_FALSE(this->members->OnMessageReceived(this->now, a, 7));
  this->members->OnLeaving(this->now, a, 7);
  this->members->OnLinkLost(this->now, a, 7);
  CHECK(this->StateOf("a") == VmState::kLive);
  CHECK(this->members->OnHello(this->now, HelloOf("a", 7)).verdict ==
        HelloVerdict::kSuperseded);
  CHECK_EQUAL(8, RowNamed(*this->members, "a")->incarnation);
  this->members->OnLinkLost(this->now, a, 8);
  CHECK(this->members->OnHello(this->now, HelloOf("a", 7)).verdict ==
        HelloVerdict::kSuperseded);
}

// Failure: a VM restarts with its clock set back, so that its incarnation is
// lower than that of the previous process, which crashed. It must be able to
// join.
TEST(Membership, OnHello_LowerIncarnationAfterLinkLoss_IsAccepted) {
  const VmHandle a = this->Connect("a", 7);
  CHECK(this->members->OnHello(this->now, HelloOf("a", 3)).verdict ==
        HelloVerdict::kSuperseded);
  this->members->OnLinkLost(this->now, a, 7);
  CHECK(this->Connect("a", 3) == a);
}

// The list shows the VM as live while the VM announced its leaving, or the
// reverse: it must get no new work. Its next incarnation does not inherit the
// state.
TEST(Membership, State_ListAndVmDisagree_IsLeaving) {
  const VmHandle a = this->Connect("a", 7);
  this->members->OnLeaving(this->now, a, 7);
  CHECK(this->StateOf("a") == VmState::kLeaving);
  this->Connect("a", 8);
  CHECK(this->StateOf("a") == VmState::kLive);
  this->members->OnVmList(this->now, 6, {ListedOf("a", true)});
  CHECK(this->StateOf("a") == VmState::kLeaving);
}

// Failure: a peer's host vanishes without closing its connections, and requests
// would still be sent there. After some silence the peer must be suspected, and
// the link reopened until the peer answers.
TEST(Membership, Tick_NeededPeerSilent_SuspectedThenTrustedOnHello) {
  const VmHandle a = this->Connect("a", 7);
  this->Need(a);
  this->AdvanceWithHeartbeats(seconds(10), a, true);
  CHECK(this->StateOf("a") == VmState::kLive);
  constexpr int suspected_by = 39;  // 3.9 s
  size_t drops = 0;
  size_t opens = 0;
  for (int i = 1; i <= suspected_by + 100; ++i) {
    this->AdvanceWithHeartbeats(milliseconds(100), a, false);
    drops += CountActions(*this->members, MembershipActionKind::kDropLink);
    opens += CountActions(*this->members, MembershipActionKind::kOpenLink);
    if (i == suspected_by) {
      CHECK(this->StateOf("a") == VmState::kSuspected);
      this->members->SetNeeds(this->now, {});  // It no longer owns any shard.
    }
  }
  CHECK_EQUAL(1, drops);
  CHECK_EQUAL(1, opens);
  this->Connect("a", 7);
  CHECK(this->StateOf("a") == VmState::kLive);
}

// Failure: a link goes silent for good while its peer works. It is kept for
// four times as long as it takes to suspect the peer, and updates between the
// two are lost meanwhile.
TEST(Membership, Tick_LinkSilent_OpenedAgainOncePeerIsSuspected) {
  const VmHandle a = this->Connect("a", 7);
  this->Need(a);
  size_t opens = 0;
  for (int i = 0; i < 35; ++i) {
    this->AdvanceWithHeartbeats(milliseconds(100), a, false);
    opens += CountActions(*this->members, MembershipActionKind::kOpenLink);
  }
  CHECK(this->StateOf("a") == VmState::kSuspected);
  CHECK_EQUAL(1, opens);
}

TEST(Membership, Tick_PeerNotNeeded_NoHeartbeatAndNoLink) {
  const VmHandle a = this->Connect("a", 7);
  for (int i = 0; i < 50; ++i) {
    this->AdvanceWithHeartbeats(seconds(1), a, false);
    CHECK_EQUAL(0, this->members->actions().size());
  }
  CHECK(this->StateOf("a") == VmState::kLive);
}

// Failure: a link breaks every two seconds and works in between, so that shards
// move back and forth. The peer must stay suspected for an increasing time,
// until the link is stable.
TEST(Membership, OnLinkLost_FlappingLink_IsDamped) {
  const VmHandle a = this->Connect("a", 7);
  this->Need(a);
  size_t suspicion_count = 0;
  for (int i = 0; i < 60; ++i) {
    this->AdvanceWithHeartbeats(seconds(2), a, true);
    this->members->OnLinkLost(this->now, a, 7);
    suspicion_count += HasEvent(*this->members, Event::kVmSuspected) ? 1 : 0;
    this->Connect("a", 7);
  }
  CHECK(suspicion_count < 20);
  CHECK(this->StateOf("a") == VmState::kSuspected);
  this->AdvanceWithHeartbeats(seconds(61), a, true);
  CHECK(this->StateOf("a") == VmState::kLive);
}

TEST(Membership, SetNeeds_MoreThanBound_KeepsMostImportant) {
  const VmHandle a = RowNamed(*this->members, "a")->handle;
  const VmHandle b = RowNamed(*this->members, "b")->handle;
  this->members->OnVmList(this->now, 6,
                          {ListedOf("a"), ListedOf("b"), ListedOf("c")});
  const VmHandle c = RowNamed(*this->members, "c")->handle;
  this->members->ClearActions();
  this->members->SetNeeds(this->now, {{c, PeerUse::kDataCentre},
                                      {b, PeerUse::kPartition},
                                      {a, PeerUse::kShard}});
  this->members->Tick(this->now);
  CHECK_EQUAL(2, CountActions(*this->members, MembershipActionKind::kOpenLink));
  CHECK(this->members->actions()[0].vm == a);
  CHECK(this->members->actions()[1].vm == b);
}

TEST(Membership, OnOpenFailed_Repeatedly_BacksOff) {
  const VmHandle a = RowNamed(*this->members, "a")->handle;
  this->Need(a);
  size_t opens = 0;
  for (int i = 0; i < 600; ++i) {
    this->AdvanceWithHeartbeats(milliseconds(100), a, false);
    if (CountActions(*this->members, MembershipActionKind::kOpenLink) > 0) {
      ++opens;
      this->members->OnOpenFailed(this->now, a);
    }
  }
  CHECK(this->StateOf("a") == VmState::kSuspected);
  CHECK(opens >= 6);
  CHECK(opens <= 15);
}

TEST(Membership, Tick_PlatformSilent_ListBecomesStaleOnce) {
  this->AdvanceWithHeartbeats(seconds(59), {}, false);
  CHECK_FALSE(this->members->IsListStale());
  this->AdvanceWithHeartbeats(seconds(1), {}, false);
  CHECK(HasEvent(*this->members, Event::kVmListStale));
  this->members->OnVmList(this->now, 5, {});
  CHECK_FALSE(this->members->IsListStale());
}

TEST(Membership, Self_ListedAsLeavingOrLeaving_IsReported) {
  this->members->OnVmList(this->now, 6, {ListedOf("self", true)});
  CHECK(this->members->SelfListedLeaving());
  CHECK(this->StateOf("self") == VmState::kLive);
  this->members->Leave(this->now);
  CHECK(this->StateOf("self") == VmState::kLeaving);
}

namespace {

constexpr size_t kFleet = 5;
constexpr uint64_t kSchedules = 200;

/// A simulated fleet whose VMs restart, whose links break and whose list lags.
class Fleet {
 public:
  explicit Fleet(uint64_t seed) : random(seed) {
    for (size_t i = 0; i < kFleet; ++i) {
      this->StartVm(i);
    }
  }

  void RunFaults(Duration span) {
    for (const TimePoint end = this->now + span; this->now < end;) {
      this->Step(true);
    }
  }

  void RunWithoutFaults(Duration span) {
    for (const TimePoint end = this->now + span; this->now < end;) {
      this->Step(false);
    }
  }

  /// @returns true if every VM has the right state and incarnation of every
  /// other.
  bool HasConverged() const {
    for (const Vm& vm : this->vms) {
      for (size_t i = 0; i < kFleet; ++i) {
        const VmRow* row = RowNamed(*vm.members, NameOf(i));
        if (row == nullptr || row->state != VmState::kLive ||
            row->incarnation != this->vms[i].incarnation) {
          return false;
        }
      }
    }
    return true;
  }

  bool HasRevivedIncarnation() const { return this->revived; }

 private:
  struct Vm {
    std::unique_ptr<Membership> members;
    uint64_t incarnation = 0;
    std::map<std::string, std::set<uint64_t>> seen;
    std::map<std::string, uint64_t> current;
  };

  static std::string NameOf(size_t index) {
    return "vm" + std::to_string(index);
  }

  void StartVm(size_t index) {
    Vm vm;
    // Some clocks are set back: incarnations are distinct but not ascending.
    vm.incarnation =
        this->random(4) == 0 ? 500'000 - this->starts : 500'000 + this->starts;
    ++this->starts;
    MembershipOptions options;
    options.self = HelloOf(NameOf(index), vm.incarnation);
    options.max_vms = kFleet;
    vm.members = Membership::Create(this->now, options);
    this->vms[index] = std::move(vm);
  }

  void Step(bool faults) {
    this->now += milliseconds(100);
    if (faults && this->random(100) == 0) {
      this->StartVm(this->random(kFleet));
    }
    for (size_t i = 0; i < kFleet; ++i) {
      this->StepVm(i, faults);
    }
  }

  void StepVm(size_t index, bool faults) {
    Membership& members = *this->vms[index].members;
    if (this->random(20) == 0) {
      this->ReadList(members, faults);
    }
    std::vector<PeerNeed> needs;
    for (const VmRow& row : members.rows()) {
      if (row.state == VmState::kLive) {
        needs.push_back({row.handle, PeerUse::kShard});
      }
    }
    members.SetNeeds(this->now, needs);
    members.Tick(this->now);
    const std::vector<MembershipAction> actions = members.actions();
    members.ClearActions();
    for (const MembershipAction& action : actions) {
      const bool lost = faults && this->random(4) == 0;
      const size_t other = this->IndexOf(action.name);
      if (action.kind == MembershipActionKind::kOpenLink) {
        this->Open(index, other, lost);
      } else if (action.kind == MembershipActionKind::kHeartbeat) {
        this->AnswerHeartbeat(index, other, action, lost);
      }
    }
    this->CheckIncarnations(index);
  }

  size_t IndexOf(const std::string& name) const {
    return static_cast<size_t>(name.back() - '0');
  }

  void ReadList(Membership& members, bool faults) {
    std::vector<ListedVm> list;
    for (size_t i = 0; i < kFleet; ++i) {
      if (!faults || this->random(10) != 0) {
        list.push_back(ListedOf(NameOf(i), faults && this->random(30) == 0));
      }
    }
    members.OnVmList(this->now, ++this->version, list);
  }

  void Open(size_t from, size_t to, bool lost) {
    Membership& opener = *this->vms[from].members;
    if (lost) {
      opener.OnOpenFailed(this->now, RowNamed(opener, NameOf(to))->handle);
      return;
    }
    opener.OnHello(this->now, HelloOf(NameOf(to), this->vms[to].incarnation));
    this->vms[to].members->OnHello(
        this->now, HelloOf(NameOf(from), this->vms[from].incarnation));
  }

  void AnswerHeartbeat(size_t from,
                       size_t to,
                       const MembershipAction& action,
                       bool lost) {
    Membership& sender = *this->vms[from].members;
    if (action.incarnation != this->vms[to].incarnation) {
      sender.OnLinkLost(this->now, action.vm, action.incarnation);
    } else if (!lost) {
      sender.OnMessageReceived(this->now, action.vm, action.incarnation);
    }
  }

  void CheckIncarnations(size_t index) {
    Vm& vm = this->vms[index];
    for (const VmRow& row : vm.members->rows()) {
      uint64_t& current = vm.current[row.name];
      if (row.incarnation != current) {
        current = row.incarnation;
        const bool fresh = vm.seen[row.name].insert(row.incarnation).second;
        this->revived |= !fresh && row.incarnation != 0;
      }
    }
  }

  pcg32 random;
  TimePoint now = kStart;
  Vm vms[kFleet];
  uint64_t starts = 0;
  uint64_t version = 0;
  bool revived = false;
};

}  // namespace

// Failure: VMs restart repeatedly, some with their clock set back; links fail
// to open, heartbeats are lost, and the list omits VMs or shows them as
// leaving. No VM may take a superseded incarnation for the current one, and
// after the faults end all views must agree.
TEST(Membership, RandomFaults_ManySchedules_ViewsConverge) {
  for (uint64_t seed = 1; seed <= kSchedules; ++seed) {
    Fleet fleet(seed);
    fleet.RunFaults(seconds(120));
    CHECK_FALSE(fleet.HasRevivedIncarnation());
    fleet.RunWithoutFaults(seconds(150));
    const std::string context = "seed " + std::to_string(seed);
    CHECK_TEXT(fleet.HasConverged(), context.c_str());
  }
}

#include "basilsill/decision/membership.h"

#include <algorithm>
#include <utility>

#include "membership_table.h"

namespace basilsill {
namespace {

/// Number of superseded incarnations remembered for a VM. More restarts than
/// this while messages of the first incarnation are still in flight do not
/// occur.
constexpr size_t kMaxSuperseded = 8;

constexpr int kIncarnationRandomBits = 20;

VmState StateOf(const Member& member) {
  if (member.IsLeaving()) {
    return VmState::kLeaving;
  }
  return member.trust.IsSuspected() ? VmState::kSuspected : VmState::kLive;
}

VmRow RowOf(VmHandle vm, const Member& member) {
  VmRow row;
  row.handle = vm;
  row.name = member.name;
  row.incarnation = member.incarnation;
  row.data_centre = member.data_centre;
  row.control = member.control;
  row.capacity = member.capacity;
  row.workers = member.workers;
  row.state = StateOf(member);
  return row;
}

bool IsSameRow(const VmRow& a, const VmRow& b) {
  return a.handle == b.handle && a.name == b.name &&
         a.incarnation == b.incarnation && a.data_centre == b.data_centre &&
         a.control == b.control && a.workers == b.workers &&
         a.state == b.state && a.capacity == b.capacity &&
         a.unreachable == b.unreachable;
}

}  // namespace

uint64_t MakeIncarnation(WallTime now, uint64_t random) {
  const auto elapsed = static_cast<uint64_t>(now.time_since_epoch().count());
  constexpr uint64_t mask = (uint64_t{1} << kIncarnationRandomBits) - 1;
  return (elapsed << kIncarnationRandomBits) | (random & mask);
}

std::unique_ptr<Membership> Membership::Create(
    TimePoint now,
    const MembershipOptions& options) {
  return std::make_unique<MembershipTable>(now, options);
}

MembershipTable::MembershipTable(TimePoint now,
                                 const MembershipOptions& options)
    : options(options), members(options.max_vms), list_at(now) {
  this->own = this->FindOrAdd(options.self.name);
  this->Adopt(*this->members.Find(this->own), options.self);
  this->UpdateRow(this->own);
  this->ClearActions();
}

VmHandle MembershipTable::FindOrAdd(std::string_view name) {
  const auto known = this->by_name.find(std::string(name));
  if (known != this->by_name.end()) {
    return known->second;
  }
  Member member;
  member.name = name;
  const VmHandle vm = this->members.Create(std::move(member));
  if (IsValid(vm)) {
    this->by_name.emplace(name, vm);
    this->AddAction(MembershipActionKind::kEvent, vm, Event::kVmJoined);
  }
  return vm;
}

void MembershipTable::OnVmList(TimePoint now,
                               uint64_t version,
                               const std::vector<ListedVm>& vms) {
  this->list_at = now;
  this->list_stale = false;
  // Failure: an answer of a lagging replica arrives after a newer one. Its
  // version is lower; applying it would bring back VMs that have left.
  if (version < this->list_version) {
    return;
  }
  this->list_version = version;
  this->members.ForEach([](VmHandle, Member& member) {
    member.listed = false;
    member.listed_leaving = false;
  });
  for (const ListedVm& entry : vms) {
    const VmHandle vm = this->FindOrAdd(entry.name);
    Member* member = this->members.Find(vm);
    if (member == nullptr) {
      continue;
    }
    member->listed = true;
    if (vm == this->own) {
      this->self_leaving = entry.leaving;
      continue;
    }
    member->listed_leaving = entry.leaving;
    if (member->incarnation == 0) {
      member->data_centre = this->InternDataCentre(entry.data_centre);
      member->control = entry.control;
      member->capacity = entry.capacity;
    }
  }
  this->members.ForEach([this](VmHandle vm, Member&) { this->UpdateRow(vm); });
  this->DropUnlisted(now);
}

HelloResult MembershipTable::OnHello(TimePoint now, const VmHello& hello) {
  if (hello.name == this->options.self.name) {
    return {HelloVerdict::kOwnName, this->own};
  }
  const VmHandle vm = this->FindOrAdd(hello.name);
  Member* member = this->members.Find(vm);
  if (member == nullptr) {
    return {HelloVerdict::kTableFull, {}};
  }
  if (this->IsSuperseded(now, *member, hello.incarnation)) {
    return {HelloVerdict::kSuperseded, vm};
  }
  this->Adopt(*member, hello);
  member->link = PeerLink::kUp;
  member->backoff = Duration::zero();
  this->OnMessageReceived(now, vm, hello.incarnation);
  this->UpdateRow(vm);
  return {HelloVerdict::kAccepted, vm};
}

bool MembershipTable::IsSuperseded(TimePoint now,
                                   const Member& member,
                                   uint64_t other) const {
  if (other == member.incarnation) {
    return false;
  }
  if (std::find(member.superseded.begin(), member.superseded.end(), other) !=
      member.superseded.end()) {
    return true;
  }
  // Failure: a VM restarts while its clock runs backwards, so that the new
  // incarnation has the lower number. If it were rejected by its number alone,
  // it could never join; so it is rejected only while the known incarnation
  // shows signs of life.
  const bool known_runs =
      member.link == PeerLink::kUp &&
      now - member.last_message_at < this->options.suspect_after;
  return other < member.incarnation && known_runs;
}

void MembershipTable::Adopt(Member& member, const VmHello& hello) {
  if (member.incarnation != hello.incarnation) {
    if (member.superseded.size() == kMaxSuperseded) {
      member.superseded.erase(member.superseded.begin());
    }
    if (member.incarnation != 0) {
      member.superseded.push_back(member.incarnation);
    }
    member.incarnation = hello.incarnation;
    member.announced_leaving = false;
    member.paths = PathReport();
  }
  member.announced_leaving |= hello.leaving;
  member.data_centre = this->InternDataCentre(hello.data_centre);
  member.control = hello.control;
  member.workers = hello.workers;
  member.capacity = hello.capacity;
}

void MembershipTable::OnLeaving(TimePoint now,
                                VmHandle vm,
                                uint64_t incarnation) {
  if (!this->OnMessageReceived(now, vm, incarnation)) {
    return;
  }
  this->members.Find(vm)->announced_leaving = true;
  this->UpdateRow(vm);
}

void MembershipTable::Leave(TimePoint /*now*/) {
  this->members.Find(this->own)->announced_leaving = true;
  this->UpdateRow(this->own);
}

// The platform's list may lack a VM that works: such a VM is kept while
// messages arrive from it. A VM that announced that it is leaving is removed
// once its link is closed.
bool MembershipTable::IsActive(TimePoint now, const Member& member) const {
  const bool left = member.announced_leaving && member.link == PeerLink::kNone;
  return member.incarnation != 0 && !left &&
         now - member.last_message_at < this->options.unlisted_after;
}

void MembershipTable::DropUnlisted(TimePoint now) {
  std::vector<VmHandle> gone;
  this->members.ForEach([&](VmHandle vm, const Member& member) {
    if (vm != this->own && !member.listed && !this->IsActive(now, member)) {
      gone.push_back(vm);
    }
  });
  for (const VmHandle vm : gone) {
    Member& member = *this->members.Find(vm);
    if (member.link != PeerLink::kNone) {
      this->DropLink(now, vm, member);
    }
    this->AddAction(MembershipActionKind::kEvent, vm, Event::kVmGone);
    this->by_name.erase(member.name);
    this->members.Destroy(vm);
    this->table[vm.index] = VmRow{};
    ++this->changes;
  }
}

void MembershipTable::CheckListAge(TimePoint now) {
  if (!this->list_stale &&
      now - this->list_at >= this->options.list_stale_after) {
    this->list_stale = true;
    this->AddAction(MembershipActionKind::kEvent, this->own,
                    Event::kVmListStale);
  }
}

DataCentreHandle MembershipTable::InternDataCentre(std::string_view name) {
  const auto known = std::find_if(
      this->centres.begin(), this->centres.end(),
      [name](const DataCentreRow& row) { return row.name == name; });
  if (known != this->centres.end()) {
    return known->handle;
  }
  if (this->centres.size() == limits::kMaxDataCentres) {
    return {};
  }
  const DataCentreHandle handle{static_cast<uint32_t>(this->centres.size()), 0};
  this->centres.push_back({handle, std::string(name)});
  ++this->changes;
  return handle;
}

size_t MembershipTable::LiveCount() const {
  return static_cast<size_t>(std::count_if(
      this->table.begin(), this->table.end(), [](const VmRow& row) {
        return IsValid(row.handle) && row.state == VmState::kLive;
      }));
}

void MembershipTable::UpdateRow(VmHandle vm) {
  if (vm.index >= this->table.size()) {
    this->table.resize(vm.index + 1);
  }
  const Member& member = *this->members.Find(vm);
  VmRow row = RowOf(vm, member);
  row.unreachable = this->UsedReports(member);
  VmRow& known = this->table[vm.index];
  if (IsSameRow(row, known)) {
    return;
  }
  const bool begins_to_leave =
      row.state == VmState::kLeaving && known.state != VmState::kLeaving;
  if (begins_to_leave) {
    this->AddAction(MembershipActionKind::kEvent, vm, Event::kVmLeaving);
  }
  known = std::move(row);
  ++this->changes;
}

void MembershipTable::AddAction(MembershipActionKind kind,
                                VmHandle vm,
                                Event event) {
  const Member& member = *this->members.Find(vm);
  this->pending_actions.push_back(
      {kind, vm, member.name, member.incarnation, member.control, event});
}

}  // namespace basilsill

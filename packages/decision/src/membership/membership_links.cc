#include <algorithm>
#include <tuple>

#include "basilsill/decision/claim_key.h"
#include "membership_table.h"

/// The part of MembershipTable that tracks which VMs are reachable: links,
/// heartbeats, suspicion.

namespace basilsill {
namespace {

struct RankedNeed {
  PeerUse use;
  uint64_t score;
  VmHandle vm;

  friend bool operator<(const RankedNeed& a, const RankedNeed& b) {
    return std::tie(a.use, a.score, a.vm) < std::tie(b.use, b.score, b.vm);
  }
};

}  // namespace

bool MembershipTable::OnMessageReceived(TimePoint now,
                                        VmHandle vm,
                                        uint64_t incarnation) {
  Member* member = this->members.Find(vm);
  if (member == nullptr || member->incarnation != incarnation) {
    return false;
  }
  member->last_message_at = now;
  if (member->trust.IsSuspected() && member->link == PeerLink::kUp) {
    member->trust.OnSignOfLife(now);
    this->TryTrust(now, vm);
  }
  return true;
}

void MembershipTable::OnLinkLost(TimePoint now,
                                 VmHandle vm,
                                 uint64_t incarnation) {
  Member* member = this->members.Find(vm);
  if (member == nullptr || member->incarnation != incarnation ||
      member->link != PeerLink::kUp) {
    return;
  }
  member->link = PeerLink::kNone;
  member->open_at = now;
  if (this->NeedsLink(*member)) {
    this->Suspect(now, vm);
  }
}

void MembershipTable::OnOpenFailed(TimePoint now, VmHandle vm) {
  Member* member = this->members.Find(vm);
  if (member == nullptr || member->link != PeerLink::kOpening) {
    return;
  }
  member->link = PeerLink::kNone;
  member->backoff = std::clamp(member->backoff * 2, this->options.reconnect_min,
                               this->options.reconnect_max);
  member->open_at = now + member->backoff;
  this->Suspect(now, vm);
}

void MembershipTable::SetNeeds(TimePoint now,
                               const std::vector<PeerNeed>& needs) {
  // Among needs of equal use, the peers to keep are chosen by a hash of both
  // names. It is the same at both ends, so that two VMs mostly agree on whether
  // they are peers.
  std::vector<RankedNeed> ranked;
  for (const PeerNeed& need : needs) {
    const Member* member = this->members.Find(need.vm);
    if (member != nullptr && need.vm != this->own) {
      std::string_view parts[] = {this->options.self.name, member->name};
      std::sort(std::begin(parts), std::end(parts));
      ranked.push_back({need.use, DigestOf(parts).low, need.vm});
    }
  }
  std::sort(ranked.begin(), ranked.end());
  this->members.ForEach(
      [](VmHandle, Member& member) { member.needed = false; });
  size_t kept = 0;
  for (const RankedNeed& need : ranked) {
    Member& member = *this->members.Find(need.vm);
    if (!member.needed && kept < this->options.max_peers) {
      member.needed = true;
      member.needed_at = now;
      ++kept;
    }
  }
}

void MembershipTable::Tick(TimePoint now) {
  this->CheckListAge(now);
  this->DropUnlisted(now);
  this->UpdateReach(now);
  this->members.ForEach([this, now](VmHandle vm, Member& member) {
    if (vm != this->own) {
      this->TickLink(now, vm, member);
    }
  });
}

// No VM needs a suspected VM, since it owns no shard, but without a link there
// would never be evidence that it works again. No link is opened to a VM that
// is leaving.
bool MembershipTable::NeedsLink(const Member& member) const {
  return !member.IsLeaving() && (member.needed || member.trust.IsSuspected());
}

void MembershipTable::TickLink(TimePoint now, VmHandle vm, Member& member) {
  if (member.needed) {
    member.needed_at = now;
  }
  if (member.link == PeerLink::kNone) {
    this->TickOpen(now, vm, member);
  } else if (member.link == PeerLink::kUp) {
    this->TickUp(now, vm, member);
  }
}

void MembershipTable::TickOpen(TimePoint now, VmHandle vm, Member& member) {
  if (!this->NeedsLink(member) || now < member.open_at) {
    return;
  }
  member.link = PeerLink::kOpening;
  member.opened_here = true;
  this->AddAction(MembershipActionKind::kOpenLink, vm);
}

void MembershipTable::TickUp(TimePoint now, VmHandle vm, Member& member) {
  const Duration silence = now - member.last_message_at;
  if (!this->NeedsLink(member)) {
    const bool idle = silence > this->options.linger &&
                      now - member.needed_at > this->options.linger;
    if (member.opened_here && idle) {
      this->DropLink(now, vm, member);
    }
    return;
  }
  // Failure: a link goes silent though its peer works. Both VMs suspect each
  // other, and each sends its updates on other ways, until the link is opened
  // again. So that is done at once; a peer that is gone costs one attempt.
  if (silence >= this->options.suspect_after) {
    this->Suspect(now, vm);
    return this->DropLink(now, vm, member);
  }
  // Any message counts as a heartbeat; one is requested only on an idle link.
  const Duration since =
      now - std::max(member.last_message_at, member.heartbeat_at);
  if (since >= this->options.heartbeat_after) {
    member.heartbeat_at = now;
    this->AddAction(MembershipActionKind::kHeartbeat, vm);
  }
}

void MembershipTable::DropLink(TimePoint now, VmHandle vm, Member& member) {
  member.link = PeerLink::kNone;
  member.open_at = now;
  this->AddAction(MembershipActionKind::kDropLink, vm);
}

void MembershipTable::Suspect(TimePoint now, VmHandle vm) {
  Member& member = *this->members.Find(vm);
  if (member.trust.Suspect(now, this->options)) {
    this->AddAction(MembershipActionKind::kEvent, vm, Event::kVmSuspected);
    this->UpdateRow(vm);
  }
}

void MembershipTable::TryTrust(TimePoint now, VmHandle vm) {
  Member& member = *this->members.Find(vm);
  if (member.trust.TryTrust(now, this->options)) {
    this->AddAction(MembershipActionKind::kEvent, vm, Event::kVmTrusted);
    this->UpdateRow(vm);
  }
}

}  // namespace basilsill

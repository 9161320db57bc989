#ifndef BASILSILL_DECISION_MEMBERSHIP_TABLE_H_
#define BASILSILL_DECISION_MEMBERSHIP_TABLE_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "basilsill/base/handle.h"
#include "basilsill/decision/membership.h"
#include "lost_data_centres.h"
#include "membership_trust.h"

/// Implementation of Membership. Its methods are in two files: membership.cc
/// (which VMs exist) and membership_links.cc (which VMs are reachable).

namespace basilsill {

enum class PeerLink : uint8_t { kNone, kOpening, kUp, kCount };

/// State of one VM.
struct Member {
  /// The VM is leaving if either the list or the VM itself says so, because
  /// both may lag.
  bool IsLeaving() const {
    return this->listed_leaving || this->announced_leaving;
  }

  std::string name;
  DataCentreHandle data_centre;
  Endpoint control;
  uint32_t capacity = 0;
  std::vector<Endpoint> workers;
  uint64_t incarnation = 0;  ///< 0 until its hello.
  std::vector<uint64_t> superseded;
  bool listed = false;
  bool listed_leaving = false;
  bool announced_leaving = false;  ///< By the current incarnation.
  PathReport paths;  ///< As the current incarnation reported last.

  PeerTrust trust;
  PeerLink link = PeerLink::kNone;
  bool opened_here = false;
  bool needed = false;
  TimePoint needed_at;  ///< When the VM was last needed.
  TimePoint last_message_at;
  TimePoint heartbeat_at;
  TimePoint open_at;  ///< When the next attempt to open a link is due.
  Duration backoff{0};
};

class MembershipTable final : public Membership {
 public:
  MembershipTable(TimePoint now, const MembershipOptions& options);

  void OnVmList(TimePoint now,
                uint64_t version,
                const std::vector<ListedVm>& vms) override;
  HelloResult OnHello(TimePoint now, const VmHello& hello) override;
  bool OnMessageReceived(TimePoint now,
                         VmHandle vm,
                         uint64_t incarnation) override;
  void OnLinkLost(TimePoint now, VmHandle vm, uint64_t incarnation) override;
  void OnOpenFailed(TimePoint now, VmHandle vm) override;
  void OnLeaving(TimePoint now, VmHandle vm, uint64_t incarnation) override;
  bool OnReach(TimePoint now,
               VmHandle vm,
               uint64_t incarnation,
               PathReport report) override;
  void SetUpstreamDataCentres(
      std::vector<DataCentreHandle> data_centres) override;
  bool IsCutOff(
      const std::vector<DataCentreHandle>& data_centres) const override;
  DataCentreReach ReachOf(DataCentreHandle data_centre) const override;
  void SetNeeds(TimePoint now, const std::vector<PeerNeed>& needs) override;
  void Leave(TimePoint now) override;
  void Tick(TimePoint now) override;
  VmHandle self() const override { return this->own; }
  const std::vector<VmRow>& rows() const override { return this->table; }
  const std::vector<DataCentreRow>& data_centres() const override {
    return this->centres;
  }
  DataCentreHandle InternDataCentre(std::string_view name) override;
  uint64_t version() const override { return this->changes; }
  size_t LiveCount() const override;
  bool SelfListedLeaving() const override { return this->self_leaving; }
  bool IsListStale() const override { return this->list_stale; }
  const std::vector<MembershipAction>& actions() const override {
    return this->pending_actions;
  }
  void ClearActions() override { this->pending_actions.clear(); }

 private:
  // membership.cc
  VmHandle FindOrAdd(std::string_view name);
  bool IsSuperseded(TimePoint now, const Member& member, uint64_t other) const;
  void Adopt(Member& member, const VmHello& hello);
  bool IsActive(TimePoint now, const Member& member) const;
  void DropUnlisted(TimePoint now);
  void CheckListAge(TimePoint now);
  void UpdateRow(VmHandle vm);
  void AddAction(MembershipActionKind kind,
                 VmHandle vm,
                 Event event = Event::kVmJoined);

  // membership_reach.cc
  void UpdateReach(TimePoint now) override;
  PathReports CountReports(DataCentreHandle data_centre) const;
  std::vector<DataCentreHandle> UsedReports(const Member& member) const;

  // membership_links.cc
  void Suspect(TimePoint now, VmHandle vm);
  void TryTrust(TimePoint now, VmHandle vm);
  bool NeedsLink(const Member& member) const;
  void TickLink(TimePoint now, VmHandle vm, Member& member);
  void TickOpen(TimePoint now, VmHandle vm, Member& member);
  void TickUp(TimePoint now, VmHandle vm, Member& member);
  void DropLink(TimePoint now, VmHandle vm, Member& member);

  MembershipOptions options;
  VmHandle own;
  HandleTable<Member, VmTag> members;
  std::unordered_map<std::string, VmHandle> by_name;
  std::vector<VmRow> table;
  std::vector<DataCentreRow> centres;
  LostDataCentres lost;
  std::vector<DataCentreHandle> upstream_data_centres;
  bool has_path_reports = false;
  uint64_t changes = 0;
  uint64_t list_version = 0;
  TimePoint list_at;
  bool list_stale = false;
  bool self_leaving = false;  ///< By the platform's list.
  std::vector<MembershipAction> pending_actions;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_MEMBERSHIP_TABLE_H_

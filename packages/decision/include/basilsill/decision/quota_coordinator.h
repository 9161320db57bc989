#ifndef BASILSILL_DECISION_QUOTA_COORDINATOR_H_
#define BASILSILL_DECISION_QUOTA_COORDINATOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilsill/decision/quota_lease.h"
#include "basilsill/decision/quota_lender.h"
#include "basilsill/decision/view.h"

/// Coordinates quotas on one VM's control thread: forwards the requests of this
/// VM's workers to the VM that lends the share of its data centre, and lends if
/// this VM is that lender. Pure: the host sends the messages and calls the
/// store.

namespace basilsill {

struct QuotaCoordinatorOptions {
  std::string vm;
  uint64_t incarnation = 0;
  LeaseTime started{};  ///< When the process started, or later.
  std::string data_centre;
  /// All data centres of the installation, each with a share. Empty if the
  /// platform keeps no leases: each VM then has an equal share of its own.
  std::vector<std::string> shares;
  QuotaStartAllowance start_allowance;
};

class QuotaCoordinator {
 public:
  explicit QuotaCoordinator(QuotaCoordinatorOptions options);

  void ApplyView(LeaseTime now, const RoutingView& view);

  /// A worker of this VM requests credits.
  void OnWorkerRequest(LeaseTime now, uint16_t worker, QuotaRequest request);

  // Messages from other VMs.
  void OnRequest(LeaseTime now, VmHandle from, const QuotaRequest& request);
  void OnAnswer(LeaseTime now, VmHandle from, const QuotaAnswer& answer);

  /// A message of `TakeOutgoing` can't be sent: there is no link.
  void OnUnsent(LeaseTime now, const OutgoingQuotaMessage& unsent);

  void Tick(LeaseTime now);

  /// Releases the lease, so that another VM may lend at once.
  void Leave(LeaseTime now);

  /// @returns the messages to send to VMs and to workers of this VM, and clears
  /// them.
  std::vector<OutgoingQuotaMessage> TakeOutgoing() {
    return this->lender.TakeOutgoing();
  }

  /// @returns the credits of this share that were lost to full buckets.
  double overflowed() const { return this->lender.overflowed(); }

  /// @returns true while answers are awaited, so `Tick` has to be called soon.
  bool has_pending_requests() const {
    return this->lender.has_pending_requests();
  }

  /// @returns the call to make for the lease. Its result goes to one of the
  /// OnLease methods.
  QuotaLeaseCall NextLeaseCall(LeaseTime now);
  const QuotaLease& lease() const { return this->own_lease; }
  /// @returns the index of the share that this VM may lend.
  uint16_t share() const { return this->own_share; }

  // Results of that call.
  void OnLeaseRead(LeaseTime now,
                   const std::optional<QuotaLeaseRecord>& record,
                   LogPosition end,
                   LeaseTime era_since = LeaseTime::min());
  void OnLeaseWritten(LeaseTime now, LogPosition end);
  void OnLeaseConflict(LeaseTime now) { this->own_lease.OnConflict(now); }
  void OnLeaseFailed(LeaseTime now);

  /// @returns with what level this VM began to lend; empty if it went on with
  /// its own levels or if the share was never lent before.
  const std::optional<QuotaStart>& start() const { return this->last_start; }

  /// @returns true while this VM lends the share under its lease.
  bool lends() const { return this->is_lending; }

 private:
  /// The last request of a worker.
  struct LastRequest {
    VmHandle vm;
    uint64_t number = 0;
    bool answered = true;
  };

  bool HasShares() const { return !this->options.shares.empty(); }
  bool IsFirstCandidate() const;
  void SetCandidates(const RoutingView& view);
  void SyncWithLease(LeaseTime now);
  void BeginToLend(LeaseTime now);
  bool IsCandidate() const;
  void Announce();
  void SetGuestLender(VmHandle vm);
  std::vector<VmHandle> Siblings() const;
  void AskHolder(LeaseTime now, const std::optional<QuotaLeaseRecord>& record);
  void AskForTakeover(LeaseTime now, VmHandle vm);
  void OnLeaseNews(LeaseTime now, const QuotaRequest& request);
  void Lend(LeaseTime now,
            const QuotaRequester& from,
            const QuotaRequest& request);
  void Decline(uint16_t worker, uint64_t number);

  QuotaCoordinatorOptions options;
  VmHandle self;
  uint16_t own_share = 0;
  /// VMs that may lend this data centre's share.
  std::vector<VmHandle> candidates;
  LenderChoice lender_choice;
  QuotaLender lender;
  QuotaLease own_lease;
  std::map<uint16_t, LastRequest> last_requests;  ///< By index of the worker.
  std::optional<QuotaStart> last_start;
  /// Fraction of each quota that this VM may lend.
  double part = 1;
  /// Other VMs of this data centre, in the order of RankLiveVms.
  std::vector<VmHandle> others;
  /// A VM that lends this data centre's share although it is no candidate.
  /// Lends the share of this data centre though it is no candidate; invalid if
  /// there is none.
  VmHandle guest_lender;
  size_t failed_calls = 0;  ///< In a row.
  /// All VMs of this data centre that seem to run.
  std::map<std::string, VmHandle, std::less<>> vms_by_name;
  bool is_lending = false;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_QUOTA_COORDINATOR_H_

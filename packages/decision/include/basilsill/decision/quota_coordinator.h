#ifndef BASILSILL_DECISION_QUOTA_COORDINATOR_H_
#define BASILSILL_DECISION_QUOTA_COORDINATOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "basilsill/decision/quota_lease.h"
#include "basilsill/decision/quota_lender.h"
#include "basilsill/decision/view.h"

/// Quotas on one VM's control thread: takes what the workers of this VM want to
/// the VM that lends the share of its data centre, and lends where this VM
/// does. Pure; the shell sends, and calls the store.

namespace basilsill {

struct QuotaCoordinatorOptions {
  std::string vm;
  uint64_t incarnation = 0;
  std::string data_centre;
  /// All data centres of the installation, each with a share. Empty: the
  /// platform keeps no leases, and each VM has an equal share of its own.
  std::vector<std::string> shares;
};

class QuotaCoordinator {
 public:
  explicit QuotaCoordinator(QuotaCoordinatorOptions options);

  void ApplyView(LeaseTime now, const RoutingView& view);

  /// A worker of this VM asks.
  void Ask(LeaseTime now, uint16_t worker, QuotaRequest request);

  // From other VMs.
  void OnRequest(LeaseTime now, VmHandle from, const QuotaRequest& request);
  void OnAnswer(LeaseTime now, VmHandle from, const QuotaAnswer& answer);

  /// There is no link for a message of `TakeSends`.
  void OnUnsent(LeaseTime now, const OutgoingQuotaMessage& send);

  void Tick(LeaseTime now);

  /// Lends no more; another VM may at once.
  void Leave(LeaseTime now);

  /// @returns what is to be sent, to VMs and to workers of this VM.
  std::vector<OutgoingQuotaMessage> TakeOutgoing() {
    return this->lender.TakeOutgoing();
  }

  /// @returns true while `Tick` is needed soon.
  bool has_pending_requests() const {
    return this->lender.has_pending_requests();
  }

  /// @returns the call to make for the lease; its result goes to `OnLease`.
  QuotaLeaseCall NextLeaseCall(LeaseTime now);
  const QuotaLease& lease() const { return this->own_lease; }
  /// @returns the number of the share that this VM may lend.
  uint16_t share() const { return this->own_share; }

  // Results of the call.
  void OnLeaseRead(LeaseTime now,
                   const std::optional<QuotaLeaseRecord>& record,
                   uint64_t end);
  void OnLeaseWritten(LeaseTime now, uint64_t end);
  void OnLeaseConflict(LeaseTime now) { this->own_lease.OnConflict(now); }
  void OnLeaseFailed(LeaseTime now);

  /// @returns true while this VM lends.
  bool lends() const { return this->is_lending; }

 private:
  /// What a worker asked last.
  struct Asked {
    VmHandle vm;
    uint64_t number = 0;
    bool answered = true;
  };

  bool HasShares() const { return !this->options.shares.empty(); }
  bool IsFirst() const;
  void SetCandidates(const RoutingView& view);
  void Sync(LeaseTime now);
  void Lend(LeaseTime now,
            const QuotaRequester& from,
            const QuotaRequest& request);
  void Decline(uint16_t worker, uint64_t number);

  QuotaCoordinatorOptions options;
  VmHandle self;
  uint16_t own_share = 0;
  std::vector<VmHandle> candidates;  ///< For the share of this data centre.
  LenderChoice choice;
  QuotaLender lender;
  QuotaLease own_lease;
  std::map<uint16_t, Asked> asked;  ///< By worker.
  bool is_lending = false;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_QUOTA_COORDINATOR_H_

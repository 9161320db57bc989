#ifndef BASILSILL_DECISION_QUOTA_H_
#define BASILSILL_DECISION_QUOTA_H_

#include <cstdint>
#include <vector>

#include "basilsill/base/log_position.h"
#include "basilsill/base/time.h"
#include "basilsill/decision/claim_key.h"
#include "basilsill/decision/view.h"

/// A team's quota is a rate of requests and a burst beyond it, which hold for
/// all VMs together.
///
/// | header              | purpose                                         |
/// | ------------------- | ----------------------------------------------- |
/// | quota.h             | messages between VMs, shared types              |
/// | quota_borrower.h    | an entry thread takes credits for its requests  |
/// | quota_lender.h      | one VM of a data centre lends its share         |
/// | quota_order.h       | order of requests at a lender that is short     |
/// | quota_lease.h       | chooses that VM by a lease in the store         |
/// | quota_coordinator.h | all of these on one VM; chooses the lender      |
///
/// Each data centre has an equal share of every quota. One VM of the data
/// centre lends that share from a token bucket for each team, with the rate and
/// burst of the share. An entry VM borrows credits for the requests that it
/// has, and a few more for those that are likely to follow. A lender whose
/// bucket is empty borrows from the lenders of other data centres. A credit
/// that is not used in time becomes void.
///
/// In any window, a team's requests are at most the burst, plus the rate times
/// the sum of the window and twice the lifetime of a credit, plus what new
/// lenders start with: buckets never grant more than that, a returned credit
/// was lent within that lifetime, no two VMs lend the same share at the same
/// time, and a new lender starts with what the rate brought while nobody lent
/// and a bounded number of credits on top (see QuotaStart).

namespace basilsill {

/// How long a credit is valid, counted from when it was requested.
inline constexpr Duration kCreditLife = std::chrono::milliseconds(250);

/// The time until the target of a request whose rule has none.
inline constexpr Duration kNoTarget = std::chrono::hours(1);

/// What a request that asks for a credit can do with it.
struct CreditNeed {
  TrafficClass traffic_class = TrafficClass::kOrdinary;
  /// If the credit is granted within this time, the answer can be within the
  /// target of the rule. Zero or less: the request is late, or how long ago its
  /// first attempt was is unknown.
  Duration until_target = kNoTarget;
  Duration time_left = kNoTarget;  ///< How long the caller will still wait.
  /// The caller has been refused before.
  bool is_returning = false;

  friend bool operator==(const CreditNeed&, const CreditNeed&) = default;
};

inline bool IsInTime(const CreditNeed& need) {
  return need.until_target > Duration(0);
}

/// A waiting request, in the message that asks for its credit.
struct QuotaNeed {
  uint64_t ticket = 0;  ///< Chosen by the borrower; the outcome repeats it.
  CreditNeed need;

  friend bool operator==(const QuotaNeed&, const QuotaNeed&) = default;
};

/// Credits that a borrower requests.
struct QuotaWant {
  TeamKey team = 0;
  /// Number of credits; those beyond `needs` are for requests to come.
  uint32_t wanted = 0;
  /// Empty in requests of lenders and of earlier versions: all are ordinary
  /// and in time.
  std::vector<QuotaNeed> needs;

  friend bool operator==(const QuotaWant&, const QuotaWant&) = default;
};

/// Credits returned because their requests were refused without having run.
struct QuotaReturn {
  TeamKey team = 0;
  uint32_t count = 0;
  uint64_t lent_at = 0;  ///< QuotaAnswer::lent_at of these credits.

  friend bool operator==(const QuotaReturn&, const QuotaReturn&) = default;
};

struct QuotaRequest {
  uint64_t number = 0;  ///< Chosen by the requester; the answer repeats it.
  /// The requester is a lender: the request is not forwarded to other lenders.
  bool of_lender = false;
  std::vector<QuotaWant> wants;
  std::vector<QuotaReturn> returns;
  /// End of the log of the share's lease as the sender knows it; offset 0 if it
  /// tells nothing about the lease.
  LogPosition lease_end{};
  /// The sender holds the lease with the record at `lease_end`, may fail to
  /// renew it, and lends for no longer than this time unless it does. 0: the
  /// sender has read that record, and does not hold the lease.
  Duration lease_left{0};

  friend bool operator==(const QuotaRequest&, const QuotaRequest&) = default;
};

/// The decision for one QuotaNeed.
struct QuotaOutcome {
  uint64_t ticket = 0;
  bool is_granted = false;
  Duration retry_after{0};  ///< For the caller, if refused.

  friend bool operator==(const QuotaOutcome&, const QuotaOutcome&) = default;
};

struct QuotaGrant {
  TeamKey team = 0;
  uint32_t granted = 0;
  /// How long to wait before the next request, if fewer were granted than
  /// wanted.
  Duration retry_after{0};
  /// Decisions made since the last answer to the same request. `granted`
  /// includes their credits.
  std::vector<QuotaOutcome> outcomes;
  /// Number of needs that wait at the lender: further answers to the same
  /// request follow.
  uint32_t held = 0;

  friend bool operator==(const QuotaGrant&, const QuotaGrant&) = default;
};

struct QuotaAnswer {
  uint64_t number = 0;
  /// False if this VM does not lend. The grants are then what lenders of other
  /// shares granted; empty if there is no lender.
  bool lends = false;
  /// When the credits were lent, by the lender's clock. Opaque to others.
  uint64_t lent_at = 0;
  std::vector<QuotaGrant> grants;

  friend bool operator==(const QuotaAnswer&, const QuotaAnswer&) = default;
};

/// Counts recent events. The weight of an event decays exponentially with its
/// age.
class RecentCount {
 public:
  void Add(LeaseTime now, double count);

  /// @returns the weighted count, roughly the number of events within the last
  /// `kSpan`.
  double At(LeaseTime now) const;

  static constexpr Duration kSpan = std::chrono::milliseconds(500);

 private:
  double count = 0;
  LeaseTime counted_at{};
};

/// Chooses which of the VMs that may lend a share gets the requests. A VM that
/// does not answer or does not lend is skipped in favour of the next.
class LenderChoice {
 public:
  /// @param vms In order of preference.
  void SetCandidates(std::vector<VmHandle> vms);

  /// @returns the VM to send requests to; invalid if there is none.
  VmHandle current() const;

  /// `vm` does not lend, or did not answer.
  void PassOver(VmHandle vm);

 private:
  std::vector<VmHandle> candidates;
  size_t position = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_QUOTA_H_

#ifndef BASILSILL_DECISION_QUOTA_H_
#define BASILSILL_DECISION_QUOTA_H_

#include <cstdint>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/claim_key.h"
#include "basilsill/decision/view.h"

/// A team's quota: a rate of requests, and a burst beyond it, that hold for all
/// VMs together.
///
/// | header            | job                                             |
/// | ----------------- | ----------------------------------------------- |
/// | quota.h           | what VMs say to each other                      |
/// | quota_borrower.h  | an entry thread takes credits for its requests  |
/// | quota_lender.h    | one VM of a data centre lends its share         |
/// | quota_lease.h     | which VM that is, by the platform's store       |
/// | quota_office.h    | these on one VM, and whom it asks               |
///
/// Each data centre has an equal share of every quota, and one VM that lends
/// it: a token bucket a team, of the share's rate and burst. An entry VM
/// borrows credits for the requests that it has, and a few more for those that
/// will follow; a lender whose bucket is empty borrows from those of other data
/// centres. A credit that is not used in time is void.
///
/// In any window a team's requests are at most the burst, and the rate times
/// the window and twice the life of a credit: buckets never give more, what
/// comes back was lent within that life, two VMs never lend one share at a
/// time, and a new lender begins with one credit a team.

namespace basilsill {

/// How long a credit may be used, from when it was asked for.
inline constexpr Duration kCreditLife = std::chrono::milliseconds(250);

/// Credits that are asked for.
struct QuotaWant {
  TeamKey team = 0;
  uint32_t wanted = 0;

  friend bool operator==(const QuotaWant&, const QuotaWant&) = default;
};

/// Credits of requests that were refused without having run.
struct QuotaReturn {
  TeamKey team = 0;
  uint32_t count = 0;
  uint64_t lent_at = 0;  ///< QuotaAnswer::lent_at of the credits.

  friend bool operator==(const QuotaReturn&, const QuotaReturn&) = default;
};

struct QuotaRequest {
  uint64_t number = 0;     ///< Of the asker's; comes back with the answer.
  bool of_lender = false;  ///< It lends itself: nobody else is asked for it.
  std::vector<QuotaWant> wants;
  std::vector<QuotaReturn> returns;

  friend bool operator==(const QuotaRequest&, const QuotaRequest&) = default;
};

struct QuotaGrant {
  TeamKey team = 0;
  uint32_t granted = 0;
  /// If that is less than was wanted: when to ask again.
  Duration retry_after{0};

  friend bool operator==(const QuotaGrant&, const QuotaGrant&) = default;
};

struct QuotaAnswer {
  uint64_t number = 0;
  /// False: another VM may lend, this one does not. What it says then is what
  /// others granted; nothing, if nobody lends.
  bool lends = false;
  /// When, by the lender's clock; means nothing to anybody else.
  uint64_t lent_at = 0;
  std::vector<QuotaGrant> grants;

  friend bool operator==(const QuotaAnswer&, const QuotaAnswer&) = default;
};

/// Counts events of the last moments: an event weighs less the older it is.
class RecentCount {
 public:
  void Add(LeaseTime now, double count);

  /// @returns the count, of about the last `kSpan`.
  double At(LeaseTime now) const;

  static constexpr Duration kSpan = std::chrono::milliseconds(500);

 private:
  double count = 0;
  LeaseTime counted{};
};

/// Which of the VMs that may lend a share is asked. One that does not answer or
/// does not lend is passed over for the next.
class LenderChoice {
 public:
  /// @param vms In the order in which they should lend.
  void SetCandidates(std::vector<VmHandle> vms);

  /// @returns the VM to ask; invalid if there is none.
  VmHandle current() const;

  /// `vm` was asked and does not lend, or said nothing.
  void PassOver(VmHandle vm);

 private:
  std::vector<VmHandle> candidates;
  size_t position = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_QUOTA_H_

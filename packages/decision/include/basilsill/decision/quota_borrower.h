#ifndef BASILSILL_DECISION_QUOTA_BORROWER_H_
#define BASILSILL_DECISION_QUOTA_BORROWER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "basilsill/decision/quota.h"

/// Takes credits of teams' quotas for the requests of one entry thread.

namespace basilsill {

enum class QuotaVerdict : uint8_t {
  kGranted,
  kWait,         ///< A lender is asked; see QuotaBorrower::TakeSettled.
  kExhausted,    ///< The team is beyond its quota.
  kUnavailable,  ///< Nobody could be asked: it may be within its quota.
  kCount
};

/// Where a credit came from, for giving it back.
struct QuotaCredit {
  uint64_t lent_at = 0;  ///< QuotaAnswer::lent_at.
  LeaseTime until{};     ///< Void from then on.
};

struct QuotaDecision {
  QuotaVerdict verdict = QuotaVerdict::kCount;
  uint64_t ticket = 0;      ///< Names a request that waits.
  Duration retry_after{0};  ///< Of a request that is refused.
  QuotaCredit credit{};     ///< Of a request that may go on.
};

class QuotaBorrower {
 public:
  /// A request of `team` came. Whether it may go on is told now or later.
  QuotaDecision Acquire(LeaseTime now, TeamKey team);

  /// A request that was granted `credit` has ended without having run.
  void Return(LeaseTime now, TeamKey team, const QuotaCredit& credit);

  /// @returns what a lender is to be asked now. One request is under way at a
  /// time; what comes meanwhile goes with the next.
  std::optional<QuotaRequest> NextRequest(LeaseTime now);

  void OnAnswer(LeaseTime now, const QuotaAnswer& answer);

  /// Ends the waits that are too long.
  void Tick(LeaseTime now);

  /// @returns the requests that waited and wait no more.
  std::vector<QuotaDecision> TakeSettled();

 private:
  struct Waiting {
    uint64_t ticket = 0;
    LeaseTime since;
  };

  struct Team {
    uint32_t credits = 0;  ///< Left of the last answer.
    QuotaCredit credit;    ///< Each of these.
    std::deque<Waiting> waiting;
    LeaseTime closed_until{};  ///< The lender has nothing before then.
    LeaseTime next_return{};   ///< Told to the next request that is refused.
    RecentCount entered;
    RecentCount granted;
  };

  struct Returned {
    TeamKey team = 0;
    QuotaCredit credit;
  };

  static Duration RetryAfter(LeaseTime now, Team& team);
  static bool TakeCredit(LeaseTime now, Team& team);
  void AddWants(LeaseTime now, QuotaRequest& request) const;
  void AddReturns(LeaseTime now, QuotaRequest& request);
  void Settle(Team& team, QuotaDecision decision);
  void TakeGrant(LeaseTime now, const QuotaGrant& grant, uint64_t lent_at);
  void ForgetIdle(LeaseTime now);

  std::map<TeamKey, Team> teams;
  std::vector<Returned> returned;  ///< To be given back.
  LeaseTime returned_since{};      ///< The first of them.
  size_t waiting_count = 0;
  std::vector<QuotaDecision> settled;
  uint64_t last_ticket = 0;
  uint64_t last_number = 0;
  bool asking = false;
  LeaseTime asked_at{};
  LeaseTime ask_again_at{};  ///< Nobody lent.
  LeaseTime forgotten_at{};
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_QUOTA_BORROWER_H_

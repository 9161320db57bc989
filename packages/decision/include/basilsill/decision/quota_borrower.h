#ifndef BASILSILL_DECISION_QUOTA_BORROWER_H_
#define BASILSILL_DECISION_QUOTA_BORROWER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "basilsill/decision/quota_order.h"

/// Borrows credits of teams' quotas for the requests of one entry thread.

namespace basilsill {

enum class QuotaVerdict : uint8_t {
  kGranted,
  kWait,         ///< Awaits a lender's answer; see QuotaBorrower::TakeSettled.
  kExhausted,    ///< The team has used up its quota.
  kUnavailable,  ///< No lender answered: the team may be within its quota.
  kCount
};

/// Origin of a credit, needed to return it.
struct QuotaCredit {
  uint64_t lent_at = 0;  ///< QuotaAnswer::lent_at.
  LeaseTime until{};     ///< The credit is void from then on.
  /// Of the request that got it.
  TrafficClass traffic_class = TrafficClass::kOrdinary;
};

struct QuotaDecision {
  QuotaVerdict verdict = QuotaVerdict::kCount;
  uint64_t ticket = 0;      ///< Identifies a waiting request.
  Duration retry_after{0};  ///< For a refused request.
  QuotaCredit credit{};     ///< For a granted request.
};

/// What became of requests and of borrowed credits.
struct QuotaCounts {
  struct OfClass {
    uint64_t asked = 0;  ///< Requests that wanted a credit.
    uint64_t granted_in_time = 0;
    uint64_t granted_late = 0;
    uint64_t refused = 0;
    /// Credits of requests that ended without having run.
    uint64_t returned = 0;
  };
  std::array<OfClass, kTrafficClasses> classes{};
  /// Of the refused, those for which no lender was asked.
  uint64_t refused_unasked = 0;
  uint64_t borrowed = 0;  ///< Credits that lenders granted.
  uint64_t voided = 0;    ///< Borrowed credits that became void.
};

class QuotaBorrower {
 public:
  /// Takes a credit for a request of `team`.
  /// @param need What the request can do with it.
  /// @returns the decision. After kWait, TakeSettled returns the final one
  /// later.
  QuotaDecision Acquire(LeaseTime now,
                        TeamKey team,
                        const CreditNeed& need = {});

  /// A request that was granted `credit` has ended without having run.
  void Return(LeaseTime now, TeamKey team, const QuotaCredit& credit);

  /// @returns the request to send to a lender now, if any. Only one is in
  /// flight at a time; what is needed meanwhile goes with the next one.
  std::optional<QuotaRequest> NextRequest(LeaseTime now);

  void OnAnswer(LeaseTime now, const QuotaAnswer& answer);

  /// Ends waits that take too long, and evicts idle teams.
  void Tick(LeaseTime now);

  /// @returns the decisions for waiting requests that were made since the last
  /// call.
  std::vector<QuotaDecision> TakeSettled();

  const QuotaCounts& counts() const { return this->tally; }

 private:
  struct Waiting {
    uint64_t ticket = 0;
    CreditNeed need;  ///< As of `since`.
    LeaseTime since;
    LeaseTime until;     ///< The wait ends then.
    uint64_t asked = 0;  ///< Number of the message that asked; 0: none yet.
  };

  /// Credits that are left.
  struct Leftover {
    uint32_t count = 0;
    QuotaCredit credit;  ///< Origin of each of them.
    LeaseTime return_at;
  };

  struct Team {
    std::deque<Leftover> leftovers;  ///< Oldest first.
    std::vector<Waiting> waiting;    ///< In order of their needs.
    LeaseTime exhausted_until{};     ///< The quota is used up until then.
    /// Latest retry time given to a refused request.
    LeaseTime next_retry_at{};
    RecentCount arrivals;
    RecentCount granted;
  };

  struct Returned {
    TeamKey team = 0;
    QuotaCredit credit;
    uint32_t count = 1;
  };

  static Duration RetryAfter(LeaseTime now, Team& team);
  std::optional<QuotaCredit> TakeCredit(LeaseTime now, Team& team);
  void DropVoid(LeaseTime now, Team& team);
  void ReturnLeftovers(LeaseTime now, TeamKey key, Team& team);
  void AddReturned(LeaseTime now, const Returned& row);
  QuotaDecision Grant(const CreditNeed& need, QuotaCredit credit);
  QuotaDecision Refuse(const CreditNeed& need,
                       QuotaVerdict verdict,
                       Duration retry_after);
  void AddWants(LeaseTime now, QuotaRequest& request);
  void AddReturns(LeaseTime now, QuotaRequest& request);
  void Settle(Team& team, size_t index, QuotaDecision decision);
  void AskAgain(uint64_t number);
  void TakeGrant(LeaseTime now,
                 const QuotaGrant& grant,
                 const QuotaAnswer& answer);
  void TakeOutcomes(LeaseTime now, Team& team, const QuotaGrant& grant);
  void TakeCount(LeaseTime now,
                 Team& team,
                 const QuotaGrant& grant,
                 uint64_t number);
  void ServeLeftovers(LeaseTime now, Team& team);
  void EvictIdle(LeaseTime now);

  std::map<TeamKey, Team> teams;
  std::vector<Returned> returned;  ///< Not yet sent back to the lender.
  LeaseTime returned_since{};      ///< When the first of them came back.
  size_t waiting_count = 0;
  std::vector<QuotaDecision> settled;
  QuotaCounts tally;
  uint64_t last_ticket = 0;
  uint64_t last_number = 0;
  bool request_in_flight = false;
  LeaseTime requested_at{};
  /// When the recent messages were sent, by number.
  std::deque<std::pair<uint64_t, LeaseTime>> sent_at;
  LeaseTime next_request_at{};  ///< No request goes out before then.
  LeaseTime evicted_at{};
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_QUOTA_BORROWER_H_

#ifndef BASILSILL_DECISION_QUOTA_LENDER_H_
#define BASILSILL_DECISION_QUOTA_LENDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "basilsill/decision/quota_order.h"

/// Lends a share of each team's quota, on the VM that holds the share's lease.
/// Used by the control thread.

namespace basilsill {

/// With what level the buckets of a new lender start. Teams get the sum.
struct QuotaStart {
  /// Lower bound on how long nobody has lent: what the rate brings in this time
  /// was not lent.
  Duration unlent{0};
  double credits = 1;         ///< For each team.
  double burst_fraction = 0;  ///< Fraction of the bucket's capacity.
};

/// What the contract of the installation allows the lenders of all shares
/// together to start with beyond what is known not to have been lent, once a
/// window. None by default: a new lender then starts with one credit.
struct QuotaStartAllowance {
  double credits = 0;         ///< Of each team's quota.
  double burst_fraction = 0;  ///< Fraction of the burst.
};

/// @returns the level with which a new lender starts.
/// @param recent_starts QuotaLeaseRecord::recent_starts of its predecessor.
/// @param part Fraction of each quota that this VM lends.
QuotaStart StartOf(Duration unlent,
                   std::optional<uint32_t> recent_starts,
                   const QuotaStartAllowance& allowance,
                   double part);

/// One token bucket for each team.
class QuotaBuckets {
 public:
  /// Sets the limits of all teams that have a quota, and drops all other
  /// buckets.
  /// @param part Fraction of each quota that this VM lends.
  void SetTeams(LeaseTime now, const std::vector<TeamRow>& teams, double part);

  /// Sets the level of each bucket to what `start` allows, up to its capacity.
  /// For a new lender that does not know how much was lent before.
  void StartAt(LeaseTime now, const QuotaStart& start);

  /// Fills all buckets. For a share that was never lent.
  void Fill(LeaseTime now);

  /// Takes up to `wanted` credits of `team`, as many as there are.
  QuotaGrant Take(LeaseTime now, TeamKey team, uint32_t wanted);

  /// Puts credits into the bucket, up to its capacity.
  void Put(LeaseTime now, TeamKey team, uint32_t count);

  bool empty() const { return this->buckets.empty(); }

  /// What there is of a team's credits.
  struct State {
    double rate = 0;  ///< Credits per second.
    double capacity = 0;
    double level = 0;
  };
  /// @returns nothing if the team has no bucket.
  std::optional<State> StateOf(LeaseTime now, TeamKey team);

  /// @returns the credits that did not fit into the buckets.
  double overflowed() const { return this->overflow; }

 private:
  struct Bucket {
    double rate = 0;  ///< Credits per second.
    double capacity = 0;
    double level = 0;
    LeaseTime filled{};
    /// Latest retry time given to a requester that got too few.
    LeaseTime next_retry_at{};
    bool is_listed = true;
  };

  void Refill(LeaseTime now, Bucket& bucket);
  static Duration RetryAfter(LeaseTime now, Bucket& bucket);

  std::map<TeamKey, Bucket> buckets;
  double overflow = 0;
};

/// A requester: a worker of this VM, or another VM.
struct QuotaRequester {
  VmHandle vm;          ///< Invalid for this VM.
  uint16_t worker = 0;  ///< If `vm` is this VM.

  friend bool operator==(const QuotaRequester&,
                         const QuotaRequester&) = default;
};

struct OutgoingQuotaMessage {
  QuotaRequester to;
  std::variant<QuotaRequest, QuotaAnswer> message;
};

class QuotaLender {
 public:
  /// Sets the VMs that may lend.
  /// @param shares For each other share its possible lenders, in order of
  /// preference.
  /// @param siblings Other VMs that may lend this VM's share.
  void SetOtherLenders(const std::vector<std::vector<VmHandle>>& shares,
                       std::vector<VmHandle> siblings);

  void SetTeams(LeaseTime now, const std::vector<TeamRow>& teams, double part) {
    this->buckets.SetTeams(now, teams, part);
  }

  /// Begins to lend with the present levels, which hold if no other VM has lent
  /// since this one did.
  void Begin() { this->lends = true; }
  void BeginFull(LeaseTime now);
  void BeginAt(LeaseTime now, const QuotaStart& start);
  /// Sets the other VMs that may lend this VM's share, in order of preference.
  void SetSiblings(std::vector<VmHandle> siblings) {
    this->sibling.SetCandidates(std::move(siblings));
  }

  void End();
  bool is_lending() const { return this->lends; }

  void OnRequest(LeaseTime now,
                 const QuotaRequester& from,
                 const QuotaRequest& request);
  /// Another lender has answered.
  void OnAnswer(LeaseTime now, VmHandle from, const QuotaAnswer& answer);
  void Tick(LeaseTime now);

  /// @returns the credits of this share that were lost to full buckets.
  double overflowed() const { return this->buckets.overflowed(); }

  /// @returns true while requests wait here. `Tick` has to be called meanwhile.
  bool has_pending_requests() const {
    return !this->pending_requests.empty() || !this->open_requests.empty();
  }

  /// Adds a message to those that TakeOutgoing returns.
  void Enqueue(OutgoingQuotaMessage outgoing_message) {
    this->outgoing.push_back(std::move(outgoing_message));
  }

  /// @returns the messages to send, and clears them.
  std::vector<OutgoingQuotaMessage> TakeOutgoing();

 private:
  /// A request that is forwarded to the other lenders, one after the other.
  struct PendingRequest {
    QuotaRequester from;
    QuotaAnswer answer;
    std::vector<QuotaWant> missing;
    LeaseTime since{};
    LeaseTime forwarded_at{};  ///< When it was forwarded to `current_lender`.
    size_t next_share = 0;
    size_t shares_left = 0;
    VmHandle current_lender;
    uint64_t forwarded_number = 0;
    bool has_lender = false;  ///< Some VM lends.
    /// Siblings may still be tried: this VM does not lend.
    bool may_ask_sibling = false;
  };

  /// A request of a borrower of which some needs wait here.
  struct OpenRequest {
    QuotaRequester from;
    QuotaAnswer answer;  ///< Decisions not sent yet.
    size_t held = 0;     ///< Number of needs that wait.
    /// Of an earlier version: gets one answer, when all are decided.
    bool without_needs = false;
    bool has_news = true;  ///< `answer` is to be sent.
  };

  /// A team that has, or recently had, less credits than were wanted.
  struct ShortTeam {
    QuotaOrder order;
    RecentCount borrowed;       ///< Credits that other lenders granted.
    uint64_t asked_number = 0;  ///< Request to another lender; 0: none.
    VmHandle asked_lender;
    LeaseTime asked_at{};
    LeaseTime ask_again_at{};
    uint32_t asked_for = 0;
    size_t next_share = 0;
    size_t shares_left = 0;
  };

  void Lend(LeaseTime now,
            const QuotaRequester& from,
            const QuotaRequest& request);
  QuotaGrant LendToLender(LeaseTime now, const QuotaWant& want);
  void AddWant(LeaseTime now,
               const QuotaWant& want,
               uint64_t id,
               OpenRequest& open);
  void Serve(LeaseTime now, TeamKey team, ShortTeam& row);
  void Decide(LeaseTime now,
              TeamKey team,
              ShortTeam& row,
              const HeldWant& want,
              bool is_granted);
  void AskOthers(LeaseTime now, TeamKey team, ShortTeam& row);
  void AskNextShare(LeaseTime now, TeamKey team, ShortTeam& row);
  bool TakeLent(LeaseTime now, VmHandle from, const QuotaAnswer& answer);
  void TickShortTeams(LeaseTime now);
  void SendAnswers();
  void ApplyReturns(LeaseTime now, const QuotaRequest& request);
  std::vector<QuotaWant> FindMissing(LeaseTime now,
                                     const QuotaRequest& request,
                                     const QuotaAnswer& answer) const;
  bool ForwardToNext(LeaseTime now, PendingRequest& pending);
  void Forward(LeaseTime now, PendingRequest& pending, VmHandle vm);
  void Close(LeaseTime now, PendingRequest& pending);
  void Answer(PendingRequest& pending);
  void KeepLateGrants(LeaseTime now, const QuotaAnswer& answer);
  static void Merge(PendingRequest& pending, const QuotaAnswer& answer);

  QuotaBuckets buckets;
  std::vector<LenderChoice> other_shares;
  LenderChoice sibling;
  std::vector<PendingRequest> pending_requests;
  std::map<TeamKey, ShortTeam> short_teams;
  std::map<uint64_t, OpenRequest> open_requests;
  uint64_t last_open = 0;
  /// When each request to another lender was sent, by number, while its answer
  /// may still come.
  std::map<uint64_t, LeaseTime> forwarded_at;
  /// Teams whose quota is used up at all lenders, and until when.
  std::map<TeamKey, LeaseTime> exhausted_until;
  std::vector<OutgoingQuotaMessage> outgoing;
  uint64_t last_number = 0;
  /// Index in `other_shares` that the next request is forwarded to first.
  size_t first_share = 0;
  bool lends = false;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_QUOTA_LENDER_H_

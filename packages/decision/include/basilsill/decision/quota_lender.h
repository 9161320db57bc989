#ifndef BASILSILL_DECISION_QUOTA_LENDER_H_
#define BASILSILL_DECISION_QUOTA_LENDER_H_

#include <cstdint>
#include <map>
#include <utility>
#include <variant>
#include <vector>

#include "basilsill/decision/quota.h"

/// Lends a share of each team's quota, on the VM that holds the lease of the
/// share. Belongs to the control thread.

namespace basilsill {

/// Token buckets, one a team.
class QuotaBuckets {
 public:
  /// Takes over the limits of the teams that have a quota.
  /// @param part The share, of each quota.
  void SetTeams(LeaseTime now, const std::vector<TeamRow>& teams, double part);

  /// Empties all buckets: how much was lent a moment ago is not known.
  void Empty(LeaseTime now);

  /// Fills all buckets: nothing was lent by anybody.
  void Fill(LeaseTime now);

  /// Takes credits of `team`, as many as there are of those that are wanted.
  QuotaGrant Take(LeaseTime now, TeamKey team, uint32_t wanted);

  /// Puts credits into the bucket, as far as they fit.
  void Put(LeaseTime now, TeamKey team, uint32_t count);

  bool empty() const { return this->buckets.empty(); }

 private:
  struct Bucket {
    double rate = 0;  ///< Credits a second.
    double capacity = 0;
    double level = 0;
    LeaseTime filled{};
    LeaseTime next_return{};  ///< Told to the next one that gets too few.
    bool is_listed = true;
  };

  static void Refill(LeaseTime now, Bucket& bucket);
  static Duration RetryAfter(LeaseTime now, Bucket& bucket);

  std::map<TeamKey, Bucket> buckets;
};

/// Who asks: a thread of this VM, or another VM.
struct QuotaRequester {
  VmHandle vm;          ///< Invalid: this VM.
  uint16_t worker = 0;  ///< Of this VM.

  friend bool operator==(const QuotaRequester&,
                         const QuotaRequester&) = default;
};

struct OutgoingQuotaMessage {
  QuotaRequester to;
  std::variant<QuotaRequest, QuotaAnswer> message;
};

class QuotaLender {
 public:
  /// Says who lends the other shares.
  /// @param shares For each of them the VMs that may, in their order.
  /// @param siblings Others that may lend this VM's share.
  void SetOthers(const std::vector<std::vector<VmHandle>>& shares,
                 std::vector<VmHandle> siblings);

  void SetTeams(LeaseTime now, const std::vector<TeamRow>& teams, double part) {
    this->buckets.SetTeams(now, teams, part);
  }

  /// What is known of the share when its lease begins.
  enum class Past : uint8_t {
    kUnknown,  ///< Others may just have lent.
    kUnused,   ///< Nobody has lent it.
    kOwn,      ///< Nobody else has since this VM did.
    kCount
  };
  void Begin(LeaseTime now, Past past);
  void End() { this->lends = false; }

  void OnRequest(LeaseTime now,
                 const QuotaRequester& from,
                 const QuotaRequest& request);
  /// Another lender answers.
  void OnAnswer(LeaseTime now, VmHandle from, const QuotaAnswer& answer);
  void Tick(LeaseTime now);

  /// @returns true while other lenders are asked; then it needs a `Tick`.
  bool has_pending_requests() const { return !this->opened.empty(); }

  /// Adds to what is to be sent.
  void Enqueue(OutgoingQuotaMessage send) {
    this->sends.push_back(std::move(send));
  }

  /// @returns what is to be sent.
  std::vector<OutgoingQuotaMessage> TakeOutgoing();

 private:
  /// A request for which the other lenders are asked, one after the other.
  struct Open {
    QuotaRequester from;
    QuotaAnswer answer;
    std::vector<QuotaWant> missing;
    LeaseTime since{};
    LeaseTime asked{};  ///< The lender that is asked now.
    size_t next_share = 0;
    size_t shares_left = 0;
    VmHandle asking;
    uint64_t asked_number = 0;
    bool is_lent = false;       ///< Somebody lends.
    bool asks_sibling = false;  ///< Not yet, and this VM does not lend.
  };

  void TakeBack(LeaseTime now, const QuotaRequest& request);
  std::vector<QuotaWant> MissingOf(LeaseTime now,
                                   const QuotaRequest& request,
                                   const QuotaAnswer& answer) const;
  bool AskNext(LeaseTime now, Open& open);
  void Ask(LeaseTime now, Open& open, VmHandle vm);
  void Close(LeaseTime now, Open& open);
  void Answer(Open& open);
  void KeepLate(LeaseTime now, const QuotaAnswer& answer);
  static void Merge(Open& open, const QuotaAnswer& answer);

  QuotaBuckets buckets;
  std::vector<LenderChoice> others;
  LenderChoice sibling;
  std::vector<Open> opened;
  /// Requests to other lenders that may still be answered, and when they went.
  std::map<uint64_t, LeaseTime> asked;
  /// Teams for which no other lender has any, and until when.
  std::map<TeamKey, LeaseTime> exhausted;
  std::vector<OutgoingQuotaMessage> sends;
  uint64_t last_number = 0;
  size_t first_share = 0;  ///< Of `others`, asked first next time.
  bool lends = false;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_QUOTA_LENDER_H_

#ifndef BASILSILL_DECISION_QUOTA_ORDER_H_
#define BASILSILL_DECISION_QUOTA_ORDER_H_

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "basilsill/decision/quota.h"

/// Order in which the requests of one team get credits at a lender that is
/// short of them. It grants nothing by itself: the token bucket stays the only
/// source of credits.

namespace basilsill {

inline constexpr size_t kTrafficClasses =
    static_cast<size_t>(TrafficClass::kCount);

/// A request that waits at the lender for a credit.
struct HeldWant {
  uint64_t request = 0;  ///< Identifies the message that asked.
  uint64_t ticket = 0;
  CreditNeed need;
  LeaseTime until{};  ///< A credit is of no use after that time.
};

/// The order: first, each class up to its part, an eighth of the credits that
/// accrue; then requests that can be in time before late ones; urgent classes
/// before others; callers that return before new ones; and the earlier target
/// first.
class QuotaOrder {
 public:
  /// Updates the classes' parts.
  /// @param rate Credits per second that this lender can expect.
  void Accrue(LeaseTime now, double rate);

  void Add(LeaseTime now, const QuotaNeed& asked, uint64_t request);

  /// Removes and returns the request that gets the next credit.
  /// @param level Credits in the bucket.
  /// @param is_full The bucket has no room for the credit of an appointment.
  /// @returns nothing if no request may take a credit now.
  std::optional<HeldWant> TakeNext(LeaseTime now, double level, bool is_full);

  /// Removes and returns the requests that can't get a credit while it is of
  /// use to them.
  /// @param may_borrow Other lenders may have credits: only those whose time is
  /// over are returned.
  std::vector<HeldWant> TakeHopeless(LeaseTime now,
                                     double level,
                                     bool may_borrow);

  /// Removes and returns all requests.
  std::vector<HeldWant> TakeAll();

  /// @returns when a refused caller is to come back: at an appointment, which
  /// is kept for it, if there is one within its target and a third of its time;
  /// otherwise when a credit will be available.
  Duration RetryAfter(LeaseTime now, const CreditNeed& need);

  size_t size() const { return this->held.size(); }
  bool empty() const { return this->held.empty(); }
  /// @returns true if nothing is known that a new QuotaOrder would not know.
  bool IsIdle(LeaseTime now) const;

 private:
  struct OfClass {
    double part = 1;  ///< Credits that the class may take before others.
    RecentCount granted;
    LeaseTime in_time_at{};      ///< Last grant to a request in time.
    LeaseTime appointment_at{};  ///< The latest appointment given.
  };
  struct Appointment {
    LeaseTime at;
    TrafficClass traffic_class;
  };

  OfClass& ClassOf(const CreditNeed& need);
  size_t CountEntitled(LeaseTime now, size_t index) const;
  void Sort(LeaseTime now);
  void DropPassedAppointments(LeaseTime now);
  size_t CountDue(LeaseTime now) const;
  bool ClaimAppointment(LeaseTime now, const CreditNeed& need);

  std::vector<HeldWant> held;
  std::vector<Appointment> appointments;
  std::array<OfClass, kTrafficClasses> classes{};
  double rate = 1;
  LeaseTime accrued_at{};
  LeaseTime next_free_at{};  ///< Latest time given that is no appointment.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_QUOTA_ORDER_H_

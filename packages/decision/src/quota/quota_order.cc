#include "basilsill/decision/quota_order.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

namespace basilsill {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Longest time that a request waits at the lender. The borrower ends its wait
// after 300 ms, and the answer has to arrive before.
constexpr milliseconds kMaxHold{200};

// A late request, or one whose age is unknown, waits no longer than this: it
// gets only credits that nobody else can use.
constexpr milliseconds kMaxLateHold{100};

// Time between the decision here and the request's start at its VM: the
// lender's poll interval and a message between VMs.
constexpr milliseconds kAnswerMargin{10};

// Fraction of the credits that each class gets if it asks for them.
constexpr double kPartOfClass = 1.0 / 8;
// Unused part of a class that is kept, in credits.
constexpr double kMaxPart = 2;

// A class that got no credit for a request in time for so long gets its part
// also for late requests.
constexpr milliseconds kOnlyLateAfter{1000};

// Fraction of a class's credits that appointments may take. The rest is for
// requests that need not come back.
constexpr double kAppointedFraction = 0.5;

// A caller that returns needs a round trip, and then has to get its credit.
constexpr milliseconds kReturnTime{40};
// The credit of an appointment is kept from this long before until this long
// after it.
constexpr milliseconds kKeptBefore{10};
constexpr milliseconds kKeptAfter{40};

constexpr milliseconds kMinRetryAfter{10};
constexpr milliseconds kMaxRetryAfter{2000};

constexpr double kMinRate = 0.01;

// Tolerated rounding error of a bucket's level, in credits.
constexpr double kRoundingCredits = 1e-6;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

auto KeyOf(const HeldWant& want) {
  return std::make_tuple(!IsInTime(want.need), want.need.traffic_class,
                         !want.need.is_returning, want.until, want.request,
                         want.ticket);
}

bool IsBefore(const HeldWant& a, const HeldWant& b) {
  return KeyOf(a) < KeyOf(b);
}

}  // namespace

QuotaOrder::OfClass& QuotaOrder::ClassOf(const CreditNeed& need) {
  return this->classes[static_cast<size_t>(need.traffic_class)];
}

void QuotaOrder::Accrue(LeaseTime now, double new_rate) {
  const Seconds passed = now - this->accrued_at;
  const double added = kPartOfClass * this->rate * passed.count();
  for (OfClass& row : this->classes) {
    row.part = std::min(kMaxPart, row.part + added);
  }
  this->accrued_at = now;
  this->rate = std::max(kMinRate, new_rate);
}

void QuotaOrder::Add(LeaseTime now, const QuotaNeed& asked, uint64_t request) {
  HeldWant want{request, asked.ticket, asked.need, now};
  Duration hold =
      std::min<Duration>(kMaxLateHold, asked.need.time_left - kAnswerMargin);
  if (IsInTime(asked.need)) {
    hold =
        std::min<Duration>(kMaxHold, asked.need.until_target - kAnswerMargin);
  }
  want.until += std::max(hold, Duration(0));
  this->held.push_back(want);
}

// Number of requests of the class that its part covers.
size_t QuotaOrder::CountEntitled(LeaseTime now, size_t index) const {
  const OfClass& row = this->classes[index];
  const bool only_late = now - row.in_time_at >= kOnlyLateAfter;
  const auto covered = static_cast<size_t>(row.part);
  size_t count = 0;
  for (const HeldWant& want : this->held) {
    if (static_cast<size_t>(want.need.traffic_class) == index &&
        (IsInTime(want.need) || only_late)) {
      ++count;
    }
  }
  return std::min(count, covered);
}

void QuotaOrder::Sort(LeaseTime now) {
  std::sort(this->held.begin(), this->held.end(), &IsBefore);
  std::array<size_t, kTrafficClasses> entitled{};
  for (size_t i = 0; i < kTrafficClasses; ++i) {
    entitled[i] = this->CountEntitled(now, i);
  }
  std::vector<HeldWant> first;
  std::vector<HeldWant> rest;
  for (const HeldWant& want : this->held) {
    size_t& left = entitled[static_cast<size_t>(want.need.traffic_class)];
    if (left > 0) {
      --left;
      first.push_back(want);
    } else {
      rest.push_back(want);
    }
  }
  this->held = std::move(first);
  this->held.insert(this->held.end(), rest.begin(), rest.end());
}

void QuotaOrder::DropPassedAppointments(LeaseTime now) {
  std::erase_if(this->appointments, [now](const Appointment& each) {
    return each.at + kKeptAfter <= now;
  });
}

size_t QuotaOrder::CountDue(LeaseTime now) const {
  return static_cast<size_t>(std::count_if(
      this->appointments.begin(), this->appointments.end(),
      [now](const Appointment& each) { return each.at - kKeptBefore <= now; }));
}

// Ends the earliest due appointment of the request's class.
bool QuotaOrder::ClaimAppointment(LeaseTime now, const CreditNeed& need) {
  if (!need.is_returning || !IsInTime(need)) {
    return false;
  }
  const auto found =
      std::find_if(this->appointments.begin(), this->appointments.end(),
                   [&](const Appointment& each) {
                     return each.traffic_class == need.traffic_class &&
                            each.at - kKeptBefore <= now;
                   });
  if (found == this->appointments.end()) {
    return false;
  }
  this->appointments.erase(found);
  return true;
}

std::optional<HeldWant> QuotaOrder::TakeNext(LeaseTime now,
                                             double level,
                                             bool is_full) {
  if (this->held.empty() || level + kRoundingCredits < 1) {
    return std::nullopt;
  }
  this->DropPassedAppointments(now);
  this->Sort(now);
  auto next = this->held.begin();
  const double kept = is_full ? 0 : static_cast<double>(this->CountDue(now));
  if (level + kRoundingCredits < 1 + kept) {
    // What there is, is kept for callers with an appointment.
    next = std::find_if(this->held.begin(), this->held.end(),
                        [&](const HeldWant& want) {
                          return this->ClaimAppointment(now, want.need);
                        });
    if (next == this->held.end()) {
      return std::nullopt;
    }
  } else {
    this->ClaimAppointment(now, next->need);
  }
  const HeldWant taken = *next;
  this->held.erase(next);
  OfClass& row = this->ClassOf(taken.need);
  row.part = std::max(0.0, row.part - 1);
  row.granted.Add(now, 1);
  if (IsInTime(taken.need)) {
    row.in_time_at = now;
  }
  return taken;
}

std::vector<HeldWant> QuotaOrder::TakeHopeless(LeaseTime now,
                                               double level,
                                               bool may_borrow) {
  std::vector<HeldWant> hopeless;
  this->Sort(now);
  std::vector<HeldWant> kept;
  for (const HeldWant& want : this->held) {
    const double missing = static_cast<double>(kept.size()) + 1 - level;
    const Duration wait = FromSeconds(std::max(0.0, missing) / this->rate);
    const bool has_chance =
        may_borrow ? now < want.until : now + wait < want.until;
    (has_chance ? kept : hopeless).push_back(want);
  }
  this->held = std::move(kept);
  return hopeless;
}

std::vector<HeldWant> QuotaOrder::TakeAll() {
  return std::exchange(this->held, {});
}

Duration QuotaOrder::RetryAfter(LeaseTime now, const CreditNeed& need) {
  OfClass& row = this->ClassOf(need);
  const Seconds span = RecentCount::kSpan;
  const double class_rate =
      std::max(kPartOfClass * this->rate, row.granted.At(now) / span.count());
  const Duration interval = FromSeconds(1 / (class_rate * kAppointedFraction));
  const LeaseTime at =
      std::max(now + kMinRetryAfter, row.appointment_at + interval);
  const Duration latest = std::min<Duration>(
      {need.until_target - kReturnTime, need.time_left / 3, kMaxRetryAfter});
  if (IsInTime(need) && at - now <= latest) {
    row.appointment_at = at;
    this->appointments.push_back({at, need.traffic_class});
    return at - now;
  }
  // Credits up to the last appointment and for the waiting requests are spoken
  // for. Each refused caller is given a time of its own, since all but one of
  // those that come back at the same time would be refused again.
  const Duration queued =
      FromSeconds(static_cast<double>(this->held.size() + 1) / this->rate);
  this->next_free_at =
      std::max({now + queued, row.appointment_at,
                this->next_free_at + FromSeconds(1 / this->rate)});
  this->next_free_at = std::min(this->next_free_at, now + kMaxRetryAfter);
  return std::max<Duration>(this->next_free_at - now, kMinRetryAfter);
}

bool QuotaOrder::IsIdle(LeaseTime now) const {
  constexpr milliseconds idle_time{5000};
  return this->held.empty() && now - this->accrued_at >= idle_time;
}

}  // namespace basilsill

// Tests the order in which requests get credits at a lender that is short.

#include <vector>

#include "basilsill/decision/quota_order.h"

#include <CppUTest/TestHarness.h>

using basilsill::CreditNeed;
using basilsill::Duration;
using basilsill::HeldWant;
using basilsill::LeaseTime;
using basilsill::QuotaOrder;
using basilsill::TrafficClass;
using namespace std::chrono_literals;

TEST_GROUP(QuotaOrder) {
  LeaseTime now{std::chrono::hours(1)};
  QuotaOrder order;

  void setup() override {
    this->order.Accrue(this->now, 10);
    // Uses up the parts of the classes.
    for (int i = 0; i < 4; ++i) {
      for (uint64_t ticket = 1; ticket <= 2; ++ticket) {
        this->Add(ticket, static_cast<TrafficClass>(i), 100ms);
        this->order.TakeNext(this->now, 1, true);
      }
    }
  }

  void Add(uint64_t ticket, TrafficClass traffic_class, Duration until_target,
           bool is_returning = false) {
    const CreditNeed need{traffic_class, until_target, 3s, is_returning};
    this->order.Add(this->now, {ticket, need}, 1);
  }

  std::vector<uint64_t> TakeAll() {
    std::vector<uint64_t> tickets;
    while (const auto want = this->order.TakeNext(this->now, 1, true)) {
      tickets.push_back(want->ticket);
    }
    return tickets;
  }
};

TEST(QuotaOrder, TakeNext_Mixed_InTimeThenClassThenReturning) {
  this->Add(1, TrafficClass::kUrgent, 0ms, true);
  this->Add(2, TrafficClass::kBackground, 500ms);
  this->Add(3, TrafficClass::kOrdinary, 150ms);
  this->Add(4, TrafficClass::kOrdinary, 150ms, true);
  this->Add(5, TrafficClass::kUrgent, 140ms);
  const std::vector<uint64_t> expected{5, 4, 3, 2, 1};
  CHECK(this->TakeAll() == expected);
}

// Failure: urgent requests alone use more than the quota, and background
// requests never get a credit.
TEST(QuotaOrder, TakeNext_UrgentTakesAll_BackgroundGetsItsPart) {
  size_t background = 0;
  for (uint64_t i = 0; i < 800; ++i) {
    this->now += 100ms;
    this->order.Accrue(this->now, 10);
    this->Add(1, TrafficClass::kUrgent, 140ms);
    this->Add(2, TrafficClass::kBackground, 2000ms);
    background += this->order.TakeNext(this->now, 1, true)->ticket == 2 ? 1 : 0;
    this->order.TakeAll();
  }
  CHECK_COMPARE(background, >=, 95);
  CHECK_COMPARE(background, <=, 105);
}

// Failure: a class whose callers are all late gets nothing while others take
// the whole quota.
TEST(QuotaOrder, TakeNext_ClassIsAlwaysLate_GetsItsPart) {
  size_t late = 0;
  for (uint64_t i = 0; i < 800; ++i) {
    this->now += 100ms;
    this->order.Accrue(this->now, 10);
    this->Add(1, TrafficClass::kUrgent, 140ms);
    this->Add(2, TrafficClass::kBulk, 0ms, true);
    late += this->order.TakeNext(this->now, 1, true)->ticket == 2 ? 1 : 0;
    this->order.TakeAll();
  }
  CHECK_COMPARE(late, >=, 85);
}

TEST(QuotaOrder, TakeHopeless_MoreThanAccrueInTime_RefusesTheLast) {
  this->order.Accrue(this->now, 10);
  for (uint64_t ticket = 1; ticket <= 5; ++ticket) {
    this->Add(ticket, TrafficClass::kOrdinary, 250ms);
  }
  // Ten credits a second and at most 200 ms: one request has a chance.
  const std::vector<HeldWant> hopeless =
      this->order.TakeHopeless(this->now, 0, false);
  CHECK_EQUAL(4, hopeless.size());
  CHECK_EQUAL(1, this->order.size());
}

// Other lenders may have credits, so nothing is refused yet.
TEST(QuotaOrder, TakeHopeless_MayBorrow_RefusesNone) {
  for (uint64_t ticket = 1; ticket <= 5; ++ticket) {
    this->Add(ticket, TrafficClass::kOrdinary, 250ms);
  }
  CHECK_TRUE(this->order.TakeHopeless(this->now, 0, true).empty());
}

TEST(QuotaOrder, RetryAfter_InTime_AppointmentsFollowEachOther) {
  const CreditNeed need{TrafficClass::kBulk, 900ms, 6s, false};
  const Duration first = this->order.RetryAfter(this->now, need);
  const Duration second = this->order.RetryAfter(this->now, need);
  CHECK_COMPARE(first.count(), <, Duration(860ms).count());
  CHECK_COMPARE(first.count(), <, second.count());
}

// Failure: a caller is told a time at which its target has passed, or one that
// it does not wait for, as if a credit were kept for it.
TEST(QuotaOrder, RetryAfter_NoAppointmentWithinTarget_KeepsNoCredit) {
  const CreditNeed late{TrafficClass::kUrgent, 0ms, 2s, true};
  const Duration after = this->order.RetryAfter(this->now, late);
  CHECK_COMPARE(after.count(), >=, Duration(100ms).count());
  this->now += after;
  this->Add(1, TrafficClass::kOrdinary, 100ms);
  CHECK_TRUE(this->order.TakeNext(this->now, 1, false).has_value());
}

// Failure: a returning caller finds its credit taken by a new one.
TEST(QuotaOrder, TakeNext_AppointmentDue_KeepsTheCreditForTheCaller) {
  const CreditNeed need{TrafficClass::kBulk, 900ms, 6s, false};
  this->now += this->order.RetryAfter(this->now, need);
  this->Add(1, TrafficClass::kUrgent, 140ms);
  CHECK_FALSE(this->order.TakeNext(this->now, 1, false).has_value());
  this->Add(2, TrafficClass::kBulk, 300ms, true);
  CHECK_EQUAL(2, this->order.TakeNext(this->now, 1, false)->ticket);
  CHECK_EQUAL(1, this->order.TakeNext(this->now, 1, false)->ticket);
}

// A caller that does not come back costs nobody a credit.
TEST(QuotaOrder, TakeNext_AppointmentMissed_GivesTheCreditToOthers) {
  const CreditNeed need{TrafficClass::kBulk, 900ms, 6s, false};
  this->now += this->order.RetryAfter(this->now, need) + 60ms;
  this->Add(1, TrafficClass::kUrgent, 140ms);
  CHECK_TRUE(this->order.TakeNext(this->now, 1, false).has_value());
}

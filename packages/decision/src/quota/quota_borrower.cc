#include "basilsill/decision/quota_borrower.h"

#include <algorithm>
#include <utility>

namespace basilsill {
namespace {

using std::chrono::milliseconds;

// Longest time that a request waits for a credit. It is several times what a
// lender needs that has to ask other lenders first.
constexpr milliseconds kMaxWait{300};

// An answer that takes this long is considered lost.
constexpr milliseconds kAnswerTimeout{150};

// Pause before the next request, to a VM that does not lend yet or to the next
// candidate.
constexpr milliseconds kRequestBackoff{20};

// Retry time given to callers if there is no lender; another entry VM may find
// one.
constexpr milliseconds kUnavailableRetryAfter{250};

// Credits are returned with the next request, or on their own after this time.
constexpr milliseconds kMaxReturnDelay{50};

constexpr milliseconds kMinRetryAfter{10};
constexpr milliseconds kMaxRetryAfter{2000};

// Fraction of the recent request count for which credits are borrowed ahead. It
// covers half of the requests expected within the lifetime of a credit, since
// the team loses credits that are not used.
constexpr double kPrefetchFraction = 0.25;

constexpr milliseconds kEvictInterval{10000};

// Lower bound of the assumed grant rate, in credits per second. It bounds the
// time between the retries of two refused callers to one second.
constexpr double kMinGrantRate = 1;

}  // namespace

QuotaDecision QuotaBorrower::Acquire(LeaseTime now, TeamKey key) {
  Team& team = this->teams[key];
  team.arrivals.Add(now, 1);
  ++this->tally.asked;
  if (team.waiting.empty() && TakeCredit(now, team)) {
    return {QuotaVerdict::kGranted, 0, Duration(0), team.credit};
  }
  if (now < team.exhausted_until) {
    ++this->tally.refused;
    ++this->tally.refused_unasked;
    return {QuotaVerdict::kExhausted, 0, RetryAfter(now, team), {}};
  }
  team.waiting.push_back({++this->last_ticket, now});
  ++this->waiting_count;
  return {QuotaVerdict::kWait, this->last_ticket, Duration(0), {}};
}

bool QuotaBorrower::TakeCredit(LeaseTime now, Team& team) {
  if (now >= team.credit.until) {
    this->tally.voided += std::exchange(team.credits, 0);
  }
  if (team.credits == 0) {
    return false;
  }
  --team.credits;
  ++this->tally.granted;
  return true;
}

// Spreads the retries of refused callers at the rate at which credits were
// granted recently. With a common retry time they would all come back at once,
// and most would be refused again.
Duration QuotaBorrower::RetryAfter(LeaseTime now, Team& team) {
  const std::chrono::duration<double> span = RecentCount::kSpan;
  const double rate =
      std::max(kMinGrantRate, team.granted.At(now) / span.count());
  const auto interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / rate));
  team.next_retry_at =
      std::max(team.exhausted_until, team.next_retry_at + interval);
  return std::clamp<Duration>(team.next_retry_at - now, kMinRetryAfter,
                              kMaxRetryAfter);
}

// A void credit is dropped: the lender accepts credits only within their
// lifetime.
void QuotaBorrower::Return(LeaseTime now,
                           TeamKey key,
                           const QuotaCredit& credit) {
  if (now >= credit.until) {
    return;
  }
  if (this->returned.empty()) {
    this->returned_since = now;
  }
  ++this->tally.returned;
  this->returned.push_back({key, credit});
}

std::optional<QuotaRequest> QuotaBorrower::NextRequest(LeaseTime now) {
  const bool must_return =
      !this->returned.empty() && now - this->returned_since >= kMaxReturnDelay;
  const bool must_send = this->waiting_count > 0 || must_return;
  if (this->request_in_flight || !must_send || now < this->next_request_at) {
    return std::nullopt;
  }
  QuotaRequest request;
  this->AddWants(now, request);
  this->AddReturns(now, request);
  request.number = ++this->last_number;
  this->request_in_flight = true;
  this->requested_at = now;
  return request;
}

void QuotaBorrower::AddWants(LeaseTime now, QuotaRequest& request) const {
  for (const auto& [key, team] : this->teams) {
    if (team.waiting.empty() ||
        request.wants.size() == limits::kMaxQuotaTeams) {
      continue;
    }
    const auto prefetch =
        static_cast<uint32_t>(team.arrivals.At(now) * kPrefetchFraction);
    const auto waiting = static_cast<uint32_t>(team.waiting.size());
    request.wants.push_back({key, waiting + prefetch});
  }
}

void QuotaBorrower::AddReturns(LeaseTime now, QuotaRequest& request) {
  std::map<std::pair<TeamKey, uint64_t>, uint32_t> counts;
  for (const Returned& row : std::exchange(this->returned, {})) {
    if (now < row.credit.until) {
      ++counts[{row.team, row.credit.lent_at}];
    }
  }
  for (const auto& [of, count] : counts) {
    if (request.returns.size() < limits::kMaxQuotaTeams) {
      request.returns.push_back({of.first, count, of.second});
    }
  }
}

void QuotaBorrower::OnAnswer(LeaseTime now, const QuotaAnswer& answer) {
  if (!this->request_in_flight || answer.number != this->last_number) {
    return;
  }
  this->request_in_flight = false;
  if (!answer.lends && answer.grants.empty()) {
    this->next_request_at = now + kRequestBackoff;
    return;
  }
  for (const QuotaGrant& grant : answer.grants) {
    this->TakeGrant(now, grant, answer.lent_at);
  }
}

void QuotaBorrower::TakeGrant(LeaseTime now,
                              const QuotaGrant& grant,
                              uint64_t lent_at) {
  const auto found = this->teams.find(grant.team);
  if (found == this->teams.end()) {
    return;
  }
  Team& team = found->second;
  team.granted.Add(now, grant.granted);
  // Drops credits left from earlier answers. They expire sooner, and they are
  // few.
  this->tally.voided += std::exchange(team.credits, grant.granted);
  this->tally.borrowed += grant.granted;
  team.credit = {lent_at, this->requested_at + kCreditLife};
  while (!team.waiting.empty() && TakeCredit(now, team)) {
    this->Settle(team, {QuotaVerdict::kGranted, 0, Duration(0), team.credit});
  }
  if (grant.retry_after > Duration(0)) {
    team.exhausted_until = now + grant.retry_after;
  }
  // Neither enough credits nor a retry time: pauses before the next request,
  // since otherwise two VMs would exchange requests and answers without end.
  if (!team.waiting.empty() && now >= team.exhausted_until) {
    this->next_request_at = now + kRequestBackoff;
  }
  while (!team.waiting.empty() && now < team.exhausted_until) {
    this->Settle(team,
                 {QuotaVerdict::kExhausted, 0, RetryAfter(now, team), {}});
  }
}

void QuotaBorrower::Tick(LeaseTime now) {
  if (this->request_in_flight && now - this->requested_at >= kAnswerTimeout) {
    this->request_in_flight = false;
  }
  if (this->waiting_count > 0) {
    for (auto& [key, team] : this->teams) {
      while (!team.waiting.empty() &&
             now - team.waiting.front().since >= kMaxWait) {
        this->Settle(
            team, {QuotaVerdict::kUnavailable, 0, kUnavailableRetryAfter, {}});
      }
    }
  }
  this->EvictIdle(now);
}

// Ends the wait of the team's longest-waiting request.
void QuotaBorrower::Settle(Team& team, QuotaDecision decision) {
  decision.ticket = team.waiting.front().ticket;
  this->tally.refused += decision.verdict == QuotaVerdict::kGranted ? 0 : 1;
  team.waiting.pop_front();
  --this->waiting_count;
  this->settled.push_back(decision);
}

// Evicts idle teams: most teams are idle, and a VM handles requests of only a
// few at a time.
void QuotaBorrower::EvictIdle(LeaseTime now) {
  if (now - this->evicted_at < kEvictInterval) {
    return;
  }
  this->evicted_at = now;
  constexpr double idle_threshold = 0.001;
  std::erase_if(this->teams, [now](const auto& entry) {
    const Team& team = entry.second;
    return team.waiting.empty() && team.arrivals.At(now) < idle_threshold;
  });
}

std::vector<QuotaDecision> QuotaBorrower::TakeSettled() {
  return std::exchange(this->settled, {});
}

}  // namespace basilsill

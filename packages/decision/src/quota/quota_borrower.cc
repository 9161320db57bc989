#include "basilsill/decision/quota_borrower.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace basilsill {
namespace {

using std::chrono::milliseconds;

// Longest time that a request waits for a credit. It is several times what a
// lender needs that has to ask other lenders first.
constexpr milliseconds kMaxWait{300};

// A request whose target passes earlier waits until then, but at least as long
// as an answer usually takes.
constexpr milliseconds kMinWait{40};

// Credits that no request has used for so long go back to the lender.
constexpr milliseconds kReturnUnusedAfter{100};

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

QuotaCounts::OfClass& CountsOf(QuotaCounts& counts, const CreditNeed& need) {
  return counts.classes[static_cast<size_t>(need.traffic_class)];
}

template <typename Row>
bool IsBefore(const Row& a, const Row& b) {
  const auto key = [](const Row& row) {
    return std::make_tuple(!IsInTime(row.need), row.need.traffic_class,
                           !row.need.is_returning, row.until);
  };
  return key(a) < key(b);
}

template <typename Rows>
bool HasUnasked(const Rows& rows) {
  return std::any_of(rows.begin(), rows.end(),
                     [](const auto& row) { return row.asked == 0; });
}

template <typename Row>
CreditNeed NeedAt(LeaseTime now, const Row& row) {
  CreditNeed need = row.need;
  need.until_target -= std::min(now - row.since, need.until_target);
  need.time_left -= std::min(now - row.since, need.time_left);
  return need;
}

}  // namespace

QuotaDecision QuotaBorrower::Acquire(LeaseTime now,
                                     TeamKey key,
                                     const CreditNeed& need) {
  Team& team = this->teams[key];
  team.arrivals.Add(now, 1);
  ++CountsOf(this->tally, need).asked;
  if (team.waiting.empty()) {
    if (const std::optional<QuotaCredit> credit = this->TakeCredit(now, team)) {
      return this->Grant(need, *credit);
    }
  }
  if (now < team.exhausted_until) {
    ++this->tally.refused_unasked;
    return this->Refuse(need, QuotaVerdict::kExhausted, RetryAfter(now, team));
  }
  const Duration longest =
      IsInTime(need)
          ? std::clamp<Duration>(need.until_target, kMinWait, kMaxWait)
          : Duration(kMaxWait);
  const Waiting row{++this->last_ticket, need, now, now + longest, 0};
  team.waiting.insert(std::upper_bound(team.waiting.begin(), team.waiting.end(),
                                       row, &IsBefore<Waiting>),
                      row);
  ++this->waiting_count;
  return {QuotaVerdict::kWait, this->last_ticket, Duration(0), {}};
}

QuotaDecision QuotaBorrower::Grant(const CreditNeed& need, QuotaCredit credit) {
  credit.traffic_class = need.traffic_class;
  QuotaCounts::OfClass& counts = CountsOf(this->tally, need);
  ++(IsInTime(need) ? counts.granted_in_time : counts.granted_late);
  return {QuotaVerdict::kGranted, 0, Duration(0), credit};
}

QuotaDecision QuotaBorrower::Refuse(const CreditNeed& need,
                                    QuotaVerdict verdict,
                                    Duration retry_after) {
  ++CountsOf(this->tally, need).refused;
  return {verdict, 0, retry_after, {}};
}

void QuotaBorrower::DropVoid(LeaseTime now, Team& team) {
  while (!team.leftovers.empty() &&
         now >= team.leftovers.front().credit.until) {
    this->tally.voided += team.leftovers.front().count;
    team.leftovers.pop_front();
  }
}

std::optional<QuotaCredit> QuotaBorrower::TakeCredit(LeaseTime now,
                                                     Team& team) {
  this->DropVoid(now, team);
  if (team.leftovers.empty()) {
    return std::nullopt;
  }
  Leftover& oldest = team.leftovers.front();
  const QuotaCredit credit = oldest.credit;
  if (--oldest.count == 0) {
    team.leftovers.pop_front();
  }
  return credit;
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
    ++this->tally.voided;
    return;
  }
  const auto index = static_cast<size_t>(credit.traffic_class);
  ++this->tally.classes[index].returned;
  this->AddReturned(now, {key, credit, 1});
}

void QuotaBorrower::AddReturned(LeaseTime now, const Returned& row) {
  if (this->returned.empty()) {
    this->returned_since = now;
  }
  this->returned.push_back(row);
}

// Returns credits that no request has used for some time, before they become
// void.
void QuotaBorrower::ReturnLeftovers(LeaseTime now, TeamKey key, Team& team) {
  this->DropVoid(now, team);
  while (!team.leftovers.empty() && now >= team.leftovers.front().return_at) {
    const Leftover& oldest = team.leftovers.front();
    this->AddReturned(now, {key, oldest.credit, oldest.count});
    team.leftovers.pop_front();
  }
}

std::optional<QuotaRequest> QuotaBorrower::NextRequest(LeaseTime now) {
  const bool must_return =
      !this->returned.empty() && now - this->returned_since >= kMaxReturnDelay;
  const bool may_want =
      this->waiting_count > 0 &&
      std::any_of(this->teams.begin(), this->teams.end(), [](const auto& each) {
        return HasUnasked(each.second.waiting);
      });
  if (this->request_in_flight || !(may_want || must_return) ||
      now < this->next_request_at) {
    return std::nullopt;
  }
  QuotaRequest request;
  request.number = ++this->last_number;
  this->AddWants(now, request);
  this->AddReturns(now, request);
  this->request_in_flight = true;
  this->requested_at = now;
  this->sent_at.emplace_back(request.number, now);
  while (now - this->sent_at.front().second >= kMaxWait) {
    this->sent_at.pop_front();
  }
  return request;
}

void QuotaBorrower::AddWants(LeaseTime now, QuotaRequest& request) {
  for (auto& [key, team] : this->teams) {
    if (request.wants.size() == limits::kMaxQuotaTeams) {
      return;
    }
    QuotaWant want;
    want.team = key;
    for (Waiting& row : team.waiting) {
      if (row.asked != 0 || want.needs.size() == limits::kMaxQuotaNeeds) {
        continue;
      }
      row.asked = request.number;
      want.needs.push_back({row.ticket, NeedAt(now, row)});
    }
    if (want.needs.empty()) {
      continue;
    }
    const auto prefetch =
        static_cast<uint32_t>(team.arrivals.At(now) * kPrefetchFraction);
    want.wanted = static_cast<uint32_t>(want.needs.size()) + prefetch;
    request.wants.push_back(std::move(want));
  }
}

void QuotaBorrower::AddReturns(LeaseTime now, QuotaRequest& request) {
  std::map<std::pair<TeamKey, uint64_t>, uint32_t> counts;
  for (const Returned& row : std::exchange(this->returned, {})) {
    if (now >= row.credit.until) {
      this->tally.voided += row.count;
    } else {
      counts[{row.team, row.credit.lent_at}] += row.count;
    }
  }
  for (const auto& [of, count] : counts) {
    if (request.returns.size() < limits::kMaxQuotaTeams) {
      request.returns.push_back({of.first, count, of.second});
    }
  }
}

void QuotaBorrower::OnAnswer(LeaseTime now, const QuotaAnswer& answer) {
  const bool is_last = answer.number == this->last_number;
  if (is_last) {
    this->request_in_flight = false;
  }
  if (!answer.lends && answer.grants.empty()) {
    this->AskAgain(answer.number);
    if (is_last) {
      this->next_request_at = now + kRequestBackoff;
    }
    return;
  }
  for (const QuotaGrant& grant : answer.grants) {
    this->TakeGrant(now, grant, answer);
  }
}

// The message `number` asked in vain: its requests ask with the next one.
void QuotaBorrower::AskAgain(uint64_t number) {
  for (auto& [key, team] : this->teams) {
    for (Waiting& row : team.waiting) {
      row.asked = row.asked == number ? 0 : row.asked;
    }
  }
}

void QuotaBorrower::TakeGrant(LeaseTime now,
                              const QuotaGrant& grant,
                              const QuotaAnswer& answer) {
  const auto sent = std::find_if(
      this->sent_at.begin(), this->sent_at.end(),
      [&answer](const auto& row) { return row.first == answer.number; });
  const auto found = this->teams.find(grant.team);
  if (found == this->teams.end() || sent == this->sent_at.end()) {
    return;
  }
  Team& team = found->second;
  team.granted.Add(now, grant.granted);
  this->tally.borrowed += grant.granted;
  if (grant.granted > 0) {
    // A decision may come long after its request; the credit's life counts from
    // the request, which is before the lender lent it.
    team.leftovers.push_back({grant.granted,
                              {answer.lent_at, sent->second + kCreditLife, {}},
                              now + kReturnUnusedAfter});
  }
  if (grant.outcomes.empty() && grant.held == 0) {
    this->TakeCount(now, team, grant, answer.number);
  } else {
    this->TakeOutcomes(now, team, grant);
  }
  this->ServeLeftovers(now, team);
}

// Applies the lender's decision for each request.
void QuotaBorrower::TakeOutcomes(LeaseTime now,
                                 Team& team,
                                 const QuotaGrant& grant) {
  for (const QuotaOutcome& outcome : grant.outcomes) {
    const auto found = std::find_if(team.waiting.begin(), team.waiting.end(),
                                    [&outcome](const Waiting& row) {
                                      return row.ticket == outcome.ticket;
                                    });
    if (found == team.waiting.end()) {
      continue;
    }
    const auto index = static_cast<size_t>(found - team.waiting.begin());
    if (!outcome.is_granted) {
      this->Settle(
          team, index,
          this->Refuse(found->need, QuotaVerdict::kExhausted,
                       std::clamp<Duration>(outcome.retry_after, kMinRetryAfter,
                                            kMaxRetryAfter)));
    } else if (const auto credit = this->TakeCredit(now, team)) {
      this->Settle(team, index, this->Grant(found->need, *credit));
    } else {
      found->asked = 0;
    }
  }
}

// The answer of a VM that does not lend, or of an earlier version, is a number
// of credits: they go to the requests in order, and the others are refused.
void QuotaBorrower::TakeCount(LeaseTime now,
                              Team& team,
                              const QuotaGrant& grant,
                              uint64_t number) {
  this->ServeLeftovers(now, team);
  if (grant.retry_after > Duration(0)) {
    team.exhausted_until = now + grant.retry_after;
  }
  this->AskAgain(number);
  // Neither enough credits nor a retry time: pauses before the next request,
  // since otherwise two VMs would exchange requests and answers without end.
  if (!team.waiting.empty() && now >= team.exhausted_until) {
    this->next_request_at = now + kRequestBackoff;
  }
  while (!team.waiting.empty() && now < team.exhausted_until) {
    this->Settle(team, 0,
                 this->Refuse(team.waiting.front().need,
                              QuotaVerdict::kExhausted, RetryAfter(now, team)));
  }
}

// Grants the credits that are left to requests that wait.
void QuotaBorrower::ServeLeftovers(LeaseTime now, Team& team) {
  while (!team.waiting.empty()) {
    const std::optional<QuotaCredit> credit = this->TakeCredit(now, team);
    if (!credit) {
      return;
    }
    this->Settle(team, 0, this->Grant(team.waiting.front().need, *credit));
  }
}

void QuotaBorrower::Tick(LeaseTime now) {
  if (this->request_in_flight && now - this->requested_at >= kAnswerTimeout) {
    this->request_in_flight = false;
    this->AskAgain(this->last_number);
  }
  for (auto& [key, team] : this->teams) {
    for (size_t i = 0; i < team.waiting.size();) {
      if (now < team.waiting[i].until) {
        ++i;
        continue;
      }
      this->Settle(
          team, i,
          this->Refuse(team.waiting[i].need, QuotaVerdict::kUnavailable,
                       kUnavailableRetryAfter));
    }
    this->ReturnLeftovers(now, key, team);
  }
  this->EvictIdle(now);
}

// Ends the wait of one of the team's requests.
void QuotaBorrower::Settle(Team& team, size_t index, QuotaDecision decision) {
  const auto row = team.waiting.begin() + static_cast<ptrdiff_t>(index);
  decision.ticket = row->ticket;
  team.waiting.erase(row);
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

#include "basilsill/decision/quota_borrower.h"

#include <algorithm>
#include <utility>

namespace basilsill {
namespace {

using std::chrono::milliseconds;

// A request waits so long for its credit at most. It is some times what a
// lender takes that has to ask others first.
constexpr milliseconds kMaxWait{300};

// An answer that takes this long is taken for lost.
constexpr milliseconds kAnswerTimeout{150};

// Until a VM that does not lend yet, or the next candidate, is asked.
constexpr milliseconds kAskAgain{20};

// Told where nobody lends; another entry VM may find a lender.
constexpr milliseconds kUnavailableRetryAfter{250};

// Credits go back with the next question, or alone after so long.
constexpr milliseconds kMaxReturnDelay{50};

constexpr milliseconds kMinRetryAfter{10};
constexpr milliseconds kMaxRetryAfter{2000};

// Of as many requests as came of late, those for which credits are borrowed
// ahead: half of what will come within the life of a credit, since what is not
// used is lost to the team.
constexpr double kAheadPart = 0.25;

constexpr milliseconds kForgetAfter{10000};

// Two credits of one team are never that far apart.
constexpr double kMinGrantRate = 1;

}  // namespace

QuotaDecision QuotaBorrower::Acquire(LeaseTime now, TeamKey key) {
  Team& team = this->teams[key];
  team.entered.Add(now, 1);
  if (team.waiting.empty() && TakeCredit(now, team)) {
    return {QuotaVerdict::kGranted, 0, Duration(0), team.credit};
  }
  if (now < team.closed_until) {
    return {QuotaVerdict::kExhausted, 0, RetryAfter(now, team), {}};
  }
  team.waiting.push_back({++this->last_ticket, now});
  ++this->waiting_count;
  return {QuotaVerdict::kWait, this->last_ticket, Duration(0), {}};
}

bool QuotaBorrower::TakeCredit(LeaseTime now, Team& team) {
  if (team.credits == 0 || now >= team.credit.until) {
    return false;
  }
  --team.credits;
  return true;
}

// Those that are refused come back one after the other, as fast as credits came
// of late. Told one time, they would all come at once, and most be refused
// again.
Duration QuotaBorrower::RetryAfter(LeaseTime now, Team& team) {
  const std::chrono::duration<double> span = RecentCount::kSpan;
  const double rate =
      std::max(kMinGrantRate, team.granted.At(now) / span.count());
  const auto pace = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / rate));
  team.next_return = std::max(team.closed_until, team.next_return + pace);
  return std::clamp<Duration>(team.next_return - now, kMinRetryAfter,
                              kMaxRetryAfter);
}

// A credit that is void by now is not lent again: its rate has been.
void QuotaBorrower::Return(LeaseTime now,
                           TeamKey key,
                           const QuotaCredit& credit) {
  if (now >= credit.until) {
    return;
  }
  if (this->returned.empty()) {
    this->returned_since = now;
  }
  this->returned.push_back({key, credit});
}

std::optional<QuotaRequest> QuotaBorrower::NextRequest(LeaseTime now) {
  const bool gives_back =
      !this->returned.empty() && now - this->returned_since >= kMaxReturnDelay;
  const bool has_need = this->waiting_count > 0 || gives_back;
  if (this->asking || !has_need || now < this->ask_again_at) {
    return std::nullopt;
  }
  QuotaRequest request;
  this->AddWants(now, request);
  this->AddReturns(now, request);
  request.number = ++this->last_number;
  this->asking = true;
  this->asked_at = now;
  return request;
}

void QuotaBorrower::AddWants(LeaseTime now, QuotaRequest& request) const {
  for (const auto& [key, team] : this->teams) {
    if (team.waiting.empty() ||
        request.wants.size() == limits::kMaxQuotaTeams) {
      continue;
    }
    const auto ahead = static_cast<uint32_t>(team.entered.At(now) * kAheadPart);
    const auto waiting = static_cast<uint32_t>(team.waiting.size());
    request.wants.push_back({key, waiting + ahead});
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
  if (!this->asking || answer.number != this->last_number) {
    return;
  }
  this->asking = false;
  if (!answer.lends && answer.grants.empty()) {
    this->ask_again_at = now + kAskAgain;
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
  // What is left of earlier ones is void sooner; they are few.
  team.credits = grant.granted;
  team.credit = {lent_at, this->asked_at + kCreditLife};
  while (!team.waiting.empty() && TakeCredit(now, team)) {
    this->Settle(team, {QuotaVerdict::kGranted, 0, Duration(0), team.credit});
  }
  if (grant.retry_after > Duration(0)) {
    team.closed_until = now + grant.retry_after;
  }
  // Nobody says when: not asked again at once, or two VMs do nothing else.
  if (!team.waiting.empty() && now >= team.closed_until) {
    this->ask_again_at = now + kAskAgain;
  }
  while (!team.waiting.empty() && now < team.closed_until) {
    this->Settle(team,
                 {QuotaVerdict::kExhausted, 0, RetryAfter(now, team), {}});
  }
}

void QuotaBorrower::Tick(LeaseTime now) {
  if (this->asking && now - this->asked_at >= kAnswerTimeout) {
    this->asking = false;
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
  this->ForgetIdle(now);
}

// Ends the wait of the request that has waited longest.
void QuotaBorrower::Settle(Team& team, QuotaDecision decision) {
  decision.ticket = team.waiting.front().ticket;
  team.waiting.pop_front();
  --this->waiting_count;
  this->settled.push_back(decision);
}

// Most teams are idle, and a VM sees a few of them at a time.
void QuotaBorrower::ForgetIdle(LeaseTime now) {
  if (now - this->forgotten_at < kForgetAfter) {
    return;
  }
  this->forgotten_at = now;
  constexpr double few = 0.001;
  std::erase_if(this->teams, [now](const auto& entry) {
    const Team& team = entry.second;
    return team.waiting.empty() && team.entered.At(now) < few;
  });
}

std::vector<QuotaDecision> QuotaBorrower::TakeSettled() {
  return std::exchange(this->settled, {});
}

}  // namespace basilsill

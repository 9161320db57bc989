// The part of QuotaLender that decides on requests of borrowers. A request that
// gets no credit at once may wait shortly, in the order of QuotaOrder.

#include <algorithm>
#include <utility>

#include "basilsill/decision/quota_lender.h"
#include "quota_lender_parts.h"

namespace basilsill {
namespace {

using std::chrono::milliseconds;

// Pause before other lenders are asked again that had too few credits.
constexpr milliseconds kMinAskPause{10};
constexpr milliseconds kMaxAskPause{50};

// Credits for requests to come are granted only while the bucket is fuller
// than this fraction: they become void if no request comes.
constexpr double kPrefetchLevel = 0.5;

constexpr milliseconds kUnlentRetryAfter{100};

// A borrower of an earlier version takes an answer for lost after 150 ms.
constexpr milliseconds kHoldWithoutNeeds{100};

QuotaGrant& GrantOf(QuotaAnswer& answer, TeamKey team) {
  if (QuotaGrant* grant = FindGrant(answer, team)) {
    return *grant;
  }
  answer.grants.push_back({team, 0, Duration(0), {}, 0});
  return answer.grants.back();
}

// A borrower of an earlier version tells only how many credits it wants.
std::vector<QuotaNeed> NeedsOf(const QuotaWant& want) {
  if (!want.needs.empty()) {
    return want.needs;
  }
  const size_t count = std::min<size_t>(want.wanted, limits::kMaxQuotaNeeds);
  QuotaNeed plain;
  plain.need.until_target = kHoldWithoutNeeds;
  return std::vector<QuotaNeed>(count, plain);
}

}  // namespace

void QuotaLender::Lend(LeaseTime now,
                       const QuotaRequester& from,
                       const QuotaRequest& request) {
  const uint64_t id = ++this->last_open;
  OpenRequest& open = this->open_requests[id];
  open.from = from;
  open.answer.number = request.number;
  open.answer.lends = true;
  open.answer.lent_at = TicksOf(now);
  open.without_needs =
      std::any_of(request.wants.begin(), request.wants.end(),
                  [](const QuotaWant& want) { return want.needs.empty(); });
  for (const QuotaWant& want : request.wants) {
    this->AddWant(now, want, id, open);
  }
  for (const QuotaWant& want : request.wants) {
    const auto found = this->short_teams.find(want.team);
    if (found != this->short_teams.end()) {
      this->Serve(now, want.team, found->second);
    }
  }
  this->SendAnswers();
}

void QuotaLender::AddWant(LeaseTime now,
                          const QuotaWant& want,
                          uint64_t id,
                          OpenRequest& open) {
  const std::optional<QuotaBuckets::State> state =
      this->buckets.StateOf(now, want.team);
  QuotaGrant& grant = GrantOf(open.answer, want.team);
  if (!state) {
    grant = this->buckets.Take(now, want.team, want.wanted);
    return;
  }
  // While the team is short, credits may be kept for callers that return, so
  // the order decides also if nobody waits.
  const bool is_short = this->short_teams.contains(want.team);
  const std::vector<QuotaNeed> needs = NeedsOf(want);
  if (!is_short && state->level >= static_cast<double>(needs.size())) {
    const auto spare = static_cast<uint32_t>(
        std::max(0.0, state->level - static_cast<double>(needs.size()) -
                          kPrefetchLevel * state->capacity));
    const auto count = static_cast<uint32_t>(needs.size());
    const uint32_t ahead =
        std::min(want.wanted - std::min(want.wanted, count), spare);
    grant.granted = this->buckets.Take(now, want.team, count + ahead).granted;
    for (const QuotaNeed& each : want.needs) {
      grant.outcomes.push_back({each.ticket, true, Duration(0)});
    }
    return;
  }
  ShortTeam& row = this->short_teams[want.team];
  for (const QuotaNeed& each : needs) {
    row.order.Add(now, each, id);
  }
  grant.held = static_cast<uint32_t>(needs.size());
  open.held += needs.size();
}

// Credits for another lender, which has requests that wait. Requests that wait
// here come first.
QuotaGrant QuotaLender::LendToLender(LeaseTime now, const QuotaWant& want) {
  const auto found = this->short_teams.find(want.team);
  if (found != this->short_teams.end()) {
    this->Serve(now, want.team, found->second);
    this->SendAnswers();
  }
  return this->buckets.Take(now, want.team, want.wanted);
}

// Grants the credits that there are, and refuses requests that have no chance.
void QuotaLender::Serve(LeaseTime now, TeamKey team, ShortTeam& row) {
  std::optional<QuotaBuckets::State> state = this->buckets.StateOf(now, team);
  if (!state) {
    for (const HeldWant& want : row.order.TakeAll()) {
      this->Decide(now, team, row, want, false);
    }
    return;
  }
  const std::chrono::duration<double> span = RecentCount::kSpan;
  row.order.Accrue(now, state->rate + row.borrowed.At(now) / span.count());
  while (const std::optional<HeldWant> next = row.order.TakeNext(
             now, state->level, state->level + 1 > state->capacity)) {
    this->buckets.Take(now, team, 1);
    state->level -= 1;
    this->Decide(now, team, row, *next, true);
  }
  if (!row.order.empty()) {
    this->AskOthers(now, team, row);
  }
  const bool may_borrow = row.asked_number != 0;
  for (const HeldWant& want :
       row.order.TakeHopeless(now, state->level, may_borrow)) {
    this->Decide(now, team, row, want, false);
  }
}

void QuotaLender::Decide(LeaseTime now,
                         TeamKey team,
                         ShortTeam& row,
                         const HeldWant& want,
                         bool is_granted) {
  const Duration retry_after =
      is_granted ? Duration(0) : row.order.RetryAfter(now, want.need);
  const auto found = this->open_requests.find(want.request);
  if (found == this->open_requests.end()) {
    return;
  }
  OpenRequest& open = found->second;
  open.has_news = true;
  if (!open.without_needs) {
    open.answer.lent_at = TicksOf(now);
  }
  QuotaGrant& grant = GrantOf(open.answer, team);
  grant.granted += is_granted ? 1 : 0;
  grant.held -= std::min(grant.held, 1U);
  --open.held;
  if (open.without_needs) {
    grant.retry_after = std::max(grant.retry_after, retry_after);
  } else {
    grant.outcomes.push_back({want.ticket, is_granted, retry_after});
  }
}

void QuotaLender::AskOthers(LeaseTime now, TeamKey team, ShortTeam& row) {
  if (row.asked_number != 0 || now < row.ask_again_at) {
    return;
  }
  row.shares_left = this->other_shares.size();
  row.next_share = this->first_share++;
  this->AskNextShare(now, team, row);
}

void QuotaLender::AskNextShare(LeaseTime now, TeamKey team, ShortTeam& row) {
  row.asked_number = 0;
  while (row.shares_left > 0 && !row.order.empty()) {
    --row.shares_left;
    const LenderChoice& share =
        this->other_shares[row.next_share++ % this->other_shares.size()];
    if (!IsValid(share.current())) {
      continue;
    }
    QuotaRequest request;
    request.number = ++this->last_number;
    request.of_lender = true;
    row.asked_for = static_cast<uint32_t>(row.order.size());
    request.wants.push_back({team, row.asked_for, {}});
    row.asked_number = request.number;
    row.asked_lender = share.current();
    row.asked_at = now;
    this->forwarded_at[request.number] = now;
    this->outgoing.push_back({{row.asked_lender, 0}, std::move(request)});
    return;
  }
  row.ask_again_at = std::max(row.ask_again_at, now + kMinAskPause);
}

// Gives credits of another lender to requests that wait.
// @returns false if no request waits for this answer.
bool QuotaLender::TakeLent(LeaseTime now,
                           VmHandle from,
                           const QuotaAnswer& answer) {
  const auto found =
      std::find_if(this->short_teams.begin(), this->short_teams.end(),
                   [&](const auto& entry) {
                     return answer.number != 0 &&
                            entry.second.asked_number == answer.number &&
                            entry.second.asked_lender == from;
                   });
  if (found == this->short_teams.end()) {
    return false;
  }
  const TeamKey team = found->first;
  ShortTeam& row = found->second;
  this->forwarded_at.erase(answer.number);
  uint32_t granted = 0;
  for (const QuotaGrant& grant : answer.grants) {
    granted += grant.team == team ? grant.granted : 0;
  }
  row.borrowed.Add(now, granted);
  for (uint32_t left = granted; left > 0; --left) {
    const std::optional<HeldWant> next = row.order.TakeNext(now, left, true);
    if (!next) {
      this->buckets.Put(now, team, left);
      break;
    }
    this->Decide(now, team, row, *next, true);
  }
  if (granted < row.asked_for) {
    for (const QuotaGrant& grant : answer.grants) {
      const Duration pause =
          std::clamp<Duration>(grant.retry_after, kMinAskPause, kMaxAskPause);
      row.ask_again_at = std::max(row.ask_again_at, now + pause);
    }
    this->AskNextShare(now, team, row);
  } else {
    row.asked_number = 0;
  }
  this->Serve(now, team, row);
  this->SendAnswers();
  return true;
}

void QuotaLender::TickShortTeams(LeaseTime now) {
  for (auto& [team, row] : this->short_teams) {
    if (row.asked_number != 0 && now - row.asked_at >= kLenderTimeout) {
      for (LenderChoice& share : this->other_shares) {
        share.PassOver(row.asked_lender);
      }
      this->AskNextShare(now, team, row);
    }
    if (!row.order.empty()) {
      this->Serve(now, team, row);
    }
  }
  std::erase_if(this->short_teams, [now](const auto& entry) {
    return entry.second.asked_number == 0 && entry.second.order.IsIdle(now);
  });
  this->SendAnswers();
}

// Failure: the lease ends while requests wait here. Their borrowers ask the
// next lender.
void QuotaLender::End() {
  if (!std::exchange(this->lends, false)) {
    return;
  }
  for (auto& [team, row] : this->short_teams) {
    for (const HeldWant& want : row.order.TakeAll()) {
      const auto found = this->open_requests.find(want.request);
      if (found != this->open_requests.end()) {
        OpenRequest& open = found->second;
        --open.held;
        open.has_news = true;
        QuotaGrant& grant = GrantOf(open.answer, team);
        grant.held -= std::min(grant.held, 1U);
        if (open.without_needs) {
          grant.retry_after = kUnlentRetryAfter;
        } else {
          grant.outcomes.push_back({want.ticket, false, kUnlentRetryAfter});
        }
      }
    }
  }
  this->short_teams.clear();
  this->SendAnswers();
}

// Answers each request whose decisions changed. A borrower of an earlier
// version gets one answer, once all are made.
void QuotaLender::SendAnswers() {
  for (auto& [id, open] : this->open_requests) {
    if (!open.has_news || (open.without_needs && open.held > 0)) {
      continue;
    }
    this->outgoing.push_back({open.from, open.answer});
    open.has_news = false;
    for (QuotaGrant& grant : open.answer.grants) {
      grant.granted = 0;
      grant.outcomes.clear();
    }
    std::erase_if(open.answer.grants,
                  [](const QuotaGrant& grant) { return grant.held == 0; });
  }
  std::erase_if(this->open_requests,
                [](const auto& entry) { return entry.second.held == 0; });
}

}  // namespace basilsill

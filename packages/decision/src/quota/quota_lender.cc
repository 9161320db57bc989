#include "basilsill/decision/quota_lender.h"

#include <algorithm>
#include <utility>

#include "quota_lender_parts.h"

namespace basilsill {
namespace {

using std::chrono::milliseconds;

// Limit on the time that a request spends waiting for other lenders.
constexpr milliseconds kMaxPendingTime{100};

// Retry time given if the share of this data centre is not lent and the other
// lenders have no credits left.
constexpr milliseconds kNoLenderRetryAfter{100};

}  // namespace

void QuotaLender::SetOtherLenders(
    const std::vector<std::vector<VmHandle>>& shares,
    std::vector<VmHandle> siblings) {
  this->sibling.SetCandidates(std::move(siblings));
  this->other_shares.resize(shares.size());
  for (size_t i = 0; i < shares.size(); ++i) {
    this->other_shares[i].SetCandidates(shares[i]);
  }
}

void QuotaLender::BeginFull(LeaseTime now) {
  this->lends = true;
  this->buckets.Fill(now);
}

void QuotaLender::BeginAt(LeaseTime now, const QuotaStart& start) {
  this->lends = true;
  this->buckets.StartAt(now, start);
}

// Failure: the platform's store refuses calls of a data centre's lender, and
// its lease expires. All requests there of teams with a quota would be refused
// until another VM may lend the share, although the other shares are still
// lent. So a VM that does not lend forwards requests to those that do.
void QuotaLender::OnRequest(LeaseTime now,
                            const QuotaRequester& from,
                            const QuotaRequest& request) {
  if (this->lends) {
    this->ApplyReturns(now, request);
  }
  if (this->lends && !request.of_lender) {
    this->Lend(now, from, request);
    return;
  }
  QuotaAnswer answer;
  answer.number = request.number;
  answer.lends = this->lends;
  answer.lent_at = TicksOf(now);
  for (const QuotaWant& want : request.wants) {
    answer.grants.push_back(
        this->lends ? this->LendToLender(now, want)
                    : QuotaGrant{want.team, 0, kNoLenderRetryAfter, {}, 0});
  }
  PendingRequest pending;
  pending.from = from;
  pending.has_lender = this->lends;
  pending.may_ask_sibling = !this->lends;
  pending.missing = this->FindMissing(now, request, answer);
  pending.answer = std::move(answer);
  pending.since = now;
  pending.shares_left = this->other_shares.size();
  pending.next_share = this->first_share++;
  if (request.of_lender || pending.missing.empty() ||
      !this->ForwardToNext(now, pending)) {
    this->Answer(pending);
    return;
  }
  this->pending_requests.push_back(std::move(pending));
}

// Accepts only credits lent within the lifetime of a credit: in any window, no
// more can be returned to a bucket than it granted just before.
void QuotaLender::ApplyReturns(LeaseTime now, const QuotaRequest& request) {
  for (const QuotaReturn& returned : request.returns) {
    const Duration age = now.time_since_epoch() - Duration(returned.lent_at);
    if (age >= Duration(0) && age < kCreditLife) {
      this->buckets.Put(now, returned.team, returned.count);
    }
  }
}

std::vector<QuotaWant> QuotaLender::FindMissing(
    LeaseTime now,
    const QuotaRequest& request,
    const QuotaAnswer& answer) const {
  std::vector<QuotaWant> missing;
  for (size_t i = 0; i < request.wants.size(); ++i) {
    const QuotaWant& want = request.wants[i];
    const uint32_t granted = answer.grants[i].granted;
    const auto exhausted_entry = this->exhausted_until.find(want.team);
    const bool is_exhausted = exhausted_entry != this->exhausted_until.end() &&
                              now < exhausted_entry->second;
    if (granted < want.wanted && !is_exhausted) {
      missing.push_back({want.team, want.wanted - granted, {}});
    }
  }
  return missing;
}

// Forwards the request to the next lender.
// @returns false if there is none left.
bool QuotaLender::ForwardToNext(LeaseTime now, PendingRequest& pending) {
  while (pending.shares_left > 0) {
    --pending.shares_left;
    const LenderChoice& share =
        this->other_shares[pending.next_share++ % this->other_shares.size()];
    if (!IsValid(share.current())) {
      continue;
    }
    this->Forward(now, pending, share.current());
    return true;
  }
  if (std::exchange(pending.may_ask_sibling, false) &&
      IsValid(this->sibling.current())) {
    this->Forward(now, pending, this->sibling.current());
    return true;
  }
  return false;
}

void QuotaLender::Forward(LeaseTime now, PendingRequest& pending, VmHandle vm) {
  QuotaRequest request;
  request.number = ++this->last_number;
  request.of_lender = true;
  request.wants = pending.missing;
  pending.current_lender = vm;
  pending.forwarded_number = request.number;
  pending.forwarded_at = now;
  this->forwarded_at[request.number] = now;
  this->outgoing.push_back({{vm, 0}, std::move(request)});
}

void QuotaLender::OnAnswer(LeaseTime now,
                           VmHandle from,
                           const QuotaAnswer& answer) {
  if (!answer.lends) {
    for (LenderChoice& share : this->other_shares) {
      share.PassOver(from);
    }
  }
  if (this->TakeLent(now, from, answer)) {
    return;
  }
  const auto found =
      std::find_if(this->pending_requests.begin(), this->pending_requests.end(),
                   [&](const PendingRequest& pending) {
                     return pending.current_lender == from &&
                            pending.forwarded_number == answer.number;
                   });
  if (found == this->pending_requests.end()) {
    this->KeepLateGrants(now, answer);
    return;
  }
  this->forwarded_at.erase(answer.number);
  found->has_lender = found->has_lender || answer.lends;
  Merge(*found, answer);
  if (found->missing.empty() || !this->ForwardToNext(now, *found)) {
    this->Close(now, *found);
    this->pending_requests.erase(found);
  }
}

// Puts the credits of an answer that came too late for its request into the
// buckets, for later requests.
void QuotaLender::KeepLateGrants(LeaseTime now, const QuotaAnswer& answer) {
  if (this->forwarded_at.erase(answer.number) == 0) {
    return;
  }
  for (const QuotaGrant& grant : answer.grants) {
    this->buckets.Put(now, grant.team, grant.granted);
  }
}

void QuotaLender::Merge(PendingRequest& pending, const QuotaAnswer& answer) {
  for (const QuotaGrant& more : answer.grants) {
    const auto missing = std::find_if(
        pending.missing.begin(), pending.missing.end(),
        [&more](const QuotaWant& want) { return want.team == more.team; });
    QuotaGrant* grant = FindGrant(pending.answer, more.team);
    if (missing == pending.missing.end() || grant == nullptr) {
      continue;
    }
    grant->granted += more.granted;
    missing->wanted -= std::min(missing->wanted, more.granted);
  }
  std::erase_if(pending.missing,
                [](const QuotaWant& want) { return want.wanted == 0; });
}

// Ends a forwarded request, and answers with the credits granted so far.
void QuotaLender::Close(LeaseTime now, PendingRequest& pending) {
  for (QuotaGrant& grant : pending.answer.grants) {
    const bool is_missing = std::any_of(
        pending.missing.begin(), pending.missing.end(),
        [&grant](const QuotaWant& want) { return want.team == grant.team; });
    if (is_missing && pending.has_lender) {
      this->exhausted_until[grant.team] = now + grant.retry_after;
    } else if (!is_missing) {
      grant.retry_after = Duration(0);
    }
  }
  this->Answer(pending);
}

void QuotaLender::Answer(PendingRequest& pending) {
  if (!pending.has_lender) {
    pending.answer.grants.clear();
  }
  this->outgoing.push_back({pending.from, std::move(pending.answer)});
}

void QuotaLender::Tick(LeaseTime now) {
  this->TickShortTeams(now);
  for (size_t i = 0; i < this->pending_requests.size();) {
    PendingRequest& pending = this->pending_requests[i];
    const bool is_timed_out = now - pending.forwarded_at >= kLenderTimeout;
    if (is_timed_out) {
      for (LenderChoice& share : this->other_shares) {
        share.PassOver(pending.current_lender);
      }
    }
    const bool is_expired = now - pending.since >= kMaxPendingTime;
    if (is_expired || (is_timed_out && !this->ForwardToNext(now, pending))) {
      this->Close(now, pending);
      this->pending_requests.erase(this->pending_requests.begin() +
                                   static_cast<ptrdiff_t>(i));
    } else {
      ++i;
    }
  }
  std::erase_if(this->forwarded_at, [now](const auto& entry) {
    return now - entry.second >= kCreditLife;
  });
  std::erase_if(this->exhausted_until,
                [now](const auto& entry) { return now >= entry.second; });
}

std::vector<OutgoingQuotaMessage> QuotaLender::TakeOutgoing() {
  return std::exchange(this->outgoing, {});
}

}  // namespace basilsill

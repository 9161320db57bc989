#include "basilsill/decision/quota_lender.h"

#include <algorithm>
#include <utility>

namespace basilsill {
namespace {

using std::chrono::milliseconds;

// Another lender answers within a round trip between data centres; one that
// takes this long is passed over.
constexpr milliseconds kLenderTimeout{40};

// All that is asked of others for one request.
constexpr milliseconds kMaxOpen{100};

// Told where the share of the data centre is not lent and the others have
// nothing left.
constexpr milliseconds kUnlentRetryAfter{100};

uint64_t TicksOf(LeaseTime time) {
  return static_cast<uint64_t>(time.time_since_epoch().count());
}

QuotaGrant* FindGrant(QuotaAnswer& answer, TeamKey team) {
  for (QuotaGrant& grant : answer.grants) {
    if (grant.team == team) {
      return &grant;
    }
  }
  return nullptr;
}

}  // namespace

void QuotaLender::SetOthers(const std::vector<std::vector<VmHandle>>& shares,
                            std::vector<VmHandle> siblings) {
  this->sibling.SetCandidates(std::move(siblings));
  this->others.resize(shares.size());
  for (size_t i = 0; i < shares.size(); ++i) {
    this->others[i].SetCandidates(shares[i]);
  }
}

void QuotaLender::Begin(LeaseTime now, Past past) {
  if (this->lends) {
    return;
  }
  this->lends = true;
  if (past == Past::kUnused) {
    this->buckets.Fill(now);
  } else if (past == Past::kUnknown) {
    this->buckets.Empty(now);
  }
}

// Failure: the platform's store turns the lender of a data centre away, and its
// lease ends. All requests there of teams with a quota would be refused until
// another VM may lend the share, though the other shares are lent. So one that
// does not lend asks those that do.
void QuotaLender::OnRequest(LeaseTime now,
                            const QuotaRequester& from,
                            const QuotaRequest& request) {
  QuotaAnswer answer;
  answer.number = request.number;
  answer.lends = this->lends;
  answer.lent_at = TicksOf(now);
  if (this->lends) {
    this->TakeBack(now, request);
  }
  for (const QuotaWant& want : request.wants) {
    answer.grants.push_back(
        this->lends ? this->buckets.Take(now, want.team, want.wanted)
                    : QuotaGrant{want.team, 0, kUnlentRetryAfter});
  }
  Open open;
  open.from = from;
  open.is_lent = this->lends;
  open.asks_sibling = !this->lends;
  open.missing = this->MissingOf(now, request, answer);
  open.answer = std::move(answer);
  open.since = now;
  open.shares_left = this->others.size();
  open.next_share = this->first_share++;
  if (request.of_lender || open.missing.empty() || !this->AskNext(now, open)) {
    this->Answer(open);
    return;
  }
  this->opened.push_back(std::move(open));
}

// Only what was lent within the life of a credit: in any window no more can
// come back into a bucket than it gave just before.
void QuotaLender::TakeBack(LeaseTime now, const QuotaRequest& request) {
  for (const QuotaReturn& back : request.returns) {
    const Duration age = now.time_since_epoch() - Duration(back.lent_at);
    if (age >= Duration(0) && age < kCreditLife) {
      this->buckets.Put(now, back.team, back.count);
    }
  }
}

std::vector<QuotaWant> QuotaLender::MissingOf(LeaseTime now,
                                              const QuotaRequest& request,
                                              const QuotaAnswer& answer) const {
  std::vector<QuotaWant> missing;
  for (size_t i = 0; i < request.wants.size(); ++i) {
    const QuotaWant& want = request.wants[i];
    const uint32_t granted = answer.grants[i].granted;
    const auto closed = this->exhausted.find(want.team);
    const bool is_closed =
        closed != this->exhausted.end() && now < closed->second;
    if (granted < want.wanted && !is_closed) {
      missing.push_back({want.team, want.wanted - granted});
    }
  }
  return missing;
}

// @returns false if there is nobody left to ask.
bool QuotaLender::AskNext(LeaseTime now, Open& open) {
  while (open.shares_left > 0) {
    --open.shares_left;
    const LenderChoice& share =
        this->others[open.next_share++ % this->others.size()];
    if (!IsValid(share.current())) {
      continue;
    }
    this->Ask(now, open, share.current());
    return true;
  }
  if (std::exchange(open.asks_sibling, false) &&
      IsValid(this->sibling.current())) {
    this->Ask(now, open, this->sibling.current());
    return true;
  }
  return false;
}

void QuotaLender::Ask(LeaseTime now, Open& open, VmHandle vm) {
  QuotaRequest request;
  request.number = ++this->last_number;
  request.of_lender = true;
  request.wants = open.missing;
  open.asking = vm;
  open.asked_number = request.number;
  open.asked = now;
  this->asked[request.number] = now;
  this->sends.push_back({{vm, 0}, std::move(request)});
}

void QuotaLender::OnAnswer(LeaseTime now,
                           VmHandle from,
                           const QuotaAnswer& answer) {
  if (!answer.lends) {
    for (LenderChoice& share : this->others) {
      share.PassOver(from);
    }
  }
  const auto found = std::find_if(
      this->opened.begin(), this->opened.end(), [&](const Open& open) {
        return open.asking == from && open.asked_number == answer.number;
      });
  if (found == this->opened.end()) {
    this->KeepLate(now, answer);
    return;
  }
  this->asked.erase(answer.number);
  found->is_lent = found->is_lent || answer.lends;
  Merge(*found, answer);
  if (found->missing.empty() || !this->AskNext(now, *found)) {
    this->Close(now, *found);
    this->opened.erase(found);
  }
}

// Too late for its request; the next one has it.
void QuotaLender::KeepLate(LeaseTime now, const QuotaAnswer& answer) {
  if (this->asked.erase(answer.number) == 0) {
    return;
  }
  for (const QuotaGrant& grant : answer.grants) {
    this->buckets.Put(now, grant.team, grant.granted);
  }
}

void QuotaLender::Merge(Open& open, const QuotaAnswer& answer) {
  for (const QuotaGrant& more : answer.grants) {
    const auto missing = std::find_if(
        open.missing.begin(), open.missing.end(),
        [&more](const QuotaWant& want) { return want.team == more.team; });
    QuotaGrant* grant = FindGrant(open.answer, more.team);
    if (missing == open.missing.end() || grant == nullptr) {
      continue;
    }
    grant->granted += more.granted;
    missing->wanted -= std::min(missing->wanted, more.granted);
  }
  std::erase_if(open.missing,
                [](const QuotaWant& want) { return want.wanted == 0; });
}

// Answers with what there is.
void QuotaLender::Close(LeaseTime now, Open& open) {
  for (QuotaGrant& grant : open.answer.grants) {
    const bool is_missing = std::any_of(
        open.missing.begin(), open.missing.end(),
        [&grant](const QuotaWant& want) { return want.team == grant.team; });
    if (is_missing && open.is_lent) {
      this->exhausted[grant.team] = now + grant.retry_after;
    } else if (!is_missing) {
      grant.retry_after = Duration(0);
    }
  }
  this->Answer(open);
}

void QuotaLender::Answer(Open& open) {
  if (!open.is_lent) {
    open.answer.grants.clear();
  }
  this->sends.push_back({open.from, std::move(open.answer)});
}

void QuotaLender::Tick(LeaseTime now) {
  for (size_t i = 0; i < this->opened.size();) {
    Open& open = this->opened[i];
    const bool is_silent = now - open.asked >= kLenderTimeout;
    if (is_silent) {
      for (LenderChoice& share : this->others) {
        share.PassOver(open.asking);
      }
    }
    const bool is_over = now - open.since >= kMaxOpen;
    if (is_over || (is_silent && !this->AskNext(now, open))) {
      this->Close(now, open);
      this->opened.erase(this->opened.begin() + static_cast<ptrdiff_t>(i));
    } else {
      ++i;
    }
  }
  std::erase_if(this->asked, [now](const auto& entry) {
    return now - entry.second >= kCreditLife;
  });
  std::erase_if(this->exhausted,
                [now](const auto& entry) { return now >= entry.second; });
}

std::vector<OutgoingQuotaMessage> QuotaLender::TakeOutgoing() {
  return std::exchange(this->sends, {});
}

}  // namespace basilsill

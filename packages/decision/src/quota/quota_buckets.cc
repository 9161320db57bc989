#include <algorithm>
#include <cmath>

#include "basilsill/decision/quota_lender.h"

namespace basilsill {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// At least one credit fits into a bucket, however small the share.
constexpr double kMinCapacity = 1;

// Tolerated rounding error of a level, in credits. A level is the sum of many
// small increments and may end up slightly below a whole number. The credit is
// then granted, and the difference is missing from the next one.
constexpr double kRoundingCredits = 1e-6;

// A requester that got too few credits retries within these bounds, and before
// the bucket could overflow, since the team loses credits that do not fit.
constexpr milliseconds kMinRetryAfter{10};
constexpr milliseconds kMaxRetryAfter{1000};
constexpr double kMaxFillFraction = 0.5;

// For a team that this VM does not know yet.
constexpr milliseconds kUnknownRetryAfter{100};

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

// Starts within one window beyond which a lender starts without a credit that
// is not known to be left.
constexpr uint32_t kStartsWithCredit = 2;

}  // namespace

// The allowance covers each share once in a window, since the record of the
// lease counts the starts. A second start gets one credit for each team:
// otherwise a team with few requests would wait for seconds.
QuotaStart StartOf(Duration unlent,
                   std::optional<uint32_t> recent_starts,
                   const QuotaStartAllowance& allowance,
                   double part) {
  QuotaStart start;
  start.unlent = std::max(unlent, Duration(0));
  if (recent_starts && *recent_starts == 0) {
    start.credits = std::max(kMinCapacity, part * allowance.credits);
    start.burst_fraction = allowance.burst_fraction;
  } else if (recent_starts && *recent_starts >= kStartsWithCredit) {
    start.credits = 0;
  }
  return start;
}

void QuotaBuckets::SetTeams(LeaseTime now,
                            const std::vector<TeamRow>& teams,
                            double part) {
  for (auto& [key, bucket] : this->buckets) {
    bucket.is_listed = false;
  }
  for (const TeamRow& team : teams) {
    if (!IsValid(team.handle) || team.limits.requests_per_second <= 0) {
      continue;
    }
    const auto [place, is_new] =
        this->buckets.try_emplace(MakeTeamKey(team.name));
    Bucket& bucket = place->second;
    if (!is_new) {
      Refill(now, bucket);
    }
    bucket.is_listed = true;
    bucket.filled = now;
    bucket.rate = part * team.limits.requests_per_second;
    bucket.capacity = std::max(kMinCapacity, part * team.limits.burst);
    bucket.level =
        is_new ? kMinCapacity : std::min(bucket.level, bucket.capacity);
  }
  std::erase_if(this->buckets,
                [](const auto& entry) { return !entry.second.is_listed; });
}

void QuotaBuckets::StartAt(LeaseTime now, const QuotaStart& start) {
  const Seconds unlent = start.unlent;
  for (auto& [key, bucket] : this->buckets) {
    const double level = start.credits + unlent.count() * bucket.rate +
                         start.burst_fraction * bucket.capacity;
    bucket.level = std::min(bucket.capacity, level);
    bucket.filled = now;
  }
}

void QuotaBuckets::Fill(LeaseTime now) {
  for (auto& [key, bucket] : this->buckets) {
    bucket.level = bucket.capacity;
    bucket.filled = now;
  }
}

void QuotaBuckets::Refill(LeaseTime now, Bucket& bucket) {
  const Seconds passed = now - bucket.filled;
  const double level = bucket.level + passed.count() * bucket.rate;
  bucket.level = std::min(bucket.capacity, level);
  this->overflow += level - bucket.level;
  bucket.filled = now;
}

std::optional<QuotaBuckets::State> QuotaBuckets::StateOf(LeaseTime now,
                                                         TeamKey team) {
  const auto found = this->buckets.find(team);
  if (found == this->buckets.end()) {
    return std::nullopt;
  }
  Bucket& bucket = found->second;
  this->Refill(now, bucket);
  return State{bucket.rate, bucket.capacity, bucket.level};
}

QuotaGrant QuotaBuckets::Take(LeaseTime now, TeamKey team, uint32_t wanted) {
  QuotaGrant grant;
  grant.team = team;
  const auto found = this->buckets.find(team);
  if (found == this->buckets.end()) {
    grant.retry_after = kUnknownRetryAfter;
    return grant;
  }
  Bucket& bucket = found->second;
  Refill(now, bucket);
  const auto whole =
      static_cast<uint32_t>(std::floor(bucket.level + kRoundingCredits));
  grant.granted = std::min(wanted, whole);
  bucket.level -= grant.granted;
  if (grant.granted < wanted) {
    grant.retry_after = RetryAfter(now, bucket);
  }
  return grant;
}

Duration QuotaBuckets::RetryAfter(LeaseTime now, Bucket& bucket) {
  const Duration interval = FromSeconds(1 / bucket.rate);
  bucket.next_retry_at = std::max(now, bucket.next_retry_at) + interval;
  const Duration fill_time =
      FromSeconds(kMaxFillFraction * bucket.capacity / bucket.rate);
  const Duration longest =
      std::clamp<Duration>(fill_time, kMinRetryAfter, kMaxRetryAfter);
  const Duration after = std::min(bucket.next_retry_at - now, longest);
  bucket.next_retry_at = now + after;
  return std::max<Duration>(after, kMinRetryAfter);
}

void QuotaBuckets::Put(LeaseTime now, TeamKey team, uint32_t count) {
  const auto found = this->buckets.find(team);
  if (found == this->buckets.end()) {
    return;
  }
  Bucket& bucket = found->second;
  Refill(now, bucket);
  bucket.level = std::min(bucket.capacity, bucket.level + count);
}

}  // namespace basilsill

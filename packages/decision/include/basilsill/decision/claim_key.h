#ifndef BASILSILL_DECISION_CLAIM_KEY_H_
#define BASILSILL_DECISION_CLAIM_KEY_H_

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "basilsill/base/reason.h"
#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"

/// Keys of requests that must not repeat: what a caller sends as
/// Idempotency-Key, and where in the log the records of a key stand.
///
/// A key tells its own birth. The birth names the stream that holds every
/// record of the key, so whether the history of a key is complete is seen
/// from the log (the stream's first retained offset is 0) and not from a
/// clock.

namespace basilsill {

namespace limits {

/// Span of births that share a stream. With kClaimPartitions it maps a key to
/// its stream: two processes that differ in either would not see each
/// other's claims, so neither is a setting and neither may ever change under
/// the stream names in use.
inline constexpr milliseconds kClaimBucket = std::chrono::hours(1);

/// How far ahead of this VM's clock a key may be born.
inline constexpr milliseconds kMaxClaimFuture = std::chrono::minutes(2);

/// Bytes of an Idempotency-Key.
inline constexpr size_t kMaxClaimKeyBytes = 128;

}  // namespace limits

/// 128 bits of XXH3.
struct Digest {
  uint64_t high = 0;
  uint64_t low = 0;

  friend auto operator<=>(const Digest&, const Digest&) = default;
};

/// @returns the digest of `parts`; where one part ends and the next begins
/// counts. For the body of a request: method, target and body.
Digest DigestOf(std::span<const std::string_view> parts);

/// Names a team on every VM alike: a hash of its name.
using TeamKey = uint64_t;

TeamKey MakeTeamKey(std::string_view team);

/// An Idempotency-Key in the scope of its team. Not of its rule: a rule that
/// is renamed or split between a request and its resend must not make the
/// resend a new request.
struct ClaimKey {
  TeamKey team = 0;
  Digest digest;
  WallTime birth;

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

/// A key as read, or kKeyMissing or kKeyMalformed.
struct ParsedClaimKey {
  Refusal refusal = Refusal::kNone;
  ClaimKey key;
};

/// Reads an Idempotency-Key: a UUID of version 7, or 13 digits of Unix time
/// in milliseconds, a dash and at least one more character. Quotes around it
/// are allowed.
ParsedClaimKey ParseClaimKey(TeamKey team, std::string_view text);

/// @returns kKeyExpired for a key that was born before the window or too far
/// in the future by this VM's clock, else kNone. Decides what is accepted;
/// that a key runs once does not rest on it.
Refusal CheckClaimKeyAge(const ClaimKey& key, WallTime wall_now);

/// Names a stream of claims: all keys of one partition born in one bucket of
/// time.
struct ClaimStream {
  uint32_t partition = 0;
  int64_t bucket = 0;

  friend auto operator<=>(const ClaimStream&, const ClaimStream&) = default;
};

/// @returns the stream that holds every record of `key`.
ClaimStream StreamOf(const ClaimKey& key);

/// @returns the stream's name in the platform's log.
std::string NameOf(const ClaimStream& stream);

/// @returns the bucket that `time` falls into.
int64_t ClaimBucketAt(WallTime time);

/// Ranks the VMs that append and read the claims of `partition`, best first,
/// by rendezvous hash; VMs that are not live come last. Views may differ:
/// two VMs working for a partition cost appends, never a promise.
std::vector<VmHandle> RankClaimOwners(const RoutingView& view,
                                      uint32_t partition,
                                      size_t count = ShardRow::kOwners);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CLAIM_KEY_H_

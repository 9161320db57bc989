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

/// Idempotency keys of requests that must not run twice, and the mapping from
/// a key to the log stream that holds its records.
///
/// A key contains its creation time, which determines the stream that holds
/// every record of the key. Whether the history of a key is complete therefore
/// follows from the log (the stream's first retained offset is 0) and does not
/// depend on a clock.

namespace basilsill {

namespace limits {

/// Span of creation times that share a stream. Together with kClaimPartitions
/// it maps a key to its stream. Two processes with different values would not
/// see each other's claims, so neither value is a setting, and neither may
/// change as long as the stream names stay the same.
inline constexpr milliseconds kClaimBucket = std::chrono::hours(1);

/// How far the creation time of a key may be ahead of this VM's clock.
inline constexpr milliseconds kMaxClaimFuture = std::chrono::minutes(2);

/// Maximum length of an Idempotency-Key in bytes.
inline constexpr size_t kMaxClaimKeyBytes = 128;

}  // namespace limits

/// 128 bits of XXH3.
struct Digest {
  uint64_t high = 0;
  uint64_t low = 0;

  friend auto operator<=>(const Digest&, const Digest&) = default;
};

/// @returns the digest of `parts`, which also depends on the boundaries between
/// the parts. The body digest of a request covers method, target and body.
Digest DigestOf(std::span<const std::string_view> parts);

/// Identifies a team by a hash of its name; the same on every VM.
using TeamKey = uint64_t;

TeamKey MakeTeamKey(std::string_view team);

/// An Idempotency-Key, scoped to its team. It is not scoped to the rule: if a
/// rule is renamed or split between a request and its retry, the retry must not
/// count as a new request.
struct ClaimKey {
  TeamKey team = 0;
  Digest digest;
  WallTime created_at;

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

/// A parsed key. `refusal` is kNone, kKeyMissing or kKeyMalformed; `key` is
/// valid only with kNone.
struct ParsedClaimKey {
  Refusal refusal = Refusal::kNone;
  ClaimKey key;
};

/// Parses an Idempotency-Key: a UUID of version 7, or 13 digits of Unix time
/// in milliseconds, a dash and at least one more character. The key may be
/// enclosed in double quotes.
ParsedClaimKey ParseClaimKey(TeamKey team, std::string_view text);

/// @returns kKeyExpired if `key` was created before the claim window or too far
/// in the future by this VM's clock, else kNone. This check only limits which
/// keys are accepted; the guarantee that a request runs at most once does not
/// depend on it.
Refusal CheckClaimKeyAge(const ClaimKey& key, WallTime wall_now);

/// Identifies a log stream of claims. It holds all keys of one partition that
/// were created in one time bucket.
struct ClaimStream {
  uint32_t partition = 0;
  int64_t bucket = 0;

  friend auto operator<=>(const ClaimStream&, const ClaimStream&) = default;
};

/// @returns the stream that holds every record of `key`.
ClaimStream StreamOf(const ClaimKey& key);

/// @returns the stream's name in the platform's log.
std::string NameOf(const ClaimStream& stream);

/// @returns the number of the time bucket that contains `time`.
int64_t ClaimBucketAt(WallTime time);

/// Ranks the VMs that append and read the claims of `partition` by rendezvous
/// hash, best first; VMs that are not live come last. Two VMs with different
/// views may both serve a partition: this costs extra appends, but correctness
/// does not depend on a single owner.
/// @returns at most `count` VMs.
std::vector<VmHandle> RankClaimOwners(const RoutingView& view,
                                      uint32_t partition,
                                      size_t count = ShardRow::kOwners);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CLAIM_KEY_H_

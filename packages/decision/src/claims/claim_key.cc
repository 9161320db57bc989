#include "basilsill/decision/claim_key.h"

#include <algorithm>
#include <string>

#include <xxhash.h>

#include "basilsill/base/text.h"

namespace basilsill {
namespace {

constexpr size_t kUuidLength = 36;
constexpr size_t kUuidVersionAt = 14;
constexpr size_t kUuidVariantAt = 19;
constexpr size_t kUnixMsDigits = 13;
constexpr int kHexBase = 16;
constexpr uint64_t kTeamSeed = 0x7465616d;  // "team"

bool IsHexDigit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool IsVisible(char c) {
  return c > ' ' && c <= '~';
}

bool IsDashPosition(size_t i) {
  return i == 8 || i == 13 || i == 18 || i == 23;
}

std::string_view WithoutQuotes(std::string_view text) {
  const bool quoted =
      text.size() >= 2 && text.front() == '"' && text.back() == '"';
  return quoted ? text.substr(1, text.size() - 2) : text;
}

bool IsUuidV7(std::string_view lower) {
  if (lower.size() != kUuidLength || lower[kUuidVersionAt] != '7') {
    return false;
  }
  for (size_t i = 0; i < lower.size(); ++i) {
    if (IsDashPosition(i) ? lower[i] != '-' : !IsHexDigit(lower[i])) {
      return false;
    }
  }
  const char variant = lower[kUuidVariantAt];
  return variant == '8' || variant == '9' || variant == 'a' || variant == 'b';
}

bool HasUnixMsPrefix(std::string_view text) {
  return text.size() > kUnixMsDigits + 1 && text[kUnixMsDigits] == '-' &&
         std::all_of(text.begin(), text.begin() + kUnixMsDigits,
                     [](char c) { return c >= '0' && c <= '9'; });
}

ParsedClaimKey MakeKey(TeamKey team,
                       std::string_view text,
                       int64_t created_at) {
  const std::string_view parts[] = {text};
  return {
      Refusal::kNone,
      {team, DigestOf(parts), WallTime(std::chrono::milliseconds(created_at))}};
}

// Divides and rounds towards negative infinity.
int64_t FloorDivide(int64_t value, int64_t divisor) {
  const int64_t quotient = value / divisor;
  return value % divisor < 0 ? quotient - 1 : quotient;
}

}  // namespace

Digest DigestOf(std::span<const std::string_view> parts) {
  // Hashes each part separately and chains the hashes, so that moving a byte
  // from one part to the next changes the digest.
  XXH128_hash_t chained = {};
  for (const std::string_view part : parts) {
    const XXH128_hash_t own = XXH3_128bits(part.data(), part.size());
    const uint64_t link[] = {chained.low64, chained.high64, own.low64,
                             own.high64};
    chained = XXH3_128bits(link, sizeof(link));
  }
  return {chained.high64, chained.low64};
}

TeamKey MakeTeamKey(std::string_view team) {
  return XXH3_64bits_withSeed(team.data(), team.size(), kTeamSeed);
}

ParsedClaimKey ParseClaimKey(TeamKey team, std::string_view text) {
  const std::string_view bare = WithoutQuotes(text);
  if (bare.empty()) {
    return {Refusal::kKeyMissing, {}};
  }
  if (bare.size() > limits::kMaxClaimKeyBytes ||
      !std::all_of(bare.begin(), bare.end(), IsVisible)) {
    return {Refusal::kKeyMalformed, {}};
  }
  const std::string lower = ToLowerAscii(bare);
  if (IsUuidV7(lower)) {
    const std::string created_at = lower.substr(0, 8) + lower.substr(9, 4);
    return MakeKey(team, lower, *ParseNumber<int64_t>(created_at, kHexBase));
  }
  if (HasUnixMsPrefix(bare)) {
    return MakeKey(team, bare,
                   *ParseNumber<int64_t>(bare.substr(0, kUnixMsDigits)));
  }
  return {Refusal::kKeyMalformed, {}};
}

Refusal CheckClaimKeyAge(const ClaimKey& key, WallTime wall_now) {
  const bool too_old = key.created_at < wall_now - limits::kClaimWindow;
  const bool too_new = key.created_at > wall_now + limits::kMaxClaimFuture;
  return too_old || too_new ? Refusal::kKeyExpired : Refusal::kNone;
}

int64_t ClaimBucketAt(WallTime time) {
  return FloorDivide(time.time_since_epoch().count(),
                     limits::kClaimBucket.count());
}

ClaimStream StreamOf(const ClaimKey& key) {
  const uint64_t mixed = key.digest.low ^ key.team;
  return {static_cast<uint32_t>(mixed % limits::kClaimPartitions),
          ClaimBucketAt(key.created_at)};
}

std::string NameOf(const ClaimStream& stream) {
  return "claims-" + std::to_string(stream.partition) + "-" +
         std::to_string(stream.bucket);
}

std::vector<VmHandle> RankClaimOwners(const RoutingView& view,
                                      uint32_t partition,
                                      size_t count) {
  struct Ranked {
    bool unusable;
    uint64_t score;
    VmHandle vm;
  };
  const std::string number = std::to_string(partition);
  std::vector<Ranked> ranked;
  for (const VmRow& vm : view.vms) {
    if (IsValid(vm.handle)) {
      const std::string_view parts[] = {vm.name, number};
      ranked.push_back(
          {vm.state != VmState::kLive, DigestOf(parts).low, vm.handle});
    }
  }
  const size_t kept = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + kept, ranked.end(),
                    [](const Ranked& a, const Ranked& b) {
                      return a.unusable != b.unusable ? b.unusable
                                                      : a.score > b.score;
                    });
  std::vector<VmHandle> owners;
  for (size_t i = 0; i < kept; ++i) {
    owners.push_back(ranked[i].vm);
  }
  return owners;
}

}  // namespace basilsill

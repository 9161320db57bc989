#ifndef BASILSILL_CTL_UPSTREAM_BODY_H_
#define BASILSILL_CTL_UPSTREAM_BODY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

/// Body patterns that both the server and its caller can compute. Each byte of
/// an answer's body is a function of the request tag and the byte's position,
/// so that the caller detects a body that is truncated, reordered, or meant for
/// another request.

struct XXH3_state_s;

namespace basilsill::ctl {

/// @returns the pattern seed for the answer to a request with the tag `tag`.
uint64_t PatternSeed(std::string_view tag);

/// Fills `out` with the bytes of the pattern from `offset` on.
void FillPattern(uint64_t seed, uint64_t offset, std::span<char> out);

/// @returns the first `size` bytes of the pattern.
std::string MakePattern(uint64_t seed, size_t size);

/// Incremental XXH3 digest of a body.
class BodyDigest {
 public:
  BodyDigest();
  void Add(std::span<const char> bytes);
  /// Restarts the digest at an empty body.
  void Reset();
  /// @returns the digest so far, in the format of header values: 16 hexadecimal
  /// digits.
  std::string Text() const;

 private:
  struct FreeState {
    void operator()(XXH3_state_s* state) const;
  };
  std::unique_ptr<XXH3_state_s, FreeState> state;
};

/// @returns the digest of a complete body, in the same format.
std::string DigestText(std::span<const char> body);

/// Compares a body incrementally with the pattern of a seed.
class PatternCheck {
 public:
  explicit PatternCheck(uint64_t pattern_seed = 0) : seed(pattern_seed) {}
  /// @returns false if any byte so far differs from the pattern.
  bool Add(std::span<const char> bytes);
  uint64_t size() const { return this->offset; }
  bool matches() const { return this->equal; }

 private:
  uint64_t seed;
  uint64_t offset = 0;
  bool equal = true;
};

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_UPSTREAM_BODY_H_

#include "upstream_body.h"

#include <algorithm>
#include <array>
#include <cstring>

#include <xxhash.h>

namespace basilsill::ctl {
namespace {

constexpr size_t kWordBytes = sizeof(uint64_t);
constexpr size_t kCheckBytes = 4096;
constexpr std::string_view kHexDigits = "0123456789abcdef";

// The finalizer of SplitMix64, which gives uncorrelated words for adjacent
// positions.
uint64_t PatternWord(uint64_t seed, uint64_t index) {
  uint64_t word = seed + (index + 1) * 0x9e3779b97f4a7c15U;
  word = (word ^ (word >> 30U)) * 0xbf58476d1ce4e5b9U;
  word = (word ^ (word >> 27U)) * 0x94d049bb133111ebU;
  return word ^ (word >> 31U);
}

// Copies the bytes of `word` from byte `skip` on, as far as they fit into
// `out`.
// @returns the number of bytes copied.
size_t CopyWord(uint64_t word, size_t skip, std::span<char> out) {
  std::array<char, kWordBytes> bytes{};
  std::memcpy(bytes.data(), &word, kWordBytes);
  const size_t size = std::min(kWordBytes - skip, out.size());
  std::copy_n(bytes.data() + skip, size, out.data());
  return size;
}

std::string HexText(uint64_t value) {
  std::string text(2 * sizeof(value), '0');
  for (size_t i = text.size(); i > 0; --i) {
    text[i - 1] = kHexDigits[value & 0xfU];
    value >>= 4U;
  }
  return text;
}

}  // namespace

uint64_t PatternSeed(std::string_view tag) {
  return XXH3_64bits(tag.data(), tag.size());
}

void FillPattern(uint64_t seed, uint64_t offset, std::span<char> out) {
  uint64_t index = offset / kWordBytes;
  const size_t skip = offset % kWordBytes;
  if (skip > 0) {
    out = out.subspan(CopyWord(PatternWord(seed, index), skip, out));
    ++index;
  }
  const size_t words = out.size() / kWordBytes;
  for (size_t i = 0; i < words; ++i) {
    const uint64_t word = PatternWord(seed, index + i);
    std::memcpy(out.data() + i * kWordBytes, &word, kWordBytes);
  }
  CopyWord(PatternWord(seed, index + words), 0,
           out.subspan(words * kWordBytes));
}

std::string MakePattern(uint64_t seed, size_t size) {
  std::string body(size, '\0');
  FillPattern(seed, 0, body);
  return body;
}

BodyDigest::BodyDigest() : state(XXH3_createState()) {
  this->Reset();
}

void BodyDigest::Add(std::span<const char> bytes) {
  XXH3_64bits_update(this->state.get(), bytes.data(), bytes.size());
}

void BodyDigest::Reset() {
  XXH3_64bits_reset(this->state.get());
}

std::string BodyDigest::Text() const {
  return HexText(XXH3_64bits_digest(this->state.get()));
}

void BodyDigest::FreeState::operator()(XXH3_state_s* state) const {
  XXH3_freeState(state);
}

std::string DigestText(std::span<const char> body) {
  return HexText(XXH3_64bits(body.data(), body.size()));
}

bool PatternCheck::Add(std::span<const char> bytes) {
  std::array<char, kCheckBytes> expected;
  while (!bytes.empty()) {
    const size_t size = std::min(bytes.size(), expected.size());
    FillPattern(this->seed, this->offset, std::span(expected).first(size));
    if (std::memcmp(expected.data(), bytes.data(), size) != 0) {
      this->equal = false;
    }
    this->offset += size;
    bytes = bytes.subspan(size);
  }
  return this->equal;
}

}  // namespace basilsill::ctl

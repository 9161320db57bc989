#include "basilsill/decision/api_keys.h"

#include <algorithm>

#include <sodium/crypto_generichash.h>
#include <sodium/utils.h>

namespace basilsill {
namespace {

// Key of the hash: it keeps digests of API keys distinct from any other
// digests.
constexpr std::string_view kDigestContext = "basilsill api key";

constexpr size_t kDigitsPerByte = 2;
constexpr size_t kHexDigits = kDigitsPerByte * ApiKeyDigest::kBytes;

bool IsBefore(const ApiKeyTable::Row& row, const ApiKeyDigest& digest) {
  return row.digest < digest;
}

}  // namespace

bool IsApiKey(std::string_view text) {
  return !text.empty() && text.size() <= limits::kMaxApiKeyBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

ApiKeyDigest DigestApiKey(std::string_view key) {
  ApiKeyDigest digest;
  crypto_generichash(
      digest.bytes.data(), digest.bytes.size(),
      reinterpret_cast<const unsigned char*>(key.data()), key.size(),
      reinterpret_cast<const unsigned char*>(kDigestContext.data()),
      kDigestContext.size());
  return digest;
}

std::string ToHex(const ApiKeyDigest& digest) {
  std::string hex(kHexDigits + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), digest.bytes.data(),
                 digest.bytes.size());
  hex.pop_back();  // The terminating zero that the library writes.
  return hex;
}

std::optional<ApiKeyDigest> ParseApiKeyDigest(std::string_view hex) {
  ApiKeyDigest digest;
  size_t size = 0;
  const int result =
      sodium_hex2bin(digest.bytes.data(), digest.bytes.size(), hex.data(),
                     hex.size(), nullptr, &size, nullptr);
  if (result != 0 || size != digest.bytes.size() || hex.size() != kHexDigits) {
    return std::nullopt;
  }
  return digest;
}

std::shared_ptr<const ApiKeyTable> ApiKeyTable::Create(std::vector<Row> rows) {
  std::sort(rows.begin(), rows.end(),
            [](const Row& a, const Row& b) { return a.digest < b.digest; });
  return std::shared_ptr<const ApiKeyTable>(new ApiKeyTable(std::move(rows)));
}

// The duration of the binary search depends on the digest alone, and a caller
// can't choose how its digest begins. So it reveals nothing about the keys.
TeamHandle ApiKeyTable::Find(const ApiKeyDigest& digest) const {
  const auto found =
      std::lower_bound(this->rows.begin(), this->rows.end(), digest, &IsBefore);
  if (found == this->rows.end() ||
      sodium_memcmp(found->digest.bytes.data(), digest.bytes.data(),
                    digest.bytes.size()) != 0) {
    return {};
  }
  return found->team;
}

}  // namespace basilsill

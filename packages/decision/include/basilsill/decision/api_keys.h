#ifndef BASILSILL_DECISION_API_KEYS_H_
#define BASILSILL_DECISION_API_KEYS_H_

#include <array>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilsill/decision/view.h"

/// API keys, by which callers say for which team they ask. The product keeps
/// and compares digests alone: a key itself is seen only in the head of a
/// request, and where an operator declares it.

namespace basilsill {

/// One-way digest of an API key. Keys are long and random, so it needs no salt.
struct ApiKeyDigest {
  static constexpr size_t kBytes = 32;

  std::array<uint8_t, kBytes> bytes{};

  friend auto operator<=>(const ApiKeyDigest&, const ApiKeyDigest&) = default;
};

/// @returns true if `text` can be a key: visible ASCII characters, one to
/// limits::kMaxApiKeyBytes.
bool IsApiKey(std::string_view text);

ApiKeyDigest DigestApiKey(std::string_view key);

/// @returns `digest` as configuration writes it, in hexadecimal digits.
std::string ToHex(const ApiKeyDigest& digest);

/// @returns the digest that ToHex wrote, or nothing.
std::optional<ApiKeyDigest> ParseApiKeyDigest(std::string_view hex);

/// The keys of all teams. Immutable.
class ApiKeyTable {
 public:
  struct Row {
    ApiKeyDigest digest;
    TeamHandle team;
  };

  static std::shared_ptr<const ApiKeyTable> Create(std::vector<Row> rows);

  /// @returns whose key it is; invalid if it is nobody's. How long it takes
  /// tells nothing of the keys in the table.
  TeamHandle Find(const ApiKeyDigest& digest) const;

  size_t size() const { return this->rows.size(); }

 private:
  explicit ApiKeyTable(std::vector<Row> rows) : rows(std::move(rows)) {}

  std::vector<Row> rows;  ///< By digest.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_API_KEYS_H_

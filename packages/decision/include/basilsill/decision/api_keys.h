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

/// API keys identify the team on whose behalf a caller sends a request.
/// Basilsill stores and compares only digests: a plain key appears only in
/// request headers and where an operator declares it.

namespace basilsill {

/// One-way digest of an API key. It needs no salt, because keys are long and
/// random.
struct ApiKeyDigest {
  static constexpr size_t kBytes = 32;

  std::array<uint8_t, kBytes> bytes{};

  friend auto operator<=>(const ApiKeyDigest&, const ApiKeyDigest&) = default;
};

/// @returns true if `text` is a well-formed key: visible ASCII characters,
/// between one and limits::kMaxApiKeyBytes of them.
bool IsApiKey(std::string_view text);

ApiKeyDigest DigestApiKey(std::string_view key);

/// @returns `digest` in hexadecimal digits, as in the configuration.
std::string ToHex(const ApiKeyDigest& digest);

/// @returns the digest that ToHex encoded as `hex`; nullopt if `hex` is not
/// such an encoding.
std::optional<ApiKeyDigest> ParseApiKeyDigest(std::string_view hex);

/// The key digests of all teams. Immutable.
class ApiKeyTable {
 public:
  struct Row {
    ApiKeyDigest digest;
    TeamHandle team;
  };

  static std::shared_ptr<const ApiKeyTable> Create(std::vector<Row> rows);

  /// @returns the team that owns the key, an invalid handle if no team does.
  /// The time that the look-up takes reveals nothing about the keys in the
  /// table.
  TeamHandle Find(const ApiKeyDigest& digest) const;

  size_t size() const { return this->rows.size(); }

 private:
  explicit ApiKeyTable(std::vector<Row> rows) : rows(std::move(rows)) {}

  std::vector<Row> rows;  ///< Sorted by digest.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_API_KEYS_H_

#ifndef BASILSILL_NODE_QUOTA_LEASE_STORE_H_
#define BASILSILL_NODE_QUOTA_LEASE_STORE_H_

#include <cstdint>
#include <optional>

#include <boost/asio/awaitable.hpp>

#include "basilsill/base/error.h"
#include "basilsill/decision/quota_lease.h"

namespace basilsill {

/// Where the leases of shares of quotas are kept: a log a share, of which a
/// write names the end.
class QuotaLeaseStore {
 public:
  struct Newest {
    std::optional<QuotaLeaseRecord> record;
    uint64_t end = 0;  ///< Of the log.
  };

  virtual ~QuotaLeaseStore() = default;

  /// @returns the newest record of `share`, or kPlatformUnavailable,
  /// kPlatformRejected, kSyntax.
  virtual boost::asio::awaitable<Result<Newest>> ReadLease(uint16_t share) = 0;

  /// Writes `record` if the log of `share` ends at `end`.
  /// @returns the new end, or kConflict if it ended elsewhere, or as above;
  /// then the write may have been done, or may yet be.
  virtual boost::asio::awaitable<Result<uint64_t>>
  WriteLease(uint16_t share, uint64_t end, QuotaLeaseRecord record) = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_QUOTA_LEASE_STORE_H_

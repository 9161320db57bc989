#ifndef BASILSILL_NODE_QUOTA_LEASE_STORE_H_
#define BASILSILL_NODE_QUOTA_LEASE_STORE_H_

#include <cstdint>
#include <optional>

#include <boost/asio/awaitable.hpp>

#include "basilsill/base/error.h"
#include "basilsill/decision/quota_lease.h"
#include "basilsill/decision/quota_lender.h"

namespace basilsill {

/// Stores the leases of quota shares, in one log per share. A write names the
/// end of the log that it expects, so that of concurrent writes one succeeds.
class QuotaLeaseStore {
 public:
  struct Newest {
    std::optional<QuotaLeaseRecord> record;
    LogPosition end;                         ///< End of the log.
    LeaseTime era_since = LeaseTime::min();  ///< See QuotaLease::OnRead.
  };

  virtual ~QuotaLeaseStore() = default;

  /// @returns the newest record of `share`, or kPlatformUnavailable,
  /// kPlatformRejected or kSyntax.
  virtual boost::asio::awaitable<Result<Newest>> ReadLease(uint16_t share) = 0;

  /// Writes `record` if the log of `share` ends at `end`.
  /// @returns the new end, kConflict if the log ends elsewhere, or a failure of
  /// ReadLease. After such a failure the write may have been done, or may still
  /// be done later.
  virtual boost::asio::awaitable<Result<LogPosition>>
  WriteLease(uint16_t share, LogPosition end, QuotaLeaseRecord record) = 0;

  /// @returns what the installation allows new lenders to start with.
  virtual QuotaStartAllowance start_allowance() const { return {}; }
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_QUOTA_LEASE_STORE_H_

#ifndef BASILSILL_PLATFORM_LOG_CLIENT_H_
#define BASILSILL_PLATFORM_LOG_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "basilsill/base/error.h"
#include "basilsill/base/log_record.h"
#include "basilsill/platform/failover_client.h"

/// Client of the platform's log. docs/design/platform-protocol.md specifies the
/// protocol.

namespace basilsill {

/// Offsets assigned to the records of one append: [first, next).
struct AppendAnswer {
  uint64_t first = 0;
  uint64_t next = 0;
};

/// Offsets of the records of a stream that the platform retains: [first, end).
struct LogBounds {
  uint64_t first = 0;
  uint64_t end = 0;
};

struct ReadAnswer {
  LogBounds bounds;
  uint64_t next = 0;  ///< Offset at which to continue reading.
  std::vector<LogRecord> records;
};

/// A read that returned no records because it failed.
struct ReadFailure : Failure {
  LogBounds bounds;  ///< Set only for kTrimmed and kOutOfRange.
};
using ReadResult =
    boost::outcome_v2::basic_result<ReadAnswer, ReadFailure, ThrowFailure>;

/// Must be used only on the thread that runs its executor. No call blocks that
/// thread. Any number of calls may be in flight, each on its own connection.
class LogClient {
 public:
  /// @returns kMissingField if `settings` has no endpoints.
  static Result<LogClient> Create(boost::asio::any_io_executor executor,
                                  FailoverSettings settings);

  /// Appends `records`, in order and without gaps.
  /// @returns the offsets, or a failure. After these failures the append has
  /// had no effect:
  ///   kOutOfRange: there are no records, or they exceed
  ///   limits::kMaxAppendRecords, kMaxAppendBytes or kMaxLogRecordBytes;
  ///   nothing was sent;
  ///   kPlatformUnavailable: the log is down or no endpoint could be reached;
  ///   kLimitReached: the append rate was exceeded;
  ///   kPlatformRejected: the platform rejected the append as invalid.
  /// After kUnresolved the append may have taken effect, or may still do so.
  /// The caller must read the stream to find out before it sends the records
  /// again.
  boost::asio::awaitable<Result<AppendAnswer>> Append(
      std::string stream,
      std::vector<std::string> records);

  /// Reads records from offset `from` on.
  /// @param max Maximum number of records; the platform may return fewer.
  /// @param wait How long the platform waits for a record if there is none yet.
  ///   If none arrives, the result is empty, which is not a failure.
  /// @returns the records, or a failure:
  ///   kTrimmed: the record at `from` is no longer retained; the caller can
  ///   continue at `bounds.first`;
  ///   kOutOfRange: `from` is beyond the end, so this is not the log from which
  ///   the offset came;
  ///   kPlatformUnavailable, kPlatformRejected;
  ///   kSyntax, kOversizedFrame: the answer was malformed and is discarded.
  boost::asio::awaitable<ReadResult> Read(std::string stream,
                                          uint64_t from,
                                          size_t max,
                                          std::chrono::milliseconds wait);

  /// Closes all connections. Calls in flight fail, and so do later ones.
  void Close();

 private:
  explicit LogClient(FailoverClient started);

  FailoverClient client;
};

}  // namespace basilsill

#endif  // BASILSILL_PLATFORM_LOG_CLIENT_H_

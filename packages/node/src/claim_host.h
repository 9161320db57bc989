#ifndef BASILSILL_NODE_CLAIM_HOST_H_
#define BASILSILL_NODE_CLAIM_HOST_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "basilsill/decision/claims.h"
#include "basilsill/platform/log_client.h"
#include "metrics.h"

/// Runs the ClaimTable of this VM: appends to and reads from the claims'
/// streams of the platform's log, and reports verdicts to the holders of
/// attempts.

namespace basilsill {

/// The result of a request for a claim.
struct ClaimVerdict {
  enum class Kind : uint8_t { kGranted, kRefused, kReplay, kCount };

  Kind kind = Kind::kCount;
  Refusal refusal = Refusal::kNone;
  Duration retry_after{0};
  StoredResponse answer;
};

/// Belongs to the control thread; `RequestClaim` and `Finish` may be called
/// from any thread.
class ClaimHost {
 public:
  using OnVerdict = std::function<void(ClaimVerdict)>;

  ClaimHost(boost::asio::io_context& context,
            LogClient& log,
            const ClaimOptions& options,
            ControlMetrics& counts);

  void Start();
  void Stop();

  /// Requests a claim.
  /// @param on_verdict Called once, on the control thread.
  void RequestClaim(ClaimRequest request, OnVerdict on_verdict);

  /// Reports how a granted attempt ended.
  void Finish(ClaimEnd end);

  /// Applies a change of membership or of the ownership of partitions.
  void ApplyFleet(const ClaimFleet& fleet);

  /// @returns true if no request is waiting and all ends are in the log.
  bool IsIdle() const { return this->table->IsIdle(); }
  const ClaimCounters& counters() const { return this->table->counters(); }

 private:
  boost::asio::awaitable<void> TickLoop();
  boost::asio::awaitable<void> Append(uint64_t call,
                                      std::string stream,
                                      std::vector<std::string> records);
  boost::asio::awaitable<void> Read(uint64_t call,
                                    std::string stream,
                                    uint64_t from,
                                    size_t max,
                                    std::chrono::milliseconds wait);
  void Pump();
  void Perform(ClaimAction& action);
  void DeliverVerdict(uint64_t cookie, ClaimVerdict verdict);

  boost::asio::io_context& context;
  LogClient& log;
  ControlMetrics& counts;
  std::unique_ptr<ClaimTable> table;
  std::unordered_map<uint64_t, OnVerdict> waiting;
  boost::asio::steady_timer tick;
  uint64_t next_cookie = 1;
  bool pumping = false;
  bool stopped = false;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_CLAIM_HOST_H_

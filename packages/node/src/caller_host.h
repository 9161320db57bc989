#ifndef BASILSILL_NODE_CALLER_HOST_H_
#define BASILSILL_NODE_CALLER_HOST_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "basilsill/decision/quota_borrower.h"
#include "basilsill/node/installation.h"
#include "http_message.h"
#include "metrics.h"

/// What connections of callers need of their worker.

namespace basilsill {

class EntryHost;
struct OnceServices;

/// How a request of a caller ended.
struct RequestEnd {
  Refusal refusal = Refusal::kNone;  ///< kNone if it was answered.
  bool broken = false;               ///< Its answer was cut off visibly.
  Duration elapsed{0};
};

class CallerHost {
 public:
  virtual ~CallerHost() = default;

  virtual const RoutingViewPtr& view() const = 0;
  virtual const HeaderNames& names() const = 0;
  virtual EntryHost& entry() = 0;
  virtual const Executor& executor() const = 0;

  /// @returns true if also bodies without a length are held until they end.
  virtual bool buffers_unsized_bodies() const = 0;

  /// @returns true once answers should ask callers to come back on another
  /// connection: this node is about to leave.
  virtual bool leaving() const = 0;

  /// @returns true once idle connections are closed: this node is leaving and
  /// the balancer had time to look away.
  virtual bool draining() const = 0;

  virtual std::string NewRequestId() = 0;
  virtual const std::string& via() const = 0;

  /// @returns what callers may send now, and how long they may take.
  virtual const CallerLimits& caller_limits() const = 0;

  /// @returns the counts of the thread.
  virtual WorkerMetrics& counters() = 0;

  /// @returns the longest time from a request's head to its answer's end.
  virtual std::chrono::milliseconds request_total() const = 0;

  /// @returns what a request that must not repeat needs.
  virtual OnceServices once_services() = 0;

  /// @returns a number that was never returned before.
  virtual uint64_t NextOnceSequence() = 0;

  /// @returns which service gets the next request of `rule`.
  virtual ServiceHandle ChooseService(const RuleRow& rule) = 0;

  /// @returns true while API keys of callers may be relied on.
  virtual bool api_keys_verified() const = 0;

  /// Takes a credit of `team`'s quota for a request, from a lender if need be.
  virtual Task<QuotaDecision> TakeQuota(TeamKey team) = 0;

  /// The request that has `credit` has ended without having run.
  virtual void ReturnQuota(TeamKey team, const QuotaCredit& credit) = 0;

  /// Counts the start of a request.
  virtual void OnRequestStarted() = 0;

  /// Counts the end of a request.
  virtual void OnRequestDone(const RequestMessage& request,
                             const RequestEnd& end) = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_CALLER_HOST_H_

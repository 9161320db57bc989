#ifndef BASILSILL_NODE_CALLER_HOST_H_
#define BASILSILL_NODE_CALLER_HOST_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "basilsill/decision/caller_age.h"
#include "basilsill/decision/quota_borrower.h"
#include "basilsill/node/installation.h"
#include "http_message.h"
#include "metrics.h"

/// Interface through which the connections of callers use their worker.

namespace basilsill {

class EntryHost;
struct OnceServices;

/// How a request of a caller ended.
struct RequestEnd {
  Refusal refusal = Refusal::kNone;  ///< kNone if an answer was sent.
  RefusalSource source = RefusalSource::kEntry;
  bool broken = false;  ///< The answer broke off before its end.
  Duration elapsed{0};
};

class CallerHost {
 public:
  virtual ~CallerHost() = default;

  virtual const RoutingViewPtr& view() const = 0;
  virtual const HeaderNames& names() const = 0;
  virtual EntryHost& entry() = 0;
  virtual const Executor& executor() const = 0;

  /// @returns true if bodies without a known length are buffered too.
  virtual bool buffers_unsized_bodies() const = 0;

  /// @returns true once answers should close their connection, because this
  /// node is about to leave and callers should connect elsewhere.
  virtual bool leaving() const = 0;

  /// @returns true once idle connections are closed: this node is leaving, and
  /// the external balancer has had time to stop sending to it.
  virtual bool draining() const = 0;

  /// @returns false if this node ends before `request` could be answered. It is
  /// then refused, unless an upstream has it.
  virtual bool Admits(const RequestMessage& request) const = 0;

  virtual std::string NewRequestId() = 0;
  virtual const std::string& via() const = 0;

  /// @returns the current limits on sizes and times of callers' requests.
  virtual const CallerLimits& caller_limits() const = 0;

  /// @returns the metrics of this worker.
  virtual WorkerMetrics& counters() = 0;

  /// @returns the maximum time from a request's head to the end of its answer.
  virtual std::chrono::milliseconds request_total() const = 0;

  /// @returns the services for requests that must not repeat.
  virtual OnceServices once_services() = 0;

  /// @returns a number that this process has not returned before.
  virtual uint64_t NextOnceSequence() = 0;

  /// @returns the service for the next request of `rule`.
  virtual ServiceHandle ChooseService(const RuleRow& rule) = 0;

  /// @returns true while the configuration is recent enough to check API keys.
  virtual bool api_keys_verified() const = 0;
  /// @returns false if routes may have been added that this VM does not know.
  virtual bool routes_verified() const = 0;

  /// Takes one credit of `team`'s quota for a request; borrows it from the
  /// quota's lender if necessary.
  /// @param claim Decides the order in which requests get credits.
  virtual Task<QuotaDecision> TakeQuota(TeamKey team,
                                        RuleHandle rule,
                                        CreditClaim claim) = 0;

  /// A request of `rule` was answered `time` after it was passed on.
  virtual void OnServed(RuleHandle rule, Duration time) = 0;

  /// Returns `credit`, because its request ended without having run.
  virtual void ReturnQuota(TeamKey team, const QuotaCredit& credit) = 0;

  /// Counts the start of a request.
  virtual void OnRequestStarted() = 0;

  /// Counts the end of a request.
  virtual void OnRequestDone(const RequestMessage& request,
                             const RequestEnd& end) = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_CALLER_HOST_H_

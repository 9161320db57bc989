#ifndef BASILSILL_SOAK_PROMISE_CHECKER_H_
#define BASILSILL_SOAK_PROMISE_CHECKER_H_

#include <initializer_list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "promises.h"

/// The checks of all promises. promise_checker.cc has what they share; the
/// checks are in request_promises.cc, configuration_promises.cc,
/// node_promises.cc and upstream_promises.cc.

namespace basilsill::soak {

inline constexpr unsigned kNotFound = 404;

bool IsSuccess(const RequestRow& row);

class PromiseChecker {
 public:
  PromiseChecker(const Observations& observations, const Bounds& bounds);

  std::vector<Violation> Run();

 private:
  // Shared.
  void Add(Promise promise,
           std::vector<std::string> ids,
           TimePoint at,
           std::string detail);
  const std::vector<const RunRow*>& RunsOf(const std::string& id) const;
  /// @returns true if no disturbance of `kinds` affected `node` (absent: any
  /// node) between `from` and `to` or within the stability window before
  /// `from`.
  bool IsUndisturbed(std::initializer_list<DisturbanceKind> kinds,
                     std::optional<size_t> node,
                     TimePoint from,
                     TimePoint to) const;
  bool IsNodeUndisturbed(size_t node, TimePoint from, TimePoint to) const;
  bool AreAllNodesUndisturbed(TimePoint from, TimePoint to) const;
  bool IsUndisturbedExceptShutdowns(TimePoint from, TimePoint to) const;
  bool IsSameProcess(size_t node, TimePoint from, TimePoint to) const;

  // Requests.
  void CheckOwnAnswer();
  void CheckOnce();
  void CheckNotRun();
  void CheckRepeats();
  void CheckRepeats(size_t service,
                    const std::vector<TimePoint>& times,
                    TimePoint end);
  size_t CountRequests(size_t service, TimePoint from, TimePoint to) const;
  void CheckRecovery();
  void CheckCallerGone();
  void CheckTimeout();
  void CheckTeamQuota();

  // Configuration.
  struct MatchedAnswer {
    const RequestRow* row;
    size_t change;  ///< Oldest change consistent with the response.
  };
  /// @returns when the next change of the same route after change `index` was
  /// sent; TimePoint::max() if there is none.
  TimePoint NextChange(size_t index) const;
  void CheckConfiguration();
  void CheckNoReturn();
  void CheckNoReturn(const std::vector<const RequestRow*>& rows);
  bool IsRouteChanged(const std::string& route) const;
  /// @returns the first change from index `oldest` on that is consistent with
  /// the response in `row`.
  std::optional<size_t> FindConsistentChange(const RequestRow& row,
                                             size_t oldest) const;
  void CheckKeyRevoked();

  // Nodes.
  void CheckShutdown();
  void CheckShutdown(const Disturbance& end);
  bool IsClosedLate(const RequestRow& row) const;
  void CheckStaysUp();
  void CheckReadyTakes();
  struct ServedCount {
    size_t requests = 0;
    size_t failed = 0;
  };
  bool IsCut(size_t node, TimePoint at) const;
  bool IsRelevantToCut(const RequestRow& row) const;
  void CheckCutServed();
  void CheckCutServed(const CutRow& cut);

  // Upstreams.
  void CheckLeaving();
  void CheckDrained();
  void CheckCold();
  void CheckRateLimit();
  void CheckRateLimit(const LimitRow& limit,
                      const std::vector<ArrivalRow>& sends);
  void CheckLeavingSaid();
  void CheckRest();
  void CheckNotice(Promise promise, const NoticeRow& notice, Duration delay);

  const Observations& observations;
  const Bounds& bounds;
  const Duration slack;
  std::unordered_map<std::string, std::vector<const RunRow*>> runs;
  std::unordered_map<std::string, const RequestRow*> requests;
  std::vector<Violation> found;
};

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_PROMISE_CHECKER_H_

#ifndef BASILSILL_DECISION_SHUTDOWN_ADMISSION_H_
#define BASILSILL_DECISION_SHUTDOWN_ADMISSION_H_

#include <optional>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"

/// Decides which requests of its callers a VM that shuts down still passes on.
/// One that could not be answered before the process ends is refused as not
/// run, as long as no upstream has it.

namespace basilsill {

/// Learns on one entry thread how long the requests of each rule take.
class ShutdownAdmission {
 public:
  /// A request of `rule` was answered `time` after it was passed on.
  void OnAnswered(TimePoint now, RuleHandle rule, Duration time);

  /// The VM shuts down. Callers still come, since the external balancer has
  /// not noticed yet.
  /// @param end When the process ends at the latest.
  void Begin(TimePoint end);

  /// No new callers come any more.
  void BeginDrain() { this->phase = Phase::kDraining; }

  /// Nothing is passed on any more.
  void Close() { this->phase = Phase::kClosed; }

  /// @param deadline When the request ends at the latest.
  /// @returns false if a request that no upstream has is to be refused.
  bool Admits(TimePoint now, RuleHandle rule, TimePoint deadline) const;

 private:
  enum class Phase : uint8_t {
    kServing,
    kLeaving,   ///< Callers still come.
    kDraining,  ///< Only what was begun before still comes.
    kClosed,
    kCount
  };

  /// Extremes of the times of the requests that were answered in a window.
  struct Window {
    TimePoint began{};
    Duration shortest = Duration::max();
    Duration longest{0};
  };

  struct Row {
    RuleHandle rule;
    Window current;
    Window previous;
  };

  struct Range {
    Duration shortest;
    Duration longest;
  };

  std::optional<Range> RangeOf(TimePoint now, RuleHandle rule) const;

  Phase phase = Phase::kServing;
  TimePoint end = kNever;
  std::vector<Row> rows;  ///< By index of the rule's handle.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SHUTDOWN_ADMISSION_H_

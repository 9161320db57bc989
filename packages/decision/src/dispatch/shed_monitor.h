#ifndef BASILSILL_DECISION_SRC_SHED_MONITOR_H_
#define BASILSILL_DECISION_SRC_SHED_MONITOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "basilsill/decision/dispatch.h"
#include "basilsill/decision/shed_case.h"

/// Tells why the upstreams of one shard shed requests, from what they report of
/// their load and from how the sheds spread over them. It starts with the first
/// shed and ends when there have been none for a while.

namespace basilsill {

class ShedMonitor {
 public:
  explicit ShedMonitor(size_t upstreams = 0) { this->Resize(upstreams); }

  /// Begins without history, at the first shed.
  void Begin();

  /// To be called when `IsOver`; the case is kNone from then on.
  void End();

  bool is_active() const { return this->active; }

  /// Adapts to the number of places in the shard.
  void Resize(size_t upstreams) { this->rows.resize(upstreams); }

  /// Another upstream has taken `place`.
  void Forget(uint32_t place);

  /// A request was sent to the upstream at `place`.
  void OnSend(TimePoint now, uint32_t place);

  /// The upstream reported its load, with an answer or in a load query.
  void OnLoad(TimePoint now, uint32_t place, const UpstreamLoad& load);

  /// The upstream shed a request. To be called after `OnLoad` for its answer.
  /// @param has_room Whether the dispatcher's own count of running requests
  /// leaves a slot free; it decides if the upstream has never reported a load.
  void OnShed(TimePoint now, uint32_t place, bool has_room);

  /// A request of class `traffic_class` was shed.
  void OnShedOf(TimePoint now, TrafficClass traffic_class) {
    this->last_shed_of.at(static_cast<size_t>(traffic_class)) = now;
  }

  /// @returns how many classes that are more urgent than `traffic_class` were
  /// shed lately.
  size_t CountMoreUrgent(TimePoint now, TrafficClass traffic_class) const;

  /// An upstream of the shard answered a request.
  void OnAnswer() { this->sheds_in_a_row = 0; }

  /// Judges the case again.
  /// @returns true if it has changed.
  bool Update(TimePoint now);

  /// @returns the case as of the last `Update`.
  ShedCase current() const { return this->current_case; }

  /// @returns the recent share of sheds in the requests sent to all upstreams.
  double ShareAt(TimePoint now) const;

  /// @returns true if there have been no sheds for so long that the state can
  /// be dropped.
  bool IsOver(TimePoint now) const;

 private:
  struct Counts {
    double sends = 0;
    double sheds = 0;
    double with_room = 0;  ///< Sheds with a slot free.
  };
  struct Row {
    Counts counts;
    TimePoint counted_at{};
    TimePoint reported_at = kNever;  ///< kNever: never.
    bool reported_room = false;
  };

  Counts CountsAt(TimePoint now, const Row& row) const;
  ShedCase Judge(TimePoint now) const;

  std::vector<Row> rows;
  bool active = false;
  /// In the order of urgency; zero if none was shed.
  std::array<TimePoint, static_cast<size_t>(TrafficClass::kCount)>
      last_shed_of{};
  uint32_t sheds_in_a_row = 0;  ///< Since the last answer.
  TimePoint last_shed{};
  ShedCase current_case = ShedCase::kNone;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SRC_SHED_MONITOR_H_

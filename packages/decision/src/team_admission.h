#ifndef BASILSILL_DECISION_TEAM_ADMISSION_H_
#define BASILSILL_DECISION_TEAM_ADMISSION_H_

#include <cstdint>
#include <vector>

#include "basilsill/decision/entry.h"

/// The limit of each team on requests at once, at one entry.

namespace basilsill {

class TeamAdmission {
 public:
  /// Makes room for the teams of `view`.
  void ApplyView(const RoutingView& view);

  /// Counts a request in, unless the limit forbids it.
  /// @returns the refusal and when to come back, or Refusal::kNone.
  Admission Enter(const TeamRow& team);

  /// A request of the team is over.
  void Leave(TeamHandle team, Duration took);

 private:
  struct TeamState {
    TeamHandle handle;
    uint32_t running = 0;
    Duration mean_time{0};  ///< Of a request in the system.
  };

  TeamState& StateOf(const TeamRow& team);

  std::vector<TeamState> teams;  ///< By index of the handle.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_TEAM_ADMISSION_H_

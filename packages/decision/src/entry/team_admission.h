#ifndef BASILSILL_DECISION_TEAM_ADMISSION_H_
#define BASILSILL_DECISION_TEAM_ADMISSION_H_

#include <cstdint>
#include <vector>

#include "basilsill/decision/entry.h"

/// Enforces each team's limit on concurrent requests at one entry worker.

namespace basilsill {

class TeamAdmission {
 public:
  /// Allocates state for the teams of `view`.
  void ApplyView(const RoutingView& view);

  /// Admits a request unless the team is at its limit.
  /// @returns the refusal and its retry time; Refusal::kNone if admitted.
  Admission Enter(const TeamRow& team);

  /// A request of the team has ended.
  void Leave(TeamHandle team, Duration took);

 private:
  struct TeamState {
    TeamHandle handle;
    uint32_t running = 0;
    /// Mean time between admission and end of a request.
    Duration mean_time{0};
  };

  TeamState& StateOf(const TeamRow& team);

  std::vector<TeamState> teams;  ///< By index of the team's handle.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_TEAM_ADMISSION_H_

#include "team_admission.h"

#include <algorithm>

namespace basilsill {
namespace {

constexpr int kMeanWeight = 16;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);

Admission Refused(Refusal refusal, Duration retry_after) {
  return {{}, refusal, std::max(kMinRetryAfter, retry_after)};
}

}  // namespace

void TeamAdmission::ApplyView(const RoutingView& view) {
  if (this->teams.size() < view.teams.size()) {
    this->teams.resize(view.teams.size());
  }
}

TeamAdmission::TeamState& TeamAdmission::StateOf(const TeamRow& team) {
  TeamState& state = this->teams[team.handle.index];
  if (state.handle != team.handle) {
    state = TeamState();
    state.handle = team.handle;
  }
  return state;
}

Admission TeamAdmission::Enter(const TeamRow& team) {
  TeamState& state = this->StateOf(team);
  if (state.running >= team.limits.concurrency) {
    return Refused(Refusal::kTeamConcurrencyLimit, state.mean_time);
  }
  ++state.running;
  return {};
}

void TeamAdmission::Leave(TeamHandle team, Duration took) {
  TeamState& state = this->teams[team.index];
  if (state.handle != team) {
    return;
  }
  --state.running;
  state.mean_time += (took - state.mean_time) / kMeanWeight;
}

}  // namespace basilsill

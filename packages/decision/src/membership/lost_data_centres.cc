#include "lost_data_centres.h"

#include <algorithm>

#include "basilsill/base/limits.h"

namespace basilsill {
namespace {

// VMs of the data centre, and others, that have to report the loss.
constexpr uint32_t kMinReports = 2;

// Reports that arrive within this time after the first one are used together.
constexpr Duration kCollectTime = limits::kControlTick;

// While several VMs report the loss and none reaches the data centre, the
// reports are not used for this time: the VMs that are to check their paths may
// have to wait for connections that are not answered.
constexpr Duration kDecisionTime = std::chrono::milliseconds(500);

// Time for all VMs to find out that a data centre is back.
//
// Failure: one VM reports that it reaches the data centre again. It becomes the
// owner of all shards there, until the others have found out too.
constexpr Duration kReturnTime = std::chrono::milliseconds(300);

bool HaveWitnesses(const PathReports& reports) {
  return reports.own + reports.others > 0 &&
         reports.own >= std::min(kMinReports, reports.own_vms) &&
         reports.others >= std::min(kMinReports, reports.other_vms);
}

}  // namespace

void LostDataCentres::Update(TimePoint now,
                             DataCentreHandle data_centre,
                             const PathReports& reports) {
  if (data_centre.index >= this->states.size()) {
    this->states.resize(data_centre.index + 1);
  }
  State& state = this->states[data_centre.index];
  if (reports.reports == 0) {
    state = State();
    return;
  }
  const bool was_lost = state.lost;
  state.lost = reports.reached == 0 && HaveWitnesses(reports);
  if (was_lost && !state.lost) {
    state.first_report_at = now;
    state.undecided_until = now + kReturnTime;
  } else if (state.first_report_at == kNever) {
    state.first_report_at = now;
    state.undecided_until = now + kCollectTime;
  }
  if (reports.reached == 0 && reports.own + reports.others >= kMinReports) {
    state.undecided_until =
        std::max(state.undecided_until, state.first_report_at + kDecisionTime);
  }
  state.undecided = !state.lost && now < state.undecided_until;
}

bool LostDataCentres::IsLost(DataCentreHandle data_centre) const {
  return data_centre.index < this->states.size() &&
         this->states[data_centre.index].lost;
}

bool LostDataCentres::IsUndecided(DataCentreHandle data_centre) const {
  return data_centre.index < this->states.size() &&
         this->states[data_centre.index].undecided;
}

}  // namespace basilsill

#include "basilsill/decision/reach_reports.h"

#include <set>
#include <utility>

namespace basilsill {

void ReachReports::SetWorker(uint16_t worker,
                             std::vector<DataCentreHandle> unreachable) {
  this->workers[worker] = std::move(unreachable);
  std::set<DataCentreHandle> all;
  for (const auto& [number, lost] : this->workers) {
    all.insert(lost.begin(), lost.end());
  }
  this->reported.assign(all.begin(), all.end());
}

ReachStep ReachReports::Update(TimePoint now,
                               uint64_t incarnation,
                               Membership& members) {
  ReachStep step =
      this->OnPeer(now, members.self(), incarnation, this->reported, members);
  step.send = true;
  return step;
}

ReachStep ReachReports::OnPeer(TimePoint now,
                               VmHandle vm,
                               uint64_t incarnation,
                               std::vector<DataCentreHandle> unreachable,
                               Membership& members) {
  const uint64_t before = members.version();
  members.OnReach(now, vm, incarnation, std::move(unreachable));
  ReachStep step;
  step.build = members.version() != before;
  return step;
}

}  // namespace basilsill

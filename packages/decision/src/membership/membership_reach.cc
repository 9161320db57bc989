#include <algorithm>
#include <utility>

#include "membership_table.h"

/// The part of MembershipTable that judges what VMs report about their paths to
/// upstreams.

namespace basilsill {
namespace {

bool Contains(const std::vector<DataCentreHandle>& all,
              DataCentreHandle data_centre) {
  return std::find(all.begin(), all.end(), data_centre) != all.end();
}

}  // namespace

bool MembershipTable::OnReach(TimePoint now,
                              VmHandle vm,
                              uint64_t incarnation,
                              PathReport report) {
  Member* member = this->members.Find(vm);
  const bool is_current =
      vm == this->own ||
      (member != nullptr && member->incarnation == incarnation);
  if (!is_current || member->paths == report) {
    return false;
  }
  member->paths = std::move(report);
  this->has_path_reports = true;
  this->UpdateReach(now);
  return true;
}

void MembershipTable::SetUpstreamDataCentres(
    std::vector<DataCentreHandle> data_centres) {
  this->upstream_data_centres = std::move(data_centres);
}

bool MembershipTable::IsCutOff(
    const std::vector<DataCentreHandle>& data_centres) const {
  if (this->upstream_data_centres.empty()) {
    return data_centres.size() == this->centres.size();
  }
  return std::all_of(this->upstream_data_centres.begin(),
                     this->upstream_data_centres.end(),
                     [&data_centres](DataCentreHandle data_centre) {
                       return Contains(data_centres, data_centre);
                     });
}

PathReports MembershipTable::CountReports(DataCentreHandle data_centre) const {
  PathReports counts;
  this->members.ForEach([&](VmHandle, const Member& member) {
    if (member.IsLeaving() || member.trust.IsSuspected()) {
      return;
    }
    const bool has_lost = Contains(member.paths.unreachable, data_centre);
    counts.reports += has_lost ? 1 : 0;
    counts.reached += Contains(member.paths.reached, data_centre) ? 1 : 0;
    if (!member.paths.unreachable.empty() &&
        this->IsCutOff(member.paths.unreachable)) {
      return;
    }
    const bool is_own = member.data_centre == data_centre;
    ++(is_own ? counts.own_vms : counts.other_vms);
    (is_own ? counts.own : counts.others) += has_lost ? 1 : 0;
  });
  return counts;
}

// Without reports, this costs nothing.
void MembershipTable::UpdateReach(TimePoint now) {
  if (!this->has_path_reports) {
    return;
  }
  for (DataCentreRow& row : this->centres) {
    this->lost.Update(now, row.handle, this->CountReports(row.handle));
    const bool is_lost = this->lost.IsLost(row.handle);
    this->changes += is_lost != row.lost ? 1 : 0;
    row.lost = is_lost;
  }
  this->has_path_reports = false;
  this->members.ForEach([this](VmHandle vm, const Member& member) {
    this->has_path_reports |= !member.paths.unreachable.empty();
    if (!member.paths.unreachable.empty() ||
        !this->table[vm.index].unreachable.empty()) {
      this->UpdateRow(vm);
    }
  });
}

// Reports about a data centre that all VMs have lost don't change who owns its
// shards: the next owners would have lost it too.
std::vector<DataCentreHandle> MembershipTable::UsedReports(
    const Member& member) const {
  std::vector<DataCentreHandle> used = member.paths.unreachable;
  if (used.empty() || this->IsCutOff(member.paths.unreachable)) {
    return used;
  }
  std::erase_if(used, [this](DataCentreHandle data_centre) {
    return this->lost.IsLost(data_centre) ||
           this->lost.IsUndecided(data_centre);
  });
  return used;
}

DataCentreReach MembershipTable::ReachOf(DataCentreHandle data_centre) const {
  DataCentreReach reach;
  reach.lost = this->lost.IsLost(data_centre);
  reach.undecided = this->lost.IsUndecided(data_centre);
  this->members.ForEach([&](VmHandle vm, const Member& member) {
    if (vm == this->own || member.IsLeaving() || member.trust.IsSuspected()) {
      return;
    }
    reach.reports += Contains(member.paths.unreachable, data_centre) ? 1 : 0;
    reach.confirmed |= Contains(member.paths.reached, data_centre);
  });
  return reach;
}

}  // namespace basilsill

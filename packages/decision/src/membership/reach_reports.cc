#include "basilsill/decision/reach_reports.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include <xxhash.h>

namespace basilsill {
namespace {

// VMs of a data centre, and others, that check their paths to it when another
// VM has lost its own, and report a loss at once.
constexpr size_t kCheckers = 4;

// Reports by other VMs after which it matters that this one reaches the data
// centre.
constexpr uint32_t kMinDoubts = 2;

// Other VMs report a loss after this time, unless it is known by then that all
// VMs have lost the data centre.
constexpr Duration kReportDelay = std::chrono::milliseconds(20);

// A data centre that this VM reports as reached is checked this often.
constexpr Duration kCheckPause = std::chrono::seconds(1);

bool Contains(const std::vector<DataCentreHandle>& all,
              DataCentreHandle data_centre) {
  return std::find(all.begin(), all.end(), data_centre) != all.end();
}

uint64_t ScoreOf(std::string_view vm, std::string_view data_centre) {
  const uint64_t seed = XXH3_64bits(data_centre.data(), data_centre.size());
  return XXH3_64bits_withSeed(vm.data(), vm.size(), seed);
}

// @returns true if this VM ranks among the first kCheckers for `data_centre`
// of the live VMs on its side: those in the data centre or those outside. Large
// VMs come first, since most others have links to them.
bool IsWitness(const Membership& members, DataCentreHandle data_centre) {
  const std::vector<VmRow>& rows = members.rows();
  const VmRow& own = rows.at(members.self().index);
  const std::string& name = members.data_centres().at(data_centre.index).name;
  const uint64_t own_score = ScoreOf(own.name, name);
  const bool is_near = own.data_centre == data_centre;
  const auto before =
      std::count_if(rows.begin(), rows.end(), [&](const VmRow& row) {
        return IsValid(row.handle) && row.handle != own.handle &&
               row.state == VmState::kLive &&
               (row.data_centre == data_centre) == is_near &&
               RanksBefore(row, ScoreOf(row.name, name), own, own_score);
      });
  return before < static_cast<ptrdiff_t>(kCheckers);
}

std::vector<DataCentreHandle> LostOf(const Membership& members) {
  std::vector<DataCentreHandle> lost;
  for (const DataCentreRow& row : members.data_centres()) {
    if (row.lost) {
      lost.push_back(row.handle);
    }
  }
  return lost;
}

}  // namespace

ReachStep ReachReports::OnWorker(TimePoint now,
                                 uint16_t worker,
                                 PathReport paths,
                                 Membership& members) {
  this->workers[worker] = std::move(paths);
  return this->Update(now, members);
}

ReachStep ReachReports::OnPeer(TimePoint now,
                               VmHandle vm,
                               uint64_t incarnation,
                               PathReport report,
                               Membership& members) {
  if (!members.OnReach(now, vm, incarnation, std::move(report))) {
    return {};
  }
  return this->Update(now, members);
}

ReachStep ReachReports::Tick(TimePoint now, Membership& members) {
  const bool is_idle = this->workers.empty() && this->lost.empty() &&
                       this->doubts.doubted.empty();
  return is_idle ? ReachStep() : this->Update(now, members);
}

PathReport ReachReports::Combine() const {
  std::set<DataCentreHandle> unreachable;
  std::set<DataCentreHandle> reached;
  for (const auto& [number, paths] : this->workers) {
    unreachable.insert(paths.unreachable.begin(), paths.unreachable.end());
    reached.insert(paths.reached.begin(), paths.reached.end());
  }
  PathReport all;
  all.unreachable.assign(unreachable.begin(), unreachable.end());
  for (const DataCentreHandle data_centre : reached) {
    if (!unreachable.contains(data_centre)) {
      all.reached.push_back(data_centre);
    }
  }
  return all;
}

// A report that changes nothing is not sent: the data centre is known to be
// lost, or the witnesses are about to say so. A VM that has lost all its paths
// always says so.
bool ReachReports::MayReport(TimePoint now,
                             DataCentreHandle data_centre,
                             const Membership& members) {
  if (Contains(this->sent.unreachable, data_centre)) {
    return true;
  }
  const DataCentreReach reach = members.ReachOf(data_centre);
  if (reach.lost) {
    return false;
  }
  const TimePoint since = this->silent_since.at(data_centre);
  if (IsWitness(members, data_centre)) {
    return true;
  }
  if (now - since < kReportDelay) {
    this->due = std::min(this->due, since + kReportDelay);
    return false;
  }
  return !reach.undecided;
}

// That this VM reaches a data centre matters while it counts as lost, or may
// soon: a single report is that of a VM's own path. Witnesses speak first, so
// that the others don't need to.
bool ReachReports::MayConfirm(TimePoint now,
                              DataCentreHandle data_centre,
                              const Membership& members) {
  const DataCentreReach reach = members.ReachOf(data_centre);
  if (Contains(this->sent.reached, data_centre)) {
    return reach.reports > 0;
  }
  const bool is_wanted =
      !reach.confirmed &&
      (reach.lost || (reach.undecided && reach.reports >= kMinDoubts));
  if (!is_wanted) {
    this->confirm_since.erase(data_centre);
    return false;
  }
  const TimePoint since =
      this->confirm_since.try_emplace(data_centre, now).first->second;
  if (reach.lost || IsWitness(members, data_centre) ||
      now - since >= kReportDelay) {
    return true;
  }
  this->due = std::min(this->due, since + kReportDelay);
  return false;
}

PathReport ReachReports::Choose(TimePoint now, const Membership& members) {
  const PathReport own = this->Combine();
  PathReport chosen;
  std::erase_if(this->silent_since, [&own](const auto& entry) {
    return !Contains(own.unreachable, entry.first);
  });
  const bool is_cut_off = members.IsCutOff(own.unreachable);
  for (const DataCentreHandle data_centre : own.unreachable) {
    TimePoint& since =
        this->silent_since.try_emplace(data_centre, now).first->second;
    since = members.ReachOf(data_centre).lost ? now : since;
    if (is_cut_off || this->MayReport(now, data_centre, members)) {
      chosen.unreachable.push_back(data_centre);
    }
  }
  for (const DataCentreHandle data_centre : own.reached) {
    if (this->MayConfirm(now, data_centre, members)) {
      chosen.reached.push_back(data_centre);
    }
  }
  return chosen;
}

// Each VM learns what is in doubt, so that the first one that opens a
// connection there says so. Witnesses look for themselves.
void ReachReports::SetDoubts(TimePoint now,
                             const Membership& members,
                             ReachStep& step) {
  PathDoubts current;
  for (const DataCentreRow& row : members.data_centres()) {
    if (members.ReachOf(row.handle).reports == 0) {
      continue;
    }
    current.doubted.push_back(row.handle);
    const bool is_new = !Contains(this->doubts.doubted, row.handle);
    if (is_new && IsWitness(members, row.handle)) {
      current.check.push_back(row.handle);
    }
  }
  if (!this->sent.reached.empty() && now >= this->check_at) {
    this->check_at = now + kCheckPause;
    current.check.insert(current.check.end(), this->sent.reached.begin(),
                         this->sent.reached.end());
  }
  step.doubts_changed =
      current.doubted != this->doubts.doubted || !current.check.empty();
  this->doubts = current;
  step.doubts = std::move(current);
}

ReachStep ReachReports::Update(TimePoint now, Membership& members) {
  members.UpdateReach(now);
  ReachStep step;
  const TimePoint due_before = std::exchange(this->due, kNever);
  PathReport chosen = this->Choose(now, members);
  step.due = this->due != due_before ? this->due : kNever;
  if (chosen != this->sent) {
    this->sent = std::move(chosen);
    step.send = true;
    members.OnReach(now, members.self(), 0, this->sent);
  }
  this->SetDoubts(now, members, step);
  std::vector<DataCentreHandle> now_lost = LostOf(members);
  step.build = now_lost != this->lost;
  this->lost = std::move(now_lost);
  return step;
}

}  // namespace basilsill

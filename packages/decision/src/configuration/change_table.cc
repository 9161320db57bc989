#include "basilsill/decision/change_table.h"

#include <algorithm>
#include <array>
#include <utility>

namespace basilsill {
namespace {

constexpr std::array<std::string_view,
                     static_cast<size_t>(ChangeStatus::kCount)>
    kStatusNames = {"accepted", "conflict",   "rejected",
                    "void",     "unresolved", "unknown"};

Failure NotAppendedInTime() {
  return {FailureKind::kPlatformUnavailable, "",
          "this VM did not append the change to the log in time"};
}

Failure Withdrawn() {
  return {FailureKind::kPlatformUnavailable, "",
          "the change was withdrawn before its record entered the log"};
}

Failure Expired() {
  return {FailureKind::kPlatformUnavailable, "",
          "too many other records were appended first; the change has expired"};
}

ChangeStatus StatusOf(RecordVerdict verdict) {
  switch (verdict) {
    case RecordVerdict::kAccepted:
      return ChangeStatus::kAccepted;
    case RecordVerdict::kConflict:
      return ChangeStatus::kConflict;
    case RecordVerdict::kWithdrawn:
      return ChangeStatus::kVoid;
    default:
      return ChangeStatus::kRejected;
  }
}

std::optional<uint64_t> CurrentVersion(const ConfigurationState& state,
                                       const ResourceId& id) {
  const ResourceEntry* entry = state.Find(id);
  return entry == nullptr ? std::nullopt : std::optional(entry->version);
}

}  // namespace

std::string_view NameOf(ChangeStatus status) {
  return kStatusNames.at(static_cast<size_t>(status));
}

ChangeTable::ChangeTable() : pending(limits::kMaxPendingChanges) {}

ChangeHandle ChangeTable::Propose(TimePoint now,
                                  const ChangeRequest& request,
                                  const ConfigurationFollower& follower) {
  const ConfigurationState& state = follower.state();
  if (this->ReplyIfDecided(request, state)) {
    return {};
  }
  if (this->IsPending(request.change.id)) {
    this->ReplyImmediately(request, ChangeStatus::kUnresolved,
                           {{FailureKind::kDuplicate, "",
                             "this VM is already handling the change"}});
    return {};
  }
  const size_t size = WriteChange(request.change).size();
  if (size > limits::kMaxChangeBytes) {
    this->ReplyImmediately(
        request, ChangeStatus::kRejected,
        {{FailureKind::kOutOfRange, "",
          "has " + std::to_string(size) + " bytes, expected at most " +
              std::to_string(limits::kMaxChangeBytes)}});
    return {};
  }
  if (follower.standing() != FollowerStanding::kFollowing ||
      !follower.is_ready()) {
    this->RefuseWithoutAppend(request, NotAppendedInTime());
    return {};
  }
  Pending entry;
  entry.change = request.change;
  entry.cookie = request.cookie;
  entry.deadline = request.deadline;
  entry.may_be_appended_elsewhere = request.may_be_resend;
  entry.may_be_in_log = request.may_be_resend;
  const ChangeHandle handle = this->pending.Create(std::move(entry));
  if (!IsValid(handle)) {
    this->RefuseWithoutAppend(request,
                              {FailureKind::kLimitReached, "",
                               "too many changes are in progress on this VM"});
    return {};
  }
  this->by_id.emplace(request.change.id, handle);
  Pending& added = *this->pending.Find(handle);
  if (now >= added.deadline) {
    this->OnDeadline(handle, added);
  } else if (state.Check(request.change).empty()) {
    this->Append(handle, added, state.next_offset());
  } else {
    this->RequestRead(added, Phase::kConfirming);
  }
  return handle;
}

void ChangeTable::OnAppend(TimePoint now,
                           ChangeHandle change,
                           AppendResult append_result) {
  Pending* entry = this->pending.Find(change);
  if (entry == nullptr || entry->phase != Phase::kAppending) {
    return;
  }
  if (append_result != AppendResult::kNoEffect) {
    entry->may_be_in_log = true;
    this->RequestRead(*entry, Phase::kReading);
    return;
  }
  entry->phase = Phase::kWaiting;
  entry->backoff = std::clamp<Duration>(
      2 * entry->backoff, limits::kChangeRetryMin, limits::kChangeRetryMax);
  entry->retry_at = now + entry->backoff;
}

void ChangeTable::OnFollow(const FollowResult& result,
                           const ConfigurationFollower& follower) {
  if (result.state_replaced) {
    this->OnStateReplaced(follower.state());
  }
  for (const RecordOutcome& outcome : result.outcomes) {
    this->OnRecord(outcome);
  }
  this->FinishExpiredChanges(follower.state());
}

template <typename IsWanted>
std::vector<ChangeHandle> ChangeTable::Select(IsWanted&& is_wanted) const {
  std::vector<ChangeHandle> selected;
  for (const auto& [id, handle] : this->by_id) {
    if (is_wanted(*this->pending.Find(handle))) {
      selected.push_back(handle);
    }
  }
  return selected;
}

bool ChangeTable::IsExpired(const Pending& entry,
                            const ConfigurationState& state) {
  return !entry.record.empty() &&
         state.next_offset() > entry.change.seen + limits::kChangeWindow;
}

void ChangeTable::OnRecord(const RecordOutcome& outcome) {
  const auto found = this->by_id.find(outcome.change_id);
  if (found == this->by_id.end() ||
      outcome.verdict == RecordVerdict::kRepeated) {
    return;
  }
  const ChangeHandle handle = found->second;
  switch (outcome.verdict) {
    case RecordVerdict::kAccepted:
      this->Finish(handle, ChangeStatus::kAccepted, outcome.offset, {});
      break;
    case RecordVerdict::kConflict:
      this->Finish(handle, ChangeStatus::kConflict, outcome.version,
                   outcome.failures);
      break;
    case RecordVerdict::kWithdrawn:
      this->Finish(handle, ChangeStatus::kVoid, {}, {Withdrawn()});
      break;
    case RecordVerdict::kStale:
      this->FinishExpired(handle);
      break;
    default:
      this->Finish(handle, ChangeStatus::kRejected, {}, outcome.failures);
      break;
  }
}

// Records were skipped, and the decision on a change may have been among them.
// The new state still holds the decisions of the last limits::kChangeWindow
// records; the outcome of an older change is unknown.
void ChangeTable::OnStateReplaced(const ConfigurationState& state) {
  for (const ChangeHandle handle :
       this->Select([](const Pending&) { return true; })) {
    const Pending& entry = *this->pending.Find(handle);
    const std::optional<DecidedChange> decided = state.DecisionOf(entry.change);
    if (decided) {
      this->FinishDecided(handle, *decided, state);
    } else if (IsExpired(entry, state)) {
      this->Finish(handle, ChangeStatus::kUnknown, {}, {});
    }
  }
}

// A copy of the change that is appended from now on is stale on every VM, and
// all earlier records were read. So the change has ended, whatever happens to
// its appends.
void ChangeTable::FinishExpiredChanges(const ConfigurationState& state) {
  for (const ChangeHandle handle : this->Select([&state](const Pending& entry) {
         return IsExpired(entry, state);
       })) {
    this->FinishExpired(handle);
  }
}

// A copy that another VM appends with a later `seen` is not stale yet, so the
// outcome is unknown if there may be one.
void ChangeTable::FinishExpired(ChangeHandle handle) {
  const bool is_appended_here_only =
      !this->pending.Find(handle)->may_be_appended_elsewhere;
  this->Finish(
      handle,
      is_appended_here_only ? ChangeStatus::kVoid : ChangeStatus::kUnknown, {},
      {Expired()});
}

void ChangeTable::OnCaughtUp(TimePoint now,
                             uint64_t sent_at_ticket,
                             const ConfigurationFollower& follower) {
  const ConfigurationState& state = follower.state();
  const auto is_confirmed = [sent_at_ticket](const Pending& entry) {
    const bool awaits_read =
        entry.phase == Phase::kConfirming || entry.phase == Phase::kReading;
    return awaits_read && entry.ticket <= sent_at_ticket;
  };
  for (const ChangeHandle handle : this->Select(is_confirmed)) {
    Pending& entry = *this->pending.Find(handle);
    std::vector<Failure> failures;
    if (entry.phase == Phase::kConfirming) {
      failures = state.Check(entry.change);
    } else if (now >= entry.deadline) {
      entry.is_withdrawing = true;
    }
    if (failures.empty() || entry.may_be_appended_elsewhere) {
      this->Append(handle, entry, state.next_offset());
    } else {
      this->FinishChecked(handle, std::move(failures), state);
    }
  }
}

void ChangeTable::Tick(TimePoint now, const ConfigurationFollower& follower) {
  const auto is_late = [now](const Pending& entry) {
    return now >= entry.deadline && !entry.is_withdrawing;
  };
  for (const ChangeHandle handle : this->Select(is_late)) {
    this->OnDeadline(handle, *this->pending.Find(handle));
  }
  const auto is_due = [now](const Pending& entry) {
    return entry.phase == Phase::kWaiting && now >= entry.retry_at;
  };
  for (const ChangeHandle handle : this->Select(is_due)) {
    this->Append(handle, *this->pending.Find(handle),
                 follower.state().next_offset());
  }
}

void ChangeTable::OnDeadline(ChangeHandle handle, Pending& entry) {
  if (!entry.may_be_in_log && entry.phase != Phase::kAppending) {
    this->Finish(handle, ChangeStatus::kVoid, {}, {NotAppendedInTime()});
    return;
  }
  entry.is_withdrawing = true;
  entry.may_be_in_log = true;
  entry.may_be_appended_elsewhere = true;
  ChangeOutcome outcome{
      ChangeStatus::kUnresolved,
      entry.change.id,
      entry.cookie,
      {},
      {{FailureKind::kUnresolved, "",
        "the log has not yet shown whether the change was appended"}}};
  this->queue.push_back(
      {ChangeActionKind::kReply, handle, {}, std::move(outcome)});
}

void ChangeTable::Append(ChangeHandle handle, Pending& entry, uint64_t seen) {
  if (entry.record.empty()) {
    entry.change.seen = seen;
    entry.record = WriteChange(entry.change);
  }
  entry.phase = Phase::kAppending;
  std::string record =
      entry.is_withdrawing
          ? WriteWithdrawal({entry.change.id, entry.change.seen})
          : entry.record;
  this->queue.push_back(
      {ChangeActionKind::kAppend, handle, std::move(record), {}});
}

void ChangeTable::RequestRead(Pending& entry, Phase phase) {
  entry.phase = phase;
  entry.ticket = ++this->ticket;
  this->queue.push_back({ChangeActionKind::kReadNow, {}, {}, {}});
}

// This VM did not append the change; if it is a resend, another VM may have.
void ChangeTable::RefuseWithoutAppend(const ChangeRequest& request,
                                      Failure failure) {
  const ChangeStatus status =
      request.may_be_resend ? ChangeStatus::kUnknown : ChangeStatus::kVoid;
  this->ReplyImmediately(request, status, {std::move(failure)});
}

void ChangeTable::ReplyImmediately(const ChangeRequest& request,
                                   ChangeStatus status,
                                   std::vector<Failure> failures) {
  ChangeOutcome outcome{
      status, request.change.id, request.cookie, {}, std::move(failures)};
  this->queue.push_back({ChangeActionKind::kReply, {}, {}, std::move(outcome)});
}

// An operator who got no answer resends the change, possibly to another VM. The
// change id shows that it was already decided.
bool ChangeTable::ReplyIfDecided(const ChangeRequest& request,
                                 const ConfigurationState& state) {
  const Change& change = request.change;
  const std::optional<DecidedChange> decided = state.DecisionOf(change);
  if (!decided) {
    return false;
  }
  ChangeOutcome outcome{
      StatusOf(decided->verdict), change.id, request.cookie, {}, {}};
  outcome.version = outcome.status == ChangeStatus::kAccepted
                        ? decided->offset
                        : CurrentVersion(state, change.resource);
  this->queue.push_back({ChangeActionKind::kReply, {}, {}, std::move(outcome)});
  return true;
}

void ChangeTable::FinishDecided(ChangeHandle handle,
                                const DecidedChange& decided,
                                const ConfigurationState& state) {
  const ChangeStatus status = StatusOf(decided.verdict);
  const ResourceId& id = this->pending.Find(handle)->change.resource;
  const std::optional<uint64_t> version = status == ChangeStatus::kAccepted
                                              ? decided.offset
                                              : CurrentVersion(state, id);
  this->Finish(handle, status, version, {});
}

void ChangeTable::FinishChecked(ChangeHandle handle,
                                std::vector<Failure> failures,
                                const ConfigurationState& state) {
  const bool is_conflict = failures.front().kind == FailureKind::kConflict;
  const ResourceId& id = this->pending.Find(handle)->change.resource;
  this->Finish(handle,
               is_conflict ? ChangeStatus::kConflict : ChangeStatus::kRejected,
               CurrentVersion(state, id), std::move(failures));
}

void ChangeTable::Finish(ChangeHandle handle,
                         ChangeStatus status,
                         std::optional<uint64_t> version,
                         std::vector<Failure> failures) {
  const Pending& entry = *this->pending.Find(handle);
  ChangeOutcome outcome{status, entry.change.id, entry.cookie, version,
                        std::move(failures)};
  this->by_id.erase(entry.change.id);
  this->pending.Destroy(handle);
  this->queue.push_back(
      {ChangeActionKind::kReply, handle, {}, std::move(outcome)});
}

}  // namespace basilsill

#include "basilsill/decision/claims.h"

#include <algorithm>
#include <string>

#include "claim_table.h"

namespace basilsill {
namespace {

/// How early an owner opens the stream of the next bucket, so that the first
/// request in it does not have to wait for a read.
constexpr std::chrono::milliseconds kOpenAhead = std::chrono::minutes(1);

/// A stream that has not been used for this long is dropped.
constexpr Duration kIdleRetention = std::chrono::minutes(10);

/// How long an end waits for other records to share its append while the append
/// budget is low.
constexpr Duration kEndDelay = std::chrono::milliseconds(500);

ClaimKeyId IdOf(const ClaimKey& key) {
  return {key.team, key.digest};
}

}  // namespace

uint64_t MakeClaimOrigin(std::string_view vm, uint64_t incarnation) {
  // The incarnation is not used as the seed of the hash: for inputs of a few
  // bytes XXH3 merely adds the seed, and two VMs could get the same origin.
  const std::string number = std::to_string(incarnation);
  const std::string_view parts[] = {vm, number};
  return DigestOf(parts).low;
}

size_t StoredSizeOf(const StoredResponse& answer) {
  size_t bytes = answer.body.size();
  for (const StoredHeader& header : answer.headers) {
    bytes += header.name.size() + header.value.size();
  }
  return bytes;
}

std::unique_ptr<ClaimTable> ClaimTable::Create(const ClaimOptions& options) {
  return CreateClaimTable(options, ClaimGuards{});
}

std::unique_ptr<ClaimTable> CreateClaimTable(const ClaimOptions& options,
                                             const ClaimGuards& guards) {
  return std::make_unique<ClaimTableImpl>(options, guards);
}

ClaimTableImpl::ClaimTableImpl(const ClaimOptions& options,
                               const ClaimGuards& guards)
    : options(options),
      guards(guards),
      origin(MakeClaimOrigin(options.vm, options.incarnation)),
      waiting_claims(options.max_waiting),
      unrecorded_ends(options.max_open_ends) {
  this->budget.SetRate(TimePoint(), options.appends_per_second,
                       options.append_burst);
}

ClaimHandle ClaimTableImpl::Request(TimePoint now,
                                    WallTime wall_now,
                                    const ClaimRequest& request) {
  Refusal refusal = CheckClaimKeyAge(request.key, wall_now);
  if (refusal == Refusal::kNone) {
    refusal = this->CheckCapacity(request.key.team);
  }
  if (refusal == Refusal::kNone && this->by_attempt.contains(request.attempt)) {
    refusal = Refusal::kClaimRunning;
  }
  if (refusal != Refusal::kNone) {
    this->RefuseAtOnce(request, refusal);
    return {};
  }
  if (request.supersedes) {
    ClaimEnd end;
    end.key = request.key;
    end.body = request.body;
    end.attempt = *request.supersedes;
    end.outcome = ClaimOutcome::kReleased;
    this->AddEnd(now, end, false);
  }
  const ClaimHandle handle = this->AddWaiting(now, request);
  this->Decide(now, handle);
  const WaitingClaim* waiting = this->waiting_claims.Find(handle);
  if (waiting != nullptr && this->IsLogDown(now)) {
    this->Refuse(now, handle, this->RefusalIfUndecided(now, *waiting));
  }
  this->Pump(now);
  return this->waiting_claims.Contains(handle) ? handle : ClaimHandle{};
}

Refusal ClaimTableImpl::CheckCapacity(TeamKey team) const {
  // Dynamic threshold: a team may have as many waiting requests as there are
  // free entries, so a flood from one team always leaves room for the others.
  const size_t free =
      this->waiting_claims.capacity() - this->waiting_claims.size();
  if (free == 0) {
    return Refusal::kMemoryLimit;
  }
  const auto own = this->team_waiting.find(team);
  const bool over_share =
      own != this->team_waiting.end() && own->second >= free;
  return over_share ? Refusal::kTeamQueueLimit : Refusal::kNone;
}

ClaimHandle ClaimTableImpl::AddWaiting(TimePoint now,
                                       const ClaimRequest& request) {
  WaitingClaim waiting;
  waiting.request = request;
  waiting.id = IdOf(request.key);
  waiting.stream = StreamOf(request.key);
  waiting.decide_by = std::min(request.deadline, now + this->options.max_wait);
  const ClaimHandle handle = this->waiting_claims.Create(waiting);
  this->by_attempt.emplace(request.attempt, handle);
  this->by_key.emplace(waiting.id, handle);
  this->deadlines.emplace(waiting.decide_by, handle);
  ++this->team_waiting[request.key.team];
  StreamWork& work = this->Open(now, waiting.stream);
  work.waiting.insert(handle);
  if (work.read_call == 0) {
    // The stream has not been read for a while, so the known state of the key
    // may be out of date.
    work.caught_up = false;
  }
  return handle;
}

void ClaimTableImpl::EraseWaiting(ClaimHandle handle) {
  const WaitingClaim& waiting = *this->waiting_claims.Find(handle);
  this->by_attempt.erase(waiting.request.attempt);
  const auto same_key = this->by_key.equal_range(waiting.id);
  for (auto entry = same_key.first; entry != same_key.second; ++entry) {
    if (entry->second == handle) {
      this->by_key.erase(entry);
      break;
    }
  }
  this->deadlines.erase({waiting.decide_by, handle});
  const auto team = this->team_waiting.find(waiting.request.key.team);
  if (--team->second == 0) {
    this->team_waiting.erase(team);
  }
  this->streams.at(waiting.stream).waiting.erase(handle);
  this->waiting_claims.Destroy(handle);
}

void ClaimTableImpl::Cancel(TimePoint now, ClaimHandle claim) {
  const WaitingClaim* waiting = this->waiting_claims.Find(claim);
  if (waiting == nullptr) {
    return;
  }
  const WaitingClaim abandoned = *waiting;
  this->EraseWaiting(claim);
  this->AbandonClaim(now, abandoned);
  this->Pump(now);
}

void ClaimTableImpl::Finish(TimePoint now, const ClaimEnd& end) {
  const auto still_waiting = this->by_attempt.find(end.attempt);
  if (still_waiting != this->by_attempt.end()) {
    this->EraseWaiting(still_waiting->second);
  }
  if (this->AddEnd(now, end, true)) {
    this->DecideKey(now, IdOf(end.key));
  }
  this->Pump(now);
}

bool ClaimTableImpl::AddEnd(TimePoint now, const ClaimEnd& end, bool notify) {
  if (this->end_of.contains(end.attempt)) {
    return false;
  }
  UnrecordedEnd unrecorded{end, IdOf(end.key), StreamOf(end.key), notify};
  if (StoredSizeOf(end.answer) > limits::kMaxStoredResponseBytes) {
    unrecorded.end.answer = StoredResponse{end.answer.status, false, {}, {}};
  }
  StreamWork& work = this->Open(now, unrecorded.stream);
  const ClaimEndHandle handle =
      this->unrecorded_ends.Create(std::move(unrecorded));
  if (!IsValid(handle)) {
    // The key stays claimed in the log, so retries are refused as `unknown`.
    ++this->counts.ends_dropped;
    return false;
  }
  this->end_of.emplace(end.attempt, handle);
  // A release goes to the front of the queue: the claim of a retry with the
  // same key may be queued already, and would lose to the released claim.
  const bool release = end.outcome == ClaimOutcome::kReleased;
  const QueuedClaimRecord out{
      {}, handle, release ? now : now + kEndDelay, release};
  if (release) {
    work.append_queue.PushFront(end.key.team, out);
  } else {
    work.append_queue.PushBack(end.key.team, out);
  }
  return true;
}

StreamWork& ClaimTableImpl::Open(TimePoint now, const ClaimStream& stream) {
  StreamWork& work =
      this->streams.try_emplace(stream, this->guards).first->second;
  work.last_used = now;
  return work;
}

void ClaimTableImpl::ApplyFleet(TimePoint now, const ClaimFleet& fleet) {
  this->fleet = fleet;
  this->live_origins.clear();
  this->live_origins.insert(fleet.live_origins.begin(),
                            fleet.live_origins.end());
  const size_t sharers = std::max<size_t>(1, fleet.appenders);
  this->budget.SetRate(
      now, this->options.appends_per_second / static_cast<double>(sharers),
      this->options.append_burst);
}

void ClaimTableImpl::Tick(TimePoint now, WallTime wall_now) {
  this->RefuseOverdue(now);
  this->PinOwned(now, wall_now);
  this->DropIdle(now);
  this->Pump(now);
}

void ClaimTableImpl::RefuseOverdue(TimePoint now) {
  while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
    const ClaimHandle handle = this->deadlines.begin()->second;
    const WaitingClaim& waiting = *this->waiting_claims.Find(handle);
    this->Refuse(now, handle, this->RefusalIfUndecided(now, waiting));
  }
}

void ClaimTableImpl::PinOwned(TimePoint now, WallTime wall_now) {
  for (auto& [stream, work] : this->streams) {
    work.pinned = false;
  }
  for (uint32_t i = 0; i < limits::kClaimPartitions; ++i) {
    if (this->fleet.owned.test(i)) {
      this->Open(now, {i, ClaimBucketAt(wall_now)}).pinned = true;
      this->Open(now, {i, ClaimBucketAt(wall_now + kOpenAhead)}).pinned = true;
    }
  }
}

void ClaimTableImpl::DropIdle(TimePoint now) {
  std::erase_if(this->streams, [now](const auto& entry) {
    const StreamWork& work = entry.second;
    return work.waiting.empty() && work.append_queue.empty() && !work.pinned &&
           work.append_call == 0 && now - work.last_used > kIdleRetention;
  });
}

bool ClaimTableImpl::IsIdle() const {
  return this->waiting_claims.size() == 0 && this->unrecorded_ends.size() == 0;
}

TimePoint ClaimTableImpl::NextTick(TimePoint now) {
  TimePoint next =
      this->deadlines.empty() ? kNever : this->deadlines.begin()->first;
  for (const auto& [stream, work] : this->streams) {
    const bool reads = work.pinned || !work.waiting.empty();
    if (reads && work.read_call == 0) {
      next = std::min(next, this->read_health.next_try());
    }
    if (work.append_call != 0 || this->IsProbing()) {
      continue;
    }
    for (const auto& [team, queue] : work.append_queue.teams()) {
      const TimePoint due = std::max({queue.front().due, work.append_after,
                                      this->append_health.next_try(),
                                      this->budget.NextToken(now)});
      next = std::min(next, due);
    }
  }
  return std::max(next, now);
}

}  // namespace basilsill

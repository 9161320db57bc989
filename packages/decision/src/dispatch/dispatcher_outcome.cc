#include <algorithm>
#include <cmath>

#include "dispatcher_core.h"
#include "upstream_choice.h"

namespace basilsill {
namespace {

constexpr uint16_t kServerError = 500;

constexpr Duration kConnectPause = std::chrono::milliseconds(100);
constexpr Duration kMaxConnectPause = std::chrono::seconds(5);
constexpr Duration kMinShedPause = std::chrono::milliseconds(1);
constexpr Duration kMaxShedPause = std::chrono::seconds(1);
constexpr uint8_t kMaxFailures = 12;

constexpr Duration kMaxPauseAlone = std::chrono::milliseconds(200);

// Time for which nothing is sent ahead to an upstream that shed such a request.
constexpr Duration kNoAheadTime = std::chrono::minutes(1);

// Pause between trickle requests to a marked upstream that has not recovered.
// It doubles up to the maximum.
constexpr ShortMillis kTricklePause{100};
constexpr ShortMillis kMaxTricklePause{2000};

// An answer is good if the logarithm of its duration divided by the median is
// below this.
constexpr double kGoodLogRatio = 0.7;
constexpr double kErrorWeight = 1.0 / 32;  // Of one request in the error share.

bool IsError(const AttemptReport& report) {
  switch (report.end) {
    case AttemptEnd::kAnswered:
      return report.status >= kServerError;
    case AttemptEnd::kConnectFailed:
    case AttemptEnd::kDied:
    case AttemptEnd::kTimedOut:
    case AttemptEnd::kMalformed:
      return true;
    default:
      return false;
  }
}

// @returns the mean error share of the siblings of `upstream`. Its own errors
// are excluded: an upstream that fails fast gets most of the requests, so its
// errors would look normal.
double ErrorShareOfSiblings(const ShardState& shard,
                            const UpstreamSlots& upstream) {
  double sum = 0;
  size_t siblings = 0;
  for (const UpstreamSlots& other : shard.upstreams) {
    if (other.present && other.handle != upstream.handle) {
      sum += other.error_share;
      ++siblings;
    }
  }
  return siblings == 0 ? 1 : sum / static_cast<double>(siblings);
}

// At most half of the upstreams are marked. If more of them look bad, the load
// or the requests have changed, not the upstreams.
bool MayMark(const ShardState& shard, UpstreamGrade grade) {
  size_t usable = 0;
  size_t marked = 0;
  for (const UpstreamSlots& upstream : shard.upstreams) {
    const UpstreamGrade other = upstream.health.grade();
    const bool is_out = upstream.leaving || upstream.drained;
    usable += upstream.present && !is_out ? 1 : 0;
    marked += other == grade || other == UpstreamGrade::kFailing ? 1 : 0;
  }
  return 2 * (marked + 1) <= usable;
}

// Pauses the upstream. The pause doubles with each consecutive failure, but
// stays short while no other upstream has open slots, as there is no
// alternative.
void Pause(TimePoint now,
           const ShardState& shard,
           UpstreamSlots& upstream,
           Duration base,
           Duration most) {
  const Duration pause = base * (int64_t{1} << upstream.failures);
  const bool alone = shard.open_slots <= upstream.slots;
  upstream.paused_until =
      now + std::min(pause, alone ? std::min(most, kMaxPauseAlone) : most);
  upstream.failures = std::min<uint8_t>(upstream.failures + 1, kMaxFailures);
}

}  // namespace

void DispatcherCore::RecordAttemptEnd(TimePoint now,
                                      const AttemptRow& attempt,
                                      const AttemptReport& report) {
  ShardState& shard = this->shards.at(attempt.shard);
  UpstreamSlots& upstream = shard.upstreams[attempt.upstream];
  this->RecordLoadReport(now, shard, attempt.upstream, report.load);
  if (report.end != AttemptEnd::kMisdirected) {
    this->RecordRateLimit(now, attempt.start, shard, attempt.upstream,
                          report.rate_limit);
  }
  if (report.end == AttemptEnd::kMisdirected) {
    this->RecordReplaced(now, shard, upstream.handle);
  }
  const bool answered = report.end == AttemptEnd::kAnswered;
  if (answered && this->options.quarantine) {
    const RequestRow& request = this->Request(attempt.request.index);
    this->options.quarantine->OnAnswered(now, request.spec.fingerprint);
  }
  if (report.end == AttemptEnd::kDied && !attempt.crash_reported) {
    this->ReportCrash(now, attempt.shard, upstream);
  }
  if (report.end != AttemptEnd::kCancelled) {
    upstream.unreachable = report.end == AttemptEnd::kConnectFailed;
  }
  if (IsError(report)) {
    this->RecordError(now, attempt, report.end);
  } else if (answered) {
    this->RecordAnswer(now, attempt);
  } else if (report.end == AttemptEnd::kShed) {
    this->RecordShed(now, attempt, report);
  }
  this->UpdateGrade(now, shard, attempt.upstream);
}

void DispatcherCore::RecordAnswer(TimePoint now, const AttemptRow& attempt) {
  ShardState& shard = this->shards.at(attempt.shard);
  UpstreamSlots& upstream = shard.upstreams[attempt.upstream];
  LatencyStats& stats = shard.stats[static_cast<size_t>(attempt.traffic_class)];
  const Duration took = now - attempt.start;
  bool good = true;
  if (stats.known()) {
    const double ratio = static_cast<double>(took.count() + 1) /
                         static_cast<double>(stats.median().count() + 1);
    const double log_ratio =
        this->options.features.straggler ? std::log(ratio) : 0;
    good = log_ratio < kGoodLogRatio;
    upstream.health.OnAnswer(log_ratio, stats.spread(), shard.error_rate);
  }
  // The upstream's grade at the start of the request decides. Leaving out the
  // long requests that made an upstream look slow would shorten the tail of the
  // statistics, so that ever more upstreams would be marked.
  if (attempt.typical && !attempt.ahead) {
    stats.Add(took);
  }
  upstream.error_share -= kErrorWeight * upstream.error_share;
  if (shard.sheds) {
    shard.sheds->OnAnswer();
  }
  // Failures with a common cause end together.
  if (upstream.failures > 0) {
    LiftPauses(now, shard);
  }
  upstream.failures = 0;
  if (upstream.ramp_left > 0 && --upstream.ramp_left == 0) {
    RecountSlots(now, shard);
  }
  this->ScheduleTrickle(now, upstream, good);
}

// The duration of an error does not count, however short it is. An upstream
// that fails while its siblings are healthy is marked.
void DispatcherCore::RecordError(TimePoint now,
                                 const AttemptRow& attempt,
                                 AttemptEnd end) {
  ShardState& shard = this->shards.at(attempt.shard);
  UpstreamSlots& upstream = shard.upstreams[attempt.upstream];
  upstream.error_share += kErrorWeight * (1 - upstream.error_share);
  shard.error_rate = ErrorShareOfSiblings(shard, upstream);
  if (this->options.features.fail_fast) {
    upstream.health.OnError(shard.error_rate);
  }
  const bool gone =
      end == AttemptEnd::kConnectFailed || end == AttemptEnd::kDied;
  if (gone) {
    Pause(now, shard, upstream, kConnectPause, kMaxConnectPause);
    upstream.ramp_left = this->options.features.ramp ? kRampAnswers : 0;
    RecountSlots(now, shard);
    this->RecordEvent(end == AttemptEnd::kDied ? UpstreamEventKind::kDied
                                               : UpstreamEventKind::kBackedOff,
                      shard, upstream);
  }
  this->ScheduleTrickle(now, upstream, false);
}

// A rest that the upstream asked for replaces the pause that is this side's
// guess.
void DispatcherCore::RecordShed(TimePoint now,
                                const AttemptRow& attempt,
                                const AttemptReport& report) {
  const UpstreamNotice& notice = report.notice;
  ShardState& shard = this->shards.at(attempt.shard);
  UpstreamSlots& upstream = shard.upstreams[attempt.upstream];
  if (attempt.ahead) {
    upstream.no_ahead_until = now + kNoAheadTime;
    return;
  }
  if (!notice.leaving) {
    this->TrackShed(now, attempt, report.load);
  }
  // Pauses of all upstreams would take away the slots that are free.
  if (!this->options.features.shed_backoff || notice.rest > Duration(0) ||
      shard.shed_case() == ShedCase::kWithRoom) {
    return;
  }
  const LatencyStats& stats =
      shard.stats[static_cast<size_t>(attempt.traffic_class)];
  Pause(now, shard, upstream, std::max(kMinShedPause, stats.median()),
        kMaxShedPause);
  RecountSlots(now, shard);
  this->RecordEvent(UpstreamEventKind::kBackedOff, shard, upstream);
}

// After a good answer, a marked upstream gets the next trickle request at once,
// so that it recovers within a few requests. After a bad one it has to wait.
void DispatcherCore::ScheduleTrickle(TimePoint now,
                                     UpstreamSlots& upstream,
                                     bool good) {
  upstream.recovering = good;
  if (upstream.health.grade() == UpstreamGrade::kFull || good) {
    upstream.trickle_pause = kTricklePause;
    upstream.next_trickle = now;
    return;
  }
  upstream.next_trickle = now + upstream.trickle_pause;
  upstream.trickle_pause =
      std::min<ShortMillis>(2 * upstream.trickle_pause, kMaxTricklePause);
}

// Reports all requests that ran on a crashed upstream to the quarantine. Their
// attempts will end with kDied as well, but this is the same crash, so it is
// reported once. An upstream that is leaving and closes connections has not
// crashed.
void DispatcherCore::ReportCrash(TimePoint now,
                                 uint32_t shard_row,
                                 UpstreamSlots& upstream) {
  if (!this->options.quarantine || !TakesWork(now, upstream)) {
    return;
  }
  std::array<Fingerprint, CrashReport::kMaxSuspects> suspects{};
  size_t count = 0;
  for (uint32_t row = upstream.running; row != kNoRow;
       row = this->Attempt(row).next) {
    AttemptRow& attempt = this->Attempt(row);
    attempt.crash_reported = true;
    const Fingerprint fingerprint =
        this->Request(attempt.request.index).spec.fingerprint;
    if (fingerprint != 0 && count < suspects.size()) {
      suspects[count++] = fingerprint;
    }
  }
  const Fingerprint quarantined = this->options.quarantine->OnCrash(
      now, upstream.key, std::span(suspects.data(), count));
  if (quarantined != 0) {
    this->RecordEvent(UpstreamEventKind::kQuarantined,
                      this->shards.at(shard_row), upstream, quarantined);
  }
}

void DispatcherCore::UpdateGrade(TimePoint now,
                                 ShardState& shard,
                                 uint32_t place) {
  UpstreamSlots& upstream = shard.upstreams[place];
  const double running = this->RunningEvidence(now, shard, upstream);
  const UpstreamGrade grade = upstream.health.Evaluate(running);
  const bool marks = grade != UpstreamGrade::kFull;
  if (grade == upstream.health.grade() || (marks && !MayMark(shard, grade))) {
    return;
  }
  upstream.health.Set(grade);
  RecountSlots(now, shard);
  switch (upstream.health.grade()) {
    case UpstreamGrade::kSlow:
      this->RecordEvent(UpstreamEventKind::kStraggling, shard, upstream);
      this->ScheduleTrickle(now, upstream, false);
      this->HedgeAttemptsOn(now, upstream);
      break;
    case UpstreamGrade::kFailing:
      this->RecordEvent(UpstreamEventKind::kFailing, shard, upstream);
      this->ScheduleTrickle(now, upstream, false);
      break;
    default:
      this->RecordEvent(UpstreamEventKind::kRecovered, shard, upstream);
      break;
  }
}

}  // namespace basilsill

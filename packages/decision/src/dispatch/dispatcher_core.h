#ifndef BASILSILL_DECISION_DISPATCHER_CORE_H_
#define BASILSILL_DECISION_DISPATCHER_CORE_H_

#include <memory>
#include <vector>

#include <pcg_random.hpp>

#include "basilsill/decision/dispatch.h"
#include "dispatch_tables.h"
#include "fair_queue.h"
#include "rate_limit_cache.h"
#include "shard_table.h"
#include "upstream_choice.h"

/// Implementation of the dispatcher, split into these files:
/// - dispatcher.cc: queueing and ending of requests
/// - dispatcher_admit.cc: admission control
/// - dispatcher_start.cc: binding of requests to slots
/// - dispatcher_speed.cc: load queries and momentary slowness of upstreams
/// - dispatcher_end.cc: ends of attempts and retries
/// - dispatcher_outcome.cc: effect of an attempt's end on the upstream's state
/// - dispatcher_notice.cc: upstreams that say that they leave or rest
/// - dispatcher_rate_limit.cc: rate limits of upstreams
/// - dispatcher_shed.cc: causes of sheds, and retries and returns by cause
/// - dispatcher_reach.cc: data centres that this VM can't connect to
/// - dispatcher_tick.cc: timers, hedges and periodic scans

namespace basilsill {

/// @returns when `request` moves to a more urgent queue, kNever if it doesn't.
TimePoint PromotionOf(const RequestRow& request);

class DispatcherCore final : public Dispatcher {
 public:
  explicit DispatcherCore(const DispatcherOptions& options);

  void ApplyView(TimePoint now, const RoutingViewPtr& view) override;
  DispatchHandle Offer(TimePoint now, const DispatchRequest& request) override;
  void OnFirstByte(TimePoint now, AttemptHandle attempt) override;
  bool OnAttemptEnd(TimePoint now,
                    AttemptHandle attempt,
                    const AttemptReport& report) override;
  bool MaySendAgain(TimePoint now, AttemptHandle attempt) override;
  void OnLoadQueryEnd(TimePoint now,
                      UpstreamHandle upstream,
                      const LoadQueryReport& report) override;
  void OnReach(TimePoint now,
               DataCentreHandle data_centre,
               bool reachable) override;
  void OnRateLimitReport(TimePoint now, const RateLimitReport& report) override;
  std::vector<RateLimitUpdate> TakeRateLimitUpdates(TimePoint now) override;
  void Cancel(TimePoint now, DispatchHandle request) override;
  void OnNotice(TimePoint now,
                ServiceHandle service,
                UpstreamHandle upstream,
                const UpstreamNotice& notice) override;
  void OnNoticeReports(
      TimePoint now,
      ShardKey shard,
      const std::vector<UpstreamNoticeReport>& reports) override;
  std::vector<UpstreamNoticeReport> NoticesOf(TimePoint now,
                                              ShardKey shard) const override;
  void Tick(TimePoint now) override;
  void HandBack(TimePoint now) override;
  void Withdraw(TimePoint now, DispatchHandle request) override;
  size_t CountRateLimited() const override;
  ShardSummary Summarize(TimePoint now, ShardKey shard) const override;
  bool ReachesShard(TimePoint now, ShardKey shard) const override;
  const std::vector<DispatchAction>& actions() const override;
  const std::vector<UpstreamEvent>& events() const override;
  void ClearActions() override;
  const DispatchCounters& counters() const override;

 private:
  /// A refusal and the time after which the caller may retry; kNone admits.
  struct Verdict {
    Refusal refusal = Refusal::kNone;
    Duration retry_after{0};
  };

  // dispatcher_admit.cc
  Verdict Check(TimePoint now,
                const ShardState& shard,
                uint32_t lane,
                const DispatchRequest& request);
  Verdict CheckUsable(TimePoint now, const ShardState& shard);
  Verdict CheckWait(TimePoint now,
                    const ShardState& shard,
                    uint32_t lane,
                    const DispatchRequest& request);
  Verdict CheckQueue(TimePoint now,
                     const ShardState& shard,
                     uint32_t lane,
                     TeamHandle team);
  bool MakeRoom(TimePoint now,
                ShardState& shard,
                uint32_t lane,
                TrafficClass traffic_class,
                Refusal refusal);
  uint32_t OpenLane(const ShardState& shard, const DispatchRequest& request);
  Duration ExpectedWait(TimePoint now,
                        const ShardState& shard,
                        RingKind ring,
                        uint32_t ahead) const;
  Duration WithJitter(Duration duration);
  Duration WithJitter(Duration duration, uint32_t most_percent);

  // dispatcher.cc
  void RefuseOffer(const DispatchRequest& request, const Verdict& verdict);
  void Refuse(uint32_t request, const Verdict& verdict);
  void EndRequest(uint32_t request);
  void FlushWaiting(ShardState& shard, const Verdict& verdict);
  void SetTimer(uint32_t request);
  auto TimerPositions() {
    return
        [this](uint32_t row) -> uint32_t& { return this->Request(row).timer; };
  }
  RequestRow& Request(uint32_t row);
  AttemptRow& Attempt(uint32_t row);
  DispatchAction& Emit(DispatchActionKind kind, uint32_t request);
  void RecordEvent(UpstreamEventKind kind,
                   const ShardState& shard,
                   const UpstreamSlots& upstream,
                   Fingerprint fingerprint = 0);
  void Activate(uint32_t shard);
  bool TakeRepeat(TimePoint now, ShardState& shard, double reserved = 0);

  // dispatcher_start.cc
  void Pump(TimePoint now, uint32_t shard);
  bool StartNext(TimePoint now, uint32_t shard);
  bool StartFrom(TimePoint now, uint32_t shard, RingKind ring);
  bool MaySendAhead(TimePoint now,
                    const ShardState& shard,
                    RingKind ring) const;
  bool MayStart(const ShardState& shard, RingKind ring) const;

  // dispatcher_speed.cc
  void SetSpeedOptions(TimePoint now,
                       const ShardState& shard,
                       const RequestRow& request,
                       ChoiceOptions& choice) const;
  static double SlownessLimitOf(TimePoint now,
                                const ShardState& shard,
                                const DispatchRequest& spec);
  SpeedRule SpeedRuleOf(TimePoint now,
                        const ShardState& shard,
                        const RequestRow& request) const;
  void Hold(TimePoint now,
            ShardState& shard,
            uint32_t row,
            const ChoiceOptions& choice);
  static void RecordHold(TimePoint now,
                         ShardState& shard,
                         const RequestRow& request);
  bool ShouldLeaveSlow(const ShardState& shard,
                       const RequestRow& request) const;
  void QueryLoad(TimePoint now, ShardState& shard, uint32_t place);
  bool HoldForIdle(TimePoint now,
                   ShardState& shard,
                   uint32_t row,
                   uint32_t chosen,
                   const ChoiceOptions& choice);
  bool QueryWarmth(TimePoint now, ShardState& shard, uint32_t place);
  void QueryWarmthOfFree(TimePoint now, ShardState& shard);
  void RecordLoadReport(TimePoint now,
                        ShardState& shard,
                        uint32_t place,
                        const UpstreamLoad& load);
  uint32_t CapOf(const ShardState& shard, RingKind ring) const;
  bool RefuseIfUnservable(TimePoint now, ShardState& shard, uint32_t request);
  bool CheckFront(TimePoint now, ShardState& shard, uint32_t request);
  bool DeprioritizeIfLate(TimePoint now, ShardState& shard, uint32_t request);
  void AddSuspect(ShardState& shard, uint32_t request);
  void RemoveSuspect(ShardState& shard, uint32_t request);
  void ServeSuspects(TimePoint now, uint32_t shard);
  void BeginIsolation(TimePoint now, ShardState& shard);
  void EndIsolation(TimePoint now, ShardState& shard);
  bool IsSuspect(TimePoint now, const RequestRow& request) const;
  AttemptHandle Start(TimePoint now,
                      uint32_t request,
                      uint32_t upstream,
                      Retry reason);
  void TrackLoad(TimePoint now, ShardState& shard);

  // dispatcher_end.cc
  void HandleFailedAttempt(TimePoint now,
                           uint32_t request,
                           const AttemptRow& attempt,
                           const AttemptReport& report);
  bool RetryFailedAnswer(TimePoint now,
                         uint32_t request,
                         const AttemptRow& attempt,
                         const AttemptReport& report);
  void RequeueForRetry(uint32_t request,
                       const AttemptRow& attempt,
                       Retry reason);
  uint8_t AttemptsLeft(const RequestRow& request) const;
  Verdict VerdictOf(TimePoint now, const RequestRow& request, AttemptEnd end);
  Retry DecideRetry(TimePoint now,
                    const RequestRow& request,
                    const AttemptRow& attempt,
                    const AttemptReport& report);
  void Release(TimePoint now, AttemptHandle attempt);
  void AdvanceAhead(TimePoint now, const UpstreamSlots& upstream);
  void CancelAttempts(TimePoint now, uint32_t request, AttemptHandle except);

  // dispatcher_outcome.cc
  void RecordAttemptEnd(TimePoint now,
                        const AttemptRow& attempt,
                        const AttemptReport& report);
  void RecordAnswer(TimePoint now, const AttemptRow& attempt);
  void RecordError(TimePoint now, const AttemptRow& attempt, AttemptEnd end);
  void RecordShed(TimePoint now,
                  const AttemptRow& attempt,
                  const AttemptReport& report);
  void ScheduleTrickle(TimePoint now, UpstreamSlots& upstream, bool good);
  void ReportCrash(TimePoint now, uint32_t shard, UpstreamSlots& upstream);
  void UpdateGrade(TimePoint now, ShardState& shard, uint32_t upstream);

  // dispatcher_notice.cc
  void RecordReplaced(TimePoint now,
                      const ShardState& shard,
                      UpstreamHandle upstream);
  void ApplyNotice(TimePoint now,
                   ShardKey shard,
                   const ServiceRow& service,
                   const UpstreamRow& row);
  void RecordEndedRests(TimePoint now, ShardState& shard);
  void CountNoticeRefusals(TimePoint now,
                           const ShardState& shard,
                           uint64_t requests);

  // dispatcher_shed.cc
  void TrackShed(TimePoint now,
                 const AttemptRow& attempt,
                 const UpstreamLoad& load);
  std::unique_ptr<ShedMonitor> TakeMonitor(TimePoint now);
  void UpdateShedCase(TimePoint now, ShardState& shard, uint32_t place);
  void ScanSheds(TimePoint now, ShardState& shard);
  bool MayRepeatShed(TimePoint now,
                     const RequestRow& request,
                     const AttemptRow& attempt) const;
  static double ReservedRepeats(TimePoint now,
                                const ShardState& shard,
                                const RequestRow& request);
  Duration ReturnAfter(TimePoint now,
                       const ShardState& shard,
                       const RequestRow& request,
                       AttemptEnd end);

  // dispatcher_reach.cc
  void ApplyReach(TimePoint now, ShardState& shard);

  // dispatcher_rate_limit.cc
  void RecordRateLimit(TimePoint now,
                       TimePoint request_sent_at,
                       ShardState& shard,
                       uint32_t place,
                       const AdvertisedRateLimit& advertised);
  void RemoveRateLimit(TimePoint now, ShardState& shard, uint32_t place);
  void ApplyReceivedLimits(TimePoint now, ShardState& shard);
  uint32_t PlaceOfReported(const RateLimitReport& report) const;
  void AddUpdatesForOwners(
      const RateLimitReport& report,
      std::vector<RateLimitUpdate>& outgoing_updates) const;
  RateLimitReport ReportOf(const ShardState& shard, uint32_t place) const;
  void HoldForRate(TimePoint now, ShardState& shard, uint32_t request);
  void RefuseBeyondRate(TimePoint now, ShardState& shard);

  // dispatcher_tick.cc
  void EndSuperseded(TimePoint now, uint32_t shard);
  void FireTimer(TimePoint now, uint32_t request);
  void Promote(uint32_t request);
  void TryHedge(TimePoint now, uint32_t request);
  TimePoint HedgeTime(TimePoint now,
                      const ShardState& shard,
                      const RequestRow& request) const;
  void Scan(TimePoint now, uint32_t shard);
  void HedgeAttemptsOn(TimePoint now, const UpstreamSlots& upstream);
  double RunningEvidence(TimePoint now,
                         const ShardState& shard,
                         const UpstreamSlots& upstream) const;
  double EvidenceOf(TimePoint now,
                    const ShardState& shard,
                    const AttemptRow& attempt) const;
  void Deactivate(uint32_t shard);

  DispatcherOptions options;
  RequestTable requests;
  HandleTable<AttemptRow, AttemptTag> attempts;
  ShardTable shards;
  FairQueue queue;
  IndexedHeap<TimePoint> timers;  ///< Rows are those of requests.
  std::vector<uint32_t> active;   ///< Shards with queued or running requests.
  std::vector<DataCentreHandle> unreachable;  ///< Paths to them are lost.
  RateLimitCache received_limits;
  std::vector<RateLimitReport> ended_limits;  ///< Not yet sent to other VMs.
  /// Reserved at the start, so that a shed allocates nothing.
  std::vector<std::unique_ptr<ShedMonitor>> free_monitors;
  bool handing_back = false;
  pcg32 random;  ///< For jitter.
  std::vector<DispatchAction> emitted_actions;
  std::vector<UpstreamEvent> emitted_events;
  DispatchCounters counts;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_DISPATCHER_CORE_H_

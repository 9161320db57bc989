#include "basilsill/base/event.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace basilsill {
namespace {

constexpr Severity kDebug = Severity::kDebug;
constexpr Severity kInfo = Severity::kInfo;
constexpr Severity kWarning = Severity::kWarning;
constexpr Severity kError = Severity::kError;

constexpr std::array kEvents = {
    EventInfo{Event::kNodeStarting, kInfo, "node-starting"},
    EventInfo{Event::kNodeReady, kInfo, "node-ready"},
    EventInfo{Event::kNodeDraining, kInfo, "node-draining"},
    EventInfo{Event::kNodeStopped, kInfo, "node-stopped"},
    EventInfo{Event::kNodeForcedStop, kWarning, "node-forced-stop"},
    EventInfo{Event::kMechanismsOff, kWarning, "mechanisms-off"},
    EventInfo{Event::kSettingsRejected, kError, "settings-rejected"},
    EventInfo{Event::kSettingsReloaded, kInfo, "settings-reloaded"},
    EventInfo{Event::kEventsSuppressed, kWarning, "events-suppressed"},
    EventInfo{Event::kAdminRequestFailed, kError, "admin-request-failed"},
    EventInfo{Event::kAcceptFailed, kWarning, "accept-failed"},
    EventInfo{Event::kTaskFailed, kError, "task-failed"},
    EventInfo{Event::kCallersNotTaken, kWarning, "callers-not-taken"},
    EventInfo{Event::kCallersTaken, kInfo, "callers-taken"},
    EventInfo{Event::kRequestRefused, kInfo, "request-refused"},
    EventInfo{Event::kRequestRetried, kInfo, "request-retried"},
    EventInfo{Event::kRequestMalformed, kInfo, "request-malformed"},
    EventInfo{Event::kAnswerBroken, kWarning, "answer-broken"},
    EventInfo{Event::kCallerGone, kInfo, "caller-gone"},
    EventInfo{Event::kPromiseWithheld, kError, "promise-withheld"},
    EventInfo{Event::kAttemptAnswered, kInfo, "attempt-answered"},
    EventInfo{Event::kAttemptFailed, kWarning, "attempt-failed"},
    EventInfo{Event::kUpstreamConnectFailed, kWarning,
              "upstream-connect-failed"},
    EventInfo{Event::kUpstreamDied, kWarning, "upstream-died"},
    EventInfo{Event::kUpstreamDraining, kInfo, "upstream-draining"},
    EventInfo{Event::kUpstreamStraggling, kWarning, "upstream-straggling"},
    EventInfo{Event::kUpstreamRecovered, kInfo, "upstream-recovered"},
    EventInfo{Event::kUpstreamRateLimited, kWarning, "upstream-rate-limited"},
    EventInfo{Event::kUpstreamRateLimitEnded, kInfo,
              "upstream-rate-limit-ended"},
    EventInfo{Event::kRateLimitMalformed, kWarning, "rate-limit-malformed"},
    EventInfo{Event::kNoticeMalformed, kWarning, "notice-malformed"},
    EventInfo{Event::kUpstreamResting, kWarning, "upstream-resting"},
    EventInfo{Event::kUpstreamListed, kInfo, "upstream-listed"},
    EventInfo{Event::kUpstreamLeaving, kInfo, "upstream-leaving"},
    EventInfo{Event::kUpstreamDoubted, kWarning, "upstream-doubted"},
    EventInfo{Event::kUpstreamBack, kInfo, "upstream-back"},
    EventInfo{Event::kUpstreamGone, kInfo, "upstream-gone"},
    EventInfo{Event::kUpstreamStartedAgain, kInfo, "upstream-started-again"},
    EventInfo{Event::kDataCentreDrained, kWarning, "data-centre-drained"},
    EventInfo{Event::kDataCentreTakenBack, kInfo, "data-centre-taken-back"},
    EventInfo{Event::kUpstreamRestEnded, kInfo, "upstream-rest-ended"},
    EventInfo{Event::kShedCaseChanged, kWarning, "shed-case-changed"},
    EventInfo{Event::kFingerprintQuarantined, kWarning,
              "fingerprint-quarantined"},
    EventInfo{Event::kUpstreamsUnreachable, kWarning, "upstreams-unreachable"},
    EventInfo{Event::kUpstreamsReachable, kInfo, "upstreams-reachable"},
    EventInfo{Event::kDataCentreLost, kWarning, "data-centre-lost"},
    EventInfo{Event::kDataCentreReached, kInfo, "data-centre-reached"},
    EventInfo{Event::kApiKeysUnverified, kWarning, "api-keys-unverified"},
    EventInfo{Event::kApiKeysVerified, kInfo, "api-keys-verified"},
    EventInfo{Event::kQuotaLeaseTaken, kInfo, "quota-lease-taken"},
    EventInfo{Event::kQuotaLeaseEnded, kInfo, "quota-lease-ended"},
    EventInfo{Event::kQuotaLeaseFailed, kWarning, "quota-lease-failed"},
    EventInfo{Event::kDeclaredTimeUnusual, kWarning, "declared-time-unusual"},
    EventInfo{Event::kLinkOpened, kInfo, "link-opened"},
    EventInfo{Event::kLinkLost, kWarning, "link-lost"},
    EventInfo{Event::kLinkRejected, kWarning, "link-rejected"},
    EventInfo{Event::kFrameMalformed, kError, "frame-malformed"},
    EventInfo{Event::kLogUnavailable, kError, "log-unavailable"},
    EventInfo{Event::kLogRecovered, kInfo, "log-recovered"},
    EventInfo{Event::kRecordIgnored, kWarning, "record-ignored"},
    EventInfo{Event::kReadsForAll, kInfo, "reads-for-all"},
    EventInfo{Event::kReadsNoMore, kInfo, "reads-no-more"},
    EventInfo{Event::kAnnouncementFailed, kWarning, "announcement-failed"},
    EventInfo{Event::kAnnouncedAnew, kWarning, "announced-anew"},
    EventInfo{Event::kStateTold, kInfo, "state-told"},
    EventInfo{Event::kPlatformCallFailed, kInfo, "platform-call-failed"},
    EventInfo{Event::kConfigurationApplied, kInfo, "configuration-applied"},
    EventInfo{Event::kChangeAccepted, kInfo, "change-accepted"},
    EventInfo{Event::kChangeRejected, kInfo, "change-rejected"},
    EventInfo{Event::kCheckpointWritten, kInfo, "checkpoint-written"},
    EventInfo{Event::kSnapshotTaken, kInfo, "snapshot-taken"},
    EventInfo{Event::kLogTrimmed, kWarning, "log-trimmed"},
    EventInfo{Event::kViewBuilt, kDebug, "view-built"},
    EventInfo{Event::kConfigurationReceived, kInfo, "configuration-received"},
    EventInfo{Event::kConfigurationInForce, kInfo, "configuration-in-force"},
    EventInfo{Event::kStoreEraChanged, kWarning, "store-era-changed"},
    EventInfo{Event::kTopicListed, kInfo, "topic-listed"},
    EventInfo{Event::kRestoreConfirmed, kInfo, "restore-confirmed"},
    EventInfo{Event::kClaimLost, kInfo, "claim-lost"},
    EventInfo{Event::kClaimUnresolved, kWarning, "claim-unresolved"},
    EventInfo{Event::kDoneRecorded, kInfo, "done-recorded"},
    EventInfo{Event::kVmJoined, kInfo, "vm-joined"},
    EventInfo{Event::kVmLeaving, kInfo, "vm-leaving"},
    EventInfo{Event::kVmGone, kWarning, "vm-gone"},
    EventInfo{Event::kVmSuspected, kWarning, "vm-suspected"},
    EventInfo{Event::kVmTrusted, kInfo, "vm-trusted"},
    EventInfo{Event::kVmListStale, kWarning, "vm-list-stale"},
};

}  // namespace

std::span<const EventInfo> AllEvents() {
  return kEvents;
}

const EventInfo& InfoOf(Event event) {
  const auto found = std::find_if(
      kEvents.begin(), kEvents.end(),
      [event](const EventInfo& info) { return info.event == event; });
  assert(found != kEvents.end() && "event has no row in the table");
  return *found;
}

}  // namespace basilsill

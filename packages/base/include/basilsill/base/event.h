#ifndef BASILSILL_BASE_EVENT_H_
#define BASILSILL_BASE_EVENT_H_

#include <cstdint>
#include <span>
#include <string_view>

/// Numbered log events. docs/EVENTS.md documents this table; a test checks that
/// the two agree.

namespace basilsill {

enum class Severity : uint8_t { kDebug, kInfo, kWarning, kError, kCount };

/// All events that any package logs, in blocks by subject. A number is never
/// reused for another meaning.
enum class Event : uint16_t {
  // 100: process and settings
  kNodeStarting = 100,
  kNodeReady = 101,
  kNodeDraining = 102,
  kNodeStopped = 103,
  kNodeForcedStop = 104,
  kMechanismsOff = 105,
  kSettingsRejected = 110,
  kSettingsReloaded = 111,
  kEventsSuppressed = 120,
  kAdminRequestFailed = 130,
  kAcceptFailed = 140,
  kTaskFailed = 141,
  kCallersNotTaken = 142,
  kCallersTaken = 143,
  // 200: callers and requests
  kRequestRefused = 200,
  kRequestRetried = 201,
  kRequestMalformed = 202,
  kAnswerBroken = 203,
  kCallerGone = 204,
  kPromiseWithheld = 205,
  kAttemptAnswered = 210,
  kAttemptFailed = 211,
  // 300: upstreams
  kUpstreamConnectFailed = 300,
  kUpstreamDied = 301,
  kUpstreamDraining = 302,
  kUpstreamStraggling = 303,
  kUpstreamRecovered = 304,
  kUpstreamRateLimited = 305,
  kUpstreamRateLimitEnded = 306,
  kRateLimitMalformed = 307,
  kNoticeMalformed = 308,
  kUpstreamResting = 309,
  kUpstreamListed = 310,
  kUpstreamLeaving = 311,
  kUpstreamDoubted = 312,
  kUpstreamBack = 313,
  kUpstreamGone = 314,
  kUpstreamStartedAgain = 315,
  kDataCentreDrained = 316,
  kDataCentreTakenBack = 317,
  kUpstreamRestEnded = 318,
  kShedCaseChanged = 319,
  kFingerprintQuarantined = 320,
  kUpstreamsUnreachable = 321,
  kUpstreamsReachable = 322,
  kDataCentreLost = 323,
  kDataCentreReached = 324,
  // 330: teams
  kApiKeysUnverified = 330,
  kApiKeysVerified = 331,
  kQuotaLeaseTaken = 332,
  kQuotaLeaseEnded = 333,
  kQuotaLeaseFailed = 334,
  kDeclaredTimeUnusual = 335,
  // 400: links between nodes
  kLinkOpened = 400,
  kLinkLost = 401,
  kLinkRejected = 402,
  kFrameMalformed = 403,
  // 500: platform and configuration
  kLogUnavailable = 500,
  kLogRecovered = 501,
  kRecordIgnored = 502,
  kReadsForAll = 503,
  kReadsNoMore = 504,
  kAnnouncementFailed = 505,
  kAnnouncedAnew = 506,
  kStateTold = 507,
  kPlatformCallFailed = 508,
  kConfigurationApplied = 510,
  kChangeAccepted = 511,
  kChangeRejected = 512,
  kCheckpointWritten = 513,
  kSnapshotTaken = 514,
  kLogTrimmed = 515,
  kViewBuilt = 516,
  kConfigurationReceived = 517,
  kConfigurationInForce = 518,
  kStoreEraChanged = 519,
  kTopicListed = 520,
  kRestoreConfirmed = 521,
  // 600: requests that must not be executed twice
  kClaimLost = 600,
  kClaimUnresolved = 601,
  kDoneRecorded = 602,
  // 700: membership
  kVmJoined = 700,
  kVmLeaving = 701,
  kVmGone = 702,
  kVmSuspected = 703,
  kVmTrusted = 704,
  kVmListStale = 705,
};

/// One row of the event table.
struct EventInfo {
  Event event;
  Severity severity;
  std::string_view name;
};

/// @returns the whole table, ordered by number.
std::span<const EventInfo> AllEvents();

/// @returns the row of `event`.
const EventInfo& InfoOf(Event event);

}  // namespace basilsill

#endif  // BASILSILL_BASE_EVENT_H_

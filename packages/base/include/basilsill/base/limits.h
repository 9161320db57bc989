#ifndef BASILSILL_BASE_LIMITS_H_
#define BASILSILL_BASE_LIMITS_H_

#include <chrono>
#include <cstddef>

#include "basilsill/base/time.h"

/// All fixed limits of the project. For a limit that an operator may change by
/// a setting (docs/SETTINGS.md), this file has the default.

namespace basilsill::limits {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Configuration tables, per tenant.
inline constexpr size_t kMaxTeams = 1024;
inline constexpr size_t kMaxServices = 1024;
inline constexpr size_t kMaxRules = 8192;
inline constexpr size_t kMaxUpstreams = 32768;
inline constexpr size_t kMaxVms = 2048;
inline constexpr size_t kMaxDataCentres = 64;
inline constexpr size_t kMaxNameLength = 63;

// API keys of teams.
inline constexpr size_t kMaxApiKeyBytes = 256;
inline constexpr size_t kMaxApiKeysPerTeam = 65536;

// Requests in one worker (one traffic thread).
inline constexpr size_t kMaxRequestsPerWorker = 16384;
inline constexpr size_t kMaxQueuePerShard = 4096;
inline constexpr size_t kMaxShardsPerWorker = 1024;

/// Maximum number of upstream instances that one dispatcher owns: 64 instances
/// of 2 slots at 5 ms serve 25,600 requests/s, about one core of a small VM.
inline constexpr size_t kMaxUpstreamsPerShard = 64;

// Slots (concurrent requests) of one upstream instance.
inline constexpr unsigned kDefaultSlotsPerUpstream = 2;

// Callers.
inline constexpr size_t kMaxHeaderBytes = 16 * 1024;
inline constexpr size_t kMaxBodyBytes = size_t{4} * 1024 * 1024 * 1024;
inline constexpr size_t kMaxCallerConnections = 12000;
inline constexpr size_t kBodyChunkBytes = 32 * 1024;
inline constexpr milliseconds kDefaultDeadline = seconds(30);
inline constexpr milliseconds kMaxDeadline = seconds(3600);
inline constexpr milliseconds kCallerIdleTimeout = seconds(60);

// Upstream connections.
inline constexpr milliseconds kUpstreamConnectTimeout = milliseconds(500);
inline constexpr milliseconds kUpstreamIdleTimeout = seconds(20);
/// A connection ends if data sent on it is not acknowledged for this long. Two
/// retransmissions fit into it.
inline constexpr milliseconds kUpstreamUserTimeout = milliseconds(700);
/// Failed requests that a connection remembers until their deadlines; one that
/// would have to remember more is closed.
inline constexpr size_t kFailedSendsPerConnection = 16;

// Links between nodes.
inline constexpr size_t kMaxFrameBytes = 256 * 1024;
inline constexpr size_t kStreamWindowBytes = 256 * 1024;
inline constexpr size_t kMaxStreamsPerLink = 16384;

/// Octets of a body that are sent in the frame of its head.
inline constexpr size_t kMaxInlineBodyBytes = 4 * 1024;
inline constexpr size_t kMaxHeaderFields = 256;

/// Total octets of the names and values of a message's header fields: those
/// that a caller may send and those that the nodes add.
inline constexpr size_t kMaxPeerHeaderBytes = 2 * kMaxHeaderBytes;
inline constexpr size_t kMaxWorkersPerVm = 256;

/// Longest duration that a message may contain.
inline constexpr milliseconds kMaxPeerDuration = std::chrono::hours(24);
inline constexpr size_t kMaxCrashReports = 256;
inline constexpr size_t kMaxRateLimitReports = 256;

/// Longest time for which an upstream gets no requests because it asked for
/// rest. An upstream that asks for more is asked again after this time, so that
/// a wrong value does not remove it for good.
inline constexpr milliseconds kMaxUpstreamRest = std::chrono::minutes(10);

/// Upstreams of which a worker remembers that they leave or rest. Beyond this,
/// the one that said so longest ago is forgotten.
inline constexpr size_t kMaxUpstreamNotices = 4096;

/// Upstreams of one shard that a summary reports as leaving or resting.
inline constexpr size_t kMaxNoticeReports = 256;

/// Maximum number of teams for which one message requests or grants quota.
inline constexpr size_t kMaxQuotaTeams = 256;
/// Maximum number of requests of a team for which one message requests or
/// grants credits.
inline constexpr size_t kMaxQuotaNeeds = 64;

/// Octets of platform records that a VM relays to others in one message. VMs
/// read larger amounts from the platform themselves.
inline constexpr size_t kMaxUpdateBytes = 128 * 1024;

/// Topics of the platform whose records VMs relay to each other.
inline constexpr size_t kMaxTopics = 16;

/// Octets of a record that one VM writes for another; the announcement of a VM
/// has a few hundred octets.
inline constexpr size_t kMaxWriteBytes = 4 * 1024;

/// Body octets that may be queued for writing, for one stream and for all
/// streams of a link. Each stream may queue kMaxInlineBodyBytes in addition to
/// the limit of the link.
inline constexpr size_t kStreamQueueBytes = 2 * kBodyChunkBytes;
inline constexpr size_t kLinkQueueBytes = 4 * 1024 * 1024;

/// Octets of queued messages that belong to no open stream. A peer that causes
/// more of them than it reads is disconnected.
inline constexpr size_t kLinkControlBytes = 4 * 1024 * 1024;

// Requests that must not be executed twice.
inline constexpr size_t kMaxStoredResponseBytes = 4 * 1024;
inline constexpr milliseconds kClaimWindow = std::chrono::hours(24);
inline constexpr size_t kClaimPartitions = 64;

// Configuration.
inline constexpr size_t kMaxUpstreamSets = 8192;
inline constexpr size_t kMaxInstancesPerSet = 512;
inline constexpr size_t kMaxMatchEntries = 16;
inline constexpr size_t kMaxMatchTextLength = 1024;
inline constexpr unsigned kMaxSlotsPerUpstream = 1024;
inline constexpr unsigned kMaxTeamConcurrency = 1'000'000;
inline constexpr unsigned kMaxTeamWeight = 1000;
inline constexpr double kMaxTeamRate = 10'000'000;
inline constexpr milliseconds kMaxColdTime = std::chrono::minutes(10);
inline constexpr unsigned kMaxColdRate = 10'000;  // Requests per second.
inline constexpr double kDefaultRetryRatio = 0.1;
inline constexpr double kDefaultHedgeRatio = 0.02;
inline constexpr double kDefaultBulkSlotShare = 0.5;

/// Number of records after which a pending change that has not appeared in the
/// log is void. Ids of decided changes are remembered for as many records.
inline constexpr size_t kChangeWindow = 4096;

/// Octets of one record of the configuration stream. The limit for a change is
/// lower, so that its resource fits into one part of a checkpoint.
inline constexpr size_t kMaxRecordBytes = 64 * 1024;
inline constexpr size_t kMaxChangeBytes = 60 * 1024;
inline constexpr size_t kMaxCheckpointParts = 1024;

/// Maximum number of checkpoints assembled from parts at the same time; a
/// further one replaces the oldest.
inline constexpr size_t kMaxOpenCheckpoints = 4;

/// Number of records after which a checkpoint is due, and the number of records
/// before the end of the log that are first searched for one.
inline constexpr size_t kCheckpointEvery = 1024;
inline constexpr size_t kCheckpointSearch = 4 * kCheckpointEvery;

/// A checkpoint is due at this age even if nothing changed, because the log's
/// retention may be time-based.
inline constexpr milliseconds kCheckpointMaxAge = std::chrono::hours(6);
inline constexpr milliseconds kCheckpointMinInterval = seconds(10);

/// Interval at which VMs attempt, one after the other, to write a due
/// checkpoint until one is written.
inline constexpr milliseconds kCheckpointStagger = seconds(5);

inline constexpr size_t kMaxPendingChanges = 1024;
inline constexpr milliseconds kChangeRetryMin = milliseconds(100);
inline constexpr milliseconds kChangeRetryMax = seconds(2);
inline constexpr size_t kMaxWatchEvents = 4096;
inline constexpr size_t kMaxKnownDigests = 4096;

// The platform's log and VM list.
inline constexpr size_t kMaxLogRecordBytes = 128 * 1024;
inline constexpr size_t kMaxAppendRecords = 1024;
inline constexpr size_t kMaxAppendBytes = 1024 * 1024;
inline constexpr size_t kMaxReadRecords = 1024;
/// Record octets after which a platform ends an answer early.
inline constexpr size_t kMaxReadBytes = 1024 * 1024;
/// JSON encodes one octet of a record as up to six.
inline constexpr size_t kMaxPlatformAnswerBytes = 8 * 1024 * 1024;
/// Octets of control traffic that are received and not yet parsed. The parser
/// waits for the end of a line or of a head; it bounds heads, but not the lines
/// between chunks.
inline constexpr size_t kMaxUnparsedBytes = 64 * 1024;
inline constexpr size_t kMaxIdlePlatformLinks = 8;
inline constexpr milliseconds kPlatformConnectTimeout = milliseconds(500);
inline constexpr milliseconds kPlatformCallTimeout = seconds(5);
inline constexpr milliseconds kPlatformIdleTimeout = seconds(20);
inline constexpr milliseconds kMaxPlatformWait = seconds(60);
inline constexpr milliseconds kPlatformBackoffMin = milliseconds(50);
inline constexpr milliseconds kPlatformBackoffMax = seconds(2);

// Control.
inline constexpr milliseconds kControlTick = milliseconds(100);
inline constexpr milliseconds kWorkerTick = milliseconds(1);

}  // namespace basilsill::limits

#endif  // BASILSILL_BASE_LIMITS_H_

#ifndef BASILSILL_BASE_LIMITS_H_
#define BASILSILL_BASE_LIMITS_H_

#include <chrono>
#include <cstddef>

#include "basilsill/base/time.h"

/// Every fixed limit of the project in one place. A limit that an operator
/// may change is a setting (docs/SETTINGS.md) whose default stands here.

namespace basilsill::limits {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Tables of configuration, per tenant.
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

// Requests at one worker (one traffic thread).
inline constexpr size_t kMaxRequestsPerWorker = 16384;
inline constexpr size_t kMaxQueuePerShard = 4096;
inline constexpr size_t kMaxShardsPerWorker = 1024;

/// Upstream instances that one dispatcher owns at most: 64 instances of 2
/// slots at 5 ms are 25,600 requests/s, about one core of a small VM.
inline constexpr size_t kMaxUpstreamsPerShard = 64;

// Slots of one upstream instance, as the brief gives them.
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

// Links between nodes.
inline constexpr size_t kMaxFrameBytes = 256 * 1024;
inline constexpr size_t kStreamWindowBytes = 256 * 1024;
inline constexpr size_t kMaxStreamsPerLink = 16384;

/// Octets of a body that ride in the frame of its head.
inline constexpr size_t kMaxInlineBodyBytes = 4 * 1024;
inline constexpr size_t kMaxHeaderFields = 256;

/// Names and values of a message's header fields: what a caller may send and
/// what the nodes add.
inline constexpr size_t kMaxPeerHeaderBytes = 2 * kMaxHeaderBytes;
inline constexpr size_t kMaxWorkersPerVm = 256;

/// Longest time that a message may carry.
inline constexpr milliseconds kMaxPeerDuration = std::chrono::hours(24);
inline constexpr size_t kMaxCrashReports = 256;
inline constexpr size_t kMaxRateLimitReports = 256;

/// Teams whose quota one message asks for or lends from.
inline constexpr size_t kMaxQuotaTeams = 256;

/// Records of the platform that one VM hands on to others in a message; more
/// are read by each for itself.
inline constexpr size_t kMaxNewsBytes = 128 * 1024;

/// Topics of the platform that VMs tell each other of.
inline constexpr size_t kMaxTopics = 16;

/// A record that one VM writes for another: what a VM says of itself has a few
/// hundred octets.
inline constexpr size_t kMaxWriteBytes = 4 * 1024;

/// Body octets that one stream, and all streams of a link, have waiting to be
/// written. Each stream may hold kMaxInlineBodyBytes beyond the link's share.
inline constexpr size_t kStreamQueueBytes = 2 * kBodyChunkBytes;
inline constexpr size_t kLinkQueueBytes = 4 * 1024 * 1024;

/// Octets of messages that belong to no open stream and wait to be written. A
/// peer that makes more of them than it reads is cut off.
inline constexpr size_t kLinkControlBytes = 4 * 1024 * 1024;

// Requests that must not repeat.
inline constexpr size_t kMaxKeptAnswerBytes = 4 * 1024;
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
inline constexpr unsigned kMaxColdRate = 10'000;  // Requests a second.
inline constexpr double kDefaultRetryRatio = 0.1;
inline constexpr double kDefaultHedgeRatio = 0.02;
inline constexpr double kDefaultBulkSlotShare = 0.5;

/// Records after which a change that has not come up yet is void, and for
/// which decided change ids are remembered.
inline constexpr size_t kChangeWindow = 4096;

/// One record of the configuration stream. A change is smaller, so that its
/// resource fits into a part of a checkpoint.
inline constexpr size_t kMaxRecordBytes = 64 * 1024;
inline constexpr size_t kMaxChangeBytes = 60 * 1024;
inline constexpr size_t kMaxCheckpointParts = 1024;

/// Checkpoints that are put together at once; others' parts are dropped.
inline constexpr size_t kMaxOpenCheckpoints = 4;

/// Records after which a checkpoint is due, and how far back from the end of
/// the log one is looked for first.
inline constexpr size_t kCheckpointEvery = 1024;
inline constexpr size_t kCheckpointSearch = 4 * kCheckpointEvery;

/// A checkpoint is due at this age even if nothing changed: the log's
/// retention may be a time.
inline constexpr milliseconds kCheckpointMaxAge = std::chrono::hours(6);
inline constexpr milliseconds kCheckpointMinInterval = seconds(10);

/// VMs write a due checkpoint one after the other, this far apart, until one
/// is there.
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
/// Record bytes after which a platform ends an answer early.
inline constexpr size_t kMaxReadBytes = 1024 * 1024;
/// JSON writes a byte of a record as six at worst.
inline constexpr size_t kMaxPlatformAnswerBytes = 8 * 1024 * 1024;
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

#ifndef BASILSILL_DECISION_TEST_CLAIM_SIMULATION_H_
#define BASILSILL_DECISION_TEST_CLAIM_SIMULATION_H_

#include <cstdint>
#include <string>

/// Random histories of requests that must not repeat, in virtual time: some
/// VMs with a ClaimTable each, a log that misbehaves, upstreams, and callers
/// that send again. Everything follows from the seed.

namespace basilsill::test {

/// One guard taken away, to see whether the check of histories notices.
enum class Mutation : uint8_t {
  kNone,
  kDispatchOnAppend,      ///< On the answer to the append, not on read-back.
  kDispatchOnOwnRecord,   ///< When the own claim is read, first or not.
  kDispatchAfterRefusal,  ///< When the own claim lands after being given up.
  kStealClaims,           ///< Releases another's claim when it looks dead.
  kReleaseRunning,        ///< Calls a dispatched request not run when late.
  kReuseAttempts,         ///< Asks another VM for the same attempt.
  kIgnoreGaps,            ///< Grants in a stream with a gap.
  kIgnoreBodies,          ///< All bodies look alike.
  kNoTombstones,          ///< A release before its claim is forgotten.
  kKeepLateClaims,        ///< Claims that were given up are not released.
  kTrustLostAnswers,      ///< A lost answer counts as no effect.
  kCount
};

/// What one history, or many, came to.
struct HistoryResult {
  std::string violation;  ///< Empty if every invariant held.
  std::string trace;      ///< The history, if asked for.
  uint64_t runs = 0;
  uint64_t told_not_run = 0;
  uint64_t told_unknown = 0;
  uint64_t replayed = 0;
  uint64_t landed_late = 0;
  uint64_t broken_streams = 0;
};

/// Runs the history of `seed`.
HistoryResult RunClaimHistory(uint64_t seed, Mutation mutation, bool trace);

}  // namespace basilsill::test

#endif  // BASILSILL_DECISION_TEST_CLAIM_SIMULATION_H_

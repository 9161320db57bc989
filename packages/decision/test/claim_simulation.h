#ifndef BASILSILL_DECISION_TEST_CLAIM_SIMULATION_H_
#define BASILSILL_DECISION_TEST_CLAIM_SIMULATION_H_

#include <cstdint>
#include <string>

/// Simulation of requests that must run at most once, in virtual time: VMs with
/// a ClaimTable each, a faulty log, upstreams, and callers that retry. A
/// history is determined by its seed.

namespace basilsill::test {

/// A safety rule to violate, to test that the check of histories detects it.
enum class Mutation : uint8_t {
  kNone,
  kDispatchOnAppend,      ///< Dispatches when the append is confirmed.
  kDispatchOnOwnRecord,   ///< Dispatches on its own claim, first or not.
  kDispatchAfterRefusal,  ///< Dispatches when an abandoned claim is read.
  kStealClaims,           ///< Releases a claim whose holder seems dead.
  kReleaseRunning,        ///< Releases a dispatched request at its deadline.
  kReuseAttempts,         ///< Sends the same attempt to another VM.
  kIgnoreGaps,            ///< Grants in a stream whose history has a gap.
  kIgnoreBodies,          ///< Does not compare the bodies of retries.
  kNoTombstones,          ///< Ignores a release that precedes its claim.
  kKeepLateClaims,        ///< Does not release abandoned claims.
  kRejectLostAnswers,     ///< Treats an unanswered append as rejected.
  kCount
};

/// Results of one history, or the sums over many.
struct HistoryResult {
  std::string violation;  ///< Empty if every invariant held.
  std::string trace;      ///< Log of all events, if requested.
  uint64_t runs = 0;
  uint64_t reported_not_run = 0;
  uint64_t reported_unknown = 0;
  uint64_t replayed = 0;
  uint64_t read_after_abandonment = 0;
  uint64_t broken_streams = 0;
};

/// Runs the history of `seed` with one rule violated as `mutation` says.
/// @param trace Whether to record `HistoryResult::trace`.
HistoryResult RunClaimHistory(uint64_t seed, Mutation mutation, bool trace);

}  // namespace basilsill::test

#endif  // BASILSILL_DECISION_TEST_CLAIM_SIMULATION_H_

#ifndef BASILSILL_DECISION_QUARANTINE_H_
#define BASILSILL_DECISION_QUARANTINE_H_

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "basilsill/base/time.h"

/// Quarantine of requests that crash the upstreams which run them. VMs exchange
/// crash reports with the requests that were in flight when an upstream
/// crashed; each VM applies the same rule to decide which requests to refuse.
///
/// The rule: a request is refused for a while if at least two distinct
/// upstreams crashed while they ran it and, in addition, it was the only
/// suspect of one of these crashes or no other request is a suspect of all of
/// them. A request that has been answered since a crash is no longer a suspect
/// of that crash.

namespace basilsill {

/// Identifies a request by rule, method, target and body; 0 is none.
using Fingerprint = uint64_t;

/// Identifies an upstream by a hash of its endpoint; the same on every VM.
using UpstreamKey = uint64_t;

/// One crash of an upstream, as exchanged between peers.
struct CrashReport {
  static constexpr size_t kMaxSuspects = 8;

  uint64_t id = 0;  ///< Unique; the same on every VM.
  UpstreamKey upstream = 0;
  Duration age{0};  ///< Time since the crash when the report was sent.
  uint32_t suspect_count = 0;
  /// Requests in flight at the crash, newest first. Cleared requests are
  /// removed, so a later report of the same crash may have fewer suspects.
  std::array<Fingerprint, kMaxSuspects> suspects{};
};

struct QuarantineOptions {
  size_t max_crashes = 256;  ///< Beyond it the oldest crash is dropped.
  uint64_t seed = 1;         ///< Makes crash ids unique to this worker.
  /// How long a crash counts against the requests that were in flight.
  Duration suspicion = std::chrono::minutes(10);
  Duration quarantine = std::chrono::minutes(1);  ///< Doubles if repeated.
};

/// Not thread-safe: belongs to one thread, like the dispatcher and the entry
/// router that use it.
class Quarantine {
 public:
  static std::unique_ptr<Quarantine> Create(const QuarantineOptions& options);
  virtual ~Quarantine() = default;

  /// Records that an upstream crashed while it ran `in_flight`.
  /// @returns a fingerprint of `in_flight` that is now refused, or 0.
  virtual Fingerprint OnCrash(TimePoint now,
                              UpstreamKey upstream,
                              std::span<const Fingerprint> in_flight) = 0;

  /// Records a complete response, which clears the request of suspicion.
  virtual void OnAnswered(TimePoint now, Fingerprint fingerprint) = 0;

  /// @returns how much longer requests with this fingerprint are refused; zero
  /// if they are not refused.
  virtual Duration RefusedFor(TimePoint now, Fingerprint fingerprint) const = 0;

  /// @returns true if the request was in flight at a recent crash, has not been
  /// answered since and is not refused at present.
  virtual bool IsSuspect(TimePoint now, Fingerprint fingerprint) const = 0;

  /// @returns reports, to be sent to peers, of the crashes that are new or lost
  /// suspects since the last call.
  virtual std::vector<CrashReport> TakeNewReports(TimePoint now) = 0;

  /// @returns reports of all known crashes, for a peer that has just connected.
  virtual std::vector<CrashReport> AllReports(TimePoint now) const = 0;

  /// Applies a peer's report. If the crash is already known, only the suspects
  /// that both reports contain remain, so the order in which reports arrive
  /// does not matter.
  virtual void Import(TimePoint now, const CrashReport& report) = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_QUARANTINE_H_

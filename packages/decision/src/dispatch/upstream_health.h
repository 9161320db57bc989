#ifndef BASILSILL_DECISION_UPSTREAM_HEALTH_H_
#define BASILSILL_DECISION_UPSTREAM_HEALTH_H_

#include <cstdint>

#include "basilsill/base/time.h"

/// Detects whether an upstream is slow or failing compared to its siblings.
/// Both are sequential likelihood ratio tests (CUSUM) of "like its siblings"
/// against "several times slower" and against "fails half of the time". A
/// running request is a censored observation: it takes at least as long as its
/// age.

namespace basilsill {

/// Grade of an upstream, which determines how much work it gets.
enum class UpstreamGrade : uint8_t {
  kFull,     ///< As good as its siblings.
  kSlow,     ///< Last choice; one request at a time unless many wait.
  kFailing,  ///< Gets few requests, so that its recovery is detected.
  kCount
};

class UpstreamHealth {
 public:
  /// Counts an answer that is no error.
  /// @param log_ratio Logarithm of its duration divided by the median of the
  /// shard.
  /// @param spread Standard deviation of that logarithm in the shard.
  /// @param error_rate Share of errors among siblings.
  void OnAnswer(double log_ratio, double spread, double error_rate);

  /// Counts a cancelled request.
  /// @param evidence Evidence in its age, from `EvidenceOfAge`.
  void OnCancelled(double evidence);

  /// Counts an error, whatever its duration, or an attempt without an answer.
  /// @param error_rate Share of errors among siblings.
  void OnError(double error_rate);

  /// @param running Sum of the evidence of running requests, from
  /// `EvidenceOfAge`.
  /// @returns the grade that follows from the evidence. `Set` applies it.
  UpstreamGrade Evaluate(double running);
  void Set(UpstreamGrade grade) { this->current = grade; }

  /// Lets old evidence decay.
  /// @param decay_factor Share that remains, from `EvidenceDecayFactor`.
  void Decay(double decay_factor) {
    this->slow *= decay_factor;
    this->failing *= decay_factor;
  }
  void Reset() { *this = UpstreamHealth(); }

  UpstreamGrade grade() const { return this->current; }
  /// @returns true if there is some evidence of slowness, though perhaps not
  /// enough to mark the upstream.
  bool doubtful() const {
    return this->slow + this->running_slow > kDoubtThreshold;
  }

 private:
  static constexpr double kDoubtThreshold = 3;

  double slow = 0;
  double running_slow = 0;
  double failing = 0;
  UpstreamGrade current = UpstreamGrade::kFull;
};

/// @returns the evidence for a slow upstream in the age of a running request.
/// @param share_longer Share of the shard's requests that take longer than that
/// age.
/// @param share_longer_if_slow Share that takes longer than the age divided by
/// `SlowFactor()`.
double EvidenceOfAge(double share_longer, double share_longer_if_slow);

/// @returns the share of the evidence that remains after `elapsed`.
double EvidenceDecayFactor(Duration elapsed);

/// @returns how many times slower than its siblings a straggler is assumed to
/// be.
double SlowFactor();

}  // namespace basilsill

#endif  // BASILSILL_DECISION_UPSTREAM_HEALTH_H_

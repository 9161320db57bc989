#ifndef BASILSILL_DECISION_UPSTREAM_HEALTH_H_
#define BASILSILL_DECISION_UPSTREAM_HEALTH_H_

#include <cstdint>

#include "basilsill/base/time.h"

/// Evidence about one upstream relative to its siblings: is it slow, and does
/// it fail? Both are sequential likelihood ratio tests (CUSUM) of "like its
/// siblings" against "several times slower" and "fails half of the time". A
/// request that still runs counts as a censored observation: it has taken at
/// least its age.

namespace basilsill {

/// What an upstream is thought to be, which says how much work it gets.
enum class UpstreamGrade : uint8_t {
  kFull,     ///< As good as its siblings.
  kSlow,     ///< Last of all, and one request at a time unless many wait.
  kFailing,  ///< A trickle, to notice that it recovered.
  kCount
};

class UpstreamHealth {
 public:
  /// An answer that is no error came.
  /// @param log_ratio Logarithm of its time over the siblings' median.
  /// @param spread Standard deviation of that among siblings.
  void OnAnswer(double log_ratio, double spread, double error_rate);

  /// A request was given up while it ran, with this evidence of its age.
  void OnCancelled(double evidence);

  /// An error, however fast, or no answer at all.
  /// @param error_rate Share of errors among siblings.
  void OnError(double error_rate);

  /// @param running Evidence of what still runs, from `EvidenceOfAge`.
  /// @returns the grade that the evidence says; `Set` makes it so.
  UpstreamGrade Evaluate(double running);
  void Set(UpstreamGrade grade) { this->current = grade; }

  /// Old evidence fades, so that nobody is judged by it for ever.
  /// @param kept The part that remains, from `ShareKeptAfter`.
  void Fade(double kept) {
    this->slow *= kept;
    this->failing *= kept;
  }
  void Reset() { *this = UpstreamHealth(); }

  UpstreamGrade grade() const { return this->current; }
  /// @returns true if there is some evidence, not yet enough to mark it.
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

/// @returns the evidence for a slow upstream in a request that has run for so
/// long, given the share of siblings' requests that take longer than its age,
/// and longer than its age divided by `SlowFactor()`.
double EvidenceOfAge(double share_longer, double share_longer_if_slow);

/// @returns the part of the evidence that remains after `elapsed`.
double ShareKeptAfter(Duration elapsed);

/// How many times slower than its siblings a straggler is thought to be.
double SlowFactor();

}  // namespace basilsill

#endif  // BASILSILL_DECISION_UPSTREAM_HEALTH_H_

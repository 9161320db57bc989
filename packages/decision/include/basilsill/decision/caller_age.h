#ifndef BASILSILL_DECISION_CALLER_AGE_H_
#define BASILSILL_DECISION_CALLER_AGE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "basilsill/decision/quota.h"

/// Estimates how long ago a caller made its first attempt. A caller declares
/// the time that it will still wait: the full time in its first attempt, and
/// what is left of it in a later one. The full time is in no configuration; it
/// is among the values that the callers of a rule send often.

namespace basilsill {

/// Learned on one entry thread from the requests of teams with a quota.
class CallerAge {
 public:
  struct Estimate {
    /// Nothing if the declared time is longer than what callers usually send.
    std::optional<Duration> age;
    /// No value has been sent often yet.
    bool is_learning = false;
  };

  /// Counts the time that a request declares.
  void Learn(LeaseTime now,
             RuleHandle rule,
             std::chrono::milliseconds declared);

  /// @returns the smallest frequent value that is not below `declared`, minus
  /// `declared`.
  Estimate AgeOf(LeaseTime now,
                 RuleHandle rule,
                 std::chrono::milliseconds declared) const;

  /// A request of `rule` was answered `time` after it got its credit.
  void LearnWork(RuleHandle rule, Duration time);

  /// @returns the usual time from a credit to the answer; zero if not known.
  Duration WorkOf(RuleHandle rule) const;

  /// Number of values that are counted for a rule. Any value of which more than
  /// one in (kSlots + 1) requests has sent is among them.
  static constexpr size_t kSlots = 16;

 private:
  struct Slot {
    std::chrono::milliseconds value{0};
    double count = 0;
  };
  struct Rule {
    std::array<Slot, kSlots> slots{};
    double total = 0;
    LeaseTime counted_at{};
    Duration work{0};
  };

  static void Decay(LeaseTime now, Rule& rule);
  /// @returns true if the value is taken for a full time.
  static bool IsFullTime(const Rule& rule, const Slot& slot);

  std::map<uint64_t, Rule> rules;
};

/// What is known about a request that asks for a credit.
struct CreditClaim {
  TrafficClass traffic_class = TrafficClass::kOrdinary;
  std::chrono::milliseconds target{0};  ///< Of the rule; 0: it has none.
  /// Time left that the caller declares; nothing if it declares none.
  std::optional<std::chrono::milliseconds> declared;
  bool is_malformed = false;  ///< The declared time can't be read.
  Duration time_left{0};      ///< Until the deadline of the request.
};

/// @returns the need of a request.
/// @param estimate Of the age, for the declared time.
/// @param work Usual time from a credit to the answer.
CreditNeed MakeCreditNeed(const CreditClaim& claim,
                          const CallerAge::Estimate& estimate,
                          Duration work);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CALLER_AGE_H_

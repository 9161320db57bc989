#ifndef BASILSILL_DECISION_CONFIGURATION_FRESHNESS_H_
#define BASILSILL_DECISION_CONFIGURATION_FRESHNESS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"

/// How old a VM's configuration may be at most: the moment at which it
/// certainly was the newest one. What an operator takes away ends everywhere
/// within a bound because a VM that can't prove its configuration to be younger
/// than that bound does not go by it.
///
/// A read at the platform proves the moment at which the call began. Other VMs
/// are told with what was read, and clocks of two VMs can't be compared, so the
/// proof goes by stamps: a VM sends a stamp, another that knows the platform's
/// state to be `age` old sends it back after it `held` it, and the first knows
/// that its configuration was the newest `age` before the stamp was held so
/// long. A message that was on its way for long only proves less.

namespace basilsill {

/// What one VM says to another of how old what it tells is.
struct FreshnessVouch {
  uint64_t stamp = 0;  ///< Of the VM that is told.
  Duration held{0};    ///< Since the stamp came.
  Duration age{0};     ///< Of what the teller knows.

  friend bool operator==(const FreshnessVouch&,
                         const FreshnessVouch&) = default;
};

class ConfigurationFreshness {
 public:
  /// @param first_stamp Random, so that no stamp of an earlier process is taken
  /// for one of this.
  explicit ConfigurationFreshness(uint64_t first_stamp) : stamp(first_stamp) {}

  /// A read at the platform that began then brought all there was.
  void OnRead(LeaseTime begun);

  /// @returns a new stamp for another VM.
  uint64_t TakeStamp(LeaseTime now);

  /// Another VM told all that it knows, and how old that is.
  void OnVouch(LeaseTime now, const FreshnessVouch& vouch);

  /// @returns when the configuration certainly was the newest; LeaseTime::min()
  /// if that is not known.
  LeaseTime as_of() const { return this->newest_at; }

  /// `vm` wants to be told how old what it hears is.
  void OnStamp(LeaseTime now, VmHandle vm, uint64_t stamp);

  /// @returns what `vm` is told; nothing if it sent no stamp or this VM does
  /// not know it either.
  std::optional<FreshnessVouch> VouchFor(LeaseTime now, VmHandle vm) const;

 private:
  struct Stamp {
    uint64_t number = 0;
    LeaseTime at{};
  };
  /// Those that may still come back: some VMs are asked in turn.
  static constexpr size_t kStamps = 16;

  uint64_t stamp;
  LeaseTime newest_at = LeaseTime::min();
  std::array<Stamp, kStamps> sent{};
  size_t next_sent = 0;
  std::unordered_map<uint32_t, Stamp> received;  ///< By index of the VM.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CONFIGURATION_FRESHNESS_H_

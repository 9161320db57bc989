#ifndef BASILSILL_DECISION_CONFIGURATION_FRESHNESS_H_
#define BASILSILL_DECISION_CONFIGURATION_FRESHNESS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"

/// Tracks an upper bound on the age of a VM's configuration, as the latest time
/// at which the configuration was certainly the newest one. A VM that can't
/// prove its configuration to be younger than a given bound stops using it, so
/// a revocation by an operator takes effect on all VMs within that bound.
///
/// A read from the platform proves that the configuration was the newest one
/// when the call began. Other VMs receive what was read. Since clocks of two
/// VMs can't be compared, the proof uses stamps: a VM sends a stamp to a peer,
/// and the peer returns it after having `held` it for some time, together with
/// the `age` of its own configuration. The first VM then knows that what it
/// received was the newest configuration at the time at which it had sent the
/// stamp, plus `held`, minus `age`. A delayed message only makes the proof
/// weaker, never wrong.

namespace basilsill {

/// What a VM sends along with its configuration to prove to the receiver how
/// old that is at most.
struct FreshnessVouch {
  uint64_t stamp = 0;  ///< Stamp that the receiver had sent.
  Duration held{0};    ///< Time since the sender got the stamp.
  Duration age{0};     ///< Age of the sender's configuration.

  friend bool operator==(const FreshnessVouch&,
                         const FreshnessVouch&) = default;
};

class ConfigurationFreshness {
 public:
  /// @param first_stamp Random, so that stamps of an earlier process are not
  /// taken for stamps of this one.
  explicit ConfigurationFreshness(uint64_t first_stamp) : stamp(first_stamp) {}

  /// A read from the platform that began at `begun` has returned the whole
  /// configuration.
  void OnRead(LeaseTime begun);

  /// @returns a new stamp to send to another VM.
  uint64_t TakeStamp(LeaseTime now);

  /// Another VM has sent its whole configuration, with `vouch` for its age. A
  /// stamp that this VM did not send, or that kMaxSentStamps newer ones have
  /// replaced, is ignored.
  void OnVouch(LeaseTime now, const FreshnessVouch& vouch);

  /// @returns the time at which the configuration was certainly the newest one;
  /// LeaseTime::min() if that is unknown.
  LeaseTime as_of() const { return this->newest_at; }

  /// `vm` has sent a stamp and wants proof of the age of the configuration that
  /// it receives.
  void OnStamp(LeaseTime now, VmHandle vm, uint64_t stamp);

  /// @returns the proof for `vm`; nullopt if it sent no stamp or if this VM
  /// does not know the age either.
  std::optional<FreshnessVouch> VouchFor(LeaseTime now, VmHandle vm) const;

 private:
  struct Stamp {
    uint64_t number = 0;
    LeaseTime at{};
  };
  /// Number of sent stamps that may still be returned, since several VMs are
  /// asked in turn.
  static constexpr size_t kMaxSentStamps = 16;

  uint64_t stamp;
  LeaseTime newest_at = LeaseTime::min();
  std::array<Stamp, kMaxSentStamps> sent{};
  size_t next_sent = 0;
  /// By index of the VM's handle.
  std::unordered_map<uint32_t, Stamp> received;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CONFIGURATION_FRESHNESS_H_

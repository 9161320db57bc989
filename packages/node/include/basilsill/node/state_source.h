#ifndef BASILSILL_NODE_STATE_SOURCE_H_
#define BASILSILL_NODE_STATE_SOURCE_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "basilsill/decision/configuration.h"
#include "basilsill/decision/membership.h"
#include "basilsill/node/quota_lease_store.h"
#include "basilsill/wire/message.h"

/// Source of a node's configuration, upstreams and list of VMs: the log of
/// basilsill's own platform protocol (log_source.h), or an adapter to another
/// platform. All methods and callbacks run on the control thread.

namespace basilsill {

/// Purpose of a call to the platform.
enum class PlatformCall : uint8_t {
  kList,      ///< Reads the newest records of a topic.
  kRead,      ///< Reads the records that came later.
  kAnnounce,  ///< Writes entries of the list of VMs.
  kRenew,     ///< Writes entries again that older versions have replaced.
  kRetry,     ///< Repeats any of these after a failure.
  kLease,     ///< Reads or writes the lease of a quota share.
  kCount
};

/// @returns the name of `purpose` in metrics.
std::string_view NameOf(PlatformCall purpose);

/// Interface of the control side for a source.
class StateSourceHost {
 public:
  virtual ~StateSourceHost() = default;

  /// The result of `StateSource::state` or `StateSource::ready` has changed.
  virtual void OnStateChanged() = 0;

  /// @param version Increases with each list in this process; a list with a
  /// lower version is ignored.
  virtual void OnVmList(uint64_t version, const std::vector<ListedVm>& vms) = 0;

  /// Sends `message` to `vm` if there is a link to it.
  /// @returns false if there is no link, or its send queue is full.
  virtual bool SendToPeer(VmHandle vm, const wire::PeerMessage& message) = 0;

  /// @returns the VMs to which there is a link.
  virtual std::vector<VmHandle> LinkedPeers() const = 0;

  virtual const Membership& membership() const = 0;

  /// A call to the platform starts.
  virtual void OnPlatformCall(PlatformCall purpose) = 0;

  /// The store is in `era`, which rises each time that it is restored from a
  /// copy; 0 if it has none.
  virtual void OnStoreEra(uint64_t era) = 0;

  /// A record of the platform was ignored because it can't be used.
  virtual void OnRecordIgnored(FailureKind reason) = 0;
};

class StateSource {
 public:
  virtual ~StateSource() = default;

  /// @param host Must stay valid until the source has stopped.
  virtual void Start(StateSourceHost& host) = 0;
  virtual void Stop() = 0;
  virtual void Tick(TimePoint now) = 0;

  /// @returns true once requests can be served with `state`.
  virtual bool ready() const = 0;
  virtual const ConfigurationState& state() = 0;

  /// @returns the latest time at which `state` is known to have been the
  /// newest; LeaseTime::max() if the source doesn't track it.
  virtual LeaseTime as_of() const { return LeaseTime::max(); }

  /// @returns the store of quota leases; null if the platform keeps none.
  virtual QuotaLeaseStore* quota_leases() { return nullptr; }

  /// A message that is neither a heartbeat nor a quota message was received.
  virtual void OnPeerMessage(VmHandle from, const wire::PeerMessage& message) {
    static_cast<void>(from);
    static_cast<void>(message);
  }

  /// A control link to `vm` is established.
  virtual void OnLinked(VmHandle vm) { static_cast<void>(vm); }

  /// A new view is about to be published; the VMs may have changed.
  virtual void OnFleetChanged() {}
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_STATE_SOURCE_H_

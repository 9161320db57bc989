#ifndef BASILSILL_NODE_STATE_SOURCE_H_
#define BASILSILL_NODE_STATE_SOURCE_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "basilsill/decision/configuration.h"
#include "basilsill/decision/membership.h"
#include "basilsill/node/quota_lease_store.h"
#include "basilsill/wire/message.h"

/// Where a node's configuration, upstreams and list of VMs come from. One
/// installation keeps them in the log of basilsill's own platform protocol
/// (log_source.h), another in a platform of its own, through an adapter.
/// Everything here runs on the control thread.

namespace basilsill {

/// What a call to the platform is for.
enum class PlatformCall : uint8_t {
  kList,      ///< The newest records of a topic.
  kRead,      ///< What came since.
  kAnnounce,  ///< To write entries of the list of VMs.
  kRenew,     ///< The same, where an older entry had taken its place.
  kRetry,     ///< Any of these, since the one before it failed.
  kLease,     ///< For the lease of a share of quotas.
  kCount
};

/// @returns the name of `purpose` as metrics carry it.
std::string_view NameOf(PlatformCall purpose);

/// What a source may ask of the control side.
class StateSourceHost {
 public:
  virtual ~StateSourceHost() = default;

  /// `StateSource::state` or `ready` gives something else than before.
  virtual void OnStateChanged() = 0;

  /// @param version Counts the lists of this process; a lower one is ignored.
  virtual void OnVmList(uint64_t version, const std::vector<ListedVm>& vms) = 0;

  /// Sends `message` to `vm` if there is a link to it.
  /// @returns false if there is none, or it is clogged.
  virtual bool SendToPeer(VmHandle vm, const wire::PeerMessage& message) = 0;

  /// @returns the VMs that a link stands with.
  virtual std::vector<VmHandle> LinkedPeers() const = 0;

  virtual const Membership& membership() const = 0;

  /// A call to the platform begins.
  virtual void OnPlatformCall(PlatformCall purpose) = 0;

  /// A record of the platform names nothing that could be used.
  virtual void OnRecordIgnored(FailureKind reason) = 0;
};

class StateSource {
 public:
  virtual ~StateSource() = default;

  /// @param host Outlives the source's work.
  virtual void Start(StateSourceHost& host) = 0;
  virtual void Stop() = 0;
  virtual void Tick(TimePoint now) = 0;

  /// @returns true once `state` can be served by.
  virtual bool ready() const = 0;
  virtual const ConfigurationState& state() = 0;

  /// @returns when `state` certainly was the newest; LeaseTime::max() where
  /// that is not followed.
  virtual LeaseTime as_of() const { return LeaseTime::max(); }

  /// @returns where leases of quotas are kept; null: the platform keeps none.
  virtual QuotaLeaseStore* quota_leases() { return nullptr; }

  /// A message that is neither a heartbeat nor part of a request came.
  virtual void OnPeerMessage(VmHandle from, const wire::PeerMessage& message) {
    static_cast<void>(from);
    static_cast<void>(message);
  }

  /// A control link with `vm` works.
  virtual void OnLinked(VmHandle vm) { static_cast<void>(vm); }

  /// A view with new VMs was published.
  virtual void OnFleetChanged() {}
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_STATE_SOURCE_H_

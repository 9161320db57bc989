#ifndef BASILSILL_DECISION_MEMBERSHIP_H_
#define BASILSILL_DECISION_MEMBERSHIP_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "basilsill/base/event.h"
#include "basilsill/base/limits.h"
#include "basilsill/base/time.h"
#include "basilsill/decision/path_report.h"
#include "basilsill/decision/view.h"

/// The VMs of the fleet and their states: the platform's VM list, which lags,
/// corrected by what this VM observes itself. A wrong state costs latency, but
/// never breaks a promise (see Promise). Pure; belongs to the control thread.

namespace basilsill {

/// @returns the incarnation number of a process that starts at `now`. Later
/// starts have higher numbers unless the clock runs backwards. `random` must
/// come from the system's random source: claims rely on no two processes of a
/// VM ever having the same incarnation, also if its clock repeats a
/// millisecond.
uint64_t MakeIncarnation(WallTime now, uint64_t random);

/// One entry of the platform's VM list.
struct ListedVm {
  std::string name;
  std::string data_centre;
  Endpoint control;
  bool leaving = false;
  uint32_t capacity = 0;  ///< As in VmRow.

  friend bool operator==(const ListedVm&, const ListedVm&) = default;
};

/// Sent by each side when a control link opens.
struct VmHello {
  std::string name;
  std::string data_centre;
  uint64_t incarnation = 0;  ///< Unique for each start of a process.
  Endpoint control;
  std::vector<Endpoint> workers;
  bool leaving = false;
  uint32_t capacity = 0;  ///< As in VmRow.
};

enum class HelloVerdict : uint8_t {
  kAccepted,
  kSuperseded,  ///< A newer incarnation of the VM is known.
  kOwnName,     ///< Another process runs under this VM's name.
  kTableFull,
  kCount
};

struct HelloResult {
  HelloVerdict verdict = HelloVerdict::kCount;
  VmHandle vm;
};

/// Purpose of a link to a peer, most important first.
enum class PeerUse : uint8_t {
  kPropagation,  ///< One relays to the other what it reads from the platform.
  kShard,        ///< One dispatches requests of the other's callers.
  kPartition,    ///< One handles claims of the other's callers.
  kDataCentre,   ///< Same data centre: snapshots, quarantine.
  kCount
};

struct PeerNeed {
  VmHandle vm;
  PeerUse use = PeerUse::kCount;
};

enum class MembershipActionKind : uint8_t {
  kOpenLink,   ///< Open a control link to `control` of `vm`.
  kDropLink,   ///< Close the link to `vm`, which is no longer needed.
  kHeartbeat,  ///< Send `vm` a heartbeat that it answers at once.
  kEvent,      ///< Log `event` about `vm`.
  kCount
};

struct MembershipAction {
  MembershipActionKind kind = MembershipActionKind::kCount;
  VmHandle vm;
  std::string name;
  uint64_t incarnation = 0;
  Endpoint control;
  Event event = Event::kVmJoined;  ///< For kEvent.
};

struct MembershipOptions {
  VmHello self;
  size_t max_vms = limits::kMaxVms;
  size_t max_peers = 48;  ///< Links kept for this VM's needs.
  Duration heartbeat_after = std::chrono::seconds(1);
  Duration suspect_after = std::chrono::seconds(3);
  Duration reconnect_min = std::chrono::milliseconds(200);
  Duration reconnect_max = std::chrono::seconds(10);
  /// How long an idle link is kept after it was last needed.
  Duration linger = std::chrono::seconds(30);
  /// A VM that the platform does not list is removed after this time without a
  /// message from it.
  Duration unlisted_after = std::chrono::seconds(60);
  Duration list_stale_after = std::chrono::seconds(60);
  /// Damping: each suspicion adds 1 to a penalty, which is halved after each
  /// half-life. Above the threshold, a VM must show signs of life without
  /// interruption for an increasing time before it is trusted again.
  double damping_threshold = 3;
  Duration damping_half_life = std::chrono::seconds(30);
  Duration damping_hold = std::chrono::seconds(2);
  Duration damping_hold_max = std::chrono::seconds(60);
};

/// What other VMs than this one report about a data centre.
struct DataCentreReach {
  bool lost = false;  ///< As in DataCentreRow.
  /// It is not known yet, or not any more, whether it is lost.
  bool undecided = false;
  uint32_t reports = 0;    ///< VMs that can't reach it.
  bool confirmed = false;  ///< A VM reaches it.
};

/// The table of VMs known to this VM.
class Membership {
 public:
  static std::unique_ptr<Membership> Create(TimePoint now,
                                            const MembershipOptions& options);
  virtual ~Membership() = default;

  /// The platform answered with its VM list. A version lower than the highest
  /// one seen is ignored.
  virtual void OnVmList(TimePoint now,
                        uint64_t version,
                        const std::vector<ListedVm>& vms) = 0;

  /// A hello arrived on a new link, whichever side opened it.
  virtual HelloResult OnHello(TimePoint now, const VmHello& hello) = 0;

  /// A message of `incarnation` of `vm` arrived, on any link.
  /// @returns false if `incarnation` is not the current one or `vm` is unknown;
  /// the message must be dropped.
  virtual bool OnMessageReceived(TimePoint now,
                                 VmHandle vm,
                                 uint64_t incarnation) = 0;

  /// The last control link to `incarnation` of `vm` was lost.
  virtual void OnLinkLost(TimePoint now, VmHandle vm, uint64_t incarnation) = 0;

  /// A link requested by kOpenLink could not be opened.
  virtual void OnOpenFailed(TimePoint now, VmHandle vm) = 0;

  /// `incarnation` of `vm` announced that it is leaving.
  virtual void OnLeaving(TimePoint now, VmHandle vm, uint64_t incarnation) = 0;

  /// `incarnation` of `vm`, which may be this VM, has sent a report. The caller
  /// has told OnMessageReceived of the message.
  /// @returns true if it differs from the last one.
  virtual bool OnReach(TimePoint now,
                       VmHandle vm,
                       uint64_t incarnation,
                       PathReport report) = 0;

  /// Judges the reports anew, as some count only after a time.
  virtual void UpdateReach(TimePoint now) = 0;

  /// Sets the data centres that have upstreams: a VM that reports all of them
  /// has lost its own paths. Without a call, all data centres have some.
  virtual void SetUpstreamDataCentres(
      std::vector<DataCentreHandle> data_centres) = 0;

  /// @returns true if a VM that can't reach `data_centres` reaches none that
  /// has upstreams.
  virtual bool IsCutOff(
      const std::vector<DataCentreHandle>& data_centres) const = 0;

  /// @returns what other VMs report about `data_centre`.
  virtual DataCentreReach ReachOf(DataCentreHandle data_centre) const = 0;

  /// Replaces the set of peers to which this VM needs links. If there are more
  /// than `max_peers`, the most important are kept.
  virtual void SetNeeds(TimePoint now, const std::vector<PeerNeed>& needs) = 0;

  /// This VM begins to leave.
  virtual void Leave(TimePoint now) = 0;

  /// Handles everything that depends on time: silent peers, reconnects,
  /// heartbeats, expiry of unlisted VMs and the age of the list.
  virtual void Tick(TimePoint now) = 0;

  virtual VmHandle self() const = 0;

  /// Rows for the routing view, indexed by handle.
  virtual const std::vector<VmRow>& rows() const = 0;

  /// Data centres for the routing view, indexed by handle.
  virtual const std::vector<DataCentreRow>& data_centres() const = 0;

  /// @returns the handle of data centre `name`, which is created if it is
  /// new; invalid if there are too many.
  virtual DataCentreHandle InternDataCentre(std::string_view name) = 0;

  /// Number of changes of `rows` and `data_centres`.
  virtual uint64_t version() const = 0;

  /// @returns the number of VMs whose row is live, this one included.
  virtual size_t LiveCount() const = 0;

  /// @returns true if the platform lists this VM as leaving.
  virtual bool SelfListedLeaving() const = 0;

  /// @returns true if the platform has not answered for `list_stale_after`.
  virtual bool IsListStale() const = 0;

  /// Actions since the last call of `ClearActions`, in order.
  virtual const std::vector<MembershipAction>& actions() const = 0;
  virtual void ClearActions() = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_MEMBERSHIP_H_

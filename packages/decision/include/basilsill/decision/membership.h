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
#include "basilsill/decision/view.h"

/// Which VMs there are and which can be used: the platform's VM list, which
/// lags, corrected by what this VM saw itself. Wrong beliefs cost latency,
/// never a promise. Pure; belongs to the control thread.

namespace basilsill {

/// @returns the incarnation of a process that starts at `now`. Later starts
/// have higher ones while the clock does not run backwards. `random` is from
/// the system's random source: claims rest on no two processes of a VM ever
/// having the same incarnation, also if its clock repeats a millisecond.
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

/// What a process says of itself when a control link opens.
struct VmHello {
  std::string name;
  std::string data_centre;
  uint64_t incarnation = 0;  ///< Differs for each start of a process.
  Endpoint control;
  std::vector<Endpoint> workers;
  bool leaving = false;
  uint32_t capacity = 0;  ///< As in VmRow.
};

enum class HelloVerdict : uint8_t {
  kAccepted,
  kSuperseded,  ///< A newer incarnation of that VM is known.
  kOwnName,     ///< Another process runs under this VM's name.
  kTableFull,
  kCount
};

struct HelloResult {
  HelloVerdict verdict = HelloVerdict::kCount;
  VmHandle vm;
};

/// Why a link to a peer is kept, most important first.
enum class PeerUse : uint8_t {
  kPropagation,  ///< One tells the other what it reads at the platform.
  kShard,        ///< One dispatches what the other's callers ask for.
  kPartition,    ///< One works for claims of the other's callers.
  kDataCentre,   ///< Same data centre: snapshots, quarantine.
  kCount
};

struct PeerNeed {
  VmHandle vm;
  PeerUse use = PeerUse::kCount;
};

enum class MembershipActionKind : uint8_t {
  kOpenLink,   ///< Open a control link to `control` of `vm`.
  kDropLink,   ///< Close the link to `vm`; it is of no use any more.
  kHeartbeat,  ///< Ask `vm` for a sign of life; it answers at once.
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
  size_t max_peers = 48;  ///< Links kept for own needs.
  Duration heartbeat_after = std::chrono::seconds(1);
  Duration suspect_after = std::chrono::seconds(3);
  Duration reconnect_min = std::chrono::milliseconds(200);
  Duration reconnect_max = std::chrono::seconds(10);
  /// A link that is not needed any more is kept this long.
  Duration linger = std::chrono::seconds(30);
  /// A VM that only own evidence speaks for is forgotten after this silence.
  Duration unlisted_after = std::chrono::seconds(60);
  Duration list_stale_after = std::chrono::seconds(60);
  /// Damping: each loss of trust adds 1, halved after each half-life. Above
  /// the threshold a VM must show signs of life without a break for longer
  /// and longer before it is trusted again.
  double damping_threshold = 3;
  Duration damping_half_life = std::chrono::seconds(30);
  Duration damping_hold = std::chrono::seconds(2);
  Duration damping_hold_max = std::chrono::seconds(60);
};

/// All that this VM knows of VMs.
class Membership {
 public:
  static std::unique_ptr<Membership> Create(TimePoint now,
                                            const MembershipOptions& options);
  virtual ~Membership() = default;

  /// The platform answered with its VM list. A version older than the newest
  /// seen is ignored.
  virtual void OnVmList(TimePoint now,
                        uint64_t version,
                        const std::vector<ListedVm>& vms) = 0;

  /// A process introduced itself on a new link, in either direction.
  virtual HelloResult OnHello(TimePoint now, const VmHello& hello) = 0;

  /// A message came from `vm`, on any link.
  /// @returns false if it is from another incarnation than the current one:
  /// the message must be dropped.
  virtual bool OnMessageReceived(TimePoint now,
                                 VmHandle vm,
                                 uint64_t incarnation) = 0;

  /// The last control link to `incarnation` of `vm` broke.
  virtual void OnLinkLost(TimePoint now, VmHandle vm, uint64_t incarnation) = 0;

  /// A link asked for by kOpenLink could not be opened.
  virtual void OnOpenFailed(TimePoint now, VmHandle vm) = 0;

  /// `incarnation` of `vm` announced that it leaves.
  virtual void OnLeaving(TimePoint now, VmHandle vm, uint64_t incarnation) = 0;

  /// Replaces the set of peers that this VM wants to talk to. The most
  /// important are kept if there are more than the bound.
  virtual void SetNeeds(TimePoint now, const std::vector<PeerNeed>& needs) = 0;

  /// This VM itself begins to leave.
  virtual void Leave(TimePoint now) = 0;

  /// Silence, reconnects, heartbeats, damping.
  virtual void Tick(TimePoint now) = 0;

  virtual VmHandle self() const = 0;

  /// Rows for the routing view, indexed by handle.
  virtual const std::vector<VmRow>& rows() const = 0;

  /// Data centres for the routing view, indexed by handle.
  virtual const std::vector<DataCentreRow>& data_centres() const = 0;

  /// @returns the handle of data centre `name`, which is created if it is
  /// new; invalid if there are too many.
  virtual DataCentreHandle InternDataCentre(std::string_view name) = 0;

  /// Counts changes of `rows` and `data_centres`.
  virtual uint64_t version() const = 0;

  /// @returns the live VMs by own belief, this one included.
  virtual size_t LiveCount() const = 0;

  /// @returns true if the platform lists this VM as leaving.
  virtual bool SelfListedLeaving() const = 0;

  /// @returns true if the platform did not answer for too long.
  virtual bool IsListStale() const = 0;

  /// Actions since the last call of `ClearActions`, in order.
  virtual const std::vector<MembershipAction>& actions() const = 0;
  virtual void ClearActions() = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_MEMBERSHIP_H_

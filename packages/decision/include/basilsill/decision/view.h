#ifndef BASILSILL_DECISION_VIEW_H_
#define BASILSILL_DECISION_VIEW_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilsill/base/endpoint.h"
#include "basilsill/base/handle.h"
#include "basilsill/base/limits.h"
#include "basilsill/base/time.h"

/// The routing view: what a node knows about configuration and membership at
/// one instant. The control thread builds a view and publishes it whole;
/// traffic threads only read it. The handle of an entity is the same in all
/// views for as long as the entity exists, and has no meaning on another VM:
/// messages between VMs identify entities by key (a hash of names) or by name.

namespace basilsill {

class ApiKeyTable;
struct VmTag;
struct DataCentreTag;
struct TeamTag;
struct ServiceTag;
struct RuleTag;
struct UpstreamTag;
using VmHandle = Handle<VmTag>;
using DataCentreHandle = Handle<DataCentreTag>;
using TeamHandle = Handle<TeamTag>;
using ServiceHandle = Handle<ServiceTag>;
using RuleHandle = Handle<RuleTag>;
using UpstreamHandle = Handle<UpstreamTag>;

/// Identifies a shard on every VM: hash of service, data centre and number.
using ShardKey = uint64_t;

/// Priority class of requests, as declared by a rule or team.
enum class TrafficClass : uint8_t {
  kUrgent,      ///< A user is waiting: readings, confirmations.
  kOrdinary,    ///< The default.
  kBulk,        ///< Long answers: downloads, exports.
  kBackground,  ///< Can wait until its deadline, must never be lost.
  kCount
};

/// @returns the name of `traffic_class` as configuration writes it.
std::string_view NameOf(TrafficClass traffic_class);

struct TeamLimits {
  uint32_t concurrency = 1024;     ///< Requests in the system, per VM.
  uint32_t queue = 512;            ///< Requests waiting, per shard.
  double requests_per_second = 0;  ///< Over all VMs; 0: no limit.
  uint32_t weight = 1;             ///< Share in fair queueing.
  double burst = 0;  ///< Requests allowed at once in excess of the rate.

  friend bool operator==(const TeamLimits&, const TeamLimits&) = default;
};

/// Size and time limits for the requests of callers.
struct CallerLimits {
  uint64_t header_bytes = limits::kMaxHeaderBytes;
  uint64_t body_bytes = limits::kMaxBodyBytes;
  /// From the first byte of a request's head to its last.
  std::chrono::milliseconds header_timeout = limits::kCallerIdleTimeout;
  std::chrono::milliseconds idle_timeout = limits::kCallerIdleTimeout;

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

struct TeamRow {
  TeamHandle handle;
  std::string name;
  TeamLimits limits;
  /// Takes precedence over the class of the rule; absent: the class of the rule
  /// applies.
  std::optional<TrafficClass> traffic_class{};
};

/// One start of an upstream that reports its identity. An upstream may restart
/// under the same id and has then lost all its state: nothing that was observed
/// of, sent to or kept open for the earlier incarnation applies to the new one.
struct UpstreamIncarnation {
  std::string id;  ///< Empty where upstreams have no ids.
  /// Start time by the upstream's own clock. It distinguishes one start from
  /// the next and is never compared with another clock. 0: not reported.
  std::chrono::milliseconds started{0};

  friend bool operator==(const UpstreamIncarnation&,
                         const UpstreamIncarnation&) = default;
};

/// Limits the load on upstreams of a service while they are cold: just started,
/// or back after a time without work.
struct ColdStartLimits {
  /// Time for which an upstream that does not report its own state counts as
  /// cold; 0: never.
  std::chrono::milliseconds time{0};
  /// Requests that one upstream may get in any second while it is cold, from
  /// all VMs together; 0: no limit.
  uint32_t requests_per_second = 0;

  friend bool operator==(const ColdStartLimits&,
                         const ColdStartLimits&) = default;
};

struct UpstreamRow {
  UpstreamHandle handle;
  Endpoint endpoint;
  DataCentreHandle data_centre;
  uint16_t slots = limits::kDefaultSlotsPerUpstream;
  bool leaving = false;  ///< Gets no new work.
  bool cold = false;     ///< Slow because it started recently.
  bool drained = false;  ///< Its data centre is drained: gets no new work.
};

/// Subset of a service's upstreams in one data centre, dispatched by one VM.
struct ShardRow {
  /// Number of owners kept in a view: the dispatcher and its successors.
  static constexpr size_t kOwners = 3;

  ShardKey key = 0;
  DataCentreHandle data_centre;
  uint16_t number = 0;
  bool drained = false;  ///< Its data centre is drained.
  /// True if a suspected VM would be the first owner if it were live: it may be
  /// partitioned from this VM and still dispatch for the shard.
  bool contested = false;
  std::vector<uint32_t> upstreams;  ///< Indices in ServiceRow::upstreams.
  std::vector<VmHandle> owners;     ///< In rank order, best first.
};

struct ServiceRow {
  ServiceHandle handle;
  std::string name;
  TeamHandle team;
  std::string health_path;  ///< Empty: upstreams are not checked.
  ColdStartLimits cold;
  std::vector<UpstreamRow> upstreams;
  /// Incarnations of `upstreams`, in the same order; empty if the upstreams
  /// have no ids.
  std::vector<UpstreamIncarnation> incarnations;
  std::vector<ShardRow> shards;
};

struct HeaderMatch {
  std::string name;  ///< Lower case.
  std::string value;
};

/// Conditions that a request must meet for a rule to apply; an empty member
/// matches every request.
struct RuleMatch {
  std::string host;  ///< Lower case, without port.
  std::string path_prefix = "/";
  std::vector<std::string> methods;
  std::vector<HeaderMatch> headers;
};

/// A service and its weight in the traffic split of a rule.
struct WeightedService {
  ServiceHandle service;
  uint32_t weight = 1;
};

struct RuleRow {
  RuleHandle handle;
  std::string name;
  ServiceHandle service;
  std::vector<WeightedService> split;  ///< Empty: `service` gets all.
  RuleMatch match;
  TrafficClass traffic_class = TrafficClass::kOrdinary;
  bool once = false;  ///< Must not run twice: needs a claim to run.
  /// As declared; safe methods are always idempotent.
  bool idempotent = false;
  bool hedge = false;  ///< A slow attempt may be duplicated.
  /// Rejects callers without an API key of a team.
  bool requires_api_key = false;
  std::chrono::milliseconds deadline = limits::kDefaultDeadline;
  std::chrono::milliseconds timeout{0};  ///< 0: only the deadline applies.
  std::chrono::milliseconds target_latency{0};  ///< 0: not known.
  uint8_t max_attempts = 0;                     ///< 0: as set by the policy.
};

enum class VmState : uint8_t {
  kLive,
  kSuspected,  ///< Gets no new work until it is trusted again.
  kLeaving,    ///< Finishes work in flight, takes no new work.
  kCount
};

struct VmRow {
  VmHandle handle;
  std::string name;
  uint64_t incarnation = 0;  ///< 0 until the VM has reported it.
  DataCentreHandle data_centre;
  Endpoint control;               ///< Link of the control thread.
  std::vector<Endpoint> workers;  ///< Links of its traffic threads.
  VmState state = VmState::kLive;
  /// Processor time available to it, in thousandths of a core; 0: not reported.
  uint32_t capacity = 0;
  /// Data centres whose upstreams it can't connect to, as it reports itself,
  /// without those that are lost for all VMs.
  std::vector<DataCentreHandle> unreachable;
};

/// @returns false if `vm` has reported that it can't connect to the upstreams
/// of `data_centre`.
bool Reaches(const VmRow& vm, DataCentreHandle data_centre);

/// @returns true if `a` ranks before `b` as a VM that does work for others:
/// larger VMs first and, among VMs of about the same size, the one with the
/// higher `score`, a hash. Every VM computes the same order.
bool RanksBefore(const VmRow& a,
                 uint64_t score_a,
                 const VmRow& b,
                 uint64_t score_b);

struct DataCentreRow {
  DataCentreHandle handle;
  std::string name;
  bool drained = false;  ///< An operator keeps new work away from it.
  bool lost = false;     ///< No VM reaches its upstreams.
};

/// Immutable once published. Tables are indexed by `handle.index`; a row
/// whose handle is invalid is empty.
struct RoutingView {
  uint64_t version = 0;  ///< Sequence number of the view in this process.
  uint64_t applied_offset = 0;  ///< Offset of the next configuration record.
  VmHandle self;
  DataCentreHandle own_data_centre;
  std::vector<TeamRow> teams;
  /// Keys of all teams; never null.
  std::shared_ptr<const ApiKeyTable> api_keys;
  std::vector<std::shared_ptr<const ServiceRow>> services;
  std::vector<RuleRow> rules;          ///< Indexed by handle.
  std::vector<RuleHandle> rule_order;  ///< Most specific first.
  std::vector<VmRow> vms;
  std::vector<DataCentreRow> data_centres;
  /// Absent: the node's settings apply.
  std::optional<CallerLimits> caller_limits;
};
using RoutingViewPtr = std::shared_ptr<const RoutingView>;

/// @returns true if `after` has applied another configuration offset than
/// `before`, so that peers must be notified.
/// @param before The view that `after` replaces; may be null.
/// @remarks Failure: each VM notifies all its peers whenever an upstream
/// changes, although its offset is the same as before. In a large fleet
/// something changes all the time, and these messages are most of its traffic.
bool AppliedOffsetChanged(const RoutingView* before, const RoutingView& after);

/// Parts of a request's head that rules match.
struct RequestHead {
  std::string_view method;
  std::string_view host;
  std::string_view path;
  /// `find_header` returns the value of header `name` (lower case), or an empty
  /// text if the header is absent. Its first argument is `headers`.
  const void* headers = nullptr;
  std::string_view (*find_header)(const void* headers,
                                  std::string_view name) = nullptr;
};

/// @returns the first rule of `view` that matches, or nullptr.
const RuleRow* MatchRule(const RoutingView& view, const RequestHead& head);

/// @returns true for methods that HTTP defines as safe or idempotent.
bool IsIdempotentMethod(std::string_view method);

/// @returns the row of `handle`, or nullptr if it is stale in this view.
const TeamRow* FindTeam(const RoutingView& view, TeamHandle handle);
const ServiceRow* FindService(const RoutingView& view, ServiceHandle handle);
const RuleRow* FindRule(const RoutingView& view, RuleHandle handle);
const VmRow* FindVm(const RoutingView& view, VmHandle handle);

/// @returns the number of VMs in `view`, live or not; at least one.
uint32_t CountVms(const RoutingView& view);

/// @returns the upstream of `service` with this handle, or nullptr.
const UpstreamRow* FindUpstream(const ServiceRow& service,
                                UpstreamHandle handle);

/// @returns the incarnation of `upstream`, which must be a row of `service`.
UpstreamIncarnation IncarnationOf(const ServiceRow& service,
                                  const UpstreamRow& upstream);

/// @returns the shard of `service` with this key, or nullptr.
const ShardRow* FindShard(const ServiceRow& service, ShardKey key);

/// @param upstream A row of `service`.
/// @returns the shard of `service` to which `upstream` belongs, or nullptr.
const ShardRow* FindShardOf(const ServiceRow& service,
                            const UpstreamRow& upstream);

/// @returns the live VMs in the order in which they are chosen for work that
/// one VM does for all others.
std::vector<VmHandle> RankLiveVms(const std::vector<VmRow>& vms);

/// @returns the VMs, at most two, that `self` asks for state while it starts. A
/// small VM chooses by hash among the largest VMs, those in its own data centre
/// first, so that starting VMs spread over them. A larger VM asks the two that
/// rank first. If all VMs have about the same size, each chooses among those
/// that rank before it. So no two VMs wait for each other, and the state of the
/// first VMs reaches all others in a few steps.
/// @remarks The list of VMs may be incomplete while a whole fleet starts. A
/// small VM that ranks first only because larger ones are not listed yet is no
/// longer asked once two larger ones are listed.
std::vector<VmHandle> StartupPeers(const std::vector<VmRow>& vms,
                                   VmHandle self);

/// @returns the live VM after `self` in a ring of all VMs ordered by name, the
/// same on every VM; invalid if there is no other. So each VM is monitored by
/// one other VM, however few VMs know of it otherwise.
VmHandle NextInRing(const std::vector<VmRow>& vms, VmHandle self);

/// @returns the key that identifies a shard on every VM.
ShardKey MakeShardKey(std::string_view service,
                      std::string_view data_centre,
                      uint16_t number);

/// Splits a service's upstreams into shards by data centre, of at most
/// `max_upstreams` each, and ranks the VMs of each shard: live VMs of the
/// shard's data centre first, then other live VMs, then live VMs that have lost
/// their paths to upstreams, then those that are not live; within each group by
/// RanksBefore with a rendezvous hash. Fills
/// `service.shards`.
void AssignShards(const RoutingView& view,
                  ServiceRow& service,
                  size_t max_upstreams = limits::kMaxUpstreamsPerShard);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_VIEW_H_

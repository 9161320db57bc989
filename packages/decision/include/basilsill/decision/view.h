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
/// one instant. The control thread builds it and publishes it whole; traffic
/// threads only read it. Handles are stable from one view to the next for as
/// long as the entity lives, and mean nothing on another VM: between VMs
/// entities go by key (a hash of names) or by name.

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

/// Names a shard on every VM alike: hash of service, data centre and number.
using ShardKey = uint64_t;

/// What a rule says of the urgency of its requests.
enum class TrafficClass : uint8_t {
  kUrgent,      ///< Somebody waits for it: readings, confirmations.
  kOrdinary,    ///< The default.
  kBulk,        ///< Long answers: downloads, exports.
  kBackground,  ///< Can wait until its deadline, must never vanish.
  kCount
};

/// @returns the name of `traffic_class` as configuration writes it.
std::string_view NameOf(TrafficClass traffic_class);

struct TeamLimits {
  uint32_t concurrency = 1024;     ///< Requests in the system, per VM.
  uint32_t queue = 512;            ///< Requests waiting, per shard.
  double requests_per_second = 0;  ///< Of all VMs together; 0 is no limit.
  uint32_t weight = 1;             ///< Share in fair queueing.
  double burst = 0;  ///< Requests that may come at once beyond the rate.

  friend bool operator==(const TeamLimits&, const TeamLimits&) = default;
};

/// What callers may send and how long they may take.
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
  /// Goes before the class of the rule; absent: the rule's counts.
  std::optional<TrafficClass> traffic_class{};
};

/// One start of an upstream that says who it is. It may start again under the
/// same id: then it holds nothing of what it held, so that nothing that was
/// learnt of, sent to or kept open for the earlier start holds for it.
struct UpstreamIncarnation {
  std::string id;  ///< Empty where upstreams have no ids.
  /// When it started, by the upstream's own clock: tells one start from the
  /// next and is never compared with another clock. 0: not told.
  std::chrono::milliseconds started{0};

  friend bool operator==(const UpstreamIncarnation&,
                         const UpstreamIncarnation&) = default;
};

/// How a service's upstreams are spared while they are cold: just started, or
/// back after a time without work.
struct ColdStartLimits {
  /// How long one is taken for cold that says nothing of it; 0: not at all.
  std::chrono::milliseconds time{0};
  /// Requests that one may get in any second while it is cold, from all VMs
  /// together; 0: any number.
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
  bool cold = false;     ///< Slow, because it started a moment ago.
  bool drained = false;  ///< Gets no new work until its data centre does.
};

/// A part of a service's upstreams in one data centre, dispatched by one VM.
struct ShardRow {
  /// Owners kept in a view: the dispatcher and its successors.
  static constexpr size_t kOwners = 3;

  ShardKey key = 0;
  DataCentreHandle data_centre;
  uint16_t number = 0;
  bool drained = false;  ///< Its data centre is.
  /// A VM that does not answer would be its first owner if it did; it may be
  /// cut off and work on.
  bool contested = false;
  std::vector<uint32_t> upstreams;  ///< Positions in ServiceRow::upstreams.
  std::vector<VmHandle> owners;     ///< In rendezvous order, best first.
};

struct ServiceRow {
  ServiceHandle handle;
  std::string name;
  TeamHandle team;
  std::string health_path;  ///< Empty: upstreams are not asked.
  ColdStartLimits cold;
  std::vector<UpstreamRow> upstreams;
  /// Of `upstreams`, in their order; empty where they have no ids.
  std::vector<UpstreamIncarnation> incarnations;
  std::vector<ShardRow> shards;
};

struct HeaderMatch {
  std::string name;  ///< Lower case.
  std::string value;
};

/// What a request must look like for a rule; an empty member matches all.
struct RuleMatch {
  std::string host;  ///< Lower case, without port.
  std::string path_prefix = "/";
  std::vector<std::string> methods;
  std::vector<HeaderMatch> headers;
};

/// A service's part in the requests of one rule.
struct WeightedService {
  ServiceHandle service;
  uint32_t weight = 1;
};

struct RuleRow {
  RuleHandle handle;
  std::string name;
  ServiceHandle service;
  std::vector<WeightedService> split;  ///< Empty: `service` has all.
  RuleMatch match;
  TrafficClass traffic_class = TrafficClass::kOrdinary;
  bool once = false;        ///< Must not repeat: needs a claim to run.
  bool idempotent = false;  ///< As declared; safe methods always are.
  bool hedge = false;       ///< A slow attempt may be doubled.
  /// Only callers with a team's API key are let through.
  bool requires_api_key = false;
  std::chrono::milliseconds deadline = limits::kDefaultDeadline;
  std::chrono::milliseconds timeout{0};         ///< 0: none but the deadline.
  std::chrono::milliseconds target_latency{0};  ///< 0: not known.
  uint8_t max_attempts = 0;                     ///< 0: as the policy has it.
};

enum class VmState : uint8_t {
  kLive,
  kSuspected,  ///< Skipped for new work until there is evidence again.
  kLeaving,    ///< Ends what it has, takes nothing new.
  kCount
};

struct VmRow {
  VmHandle handle;
  std::string name;
  uint64_t incarnation = 0;  ///< 0 until the VM has said it itself.
  DataCentreHandle data_centre;
  Endpoint control;               ///< Link of the control thread.
  std::vector<Endpoint> workers;  ///< Links of its traffic threads.
  VmState state = VmState::kLive;
  /// Processor time that it may use, in thousandths of a core; 0: not told.
  uint32_t capacity = 0;
};

/// @returns true if `a` stands before `b` where a VM has to work for others: a
/// larger one first, and among VMs of about one size by `score`, a hash. Every
/// VM comes to the same order.
bool RanksBefore(const VmRow& a,
                 uint64_t score_a,
                 const VmRow& b,
                 uint64_t score_b);

struct DataCentreRow {
  DataCentreHandle handle;
  std::string name;
  bool drained = false;  ///< The operator keeps new work away from it.
};

/// Immutable once published. Tables are indexed by `handle.index`; a row
/// whose handle is invalid is empty.
struct RoutingView {
  uint64_t version = 0;         ///< Counts the views of this process.
  uint64_t applied_offset = 0;  ///< Next configuration record to be read.
  VmHandle self;
  DataCentreHandle own_data_centre;
  std::vector<TeamRow> teams;
  /// Of all teams; never null.
  std::shared_ptr<const ApiKeyTable> api_keys;
  std::vector<std::shared_ptr<const ServiceRow>> services;
  std::vector<RuleRow> rules;          ///< By handle.
  std::vector<RuleHandle> rule_order;  ///< Most specific first.
  std::vector<VmRow> vms;
  std::vector<DataCentreRow> data_centres;
  /// Absent: as the node's settings have it.
  std::optional<CallerLimits> caller_limits;
};
using RoutingViewPtr = std::shared_ptr<const RoutingView>;

/// @returns true if peers are to be told how far `after` has applied the
/// configuration.
/// @param before The view that it takes the place of; may be null.
/// @remarks Failure: each VM tells all its peers whenever an upstream has
/// changed, though what it tells is the same as before. In a large fleet
/// something changes all the time, and these messages are most of its traffic.
bool AppliedOffsetChanged(const RoutingView* before, const RoutingView& after);

/// The parts of a request's head that rules look at.
struct RequestHead {
  std::string_view method;
  std::string_view host;
  std::string_view path;
  /// @returns the value of header `name` (lower case), empty if absent.
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

/// @returns how many VMs `view` knows, live or not; at least one.
uint32_t CountVms(const RoutingView& view);

/// @returns the upstream of `service` with this handle, or nullptr.
const UpstreamRow* FindUpstream(const ServiceRow& service,
                                UpstreamHandle handle);

/// @returns which start of which upstream `upstream` is, a row of `service`.
UpstreamIncarnation IncarnationOf(const ServiceRow& service,
                                  const UpstreamRow& upstream);

/// @returns the shard `key` of any service, or nullptr.
const ShardRow* FindShard(const ServiceRow& service, ShardKey key);

/// @returns the VMs that are live, in the order in which they do work that
/// one VM does for all.
std::vector<VmHandle> RankLiveVms(const std::vector<VmRow>& vms);

/// @returns the VMs that `self` asks for help while it starts, two: a small VM
/// asks large ones, near ones before others, by hash, so that they share those
/// that start; a large one asks the very first; where all are of one size, each
/// asks some of those before it in the order of work. So no two wait for each
/// other, and what the first know reaches all in a few steps.
/// @remarks A list of VMs may be partial while a whole fleet starts. One that
/// is small, and first only since larger ones are not listed yet, is asked no
/// more once two larger ones are.
std::vector<VmHandle> StartupPeers(const std::vector<VmRow>& vms,
                                   VmHandle self);

/// @returns the live VM after `self` in a ring of all VMs by name, the same on
/// every VM; invalid if there is no other. So each VM has one that looks after
/// it, however few know of it otherwise.
VmHandle NextInRing(const std::vector<VmRow>& vms, VmHandle self);

/// @returns the key that names a shard on every VM.
ShardKey MakeShardKey(std::string_view service,
                      std::string_view data_centre,
                      uint16_t number);

/// Splits a service's upstreams into shards by data centre, of at most
/// `max_upstreams` each, and ranks the VMs of each shard by rendezvous hash:
/// VMs of the shard's data centre first, then the others. VMs that are not
/// live come last. Fills `service.shards`.
void AssignShards(const RoutingView& view,
                  ServiceRow& service,
                  size_t max_upstreams = limits::kMaxUpstreamsPerShard);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_VIEW_H_

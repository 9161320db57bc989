#ifndef BASILSILL_DECISION_UPSTREAM_REGISTRY_H_
#define BASILSILL_DECISION_UPSTREAM_REGISTRY_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "basilsill/base/endpoint.h"
#include "basilsill/base/log_position.h"
#include "basilsill/base/time.h"

/// The upstreams that list themselves in a registry which the platform keeps:
/// which exist, and which are leaving. The platform removes an entry that its
/// upstream does not renew.
///
/// An entry may expire because its upstream could not reach the platform; a
/// healthy upstream must not lose its work because of that. So a removal that
/// is seen while the platform is unreachable or has just come back takes effect
/// only after the upstream had time to list itself again.
///
/// An upstream may restart under the same id. The later start replaces the
/// earlier one, in whatever order their entries arrive: entries of an earlier
/// start may still be in flight after it has died. Starts of one id are ordered
/// by the upstream's own clock, which is compared with no other clock.
///
/// If the platform is restored from a copy, entries written since are missing
/// until their upstreams write them again, and entries of upstreams that have
/// left are back. What is known here holds until a record of the new era, or
/// until the platform has had time to receive and expire entries.

namespace basilsill {

/// One entry, as its upstream wrote it.
struct RegisteredUpstream {
  std::string id;
  /// Start time by the upstream's own clock, which identifies the start of
  /// `id`; 0 if unknown.
  std::chrono::milliseconds started{0};
  std::string service;
  std::string data_centre;
  Endpoint endpoint;
  uint16_t slots = 1;
  bool leaving = false;  ///< Finishes its requests and takes no new ones.
  /// How much longer the upstream is slower than usual because it started
  /// recently.
  std::chrono::milliseconds cold_for{0};

  friend bool operator==(const RegisteredUpstream&,
                         const RegisteredUpstream&) = default;
};

struct RegistryOptions {
  /// How long healthy upstreams may take to list themselves again once the
  /// platform is back: two seconds by the platform's contract, and half a
  /// second to read the entries.
  Duration restore_time = std::chrono::milliseconds(2500);
};

/// Changes of the state of an upstream, for the log.
enum class UpstreamTransitionKind : uint8_t {
  kListed,        ///< A new upstream.
  kStartedAgain,  ///< A later start of a known upstream.
  kLeaving,       ///< The upstream announced that it is leaving.
  /// Removed while the platform was unreachable or had just come back; the
  /// removal is deferred.
  kRemovalDeferred,
  kListedAgain,  ///< Listed again after kRemovalDeferred.
  kGone,
  kCount
};

/// Effect of an entry on the registry.
enum class EntryResult : uint8_t {
  kNew,       ///< The entry changed something.
  kRenewal,   ///< The entry repeats what was known.
  kOutdated,  ///< A newer entry or a later start of the id is known.
  kCount
};

struct UpstreamTransition {
  UpstreamTransitionKind transition_kind = UpstreamTransitionKind::kCount;
  std::string id;
  std::string service;
  Endpoint endpoint;
  LogPosition position;  ///< Of the record behind the change.
};

/// The upstreams of one service in one data centre.
struct UpstreamSetKey {
  std::string service;
  std::string data_centre;

  friend auto operator<=>(const UpstreamSetKey&,
                          const UpstreamSetKey&) = default;
};

class UpstreamRegistry {
 public:
  struct Row {
    RegisteredUpstream entry;
    LogPosition position;  ///< Of the latest record of the entry.
    bool cold = false;
    /// Another upstream with a newer entry has the same endpoint.
    bool shadowed = false;
    bool removal_pending = false;  ///< Removed, but the removal is deferred.
    TimePoint warm_at{};
  };

  using Rows = std::map<std::string, Row, std::less<>>;

  explicit UpstreamRegistry(const RegistryOptions& options = {});

  /// An entry was written at `position`. Entries older than the known one of
  /// the id, older than its removal, or of an earlier start, are ignored.
  EntryResult OnEntry(TimePoint now,
                      LogPosition position,
                      RegisteredUpstream entry);

  /// The entry under `id` can't be read or does not describe an upstream,
  /// because another writer put it there. The known upstream is kept until its
  /// entry is removed: if it is running, it renews its entry within a
  /// heartbeat.
  void OnUnreadable(std::string_view id);

  /// The entry of `id` was removed at `position`.
  void OnRemoved(TimePoint now, LogPosition position, std::string_view id);

  /// Mark the start and end of a complete listing. An upstream that is not
  /// listed between the two calls counts as removed: the store may no longer
  /// have the record of its removal.
  void BeginListing();
  void EndListing(TimePoint now);

  /// Ends a listing that is incomplete or of a copy; nothing is removed.
  void CancelListing() { this->listing = false; }

  /// The platform became unreachable, or reachable again.
  void OnPlatformLost();
  void OnPlatformBack(TimePoint now);

  /// The platform was restored from a copy.
  void OnPlatformRestored(TimePoint now);

  /// Applies deferred removals that are due, and ends cold periods.
  void Tick(TimePoint now);

  const Rows& rows() const { return this->entries; }

  /// @returns the transitions since the last call, for the log. Those of the
  /// first listing are left out, since all upstreams are new then.
  std::vector<UpstreamTransition> TakeTransitions();

  /// @returns the sets whose contents in a routing view changed since the last
  /// call.
  std::set<UpstreamSetKey> TakeChangedSets();

  /// Number of changes of `rows` that are visible in a routing view.
  uint64_t version() const { return this->changes; }

 private:
  bool DefersRemovals(TimePoint now) const;
  bool IsOlderStart(const RegisteredUpstream& entry) const;
  void RecordStart(const RegisteredUpstream& entry);
  bool IsOlderThanRemoval(LogPosition position, std::string_view id) const;
  void RecordRemoval(LogPosition position, std::string_view id);
  void Erase(std::string_view id);
  void AddToEndpoint(const std::string& id, const Endpoint& endpoint);
  void RemoveFromEndpoint(const std::string& id, const Endpoint& endpoint);
  void RemoveRow(Rows::iterator row);
  /// @param ids Ids of all entries at one endpoint.
  void MarkShadowed(const std::set<std::string>& ids);
  void MarkSetChanged(const Row& row);
  void AddTransition(UpstreamTransitionKind transition_kind, const Row& row);

  RegistryOptions options;
  Rows entries;
  /// Latest start of each id, including ids of removed upstreams.
  std::map<std::string, std::chrono::milliseconds> latest_starts;
  std::deque<std::string> starts_in_order;
  /// Positions of the latest removals.
  std::map<std::string, LogPosition, std::less<>> removals;
  std::deque<std::string> removals_in_order;
  /// Ids of the entries at each endpoint; two if an address is reused before
  /// the old entry is removed.
  std::map<std::string, std::set<std::string>> ids_by_endpoint;
  std::set<UpstreamSetKey> changed_sets;
  std::set<std::string, std::less<>> listed;
  bool listing = false;
  bool first_listing_done = false;
  std::vector<UpstreamTransition> transitions;
  bool platform_lost = false;
  TimePoint defer_removals_until{};
  uint64_t changes = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_UPSTREAM_REGISTRY_H_

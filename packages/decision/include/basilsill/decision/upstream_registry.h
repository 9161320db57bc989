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
#include "basilsill/base/time.h"

/// What upstreams say of themselves in a registry that the platform keeps:
/// which there are, and which are leaving. An entry that its upstream does not
/// renew lapses.
///
/// An entry that lapsed because its upstream could not reach the platform must
/// not end work for an upstream that is well. So a removal that is seen while
/// the platform is unreachable or has just come back is only believed once the
/// upstream had time to list itself again.
///
/// An upstream may start again under its id. The younger start displaces the
/// older one, whatever comes in which order: the words of an older start may
/// still be on their way when it has died. Starts of one id are told apart by
/// the upstream's own clock, which is compared with nothing else.

namespace basilsill {

/// One entry, as its upstream wrote it.
struct RegisteredUpstream {
  std::string id;
  /// Which start of `id` this is, by the upstream's own clock; 0: not told.
  std::chrono::milliseconds started{0};
  std::string service;
  std::string data_centre;
  Endpoint endpoint;
  uint16_t slots = 1;
  bool leaving = false;  ///< Ends what it has and takes nothing new.
  /// It runs slower than usual for so long, since it started a moment ago.
  std::chrono::milliseconds cold_for{0};

  friend bool operator==(const RegisteredUpstream&,
                         const RegisteredUpstream&) = default;
};

struct RegistryOptions {
  /// How long upstreams that are well may take to list themselves again, once
  /// the platform is back: two seconds by the platform's contract, and half a
  /// second to read it.
  Duration restore_time = std::chrono::milliseconds(2500);
};

/// How what is thought of an upstream changed.
enum class UpstreamTransitionKind : uint8_t {
  kListed,        ///< It is new.
  kStartedAgain,  ///< A younger start of an upstream that was known.
  kLeaving,       ///< It says so itself.
  kDoubted,  ///< Removed while the platform was in trouble: not believed yet.
  kBack,     ///< Doubted, and there after all.
  kGone,
  kCount
};

/// What an entry was worth to the registry.
enum class EntryResult : uint8_t {
  kNew,       ///< It says something that was not known.
  kRenewal,   ///< It says what was known.
  kOutdated,  ///< Newer words are known, or those of a younger start.
  kCount
};

struct UpstreamTransition {
  UpstreamTransitionKind transition_kind = UpstreamTransitionKind::kCount;
  std::string id;
  std::string service;
  Endpoint endpoint;
  uint64_t offset = 0;  ///< Of the record that says so.
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
    uint64_t offset = 0;  ///< Place of the entry in the platform's records.
    bool cold = false;
    /// Another incarnation with a newer entry has the endpoint.
    bool shadowed = false;
    bool lapsed = false;  ///< Removed, but not believed yet.
    TimePoint warm_at{};
  };

  using Rows = std::map<std::string, Row, std::less<>>;

  explicit UpstreamRegistry(const RegistryOptions& options = {});

  /// An entry was written at `offset`. One that is older than what is known
  /// of the id is ignored.
  EntryResult OnEntry(TimePoint now, uint64_t offset, RegisteredUpstream entry);

  /// What stands under `id` can't be read, or names no upstream: another
  /// writer put it there. It says nothing of the upstream that was known, which
  /// goes on until its entry is removed: it renews it within a heartbeat if it
  /// lives.
  void OnUnreadable(std::string_view id);

  /// The entry of `id` was removed at `offset`.
  void OnRemoved(TimePoint now, uint64_t offset, std::string_view id);

  /// All entries are being read anew. What is not listed between these two
  /// calls counts as removed: the record of its removal may be lost.
  void BeginListing();
  void EndListing(TimePoint now);

  /// The platform can't be reached, or can be again.
  void OnPlatformLost();
  void OnPlatformBack(TimePoint now);

  /// Believes removals that are due, and ends cold times.
  void Tick(TimePoint now);

  const Rows& rows() const { return this->entries; }

  /// @returns what changed since the last call, for the log. The first list is
  /// left out: all of it is new.
  std::vector<UpstreamTransition> TakeNews();

  /// @returns the sets of which a routing view shows something else since the
  /// last call.
  std::set<UpstreamSetKey> TakeTouched();

  /// Counts changes of what a routing view shows of `rows`.
  uint64_t version() const { return this->changes; }

 private:
  bool Doubts(TimePoint now) const;
  bool IsOlderStart(const RegisteredUpstream& entry) const;
  void NoteStart(const RegisteredUpstream& entry);
  void Erase(std::string_view id);
  void Place(const std::string& id, const Endpoint& endpoint);
  void LeaveEndpoint(const std::string& id, const Endpoint& endpoint);
  void TakeOut(Rows::iterator row);
  /// @param ids All entries at one endpoint.
  void MarkShadowed(const std::set<std::string>& ids);
  void Touch(const Row& row);
  void AddNews(UpstreamTransitionKind transition_kind, const Row& row);

  RegistryOptions options;
  Rows entries;
  /// Of each id, also of those that have gone, from the first one heard of on.
  std::map<std::string, std::chrono::milliseconds> youngest_starts;
  std::deque<std::string> starts_in_order;
  /// Ids of the entries at each endpoint: two while one follows the other.
  std::map<std::string, std::set<std::string>> at_endpoint;
  std::set<UpstreamSetKey> touched;
  std::set<std::string, std::less<>> listed;
  bool listing = false;
  bool was_listed = false;
  std::vector<UpstreamTransition> news;
  bool platform_lost = false;
  TimePoint doubt_until{};
  uint64_t changes = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_UPSTREAM_REGISTRY_H_

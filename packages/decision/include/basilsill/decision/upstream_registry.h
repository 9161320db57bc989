#ifndef BASILSILL_DECISION_UPSTREAM_REGISTRY_H_
#define BASILSILL_DECISION_UPSTREAM_REGISTRY_H_

#include <chrono>
#include <cstdint>
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

namespace basilsill {

/// One entry, as its upstream wrote it.
struct RegisteredUpstream {
  std::string id;  ///< Of this incarnation; never used again.
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
enum class UpstreamBelief : uint8_t {
  kListed,   ///< It is new.
  kLeaving,  ///< It says so itself.
  kDoubted,  ///< Removed while the platform was in trouble: not believed yet.
  kBack,     ///< Doubted, and there after all.
  kGone,
  kCount
};

struct UpstreamNews {
  UpstreamBelief belief = UpstreamBelief::kCount;
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

  explicit UpstreamRegistry(const RegistryOptions& options = {});

  /// An entry was written at `offset`. One that is older than what is known
  /// of the id is ignored.
  /// @returns false if it only renews what was known.
  bool OnEntry(TimePoint now, uint64_t offset, RegisteredUpstream entry);

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

  const std::map<std::string, Row, std::less<>>& rows() const {
    return this->entries;
  }

  /// @returns what changed since the last call, for the log. The first list is
  /// left out: all of it is new.
  std::vector<UpstreamNews> TakeNews();

  /// @returns the sets of which a routing view shows something else since the
  /// last call.
  std::set<UpstreamSetKey> TakeTouched();

  /// Counts changes of what a routing view shows of `rows`.
  uint64_t version() const { return this->changes; }

 private:
  bool Doubts(TimePoint now) const;
  void Erase(std::string_view id);
  void Place(const std::string& id, const Endpoint& endpoint);
  void Displace(const std::string& id, const Endpoint& endpoint);
  /// @param ids All entries at one endpoint.
  void MarkShadowed(const std::set<std::string>& ids);
  void Touch(const Row& row);
  void AddNews(UpstreamBelief belief, const Row& row);

  RegistryOptions options;
  std::map<std::string, Row, std::less<>> entries;
  /// Ids of the entries at each endpoint: two while one follows the other.
  std::map<std::string, std::set<std::string>> at_endpoint;
  std::set<UpstreamSetKey> touched;
  std::set<std::string, std::less<>> listed;
  bool listing = false;
  bool was_listed = false;
  std::vector<UpstreamNews> news;
  bool platform_lost = false;
  TimePoint doubt_until{};
  uint64_t changes = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_UPSTREAM_REGISTRY_H_

#include "basilsill/decision/view.h"

#include <algorithm>
#include <array>
#include <bit>
#include <map>
#include <string>

#include <xxhash.h>

namespace basilsill {
namespace {

constexpr std::array<std::string_view,
                     static_cast<size_t>(TrafficClass::kCount)>
    kClassNames = {"urgent", "ordinary", "bulk", "background"};

constexpr std::array<std::string_view, 6> kIdempotentMethods = {
    "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};

uint64_t HashText(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

bool MatchesMethod(const RuleMatch& match, std::string_view method) {
  return match.methods.empty() ||
         std::find(match.methods.begin(), match.methods.end(), method) !=
             match.methods.end();
}

// A prefix matches whole path segments: "/bank" matches "/bank/7" but not
// "/banks".
bool MatchesPath(const RuleMatch& match, std::string_view path) {
  const std::string& prefix = match.path_prefix;
  if (!path.starts_with(prefix)) {
    return false;
  }
  return path.size() == prefix.size() || prefix.ends_with('/') ||
         path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

bool MatchesHeaders(const RuleMatch& match, const RequestHead& head) {
  return std::all_of(match.headers.begin(), match.headers.end(),
                     [&head](const HeaderMatch& wanted) {
                       return head.find_header != nullptr &&
                              head.find_header(head.headers, wanted.name) ==
                                  wanted.value;
                     });
}

bool Matches(const RuleMatch& match, const RequestHead& head) {
  return (match.host.empty() || match.host == head.host) &&
         MatchesMethod(match, head.method) && MatchesPath(match, head.path) &&
         MatchesHeaders(match, head);
}

template <typename Row, typename HandleType>
const Row* FindRow(const std::vector<Row>& rows, HandleType handle) {
  if (handle.index >= rows.size() || rows[handle.index].handle != handle) {
    return nullptr;
  }
  return &rows[handle.index];
}

// Two, so that a starting VM does not depend on a single peer.
constexpr size_t kStartupPeers = 2;

struct RankedVm {
  int group = 0;  ///< Lower groups rank first.
  uint64_t score = 0;
  const VmRow* vm = nullptr;
};

// Removes the VMs smaller than the first one from a ranked list, unless fewer
// than kStartupPeers would remain.
void DropSmaller(const std::vector<VmRow>& vms, std::vector<VmHandle>& order) {
  const auto size_of = [&vms](VmHandle vm) {
    return std::bit_width(vms.at(vm.index).capacity);
  };
  const auto is_smaller = [&](VmHandle vm) {
    return size_of(vm) < size_of(order.front());
  };
  const auto smaller = std::find_if(order.begin(), order.end(), is_smaller);
  if (smaller - order.begin() >= static_cast<ptrdiff_t>(kStartupPeers)) {
    order.erase(smaller, order.end());
  }
}

// @returns the rank of a live VM among the owners of a shard in `data_centre`,
// best first: VMs in the data centre, other VMs, those that have lost paths to
// other upstreams and probably to these too, and those that can't reach these.
int GroupOf(const VmRow& vm, DataCentreHandle data_centre) {
  if (!Reaches(vm, data_centre)) {
    return 3;
  }
  if (vm.data_centre == data_centre) {
    return 0;
  }
  return vm.unreachable.empty() ? 1 : 2;
}

constexpr int kNotLiveGroup = 4;

// Fills `shard.owners` and `shard.contested`.
void RankOwners(const RoutingView& view, ShardRow& shard) {
  std::vector<RankedVm> ranked;
  for (const VmRow& vm : view.vms) {
    if (!IsValid(vm.handle)) {
      continue;
    }
    const int group = vm.state == VmState::kLive
                          ? GroupOf(vm, shard.data_centre)
                          : kNotLiveGroup;
    ranked.push_back({group, HashText(vm.name, shard.key), &vm});
  }
  const size_t kept = std::min(ShardRow::kOwners, ranked.size());
  const auto ranks_before = [](const RankedVm& a, const RankedVm& b) {
    return a.group != b.group ? a.group < b.group
                              : RanksBefore(*a.vm, a.score, *b.vm, b.score);
  };
  std::partial_sort(ranked.begin(), ranked.begin() + kept, ranked.end(),
                    ranks_before);
  for (size_t i = 0; i < kept; ++i) {
    shard.owners.push_back(ranked[i].vm->handle);
  }
  shard.contested =
      std::any_of(ranked.begin(), ranked.end(), [&](const RankedVm& vm) {
        RankedVm if_live = vm;
        if_live.group = GroupOf(*vm.vm, shard.data_centre);
        return vm.vm->state == VmState::kSuspected &&
               ranks_before(if_live, ranked.front());
      });
}

}  // namespace

bool Reaches(const VmRow& vm, DataCentreHandle data_centre) {
  return std::find(vm.unreachable.begin(), vm.unreachable.end(), data_centre) ==
         vm.unreachable.end();
}

// Capacities with the same highest bit, thus within a factor of two, count as
// equal, so that work is spread over all VMs of about one size.
bool RanksBefore(const VmRow& a,
                 uint64_t score_a,
                 const VmRow& b,
                 uint64_t score_b) {
  const int size_a = std::bit_width(a.capacity);
  const int size_b = std::bit_width(b.capacity);
  return size_a != size_b ? size_a > size_b : score_a > score_b;
}

std::vector<VmHandle> RankLiveVms(const std::vector<VmRow>& vms) {
  std::vector<RankedVm> ranked;
  ranked.reserve(vms.size());
  for (const VmRow& vm : vms) {
    if (IsValid(vm.handle) && vm.state == VmState::kLive) {
      ranked.push_back({0, HashText(vm.name, 0), &vm});
    }
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedVm& a, const RankedVm& b) {
              return RanksBefore(*a.vm, a.score, *b.vm, b.score);
            });
  std::vector<VmHandle> order;
  order.reserve(ranked.size());
  for (const RankedVm& vm : ranked) {
    order.push_back(vm.vm->handle);
  }
  return order;
}

std::vector<VmHandle> StartupPeers(const std::vector<VmRow>& vms,
                                   VmHandle self) {
  std::vector<VmHandle> order = RankLiveVms(vms);
  const auto own_position = std::find(order.begin(), order.end(), self);
  const auto before = static_cast<size_t>(own_position - order.begin());
  const VmRow& own = vms.at(self.index);
  const bool is_large =
      !order.empty() && std::bit_width(own.capacity) >
                            std::bit_width(vms.at(order.back().index).capacity);
  std::erase(order, self);
  const size_t candidate_count = is_large ? kStartupPeers : before;
  order.resize(
      std::min(order.size(), std::max(candidate_count, kStartupPeers)));
  DropSmaller(vms, order);
  std::vector<RankedVm> ranked;
  for (const VmHandle vm : order) {
    const VmRow& row = vms.at(vm.index);
    const bool near = row.data_centre == own.data_centre;
    ranked.push_back(
        {near ? 0 : 1, HashText(row.name, HashText(own.name, 0)), &row});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedVm& a, const RankedVm& b) {
              return a.group != b.group ? a.group < b.group : a.score > b.score;
            });
  ranked.resize(std::min(ranked.size(), kStartupPeers));
  std::vector<VmHandle> chosen;
  chosen.reserve(ranked.size());
  for (const RankedVm& vm : ranked) {
    chosen.push_back(vm.vm->handle);
  }
  return chosen;
}

VmHandle NextInRing(const std::vector<VmRow>& vms, VmHandle self) {
  const std::string& own = vms.at(self.index).name;
  const VmRow* first = nullptr;
  const VmRow* next = nullptr;
  for (const VmRow& vm : vms) {
    if (!IsValid(vm.handle) || vm.handle == self ||
        vm.state != VmState::kLive) {
      continue;
    }
    first = first == nullptr || vm.name < first->name ? &vm : first;
    const bool follows = own < vm.name;
    next = follows && (next == nullptr || vm.name < next->name) ? &vm : next;
  }
  const VmRow* found = next != nullptr ? next : first;
  return found != nullptr ? found->handle : VmHandle{};
}

std::string_view NameOf(TrafficClass traffic_class) {
  return kClassNames.at(static_cast<size_t>(traffic_class));
}

bool IsIdempotentMethod(std::string_view method) {
  return std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(),
                   method) != kIdempotentMethods.end();
}

const RuleRow* MatchRule(const RoutingView& view, const RequestHead& head) {
  for (const RuleHandle handle : view.rule_order) {
    const RuleRow* rule = FindRule(view, handle);
    if (rule != nullptr && Matches(rule->match, head)) {
      return rule;
    }
  }
  return nullptr;
}

bool AppliedOffsetChanged(const RoutingView* before, const RoutingView& after) {
  return before == nullptr || before->applied_offset != after.applied_offset;
}

const TeamRow* FindTeam(const RoutingView& view, TeamHandle handle) {
  return FindRow(view.teams, handle);
}

const ServiceRow* FindService(const RoutingView& view, ServiceHandle handle) {
  if (handle.index >= view.services.size()) {
    return nullptr;
  }
  const ServiceRow* service = view.services[handle.index].get();
  return service != nullptr && service->handle == handle ? service : nullptr;
}

const RuleRow* FindRule(const RoutingView& view, RuleHandle handle) {
  return FindRow(view.rules, handle);
}

uint32_t CountVms(const RoutingView& view) {
  const auto count =
      std::count_if(view.vms.begin(), view.vms.end(),
                    [](const VmRow& vm) { return IsValid(vm.handle); });
  return std::max<uint32_t>(1, static_cast<uint32_t>(count));
}

const VmRow* FindVm(const RoutingView& view, VmHandle handle) {
  return FindRow(view.vms, handle);
}

const UpstreamRow* FindUpstream(const ServiceRow& service,
                                UpstreamHandle handle) {
  const auto found =
      std::find_if(service.upstreams.begin(), service.upstreams.end(),
                   [handle](const UpstreamRow& upstream) {
                     return upstream.handle == handle;
                   });
  return found == service.upstreams.end() ? nullptr : &*found;
}

UpstreamIncarnation IncarnationOf(const ServiceRow& service,
                                  const UpstreamRow& upstream) {
  const auto position =
      static_cast<size_t>(&upstream - service.upstreams.data());
  return position < service.incarnations.size() ? service.incarnations[position]
                                                : UpstreamIncarnation();
}

const ShardRow* FindShard(const ServiceRow& service, ShardKey key) {
  const auto found =
      std::find_if(service.shards.begin(), service.shards.end(),
                   [key](const ShardRow& shard) { return shard.key == key; });
  return found == service.shards.end() ? nullptr : &*found;
}

const ShardRow* FindShardOf(const ServiceRow& service,
                            const UpstreamRow& upstream) {
  const auto position =
      static_cast<uint32_t>(&upstream - service.upstreams.data());
  const auto found = std::find_if(
      service.shards.begin(), service.shards.end(),
      [position](const ShardRow& shard) {
        return std::find(shard.upstreams.begin(), shard.upstreams.end(),
                         position) != shard.upstreams.end();
      });
  return found == service.shards.end() ? nullptr : &*found;
}

ShardKey MakeShardKey(std::string_view service,
                      std::string_view data_centre,
                      uint16_t number) {
  return HashText(service, HashText(data_centre, number));
}

void AssignShards(const RoutingView& view,
                  ServiceRow& service,
                  size_t max_upstreams) {
  std::map<uint32_t, std::vector<uint32_t>> by_data_centre;
  for (uint32_t i = 0; i < service.upstreams.size(); ++i) {
    by_data_centre[service.upstreams[i].data_centre.index].push_back(i);
  }
  service.shards.clear();
  for (const auto& [index, positions] : by_data_centre) {
    const DataCentreRow& data_centre = view.data_centres.at(index);
    const size_t count = (positions.size() + max_upstreams - 1) / max_upstreams;
    for (uint16_t number = 0; number < count; ++number) {
      ShardRow shard;
      shard.key = MakeShardKey(service.name, data_centre.name, number);
      shard.data_centre = data_centre.handle;
      shard.number = number;
      shard.drained = data_centre.drained;
      for (size_t i = number; i < positions.size(); i += count) {
        shard.upstreams.push_back(positions[i]);
      }
      RankOwners(view, shard);
      service.shards.push_back(std::move(shard));
    }
  }
}

}  // namespace basilsill

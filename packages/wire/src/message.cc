#include "basilsill/wire/message.h"

#include <algorithm>
#include <tuple>

namespace basilsill::wire {
namespace {

auto Fields(const ShardSummary& shard) {
  return std::tie(shard.shard, shard.slots, shard.busy, shard.queued,
                  shard.service_time, shard.wait);
}

auto Fields(const CrashReport& crash) {
  return std::tie(crash.id, crash.upstream, crash.age, crash.suspect_count,
                  crash.suspects);
}

auto Fields(const Heartbeat& heartbeat) {
  return std::tie(heartbeat.incarnation, heartbeat.applied_offset,
                  heartbeat.state, heartbeat.vm_list_version,
                  heartbeat.answer_wanted, heartbeat.rate_limits,
                  heartbeat.unreachable, heartbeat.reached);
}

bool AreEqual(const CrashReport& left, const CrashReport& right) {
  return Fields(left) == Fields(right);
}

}  // namespace

bool operator==(const Heartbeat& left, const Heartbeat& right) {
  return Fields(left) == Fields(right) &&
         std::equal(left.crashes.begin(), left.crashes.end(),
                    right.crashes.begin(), right.crashes.end(), AreEqual);
}

bool operator==(const Summary& left, const Summary& right) {
  return Fields(left.shard) == Fields(right.shard) &&
         left.notices == right.notices;
}

}  // namespace basilsill::wire

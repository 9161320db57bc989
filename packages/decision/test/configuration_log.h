#ifndef BASILSILL_DECISION_TEST_CONFIGURATION_LOG_H_
#define BASILSILL_DECISION_TEST_CONFIGURATION_LOG_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "basilsill/decision/follower.h"

/// In-memory substitute for the platform's log.

namespace basilsill::test {

struct ConfigurationLog {
  std::vector<std::string> records;
  uint64_t first = 0;

  uint64_t end() const { return this->records.size(); }

  uint64_t Append(const std::string& record) {
    this->records.push_back(record);
    return this->records.size() - 1;
  }
  void Append(const std::vector<std::string>& batch) {
    this->records.insert(this->records.end(), batch.begin(), batch.end());
  }
};

/// @returns the answer of `log` to a read from `from`.
inline ConfigurationRead ReadFrom(const ConfigurationLog& log,
                                  uint64_t from,
                                  size_t max) {
  ConfigurationRead answer{from, log.first, log.end(), {}};
  const uint64_t stop = std::min<uint64_t>(from + max, log.end());
  for (uint64_t i = std::max(from, log.first); i < stop; ++i) {
    answer.records.push_back({i, log.records[i]});
  }
  return answer;
}

/// Passes `answer` to the method of `follower` that handles it.
inline FollowResult Deliver(ConfigurationFollower& follower,
                            const ConfigurationRead& answer) {
  if (answer.from < answer.first) {
    follower.OnTrimmed(answer);
    return {};
  }
  if (answer.from > answer.end) {
    follower.OnBeyondEnd(answer);
    return {};
  }
  return follower.OnRead(answer);
}

/// Answers one read of `follower`, with at most `max` records.
inline FollowResult ReadOnce(ConfigurationFollower& follower,
                             const ConfigurationLog& log,
                             size_t max = 100) {
  return Deliver(follower, ReadFrom(log, follower.read_offset(), max));
}

/// Reads until there is no more progress, as a node's read loop does.
inline FollowResult Follow(ConfigurationFollower& follower,
                           const ConfigurationLog& log) {
  FollowResult all;
  bool is_done = false;
  while (!is_done) {
    const uint64_t from = follower.read_offset();
    FollowResult result = ReadOnce(follower, log);
    is_done = !result.state_replaced && from == follower.read_offset();
    all.state_replaced |= result.state_replaced;
    all.has_diverged |= result.has_diverged;
    all.outcomes.insert(all.outcomes.end(), result.outcomes.begin(),
                        result.outcomes.end());
  }
  return all;
}

}  // namespace basilsill::test

#endif  // BASILSILL_DECISION_TEST_CONFIGURATION_LOG_H_

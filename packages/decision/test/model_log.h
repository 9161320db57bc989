#ifndef BASILSILL_DECISION_TEST_MODEL_LOG_H_
#define BASILSILL_DECISION_TEST_MODEL_LOG_H_

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/claims.h"

/// Virtual time and a model of the platform's log, for simulations.

namespace basilsill::test {

/// Event queue, ordered by time and then by the order of scheduling.
class VirtualTime {
 public:
  static constexpr TimePoint kStart{std::chrono::hours(1)};

  TimePoint now() const { return this->current; }

  void At(TimePoint when, std::function<void()> run) {
    this->events.push(
        {std::max(when, this->current), ++this->count, std::move(run)});
  }
  void After(Duration delay, std::function<void()> run) {
    this->At(this->current + delay, std::move(run));
  }
  void RunUntil(TimePoint end) {
    while (!this->events.empty() && this->events.top().when <= end) {
      const Event event = this->events.top();
      this->events.pop();
      this->current = event.when;
      event.run();
    }
    this->current = end;
  }

 private:
  struct Event {
    TimePoint when;
    uint64_t number;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(this->when, this->number) >
             std::pair(other.when, other.number);
    }
  };
  std::priority_queue<Event> events;
  TimePoint current = kStart;
  uint64_t count = 0;
};

/// Log streams with retention and long polling.
class ModelLog {
 public:
  using Answer = std::function<void(const ClaimRead&)>;

  void Append(const std::string& name, const std::vector<std::string>& added) {
    Stream& stream = this->streams[name];
    stream.records.insert(stream.records.end(), added.begin(), added.end());
    auto polls = std::move(stream.polls);
    stream.polls.clear();
    for (const Poll& poll : polls) {
      poll.answer(this->Read(name, poll.from, poll.max));
    }
  }

  ClaimRead Read(const std::string& name, uint64_t from, size_t max) {
    Stream& stream = this->streams[name];
    ClaimRead read{
        ReadOutcome::kRecords, stream.first, from, stream.records.size(), {}};
    if (from < stream.first || from > read.end) {
      read.outcome =
          from < stream.first ? ReadOutcome::kTrimmed : ReadOutcome::kBeyondEnd;
      return read;
    }
    for (; read.next < read.end && read.records.size() < max; ++read.next) {
      read.records.push_back({read.next, stream.records[read.next]});
    }
    return read;
  }

  /// Calls `answer` once there is a record at `from`.
  void Await(const std::string& name,
             uint64_t from,
             size_t max,
             Answer answer) {
    this->streams[name].polls.push_back({from, max, std::move(answer)});
  }

  /// Drops all but the last `kept` records of each stream.
  void Trim(size_t kept) {
    for (auto& [name, stream] : this->streams) {
      const size_t end = stream.records.size();
      stream.first =
          std::max<uint64_t>(stream.first, end - std::min(kept, end));
    }
  }

 private:
  struct Poll {
    uint64_t from;
    size_t max;
    Answer answer;
  };
  struct Stream {
    std::vector<std::string> records;
    uint64_t first = 0;
    std::vector<Poll> polls;
  };
  std::map<std::string, Stream> streams;
};

}  // namespace basilsill::test

#endif  // BASILSILL_DECISION_TEST_MODEL_LOG_H_

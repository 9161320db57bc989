// Instances reject requests, and send some of these rejections again, late. No
// request that isn't idempotent may run twice, or run and be answered 503.

#include <cstdio>
#include <memory>
#include <thread>
#include <vector>

#include "../support/scene.h"

namespace {

using review::Clock;
using review::Milliseconds;

// Doses of rtr-banks: for at most 8.5 s at a time all instances reject 0.55 of
// the requests, for at most 5 s at a time 0.6 of the instances send 0.03 of
// their answers once more, late.
constexpr double kRejected = 0.3;
constexpr Milliseconds kRejecting{8500};
constexpr double kRepeated = 0.03;
constexpr Milliseconds kRepeating{5000};
constexpr Milliseconds kPause{1500};
constexpr int kRounds = 10;
constexpr double kPerSecond = 55;

// One instance in each of two zones, as pickupbook has one in nadezhda. The
// first of them sends answers again in its spells.
constexpr const char* kZones[] = {"nadezhda", "lyulin"};
constexpr size_t kInstances = 2;

using Instances = std::vector<std::unique_ptr<review::Instance>>;

void SetRejects(const Instances& instances, double share) {
  for (const auto& instance : instances) {
    instance->misbehaviour.rejects = share;
  }
}

void SetRepeats(const Instances& instances, double share) {
  instances.front()->misbehaviour.repeats_late = share;
}

// One spell of rejections, with a spell of repeated answers in it.
void PlayRound(const Instances& instances, bool has_trouble) {
  SetRejects(instances, has_trouble ? kRejected : 0);
  SetRepeats(instances, has_trouble ? kRepeated : 0);
  std::this_thread::sleep_for(kRepeating);
  SetRepeats(instances, 0);
  std::this_thread::sleep_for(kRejecting - kRepeating);
  SetRejects(instances, 0);
  std::this_thread::sleep_for(kPause);
}

// @returns the number of requests that break a rule.
size_t CountBroken(review::Record& record) {
  size_t broken = 0;
  for (const auto& [id, attempt] : record.attempts()) {
    if (attempt.runs.size() > 1) {
      ++broken;
      record.Note("TWICE: " + id + " ran " +
                  std::to_string(attempt.runs.size()) + " times");
    }
    const bool is_refused = attempt.status == 503 || attempt.status == 429;
    if (is_refused && !attempt.runs.empty()) {
      ++broken;
      record.Note("REFUSED: " + id + " was answered " +
                  std::to_string(attempt.status) + " and ran");
    }
  }
  return broken;
}

}  // namespace

int main(int count, char** words) {
  const review::SceneArguments arguments = review::ReadArguments(count, words);
  review::Record record(arguments.record);
  review::Store store("127.30.0.1");
  Instances instances;
  for (size_t i = 0; i < kInstances; ++i) {
    review::InstanceOptions options;
    options.id = "i-pickupbook" + std::to_string(i + 1);
    options.address = "127.20.0." + std::to_string(i + 1);
    options.service = "pickupbook";
    options.zone = kZones[i];
    options.work = Milliseconds(80);
    options.slots = 6;
    instances.push_back(
        std::make_unique<review::Instance>(options, store, record));
  }
  review::RouteText route;
  route.name = "puka111";
  route.kind = "unsafe";
  route.service = "pickupbook";
  store.Put("keyed.op", "config",
            review::ConfigurationText("00000007", {route}));
  review::FleetOptions options;
  options.command = arguments.command;
  options.directory = arguments.directory;
  options.zones = {"nadezhda", "nadezhda", "lyulin"};
  options.store_address = "127.30.0.1";
  options.store_port = store.port();
  review::Fleet fleet(options, record);
  if (!fleet.Start(Milliseconds(15000))) {
    std::fprintf(stderr, "the nodes are not ready\n");
    return review::kCouldNotRun;
  }
  std::this_thread::sleep_for(Milliseconds(3000));
  review::Flow::Options flow_options;
  flow_options.per_second = kPerSecond;
  flow_options.nodes = {0, 1};
  flow_options.prefix = "a";
  flow_options.request.method = "POST";
  flow_options.request.host = review::kHost;
  flow_options.request.path = "/puka111/2f";
  flow_options.request.deadline = Milliseconds(1500);
  flow_options.request.body = std::string(300, 'x');
  review::Flow flow(fleet, record, flow_options);
  const auto length = kRounds * (kRejecting + kPause);
  std::thread sender([&] { flow.SendUntil(Clock::now() + length); });
  for (int i = 0; i < kRounds; ++i) {
    PlayRound(instances, arguments.has_trouble);
  }
  sender.join();
  flow.Join();
  std::this_thread::sleep_for(Milliseconds(1000));
  const size_t broken = CountBroken(record);
  fleet.KillAll();
  record.Note("requests that break a rule: " + std::to_string(broken));
  std::printf("requests that break a rule: %zu\n", broken);
  std::fflush(stdout);
  std::_Exit(broken > 0 ? review::kBroken : review::kHeld);
}

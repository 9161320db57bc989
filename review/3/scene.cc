// Nodes are stopped and started in turn, while requests wait for a service that
// is short of room. No request that a node has read may end with a closed
// connection.

#include <signal.h>

#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../support/scene.h"

namespace {

using review::Clock;
using review::Milliseconds;

// The terms of the settings.
constexpr Milliseconds kGrace{6000};
constexpr Milliseconds kLossSlack{200};
// A balancer asks each second, and takes a node out after two misses.
constexpr Milliseconds kOutOfRotation{2000};
constexpr Milliseconds kRestart{500};
constexpr Milliseconds kDeadline{5000};
constexpr Milliseconds kFillTime{12000};
constexpr size_t kNodes = 3;
constexpr size_t kInstances = 2;
// Two instances with two slots of 640 ms run 6.2 a second.
constexpr double kPerSecond = 9;

struct Stop {
  size_t node = 0;
  Clock::time_point at;
};

// Requests to one node until the balancer takes it out of rotation.
class NodeFlow {
 public:
  NodeFlow(const review::Fleet& fleet,
           review::Record& record,
           size_t node,
           int turn)
      : flow(fleet, record, MakeOptions(node, turn)) {}

  void Begin(Clock::time_point until) {
    this->sender = std::thread([this, until] { this->flow.SendUntil(until); });
  }

  void End() {
    this->sender.join();
    this->flow.Join();
  }

 private:
  static review::Flow::Options MakeOptions(size_t node, int turn) {
    review::Flow::Options options;
    options.per_second = kPerSecond / kNodes;
    options.nodes = {node};
    options.prefix = "turn" + std::to_string(turn) + "-node" +
                     std::to_string(node + 1) + "-";
    options.request.host = review::kHost;
    options.request.path = "/leny950/2f";
    options.request.deadline = kDeadline;
    return options;
  }

  review::Flow flow;
  std::thread sender;
};

// Stops `node` after requests have queued, kills it at the end of the grace
// time, and starts it again.
// @returns when it got SIGTERM.
Stop PlayTurn(review::Fleet& fleet,
              review::Record& record,
              size_t node,
              int turn,
              bool has_trouble) {
  const auto stop_at = Clock::now() + kFillTime;
  const auto end = stop_at + kGrace + kRestart;
  std::vector<std::unique_ptr<NodeFlow>> flows;
  for (size_t i = 0; i < kNodes; ++i) {
    flows.push_back(std::make_unique<NodeFlow>(fleet, record, i, turn));
    const bool is_stopped = has_trouble && i == node;
    flows.back()->Begin(is_stopped ? stop_at + kOutOfRotation : end);
  }
  std::this_thread::sleep_until(stop_at);
  if (has_trouble) {
    fleet.Signal(node, SIGTERM);
    while (!fleet.HasEnded(node) && Clock::now() < stop_at + kGrace) {
      std::this_thread::sleep_for(Milliseconds(5));
    }
    if (!fleet.HasEnded(node)) {
      fleet.Signal(node, SIGKILL);
    }
    std::this_thread::sleep_until(end);
    if (!fleet.HasEnded(node)) {
      fleet.KillAll();
    }
    fleet.StartNode(node);
  }
  for (const auto& flow : flows) {
    flow->End();
  }
  return {node, stop_at};
}

// @returns the number of requests whose connection was closed without an answer
// around `stop`, without an excuse of the rule.
size_t CountLost(review::Record& record, const Stop& stop, int turn) {
  const std::string prefix = "turn" + std::to_string(turn) + "-node" +
                             std::to_string(stop.node + 1) + "-";
  size_t lost = 0;
  for (const auto& [id, attempt] : record.attempts()) {
    if (id.rfind(prefix, 0) != 0 || attempt.status != 0) {
      continue;
    }
    const auto age = attempt.ended_at - attempt.sent_at;
    const bool is_around_stop =
        attempt.ended_at >= stop.at &&
        attempt.ended_at <= stop.at + kGrace + Milliseconds(1000);
    // What an instance had begun is left out: it may be at work in the last
    // sixth of the grace time.
    if (is_around_stop && age > kLossSlack && age < kDeadline &&
        attempt.runs.empty()) {
      ++lost;
      record.Note("LOST: " + id + " was sent at " +
                  std::to_string(record.At(attempt.sent_at)) +
                  " ms, its connection ended at " +
                  std::to_string(record.At(attempt.ended_at)) +
                  " ms without an answer; it never ran, SIGTERM at " +
                  std::to_string(record.At(stop.at)) + " ms");
    }
  }
  return lost;
}

}  // namespace

int main(int count, char** words) {
  const review::SceneArguments arguments = review::ReadArguments(count, words);
  review::Record record(arguments.record);
  review::Store store("127.30.0.1");
  std::vector<std::unique_ptr<review::Instance>> instances;
  for (size_t i = 0; i < kInstances; ++i) {
    review::InstanceOptions options;
    options.id = "i-partnerdesk" + std::to_string(i + 1);
    options.address = "127.20.0." + std::to_string(i + 1);
    options.service = "partnerdesk";
    options.zone = "lyulin";
    options.work = Milliseconds(640);
    options.queue = 4;
    options.tells_load = true;
    instances.push_back(
        std::make_unique<review::Instance>(options, store, record));
  }
  review::RouteText route;
  route.name = "leny950";
  route.kind = "safe";
  route.service = "partnerdesk";
  route.timeout = kDeadline;
  route.target = Milliseconds(1500);
  store.Put("keyed.op", "config",
            review::ConfigurationText("00000007", {route}));
  review::FleetOptions options;
  options.command = arguments.command;
  options.directory = arguments.directory;
  options.zones.assign(kNodes, "lyulin");
  options.store_address = "127.30.0.1";
  options.store_port = store.port();
  review::Fleet fleet(options, record);
  if (!fleet.Start(Milliseconds(15000))) {
    std::fprintf(stderr, "the nodes are not ready\n");
    return review::kCouldNotRun;
  }
  std::this_thread::sleep_for(Milliseconds(3000));
  size_t lost = 0;
  for (size_t node = 0; node < kNodes; ++node) {
    const int turn = static_cast<int>(node) + 1;
    const Stop stop =
        PlayTurn(fleet, record, node, turn, arguments.has_trouble);
    lost += arguments.has_trouble ? CountLost(record, stop, turn) : 0;
  }
  fleet.KillAll();
  record.Note("requests lost: " + std::to_string(lost));
  std::printf("requests lost: %zu\n", lost);
  std::fflush(stdout);
  std::_Exit(lost > 0 ? review::kBroken : review::kHeld);
}

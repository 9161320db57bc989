// Clients send further requests before the first has been answered, while a
// node freezes. No client may take other bytes for the body of an answer.

#include <signal.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../support/scene.h"

namespace {

using review::Clock;
using review::Milliseconds;

// One node at a time stands still, for 4 s as on rtr-banks.
constexpr Milliseconds kFreeze{4000};
constexpr Milliseconds kPause{6000};
constexpr int kRounds = 9;
constexpr size_t kNodes = 4;
constexpr size_t kInstances = 4;  // Of each service.
// Less than the largest answers of rtr-banks, 540,000 bytes.
constexpr size_t kBodyBytes = 400000;
constexpr Milliseconds kDeadline{5000};
constexpr Milliseconds kTimeout{3000};
constexpr Milliseconds kConnectTimeout{1000};
constexpr Milliseconds kBetweenClients{100};
constexpr const char* kServices[] = {"reportyard", "partnerdesk"};
// The routes of a client's requests, in the order in which it sends them.
constexpr size_t kOrder[][3] = {{0, 1, 1}, {1, 0, 0}};
constexpr size_t kInARow = 3;

std::atomic<size_t> mixed{0};

std::string PathOf(size_t service) {
  return std::string("/") + kServices[service] + "/2f";
}

std::string MakeRequest(const std::string& id, size_t service) {
  return "GET " + PathOf(service) + " HTTP/1.1\r\nHost: " + review::kHost +
         "\r\nX-Attempt-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(kDeadline.count()) + "\r\n\r\n";
}

void NoteMixed(review::Record& record,
               const std::string& id,
               const std::string& what) {
  ++mixed;
  record.Note("MIXED: " + id + " " + what);
}

// @returns false if nothing more can be read from the connection.
bool ReadOne(review::Connection& connection,
             review::Record& record,
             const std::string& id,
             Clock::time_point until) {
  review::Message answer;
  const review::ReadResult read =
      review::ReadMessage(connection, answer, until);
  if (read != review::ReadResult::kWhole) {
    record.OnEnded(id, 0, "no whole answer");
    return false;
  }
  if (answer.start_line.rfind("HTTP/1.1 ", 0) != 0) {
    record.OnEnded(id, 0, "bytes that are no answer");
    NoteMixed(record, id, "got bytes that are no answer");
    return false;
  }
  const auto status = static_cast<unsigned>(
      std::strtoul(answer.start_line.substr(9, 3).c_str(), nullptr, 10));
  record.OnEnded(id, status,
                 std::to_string(answer.body.size()) + " bytes of body " +
                     answer.Header("Basilsill-Reason"));
  const std::string body = review::BodyOf(id, kBodyBytes);
  if (status == 200 && answer.body != body) {
    size_t same = 0;
    while (same < answer.body.size() && answer.body[same] == body[same]) {
      ++same;
    }
    NoteMixed(
        record, id,
        "got a success whose body is another from byte " +
            std::to_string(same) + " on: " +
            answer.body.substr(same, answer.body.find('\r', same) - same));
  }
  return answer.Header("Connection") != "close";
}

// One client, which sends its requests without waiting for answers.
void PlayClient(const review::Fleet& fleet,
                size_t node,
                const std::string& name,
                const size_t* order,
                review::Record& record) {
  const int descriptor = review::ConnectTo(
      fleet.address(node), fleet.callers_port(), kConnectTimeout);
  if (descriptor < 0) {
    record.Note("not connected " + name);
    return;
  }
  review::Connection connection(descriptor);
  const auto until = Clock::now() + kDeadline;
  std::string text;
  for (size_t i = 0; i < kInARow; ++i) {
    const std::string id = name + "-" + std::to_string(i);
    record.OnSent(id, PathOf(order[i]));
    text += MakeRequest(id, order[i]);
  }
  bool goes_on = connection.Write(text);
  for (size_t i = 0; goes_on && i < kInARow; ++i) {
    goes_on =
        ReadOne(connection, record, name + "-" + std::to_string(i), until);
  }
}

}  // namespace

int main(int count, char** words) {
  const review::SceneArguments arguments = review::ReadArguments(count, words);
  review::Record record(arguments.record);
  review::Store store("127.30.0.1");
  std::vector<std::unique_ptr<review::Instance>> instances;
  std::vector<review::RouteText> routes;
  for (const char* service : kServices) {
    for (size_t i = 0; i < kInstances; ++i) {
      review::InstanceOptions options;
      options.id = std::string("i-") + service + std::to_string(i + 1);
      options.address = "127.20.0." + std::to_string(i + 1);
      options.service = service;
      options.zone = "lyulin";
      options.work = Milliseconds(130);
      options.body_bytes = kBodyBytes;
      options.tells_load = true;
      instances.push_back(
          std::make_unique<review::Instance>(options, store, record));
    }
    review::RouteText route;
    route.name = service;
    route.kind = "safe";
    route.service = service;
    route.timeout = kTimeout;
    route.target = Milliseconds(1500);
    routes.push_back(route);
  }
  store.Put("keyed.op", "config",
            review::ConfigurationText("00000007", routes));
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
  std::vector<std::thread> clients;
  size_t sent = 0;
  for (size_t round = 0; round < kRounds; ++round) {
    const size_t frozen = round % kNodes;
    if (arguments.has_trouble) {
      fleet.Signal(frozen, SIGSTOP);
    }
    const auto wake_at = Clock::now() + kFreeze;
    bool is_frozen = arguments.has_trouble;
    while (Clock::now() < wake_at + kPause) {
      if (is_frozen && Clock::now() >= wake_at) {
        fleet.Signal(frozen, SIGCONT);
        is_frozen = false;
      }
      const size_t node = sent % kNodes;
      const std::string name = "client" + std::to_string(sent);
      const size_t* order = kOrder[sent++ / kNodes % 2];
      if (!is_frozen || node != frozen) {
        clients.emplace_back([&fleet, &record, node, name, order] {
          PlayClient(fleet, node, name, order, record);
        });
      }
      std::this_thread::sleep_for(kBetweenClients);
    }
  }
  for (std::thread& client : clients) {
    client.join();
  }
  fleet.KillAll();
  record.Note("answers mixed: " + std::to_string(mixed));
  std::printf("answers mixed: %zu\n", mixed.load());
  std::fflush(stdout);
  std::_Exit(mixed > 0 ? review::kBroken : review::kHeld);
}

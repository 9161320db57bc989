// A node gets SIGTERM. Callers that are still connected send a long safe
// request and short ones behind it. The process ends while the long one is at
// work; the short ones were answered by their instances seconds before.

#include "../support-2/rig.h"

using namespace rig;

namespace {

constexpr double kGrace = 6;
constexpr double kSentAfter = 1.9;  // Seconds from the SIGTERM to the requests.
constexpr int kLongWorkMs = 3900;   // The route's timeout is 4000 ms.
constexpr int kShortWorkMs = 480;
constexpr int kBehind = 3;
constexpr int kRounds = 4;

struct Sent {
  std::string id;
  int work_ms = 0;
  double sent_at = 0;
};

std::mutex g_mutex;
std::map<std::string, std::pair<double, double>>
    g_work;  // Begin and end, by id.

std::string Get(const std::string& path, const std::string& id) {
  return "GET " + path +
         " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id +
         "\r\nX-Deadline-Ms: 8000\r\n\r\n";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) {
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  signal(SIGPIPE, SIG_IGN);
  Record record(argv[2]);
  Fleet fleet(3, {"a", "b", "c"});
  if (fleet.nodes.empty()) {
    return 2;
  }
  fleet.AddInstances("archive", 8, 2, 8, [&](Instance& self, Arrival& arrival) {
    const std::string path = arrival.request.Word(1);
    const int work = std::atoi(path.substr(path.rfind('-') + 1).c_str());
    record.Line("instance %s begins to run %s", self.id.c_str(),
                arrival.id.c_str());
    const double begin = Now();
    // Most instances drop a request when its connection closes.
    while (Now() < begin + work / 1000.0 &&
           !arrival.connection->IsClosedByPeer()) {
      Sleep(0.005);
    }
    {
      const std::lock_guard<std::mutex> lock(g_mutex);
      g_work[arrival.id] = {begin, Now()};
    }
    const bool sent = arrival.connection->Send(
        self.Head(arrival.id, 200, 1500) + std::string(1500, 'a'));
    record.Line("instance %s has %s %s", self.id.c_str(),
                sent ? "answered" : "dropped", arrival.id.c_str());
    return sent;
  });
  fleet.store.Put("keyed.op", "config",
                  ConfigText(7,
                             {{"r-archive", "shop.example", "/archive/", "safe",
                               "archive", 4000, 1200, 2, 2}},
                             {"archive"}));
  if (!fleet.Start(argv[1])) {
    record.Line("the nodes did not become ready");
    return 2;
  }
  int lost = 0;
  int answered = 0;
  for (int round = 0; round < kRounds; ++round) {
    Node& node = *fleet.nodes[static_cast<size_t>(round) % fleet.nodes.size()];
    // Calm for longer than `stability_window`.
    Sleep(4);
    std::vector<std::unique_ptr<Connection>> open;
    for (int i = 0; i < 2; ++i) {
      open.push_back(Connection::Open(node.front()));
      Message answer;
      if (!open.back() ||
          !open.back()->Send(Get("/archive/first-50", NewId())) ||
          !ParseHead(open.back()->ReadHead(Now() + 3), answer) ||
          ReadBody(*open.back(), answer, Now() + 3) != BodyEnd::kWhole) {
        record.Line("no answer from %s", node.name.c_str());
        return 2;
      }
      ++answered;
    }
    const double term = Now();
    if (has_trouble) {
      record.Line("SIGTERM to %s", node.name.c_str());
      node.Signal(SIGTERM);
    }
    Sleep(kSentAfter);
    std::vector<std::thread> callers;
    for (size_t i = 0; i < open.size(); ++i) {
      callers.emplace_back([&, i] {
        Connection& connection = *open[i];
        std::vector<Sent> all;
        std::string bytes;
        for (int n = 0; n <= kBehind; ++n) {
          all.push_back({NewId(), n == 0 ? kLongWorkMs : kShortWorkMs, Now()});
          bytes += Get("/archive/" + std::to_string(round) + std::to_string(i) +
                           std::to_string(n) + "-" +
                           std::to_string(all.back().work_ms),
                       all.back().id);
          record.Line(
              "caller %zu sends %s (%d ms of work) to %s, %.2f s after the "
              "SIGTERM",
              i, all.back().id.c_str(), all.back().work_ms, node.name.c_str(),
              Now() - term);
        }
        connection.Send(bytes);
        const double until = Now() + 7;
        for (size_t n = 0; n < all.size(); ++n) {
          Message answer;
          if (ParseHead(connection.ReadHead(until), answer) &&
              ReadBody(connection, answer, until) == BodyEnd::kWhole) {
            record.Line("caller %zu gets %s for %s", i, answer.Word(1).c_str(),
                        all[n].id.c_str());
            const std::lock_guard<std::mutex> lock(g_mutex);
            ++answered;
            continue;
          }
          const double ended = Now();
          Sleep(0.3);
          const std::lock_guard<std::mutex> lock(g_mutex);
          for (; n < all.size(); ++n) {
            const auto work = g_work.find(all[n].id);
            const bool passed_on = work != g_work.end();
            // Not counted: the deadline or the timeout was reached, or the
            // instance was at work in the last sixth of the grace period.
            const bool timed_out = ended - all[n].sent_at >= 4;
            const bool late =
                passed_on && work->second.second > term + kGrace * 5 / 6;
            const bool counts = has_trouble && connection.ended && passed_on &&
                                !timed_out && !late;
            lost += counts ? 1 : 0;
            record.Line(
                "caller %zu: the connection ended %.2f s after the SIGTERM "
                "without an answer to %s "
                "(%s)%s",
                i, ended - term, all[n].id.c_str(),
                !passed_on ? "not passed on"
                : late     ? "its instance was still at work"
                           : "its instance had answered",
                counts ? ": LOST" : "");
          }
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    if (has_trouble) {
      while (!node.HasEnded() && Now() < term + kGrace) {
        Sleep(0.01);
      }
      record.Line("%s ended %.2f s after the SIGTERM", node.name.c_str(),
                  Now() - term);
      node.Kill();
      node.WriteSettings(fleet.store.address(), fleet.zones, false);
      node.Start(argv[1]);
      if (!fleet.AwaitReady(10)) {
        return 2;
      }
    }
  }
  record.Line(
      "answered %d; requests that were passed on and lost around a planned "
      "shutdown %d",
      answered, lost);
  std::printf("lost %d, allowed 0; %d answered\n", lost, answered);
  if (answered == 0) {
    return 2;
  }
  return lost > 0 ? 1 : 0;
}

#include "callers.h"

#include <array>
#include <random>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "sleep.h"

namespace basilsill::soak {
namespace {

namespace asio = boost::asio;
using adapter::test::CallerAnswer;
using adapter::test::FakeCaller;
using std::chrono::milliseconds;

constexpr milliseconds kConnectLimit{1000};
constexpr milliseconds kPauseBetween{120};
constexpr milliseconds kPauseAfterFailure{100};
constexpr size_t kSeveral = 3;

constexpr double kSeveralShare = 0.1;
constexpr double kLeaveShare = 0.05;
constexpr double kNewConnectionShare = 0.1;
// Some callers do not wait as they are told.
constexpr double kAtOnceShare = 0.3;

struct RouteKind {
  std::string_view route;
  RequestKind kind;
  size_t service;
  unsigned weight;
};
// The last is added and dropped by the operator.
constexpr std::array<RouteKind, 4> kRoutes = {{
    {"levels", RequestKind::kSafe, 0, 6},
    {"pickups", RequestKind::kUnsafe, 1, 6},
    {"files", RequestKind::kDownload, 0, 1},
    {"extra", RequestKind::kSafe, 0, 3},
}};

const RouteKind& DrawRoute(pcg32& random, bool only_safe) {
  if (only_safe) {
    return kRoutes.front();
  }
  std::vector<double> weights;
  weights.reserve(kRoutes.size());
  for (const RouteKind& route : kRoutes) {
    weights.push_back(route.weight);
  }
  return kRoutes[std::discrete_distribution<size_t>(weights.begin(),
                                                    weights.end())(random)];
}

bool Draw(pcg32& random, double share) {
  return std::bernoulli_distribution(share)(random);
}

milliseconds DrawPause(pcg32& random, milliseconds mean) {
  return milliseconds(
      std::uniform_int_distribution<int64_t>(0, 2 * mean.count())(random));
}

// One caller in four is of the team that goes beyond its quota, and one of the
// team whose key comes and goes.
SoakTeam TeamOf(size_t caller) {
  constexpr size_t turn = 4;
  switch (caller % turn) {
    case 1:
      return SoakTeam::kRevoked;
    case 2:
      return SoakTeam::kLimited;
    default:
      return SoakTeam::kPlain;
  }
}

}  // namespace

std::string KeyOf(SoakTeam team) {
  return "key-of-team-" + std::to_string(static_cast<size_t>(team));
}

Callers::Callers(asio::io_context& io,
                 const Fleet& fleet,
                 const CallersOptions& options,
                 Observations& seen)
    : io(io), fleet(fleet), options(options), seen(seen) {}

void Callers::Start() {
  for (size_t i = 0; i < this->options.callers; ++i) {
    Caller caller;
    caller.random = pcg32(this->options.seed, i);
    caller.number = i;
    asio::co_spawn(this->io, this->Live(caller), asio::detached);
  }
}

asio::awaitable<void> Callers::Live(Caller caller) {
  while (!this->stopped) {
    const std::vector<size_t> nodes = this->fleet.InRotation();
    const size_t node = nodes[caller.random() % nodes.size()];
    FakeCaller connection(this->io.get_executor());
    const bool open =
        co_await connection.Open(this->fleet.callers(node), kConnectLimit);
    bool goes_on = open;
    while (goes_on && !this->stopped) {
      co_await Sleep(DrawPause(caller.random, kPauseBetween));
      if (Draw(caller.random, kSeveralShare)) {
        goes_on = co_await this->AskSeveral(caller, connection, node);
      } else {
        goes_on = co_await this->AskOnce(caller, connection, node);
      }
      goes_on = goes_on && !Draw(caller.random, kNewConnectionShare);
    }
    if (!open) {
      co_await Sleep(kPauseAfterFailure);
    }
  }
}

Callers::Sent Callers::MakeRequest(Caller& caller,
                                   size_t node,
                                   bool only_safe) {
  const RouteKind& route = DrawRoute(caller.random, only_safe);
  Sent sent;
  sent.request.id =
      "r" + std::to_string(caller.number) + "-" + std::to_string(caller.sent++);
  const SoakTeam team = TeamOf(caller.number);
  sent.request.key = KeyOf(team);
  sent.request.path = "/" + std::string(route.route) + "/x";
  sent.request.deadline = this->options.patience;
  if (route.kind == RequestKind::kUnsafe) {
    sent.request.method = "POST";
    sent.request.body = "body of " + sent.request.id;
  }
  RequestRow row;
  row.id = sent.request.id;
  row.kind = route.kind;
  row.route = route.route;
  row.service = route.service;
  row.team = static_cast<size_t>(team);
  row.node = node;
  row.sent = MonotonicClock::now();
  sent.row = this->seen.requests.size();
  this->seen.requests.push_back(std::move(row));
  return sent;
}

void Callers::Finish(size_t row, Ending ending) {
  this->seen.requests[row].ending = ending;
  this->seen.requests[row].ended = MonotonicClock::now();
}

asio::awaitable<bool> Callers::Send(FakeCaller& connection, const Sent& sent) {
  const bool whole = co_await connection.Send(sent.request);
  this->seen.requests[sent.row].sent = MonotonicClock::now();
  co_return whole;
}

asio::awaitable<bool> Callers::AskOnce(Caller& caller,
                                       FakeCaller& connection,
                                       size_t node) {
  const Sent sent = this->MakeRequest(caller, node, false);
  const bool whole = co_await this->Send(connection, sent);
  if (!whole) {
    this->Finish(sent.row, Ending::kBroken);
    co_return false;
  }
  if (Draw(caller.random, kLeaveShare)) {
    co_await this->LeaveEarly(caller, connection, sent);
    co_return false;
  }
  co_return co_await this->Receive(caller, connection, sent);
}

asio::awaitable<bool> Callers::AskSeveral(Caller& caller,
                                          FakeCaller& connection,
                                          size_t node) {
  std::vector<Sent> all;
  bool goes_on = true;
  for (size_t i = 0; i < kSeveral && goes_on; ++i) {
    all.push_back(this->MakeRequest(caller, node, true));
    this->seen.requests[all.back().row].behind_another = i > 0;
    goes_on = co_await this->Send(connection, all.back());
  }
  goes_on = true;
  for (const Sent& sent : all) {
    if (goes_on) {
      goes_on = co_await this->Receive(caller, connection, sent);
    } else {
      this->Finish(sent.row, Ending::kBroken);
    }
  }
  co_return goes_on;
}

asio::awaitable<bool> Callers::Receive(Caller& caller,
                                       FakeCaller& connection,
                                       const Sent& sent) {
  const CallerAnswer answer =
      co_await connection.Receive(sent.request, this->options.patience);
  if (!answer.is_whole) {
    this->Finish(sent.row,
                 answer.timed_out ? Ending::kTimeout : Ending::kBroken);
    co_return false;
  }
  this->Finish(sent.row, Ending::kAnswer);
  RequestRow& row = this->seen.requests[sent.row];
  row.status = answer.status;
  row.is_own = answer.is_own;
  if (answer.retry_after > 0 && !Draw(caller.random, kAtOnceShare)) {
    co_await Sleep(
        milliseconds(static_cast<int64_t>(answer.retry_after * 1000)));
  }
  co_return !answer.closes;
}

asio::awaitable<void> Callers::LeaveEarly(Caller& caller,
                                          FakeCaller& connection,
                                          const Sent& sent) {
  co_await Sleep(DrawPause(caller.random, kPauseAfterFailure));
  connection.Close();
  this->Finish(sent.row, Ending::kCaller);
}

}  // namespace basilsill::soak

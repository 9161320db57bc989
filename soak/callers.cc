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

constexpr milliseconds kConnectTimeout{1000};
constexpr milliseconds kMeanPause{120};
constexpr milliseconds kPauseAfterFailure{100};
constexpr size_t kPipelinedRequests = 3;

constexpr double kPipelinedShare = 0.1;
constexpr double kDisconnectShare = 0.05;
constexpr double kNewConnectionShare = 0.1;
// Share of responses with Retry-After that callers ignore and retry at once.
constexpr double kIgnoreRetryAfterShare = 0.3;

struct RouteKind {
  std::string_view route;
  RequestKind kind;
  size_t service;
  unsigned weight;
};
// The operator adds and removes the last route during the soak.
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

bool DrawBool(pcg32& random, double share) {
  return std::bernoulli_distribution(share)(random);
}

milliseconds DrawPause(pcg32& random, milliseconds mean) {
  return milliseconds(
      std::uniform_int_distribution<int64_t>(0, 2 * mean.count())(random));
}

// One caller in four belongs to the team that exceeds its quota, and one in
// four to the team whose key is revoked and restored.
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
                 Observations& observations)
    : io(io), fleet(fleet), options(options), observations(observations) {}

void Callers::Start() {
  for (size_t i = 0; i < this->options.callers; ++i) {
    Caller caller;
    caller.random = pcg32(this->options.seed, i);
    caller.number = i;
    asio::co_spawn(this->io, this->RunCaller(caller), asio::detached);
  }
}

asio::awaitable<void> Callers::RunCaller(Caller caller) {
  while (!this->stopped) {
    const std::vector<size_t> nodes = this->fleet.NodesInRotation();
    const size_t node = nodes[caller.random() % nodes.size()];
    FakeCaller connection(this->io.get_executor());
    const bool open =
        co_await connection.Open(this->fleet.callers(node), kConnectTimeout);
    bool is_usable = open;
    while (is_usable && !this->stopped) {
      co_await Sleep(DrawPause(caller.random, kMeanPause));
      if (DrawBool(caller.random, kPipelinedShare)) {
        is_usable = co_await this->SendPipelined(caller, connection, node);
      } else {
        is_usable = co_await this->SendOne(caller, connection, node);
      }
      is_usable = is_usable && !DrawBool(caller.random, kNewConnectionShare);
    }
    if (!open) {
      co_await Sleep(kPauseAfterFailure);
    }
  }
}

Callers::Sent Callers::AddRequest(Caller& caller, size_t node, bool only_safe) {
  const RouteKind& route = DrawRoute(caller.random, only_safe);
  Sent sent;
  sent.request.id =
      "r" + std::to_string(caller.number) + "-" + std::to_string(caller.sent++);
  const SoakTeam team = TeamOf(caller.number);
  sent.request.key = KeyOf(team);
  sent.request.path = "/" + std::string(route.route) + "/x";
  sent.request.deadline = this->options.request_deadline;
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
  sent.row = this->observations.requests.size();
  this->observations.requests.push_back(std::move(row));
  return sent;
}

void Callers::Finish(size_t row, RequestOutcome outcome) {
  this->observations.requests[row].outcome = outcome;
  this->observations.requests[row].ended = MonotonicClock::now();
}

asio::awaitable<bool> Callers::Send(FakeCaller& connection, const Sent& sent) {
  const bool is_sent = co_await connection.Send(sent.request);
  this->observations.requests[sent.row].sent = MonotonicClock::now();
  co_return is_sent;
}

asio::awaitable<bool> Callers::SendOne(Caller& caller,
                                       FakeCaller& connection,
                                       size_t node) {
  const Sent sent = this->AddRequest(caller, node, false);
  const bool is_sent = co_await this->Send(connection, sent);
  if (!is_sent) {
    this->Finish(sent.row, RequestOutcome::kBroken);
    co_return false;
  }
  if (DrawBool(caller.random, kDisconnectShare)) {
    co_await this->DisconnectEarly(caller, connection, sent);
    co_return false;
  }
  co_return co_await this->Receive(caller, connection, sent);
}

asio::awaitable<bool> Callers::SendPipelined(Caller& caller,
                                             FakeCaller& connection,
                                             size_t node) {
  std::vector<Sent> all;
  bool is_usable = true;
  for (size_t i = 0; i < kPipelinedRequests && is_usable; ++i) {
    all.push_back(this->AddRequest(caller, node, true));
    this->observations.requests[all.back().row].is_pipelined = i > 0;
    is_usable = co_await this->Send(connection, all.back());
  }
  is_usable = true;
  for (const Sent& sent : all) {
    if (is_usable) {
      is_usable = co_await this->Receive(caller, connection, sent);
    } else {
      this->Finish(sent.row, RequestOutcome::kBroken);
    }
  }
  co_return is_usable;
}

asio::awaitable<bool> Callers::Receive(Caller& caller,
                                       FakeCaller& connection,
                                       const Sent& sent) {
  const CallerAnswer answer =
      co_await connection.Receive(sent.request, this->options.request_deadline);
  if (!answer.is_whole) {
    this->Finish(sent.row, answer.timed_out ? RequestOutcome::kTimeout
                                            : RequestOutcome::kBroken);
    co_return false;
  }
  this->Finish(sent.row, RequestOutcome::kAnswer);
  RequestRow& row = this->observations.requests[sent.row];
  row.status = answer.status;
  row.is_own = answer.is_own;
  if (answer.retry_after > 0 &&
      !DrawBool(caller.random, kIgnoreRetryAfterShare)) {
    co_await Sleep(
        milliseconds(static_cast<int64_t>(answer.retry_after * 1000)));
  }
  co_return !answer.closes;
}

asio::awaitable<void> Callers::DisconnectEarly(Caller& caller,
                                               FakeCaller& connection,
                                               const Sent& sent) {
  co_await Sleep(DrawPause(caller.random, kPauseAfterFailure));
  connection.Close();
  this->Finish(sent.row, RequestOutcome::kCallerLeft);
}

}  // namespace basilsill::soak

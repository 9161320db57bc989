#include "fleet.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "fake_caller.h"
#include "sleep.h"

namespace basilsill::soak {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Readiness polling of the platform's balancer.
constexpr milliseconds kPollInterval{1000};
constexpr milliseconds kPollTimeout{500};
constexpr size_t kFailedPollsUntilUnready = 2;

constexpr milliseconds kRestartPause{300};
constexpr milliseconds kExitCheckInterval{20};
constexpr milliseconds kAllRestartedPause{1000};
// A probe connection without a response for this long counts as not accepted.
constexpr milliseconds kProbeTimeout{3000};
// More connections than a node has file descriptors for.
constexpr size_t kFloodConnections = 400;
constexpr char kNoRoute[] = "/no-such-route";

// 127.A.B.N, with A and B derived from the id of this process, so that
// concurrent soaks on one machine do not share addresses.
std::string AddressOf(size_t node) {
  const auto id = static_cast<unsigned>(::getpid());
  constexpr unsigned octet = 200;
  return "127." + std::to_string(1 + id / octet % octet) + "." +
         std::to_string(1 + id % octet) + "." + std::to_string(1 + node);
}

}  // namespace

Fleet::Fleet(asio::io_context& io,
             const FleetOptions& options,
             Observations& observations)
    : io(io), grace(options.bounds.grace), observations(observations) {
  for (size_t i = 0; i < options.nodes; ++i) {
    auto member = std::make_unique<Member>();
    member->number = i;
    member->failed_polls = kFailedPollsUntilUnready;
    member->store_link = std::make_unique<Proxy>(io, options.store);
    NodeOptions node;
    node.program = options.program;
    node.name = "vm-" + std::to_string(i);
    node.address = AddressOf(i);
    node.directory = options.directory;
    node.store = member->store_link->endpoint();
    node.has_low_descriptor_limit = i % 2 == 1;
    node.repeat_slack = options.bounds.repeat_slack;
    node.drain = options.bounds.drain;
    node.apply = options.bounds.apply;
    node.revoke = options.bounds.revoke;
    member->process = std::make_unique<NodeProcess>(node);
    this->members.push_back(std::move(member));
  }
}

void Fleet::Start() {
  for (const auto& member : this->members) {
    member->process->Start();
    asio::co_spawn(this->io, this->PollReadiness(*member), asio::detached);
    asio::co_spawn(this->io, this->RestartOnExit(*member), asio::detached);
  }
}

void Fleet::Stop() {
  this->stopped = true;
  for (const auto& member : this->members) {
    member->process->Signal(SIGKILL);
  }
}

asio::awaitable<void> Fleet::PollReadiness(Member& member) {
  while (!this->stopped) {
    const bool ready = co_await adapter::test::IsReady(
        this->io.get_executor(), member.process->readiness(), kPollTimeout);
    member.failed_polls = ready ? 0 : member.failed_polls + 1;
    if (ready) {
      asio::co_spawn(this->io, this->ProbeConnection(member), asio::detached);
    }
    // Nodes are polled more often while none is ready, so that traffic starts
    // early.
    co_await Sleep(this->IsAnyReady() ? kPollInterval : kRestartPause);
  }
}

asio::awaitable<void> Fleet::ProbeConnection(const Member& member) {
  const size_t row = this->observations.connections.size();
  const TimePoint began = MonotonicClock::now();
  this->observations.connections.push_back({member.number, began});
  adapter::test::FakeCaller caller(this->io.get_executor());
  const bool open =
      co_await caller.Open(member.process->callers(), kProbeTimeout);
  if (!open) {
    co_return;
  }
  adapter::test::CallerRequest request;
  request.path = kNoRoute;
  request.deadline = kProbeTimeout;
  const bool sent = co_await caller.Send(request);
  if (!sent) {
    co_return;
  }
  const adapter::test::CallerAnswer answer =
      co_await caller.Receive(request, kProbeTimeout);
  if (answer.is_whole) {
    this->observations.connections[row].answered_after =
        MonotonicClock::now() - began;
  }
}

asio::awaitable<void> Fleet::Flood(size_t node, milliseconds time) {
  const Member& member = *this->members[node % this->members.size()];
  std::vector<std::unique_ptr<adapter::test::FakeCaller>> idle;
  const TimePoint until = MonotonicClock::now() + time;
  for (size_t i = 0; i < kFloodConnections && MonotonicClock::now() < until;
       ++i) {
    idle.push_back(
        std::make_unique<adapter::test::FakeCaller>(this->io.get_executor()));
    co_await idle.back()->Open(member.process->callers(), kPollTimeout);
  }
  co_await Sleep(until - MonotonicClock::now());
}

// A node that exits without having been signalled has crashed.
asio::awaitable<void> Fleet::RestartOnExit(Member& member) {
  while (!this->stopped) {
    co_await Sleep(kExitCheckInterval);
    if (!this->stopped && !member.has_fault && !member.process->IsRunning()) {
      this->observations.unexpected_exits.push_back(
          {member.number, MonotonicClock::now()});
      member.process->Start();
    }
  }
}

bool Fleet::IsAnyReady() const {
  return std::any_of(this->members.begin(), this->members.end(),
                     [](const auto& member) {
                       return member->failed_polls < kFailedPollsUntilUnready;
                     });
}

std::vector<size_t> Fleet::NodesInRotation() const {
  std::vector<size_t> nodes;
  for (const auto& member : this->members) {
    if (member->failed_polls < kFailedPollsUntilUnready ||
        !this->IsAnyReady()) {
      nodes.push_back(member->number);
    }
  }
  return nodes;
}

// Cuts at least one node and leaves at least one.
std::vector<size_t> Fleet::BeginCut(const Step& step) {
  std::vector<size_t> whole;
  for (const auto& member : this->members) {
    if (member->upstream_link == LinkState::kNormal) {
      whole.push_back(member->number);
    }
  }
  if (whole.size() < 2) {
    return {};
  }
  std::rotate(
      whole.begin(),
      whole.begin() + static_cast<ptrdiff_t>(step.target % whole.size()),
      whole.end());
  const size_t count = 1 + step.target / whole.size() % (whole.size() - 1);
  whole.resize(count);
  for (const size_t node : whole) {
    this->members[node]->upstream_link = step.fault == Fault::kCutSilent
                                             ? LinkState::kSilent
                                             : LinkState::kRefusing;
  }
  return whole;
}

void Fleet::EndCut(const std::vector<size_t>& nodes) {
  for (const size_t node : nodes) {
    this->members[node]->upstream_link = LinkState::kNormal;
  }
}

void Fleet::FindConnections() {
  for (const auto& member : this->members) {
    if (member->upstream_link != LinkState::kNormal) {
      member->connections = ConnectionsOf(member->process->pid());
    }
  }
}

LinkState Fleet::UpstreamLink(const ConnectionPorts& ports) const {
  for (const auto& member : this->members) {
    if (member->upstream_link != LinkState::kNormal &&
        member->connections.contains(ports)) {
      return member->upstream_link;
    }
  }
  return LinkState::kNormal;
}

void Fleet::SetStoreLinks(LinkState state) {
  for (const auto& member : this->members) {
    member->store_link->SetState(state);
  }
}

asio::awaitable<void> Fleet::InjectFault(const Step& step) {
  if (step.fault == Fault::kAllKill) {
    co_await this->KillAll();
    co_return;
  }
  Member& member = *this->members[step.target % this->members.size()];
  if (member.has_fault) {
    co_return;
  }
  member.has_fault = true;
  co_await this->InjectNodeFault(member, step);
  member.has_fault = false;
}

asio::awaitable<void> Fleet::InjectNodeFault(Member& member, const Step& step) {
  switch (step.fault) {
    case Fault::kNodeKill:
      co_await this->Kill(member);
      break;
    case Fault::kNodeEnd:
      co_await this->Shutdown(member);
      break;
    case Fault::kNodePause:
      co_await this->Pause(member, step);
      break;
    case Fault::kStoreRefusesSome:
      co_await this->CutFromStore(member, step);
      break;
    default:
      member.process->Signal(SIGHUP);
      break;
  }
}

asio::awaitable<void> Fleet::Kill(Member& member) {
  const size_t row = this->observations.BeginDisturbance(DisturbanceKind::kNode,
                                                         member.number);
  member.process->Signal(SIGKILL);
  co_await Sleep(kRestartPause);
  co_await this->Restart(member);
  this->observations.EndDisturbance(row);
}

// On a busy machine a killed process can hold its ports for longer than the
// restart pause. The next process would then fail to bind them and exit.
asio::awaitable<void> Fleet::Restart(Member& member) {
  while (!this->stopped && member.process->IsRunning()) {
    co_await Sleep(kExitCheckInterval);
  }
  if (!this->stopped) {
    member.process->Start();
  }
}

asio::awaitable<void> Fleet::Shutdown(Member& member) {
  const size_t row = this->observations.BeginDisturbance(
      DisturbanceKind::kShutdown, member.number);
  const TimePoint until = MonotonicClock::now() + this->grace;
  member.process->Signal(SIGTERM);
  while (member.process->IsRunning() && MonotonicClock::now() < until) {
    co_await Sleep(kExitCheckInterval);
  }
  member.process->Signal(SIGKILL);
  this->observations.EndDisturbance(row);
  const size_t start = this->observations.BeginDisturbance(
      DisturbanceKind::kNode, member.number);
  co_await Sleep(kRestartPause);
  co_await this->Restart(member);
  this->observations.EndDisturbance(start);
}

asio::awaitable<void> Fleet::Pause(Member& member, const Step& step) {
  const size_t row = this->observations.BeginDisturbance(DisturbanceKind::kNode,
                                                         member.number);
  member.process->Signal(SIGSTOP);
  co_await Sleep(step.duration);
  member.process->Signal(SIGCONT);
  this->observations.EndDisturbance(row);
}

asio::awaitable<void> Fleet::CutFromStore(Member& member, const Step& step) {
  const size_t row = this->observations.BeginDisturbance(
      DisturbanceKind::kStore, std::nullopt);
  member.store_link->SetState(LinkState::kRefusing);
  member.store_link->Reset();
  co_await Sleep(step.duration);
  member.store_link->SetState(LinkState::kNormal);
  this->observations.EndDisturbance(row);
}

asio::awaitable<void> Fleet::KillAll() {
  std::vector<Member*> killed;
  for (const auto& member : this->members) {
    if (!member->has_fault) {
      member->has_fault = true;
      member->process->Signal(SIGKILL);
      killed.push_back(member.get());
    }
  }
  const size_t row =
      this->observations.BeginDisturbance(DisturbanceKind::kNode, std::nullopt);
  co_await Sleep(kRestartPause);
  for (Member* member : killed) {
    co_await this->Restart(*member);
    member->has_fault = false;
  }
  co_await Sleep(kAllRestartedPause);
  this->observations.EndDisturbance(row);
  this->observations.all_restarted = MonotonicClock::now();
}

}  // namespace basilsill::soak

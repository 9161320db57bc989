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

// As the platform's balancer does it.
constexpr milliseconds kAskInterval{1000};
constexpr milliseconds kAskLimit{500};
constexpr size_t kMissesOut = 2;

constexpr milliseconds kRestartPause{300};
constexpr milliseconds kWatchInterval{20};
constexpr milliseconds kEveryoneBack{1000};
// A connection that is not taken for so long is taken for lost.
constexpr milliseconds kTakenLimit{3000};
// More than a node may have.
constexpr size_t kFlood = 400;
constexpr char kNoRoute[] = "/no-such-route";

// 127.A.B.N, of which A and B come from the id of this process, so that soaks
// beside each other do not meet.
std::string AddressOf(size_t node) {
  const auto id = static_cast<unsigned>(::getpid());
  constexpr unsigned octet = 200;
  return "127." + std::to_string(1 + id / octet % octet) + "." +
         std::to_string(1 + id % octet) + "." + std::to_string(1 + node);
}

}  // namespace

Fleet::Fleet(asio::io_context& io,
             const FleetOptions& options,
             Observations& seen)
    : io(io), grace(options.bounds.grace), seen(seen) {
  for (size_t i = 0; i < options.nodes; ++i) {
    auto member = std::make_unique<Member>();
    member->number = i;
    member->misses = kMissesOut;
    member->store_link = std::make_unique<Proxy>(io, options.store);
    NodeOptions node;
    node.program = options.program;
    node.name = "vm-" + std::to_string(i);
    node.address = AddressOf(i);
    node.directory = options.directory;
    node.store = member->store_link->endpoint();
    node.has_few_descriptors = i % 2 == 1;
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
    asio::co_spawn(this->io, this->Ask(*member), asio::detached);
    asio::co_spawn(this->io, this->Watch(*member), asio::detached);
  }
}

void Fleet::Stop() {
  this->stopped = true;
  for (const auto& member : this->members) {
    member->process->Signal(SIGKILL);
  }
}

asio::awaitable<void> Fleet::Ask(Member& member) {
  while (!this->stopped) {
    const bool ready = co_await adapter::test::IsReady(
        this->io.get_executor(), member.process->readiness(), kAskLimit);
    member.misses = ready ? 0 : member.misses + 1;
    if (ready) {
      asio::co_spawn(this->io, this->TryConnection(member), asio::detached);
    }
    // One that is not taken yet is asked more often, to begin soon.
    co_await Sleep(this->IsAnyReady() ? kAskInterval : kRestartPause);
  }
}

asio::awaitable<void> Fleet::TryConnection(const Member& member) {
  const size_t row = this->seen.connections.size();
  const TimePoint began = MonotonicClock::now();
  this->seen.connections.push_back({member.number, began});
  adapter::test::FakeCaller caller(this->io.get_executor());
  const bool open =
      co_await caller.Open(member.process->callers(), kTakenLimit);
  if (!open) {
    co_return;
  }
  adapter::test::CallerRequest request;
  request.path = kNoRoute;
  request.deadline = kTakenLimit;
  const bool sent = co_await caller.Send(request);
  if (!sent) {
    co_return;
  }
  const adapter::test::CallerAnswer answer =
      co_await caller.Receive(request, kTakenLimit);
  if (answer.is_whole) {
    this->seen.connections[row].taken_after = MonotonicClock::now() - began;
  }
}

asio::awaitable<void> Fleet::Flood(size_t node, milliseconds time) {
  const Member& member = *this->members[node % this->members.size()];
  std::vector<std::unique_ptr<adapter::test::FakeCaller>> idle;
  const TimePoint until = MonotonicClock::now() + time;
  for (size_t i = 0; i < kFlood && MonotonicClock::now() < until; ++i) {
    idle.push_back(
        std::make_unique<adapter::test::FakeCaller>(this->io.get_executor()));
    co_await idle.back()->Open(member.process->callers(), kAskLimit);
  }
  co_await Sleep(until - MonotonicClock::now());
}

// A node that ends though nobody told it to has crashed.
asio::awaitable<void> Fleet::Watch(Member& member) {
  while (!this->stopped) {
    co_await Sleep(kWatchInterval);
    if (!this->stopped && !member.is_busy && !member.process->IsRunning()) {
      this->seen.unasked_ends.push_back({member.number, MonotonicClock::now()});
      member.process->Start();
    }
  }
}

bool Fleet::IsAnyReady() const {
  return std::any_of(
      this->members.begin(), this->members.end(),
      [](const auto& member) { return member->misses < kMissesOut; });
}

std::vector<size_t> Fleet::InRotation() const {
  std::vector<size_t> nodes;
  for (const auto& member : this->members) {
    if (member->misses < kMissesOut || !this->IsAnyReady()) {
      nodes.push_back(member->number);
    }
  }
  return nodes;
}

void Fleet::SetStoreLinks(LinkState state) {
  for (const auto& member : this->members) {
    member->store_link->SetState(state);
  }
}

asio::awaitable<void> Fleet::Harm(const Step& step) {
  if (step.fault == Fault::kAllKill) {
    co_await this->KillAll();
    co_return;
  }
  Member& member = *this->members[step.target % this->members.size()];
  if (member.is_busy) {
    co_return;
  }
  member.is_busy = true;
  co_await this->HarmOne(member, step);
  member.is_busy = false;
}

asio::awaitable<void> Fleet::HarmOne(Member& member, const Step& step) {
  switch (step.fault) {
    case Fault::kNodeKill:
      co_await this->Kill(member);
      break;
    case Fault::kNodeEnd:
      co_await this->End(member);
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
  const size_t row =
      this->seen.BeginDisturbance(DisturbanceKind::kNode, member.number);
  member.process->Signal(SIGKILL);
  co_await Sleep(kRestartPause);
  co_await this->StartAgain(member);
  this->seen.EndDisturbance(row);
}

// On a busy machine a killed process keeps its ports a little longer than the
// pause, and the next one would end for want of them.
asio::awaitable<void> Fleet::StartAgain(Member& member) {
  while (!this->stopped && member.process->IsRunning()) {
    co_await Sleep(kWatchInterval);
  }
  if (!this->stopped) {
    member.process->Start();
  }
}

asio::awaitable<void> Fleet::End(Member& member) {
  const size_t row =
      this->seen.BeginDisturbance(DisturbanceKind::kShutdown, member.number);
  const TimePoint until = MonotonicClock::now() + this->grace;
  member.process->Signal(SIGTERM);
  while (member.process->IsRunning() && MonotonicClock::now() < until) {
    co_await Sleep(kWatchInterval);
  }
  member.process->Signal(SIGKILL);
  this->seen.EndDisturbance(row);
  const size_t start =
      this->seen.BeginDisturbance(DisturbanceKind::kNode, member.number);
  co_await Sleep(kRestartPause);
  co_await this->StartAgain(member);
  this->seen.EndDisturbance(start);
}

asio::awaitable<void> Fleet::Pause(Member& member, const Step& step) {
  const size_t row =
      this->seen.BeginDisturbance(DisturbanceKind::kNode, member.number);
  member.process->Signal(SIGSTOP);
  co_await Sleep(step.lasts);
  member.process->Signal(SIGCONT);
  this->seen.EndDisturbance(row);
}

asio::awaitable<void> Fleet::CutFromStore(Member& member, const Step& step) {
  const size_t row =
      this->seen.BeginDisturbance(DisturbanceKind::kStore, std::nullopt);
  member.store_link->SetState(LinkState::kRefusing);
  member.store_link->Reset();
  co_await Sleep(step.lasts);
  member.store_link->SetState(LinkState::kWell);
  this->seen.EndDisturbance(row);
}

asio::awaitable<void> Fleet::KillAll() {
  std::vector<Member*> killed;
  for (const auto& member : this->members) {
    if (!member->is_busy) {
      member->is_busy = true;
      member->process->Signal(SIGKILL);
      killed.push_back(member.get());
    }
  }
  const size_t row =
      this->seen.BeginDisturbance(DisturbanceKind::kNode, std::nullopt);
  co_await Sleep(kRestartPause);
  for (Member* member : killed) {
    co_await this->StartAgain(*member);
    member->is_busy = false;
  }
  co_await Sleep(kEveryoneBack);
  this->seen.EndDisturbance(row);
  this->seen.all_back = MonotonicClock::now();
}

}  // namespace basilsill::soak

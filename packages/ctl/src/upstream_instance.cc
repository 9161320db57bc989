#include "upstream_instance.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "upstream_session.h"

namespace basilsill::ctl {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr Duration kListenRetryDelay = std::chrono::milliseconds(10);

}  // namespace

Result<std::shared_ptr<UpstreamInstance>> UpstreamInstance::Create(
    asio::io_context& io,
    std::string name,
    const tcp::endpoint& listen,
    const UpstreamBehaviour& behaviour,
    uint64_t seed) {
  std::shared_ptr<UpstreamInstance> instance(
      new UpstreamInstance(io, std::move(name), behaviour, seed));
  instance->address = listen;
  if (auto listening = instance->Listen(); listening.has_error()) {
    return listening.error();
  }
  return instance;
}

UpstreamInstance::UpstreamInstance(asio::io_context& io_context,
                                   std::string name,
                                   const UpstreamBehaviour& behaviour,
                                   uint64_t seed)
    : io(io_context),
      instance_name(std::move(name)),
      acceptor(io_context),
      restart_timer(io_context),
      state_machine(behaviour, seed, MonotonicClock::now()),
      owners(kMaxUpstreamJobs, nullptr) {}

Result<void> UpstreamInstance::Listen() {
  error_code error;
  this->acceptor.open(this->address.protocol(), error);
  if (!error) {
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    this->acceptor.bind(this->address, error);
  }
  if (!error) {
    this->acceptor.listen(tcp::acceptor::max_listen_connections, error);
  }
  if (!error) {
    this->address = this->acceptor.local_endpoint(error);
  }
  if (error) {
    error_code ignored;
    this->acceptor.close(ignored);
    return Failure{FailureKind::kNetwork, this->instance_name, error.message()};
  }
  return boost::outcome_v2::success();
}

void UpstreamInstance::Start() {
  this->Accept();
}

void UpstreamInstance::Accept() {
  this->acceptor.async_accept(
      [self = this->shared_from_this()](error_code error, tcp::socket socket) {
        if (!self->acceptor.is_open()) {
          return;
        }
        if (!error) {
          self->Admit(std::move(socket));
        }
        self->Accept();
      });
}

void UpstreamInstance::Admit(tcp::socket socket) {
  UpstreamCounts& counts = this->state_machine.mutable_counts();
  if (this->sessions.size() >=
      this->state_machine.behaviour().max_connections) {
    ++counts.connections_refused;
    return;
  }
  ++counts.connections_opened;
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  auto session = std::make_shared<UpstreamSession>(this->shared_from_this(),
                                                   std::move(socket));
  this->sessions.insert(session.get());
  asio::co_spawn(
      this->io,
      [session]() -> asio::awaitable<void> { co_await session->Run(); },
      asio::detached);
  this->NotifyWaiters();
}

void UpstreamInstance::Close() {
  error_code ignored;
  this->restart_timer.cancel();
  this->acceptor.close(ignored);
  this->CloseAll();
}

void UpstreamInstance::CloseAll() {
  // Close() never resumes the coroutine of the session synchronously, so the
  // set does not change during this loop.
  for (UpstreamSession* session : this->sessions) {
    session->Close();
  }
}

void UpstreamInstance::Crash(Duration down_time) {
  error_code ignored;
  this->acceptor.close(ignored);
  this->state_machine.Crash();
  this->CloseAll();
  this->ScheduleRestart(down_time);
  this->NotifyWaiters();
}

void UpstreamInstance::ScheduleRestart(Duration delay) {
  this->restart_timer.expires_after(delay);
  this->restart_timer.async_wait(
      [self = this->shared_from_this(), delay](error_code error) {
        if (error) {
          return;
        }
        self->state_machine.Restart(MonotonicClock::now());
        if (self->Listen().has_error()) {
          // Another process may have taken the port: retry later.
          self->ScheduleRestart(std::max(delay, kListenRetryDelay));
          return;
        }
        self->Accept();
      });
}

void UpstreamInstance::Change(const UpstreamBehaviour& behaviour) {
  this->state_machine.Change(MonotonicClock::now(), behaviour);
  this->PerformSteps();
}

void UpstreamInstance::AddWaiter(
    std::function<bool(const UpstreamCounts&)> condition) {
  this->waiters.push_back(std::move(condition));
  this->NotifyWaiters();
}

UpstreamJobHandle UpstreamInstance::Submit(UpstreamSession& session,
                                           UpstreamJob job) {
  const UpstreamJobHandle handle =
      this->state_machine.Arrive(MonotonicClock::now(), std::move(job));
  this->owners[handle.index] = &session;
  this->PerformSteps();
  return handle;
}

void UpstreamInstance::Finish(UpstreamJobHandle job) {
  this->state_machine.Finish(MonotonicClock::now(), job);
  this->PerformSteps();
}

void UpstreamInstance::Cancel(UpstreamJobHandle job) {
  this->state_machine.Cancel(MonotonicClock::now(), job);
  this->PerformSteps();
}

void UpstreamInstance::RemoveSession(UpstreamSession& session) {
  this->sessions.erase(&session);
}

void UpstreamInstance::MaybeCorrupt(std::string& body) {
  const size_t every = this->state_machine.behaviour().corrupt_every;
  ++this->buffered_bodies;
  if (every > 0 && this->buffered_bodies % every == 0 && !body.empty()) {
    body[body.size() / 2] = static_cast<char>(~body[body.size() / 2]);
  }
}

void UpstreamInstance::PerformSteps() {
  for (const UpstreamStep& step : this->state_machine.TakeSteps()) {
    if (step.kind == UpstreamStepKind::kCrash) {
      this->Crash(this->state_machine.behaviour().down_time);
      return;
    }
    this->owners[step.job.index]->Resume(step);
  }
  this->NotifyWaiters();
}

void UpstreamInstance::NotifyWaiters() {
  std::erase_if(this->waiters, [this](const auto& condition) {
    return condition(this->state_machine.counts());
  });
}

}  // namespace basilsill::ctl

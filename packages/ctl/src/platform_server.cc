#include "basilsill/ctl/platform_server.h"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "basilsill/base/limits.h"
#include "basilsill/base/text.h"
#include "basilsill/ctl/http_server.h"
#include "platform_json.h"

namespace basilsill::ctl {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using Reply = std::optional<ServerReply>;
using ReplyAwaitable = asio::awaitable<Reply>;

constexpr std::string_view kLogPrefix = "/log/";
constexpr std::string_view kVmPrefix = "/vms/";

/// What sessions share. It outlives the server for as long as one runs.
struct Core {
  explicit Core(asio::io_context& io) : executor(io.get_executor()) {}

  asio::io_context::executor_type executor;
  PlatformState state;
  std::set<asio::steady_timer*> waiting;
  bool stopped = false;

  // Lets every long poll look again.
  void Wake() {
    for (asio::steady_timer* timer : this->waiting) {
      timer->cancel();
    }
  }
};
using CorePtr = std::shared_ptr<Core>;

// Ends at `until` or at the next change, whichever is first.
asio::awaitable<void> WaitForChange(CorePtr core, TimePoint until) {
  asio::steady_timer timer(core->executor);
  timer.expires_at(asio::steady_timer::time_point(until.time_since_epoch()));
  core->waiting.insert(&timer);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  core->waiting.erase(&timer);
}

ServerReply Rejected(unsigned status, const Failure& failure) {
  return {status, WriteFailure(failure), {}};
}

ServerReply Unavailable() {
  return Rejected(503, {FailureKind::kPlatformUnavailable, "", "switched off"});
}

ServerReply NoSuchCall() {
  return Rejected(404, {FailureKind::kNotFound, "", "no such call"});
}

bool IsStreamName(std::string_view name) {
  constexpr std::string_view allowed =
      "abcdefghijklmnopqrstuvwxyz0123456789._-";
  return !name.empty() && name.size() <= limits::kMaxNameLength &&
         name.find_first_not_of(allowed) == std::string_view::npos;
}

/// Reads a number of the query; `value` keeps its default if there is none.
bool ReadQuery(const ServerRequest& request,
               std::string_view name,
               uint64_t& value) {
  const std::string_view text = QueryValue(request.query, name);
  if (text.empty()) {
    return true;
  }
  const std::optional<uint64_t> number = ParseNumber<uint64_t>(text);
  value = number.value_or(value);
  return number.has_value();
}

TimePoint WaitLimit(uint64_t wait_ms) {
  const auto most = static_cast<uint64_t>(limits::kMaxPlatformWait.count());
  return MonotonicClock::now() + milliseconds(std::min(wait_ms, most));
}

ReplyAwaitable AnswerAppend(CorePtr core,
                            std::string stream,
                            ServerRequest request) {
  auto bodies = ParseAppend(request.body);
  if (!bodies) {
    co_return Rejected(400, bodies.error());
  }
  const uint64_t count = bodies.value().size();
  uint64_t first = 0;
  const AppendOutcome outcome =
      Append(core->state, stream, std::move(bodies.value()),
             MonotonicClock::now(), first);
  if (outcome == AppendOutcome::kDown) {
    co_return Unavailable();
  }
  if (outcome == AppendOutcome::kTooFast) {
    co_return Rejected(429, {FailureKind::kLimitReached, "", "append rate"});
  }
  core->Wake();
  const milliseconds delay = core->state.faults.append_delay;
  if (delay.count() > 0) {
    asio::steady_timer timer(core->executor, delay);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (outcome == AppendOutcome::kDropped) {
    co_return std::nullopt;
  }
  co_return ServerReply{200, WriteAppendAnswer(first, first + count), {}};
}

ReplyAwaitable AnswerRead(CorePtr core,
                          std::string stream,
                          ServerRequest request) {
  uint64_t from = 0;
  uint64_t max = limits::kMaxReadRecords;
  uint64_t wait_ms = 0;
  if (!ReadQuery(request, "from", from) || !ReadQuery(request, "max", max) ||
      !ReadQuery(request, "wait_ms", wait_ms)) {
    co_return Rejected(400, {FailureKind::kOutOfRange, "", "not a number"});
  }
  max = std::clamp<uint64_t>(max, 1, limits::kMaxReadRecords);
  ++core->state.stats.read_calls;
  const TimePoint until = WaitLimit(wait_ms);
  while (!core->stopped) {
    if (core->state.faults.down) {
      co_return Unavailable();
    }
    const LogStream& log = core->state.streams[stream];
    const StreamBounds bounds = log.Bounds();
    if (from < bounds.first || from > bounds.end) {
      co_return ServerReply{
          from < bounds.first ? 410U : 416U, WriteBounds(bounds), {}};
    }
    if (from < bounds.end || MonotonicClock::now() >= until) {
      co_return ServerReply{
          200, WriteRecords(log, from, max, core->state.stats), {}};
    }
    co_await WaitForChange(core, until);
  }
  co_return std::nullopt;
}

ReplyAwaitable AnswerVmList(CorePtr core, ServerRequest request) {
  uint64_t since = 0;
  uint64_t wait_ms = 0;
  if (!ReadQuery(request, "since", since) ||
      !ReadQuery(request, "wait_ms", wait_ms)) {
    co_return Rejected(400, {FailureKind::kOutOfRange, "", "not a number"});
  }
  ++core->state.stats.vm_list_calls;
  const TimePoint until = WaitLimit(wait_ms);
  while (!core->stopped) {
    const PlatformFaults& faults = core->state.faults;
    if (faults.vms_down) {
      co_return Unavailable();
    }
    const TimePoint now = MonotonicClock::now();
    const VmTable::Version& seen = core->state.vms.At(now - faults.vm_list_lag);
    if (seen.number > since || now >= until) {
      co_return ServerReply{200, WriteVmList(seen), {}};
    }
    const auto change = core->state.vms.ChangeAfter(seen.number);
    co_await WaitForChange(
        core, change ? std::min(until, *change + faults.vm_list_lag) : until);
  }
  co_return std::nullopt;
}

ServerReply AnswerVm(Core& core,
                     const std::string& name,
                     const ServerRequest& request) {
  const TimePoint now = MonotonicClock::now();
  if (request.method == "PUT") {
    auto vm = ParseVm(name, request.body);
    if (!vm) {
      return Rejected(400, vm.error());
    }
    core.state.vms.Put(std::move(vm.value()), now);
  } else if (request.method != "DELETE") {
    return NoSuchCall();
  } else if (!core.state.vms.Remove(name, now)) {
    return Rejected(404, {FailureKind::kNotFound, name, "no such VM"});
  }
  core.Wake();
  return {200, WriteVmList(core.state.vms.At(now)), {}};
}

ServerReply AnswerFaults(Core& core, const ServerRequest& request) {
  if (request.method == "PUT") {
    const auto faults = ParseFaults(request.body, core.state.faults);
    if (!faults) {
      return Rejected(400, faults.error());
    }
    SetFaults(core.state, faults.value());
    core.Wake();
  } else if (request.method != "GET") {
    return NoSuchCall();
  }
  return {200, WriteFaults(core.state.faults), {}};
}

ReplyAwaitable Answer(CorePtr core, ServerRequest request) {
  const std::string path = request.path;
  const bool is_get = request.method == "GET";
  if (path.starts_with(kLogPrefix) &&
      IsStreamName(path.substr(kLogPrefix.size()))) {
    std::string stream = path.substr(kLogPrefix.size());
    if (is_get) {
      return AnswerRead(std::move(core), std::move(stream), std::move(request));
    }
    if (request.method == "POST") {
      return AnswerAppend(std::move(core), std::move(stream),
                          std::move(request));
    }
  }
  if (is_get && path == "/vms") {
    return AnswerVmList(std::move(core), std::move(request));
  }
  return [](CorePtr core, ServerRequest request) -> ReplyAwaitable {
    if (request.path.starts_with(kVmPrefix) &&
        request.path.size() > kVmPrefix.size()) {
      co_return AnswerVm(*core, request.path.substr(kVmPrefix.size()), request);
    }
    if (request.path == "/faults") {
      co_return AnswerFaults(*core, request);
    }
    if (request.path == "/stats" && request.method == "GET") {
      co_return ServerReply{200, WriteStats(core->state.stats), {}};
    }
    co_return NoSuchCall();
  }(std::move(core), std::move(request));
}

}  // namespace

struct PlatformServer::Service {
  CorePtr core;
  HttpServer server;
};

Result<PlatformServer> PlatformServer::Listen(asio::io_context& io,
                                              const Endpoint& endpoint,
                                              const PlatformFaults& faults) {
  auto core = std::make_shared<Core>(io);
  basilsill::ctl::SetFaults(core->state, faults);
  auto server = HttpServer::Listen(io, endpoint, [core](ServerRequest request) {
    return Answer(core, std::move(request));
  });
  if (!server) {
    return server.error();
  }
  return PlatformServer(std::make_unique<Service>(
      Service{std::move(core), std::move(server.value())}));
}

PlatformServer::PlatformServer(std::unique_ptr<Service> started)
    : service(std::move(started)) {}
PlatformServer::PlatformServer(PlatformServer&& other) noexcept = default;

PlatformServer& PlatformServer::operator=(PlatformServer&& other) noexcept {
  std::swap(this->service, other.service);
  return *this;
}

PlatformServer::~PlatformServer() {
  if (this->service != nullptr) {
    this->Stop();
  }
}

Endpoint PlatformServer::endpoint() const {
  return this->service->server.endpoint();
}

const PlatformState& PlatformServer::state() const {
  return this->service->core->state;
}

void PlatformServer::SetFaults(const PlatformFaults& faults) {
  basilsill::ctl::SetFaults(this->service->core->state, faults);
  this->service->core->Wake();
}

void PlatformServer::PutVm(ListedVm vm) {
  this->service->core->state.vms.Put(std::move(vm), MonotonicClock::now());
  this->service->core->Wake();
}

void PlatformServer::RemoveVm(const std::string& name) {
  this->service->core->state.vms.Remove(name, MonotonicClock::now());
  this->service->core->Wake();
}

uint64_t PlatformServer::Append(const std::string& stream,
                                std::vector<std::string> bodies) {
  PlatformState& state = this->service->core->state;
  LogStream& log = state.streams[stream];
  const uint64_t first = log.Append(std::move(bodies));
  log.Trim(state.faults.retention_records);
  this->service->core->Wake();
  return first;
}

void PlatformServer::Stop() {
  this->service->core->stopped = true;
  this->service->server.Stop();
  this->service->core->Wake();
}

}  // namespace basilsill::ctl

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

/// State that all calls share. Calls in progress hold it alive after the server
/// is destroyed.
struct SharedState {
  explicit SharedState(asio::io_context& io) : executor(io.get_executor()) {}

  asio::io_context::executor_type executor;
  PlatformState state;
  std::set<asio::steady_timer*> long_poll_timers;
  bool stopped = false;

  // Makes every long poll check its condition again.
  void WakeLongPolls() {
    for (asio::steady_timer* timer : this->long_poll_timers) {
      timer->cancel();
    }
  }
};
using SharedStatePtr = std::shared_ptr<SharedState>;

// Waits for the next change, at most until `until`.
asio::awaitable<void> WaitForChange(SharedStatePtr shared, TimePoint until) {
  asio::steady_timer timer(shared->executor);
  timer.expires_at(asio::steady_timer::time_point(until.time_since_epoch()));
  shared->long_poll_timers.insert(&timer);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  shared->long_poll_timers.erase(&timer);
}

ServerReply Rejected(unsigned status, const Failure& failure) {
  return {status, WriteFailure(failure), {}};
}

ServerReply Unavailable() {
  return Rejected(503, {FailureKind::kPlatformUnavailable, "",
                        "unavailable because of an injected fault"});
}

ServerReply NoSuchEndpoint() {
  return Rejected(404, {FailureKind::kNotFound, "", "no such endpoint"});
}

bool IsStreamName(std::string_view name) {
  constexpr std::string_view allowed =
      "abcdefghijklmnopqrstuvwxyz0123456789._-";
  return !name.empty() && name.size() <= limits::kMaxNameLength &&
         name.find_first_not_of(allowed) == std::string_view::npos;
}

/// Reads the number `name` of the query. `value` is unchanged if the query does
/// not have it.
/// @returns false if it is not a number.
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

TimePoint WaitDeadline(uint64_t wait_ms) {
  const auto most = static_cast<uint64_t>(limits::kMaxPlatformWait.count());
  return MonotonicClock::now() + milliseconds(std::min(wait_ms, most));
}

ReplyAwaitable AnswerAppend(SharedStatePtr shared,
                            std::string stream,
                            ServerRequest request) {
  auto bodies = ParseAppend(request.body);
  if (!bodies) {
    co_return Rejected(400, bodies.error());
  }
  const uint64_t count = bodies.value().size();
  uint64_t first = 0;
  const AppendOutcome outcome =
      Append(shared->state, stream, std::move(bodies.value()),
             MonotonicClock::now(), first);
  if (outcome == AppendOutcome::kDown) {
    co_return Unavailable();
  }
  if (outcome == AppendOutcome::kRateLimited) {
    co_return Rejected(
        429, {FailureKind::kLimitReached, "", "append rate limit exceeded"});
  }
  shared->WakeLongPolls();
  const milliseconds delay = shared->state.faults.append_delay;
  if (delay.count() > 0) {
    asio::steady_timer timer(shared->executor, delay);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (outcome == AppendOutcome::kDropped) {
    co_return std::nullopt;
  }
  co_return ServerReply{200, WriteAppendAnswer(first, first + count), {}};
}

ReplyAwaitable AnswerRead(SharedStatePtr shared,
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
  ++shared->state.stats.read_calls;
  const TimePoint until = WaitDeadline(wait_ms);
  while (!shared->stopped) {
    if (shared->state.faults.down) {
      co_return Unavailable();
    }
    const LogStream& log = shared->state.streams[stream];
    const StreamBounds bounds = log.Bounds();
    if (from < bounds.first || from > bounds.end) {
      co_return ServerReply{
          from < bounds.first ? 410U : 416U, WriteBounds(bounds), {}};
    }
    if (from < bounds.end || MonotonicClock::now() >= until) {
      co_return ServerReply{
          200, WriteRecords(log, from, max, shared->state.stats), {}};
    }
    co_await WaitForChange(shared, until);
  }
  co_return std::nullopt;
}

ReplyAwaitable AnswerVmList(SharedStatePtr shared, ServerRequest request) {
  uint64_t since = 0;
  uint64_t wait_ms = 0;
  if (!ReadQuery(request, "since", since) ||
      !ReadQuery(request, "wait_ms", wait_ms)) {
    co_return Rejected(400, {FailureKind::kOutOfRange, "", "not a number"});
  }
  ++shared->state.stats.vm_list_calls;
  const TimePoint until = WaitDeadline(wait_ms);
  while (!shared->stopped) {
    const PlatformFaults& faults = shared->state.faults;
    if (faults.vms_down) {
      co_return Unavailable();
    }
    const TimePoint now = MonotonicClock::now();
    const VmTable::Version& seen =
        shared->state.vms.At(now - faults.vm_list_lag);
    if (seen.number > since || now >= until) {
      co_return ServerReply{200, WriteVmList(seen), {}};
    }
    const auto change = shared->state.vms.TimeOfChangeAfter(seen.number);
    co_await WaitForChange(
        shared, change ? std::min(until, *change + faults.vm_list_lag) : until);
  }
  co_return std::nullopt;
}

ServerReply AnswerVm(SharedState& shared,
                     const std::string& name,
                     const ServerRequest& request) {
  const TimePoint now = MonotonicClock::now();
  if (request.method == "PUT") {
    auto vm = ParseVm(name, request.body);
    if (!vm) {
      return Rejected(400, vm.error());
    }
    shared.state.vms.Put(std::move(vm.value()), now);
  } else if (request.method != "DELETE") {
    return NoSuchEndpoint();
  } else if (!shared.state.vms.Remove(name, now)) {
    return Rejected(404, {FailureKind::kNotFound, name, "no such VM"});
  }
  shared.WakeLongPolls();
  return {200, WriteVmList(shared.state.vms.At(now)), {}};
}

ServerReply AnswerFaults(SharedState& shared, const ServerRequest& request) {
  if (request.method == "PUT") {
    const auto faults = ParseFaults(request.body, shared.state.faults);
    if (!faults) {
      return Rejected(400, faults.error());
    }
    SetFaults(shared.state, faults.value());
    shared.WakeLongPolls();
  } else if (request.method != "GET") {
    return NoSuchEndpoint();
  }
  return {200, WriteFaults(shared.state.faults), {}};
}

ReplyAwaitable Answer(SharedStatePtr shared, ServerRequest request) {
  const std::string path = request.path;
  const bool is_get = request.method == "GET";
  if (path.starts_with(kLogPrefix) &&
      IsStreamName(path.substr(kLogPrefix.size()))) {
    std::string stream = path.substr(kLogPrefix.size());
    if (is_get) {
      return AnswerRead(std::move(shared), std::move(stream),
                        std::move(request));
    }
    if (request.method == "POST") {
      return AnswerAppend(std::move(shared), std::move(stream),
                          std::move(request));
    }
  }
  if (is_get && path == "/vms") {
    return AnswerVmList(std::move(shared), std::move(request));
  }
  return [](SharedStatePtr shared, ServerRequest request) -> ReplyAwaitable {
    if (request.path.starts_with(kVmPrefix) &&
        request.path.size() > kVmPrefix.size()) {
      co_return AnswerVm(*shared, request.path.substr(kVmPrefix.size()),
                         request);
    }
    if (request.path == "/faults") {
      co_return AnswerFaults(*shared, request);
    }
    if (request.path == "/stats" && request.method == "GET") {
      co_return ServerReply{200, WriteStats(shared->state.stats), {}};
    }
    co_return NoSuchEndpoint();
  }(std::move(shared), std::move(request));
}

}  // namespace

struct PlatformServer::Service {
  SharedStatePtr shared;
  HttpServer server;
};

Result<PlatformServer> PlatformServer::Listen(asio::io_context& io,
                                              const Endpoint& endpoint,
                                              const PlatformFaults& faults) {
  auto shared = std::make_shared<SharedState>(io);
  basilsill::ctl::SetFaults(shared->state, faults);
  auto server =
      HttpServer::Listen(io, endpoint, [shared](ServerRequest request) {
        return Answer(shared, std::move(request));
      });
  if (!server) {
    return server.error();
  }
  return PlatformServer(std::make_unique<Service>(
      Service{std::move(shared), std::move(server.value())}));
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
  return this->service->shared->state;
}

void PlatformServer::SetFaults(const PlatformFaults& faults) {
  basilsill::ctl::SetFaults(this->service->shared->state, faults);
  this->service->shared->WakeLongPolls();
}

void PlatformServer::PutVm(ListedVm vm) {
  this->service->shared->state.vms.Put(std::move(vm), MonotonicClock::now());
  this->service->shared->WakeLongPolls();
}

void PlatformServer::RemoveVm(const std::string& name) {
  this->service->shared->state.vms.Remove(name, MonotonicClock::now());
  this->service->shared->WakeLongPolls();
}

uint64_t PlatformServer::Append(const std::string& stream,
                                std::vector<std::string> bodies) {
  PlatformState& state = this->service->shared->state;
  LogStream& log = state.streams[stream];
  const uint64_t first = log.Append(std::move(bodies));
  log.Trim(state.faults.retention_records);
  this->service->shared->WakeLongPolls();
  return first;
}

void PlatformServer::Stop() {
  this->service->shared->stopped = true;
  this->service->server.Stop();
  this->service->shared->WakeLongPolls();
}

}  // namespace basilsill::ctl

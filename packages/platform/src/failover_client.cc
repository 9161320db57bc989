#include "basilsill/platform/failover_client.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace basilsill {
namespace {

namespace asio = boost::asio;

constexpr unsigned kServiceUnavailable = 503;

asio::awaitable<void> WaitUntil(asio::any_io_executor executor,
                                TimePoint when) {
  asio::steady_timer timer(executor);
  timer.expires_at(asio::steady_timer::time_point(when.time_since_epoch()));
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

HttpFailure NoEndpointAvailable() {
  return {{FailureKind::kPlatformUnavailable, "",
           "every endpoint is backing off after failures"},
          false};
}

// Returns the failure if `result` is not an answer that passes `check`.
std::optional<HttpFailure> CheckOutcome(const HttpResult& result,
                                        const Endpoint& endpoint,
                                        const AnswerCheck& check) {
  if (!result) {
    HttpFailure failure = result.error();
    if (failure.kind == FailureKind::kNetwork) {
      failure.kind = FailureKind::kPlatformUnavailable;
    }
    return failure;
  }
  if (result.value().status == kServiceUnavailable) {
    return HttpFailure{
        {FailureKind::kPlatformUnavailable, ToString(endpoint), "answered 503"},
        false};
  }
  if (auto fault = check(result.value())) {
    fault->path = ToString(endpoint) + fault->path;
    return HttpFailure{*std::move(fault), true};
  }
  return std::nullopt;
}

}  // namespace

struct FailoverClient::Core {
  Core(asio::any_io_executor on, FailoverSettings settings)
      : http(on),
        executor(std::move(on)),
        call_timeout(settings.call_timeout),
        endpoints(std::move(settings.endpoints),
                  settings.backoff,
                  settings.seed.value_or(std::random_device{}())) {}

  HttpClient http;
  asio::any_io_executor executor;
  std::chrono::milliseconds call_timeout;
  EndpointSet endpoints;
  bool closed = false;
};

FailoverClient::FailoverClient(std::shared_ptr<Core> started)
    : core(std::move(started)) {}

Result<FailoverClient> FailoverClient::Create(asio::any_io_executor executor,
                                              FailoverSettings settings) {
  if (settings.endpoints.empty()) {
    return Failure{FailureKind::kMissingField, "/endpoints",
                   "at least one endpoint is needed"};
  }
  return FailoverClient(
      std::make_shared<Core>(std::move(executor), std::move(settings)));
}

asio::awaitable<HttpResult> FailoverClient::Call(HttpCall call,
                                                 AnswerCheck check) {
  return CallOn(this->core, std::move(call), std::move(check));
}

asio::awaitable<HttpResult> FailoverClient::CallOn(std::shared_ptr<Core> core,
                                                   HttpCall call,
                                                   AnswerCheck check) {
  EndpointSet& endpoints = core->endpoints;
  const TimePoint start = MonotonicClock::now();
  const TimePoint available_at = endpoints.NextAvailableAt(start);
  if (call.repeatable && available_at > start) {
    co_await WaitUntil(core->executor,
                       std::min(available_at, start + call.timeout));
  }
  HttpFailure last = NoEndpointAvailable();
  std::vector<bool> tried(endpoints.size(), false);
  while (!core->closed) {
    const auto position = endpoints.Choose(MonotonicClock::now(), tried);
    if (!position) {
      break;
    }
    tried[*position] = true;
    const Endpoint endpoint = endpoints.At(*position);
    HttpResult result = co_await core->http.Call(endpoint, call);
    auto failure = CheckOutcome(result, endpoint, check);
    if (!failure) {
      endpoints.ReportAnswer(*position);
      co_return result;
    }
    endpoints.ReportFailure(*position, MonotonicClock::now());
    last = *std::move(failure);
    if (last.sent && !call.repeatable) {
      break;
    }
  }
  co_return last;
}

std::chrono::milliseconds FailoverClient::call_timeout() const {
  return this->core->call_timeout;
}

void FailoverClient::Close() {
  this->core->closed = true;
  this->core->http.Close();
}

}  // namespace basilsill

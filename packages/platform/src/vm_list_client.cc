#include "basilsill/platform/vm_list_client.h"

#include <algorithm>
#include <utility>

#include "platform_answers.h"

namespace basilsill {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr unsigned kOk = 200;

std::optional<Failure> CheckVmListAnswer(const HttpAnswer& http, VmList& list) {
  if (http.status != kOk) {
    return Failure{FailureKind::kPlatformRejected, "",
                   "answered " + std::to_string(http.status)};
  }
  auto parsed = ParseVmList(http.body);
  if (!parsed) {
    return parsed.error();
  }
  list = std::move(parsed.value());
  return std::nullopt;
}

asio::awaitable<Result<VmList>> WatchOn(FailoverClient client,
                                        uint64_t since,
                                        milliseconds wait) {
  wait = std::clamp(wait, milliseconds(0), limits::kMaxPlatformWait);
  HttpCall call;
  call.target = "/vms?since=" + std::to_string(since) +
                "&wait_ms=" + std::to_string(wait.count());
  call.timeout = wait + client.call_timeout();
  VmList list;
  AnswerCheck check = [&list](const HttpAnswer& http) {
    return CheckVmListAnswer(http, list);
  };
  const HttpResult result =
      co_await client.Call(std::move(call), std::move(check));
  if (!result) {
    co_return Failure(result.error());
  }
  co_return std::move(list);
}

}  // namespace

VmListClient::VmListClient(FailoverClient started)
    : client(std::move(started)) {}

Result<VmListClient> VmListClient::Create(asio::any_io_executor executor,
                                          FailoverSettings settings) {
  auto client =
      FailoverClient::Create(std::move(executor), std::move(settings));
  if (!client) {
    return client.error();
  }
  return VmListClient(std::move(client.value()));
}

asio::awaitable<Result<VmList>> VmListClient::Watch(uint64_t since,
                                                    milliseconds wait) {
  return WatchOn(this->client, since, wait);
}

void VmListClient::Close() {
  this->client.Close();
}

}  // namespace basilsill

#include "resource_client.h"

#include <algorithm>
#include <iomanip>
#include <random>
#include <sstream>
#include <utility>

namespace basilsill::ctl {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kApiPrefix = "/api/v1/";
/// A change id has this many words of 32 random bits.
constexpr int kChangeIdWords = 4;
constexpr unsigned kFirstError = 300;
constexpr unsigned kFirstServerError = 500;

std::string TargetOf(const ResourcePath& path) {
  return std::string(kApiPrefix) + path.kind + "/" + path.name;
}

std::string EntityTag(uint64_t version) {
  return "\"" + std::to_string(version) + "\"";
}

// A conflict is detected by the failure kind, because HTTP status 409 also
// means that the resource is in use.
ExitStatus ExitStatusFor(unsigned status,
                         const std::vector<Failure>& failures) {
  if (status >= kFirstServerError) {
    return ExitStatus::kUnavailable;
  }
  return failures.front().kind == FailureKind::kConflict
             ? ExitStatus::kConflict
             : ExitStatus::kRejected;
}

ApiError MakeError(ExitStatus exit, std::vector<Failure> failures) {
  return {failures.front(), exit, std::move(failures)};
}

ApiError Unresolved(const Failure& cause) {
  return MakeError(
      ExitStatus::kUnavailable,
      {{FailureKind::kUnresolved, cause.path,
        cause.detail + "; it is unknown whether the change took effect"}});
}

// Returns a random id that identifies one change on all nodes and in all
// retries.
std::string NewChangeId() {
  std::random_device random;
  std::ostringstream id;
  id << std::hex << std::setfill('0');
  for (int i = 0; i < kChangeIdWords; ++i) {
    id << std::setw(2 * sizeof(uint32_t)) << random();
  }
  return id.str();
}

HttpCall MakeChange(HttpMethod method, const ResourcePath& path) {
  HttpCall call;
  call.method = method;
  call.target = TargetOf(path);
  call.headers.push_back({"Change-Id", NewChangeId()});
  call.repeatable = false;
  return call;
}

bool IsUnresolved(const std::vector<Failure>& failures) {
  return std::any_of(failures.begin(), failures.end(),
                     [](const Failure& failure) {
                       return failure.kind == FailureKind::kUnresolved;
                     });
}

template <typename T>
ApiResult<T> ParseAnswer(const ApiResult<HttpAnswer>& answer,
                         Result<T> (*parse)(std::string_view)) {
  if (!answer) {
    return answer.error();
  }
  auto parsed = parse(answer.value().body);
  if (!parsed) {
    return MakeError(ExitStatus::kFailed, {parsed.error()});
  }
  return std::move(parsed.value());
}

}  // namespace

ResourceClient::ResourceClient(asio::any_io_executor executor,
                               std::vector<Endpoint> endpoints,
                               std::chrono::milliseconds call_timeout)
    : http(std::move(executor)),
      nodes(std::move(endpoints)),
      timeout(call_timeout) {}

// Sends the call to each node once, until one answers with a status below 500.
// The change id makes it safe to send a change to the next node. Once a node
// may have accepted the change, the result is unresolved even if the other
// nodes can't be reached.
asio::awaitable<ApiResult<HttpAnswer>> ResourceClient::CallEachNode(
    const HttpCall& call) {
  ApiError last =
      MakeError(ExitStatus::kUsage,
                {{FailureKind::kMissingField, "--node", "is required"}});
  bool may_have_applied = false;
  for (const Endpoint& node : this->nodes) {
    const HttpResult result = co_await this->http.Call(node, call);
    if (!result) {
      may_have_applied =
          may_have_applied || (result.error().sent && !call.repeatable);
      last = MakeError(ExitStatus::kUnavailable, {result.error()});
      continue;
    }
    const HttpAnswer& answer = result.value();
    if (answer.status < kFirstError) {
      co_return answer;
    }
    auto failures = ParseFailures(answer.status, answer.body);
    const ExitStatus exit = ExitStatusFor(answer.status, failures);
    last = MakeError(exit, std::move(failures));
    if (answer.status < kFirstServerError) {
      co_return last;
    }
    may_have_applied = may_have_applied || IsUnresolved(last.failures);
  }
  if (may_have_applied) {
    co_return Unresolved(last);
  }
  co_return last;
}

asio::awaitable<ApiResult<HttpAnswer>> ResourceClient::Call(HttpCall call) {
  call.timeout = this->timeout;
  auto result = co_await this->CallEachNode(call);
  if (!result && result.error().kind == FailureKind::kUnresolved) {
    // A node that failed may be available again, or may now know the outcome.
    result = co_await this->CallEachNode(call);
    if (!result && result.error().exit == ExitStatus::kUnavailable) {
      co_return Unresolved(result.error());
    }
  }
  co_return result;
}

asio::awaitable<ApiResult<std::optional<ResourceAnswer>>> ResourceClient::Get(
    ResourcePath path) {
  HttpCall call;
  call.target = TargetOf(path);
  const auto answer = co_await this->Call(std::move(call));
  if (!answer && answer.error().kind == FailureKind::kNotFound) {
    co_return std::optional<ResourceAnswer>();
  }
  auto read = ParseAnswer(answer, &ParseResource);
  if (!read) {
    co_return read.error();
  }
  co_return std::optional(std::move(read.value()));
}

asio::awaitable<ApiResult<ResourceList>> ResourceClient::List(
    std::string kind) {
  HttpCall call;
  call.target = std::string(kApiPrefix) + kind;
  co_return ParseAnswer(co_await this->Call(std::move(call)),
                        &ParseResourceList);
}

asio::awaitable<ApiResult<ResourceAnswer>> ResourceClient::Put(
    ResourcePath path,
    std::string spec,
    std::optional<uint64_t> base) {
  HttpCall call = MakeChange(HttpMethod::kPut, path);
  call.headers.push_back({"Content-Type", "application/json"});
  call.headers.push_back(base ? HttpHeader{"If-Match", EntityTag(*base)}
                              : HttpHeader{"If-None-Match", "*"});
  call.body = std::move(spec);
  co_return ParseAnswer(co_await this->Call(std::move(call)), &ParseResource);
}

asio::awaitable<ApiResult<ExitStatus>> ResourceClient::Delete(ResourcePath path,
                                                              uint64_t base) {
  HttpCall call = MakeChange(HttpMethod::kDelete, path);
  call.headers.push_back({"If-Match", EntityTag(base)});
  const auto answer = co_await this->Call(std::move(call));
  if (!answer) {
    co_return answer.error();
  }
  co_return ExitStatus::kOk;
}

asio::awaitable<ApiResult<std::string>> ResourceClient::Status() {
  HttpCall call;
  call.target = std::string(kApiPrefix) + "status";
  const auto answer = co_await this->Call(std::move(call));
  if (!answer) {
    co_return answer.error();
  }
  co_return answer.value().body;
}

}  // namespace basilsill::ctl

#include "basilsill/platform/log_client.h"

#include <algorithm>
#include <utility>

#include "platform_answers.h"

namespace basilsill {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr unsigned kOk = 200;
constexpr unsigned kGone = 410;
constexpr unsigned kRangeNotSatisfiable = 416;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kFirstClientError = 400;
constexpr unsigned kFirstServerError = 500;

Failure StatusFailure(FailureKind kind, const HttpAnswer& answer) {
  return {kind, "", "answered " + std::to_string(answer.status)};
}

std::optional<Failure> CheckRecords(const std::vector<std::string>& records) {
  size_t bytes = 0;
  size_t longest = 0;
  for (const std::string& record : records) {
    bytes += record.size();
    longest = std::max(longest, record.size());
  }
  if (records.empty() || records.size() > limits::kMaxAppendRecords ||
      bytes > limits::kMaxAppendBytes || longest > limits::kMaxLogRecordBytes) {
    return Failure{FailureKind::kOutOfRange, "/records",
                   std::to_string(records.size()) + " records of " +
                       std::to_string(bytes) + " bytes, the longest " +
                       std::to_string(longest)};
  }
  return std::nullopt;
}

// Returns whether `answer` is a refusal (4xx), which the protocol defines as
// having no effect. After any other answer than success, it is unknown whether
// an append took effect.
bool IsRefusal(const HttpAnswer& answer) {
  return answer.status >= kFirstClientError &&
         answer.status < kFirstServerError;
}

// Parses the answer to an append. Only a well-formed success or a refusal
// passes.
std::optional<Failure> CheckAppend(const HttpAnswer& http,
                                   size_t count,
                                   AppendAnswer& answer) {
  if (IsRefusal(http)) {
    return std::nullopt;
  }
  if (http.status != kOk) {
    return StatusFailure(FailureKind::kPlatformRejected, http);
  }
  auto parsed = ParseAppendAnswer(http.body, count);
  if (!parsed) {
    return parsed.error();
  }
  answer = parsed.value();
  return std::nullopt;
}

/// Parsed answer to a read. `bounds` is set if the offset was out of range.
struct ParsedRead {
  ReadAnswer answer;
  LogBounds bounds;
};

std::optional<Failure> CheckRead(const HttpAnswer& http,
                                 uint64_t from,
                                 size_t max,
                                 ParsedRead& parsed_read) {
  if (http.status == kOk) {
    auto parsed = ParseReadAnswer(http.body, from, max);
    if (!parsed) {
      return parsed.error();
    }
    parsed_read.answer = std::move(parsed.value());
    return std::nullopt;
  }
  if (http.status == kGone || http.status == kRangeNotSatisfiable) {
    const auto parsed = ParseBounds(http.body);
    if (!parsed) {
      return parsed.error();
    }
    parsed_read.bounds = parsed.value();
    return std::nullopt;
  }
  if (IsRefusal(http)) {
    return std::nullopt;
  }
  return StatusFailure(FailureKind::kPlatformRejected, http);
}

ReadFailure RefusedRead(const HttpAnswer& http, const LogBounds& bounds) {
  FailureKind kind = FailureKind::kPlatformRejected;
  if (http.status == kGone) {
    kind = FailureKind::kTrimmed;
  } else if (http.status == kRangeNotSatisfiable) {
    kind = FailureKind::kOutOfRange;
  }
  return {StatusFailure(kind, http), bounds};
}

HttpCall MakeReadCall(const std::string& stream,
                      uint64_t from,
                      size_t max,
                      milliseconds wait) {
  HttpCall call;
  call.target = "/log/" + stream + "?from=" + std::to_string(from) +
                "&max=" + std::to_string(max) +
                "&wait_ms=" + std::to_string(wait.count());
  return call;
}

asio::awaitable<Result<AppendAnswer>> AppendOn(
    FailoverClient client,
    std::string stream,
    std::vector<std::string> records) {
  if (auto fault = CheckRecords(records)) {
    co_return *std::move(fault);
  }
  HttpCall call;
  call.method = HttpMethod::kPost;
  call.target = "/log/" + stream;
  call.headers = {{"Content-Type", "application/json"}};
  call.body = WriteAppend(records);
  call.repeatable = false;
  call.timeout = client.call_timeout();
  AppendAnswer answer;
  const size_t count = records.size();
  AnswerCheck check = [&answer, count](const HttpAnswer& http) {
    return CheckAppend(http, count, answer);
  };
  const HttpResult result =
      co_await client.Call(std::move(call), std::move(check));
  if (!result) {
    Failure failure = result.error();
    if (result.error().sent) {
      failure.kind = FailureKind::kUnresolved;
    }
    co_return failure;
  }
  if (result.value().status == kTooManyRequests) {
    co_return StatusFailure(FailureKind::kLimitReached, result.value());
  }
  if (result.value().status != kOk) {
    co_return StatusFailure(FailureKind::kPlatformRejected, result.value());
  }
  co_return answer;
}

asio::awaitable<ReadResult> ReadOn(FailoverClient client,
                                   std::string stream,
                                   uint64_t from,
                                   size_t max,
                                   milliseconds wait) {
  max = std::clamp<size_t>(max, 1, limits::kMaxReadRecords);
  wait = std::clamp(wait, milliseconds(0), limits::kMaxPlatformWait);
  ParsedRead parsed_read;
  AnswerCheck check = [&parsed_read, from, max](const HttpAnswer& http) {
    return CheckRead(http, from, max, parsed_read);
  };
  HttpCall call = MakeReadCall(stream, from, max, wait);
  call.timeout = wait + client.call_timeout();
  const HttpResult result =
      co_await client.Call(std::move(call), std::move(check));
  if (!result) {
    co_return ReadFailure{result.error(), {}};
  }
  if (result.value().status != kOk) {
    co_return RefusedRead(result.value(), parsed_read.bounds);
  }
  co_return std::move(parsed_read.answer);
}

}  // namespace

LogClient::LogClient(FailoverClient started) : client(std::move(started)) {}

Result<LogClient> LogClient::Create(asio::any_io_executor executor,
                                    FailoverSettings settings) {
  auto client =
      FailoverClient::Create(std::move(executor), std::move(settings));
  if (!client) {
    return client.error();
  }
  return LogClient(std::move(client.value()));
}

asio::awaitable<Result<AppendAnswer>> LogClient::Append(
    std::string stream,
    std::vector<std::string> records) {
  return AppendOn(this->client, std::move(stream), std::move(records));
}

asio::awaitable<ReadResult> LogClient::Read(std::string stream,
                                            uint64_t from,
                                            size_t max,
                                            milliseconds wait) {
  return ReadOn(this->client, std::move(stream), from, max, wait);
}

void LogClient::Close() {
  this->client.Close();
}

}  // namespace basilsill

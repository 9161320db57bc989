#include "load_executions.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include "upstream_request.h"

namespace basilsill::ctl {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using boost::system::error_code;

constexpr auto kFetchTimeout = std::chrono::seconds(10);
constexpr size_t kMaxStatsBytes = size_t{256} * 1024 * 1024;
constexpr unsigned kHttp11 = 11;

using Response = http::response_parser<http::string_body>;

// Fetches the counts of one upstream. The steps are chained so that one
// timeout covers the whole exchange.
Result<std::string> Fetch(const LoadEndpoint& endpoint) {
  asio::io_context io;
  boost::beast::tcp_stream stream(io);
  stream.expires_after(kFetchTimeout);
  http::request<http::empty_body> request(http::verb::get,
                                          std::string(kStatsPath), kHttp11);
  request.set(http::field::host, endpoint.address);
  boost::beast::flat_buffer buffer;
  Response response;
  response.body_limit(kMaxStatsBytes);
  error_code outcome;
  const asio::ip::tcp::endpoint address(
      asio::ip::make_address(endpoint.address), endpoint.port);
  const auto on_read = [&](error_code error, size_t) { outcome = error; };
  const auto on_write = [&](error_code error, size_t) {
    outcome = error;
    if (!error) {
      http::async_read(stream, buffer, response, on_read);
    }
  };
  stream.async_connect(address, [&](error_code error) {
    outcome = error;
    if (!error) {
      http::async_write(stream, request, on_write);
    }
  });
  io.run();
  if (outcome) {
    return Failure{FailureKind::kNetwork, endpoint.address, outcome.message()};
  }
  return response.get().body();
}

}  // namespace

Result<void> AddExecutions(std::string_view stats, LoadExecutions& executions) {
  const Failure not_stats{
      FailureKind::kSyntax, "executions",
      "expected the execution counts of an emulated upstream"};
  error_code error;
  const json::value value = json::parse(json::string_view(stats), error);
  if (error || !value.is_object()) {
    return not_stats;
  }
  const json::value* keys = value.get_object().if_contains("executions");
  if (keys == nullptr || !keys->is_object()) {
    return not_stats;
  }
  for (const auto& [key, count] : keys->get_object()) {
    executions[std::string(key)] += count.to_number<uint64_t>(error);
    if (error) {
      return not_stats;
    }
  }
  return boost::outcome_v2::success();
}

LoadExecutionReport CompareExecutions(const std::vector<LoadKeyOutcome>& keys,
                                      const LoadExecutions& executions) {
  LoadExecutionReport report;
  for (const LoadKeyOutcome& outcome : keys) {
    const auto found = executions.find(outcome.key);
    const uint64_t ran = found == executions.end() ? 0 : found->second;
    const bool right = outcome.verdict == LoadVerdict::kRight;
    ++report.keys;
    report.ran_once += ran == 1 ? 1 : 0;
    report.ran_twice += ran > 1 ? 1 : 0;
    report.not_run_but_ran += outcome.promised_not_run && ran > 0 ? 1 : 0;
    report.right_but_not_run += right && ran == 0 ? 1 : 0;
  }
  return report;
}

LoadExecutions FetchExecutions(const std::vector<LoadEndpoint>& endpoints,
                               uint64_t& unreachable) {
  LoadExecutions executions;
  unreachable = 0;
  for (const LoadEndpoint& endpoint : endpoints) {
    const auto stats = Fetch(endpoint);
    if (stats.has_error() ||
        AddExecutions(stats.value(), executions).has_error()) {
      ++unreachable;
    }
  }
  return executions;
}

}  // namespace basilsill::ctl

#include "load_query.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "basilsill/base/text.h"
#include "rate_limit_header.h"
#include "timeout.h"
#include "upstream_answer.h"
#include "upstream_notice_header.h"

namespace basilsill {
namespace {

// Time-out of a query: a load that is reported later is out of date.
constexpr std::chrono::milliseconds kLoadQueryTimeout{100};
constexpr size_t kMaxAnswerBytes = 4096;

bool IsForeign(const HttpFields& answer,
               const std::string& header,
               const std::string& id) {
  if (header.empty() || id.empty()) {
    return false;
  }
  const std::string_view value = HeaderValue(answer, header);
  return !value.empty() && value != id;
}

// A warm upstream does not send the header. A value that is not a number is
// ignored.
std::optional<Duration> ReadColdTime(const HttpFields& answer,
                                     const std::string& header) {
  if (header.empty()) {
    return std::nullopt;
  }
  const std::string_view value = HeaderValue(answer, header);
  if (value.empty()) {
    return Duration(0);
  }
  const std::optional<uint32_t> time = ParseNumber<uint32_t>(value);
  if (!time) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(*time);
}

}  // namespace

Task<LoadQueryReport> QueryUpstreamLoad(UpstreamPool& pool,
                                        AttemptTarget target,
                                        std::string path) {
  LoadQueryReport report;
  UpstreamConnectionPtr connection = pool.TakeIdle(target);
  if (!connection) {
    connection = co_await pool.Open(target);
  }
  if (!connection) {
    co_return report;
  }
  UpstreamConnection* const raw = connection.get();
  ++raw->sends;
  Timeout limit(pool.executor(), MonotonicClock::now() + kLoadQueryTimeout,
                [raw] { CloseWithReset(raw->socket); });
  const std::string head = "GET " + path +
                           " HTTP/1.1\r\nHost: " + ToString(target.endpoint) +
                           "\r\n\r\n";
  const auto [error, size] = co_await boost::asio::async_write(
      connection->socket, boost::asio::buffer(head), kTask);
  HeadStatus status = HeadStatus::kBroken;
  if (!error) {
    // Failure: a late answer to a request arrives where the answer to the query
    // is due and is taken for it. The connection is kept with the true answer
    // on its way, which the next request on it gets. A query has no request id.
    const std::string& id_header = pool.names().request_id;
    const IsExpectedAnswer has_no_id = [&id_header](const HttpFields& answer) {
      return HeaderValue(answer, id_header).empty();
    };
    status = co_await ReadExpectedHead(*connection, false, has_no_id);
  }
  pool.metrics().probes.Add();
  pool.metrics().probe_bytes.Add(head.size() +
                                 connection->reader.TakeReceived());
  bool keep = false;
  if (status == HeadStatus::kOk) {
    report.answered = true;
    const auto& answer = connection->reader.message().get();
    report.load = ParseLoad(HeaderValue(answer, pool.names().load));
    report.foreign =
        IsForeign(answer, pool.names().served_by, target.incarnation.id);
    report.rate_limit =
        ReadRateLimit(answer, pool.names().rate_limit, target.endpoint);
    report.notice =
        ReadNotice(answer, answer.result_int(), pool.names(), target.endpoint);
    report.cold_for = ReadColdTime(answer, pool.names().cold);
    keep = connection->reader.message().keep_alive();
    const bool whole = co_await DropBody(*connection, kMaxAnswerBytes);
    keep = keep && whole && !connection->reader.has_more();
  }
  limit.Cancel();
  if (keep) {
    pool.Release(MonotonicClock::now(), std::move(connection));
  }
  co_return report;
}

}  // namespace basilsill

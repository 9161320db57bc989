// `basilsillctl watch`.

#include <iostream>
#include <optional>
#include <random>
#include <utility>

#include <tclap/CmdLine.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "basilsill/platform/endpoint_set.h"
#include "resource_client.h"
#include "resource_commands.h"
#include "resource_options.h"
#include "resource_stream.h"
#include "run_command.h"

namespace basilsill::ctl {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr unsigned kUnavailable = 503;
constexpr std::string_view kIdle = "idle";

/// Progress of a watch.
struct WatchState {
  uint64_t next = 0;                   ///< Offset at which to continue.
  std::optional<uint64_t> lines_left;  ///< Absent: no limit.
  std::optional<Failure> fault;        ///< Set if a line is malformed.
};

std::string FieldText(const json::object& line, const char* field) {
  const json::value* value = line.if_contains(field);
  if (value == nullptr) {
    return "-";
  }
  return value->is_string() ? std::string(value->get_string())
                            : json::serialize(*value);
}

void PrintLine(const json::object& line, OutputFormat format) {
  if (format == OutputFormat::kJson) {
    std::cout << json::serialize(line) << std::endl;
    return;
  }
  const json::value* inner = line.if_contains("resource");
  const json::object& resource =
      inner != nullptr && inner->is_object() ? inner->get_object() : line;
  std::cout << FieldText(line, "next") << "  " << FieldText(line, "event")
            << "  " << FieldText(resource, "kind") << '/'
            << FieldText(resource, "name") << "  version "
            << FieldText(resource, "version") << std::endl;
}

// Handles one line. Returns false if the watch ends, after the last line wanted
// or at a malformed one.
bool HandleLine(std::string_view text, OutputFormat format, WatchState& watch) {
  boost::system::error_code error;
  const json::value value = json::parse({text.data(), text.size()}, error);
  const json::object* line = value.if_object();
  const json::value* next =
      line == nullptr ? nullptr : line->if_contains("next");
  if (error || next == nullptr || !next->is_number()) {
    watch.fault =
        Failure{FailureKind::kSyntax, "",
                "each line must be an object with a number in 'next'"};
    return false;
  }
  watch.next = next->to_number<uint64_t>(error);
  if (FieldText(*line, "event") == kIdle) {
    return true;
  }
  PrintLine(*line, format);
  if (!watch.lines_left) {
    return true;
  }
  return --*watch.lines_left > 0;
}

asio::awaitable<void> SleepUntil(TimePoint when) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_at(asio::steady_timer::time_point(when.time_since_epoch()));
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

// Returns the exit status if the watch ends with this stream, or nothing if it
// continues on another node.
std::optional<ExitStatus> ExitStatusAfter(const StreamResult& end,
                                          const WatchState& watch) {
  if (watch.fault) {
    std::cerr << ToString(*watch.fault) << '\n';
    return ExitStatus::kFailed;
  }
  if (end.stopped_by_handler) {
    return ExitStatus::kOk;
  }
  if (end.refusal.status != 0 && end.refusal.status != kUnavailable) {
    PrintFailures(std::cerr,
                  ParseFailures(end.refusal.status, end.refusal.body));
    return ExitStatus::kRejected;
  }
  return std::nullopt;
}

// Reads the stream from any node that answers, until all lines asked for were
// printed or no line has arrived for `idle_timeout`.
asio::awaitable<ExitStatus> Follow(EndpointSet nodes,
                                   WatchState watch,
                                   OutputFormat format,
                                   std::chrono::milliseconds idle_timeout) {
  TimePoint last_line = MonotonicClock::now();
  const std::vector<bool> none_tried(nodes.size(), false);
  LineHandler handle = [&](std::string_view text) {
    last_line = MonotonicClock::now();
    return HandleLine(text, format, watch);
  };
  while (MonotonicClock::now() - last_line < idle_timeout) {
    co_await SleepUntil(nodes.NextAvailableAt(MonotonicClock::now()));
    const auto position = nodes.Choose(MonotonicClock::now(), none_tried);
    if (!position) {
      continue;
    }
    const StreamResult end = co_await StreamLines(
        nodes.At(*position), "/api/v1/watch?from=" + std::to_string(watch.next),
        handle);
    if (const auto status = ExitStatusAfter(end, watch)) {
      co_return *status;
    }
    nodes.ReportFailure(*position, MonotonicClock::now());
    std::cerr << "stream ended, resuming from offset " << watch.next << '\n';
  }
  std::cerr << "no node answered within the timeout\n";
  co_return ExitStatus::kUnavailable;
}

// Without an offset, the watch starts after the newest change that is in force
// on the node that answers.
asio::awaitable<ExitStatus> Watch(ResourceClient& client,
                                  EndpointSet nodes,
                                  std::optional<uint64_t> from,
                                  WatchState watch,
                                  const ResourceOptions& options) {
  if (from) {
    watch.next = *from;
  } else {
    const auto list = co_await client.List(std::string(kResourceKinds[0]));
    if (!list) {
      co_return ReportError(list.error());
    }
    watch.next = list.value().next;
  }
  co_return co_await Follow(std::move(nodes), std::move(watch),
                            options.format(), options.timeout());
}

}  // namespace

ExitStatus RunWatch(const CommandArguments& arguments) {
  TCLAP::CmdLine line(
      "Prints changes of resources, one per line, and fails over between "
      "nodes. The first column is the offset to resume at with --from. Exit "
      "status: 0 all lines asked for were shown, 2 usage, 4 rejected, 5 no "
      "node answered for the timeout.",
      ' ', BASILSILL_VERSION);
  ResourceOptions options(line);
  TCLAP::ValueArg<uint64_t> from(
      "", "from", "Offset to start at (default: the current one).", false, 0,
      "OFFSET", line);
  TCLAP::ValueArg<uint64_t> count("", "count",
                                  "Number of lines to print; 0: no limit.",
                                  false, 0, "LINES", line);
  if (const auto status = options.Parse(line, arguments)) {
    return *status;
  }
  WatchState watch;
  if (count.getValue() > 0) {
    watch.lines_left = count.getValue();
  }
  const auto start =
      from.isSet() ? std::optional(from.getValue()) : std::nullopt;
  asio::io_context io;
  ResourceClient client = options.MakeClient(io);
  EndpointSet nodes(options.nodes(), {}, std::random_device{}());
  return RunCommand(io, Watch(client, std::move(nodes), start, watch, options));
}

}  // namespace basilsill::ctl

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

/// Where a watch stands.
struct WatchState {
  uint64_t next = 0;
  std::optional<uint64_t> lines_left;
  std::optional<Failure> fault;  ///< A line that can't be read.
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

// Takes one line. Returns false if the watch shall not read on.
bool TakeLine(std::string_view text, OutputFormat format, WatchState& watch) {
  boost::system::error_code error;
  const json::value value = json::parse({text.data(), text.size()}, error);
  const json::object* line = value.if_object();
  const json::value* next =
      line == nullptr ? nullptr : line->if_contains("next");
  if (error || next == nullptr || !next->is_number()) {
    watch.fault = Failure{FailureKind::kSyntax, "",
                          "a line is no object with a number in 'next'"};
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

asio::awaitable<void> RestUntil(TimePoint when) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_at(asio::steady_timer::time_point(when.time_since_epoch()));
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

// Finds how a stream's end concludes the watch; nothing: go on elsewhere.
std::optional<ExitStatus> Conclude(const StreamEnd& end,
                                   const WatchState& watch) {
  if (watch.fault) {
    std::cerr << ToString(*watch.fault) << '\n';
    return ExitStatus::kFailed;
  }
  if (end.is_stopped) {
    return ExitStatus::kOk;
  }
  if (end.refusal.status != 0 && end.refusal.status != kUnavailable) {
    PrintFailures(std::cerr,
                  ParseFailures(end.refusal.status, end.refusal.body));
    return ExitStatus::kRejected;
  }
  return std::nullopt;
}

// Follows the stream on whichever node answers, until `watch` has its lines or
// no node has answered for `patience`.
asio::awaitable<ExitStatus> Follow(EndpointSet nodes,
                                   WatchState watch,
                                   OutputFormat format,
                                   std::chrono::milliseconds patience) {
  TimePoint last_line = MonotonicClock::now();
  const std::vector<bool> none_tried(nodes.size(), false);
  LineHandler handle = [&](std::string_view text) {
    last_line = MonotonicClock::now();
    return TakeLine(text, format, watch);
  };
  while (MonotonicClock::now() - last_line < patience) {
    co_await RestUntil(nodes.NextAvailableAt(MonotonicClock::now()));
    const auto position = nodes.Choose(MonotonicClock::now(), none_tried);
    if (!position) {
      continue;
    }
    const StreamEnd end = co_await StreamLines(
        nodes.At(*position), "/api/v1/watch?from=" + std::to_string(watch.next),
        handle);
    if (const auto status = Conclude(end, watch)) {
      co_return *status;
    }
    nodes.ReportFailure(*position, MonotonicClock::now());
    std::cerr << "stream ended, going on from " << watch.next << '\n';
  }
  std::cerr << "no node answers\n";
  co_return ExitStatus::kUnavailable;
}

// Without an offset the watch begins at what is now in force.
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
      "Follows changes of resources, one a line, across nodes that come and "
      "go. The first column tells where to go on with --from. Exit status: 0 "
      "all lines asked for were shown, 2 usage, 4 rejected, 5 no node "
      "answered for the timeout.",
      ' ', BASILSILL_VERSION);
  ResourceOptions options(line);
  TCLAP::ValueArg<uint64_t> from("", "from",
                                 "Offset to begin at; now without it.", false,
                                 0, "OFFSET", line);
  TCLAP::ValueArg<uint64_t> count("", "count",
                                  "End after so many lines; 0 never ends.",
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

#include "explain.h"

#include <algorithm>
#include <array>
#include <istream>
#include <set>

#include "basilsill/base/event.h"

namespace basilsill::ctl {
namespace {

using std::chrono::milliseconds;

// Events within this time before the first line of a request can have caused
// its outcome: the platform's time bounds are two to three seconds.
constexpr milliseconds kContextWindow{3000};
// Limit for the lines that are not about a request.
constexpr size_t kMaxContextLines = 30;

struct VmLine {
  const std::string* vm;
  const LogLine* line;
};

std::string Value(const LogLine& line, std::string_view field) {
  const std::string_view value = line.Field(field);
  return value.empty() ? "?" : std::string(value);
}

std::string DescribeRetryReason(const LogLine& line) {
  const std::string_view reason = line.Field("reason");
  return reason.empty() || reason == "none" ? "first attempt"
                                            : std::string(reason);
}

// What the dispatcher knew about the speed of the upstream when it chose it.
std::string DescribeUpstreamSpeed(const LogLine& line) {
  if (line.Field("slowness_age_ms").starts_with('-')) {
    return "speed unknown";
  }
  return "estimated at " + Value(line, "slowness") + " times its usual time, " +
         Value(line, "slowness_age_ms") + " ms earlier";
}

// On which connection it was sent, and what shows that it did not run.
std::string DescribeProof(const LogLine& line) {
  if (line.Field("connection").empty()) {
    return "";
  }
  const std::string_view proof = line.Field("proof");
  return ", on connection " + Value(line, "connection") + " after " +
         Value(line, "carried") + " sends and " + Value(line, "skipped") +
         " late answers" +
         (proof == "none" ? "" : ", not run: " + std::string(proof));
}

std::string DescribeAttempt(const LogLine& line) {
  return "sent to upstream " + Value(line, "upstream") + " (" +
         DescribeRetryReason(line) + ") after waiting " +
         Value(line, "waited_ms") + " ms, " + DescribeUpstreamSpeed(line) +
         ": " + Value(line, "end") + ", status " + Value(line, "status") +
         ", after " + Value(line, "took_ms") + " ms" + DescribeProof(line);
}

std::string DescribeRefusal(const LogLine& line) {
  return "answered by the system itself: " + Value(line, "reason") +
         ", after " + Value(line, "elapsed_ms") + " ms";
}

std::string DescribeBrokenResponse(const LogLine& line) {
  return "the response was cut off: " + Value(line, "reason") + ", after " +
         Value(line, "elapsed_ms") + " ms";
}

std::string DescribeCallerGone(const LogLine& line) {
  return "the caller closed the connection after " + Value(line, "elapsed_ms") +
         " ms";
}

std::string DescribeOtherEvent(const LogLine& line) {
  return line.text;
}

struct EventFormatter {
  Event event;
  std::string (*format)(const LogLine& line);
};

constexpr std::array<EventFormatter, 5> kEventFormatters = {{
    {Event::kAttemptAnswered, DescribeAttempt},
    {Event::kAttemptFailed, DescribeAttempt},
    {Event::kRequestRefused, DescribeRefusal},
    {Event::kAnswerBroken, DescribeBrokenResponse},
    {Event::kCallerGone, DescribeCallerGone},
}};

std::string Describe(const LogLine& line) {
  for (const EventFormatter& formatter : kEventFormatters) {
    if (static_cast<int>(formatter.event) == line.event) {
      return formatter.format(line);
    }
  }
  return DescribeOtherEvent(line);
}

std::string FormatLine(const VmLine& vm_line, const std::string& text) {
  return vm_line.line->time_text + " " + *vm_line.vm + ": " + text;
}

template <typename Predicate>
std::vector<VmLine> Find(const std::vector<NodeLog>& logs,
                         Predicate predicate) {
  std::vector<VmLine> found;
  for (const NodeLog& log : logs) {
    for (const LogLine& line : log.lines) {
      if (predicate(log, line)) {
        found.push_back({&log.vm, &line});
      }
    }
  }
  std::stable_sort(found.begin(), found.end(),
                   [](const VmLine& a, const VmLine& b) {
                     return a.line->time < b.line->time;
                   });
  return found;
}

bool HasRequestId(const LogLine& line) {
  return !line.Field("request").empty();
}

bool IsSuppression(const LogLine& line) {
  return line.event == static_cast<int>(Event::kEventsSuppressed);
}

void AddContext(const std::vector<VmLine>& context,
                std::vector<std::string>& output) {
  if (context.empty()) {
    return;
  }
  output.emplace_back("other events on these VMs at that time:");
  const size_t skipped =
      context.size() > kMaxContextLines ? context.size() - kMaxContextLines : 0;
  if (skipped > 0) {
    output.push_back("  (" + std::to_string(skipped) + " earlier lines)");
  }
  for (size_t i = skipped; i < context.size(); ++i) {
    output.push_back("  " + FormatLine(context[i], context[i].line->text));
  }
}

void AddMissing(const std::vector<VmLine>& suppressed,
                std::vector<std::string>& output) {
  for (const VmLine& vm_line : suppressed) {
    output.push_back("missing: " +
                     FormatLine(vm_line, Value(*vm_line.line, "count") +
                                             " lines of " +
                                             Value(*vm_line.line, "event") +
                                             " were left out"));
  }
}

bool HasFinalEvent(const std::vector<VmLine>& own) {
  constexpr std::array ends = {Event::kRequestRefused, Event::kAnswerBroken,
                               Event::kCallerGone, Event::kAttemptAnswered};
  return std::any_of(own.begin(), own.end(), [&ends](const VmLine& vm_line) {
    return std::any_of(ends.begin(), ends.end(), [&vm_line](Event event) {
      return static_cast<int>(event) == vm_line.line->event;
    });
  });
}

}  // namespace

NodeLog ReadNodeLog(std::string name, std::istream& input) {
  NodeLog log;
  log.vm = std::move(name);
  for (std::string text; std::getline(input, text);) {
    auto line = ParseLogLine(text);
    if (!line) {
      continue;
    }
    if (line->event == static_cast<int>(Event::kNodeStarting) &&
        !line->Field("vm").empty()) {
      log.vm = line->Field("vm");
    }
    log.lines.push_back(*std::move(line));
  }
  return log;
}

std::vector<std::string> Explain(std::string_view request_id,
                                 const std::vector<NodeLog>& logs) {
  const auto own =
      Find(logs, [request_id](const NodeLog&, const LogLine& line) {
        return line.Field("request") == request_id;
      });
  std::vector<std::string> output;
  if (own.empty()) {
    return output;
  }
  std::set<std::string> vms;
  for (const VmLine& vm_line : own) {
    output.push_back(FormatLine(vm_line, Describe(*vm_line.line)));
    vms.insert(*vm_line.vm);
  }
  const milliseconds from = own.front().line->time - kContextWindow;
  const milliseconds to = own.back().line->time;
  const auto is_near = [&](const NodeLog& log, const LogLine& line) {
    return vms.contains(log.vm) && line.time >= from && line.time <= to;
  };
  AddContext(Find(logs,
                  [&](const NodeLog& log, const LogLine& line) {
                    return is_near(log, line) && !HasRequestId(line) &&
                           !IsSuppression(line);
                  }),
             output);
  AddMissing(Find(logs,
                  [&](const NodeLog& log, const LogLine& line) {
                    const bool in_window =
                        line.time >= from && line.time <= to + kContextWindow;
                    return vms.contains(log.vm) && in_window &&
                           IsSuppression(line);
                  }),
             output);
  if (!HasFinalEvent(own)) {
    output.emplace_back(
        "missing: how it ended; the caller may have reached another VM");
  }
  return output;
}

}  // namespace basilsill::ctl

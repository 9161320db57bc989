#include "explain.h"

#include <algorithm>
#include <array>
#include <istream>
#include <set>

#include "basilsill/base/event.h"

namespace basilsill::ctl {
namespace {

using std::chrono::milliseconds;

// What happened so long before a request's first line can be its cause: the
// platform's bounds are two to three seconds.
constexpr milliseconds kBefore{3000};
// Of lines about anything but the request.
constexpr size_t kMaxAround = 30;

struct PlacedLine {
  const std::string* vm;
  const LogLine* line;
};

std::string Value(const LogLine& line, std::string_view field) {
  const std::string_view value = line.Field(field);
  return value.empty() ? "?" : std::string(value);
}

std::string TellWhy(const LogLine& line) {
  const std::string_view reason = line.Field("reason");
  return reason.empty() || reason == "none" ? "first attempt"
                                            : std::string(reason);
}

// What was known of the upstream as it was chosen.
std::string TellKnowledge(const LogLine& line) {
  if (line.Field("slowness_age_ms").starts_with('-')) {
    return "its speed was not known";
  }
  return "thought to take " + Value(line, "slowness") +
         " times its usual time, as of " + Value(line, "slowness_age_ms") +
         " ms before";
}

std::string TellAttempt(const LogLine& line) {
  return "sent to upstream " + Value(line, "upstream") + " (" + TellWhy(line) +
         ") after waiting " + Value(line, "waited_ms") + " ms, " +
         TellKnowledge(line) + ": " + Value(line, "end") + ", status " +
         Value(line, "status") + ", after " + Value(line, "took_ms") + " ms";
}

std::string TellRefused(const LogLine& line) {
  return "answered by the system itself: " + Value(line, "reason") +
         ", after " + Value(line, "elapsed_ms") + " ms";
}

std::string TellBroken(const LogLine& line) {
  return "the answer broke off: " + Value(line, "reason") + ", after " +
         Value(line, "elapsed_ms") + " ms";
}

std::string TellGone(const LogLine& line) {
  return "the caller closed after " + Value(line, "elapsed_ms") + " ms";
}

std::string TellAsWritten(const LogLine& line) {
  return line.text;
}

struct Teller {
  Event event;
  std::string (*tell)(const LogLine& line);
};

constexpr std::array<Teller, 5> kTellers = {{
    {Event::kAttemptAnswered, TellAttempt},
    {Event::kAttemptFailed, TellAttempt},
    {Event::kRequestRefused, TellRefused},
    {Event::kAnswerBroken, TellBroken},
    {Event::kCallerGone, TellGone},
}};

std::string Tell(const LogLine& line) {
  for (const Teller& teller : kTellers) {
    if (static_cast<int>(teller.event) == line.event) {
      return teller.tell(line);
    }
  }
  return TellAsWritten(line);
}

std::string At(const PlacedLine& placed, const std::string& text) {
  return placed.line->clock + " " + *placed.vm + ": " + text;
}

template <typename Wanted>
std::vector<PlacedLine> Find(const std::vector<NodeLog>& logs, Wanted wanted) {
  std::vector<PlacedLine> found;
  for (const NodeLog& log : logs) {
    for (const LogLine& line : log.lines) {
      if (wanted(log, line)) {
        found.push_back({&log.vm, &line});
      }
    }
  }
  std::stable_sort(found.begin(), found.end(),
                   [](const PlacedLine& a, const PlacedLine& b) {
                     return a.line->time < b.line->time;
                   });
  return found;
}

bool IsAboutARequest(const LogLine& line) {
  return !line.Field("request").empty();
}

bool IsSuppression(const LogLine& line) {
  return line.event == static_cast<int>(Event::kEventsSuppressed);
}

void AddAround(const std::vector<PlacedLine>& around,
               std::vector<std::string>& told) {
  if (around.empty()) {
    return;
  }
  told.emplace_back("what these VMs went through at that time:");
  const size_t skipped =
      around.size() > kMaxAround ? around.size() - kMaxAround : 0;
  if (skipped > 0) {
    told.push_back("  (" + std::to_string(skipped) + " earlier lines)");
  }
  for (size_t i = skipped; i < around.size(); ++i) {
    told.push_back("  " + At(around[i], around[i].line->text));
  }
}

void AddMissing(const std::vector<PlacedLine>& suppressed,
                std::vector<std::string>& told) {
  for (const PlacedLine& placed : suppressed) {
    told.push_back("missing: " +
                   At(placed, Value(*placed.line, "count") + " lines of " +
                                  Value(*placed.line, "event") +
                                  " were left out"));
  }
}

bool HasEnd(const std::vector<PlacedLine>& own) {
  constexpr std::array ends = {Event::kRequestRefused, Event::kAnswerBroken,
                               Event::kCallerGone, Event::kAttemptAnswered};
  return std::any_of(own.begin(), own.end(), [&ends](const PlacedLine& placed) {
    return std::any_of(ends.begin(), ends.end(), [&placed](Event event) {
      return static_cast<int>(event) == placed.line->event;
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
  std::vector<std::string> told;
  if (own.empty()) {
    return told;
  }
  std::set<std::string> vms;
  for (const PlacedLine& placed : own) {
    told.push_back(At(placed, Tell(*placed.line)));
    vms.insert(*placed.vm);
  }
  const milliseconds from = own.front().line->time - kBefore;
  const milliseconds to = own.back().line->time;
  const auto is_near = [&](const NodeLog& log, const LogLine& line) {
    return vms.contains(log.vm) && line.time >= from && line.time <= to;
  };
  AddAround(Find(logs,
                 [&](const NodeLog& log, const LogLine& line) {
                   return is_near(log, line) && !IsAboutARequest(line) &&
                          !IsSuppression(line);
                 }),
            told);
  AddMissing(Find(logs,
                  [&](const NodeLog& log, const LogLine& line) {
                    const bool soon =
                        line.time >= from && line.time <= to + kBefore;
                    return vms.contains(log.vm) && soon && IsSuppression(line);
                  }),
             told);
  if (!HasEnd(own)) {
    told.emplace_back(
        "missing: how it ended; the VM that the caller reached may be another");
  }
  return told;
}

}  // namespace basilsill::ctl

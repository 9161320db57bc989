#include "basilsill/decision/shutdown_admission.h"

#include <algorithm>

namespace basilsill {
namespace {

// Times are remembered for one to two windows.
constexpr Duration kWindow = std::chrono::seconds(60);

// A request may take longer than all others of its rule did recently.
constexpr double kMargin = 1.25;

// Time for the answer to reach the caller.
constexpr Duration kAnswerTime = std::chrono::milliseconds(100);

}  // namespace

void ShutdownAdmission::OnAnswered(TimePoint now,
                                   RuleHandle rule,
                                   Duration time) {
  if (rule.index >= this->rows.size()) {
    this->rows.resize(rule.index + 1);
  }
  Row& row = this->rows[rule.index];
  if (row.rule != rule) {
    row = Row();
    row.rule = rule;
  }
  if (now - row.current.began >= kWindow) {
    row.previous = row.current;
    row.current = Window();
    row.current.began = now;
  }
  Window& window = row.current;
  window.shortest = std::min(window.shortest, time);
  window.longest = std::max(window.longest, time);
}

void ShutdownAdmission::Begin(TimePoint at) {
  this->phase = Phase::kLeaving;
  this->end = at - kAnswerTime;
}

std::optional<ShutdownAdmission::Range> ShutdownAdmission::RangeOf(
    TimePoint now,
    RuleHandle rule) const {
  if (rule.index >= this->rows.size() || this->rows[rule.index].rule != rule) {
    return std::nullopt;
  }
  const Row& row = this->rows[rule.index];
  Range range{Duration::max(), Duration(0)};
  for (const Window* window : {&row.current, &row.previous}) {
    if (now - window->began < 2 * kWindow) {
      range.shortest = std::min(range.shortest, window->shortest);
      range.longest = std::max(range.longest, window->longest);
    }
  }
  if (range.longest < range.shortest) {
    return std::nullopt;
  }
  return range;
}

// While callers still come, a request is refused only if none of its rule was
// answered in the time that is left. Later there are few requests left, and
// each may be sent to another VM, so one is passed on only if all were.
bool ShutdownAdmission::Admits(TimePoint now,
                               RuleHandle rule,
                               TimePoint deadline) const {
  if (this->phase == Phase::kServing) {
    return true;
  }
  if (this->phase == Phase::kClosed) {
    return false;
  }
  if (deadline <= this->end) {
    return true;
  }
  const Duration left = this->end - now;
  const std::optional<Range> range = this->RangeOf(now, rule);
  if (this->phase == Phase::kLeaving) {
    return !range || range->shortest <= left;
  }
  return range && std::chrono::duration<double>(range->longest) * kMargin <=
                      std::chrono::duration<double>(left);
}

}  // namespace basilsill

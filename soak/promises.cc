#include "promises.h"

#include <array>

#include "promise_checker.h"

namespace basilsill::soak {
namespace {

constexpr std::array<std::string_view, static_cast<size_t>(Promise::kCount)>
    kNames = {"own-answer",   "once",       "not-run",
              "leaving",      "shutdown",   "configuration",
              "no-return",    "repeats",    "recovery",
              "caller-gone",  "timeout",    "stays-up",
              "drained",      "cold",       "rate-limit",
              "key-revoked",  "team-quota", "ready-takes-connections",
              "leaving-said", "rest",       "cut-served"};

}  // namespace

std::string_view NameOf(Promise promise) {
  return kNames.at(static_cast<size_t>(promise));
}

std::vector<Violation> FindViolations(const Observations& observations,
                                      const Bounds& bounds) {
  return PromiseChecker(observations, bounds).Run();
}

}  // namespace basilsill::soak

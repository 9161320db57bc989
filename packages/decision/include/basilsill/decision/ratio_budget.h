#ifndef BASILSILL_DECISION_RATIO_BUDGET_H_
#define BASILSILL_DECISION_RATIO_BUDGET_H_

#include <algorithm>
#include <chrono>

#include "basilsill/base/time.h"

/// A budget for extra work (retries, hedges) as a ratio of the requests that
/// came lately, so that extra work can not amplify a failure.

namespace basilsill {

struct RatioBudgetOptions {
  double ratio = 0.06;      ///< Extra work allowed a request.
  double burst = 10;        ///< Most that can be saved up.
  double floor = 3;         ///< What an idle service gets back with time.
  double per_second = 0.1;  ///< How fast it gets that back.
};

class RatioBudget {
 public:
  static RatioBudget Create(const RatioBudgetOptions& options) {
    RatioBudget budget;
    budget.tokens = options.floor;
    return budget;
  }

  /// A request came, which pays for its share of extra work.
  void OnRequest(TimePoint now, const RatioBudgetOptions& options) {
    const std::chrono::duration<double> idle = now - this->last;
    this->last = now;
    if (this->tokens < options.floor) {
      this->tokens = std::min(options.floor,
                              this->tokens + idle.count() * options.per_second);
    }
    this->tokens = std::min(options.burst, this->tokens + options.ratio);
  }

  /// @param keep Tokens that must be left over, for more important work.
  /// @returns true if one piece of extra work may be done; it is paid then.
  bool Take(double keep = 0) {
    if (this->tokens < 1 + keep) {
      return false;
    }
    this->tokens -= 1;
    return true;
  }

 private:
  double tokens = 0;
  TimePoint last{};
};

/// Budgets of a lane at a dispatcher. With the entry's own they allow less
/// than a tenth of extra load on upstreams when everything fails.
inline constexpr RatioBudgetOptions kRetryBudget{0.06, 10, 3, 0.1};
inline constexpr RatioBudgetOptions kHedgeBudget{0.02, 5, 1, 0.01};

/// Retries of an entry VM that may put load on upstreams a second time. The
/// dispatchers' own budgets and this one multiply to less than 1.1.
inline constexpr RatioBudgetOptions kEntryRetryBudget{0.015, 20, 10, 0.1};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_RATIO_BUDGET_H_

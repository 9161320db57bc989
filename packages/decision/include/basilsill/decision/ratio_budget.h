#ifndef BASILSILL_DECISION_RATIO_BUDGET_H_
#define BASILSILL_DECISION_RATIO_BUDGET_H_

#include <algorithm>
#include <chrono>

#include "basilsill/base/time.h"

/// A token bucket for extra work (retries, hedges) that recent requests refill
/// at a fixed ratio, so that extra work cannot amplify a failure.

namespace basilsill {

struct RatioBudgetOptions {
  double ratio = 0.06;      ///< Tokens that each request adds.
  double burst = 10;        ///< Maximum number of tokens.
  double floor = 3;         ///< Below it, tokens also refill with time.
  double per_second = 0.1;  ///< Rate of that refill, in tokens a second.
};

class RatioBudget {
 public:
  static RatioBudget Create(const RatioBudgetOptions& options) {
    RatioBudget budget;
    budget.tokens = options.floor;
    return budget;
  }

  /// Adds the tokens of one request.
  void OnRequest(TimePoint now, const RatioBudgetOptions& options) {
    const std::chrono::duration<double> idle = now - this->last;
    this->last = now;
    if (this->tokens < options.floor) {
      this->tokens = std::min(options.floor,
                              this->tokens + idle.count() * options.per_second);
    }
    this->tokens = std::min(options.burst, this->tokens + options.ratio);
  }

  /// @param reserved Tokens that must remain for more important work.
  /// @returns true if one retry or hedge may be made; its token is then spent.
  bool Take(double reserved = 0) {
    if (this->tokens < 1 + reserved) {
      return false;
    }
    this->tokens -= 1;
    return true;
  }

 private:
  double tokens = 0;
  TimePoint last{};
};

/// Budgets of a lane at a dispatcher. Together with the entry VMs' budgets they
/// limit the extra load on upstreams to less than a tenth when every request
/// fails.
inline constexpr RatioBudgetOptions kRetryBudget{0.06, 10, 3, 0.1};
inline constexpr RatioBudgetOptions kHedgeBudget{0.02, 5, 1, 0.01};

/// Budget of an entry VM for retries that may load the upstreams a second time.
/// The load factors of this budget and the dispatchers' budgets multiply to
/// less than 1.1.
inline constexpr RatioBudgetOptions kEntryRetryBudget{0.015, 20, 10, 0.1};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_RATIO_BUDGET_H_

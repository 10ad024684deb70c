/// Retry budgets: bounds retries to a part of first attempts.
#pragma once

#include <algorithm>

namespace tarragonbridge {

/// Parameters of a retry budget, in retries.
struct retry_budget_limits {
  double PerAttempt = 0; ///< earned by each first attempt
  double Burst = 0;      ///< kept at most, and held at the start
};

/// A token bucket filled by first attempts and emptied by retries.
class retry_budget {
public:
  explicit retry_budget(const retry_budget_limits &Limits)
      : Limits(Limits), Tokens(Limits.Burst) {}

  void earn() { earn(Limits.PerAttempt); }
  /// @param[in] Retries earned in place of PerAttempt
  void earn(double Retries) {
    Tokens = std::min(Limits.Burst, Tokens + Retries);
  }

  /// Takes one retry. @returns false when the budget is used up
  bool take() {
    if (Tokens < 1) {
      return false;
    }
    Tokens -= 1;
    return true;
  }

private:
  retry_budget_limits Limits;
  double Tokens;
};

} // namespace tarragonbridge

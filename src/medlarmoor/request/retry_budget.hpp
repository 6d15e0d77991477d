#ifndef MEDLARMOOR_REQUEST_RETRY_BUDGET_HPP
#define MEDLARMOOR_REQUEST_RETRY_BUDGET_HPP

#include <algorithm>

namespace medlarmoor::request {

/// Limits retries to a share of successes, so that retries cannot multiply the
/// load of a failing upstream.
class RetryBudget {
public:
  explicit RetryBudget(double Share) : Share_(Share) {}

  void onSuccess() noexcept { Tokens_ = std::min(Tokens_ + Share_, MaxTokens); }
  /// Takes one retry from the budget. Returns false if none is left.
  [[nodiscard]] bool spend() noexcept {
    if (Tokens_ < 1.0)
      return false;
    Tokens_ -= 1.0;
    return true;
  }

private:
  static constexpr double MaxTokens = 20.0;

  double Share_;
  double Tokens_ = 5.0;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_RETRY_BUDGET_HPP

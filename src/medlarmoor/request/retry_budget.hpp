#ifndef MEDLARMOOR_REQUEST_RETRY_BUDGET_HPP
#define MEDLARMOOR_REQUEST_RETRY_BUDGET_HPP

#include <algorithm>

namespace medlarmoor::request {

/// Allows retries as a share of successes, so that retries cannot multiply
/// the load of an upstream that fails.
class RetryBudget {
public:
  explicit RetryBudget(double Share) : Share_(Share) {}

  void onSuccess() noexcept { Saved_ = std::min(Saved_ + Share_, Most); }
  /// Takes one retry out of the budget; false when there is none.
  [[nodiscard]] bool spend() noexcept {
    if (Saved_ < 1.0)
      return false;
    Saved_ -= 1.0;
    return true;
  }

private:
  static constexpr double Most = 20.0;

  double Share_;
  double Saved_ = 5.0;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_RETRY_BUDGET_HPP

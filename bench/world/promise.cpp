#include <bench/world/promise.hpp>

#include <cmath>
#include <cstdio>

namespace medlarmoor::bench {

namespace {

/// Whole figures are written without a fraction.
nlohmann::json number(double Value) {
  if (Value == std::floor(Value))
    return static_cast<std::int64_t>(Value);
  constexpr double Thousandths = 1000;
  return std::round(Value * Thousandths) / Thousandths;
}

} // namespace

void addPromises(const std::vector<Promise> &All, Record &Into) {
  for (const Promise &Each : All) {
    Into.Figures_[Each.Key_] = number(Each.Measured_);
    Into.Bound_[Each.Key_] = number(Each.Bound_);
    Into.Held_ = Into.Held_ && Each.held();
  }
}

void printTable(const std::vector<Promise> &All) {
  std::printf("\n%-36s %12s %12s  %s\n", "promise", "measured", "at most",
              "held");
  for (const Promise &Each : All)
    std::printf("%-36s %12s %12s  %s\n", Each.Key_.c_str(),
                number(Each.Measured_).dump().c_str(),
                number(Each.Bound_).dump().c_str(), Each.held() ? "yes" : "NO");
}

} // namespace medlarmoor::bench

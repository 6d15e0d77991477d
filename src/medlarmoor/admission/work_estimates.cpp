#include <medlarmoor/admission/work_estimates.hpp>

namespace medlarmoor::admission {

namespace {

/// Weights of a duration below and above the estimate. In equilibrium about
/// one request in five is shorter than the estimate plus the mean excess of
/// the others, which is near the work without queueing.
constexpr double ShorterWeight = 0.05;
constexpr double LongerWeight = 0.005;

} // namespace

void WorkEstimates::record(Endpoint Virtual, Nanos Duration) {
  const double Seconds = std::chrono::duration<double>(Duration).count();
  double &Estimate = Estimates_.try_emplace(Virtual, Seconds).first->second;
  const double Weight = Seconds < Estimate ? ShorterWeight : LongerWeight;
  Estimate += Weight * (Seconds - Estimate);
}

Nanos WorkEstimates::estimate(Endpoint Virtual) const noexcept {
  const auto Found = Estimates_.find(Virtual);
  return Found == Estimates_.end()
             ? Nanos(0)
             : std::chrono::duration_cast<Nanos>(
                   std::chrono::duration<double>(Found->second));
}

} // namespace medlarmoor::admission

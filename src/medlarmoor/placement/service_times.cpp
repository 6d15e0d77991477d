#include <medlarmoor/placement/service_times.hpp>

#include <algorithm>
#include <cmath>

namespace medlarmoor::placement {

namespace {

/// Weight of a new flow in a route's mean and in an upstream's ratio. The mean
/// follows the whole service, the ratio a few flows.
constexpr double MeanWeight = 0.02;
constexpr double RatioWeight = 0.2;
/// One flow counts for no more than this, so that a single long one does not
/// condemn its upstream.
constexpr double LargestRatio = 8.0;
/// Below this the difference may be chance: work varies by half of its mean.
constexpr double ClearRatio = 1.8;
/// Time in which an excess halves without new flows.
constexpr double HalfLifeSeconds = 3.0;

double seconds(Nanos Each) {
  return std::chrono::duration<double>(Each).count();
}

} // namespace

void ServiceTimes::ended(Endpoint Virtual, affinity::Tag Upstream,
                         Nanos Duration, TimePoint Now) {
  const double Taken = std::max(seconds(Duration), 1e-6);
  const auto [Mean, First] = Means_.try_emplace(Virtual, Taken);
  const double Ratio = std::min(Taken / Mean->second, LargestRatio);
  // Outliers enter the mean as far as they enter a ratio.
  Mean->second += MeanWeight * (Ratio - 1.0) * Mean->second;
  Record &Each = Records_[Upstream];
  Each.Ratio_ += RatioWeight * (Ratio - Each.Ratio_);
  Each.UpdatedAt_ = Now;
}

double ServiceTimes::slowness(affinity::Tag Upstream,
                              TimePoint Now) const noexcept {
  const auto Found = Records_.find(Upstream);
  if (Found == Records_.end())
    return 1.0;
  const double Age = seconds(Now - Found->second.UpdatedAt_);
  const double Faded =
      1.0 + (Found->second.Ratio_ - 1.0) * std::exp2(-Age / HalfLifeSeconds);
  return Faded < ClearRatio ? 1.0 : Faded;
}

} // namespace medlarmoor::placement

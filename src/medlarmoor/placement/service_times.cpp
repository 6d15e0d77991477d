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
/// After this long nothing is left of an excess.
constexpr Seconds UpstreamMemory{60};
/// A route without flows for this long is forgotten.
constexpr Seconds RouteMemory{600};

double seconds(Nanos Each) {
  return std::chrono::duration<double>(Each).count();
}

} // namespace

void ServiceTimes::recordFlow(Endpoint Virtual, affinity::Tag Upstream,
                              Nanos Duration, TimePoint Now) {
  const double Taken = std::max(seconds(Duration), 1e-6);
  Mean &Usual = Means_.try_emplace(Virtual, Mean{Taken, Now}).first->second;
  const double Ratio = std::min(Taken / Usual.Seconds_, LargestRatio);
  // Outliers enter the mean as far as they enter a ratio.
  Usual.Seconds_ += MeanWeight * (Ratio - 1.0) * Usual.Seconds_;
  Usual.UpdatedAt_ = Now;
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

void ServiceTimes::expire(TimePoint Now) {
  std::erase_if(Records_, [Now](const auto &Each) {
    return Now - Each.second.UpdatedAt_ > UpstreamMemory;
  });
  std::erase_if(Means_, [Now](const auto &Each) {
    return Now - Each.second.UpdatedAt_ > RouteMemory;
  });
}

} // namespace medlarmoor::placement

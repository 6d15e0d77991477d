#include <medlarmoor/placement/service_times.hpp>

#include <algorithm>
#include <cmath>

namespace medlarmoor::placement {

namespace {

/// Weight of a new request in a route's mean duration and in an upstream's
/// ratio. The mean reflects the whole service, the ratio the last few requests.
constexpr double MeanWeight = 0.02;
constexpr double RatioWeight = 0.2;
/// Maximum ratio of a single request, so that one long request does not mark
/// its upstream as slow.
constexpr double MaxRatio = 8.0;
/// A ratio below this value may be due to chance and is ignored: durations vary
/// by half of their mean.
constexpr double SignificantRatio = 1.8;
/// Time in which the excess of a ratio over 1 halves without new requests.
constexpr double HalfLifeSeconds = 3.0;
/// Time after which the record of an upstream without requests is evicted;
/// nothing remains of its excess by then.
constexpr Seconds UpstreamRetention{60};
/// Time after which the record of a route without requests is evicted.
constexpr Seconds RouteRetention{600};

double seconds(Nanos Duration) {
  return std::chrono::duration<double>(Duration).count();
}

} // namespace

void ServiceTimes::recordRequest(Endpoint Virtual, affinity::Tag Upstream,
                                 Nanos Duration, TimePoint Now) {
  const double DurationSeconds = std::max(seconds(Duration), 1e-6);
  MeanDuration &RouteMean =
      Means_.try_emplace(Virtual, MeanDuration{DurationSeconds, Now})
          .first->second;
  const double Ratio = std::min(DurationSeconds / RouteMean.Seconds_, MaxRatio);
  // The mean uses the limited ratio, too, so that outliers affect it no more
  // than they affect the ratio of the upstream.
  RouteMean.Seconds_ += MeanWeight * (Ratio - 1.0) * RouteMean.Seconds_;
  RouteMean.UpdatedAt_ = Now;
  Record &Entry = Records_[Upstream];
  Entry.Ratio_ += RatioWeight * (Ratio - Entry.Ratio_);
  Entry.UpdatedAt_ = Now;
}

double ServiceTimes::slowness(affinity::Tag Upstream,
                              TimePoint Now) const noexcept {
  const auto Found = Records_.find(Upstream);
  // The ratio only decays, so that most upstreams need no exponential.
  if (Found == Records_.end() || Found->second.Ratio_ < SignificantRatio)
    return 1.0;
  const double Age = seconds(Now - Found->second.UpdatedAt_);
  const double Decayed =
      1.0 + (Found->second.Ratio_ - 1.0) * std::exp2(-Age / HalfLifeSeconds);
  return Decayed < SignificantRatio ? 1.0 : Decayed;
}

void ServiceTimes::expire(TimePoint Now) {
  std::erase_if(Records_, [Now](const auto &Item) {
    return Now - Item.second.UpdatedAt_ > UpstreamRetention;
  });
  std::erase_if(Means_, [Now](const auto &Item) {
    return Now - Item.second.UpdatedAt_ > RouteRetention;
  });
}

} // namespace medlarmoor::placement

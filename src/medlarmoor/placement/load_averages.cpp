#include <medlarmoor/placement/load_averages.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace medlarmoor::placement {

namespace {

/// Averages over a shorter time report single requests of some milliseconds;
/// over a longer time, a report would lag behind a burst.
constexpr Millis AveragingTime{300};
/// Smallest average that is reported. Most upstreams of a fleet with little
/// load stay below it, so that no report is sent.
constexpr double MinReported = 0.5;

double milliseconds(TimePoint::duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

} // namespace

void LoadAverages::sample(FlowTracker::ActiveCounts Active, TimePoint Now) {
  Samples_.push_back({Now, std::move(Active)});
  while (Samples_.size() > 1 && Samples_[1].TakenAt_ <= Now - AveragingTime)
    Samples_.pop_front();
}

std::vector<UpstreamLoad> LoadAverages::report() const {
  if (Samples_.empty())
    return {};
  const TimePoint Start = Samples_.back().TakenAt_ - AveragingTime;
  std::unordered_map<affinity::Tag, double> Averages;
  // The first sample after the start of this instance stands for all of the
  // time before it.
  TimePoint Previous = Start;
  for (const Sample &Taken : Samples_) {
    const TimePoint From = std::max(Previous, Start);
    const double Weight =
        milliseconds(Taken.TakenAt_ - From) / milliseconds(AveragingTime);
    Previous = Taken.TakenAt_;
    if (Weight <= 0)
      continue;
    for (const auto &[Upstream, Count] : Taken.Active_)
      Averages[Upstream] += Weight * Count;
  }
  std::vector<UpstreamLoad> Report;
  for (const auto &[Upstream, Average] : Averages) {
    // The tolerance accounts for the rounding of the sum.
    constexpr double Tolerance = 1e-9;
    if (Average + Tolerance < MinReported)
      continue;
    const double Tenths =
        std::min(std::round(Average * 10), double{UpstreamLoad::MaxTenths});
    Report.push_back({Upstream, static_cast<std::uint32_t>(Tenths)});
  }
  std::sort(Report.begin(), Report.end(), [](const auto &A, const auto &B) {
    return std::pair(B.Tenths_, A.Upstream_) <
           std::pair(A.Tenths_, B.Upstream_);
  });
  Report.resize(std::min(Report.size(), UpstreamLoad::MaxReported));
  return Report;
}

} // namespace medlarmoor::placement

#ifndef MEDLARMOOR_PLACEMENT_LOAD_AVERAGES_HPP
#define MEDLARMOOR_PLACEMENT_LOAD_AVERAGES_HPP

#include <medlarmoor/core/time.hpp>
#include <medlarmoor/placement/flow_tracker.hpp>
#include <medlarmoor/placement/upstream_load.hpp>

#include <deque>
#include <vector>

namespace medlarmoor::placement {

/// Averages the number of active flows of this instance at each upstream over
/// the last 300 ms, from samples. Each sample stands for the time since the
/// previous one, so that a delayed sample is weighted accordingly.
class LoadAverages {
public:
  /// Adds a sample: the active flows of each upstream that has any. To be
  /// called ten times a second.
  void sample(FlowTracker::ActiveCounts Active, TimePoint Now);
  /// Returns the upstreams with an average of at least 0.5 at the time of the
  /// last sample, the largest first; at most UpstreamLoad::MaxReported.
  [[nodiscard]] std::vector<UpstreamLoad> report() const;

private:
  struct Sample {
    TimePoint TakenAt_{};
    FlowTracker::ActiveCounts Active_;
  };

  /// The samples that reach into the averaging time, and the one before them.
  std::deque<Sample> Samples_;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_LOAD_AVERAGES_HPP

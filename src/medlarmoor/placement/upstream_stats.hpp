#ifndef MEDLARMOOR_PLACEMENT_UPSTREAM_STATS_HPP
#define MEDLARMOOR_PLACEMENT_UPSTREAM_STATS_HPP

#include <medlarmoor/placement/ejector.hpp>
#include <medlarmoor/placement/failure_rates.hpp>
#include <medlarmoor/placement/flow_tracker.hpp>
#include <medlarmoor/placement/service_times.hpp>
#include <medlarmoor/placement/silence_detector.hpp>

namespace medlarmoor::placement {

/// Measurements of this instance about the upstreams.
struct UpstreamStats {
  explicit UpstreamStats(EjectionLimits Limits) : Ejector_(Limits) {}

  FlowTracker Flows_;
  ServiceTimes ServiceTimes_;
  FailureRates FailureRates_;
  Ejector Ejector_;
  SilenceDetector Silence_;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_UPSTREAM_STATS_HPP

#ifndef MEDLARMOOR_BENCH_WORLD_LOAD_PLAN_HPP
#define MEDLARMOOR_BENCH_WORLD_LOAD_PLAN_HPP

#include <medlarmoor/core/time.hpp>

#include <cstdint>

namespace medlarmoor::bench {

/// The load that callers put on a cluster.
struct LoadPlan {
  /// Flows that stay open for the whole run.
  std::uint32_t LongFlows_ = 300;
  /// Short flows opened a second.
  double FlowsPerSecond_ = 60;
  double RequestsPerSecond_ = 80;
  Millis Deadline_ = Seconds(2);
  /// Mean service time of a request at an upstream.
  Millis Service_{50};
};

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_WORLD_LOAD_PLAN_HPP

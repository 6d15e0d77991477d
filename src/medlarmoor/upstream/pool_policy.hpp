#ifndef MEDLARMOOR_UPSTREAM_POOL_POLICY_HPP
#define MEDLARMOOR_UPSTREAM_POOL_POLICY_HPP

#include <medlarmoor/upstream/breaker.hpp>

namespace medlarmoor::upstream {

/// Which observations steer the choice of an upstream. Each can be switched
/// off, so that an experiment can tell what it is worth.
struct PoolPolicy {
  Breaker Breaker_ = MetricBreaker{};
  /// Rank by observed service time.
  bool Speed_ = true;
  /// Rank by the load that upstreams report, weighted by age and accuracy.
  bool Reports_ = true;
  /// Give an upstream without successes one slot and the lowest rank.
  bool Ramp_ = true;
};

} // namespace medlarmoor::upstream

#endif // MEDLARMOOR_UPSTREAM_POOL_POLICY_HPP

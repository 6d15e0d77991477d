#ifndef MEDLARMOOR_UPSTREAM_POOL_POLICY_HPP
#define MEDLARMOOR_UPSTREAM_POOL_POLICY_HPP

#include <medlarmoor/upstream/breaker.hpp>

namespace medlarmoor::upstream {

/// The observations that are used to choose an upstream. Each can be disabled,
/// so that experiments can measure its effect.
struct PoolPolicy {
  Breaker Breaker_ = MetricBreaker{};
  /// Rank upstreams by observed service time.
  bool RankBySpeed_ = true;
  /// Rank upstreams by their reported load, weighted by age and accuracy.
  bool RankByReports_ = true;
  /// Limit an upstream without enough successes to one slot and a lower rank.
  bool SlowStart_ = true;
};

} // namespace medlarmoor::upstream

#endif // MEDLARMOOR_UPSTREAM_POOL_POLICY_HPP

#ifndef MEDLARMOOR_UPSTREAM_BREAKER_HPP
#define MEDLARMOOR_UPSTREAM_BREAKER_HPP

#include <medlarmoor/core/time.hpp>

#include <variant>

namespace medlarmoor::upstream {

/// Never keeps work from an upstream because of its failures.
struct NoBreaker {};

/// Keeps work from an upstream while its failure share, a metric with a time
/// to live, is known and high. A missing metric allows work, and there is no
/// half-open state. After "Circuit Breakers" of Slack Engineering (2022),
/// where the orchestrator's own retries stand in for trial requests.
struct MetricBreaker {
  double FailureShare_ = 0.5;
  Millis TimeToLive_ = Seconds(1);
};

/// The classical breaker: opens after failures in a row, then lets a single
/// trial through.
struct HalfOpenBreaker {
  unsigned FailuresInRow_ = 3;
  Millis OpenFor_ = Seconds(1);
};

using Breaker = std::variant<NoBreaker, MetricBreaker, HalfOpenBreaker>;

/// The failures of one upstream as a breaker sees them.
struct Health {
  /// Share of failures, recent ones weighing more.
  double FailureShare_ = 0;
  unsigned Samples_ = 0;
  unsigned FailuresInRow_ = 0;
  TimePoint LastSample_;
};

/// Whether Policy lets another request go to an upstream of that health that
/// now runs Running of this entry's requests.
[[nodiscard]] bool allows(const Breaker &Policy, const Health &Known,
                          unsigned Running, TimePoint Now);

/// Adds one sample.
void note(Health &Known, bool Failure, TimePoint Now);

} // namespace medlarmoor::upstream

#endif // MEDLARMOOR_UPSTREAM_BREAKER_HPP

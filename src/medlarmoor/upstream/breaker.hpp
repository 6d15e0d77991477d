#ifndef MEDLARMOOR_UPSTREAM_BREAKER_HPP
#define MEDLARMOOR_UPSTREAM_BREAKER_HPP

#include <medlarmoor/core/time.hpp>

#include <variant>

namespace medlarmoor::upstream {

/// Never withholds requests from an upstream because of its failures.
struct NoBreaker {};

/// Withholds requests from an upstream while its failure share, a metric with a
/// time to live, is known and high. A missing metric allows requests, and there
/// is no half-open state. Follows "Circuit Breakers" by Slack Engineering
/// (2022), where the orchestrator's own retries replace trial requests.
struct MetricBreaker {
  double FailureShare_ = 0.5;
  Millis TimeToLive_ = Seconds(1);
};

/// The classical circuit breaker: opens after consecutive failures, then allows
/// a single trial request.
struct HalfOpenBreaker {
  unsigned ConsecutiveFailures_ = 3;
  Millis OpenTime_ = Seconds(1);
};

using Breaker = std::variant<NoBreaker, MetricBreaker, HalfOpenBreaker>;

/// The recent results of one upstream, as used by a breaker.
struct Health {
  /// Exponentially weighted share of failures.
  double FailureShare_ = 0;
  unsigned Samples_ = 0;
  unsigned ConsecutiveFailures_ = 0;
  TimePoint LastSample_;
};

/// Returns true if Policy allows another request to an upstream with the health
/// Observed that runs Running of this entry's requests.
[[nodiscard]] bool allows(const Breaker &Policy, const Health &Observed,
                          unsigned Running, TimePoint Now);

/// Records the result of one attempt.
void recordSample(Health &Observed, bool Failure, TimePoint Now);

} // namespace medlarmoor::upstream

#endif // MEDLARMOOR_UPSTREAM_BREAKER_HPP

#ifndef MEDLARMOOR_REQUEST_DISPATCHER_LIMITS_HPP
#define MEDLARMOOR_REQUEST_DISPATCHER_LIMITS_HPP

#include <medlarmoor/core/time.hpp>

namespace medlarmoor::request {

/// Bounds of one dispatcher.
struct DispatcherLimits {
  /// Requests that may wait, as a multiple of all slots.
  double QueuePerSlot_ = 4.0;
  /// Retries of attempts that may have run, as a share of successes.
  double RetryBudget_ = 0.1;
  /// Attempts at most for one submission.
  unsigned Attempts_ = 4;
  /// A key is remembered this long after its deadline.
  Millis Horizon_ = Seconds(120);
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_DISPATCHER_LIMITS_HPP

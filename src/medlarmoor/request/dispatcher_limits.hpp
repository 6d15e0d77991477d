#ifndef MEDLARMOOR_REQUEST_DISPATCHER_LIMITS_HPP
#define MEDLARMOOR_REQUEST_DISPATCHER_LIMITS_HPP

#include <medlarmoor/core/time.hpp>

namespace medlarmoor::request {

/// Limits of one dispatcher.
struct DispatcherLimits {
  /// Maximum queue length, as a multiple of all slots of the service.
  double QueuePerSlot_ = 4.0;
  /// Maximum retries of attempts that may have run, per success.
  double RetryBudget_ = 0.1;
  /// Maximum number of attempts per submission.
  unsigned MaxAttempts_ = 4;
  /// How long a key stays in the ledger after its deadline.
  Millis Horizon_ = Seconds(120);
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_DISPATCHER_LIMITS_HPP

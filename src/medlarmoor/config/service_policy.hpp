#ifndef MEDLARMOOR_CONFIG_SERVICE_POLICY_HPP
#define MEDLARMOOR_CONFIG_SERVICE_POLICY_HPP

#include <medlarmoor/core/time.hpp>

#include <cstdint>

namespace medlarmoor::config {

/// The policy of one service: how it trades even load against control traffic,
/// and the limits of its requests.
struct ServicePolicy {
  /// A flow is placed on another upstream if the load of its default upstream
  /// exceeds (1 + Epsilon_) times the fair share. A smaller value spreads load
  /// more evenly and costs more control bytes.
  double Epsilon_ = 0.25;
  /// The longest deadline that a request may set.
  Millis LongestDeadline_ = Seconds(30);
  /// The maximum size of a request body in bytes.
  std::uint64_t MaxBodyBytes_ = 1024U * 1024U;
  /// The maximum number of queued requests as a multiple of the total number of
  /// slots.
  double QueuePerSlot_ = 4.0;
  /// The maximum number of retries as a fraction of the successful requests.
  double RetryBudget_ = 0.1;

  friend bool operator==(const ServicePolicy &,
                         const ServicePolicy &) = default;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_SERVICE_POLICY_HPP

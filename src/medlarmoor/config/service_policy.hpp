#ifndef MEDLARMOOR_CONFIG_SERVICE_POLICY_HPP
#define MEDLARMOOR_CONFIG_SERVICE_POLICY_HPP

#include <medlarmoor/core/time.hpp>

#include <cstdint>

namespace medlarmoor::config {

/// How one service trades evenness against bytes, and bounds its requests.
struct ServicePolicy {
  /// A flow leaves its default upstream when that stands above (1 + Epsilon_)
  /// times its fair share. Smaller is more even and costs more control bytes.
  double Epsilon_ = 0.25;
  /// Longest deadline that a request may ask for.
  Millis LongestDeadline_ = Seconds(30);
  /// Largest request body in bytes.
  std::uint64_t BodyBytes_ = 1024U * 1024U;
  /// Requests that may wait in the queue, as a multiple of all slots.
  double QueuePerSlot_ = 4.0;
  /// Retries allowed, as a share of successes.
  double RetryBudget_ = 0.1;

  friend bool operator==(const ServicePolicy &,
                         const ServicePolicy &) = default;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_SERVICE_POLICY_HPP

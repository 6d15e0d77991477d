#ifndef MEDLARMOOR_PLACEMENT_CONCURRENCY_LIMIT_HPP
#define MEDLARMOOR_PLACEMENT_CONCURRENCY_LIMIT_HPP

#include <cstdint>

namespace medlarmoor::placement {

/// Limits the requests at an upstream, so that further ones wait at the
/// instance, where they can be ordered.
struct ConcurrencyLimit {
  /// Requests that may wait at the upstream, in percent of its slots. Without
  /// any, a slot would be idle during the handshake of the next flow.
  unsigned QueuedPercent_ = 50;

  /// Returns the number of requests from which an upstream takes no new flow.
  [[nodiscard]] double of(std::uint32_t Slots) const noexcept {
    constexpr double Percent = 100.0;
    return static_cast<double>(Slots) *
           (1.0 + static_cast<double>(QueuedPercent_) / Percent);
  }
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_CONCURRENCY_LIMIT_HPP

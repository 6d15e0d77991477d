#ifndef MEDLARMOOR_PEERS_PRECEDENCE_HPP
#define MEDLARMOOR_PEERS_PRECEDENCE_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace medlarmoor::peers {

/// Returns the position of an instance in the order in which instances are
/// preferred as readers; a lower value takes precedence.
[[nodiscard]] std::uint64_t precedence(Endpoint Instance) noexcept;

/// Returns how long an instance waits before it takes over from a reader that
/// has stopped, from 0 to MaxDelay. The delays of all instances are spaced
/// exponentially, so that the number of instances that take over before they
/// hear of the first one stays small at any fleet size.
[[nodiscard]] Millis takeoverDelay(Endpoint Instance, std::size_t Instances,
                                   Millis MaxDelay) noexcept;

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_PRECEDENCE_HPP

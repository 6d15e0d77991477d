#ifndef MEDLARMOOR_PLATFORM_INTERNAL_TRAFFIC_HPP
#define MEDLARMOOR_PLATFORM_INTERNAL_TRAFFIC_HPP

#include <cstdint>

namespace medlarmoor::platform::internal {

/// Bytes of one HTTP exchange over a connection of its own besides the bodies:
/// ten TCP segments with 52 bytes of IP and TCP header, and the header fields.
inline constexpr std::uint64_t ExchangeBytes = 800;

} // namespace medlarmoor::platform::internal

#endif // MEDLARMOOR_PLATFORM_INTERNAL_TRAFFIC_HPP

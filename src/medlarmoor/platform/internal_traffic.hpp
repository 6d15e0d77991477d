#ifndef MEDLARMOOR_PLATFORM_INTERNAL_TRAFFIC_HPP
#define MEDLARMOOR_PLATFORM_INTERNAL_TRAFFIC_HPP

#include <cstdint>

namespace medlarmoor::platform::internal {

/// Bytes of one HTTP exchange on a connection of its own, without the bodies:
/// ten TCP segments with 52 bytes of IP and TCP headers each, and the HTTP
/// header fields.
inline constexpr std::uint64_t ExchangeBytes = 800;

} // namespace medlarmoor::platform::internal

#endif // MEDLARMOOR_PLATFORM_INTERNAL_TRAFFIC_HPP

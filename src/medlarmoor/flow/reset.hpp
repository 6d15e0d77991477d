#ifndef MEDLARMOOR_FLOW_RESET_HPP
#define MEDLARMOOR_FLOW_RESET_HPP

#include <medlarmoor/flow/packet.hpp>

#include <array>

namespace medlarmoor::flow {

/// Size of an IPv4 packet with a TCP header and no payload.
inline constexpr std::size_t ResetBytes = 40;
/// UDP port on which a caller's host receives encapsulated answers.
inline constexpr std::uint16_t CallerPort = 7300;

/// Returns the IPv4 packet with a TCP reset that refuses the flow opened by
/// FirstPacket.
[[nodiscard]] std::array<std::byte, ResetBytes>
buildReset(const Packet &FirstPacket) noexcept;

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_RESET_HPP

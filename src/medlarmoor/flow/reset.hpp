#ifndef MEDLARMOOR_FLOW_RESET_HPP
#define MEDLARMOOR_FLOW_RESET_HPP

#include <medlarmoor/flow/packet.hpp>

#include <array>

namespace medlarmoor::flow {

/// Bytes of an IPv4 packet with a TCP header and nothing else.
inline constexpr std::size_t ResetBytes = 40;
/// UDP port on which a caller's host takes encapsulated answers.
inline constexpr std::uint16_t CallerPort = 7300;

/// The IPv4 packet that refuses the flow which First opens.
[[nodiscard]] std::array<std::byte, ResetBytes>
resetFor(const Packet &First) noexcept;

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_RESET_HPP

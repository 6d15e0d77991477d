#ifndef MEDLARMOOR_FLOW_PACKET_HPP
#define MEDLARMOOR_FLOW_PACKET_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/flow/drop_reason.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace medlarmoor::flow {

/// The header fields of an inner IPv4 packet with TCP that the flow listener
/// uses.
struct Packet {
  Endpoint Source_;
  Endpoint Destination_;
  std::uint32_t Sequence_ = 0;
  bool Syn_ = false;
  bool Ack_ = false;
  bool Fin_ = false;
  bool Rst_ = false;

  /// Returns true for the first packet of a flow, a SYN without ACK.
  [[nodiscard]] bool opensFlow() const noexcept { return Syn_ && !Ack_; }
};

/// Reads the headers of an inner packet into Parsed. Returns nothing on
/// success; otherwise returns why the packet cannot be forwarded and leaves
/// Parsed unchanged.
[[nodiscard]] std::optional<DropReason>
parsePacket(std::span<const std::byte> Bytes, Packet &Parsed) noexcept;

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_PACKET_HPP

#ifndef MEDLARMOOR_FLOW_PACKET_HPP
#define MEDLARMOOR_FLOW_PACKET_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/flow/drop_reason.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>

namespace medlarmoor::flow {

/// What the flow door needs to know of an inner IPv4 packet that carries TCP.
struct Packet {
  Endpoint Source_;
  Endpoint Destination_;
  std::uint32_t Sequence_ = 0;
  bool Syn_ = false;
  bool Ack_ = false;
  bool Fin_ = false;
  bool Rst_ = false;

  /// True for the packet that opens a flow.
  [[nodiscard]] bool first() const noexcept { return Syn_ && !Ack_; }
};

/// Reads the headers of an inner packet, or tells why it cannot be forwarded.
[[nodiscard]] std::variant<Packet, DropReason>
parsePacket(std::span<const std::byte> Bytes) noexcept;

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_PACKET_HPP
